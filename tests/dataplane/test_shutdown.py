"""The graceful shutdown of a relay's process, on an event loop with simulated time."""

import asyncio
from collections.abc import Callable

import pytest

from lynxscale.dataplane import process as program

GRACE_S = 8.0
STEP_S = 0.01
MAX_STEPS = 100_000


class SimulatedTimeLoop(asyncio.SelectorEventLoop):
    """An event loop that never waits: its time advances to the next timer. It stops after ``MAX_STEPS`` iterations."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.steps = 0

    def time(self) -> float:
        """The simulated time in seconds."""
        return self.now

    def _run_once(self) -> None:
        self.steps += 1
        if self.steps > MAX_STEPS:
            raise TimeoutError("the event loop did not finish within MAX_STEPS iterations")
        if not self._ready and self._scheduled:
            self.now = max(self.now, self._scheduled[0]._when)
        super()._run_once()


class Connection:
    """A client's connection. ``busy_until``: the simulated time at which its request ends."""

    def __init__(self, loop: SimulatedTimeLoop, busy_until: float) -> None:
        self._loop = loop
        self._busy_until = busy_until
        self.closed_at: float | None = None

    @property
    def busy(self) -> bool:
        """Whether a request is in flight."""
        return self._loop.now < self._busy_until

    def close_if_idle(self) -> None:
        """Part of ServerConnection."""
        if not self.busy and self.closed_at is None:
            self.closed_at = self._loop.now


class Server:
    """A listener that records when it was closed."""

    def __init__(self, loop: SimulatedTimeLoop) -> None:
        self._loop = loop
        self.closed_at: float | None = None

    def close(self) -> None:
        """Part of asyncio.Server."""
        self.closed_at = self._loop.now


class Relay:
    """A substitute for RelayService with the attributes that a shutdown changes."""

    def __init__(self) -> None:
        self.stopping = False
        self.limits = type("Limits", (), {"closing": False})()


class Shutdown:
    """A shutdown with one connection for each of the given times, until which it is busy."""

    def __init__(self, busy_until: tuple[float, ...]) -> None:
        self.loop = SimulatedTimeLoop()
        self.relay, self.server = Relay(), Server(self.loop)
        self.connections = [Connection(self.loop, until) for until in busy_until]

    def run(self, watch: Callable[[], None] = lambda: None) -> float:
        """Run the shutdown and return the simulated time of its end; ``watch()`` is called soon after its start."""
        self.loop.call_later(STEP_S, watch)
        drain = program.drain(self.relay, self.server, set(self.connections), GRACE_S)
        try:
            self.loop.run_until_complete(drain)
        finally:
            self.loop.close()
        return self.loop.now


def test_shutdown_listens_until_the_platform_sends_nobody_any_more():
    shutdown = Shutdown(())
    seen: list[tuple[bool, bool, float | None]] = []
    shutdown.run(
        lambda: seen.append((shutdown.relay.stopping, shutdown.relay.limits.closing, shutdown.server.closed_at))
    )
    assert seen == [(True, True, None)]
    assert shutdown.server.closed_at == pytest.approx(program.NOT_READY_PERIOD_S)


def test_shutdown_waits_for_requests_in_flight():
    shutdown = Shutdown((5.0, 3.0))
    assert shutdown.run() == pytest.approx(5.0, abs=2 * program.DRAIN_POLL_INTERVAL_S)


def test_shutdown_ends_at_its_deadline():
    shutdown = Shutdown((60.0,))
    assert shutdown.run() == pytest.approx(GRACE_S, abs=2 * program.DRAIN_POLL_INTERVAL_S)


def test_shutdown_closes_idle_connections():
    shutdown = Shutdown((0.0, 4.0))
    shutdown.run()
    idle, busy = shutdown.connections
    assert idle.closed_at == pytest.approx(program.NOT_READY_PERIOD_S)
    assert busy.closed_at == pytest.approx(4.0, abs=2 * program.DRAIN_POLL_INTERVAL_S)
