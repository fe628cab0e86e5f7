"""Runs the tier's command-line programs as processes."""

import subprocess
import sys

TIMEOUT_S = 60


def run_module(module: str, *arguments: str) -> subprocess.CompletedProcess:
    """Run a module as a program until it exits."""
    return subprocess.run([sys.executable, "-m", module, *arguments], capture_output=True, text=True, timeout=TIMEOUT_S)


def controlplane_cli(*arguments: str) -> subprocess.CompletedProcess:
    """Run a command of ``lynxscale-controlplane``."""
    return run_module("lynxscale.controlplane.cli", *arguments)


def dataplane_cli(*arguments: str) -> subprocess.CompletedProcess:
    """Run a command of ``lynxscale-dataplane``."""
    return run_module("lynxscale.dataplane.cli", *arguments)
