"""What a primary sends to one other member so that its copy becomes and stays current.

Batches go out as they are made, within a window. A member that the batches at hand do not lead on is sent the whole
state: keys in order, in parts, each confirmed, with the batches that come meanwhile between them. What has arrived
stays with the receiver, so a transfer goes on where it stopped after a lost connection or under another primary.

States: UNKNOWN (its position was not told yet), BATCHES, ASKING (how far has a transfer come?), PARTS and INSTALLING
(the receiver makes the state durable). ``_become`` is the one place of change.
"""

from __future__ import annotations

import logging
from bisect import bisect_right
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from lynxscale.coordination.messages import (
    Batch,
    Position,
    Put,
    Replicate,
    SnapshotChunk,
    SnapshotProbe,
    SnapshotProgress,
    address_of,
)
from lynxscale.coordination.ports import Clock, Network
from lynxscale.coordination.store import Store
from lynxscale.coordination.version_files import INITIAL_POSITION

log = logging.getLogger(__name__)

LEAST_WINDOW_BYTES, MOST_WINDOW_BYTES = 16_000, 512_000  # not confirmed; one batch or part goes in any case
SLOW_CONFIRM_S = 0.12  # what takes longer is too much for the link: heartbeats wait behind it
RESEND_AFTER_S = 0.3  # batches, to a member that has not come on
SLOWEST_BYTES_S = 200_000.0  # of a link: what is on its way is waited for accordingly
MOST_PART_BYTES = MERGED_BYTES = 64_000
PROBE_AFTER_S, MOST_PROBE_AFTER_S = 1.0, 8.0  # without progress of a transfer
END = "\U0010ffff"  # behind all keys: where the last part ends


class CopyState(Enum):
    """What is sent to the member."""

    UNKNOWN = "unknown"
    BATCHES = "batches"
    ASKING = "asking"
    PARTS = "parts"
    INSTALLING = "installing"


@dataclass(frozen=True, slots=True)
class InFlight:
    """A batch or a part on its way: where the copy is once it has come, its size and when it was sent."""

    end: Position | str
    size: int
    sent_at: float


