"""The commands ``check`` and ``check-settings``, and the exit codes of programs with unusable settings."""

from pathlib import Path

import msgspec
import pytest

from lab.tier.simulated_tier import default_configuration
from tests.programs import controlplane_cli, dataplane_cli, run_module


def test_check_reports_all_findings_with_their_places(tmp_path):
    table = default_configuration()
    table["routes"][0]["backend"] = "nobody"
    table["routes"][1]["timeout-ms"] = 0
    path = tmp_path / "bad.json"
    path.write_bytes(msgspec.json.encode(table))
    checked = controlplane_cli("check", str(path))
    assert checked.returncode == 1
    assert checked.stderr.splitlines() == [
        f"{path}: routes[0].backend: no service is called 'nobody'",
        f"{path}: routes[1].timeout-ms: want more than 0",
    ]
    path.write_bytes(msgspec.json.encode(default_configuration()))
    assert controlplane_cli("check", str(path)).returncode == 0
    assert controlplane_cli("check", str(tmp_path / "none")).returncode == 2


@pytest.mark.parametrize("cli", [controlplane_cli, dataplane_cli])
def test_check_settings_reports_empty_seeds_with_their_place(cli, tmp_path):
    path = settings_without_seeds(tmp_path)
    checked = cli("check-settings", str(path))
    assert checked.returncode == 1
    assert checked.stderr == f"{path}: seeds: want one address at least\n"


@pytest.mark.parametrize("program", ["lynxscale.controlplane", "lynxscale.dataplane"])
def test_a_program_without_seeds_ends_with_exit_code_2(program, tmp_path, monkeypatch):
    path = settings_without_seeds(tmp_path)
    monkeypatch.setenv("LYNXSCALE_SETTINGS", str(path))
    ended = run_module(program)
    assert ended.returncode == 2
    assert ended.stderr == f"{path}: seeds: want one address at least\n"


def settings_without_seeds(folder: Path) -> Path:
    """A settings file with an empty list of seeds."""
    path = folder / "s.toml"
    path.write_text('node-name = "n"\nip = "127.0.0.1"\nzone = "a"\ninternal-ports = [1, 2]\nseeds = []\n')
    return path
