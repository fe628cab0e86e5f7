"""Model of a snapshot transfer from a primary to a follower, with writes, partitions, restarts and failovers.

Messages of one connection arrive in order; a partition drops those in flight. The follower may restart, the primary may
lose its lease to another member with the same state, and time passes.

Invariant: in memory and on disk, the follower's state at a position is the state that was written at that position.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass
from unittest.mock import patch

import msgspec

from lab.model_checker import Event, InvariantViolation, frozen
from lab.tier.world import World
from lynxscale.coordination import send_window, snapshot_stream
from lynxscale.coordination.follower import Follower
from lynxscale.coordination.messages import (
    Batch,
    Message,
    Position,
    Put,
    Replicate,
    ReplicateAck,
    SnapshotChunk,
    SnapshotProbe,
    SnapshotProgress,
    encode,
    put_value,
)
from lynxscale.coordination.replica_progress import ReplicaProgress
from lynxscale.coordination.store import Store

PRIMARY, FOLLOWER = "p:1", "f:1"
PAUSE_S = 1.5
INITIAL_WRITES = (("k1", 1), ("k2", 2), ("k3", 3))
LATER_WRITES = (("k2", 4), ("new", 5), ("k1", None), ("k3", 6))  # rewrites keys, adds one and removes one


@dataclass(frozen=True)
class TransferBounds:
    """How often each event may happen. ``repairs``: the primary detects that the replica differs."""

    writes: int = 2
    partitions: int = 1
    restarts: int = 0
    failovers: int = 0
    pauses: int = 1
    repairs: int = 0


class MessageQueue:
    """One direction of a connection. Implements the Network port."""

    def __init__(self) -> None:
        self.messages: deque[Message] = deque()

    def send(self, address: str, message: Message) -> None:
        """Part of the Network port."""
        self.messages.append(message)


class SnapshotTransfer:
    """The state machine of the model."""

    def __init__(self, bounds: TransferBounds) -> None:
        self.world = World(1)
        self._epoch = 1
        self._to_follower, self._to_primary = MessageQueue(), MessageQueue()
        self.store = Store(self.world.machine(PRIMARY).files)
        self._states: dict[Position, dict[str, bytes]] = {self.store.position: {}}
        self._remaining_events = {
            "submit": bounds.writes,
            "partition": bounds.partitions,
            "restart": bounds.restarts,
            "failover": bounds.failovers,
            "pause": bounds.pauses,
            "repair": bounds.repairs,
        }
        self._pending: list[Put] = []
        self._undo_puts: tuple[Put, ...] = ()
        self._write_count = 0
        for _ in INITIAL_WRITES:
            self._submit()
            self._flush()
        self.store.recent_batches = type(self.store.recent_batches)()  # without batches, the follower needs a snapshot
        self._start_follower()
        self._start_primary()

    def _start_primary(self) -> None:
        network, clock = self._to_follower, self.world.machine(PRIMARY).clock()
        self.progress = ReplicaProgress(FOLLOWER, self._epoch, self.store, clock, network, self._nothing_pending)
        self.progress.on_position(self.follower_store.durable_position)

    def _nothing_pending(self) -> bool:
        return not self._pending

    def _start_follower(self) -> None:
        self.follower_store = Store(self.world.machine(FOLLOWER).files)
        self.follower = Follower(
            FOLLOWER, self.follower_store, self._to_primary, self._accepts_writes_of, lambda: PRIMARY
        )

    def _accepts_writes_of(self, epoch: int) -> bool:
        return epoch == self._epoch

    def _submit(self) -> None:
        """Submit the next write, which changes the memory of the primary."""
        put = put_value(*(INITIAL_WRITES + LATER_WRITES)[self._write_count])
        self._write_count += 1
        self._undo_puts = (*self.store.undo_of((put,)), *self._undo_puts)
        self.store.apply((put,))
        self._pending.append(put)

    def _flush(self) -> None:
        """Save and send all submitted writes as one batch."""
        puts, self._pending, self._undo_puts = tuple(self._pending), [], ()
        previous = self.store.position
        batch = Batch(previous, Position(self._epoch, previous.index + 1), puts)
        if hasattr(self, "progress"):
            self.progress.offer(batch)
        self.store.save(batch)
        self._states[self.store.position] = values_of(self.store)
        if hasattr(self, "progress"):
            self.progress.pump()

    def events(self) -> list[Event]:
        """Part of StateMachine."""
        possible_events: list[Event] = [(action,) for action, remaining in self._remaining_events.items() if remaining]
        if self._pending:
            possible_events.append(("flush",))
        if self._to_follower.messages:
            possible_events.append(("follower receives",))
        if self._to_primary.messages:
            possible_events.append(("primary receives",))
        return possible_events

    def apply(self, event: Event) -> None:
        """Part of StateMachine."""
        (action,) = event
        if action in self._remaining_events:
            self._remaining_events[action] -= 1
        with (
            patch.multiple(send_window, MIN_WINDOW_BYTES=1, MAX_WINDOW_BYTES=4),
            patch.multiple(snapshot_stream, MAX_CHUNK_BYTES=1),
        ):
            getattr(self, "_" + action.replace(" ", "_"))()

    def _follower_receives(self) -> None:
        message = self._to_follower.messages.popleft()
        handlers = {
            Replicate: self.follower.on_replicate,
            SnapshotChunk: self.follower.on_snapshot_chunk,
            SnapshotProbe: self.follower.on_snapshot_probe,
        }
        handlers[type(message)](message)

    def _primary_receives(self) -> None:
        message = self._to_primary.messages.popleft()
        if message.epoch != self._epoch:
            return
        if isinstance(message, ReplicateAck):
            self.progress.on_position(message.position)
        elif isinstance(message, SnapshotProgress):
            self.progress.on_progress(message)

    def _partition(self) -> None:
        self._to_follower.messages.clear()
        self._to_primary.messages.clear()

    def _restart(self) -> None:
        self._partition()
        self._start_follower()

    def _pause(self) -> None:
        """Let time pass; the follower reports its position in a heartbeat."""
        self.world.time += PAUSE_S
        self.progress.tick()
        self._to_primary.send(PRIMARY, ReplicateAck(self._epoch, FOLLOWER, self.follower_store.durable_position))

    def _repair(self) -> None:
        self.progress.repair()

    def _failover(self) -> None:
        """Start the next primary: undo the writes that are in no batch yet."""
        self.store.apply(self._undo_puts)
        self._pending, self._undo_puts = [], ()
        self._epoch += 1
        self._start_primary()

    def key(self) -> Hashable:
        """Part of StateMachine. Times are relative to the current time."""
        omitted = frozenset({"_clock", "_network", "_store", "_progress_at"})
        return (
            frozen(self.progress, omitted),
            round(self.world.time - self.progress._progress_at, 3),
            self.store.position,
            len(self._pending),
            self.follower_store.position,
            frozen(values_of(self.follower_store)),
            frozen(self.follower._transfer),
            tuple(encode(message) for message in self._to_follower.messages),
            tuple(encode(message) for message in self._to_primary.messages),
            tuple(self._remaining_events.values()),
        )

    def check(self) -> None:
        """Part of StateMachine. Raises InvariantViolation."""
        for store in (self.follower_store, Store(self.world.machine(FOLLOWER).files)):
            expected = self._states.get(store.durable_position)
            if expected is None or values_of(store) != expected:
                raise InvariantViolation(
                    f"at {store.durable_position} the follower has {values_of(store)}, but {expected} was written"
                )


def values_of(store: Store) -> dict[str, bytes]:
    """The keys of a store with their values as bytes."""
    return {key: bytes(msgspec.Raw(value)) for key, value in store.values.items()}


BOUNDS = (
    TransferBounds(writes=3, partitions=0, pauses=0),
    TransferBounds(writes=2, partitions=1, pauses=1),
    TransferBounds(writes=1, partitions=1, pauses=2),
    TransferBounds(writes=2, partitions=0, restarts=1, pauses=1),
    TransferBounds(writes=2, partitions=1, failovers=1, pauses=1),
    TransferBounds(writes=2, partitions=0, pauses=1, repairs=1),
)
