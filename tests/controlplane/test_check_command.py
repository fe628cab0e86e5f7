"""The command ``check`` of the control plane's command line."""

import msgspec

from lab.tier.simulated_tier import default_configuration
from tests.programs import controlplane_cli


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
