"""Starts that wait, and the exit codes and last lines of processes."""

import asyncio
import logging
import signal

import pytest

from lynxscale.runtime import process, startup
from lynxscale.runtime.exceptions import StartCancelledError, StartError
from lynxscale.runtime.exit_codes import ExitCode
from lynxscale.runtime.resource_limits import RELAY_QUOTAS
from lynxscale.runtime.startup import retry_until_started

SETTINGS = 'node-name = "n"\nip = "127.0.0.1"\nzone = "a"\ninternal-ports = [1, 2]\nseeds = ["127.0.0.1:1"]\n'


class Busy:
    """Something that is busy the first ``times`` times."""

    def __init__(self, times: int) -> None:
        self.left = times

    def __call__(self) -> str:
        if self.left:
            self.left -= 1
            raise OSError("busy")
        return "started"


async def wait_for(busy: Busy, stop: bool = False) -> str:
    stopped = asyncio.Event()
    if stop:
        asyncio.get_running_loop().call_later(0.05, stopped.set)
    return await retry_until_started("port", busy, stopped)


def test_what_is_busy_for_a_while_is_waited_for_and_logged_once(caplog):
    assert asyncio.run(wait_for(Busy(3))) == "started"
    assert [record.getMessage() for record in caplog.records] == ["event=waiting for=port error=busy"]


def test_a_wait_ends_with_its_time(monkeypatch):
    monkeypatch.setattr(startup, "START_TIMEOUT_S", 0.25)
    with pytest.raises(StartError, match="port: busy"):
        asyncio.run(wait_for(Busy(1000)))


def test_a_wait_ends_with_sigterm():
    with pytest.raises(StartCancelledError):
        asyncio.run(wait_for(Busy(1000), stop=True))


@pytest.fixture
def signal_mask():
    """Restores the signals that this process blocks: a program blocks SIGTERM as it ends, and children inherit it."""
    blocked = signal.pthread_sigmask(signal.SIG_BLOCK, ())
    yield
    signal.pthread_sigmask(signal.SIG_SETMASK, blocked)


async def return_at_once(context: process.ProcessContext) -> None:
    pass


def raiser(error: Exception):
    async def serve(context: process.ProcessContext) -> None:
        raise error

    return serve


@pytest.mark.parametrize(
    ("serve", "code", "last_line"),
    [
        (return_at_once, ExitCode.OK, "event=ended reason=stopped"),
        (raiser(StartCancelledError("stopped")), ExitCode.OK, "event=ended reason=stopped"),
        (raiser(StartError("port: busy")), ExitCode.NOT_STARTED, "event=ended reason=not_started error=port: busy"),
        (raiser(ValueError("x")), ExitCode.FAILED, "event=ended reason=error error=ValueError('x')"),
        (raiser(MemoryError()), ExitCode.FAILED, "event=ended reason=error error=MemoryError()"),
    ],
)
@pytest.mark.usefixtures("signal_mask")
def test_the_last_line_of_a_process_tells_why_it_ended(serve, code, last_line, tmp_path, monkeypatch, caplog):
    caplog.set_level(logging.INFO)
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS)
    monkeypatch.setenv("LYNXSCALE_SETTINGS", str(path))
    assert process.run(serve, 1.0, RELAY_QUOTAS) == code
    assert caplog.records[-1].getMessage() == last_line


def test_programs_started_after_these_tests_can_be_ended_by_sigterm():
    assert signal.SIGTERM not in signal.pthread_sigmask(signal.SIG_BLOCK, ())
