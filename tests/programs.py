"""Runs the programs and command lines of the tier as processes."""

import subprocess
import sys

TIMEOUT_S = 60


def run_module(module: str, *arguments: str) -> subprocess.CompletedProcess:
    """Run a module as a program to its end."""
    return subprocess.run([sys.executable, "-m", module, *arguments], capture_output=True, text=True, timeout=TIMEOUT_S)


def controlplane_cli(*arguments: str) -> subprocess.CompletedProcess:
    """Run a command of the control plane."""
    return run_module("lynxscale.controlplane.cli", *arguments)


def dataplane_cli(*arguments: str) -> subprocess.CompletedProcess:
    """Run a command of the data plane."""
    return run_module("lynxscale.dataplane.cli", *arguments)
