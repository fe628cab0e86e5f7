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
