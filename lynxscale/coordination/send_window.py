"""Flow control towards one replica: how many bytes may be unacknowledged, found from how long acknowledgements take.

The window grows by each size that is acknowledged in time, as in TCP's slow start, and is halved by each that is
acknowledged late, so that heartbeats on the same link do not queue up behind a transfer.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Any, Protocol

from lynxscale.coordination.ports import Clock

MIN_WINDOW_BYTES, MAX_WINDOW_BYTES = 16_000, 512_000  # unacknowledged; one batch or chunk is sent in any case
SLOW_ACK_S = 0.12  # a slower acknowledgement shows a congested link: the window is halved
RESEND_AFTER_S = 0.3  # without progress, and beyond the time that the link needs for what is in flight
MIN_LINK_BYTES_PER_S = 200_000.0


class Ordered(Protocol):
    """A position or a key. A window holds only one kind at a time."""

    def __le__(self, other: Any, /) -> bool:
        """Part of the order."""


@dataclass(frozen=True, slots=True)
class InFlight:
    """A batch or chunk that is not acknowledged.

    ``end``: where the replica is once it has it, the position of a batch or the last key of a chunk. ``size`` is in
    bytes of keys and values.
    """

    end: Ordered
    size: int
    sent_at: float


class SendWindow:
    """What is in flight to one replica, and how much may be."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._in_flight: deque[InFlight] = deque()
        self._window = MIN_WINDOW_BYTES

    @property
    def size(self) -> int:
        """Bytes that may be in flight now."""
        return self._window

    @property
    def empty(self) -> bool:
        """Whether nothing is in flight."""
        return not self._in_flight

    @property
    def full(self) -> bool:
        """Whether the next batch or chunk must wait for an acknowledgement."""
        return self._bytes_in_flight >= self._window

    @property
    def ack_timeout_s(self) -> float:
        """Seconds without progress after which what is in flight counts as lost."""
        return RESEND_AFTER_S + self._bytes_in_flight / MIN_LINK_BYTES_PER_S

    def add(self, end: Ordered, size: int) -> None:
        """A batch or chunk of ``size`` bytes was sent."""
        self._in_flight.append(InFlight(end, size, self._clock.now()))

    def acknowledge(self, end: Ordered) -> bool:
        """The replica has everything up to ``end``; True if that acknowledges anything in flight."""
        acknowledged = False
        while self._in_flight and self._in_flight[0].end <= end:
            self._adapt(self._in_flight.popleft())
            acknowledged = True
        return acknowledged

    def clear(self) -> None:
        """Forget what is in flight."""
        self._in_flight.clear()

    @property
    def _bytes_in_flight(self) -> int:
        return sum(sent.size for sent in self._in_flight)

    def _adapt(self, sent: InFlight) -> None:
        if self._clock.now() - sent.sent_at > SLOW_ACK_S:
            self._window = max(MIN_WINDOW_BYTES, self._window // 2)
        else:
            self._window = min(MAX_WINDOW_BYTES, self._window + sent.size)
