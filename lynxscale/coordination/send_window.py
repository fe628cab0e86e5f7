"""Flow control for one replica: limits the unacknowledged bytes, adapting to how long acknowledgements take.

The window grows by each size that is acknowledged in time, as in TCP's slow start, and is halved by each late
acknowledgement, so that heartbeats on the same link do not queue up behind a transfer.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Any, Protocol

from lynxscale.coordination.ports import Clock

MIN_WINDOW_BYTES, MAX_WINDOW_BYTES = 16_000, 512_000  # one batch or chunk is sent even if it is larger
SLOW_ACK_S = 0.12  # a slower acknowledgement shows a congested link: the window is halved
RESEND_AFTER_S = 0.3  # time without progress before a resend, in addition to the transfer time
MIN_LINK_BYTES_PER_S = 200_000.0  # assumed link speed for the transfer time


class Ordered(Protocol):
    """A position or a key. A window holds values of only one of these types at a time."""

    def __le__(self, other: Any, /) -> bool:
        """Compare two positions or two keys."""


@dataclass(frozen=True, slots=True)
class InFlight:
    """A batch or chunk that is not acknowledged yet.

    ``end``: the position of the batch or the last key of the chunk. ``size``: bytes of keys and values.
    """

    end: Ordered
    size: int
    sent_at: float


class SendWindow:
    """The batches or chunks in flight to one replica, and the limit of their size."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._in_flight: deque[InFlight] = deque()
        self._window_bytes = MIN_WINDOW_BYTES

    @property
    def size(self) -> int:
        """Bytes that may be in flight now."""
        return self._window_bytes

    @property
    def empty(self) -> bool:
        """Whether nothing is in flight."""
        return not self._in_flight

    @property
    def full(self) -> bool:
        """Whether the next batch or chunk must wait for an acknowledgement."""
        return self._bytes_in_flight >= self._window_bytes

    @property
    def ack_timeout_s(self) -> float:
        """Seconds without progress after which everything in flight counts as lost."""
        return RESEND_AFTER_S + self._bytes_in_flight / MIN_LINK_BYTES_PER_S

    def add(self, end: Ordered, size: int) -> None:
        """Record that a batch or chunk of ``size`` bytes was sent."""
        self._in_flight.append(InFlight(end, size, self._clock.now()))

    def acknowledge(self, end: Ordered) -> bool:
        """Record that the replica has everything up to ``end``; True if that acknowledges anything in flight."""
        acknowledged = False
        while self._in_flight and self._in_flight[0].end <= end:
            self._adapt(self._in_flight.popleft())
            acknowledged = True
        return acknowledged

    def clear(self) -> None:
        """Drop everything in flight, because it will be resent or is obsolete."""
        self._in_flight.clear()

    @property
    def _bytes_in_flight(self) -> int:
        return sum(sent.size for sent in self._in_flight)

    def _adapt(self, sent: InFlight) -> None:
        if self._clock.now() - sent.sent_at > SLOW_ACK_S:
            self._window_bytes = max(MIN_WINDOW_BYTES, self._window_bytes // 2)
        else:
            self._window_bytes = min(MAX_WINDOW_BYTES, self._window_bytes + sent.size)
