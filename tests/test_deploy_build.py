"""The build of the deploy file, with a stand-in for pip that installs empty modules."""

import os
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
INTERPRETER = f"""#!/bin/sh
if [ "$1" = -m ]; then
    echo "$*" >> "$INSTALLED"
    [ -z "$PIP_FAILS" ] || exit 1
    mkdir -p "$6" && cp -r "$PACKAGES"/. "$6"
else
    exec {sys.executable} "$@"
fi
"""


@pytest.fixture
def checkout(tmp_path):
    """A checkout whose programs need one package, which the stand-in for pip installs."""
    root = tmp_path / "checkout"
    for plane in ("dataplane", "controlplane"):
        folder = root / "lynxscale" / plane
        folder.mkdir(parents=True)
        for module in ("__init__", "cli", "process"):
            (folder / f"{module}.py").write_text("import needed\n")
    (root / "lynxscale" / "__init__.py").touch()
    (root / "deploy").mkdir()
    for name in ("deploy/build.sh", "deploy/system.toml", "requirements-tier.txt"):
        shutil.copy(ROOT / name, root / name)
    packages = tmp_path / "packages"
    packages.mkdir()
    (packages / "needed.py").touch()
    programs = tmp_path / "bin"
    programs.mkdir()
    (programs / "python3").write_text(INTERPRETER)
    (programs / "python3").chmod(0o755)
    return root


def build(root: Path, **variables: str) -> int:
    """Run the build command of the deploy file; return its exit code."""
    command = (root / "deploy/system.toml").read_text().splitlines()[0].partition('"')[2].rstrip('"')
    environment = os.environ | {
        "PATH": f"{root.parent / 'bin'}:{os.environ['PATH']}",
        "INSTALLED": str(root.parent / "installed"),
        "PACKAGES": str(root.parent / "packages"),
    }
    return subprocess.run(command, shell=True, cwd=root, env=environment | variables, capture_output=True).returncode


def installations(root: Path) -> int:
    log = root.parent / "installed"
    return len(log.read_text().splitlines()) if log.exists() else 0


def test_dependencies_are_installed_once(checkout):
    assert [build(checkout), build(checkout)] == [0, 0]
    assert installations(checkout) == 1


@pytest.mark.parametrize("content", ["", "raise ImportError('of another machine')"])
def test_dependencies_of_another_machine_or_half_made_are_replaced(checkout, content):
    deps = checkout / "target/deps"
    deps.mkdir(parents=True)
    if content:
        (deps / "needed.py").write_text(content)
    assert build(checkout) == 0 and installations(checkout) == 1
    assert (deps / "needed.py").read_text() == ""


def test_a_build_whose_programs_cannot_be_imported_fails(checkout):
    (checkout.parent / "packages/needed.py").write_text("raise ImportError")
    assert build(checkout) != 0


def test_an_installation_that_fails_is_made_up_for_by_the_next_build(checkout):
    assert build(checkout, PIP_FAILS="1") != 0
    assert build(checkout) == 0 and installations(checkout) == 2
