"""SIGHUP while a program starts and while it ends; SIGTERM while it ends."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

TIMEOUT_S = 20.0
SURVIVAL_S = 0.3  # a signal that ends the process does so at once

BLOCKING_MODULE = """
import pathlib, time
pathlib.Path({started!r}).touch()
time.sleep(60)
"""
"""Stands in for a library that the programs import: the start goes on no further."""

LIFE_OF_A_PROGRAM = """
import asyncio, os, signal
from lynxscale.runtime.reload_signal import hold_reload_signal, reload_signal_handled

reloads = []

async def serve():
    loop = asyncio.get_running_loop()
    with reload_signal_handled(loop, lambda: reloads.append("held" if not sent else "running")):
        await asyncio.sleep(0.05)
        sent.append(True)
        os.kill(os.getpid(), signal.SIGHUP)
        await asyncio.sleep(0.05)
    os.kill(os.getpid(), signal.SIGHUP)

sent = []
hold_reload_signal()
os.kill(os.getpid(), signal.SIGHUP)
asyncio.run(serve())
os.kill(os.getpid(), signal.SIGHUP)
print(*reloads)
"""


@pytest.mark.parametrize(
    ("program", "library"),
    [("lynxscale.dataplane", "h11"), ("lynxscale.controlplane", "h11"), ("lynxscale", "twisted")],
)
def test_a_reload_signal_does_not_end_a_program_that_is_still_starting(program, library, tmp_path: Path):
    """Guards against the end of a process that got SIGHUP while it imported its modules."""
    started = tmp_path / "started"
    (tmp_path / f"{library}.py").write_text(BLOCKING_MODULE.format(started=str(started)))
    search_path = os.pathsep.join([str(tmp_path), *filter(None, sys.path)])
    process = subprocess.Popen([sys.executable, "-m", program], env=os.environ | {"PYTHONPATH": search_path})
    try:
        deadline = time.monotonic() + TIMEOUT_S
        while not started.exists() and time.monotonic() < deadline:
            time.sleep(0.01)
        assert started.exists()
        process.send_signal(signal.SIGHUP)
        time.sleep(SURVIVAL_S)
        assert process.poll() is None
    finally:
        process.kill()
        process.wait()


def test_a_reload_signal_of_the_start_is_handled_later_and_one_of_the_end_is_ignored():
    """Guards against a reload that is lost in the start, and against an exit by SIGHUP instead of with exit code 0."""
    done = subprocess.run([sys.executable, "-c", LIFE_OF_A_PROGRAM], capture_output=True, text=True, timeout=TIMEOUT_S)
    assert (done.returncode, done.stdout.split()) == (0, ["held", "running"]), done.stderr


END_OF_A_PROGRAM = """
import asyncio, os, signal
from asyncio.unix_events import _UnixSelectorEventLoop as Loop
from lynxscale.runtime.reload_signal import signal_handled
from lynxscale.runtime.worker_thread import WorkerThread

close_pipe = Loop._close_self_pipe

def close_pipe_and_send_signal(loop):
    close_pipe(loop)
    os.kill(os.getpid(), signal.SIGTERM)

Loop._close_self_pipe = close_pipe_and_send_signal

async def serve():
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    with signal_handled(loop, signal.SIGTERM, stopped.set):
        worker = WorkerThread(loop)
        worker.run(lambda: 1, lambda result: os.kill(os.getpid(), signal.SIGTERM))
        await stopped.wait()
    if WITH_THREAD:
        os.kill(os.getpid(), signal.SIGTERM)
    await worker.aclose()

asyncio.run(serve())
os.kill(os.getpid(), signal.SIGTERM)
print("ended")
"""


@pytest.mark.parametrize("with_thread", [False, True])
def test_a_stop_signal_that_is_repeated_while_a_program_ends_changes_nothing(with_thread):
    """Regression (soak, seed 45): SIGTERM while the event loop was closed left a traceback in the log."""
    program = END_OF_A_PROGRAM.replace("WITH_THREAD", str(with_thread))
    done = subprocess.run([sys.executable, "-c", program], capture_output=True, text=True, timeout=TIMEOUT_S)
    assert (done.returncode, done.stdout.split(), done.stderr) == (0, ["ended"], "")