class Copy:
    """One member's copy, as its primary knows it. ``settled()``: is the store's memory what its position says?"""

    def __init__(
        self, member: str, epoch: int, store: Store, clock: Clock, network: Network, settled: Callable[[], bool]
    ) -> None:
        self.state = CopyState.UNKNOWN
        self.stored = INITIAL_POSITION
        self.known = False
        self._member = member
        self._address = address_of(member)
        self._epoch = epoch
        self._store = store
        self._clock = clock
        self._network = network
        self._settled = settled
        self._sent = INITIAL_POSITION  # the last batch sent, or the position of the transfer
        self._in_flight: deque[InFlight] = deque()
        self._window = LEAST_WINDOW_BYTES
        self._progress_at = clock.now()
        self._keys: list[str] = []
        self._cursor = 0
        self._upto = ""
        self._last_sent = False
        self._repairing = False
        self._probe = 0
        self._probe_after = PROBE_AFTER_S

    def begin(self, epoch: int) -> None:
        """The primary goes on in another epoch: what was sent in an earlier one may be refused."""
        self._epoch = epoch
        if self.state is CopyState.BATCHES:
            self._rewind()
        elif self.state is not CopyState.UNKNOWN:
            self._ask()
        self.pump()

    # What the member tells -----------------------------------------------------------------------------

    def on_position(self, position: Position) -> None:
        """How far its copy reaches."""
        moved = position != self.stored or not self.known
        if moved:
            self._progress_at = self._clock.now()
        self.stored, self.known = position, True
        repairing = self._repairing and self.state is not CopyState.INSTALLING
        if self._store.continues_from(position) and not repairing:
            self._follow(position)
        elif self.state in (CopyState.UNKNOWN, CopyState.BATCHES):
            self._ask()
        self.pump()

    def _follow(self, position: Position) -> None:
        while self.state is CopyState.BATCHES and self._in_flight and self._in_flight[0].end <= position:
            self._confirmed(self._in_flight.popleft())
        if self.state is not CopyState.BATCHES:
            self._repairing = False
            self._become(CopyState.BATCHES)
            self._rewind()
        elif not self._store.continues_from(self._sent) or self._sent < position or self._stalled:
            self._rewind()

    @property
    def _stalled(self) -> bool:
        if not self._in_flight:
            return False
        on_its_way = sum(one.size for one in self._in_flight)
        return self._clock.now() - self._progress_at > RESEND_AFTER_S + on_its_way / SLOWEST_BYTES_S

    def on_progress(self, message: SnapshotProgress) -> None:
        """How far a transfer has come."""
        if self.state is CopyState.PARTS and message.probe == 0:
            self._confirm(message.upto)
        elif self.state is CopyState.ASKING and message.probe == self._probe:
            self._resume(message)
        self.pump()

    def _confirm(self, upto: str) -> None:
        while self._in_flight and self._in_flight[0].end <= upto:
            self._confirmed(self._in_flight.popleft())
            self._progress_at = self._clock.now()
            self._probe_after = PROBE_AFTER_S
        if not self._in_flight and self._last_sent:
            self._become(CopyState.INSTALLING)

    def _confirmed(self, sent: InFlight) -> None:
        """Find out how much the link carries: what is confirmed late was too much at once."""
        if self._clock.now() - sent.sent_at > SLOW_CONFIRM_S:
            self._window = max(LEAST_WINDOW_BYTES, self._window // 2)
        else:
            self._window = min(MOST_WINDOW_BYTES, self._window + sent.size)

    def _resume(self, message: SnapshotProgress) -> None:
        self._progress_at = self._clock.now()
        self._in_flight.clear()
        if message.installing:
            self._become(CopyState.INSTALLING)
            return
        self._last_sent = False
        if message.upto and self._store.continues_from(message.position):
            self._keys = sorted(self._store.values)
            self._sent, self._upto = message.position, message.upto
            self._cursor = bisect_right(self._keys, message.upto)
        else:
            self._upto = ""
        self._become(CopyState.PARTS)

    def _begin_parts(self) -> None:
        """The first part is about to go: the transfer is of the state as it is now.

        Not before: a batch that went ahead of the first part would be in no transfer, and its new keys in no part.
        """
        self._keys = sorted(self._store.values)
        self._sent, self._cursor = self._store.position, 0

    # What is sent --------------------------------------------------------------------------------------

    def offer(self, batch: Batch) -> None:
        """A batch that is about to be stored here too: it may go at once."""
        current = self.state is CopyState.BATCHES and not self._window_full
        if (current or self._parts_begun) and self._sent == batch.previous:
            self._send_batch(batch)

    def pump(self) -> None:
        """Send what the windows let through."""
        if self.state is CopyState.BATCHES:
            while not self._window_full and self._send_next_batch():
                pass
        elif self.state is CopyState.PARTS and self._settled():
            if not self._parts_begun:
                self._begin_parts()
            while self._send_next_batch():
                pass
            if self._sent != self._store.position:
                self._ask()  # the batches in between are no longer at hand: it has to begin again
            while self.state is CopyState.PARTS and self._send_next_part():
                pass

    def tick(self) -> None:
        """Called several times a second: a transfer that does not come on is asked about."""
        if self.state not in (CopyState.ASKING, CopyState.PARTS, CopyState.INSTALLING):
            return
        if self._clock.now() - self._progress_at > self._probe_after:
            self._probe_after = min(MOST_PROBE_AFTER_S, 2 * self._probe_after)
            self._ask()

    def restart(self) -> None:
        """Send the whole state, since the copy differs."""
        if not self._repairing:
            self._repairing = True
            self._ask()

    @property
    def repairing(self) -> bool:
        """Was the copy found to differ, and is not yet replaced?"""
        return self._repairing

    @property
    def _parts_begun(self) -> bool:
        return self.state is CopyState.PARTS and bool(self._upto)

    @property
    def _window_full(self) -> bool:
        return sum(one.size for one in self._in_flight) >= self._window

    def _send_next_batch(self) -> bool:
        """Send what follows, several small batches as one: a sync each would make a member that was away late."""
        following, size = [], 0
        position = self._sent
        while size < MERGED_BYTES and (batch := self._store.batch_after(position)) is not None:
            following.append(batch)
            size += batch.size
            position = batch.position
        if following:
            self._send_batch(merge_batches(following))
        return bool(following)

    def _send_batch(self, batch: Batch) -> None:
        if not self._in_flight:
            self._progress_at = max(self._progress_at, self._clock.now())
        if self.state is CopyState.BATCHES:
            self._in_flight.append(InFlight(batch.position, batch.size, self._clock.now()))
        self._network.send(self._address, Replicate(self._epoch, batch))
        self._sent = batch.position

    def _send_next_part(self) -> bool:
        if self._last_sent or self._window_full:
            return False
        puts = self._next_puts()
        self._last_sent = self._cursor >= len(self._keys)
        after, self._upto = self._upto, END if self._last_sent else self._keys[self._cursor - 1]
        size = sum(put.size for put in puts)
        self._in_flight.append(InFlight(self._upto, size, self._clock.now()))
        part = SnapshotChunk(self._epoch, self._store.position, after, self._upto, self._last_sent, puts)
        self._network.send(self._address, part)
        return True

    def _next_puts(self) -> tuple[Put, ...]:
        puts, size = [], 0
        most = min(MOST_PART_BYTES, self._window)
        while self._cursor < len(self._keys) and size < most:
            key = self._keys[self._cursor]
            self._cursor += 1
            value = self._store.values.get(key)
            if value is not None:
                puts.append(Put(key, value))
                size += puts[-1].size
        return tuple(puts)

    def _rewind(self) -> None:
        """Send again from where the member is."""
        self._in_flight.clear()
        self._sent = self.stored
        self._progress_at = self._clock.now()

    def _ask(self) -> None:
        self._become(CopyState.ASKING)
        self._probe += 1
        self._progress_at = self._clock.now()
        self._network.send(self._address, SnapshotProbe(self._epoch, self._probe))

    def _become(self, state: CopyState) -> None:
        """The one change of state."""
        if state is not self.state:
            log.info("event=copy member=%s state=%s", self._member, state.value)
        self.state = state
        self._in_flight.clear()


def merge_batches(batches: list[Batch]) -> Batch:
    """One batch with the effect of several that follow each other."""
    if len(batches) == 1:
        return batches[0]
    puts = {put.key: put for batch in batches for put in batch.puts}
    return Batch(batches[0].previous, batches[-1].position, tuple(puts.values()))
