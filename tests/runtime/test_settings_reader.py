"""The settings reader reports all findings of a file together."""

import pytest

from lynxscale.runtime.exceptions import SettingsError
from lynxscale.runtime.settings_reader import parse_settings


def test_all_findings_are_reported_with_their_fields():
    with pytest.raises(SettingsError) as raised:
        parse_settings('ip = 7\nzone = "a"\ninternal-ports = [1]\nseeds = ["a:1"]\nunknown = 1', "s.toml")
    lines = str(raised.value).splitlines()
    assert [line.split(":")[1].strip() for line in lines] == ["node-name", "ip", "internal-ports"]


def test_empty_seeds_are_a_finding():
    """Guards against accepting them: a relay without seeds fails with ZeroDivisionError."""
    with pytest.raises(SettingsError) as raised:
        parse_settings('node-name = "n"\nip = "a"\nzone = "a"\ninternal-ports = [1, 2]\nseeds = []', "s.toml")
    assert str(raised.value) == "s.toml: seeds: want one address at least"


SETTINGS = """node-name = "n"
ip = "a"
zone = "a"
internal-ports = [7380.0, 7395]
seeds = ["a:1"]
heartbeat-ms = 1200.5
[limits]
max-fds = 4100.0
[fault-tolerance]
machines = 1.0
[bounds]
contact-ms = 3000.5
drain-ms = 2500.25
grace-s = 8
again_s = true
[cloud]
lag-ms = 800.5
"""


def test_bounds_may_have_fractions_and_whole_numbers_may_be_written_with_one():
    """Regression: each process ended with code 2, though bounds are whole numbers, fractions, true or false."""
    settings = parse_settings(SETTINGS, "s.toml")
    assert (settings.bounds.contact_ms, settings.bounds.drain_ms, settings.bounds.grace_s) == (3000.5, 2500.25, 8)
    assert (settings.internal_ports, settings.limits.max_fds) == ((7380, 7395), 4100)
    assert (settings.heartbeat_ms, settings.cloud.lag_ms, settings.fault_tolerance.machines) == (1200.5, 800.5, 1)


def test_a_count_with_a_fraction_is_a_finding():
    with pytest.raises(SettingsError, match="s.toml: limits"):
        parse_settings(SETTINGS.replace("max-fds = 4100.0", "max-fds = 4100.5"), "s.toml")


ADDRESSES = 'node-name = "n"\nip = "a"\nzone = "a"\ninternal-ports = [1, 2]\nseeds = ["a:1"]'


@pytest.mark.parametrize(
    ("addition", "finding"),
    [
        ('[listen]\ncontrol = "127.0.0.1"', "listen.control: want HOST:PORT"),
        ('[listen]\nfrontend = "127.0.0.1:70000"', "listen.frontend: want HOST:PORT"),
        ('[listen]\nreadiness = "127.0.0.1:http"', "listen.readiness: want HOST:PORT"),
    ],
)
def test_an_address_to_listen_on_whose_port_is_none_is_a_finding(addition, finding):
    with pytest.raises(SettingsError, match=finding):
        parse_settings(f"{ADDRESSES}\n{addition}\n", "s.toml")
    parse_settings(f'{ADDRESSES}\n[listen]\ncontrol = "127.0.0.1:1"\nfrontend = ""\n', "s.toml")


def test_internal_ports_beyond_the_greatest_are_a_finding():
    with pytest.raises(SettingsError, match="internal-ports: want ports up to 65535"):
        parse_settings(ADDRESSES.replace("[1, 2]", "[1, 70000]"), "s.toml")


@pytest.mark.parametrize("text", ["a = " + "[" * 5000, "a = " + "9" * 5000])
def test_what_the_parser_cannot_read_is_a_finding(text):
    with pytest.raises(SettingsError, match="s.toml"):
        parse_settings(text, "s.toml")
