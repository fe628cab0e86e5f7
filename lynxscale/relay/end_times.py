"""The time by which a message must end: slightly before its deadline, as the relay may have read it late.

A message states its remaining time as of when it was sent. If the relay reads it late, its deadline passes for the
sender earlier than the relay would compute. Requests that arrive while a process starts wait for as long as the start
takes: 0.35 s in the mean and 2 s at worst when many processes start together.
"""

from __future__ import annotations

from lynxscale.relay.message import PendingMessage
from lynxscale.scheduling.settings import Settings

# The margin is the smallest of: a time, a fraction of the class's deadline, and a fraction of the time left.
MAX_MARGIN_US, CLASS_DEADLINE_FRACTION, TIME_LEFT_FRACTION = 400_000, 0.05, 0.5
FIRST_READS_US = 250_000  # after listening began: requests read by then may have waited as long as the start took
MAX_STARTUP_WAIT_US = 3_000_000  # upper bound of the assumed wait of the first requests


class EndTimes:
    """Computes the end times of messages. ``unix_offset``: Unix time minus the loop's clock, in µs."""

    def __init__(self, settings: Settings, unix_offset: int) -> None:
        self._margins = [CLASS_DEADLINE_FRACTION * 1000 * one.deadline_ms for one in settings.classes]  # µs, by class
        self._unix_offset = unix_offset
        self._first_reads_until = self._startup_wait = 0

    def listening(self, now: int, started: int) -> None:
        """Record that the relay listens as of ``now``, and that the process began to start at ``started``."""
        self._first_reads_until, self._startup_wait = now + FIRST_READS_US, min(MAX_STARTUP_WAIT_US, now - started)

    def end_time(self, message: PendingMessage, now: int) -> int:
        """The time by which the message must have ended, in µs on the loop's clock."""
        deadline = message.entry.expires - self._unix_offset
        if now < self._first_reads_until:
            return deadline - max(self._startup_wait, MAX_MARGIN_US)
        margin = min(MAX_MARGIN_US, self._margins[message.cls], TIME_LEFT_FRACTION * (deadline - now))
        return deadline - int(max(0, margin))
