"""When a message's end falls due: a little before its deadline, as it may have been read late.

A message names the time it has left, counted from when it was sent. What was read late is over for its sender before
the relay would end it. A process that starts with many others may be delayed, by its own use of the core, for as long
as its start took; its first requests wait meanwhile, some 0.35 s in the mean and 2 s at worst.
"""

from __future__ import annotations

from lynxscale.relay.message import PendingMessage
from lynxscale.scheduling.settings import Settings

# µs, and shares of the class's deadline and of the time left: the margin is the smallest of the three.
MAX_MARGIN, MARGIN_OF_CLASS, MARGIN_OF_TIME_LEFT = 400_000, 0.05, 0.5
FIRST_READS = 250_000  # µs from the begin to listen: what is read then may have waited for as long as the start took
MAX_STARTUP_WAIT = 3_000_000  # µs that it is assumed to have waited, at most


class EndTimes:
    """``unix_zero``: Unix time at the zero of the loop's clock, in µs."""

    def __init__(self, settings: Settings, unix_zero: int) -> None:
        self._margins = [MARGIN_OF_CLASS * 1000 * one.deadline_ms for one in settings.classes]  # µs, by class
        self._unix_zero = unix_zero
        self._first_reads_until = self._startup_wait = 0

    def listening(self, now: int, started: int) -> None:
        """Clients connect from now on; the process began to start at ``started``, in µs of the loop's clock."""
        self._first_reads_until, self._startup_wait = now + FIRST_READS, min(MAX_STARTUP_WAIT, now - started)

    def end_time(self, message: PendingMessage, now: int) -> int:
        """When the message must have ended, in µs of the loop's clock."""
        deadline = message.entry.expires - self._unix_zero
        if now < self._first_reads_until:
            return deadline - max(self._startup_wait, MAX_MARGIN)
        margin = min(MAX_MARGIN, self._margins[message.cls], MARGIN_OF_TIME_LEFT * (deadline - now))
        return deadline - int(max(0, margin))
