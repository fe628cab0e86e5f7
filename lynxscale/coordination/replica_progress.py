"""The primary's view of one replica's progress, and what it sends the replica next.

The states are those of etcd's raft (https://pkg.go.dev/go.etcd.io/raft/v3/tracker), with three states for a snapshot:

- PROBE: the replica has not reported its position yet. Nothing is sent.
- REPLICATE: the batches in memory continue from its position. New batches are sent immediately, within a window.
- SNAPSHOT_PROBE: the batches in memory do not continue from its position, so it needs a snapshot, the complete state.
  It is asked how much of a snapshot it already has, because a transfer resumes where it stopped, also after a lost
  connection or under another primary.
- SNAPSHOT: the entries are sent in key order, in chunks that are acknowledged. Batches made meanwhile are sent between
  the chunks, so each chunk is the state at the position of the last batch sent.
- INSTALLING: the replica has all chunks and makes the state durable.

::

    state           next            when
    PROBE           REPLICATE       the batches in memory continue from the position in its report or its promise
                    SNAPSHOT_PROBE  the batches in memory do not continue from the position that it reports
    REPLICATE       SNAPSHOT_PROBE  the batches in memory no longer continue, or its state differs (``repair``)
    SNAPSHOT_PROBE  SNAPSHOT        it reports how much of a snapshot it has
                    INSTALLING      it reports that it has the complete snapshot
    SNAPSHOT        INSTALLING      it acknowledges the final chunk
    INSTALLING      REPLICATE       it reports the position of the snapshot
    any snapshot    SNAPSHOT_PROBE  no progress for too long, another epoch, or its state differs
    any snapshot    REPLICATE       it reports a position from which the batches in memory continue

``TRANSITIONS`` holds this table; only ``ReplicaProgress._become`` changes the state.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from enum import Enum

from lynxscale.coordination.messages import (
    Batch,
    Position,
    Replicate,
    SnapshotChunk,
    SnapshotProbe,
    SnapshotProgress,
    address_of,
)
from lynxscale.coordination.ports import Clock, Network
from lynxscale.coordination.send_window import SendWindow
from lynxscale.coordination.snapshot_stream import SnapshotStream
from lynxscale.coordination.store import Store
from lynxscale.coordination.version_files import INITIAL_POSITION

log = logging.getLogger(__name__)

MAX_MERGED_BYTES = 64_000  # small batches are merged into one up to this size
# A replica whose snapshot makes no progress is probed after the first interval, which doubles up to the second.
PROBE_AFTER_S, MAX_PROBE_AFTER_S = 1.0, 8.0


class ReplicaState(Enum):
    """How a replica is brought up to date; see the module docstring."""

    PROBE = "probe"
    REPLICATE = "replicate"
    SNAPSHOT_PROBE = "snapshot_probe"
    SNAPSHOT = "snapshot"
    INSTALLING = "installing"


TRANSITIONS: dict[ReplicaState, frozenset[ReplicaState]] = {
    ReplicaState.PROBE: frozenset({ReplicaState.REPLICATE, ReplicaState.SNAPSHOT_PROBE}),
    ReplicaState.REPLICATE: frozenset({ReplicaState.SNAPSHOT_PROBE}),
    ReplicaState.SNAPSHOT_PROBE: frozenset(
        {ReplicaState.SNAPSHOT_PROBE, ReplicaState.SNAPSHOT, ReplicaState.INSTALLING, ReplicaState.REPLICATE}
    ),
    ReplicaState.SNAPSHOT: frozenset({ReplicaState.SNAPSHOT_PROBE, ReplicaState.INSTALLING, ReplicaState.REPLICATE}),
    ReplicaState.INSTALLING: frozenset({ReplicaState.SNAPSHOT_PROBE, ReplicaState.REPLICATE}),
}


class ReplicaProgress:
    """Tracks one replica's progress and sends it batches or a snapshot.

    ``memory_is_at_position()``: whether the state in memory is that at the store's position; chunks are sent only then.
    """

    def __init__(
        self,
        member: str,
        epoch: int,
        store: Store,
        clock: Clock,
        network: Network,
        memory_is_at_position: Callable[[], bool],
    ) -> None:
        self.state = ReplicaState.PROBE
        self.stored = INITIAL_POSITION  # the position reported last
        self.known = False  # whether it has reported a position
        self._member = member
        self._address = address_of(member)
        self._epoch = epoch
        self._store = store
        self._clock = clock
        self._network = network
        self._memory_is_at_position = memory_is_at_position
        self._sent = INITIAL_POSITION  # position of the last batch sent, hence of the next snapshot chunk
        self._window = SendWindow(clock)
        self._snapshot = SnapshotStream(store)
        self._progress_at = clock.now()
        self._repairing = False
        self._probe_id = 0
        self._probe_after_s = PROBE_AFTER_S

    @property
    def repairing(self) -> bool:
        """Whether the replica's state was found to differ and was not replaced yet."""
        return self._repairing

    def begin(self, epoch: int) -> None:
        """Continue in another epoch of this primary; messages sent in the earlier one may be rejected, so resend."""
        self._epoch = epoch
        if self.state is ReplicaState.REPLICATE:
            self._rewind()
        elif self.state is not ReplicaState.PROBE:
            self._probe_snapshot()
        self.pump()

    def expect(self, position: Position) -> None:
        """Send batches from the position in the replica's promise of this epoch, before it reports a position.

        Since that promise no other primary can have written to the replica. It counts as caught up only once it
        reports a position itself.
        """
        if self.state is ReplicaState.PROBE and self._store.continues_from(position):
            self.stored = position
            self._follow(position)

    def repair(self) -> None:
        """Send a snapshot, because the replica's state differs from this primary's."""
        if not self._repairing:
            self._repairing = True
            self._probe_snapshot()

    def tick(self) -> None:
        """Called several times a second: probe a replica whose snapshot makes no progress."""
        if self.state in (ReplicaState.PROBE, ReplicaState.REPLICATE):
            return
        if self._clock.now() - self._progress_at > self._probe_after_s:
            self._probe_after_s = min(MAX_PROBE_AFTER_S, 2 * self._probe_after_s)
            self._probe_snapshot()

    # Reports of the replica ----------------------------------------------------------------------------

    def on_position(self, position: Position) -> None:
        """Handle the position that the replica has stored."""
        if position != self.stored or not self.known:
            self._progress_at = self._clock.now()
        self.stored, self.known = position, True
        repairing = self._repairing and self.state is not ReplicaState.INSTALLING
        if self._store.continues_from(position) and not repairing:
            self._follow(position)
        elif self.state in (ReplicaState.PROBE, ReplicaState.REPLICATE):
            self._probe_snapshot()
        self.pump()

    def _follow(self, position: Position) -> None:
        """Send batches from a position, unless they are being sent already."""
        if self.state is ReplicaState.REPLICATE:
            self._window.acknowledge(position)
            if not self._store.continues_from(self._sent) or self._sent < position or self._stalled:
                self._rewind()
        else:
            self._repairing = False
            self._become(ReplicaState.REPLICATE)
            self._rewind()

    @property
    def _stalled(self) -> bool:
        if self._window.empty:
            return False
        return self._clock.now() - self._progress_at > self._window.ack_timeout_s

    def on_progress(self, message: SnapshotProgress) -> None:
        """Handle a report of how much of a snapshot the replica has."""
        if self.state is ReplicaState.SNAPSHOT and message.probe_id == 0:
            self._acknowledge_chunks(message.last_key)
        elif self.state is ReplicaState.SNAPSHOT_PROBE and message.probe_id == self._probe_id:
            self._resume(message)
        self.pump()

    def _acknowledge_chunks(self, last_key: str) -> None:
        if self._window.acknowledge(last_key):
            self._progress_at = self._clock.now()
            self._probe_after_s = PROBE_AFTER_S
        if self._window.empty and self._snapshot.finished:
            self._become(ReplicaState.INSTALLING)

    def _resume(self, message: SnapshotProgress) -> None:
        """Handle the reply to a probe: resume the transfer if possible, otherwise start it again."""
        self._progress_at = self._clock.now()
        self._window.clear()
        if message.installing:
            self._become(ReplicaState.INSTALLING)
            return
        if message.last_key and self._store.continues_from(message.position):
            self._snapshot.resume(message.last_key)
            self._sent = message.position
        else:
            self._snapshot.reset()
        self._become(ReplicaState.SNAPSHOT)

    # Sending -------------------------------------------------------------------------------------------

    def offer(self, batch: Batch) -> None:
        """Send a new batch immediately, if the window allows, while the primary itself stores it."""
        replicating = self.state is ReplicaState.REPLICATE and not self._window.full
        if (replicating or self._chunks_begun) and self._sent == batch.previous:
            self._send_batch(batch)

    def pump(self) -> None:
        """Send as much as the window allows."""
        if self.state is ReplicaState.REPLICATE:
            while not self._window.full and self._send_next_batch():
                pass
        elif self.state is ReplicaState.SNAPSHOT and self._memory_is_at_position():
            self._pump_snapshot()

    def _pump_snapshot(self) -> None:
        if not self._chunks_begun:
            # The keys are listed only now: a batch sent before the first chunk would be in no snapshot, and the new
            # keys in it would be in no chunk.
            self._snapshot.begin()
            self._sent = self._store.position
        while self._send_next_batch():
            pass
        if self._sent != self._store.position:
            self._probe_snapshot()  # the batches since the last one sent were dropped: the snapshot has to start again
        while self.state is ReplicaState.SNAPSHOT and self._send_next_chunk():
            pass

    @property
    def _chunks_begun(self) -> bool:
        return self.state is ReplicaState.SNAPSHOT and self._snapshot.begun

    def _send_next_batch(self) -> bool:
        """Send the next batches, merging small ones: a sync per batch would slow down the catch-up."""
        batches: list[Batch] = []
        size = 0
        position = self._sent
        while size < MAX_MERGED_BYTES and (batch := self._store.batch_after(position)) is not None:
            batches.append(batch)
            size += batch.size
            position = batch.position
        if batches:
            self._send_batch(merge_batches(batches))
        return bool(batches)

    def _send_batch(self, batch: Batch) -> None:
        if self._window.empty:
            self._progress_at = max(self._progress_at, self._clock.now())
        if self.state is ReplicaState.REPLICATE:
            self._window.add(batch.position, batch.size)
        self._network.send(self._address, Replicate(self._epoch, batch))
        self._sent = batch.position

    def _send_next_chunk(self) -> bool:
        if self._snapshot.finished or self._window.full:
            return False
        chunk = self._snapshot.next_chunk(self._window.size)
        self._window.add(chunk.last_key, sum(put.size for put in chunk.puts))
        message = SnapshotChunk(
            self._epoch, self._store.position, chunk.after_key, chunk.last_key, chunk.final, chunk.puts
        )
        self._network.send(self._address, message)
        return True

    def _rewind(self) -> None:
        """Resend from the position that the replica reported last."""
        self._window.clear()
        self._sent = self.stored
        self._progress_at = self._clock.now()

    def _probe_snapshot(self) -> None:
        self._become(ReplicaState.SNAPSHOT_PROBE)
        self._probe_id += 1
        self._progress_at = self._clock.now()
        self._network.send(self._address, SnapshotProbe(self._epoch, self._probe_id))

    def _become(self, state: ReplicaState) -> None:
        """Change the state; no other method changes it. Messages in flight belong to the old state and are dropped."""
        assert state in TRANSITIONS[self.state], (self.state, state)
        if state is not self.state:
            log.info("event=replica_state member=%s state=%s", self._member, state.value)
        self.state = state
        self._window.clear()


def merge_batches(batches: list[Batch]) -> Batch:
    """Merge consecutive batches into one with the same effect."""
    if len(batches) == 1:
        return batches[0]
    puts = {put.key: put for batch in batches for put in batch.puts}
    return Batch(batches[0].previous, batches[-1].position, tuple(puts.values()))
