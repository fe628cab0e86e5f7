"""Model of a snapshot transfer: a primary's replica and a follower, with writes, partitions, restarts and failovers.

Messages of one connection arrive in order; a partition drops those in flight. The follower may restart, the
primary lose its lease to another member with the same state; time passes.

Invariants: what the follower holds at a position is the state that was written at that position, in memory and on disk.
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
FIRST = (("k1", 1), ("k2", 2), ("k3", 3))
LATER = (("k2", 4), ("new", 5), ("k1", None), ("k3", 6))  # a key rewritten, one that was not there, one removed


@dataclass(frozen=True)
class TransferBounds:
    """How often each event may happen. ``repairs``: the primary finds that the copy differs."""

    writes: int = 2
    partitions: int = 1
    restarts: int = 0
    leads: int = 0
    pauses: int = 1
    repairs: int = 0


class Pipe:
    """Implements the Network port: one connection in one direction."""

    def __init__(self) -> None:
        self.messages: deque[Message] = deque()

    def send(self, address: str, message: Message) -> None:
        """Part of the Network port."""
        self.messages.append(message)


class SnapshotTransfer:
    """The state machine that is searched."""

    def __init__(self, bounds: TransferBounds) -> None:
        self.world = World(1)
        self._epoch = 1
        self._there, self._back = Pipe(), Pipe()
        self.store = Store(self.world.machine(PRIMARY).files)
        self._states: dict[Position, dict[str, bytes]] = {self.store.position: {}}
        self._left = {
            "submit": bounds.writes,
            "cut": bounds.partitions,
            "restart": bounds.restarts,
            "next lead": bounds.leads,
            "pause": bounds.pauses,
            "repair": bounds.repairs,
        }
        self._pending: list[Put] = []
        self._undo: tuple[Put, ...] = ()
        self._written = 0
        for _ in FIRST:
            self._submit()
            self._flush()
        self.store.recent_batches = type(self.store.recent_batches)()  # so that only a whole state helps
        self._start_follower()
        self._lead()

    def _lead(self) -> None:
        network, clock = self._there, self.world.machine(PRIMARY).clock()
        self.progress = ReplicaProgress(FOLLOWER, self._epoch, self.store, clock, network, self._is_settled)
        self.progress.on_position(self.follower_store.durable_position)

    def _is_settled(self) -> bool:
        return not self._pending

    def _start_follower(self) -> None:
        self.follower_store = Store(self.world.machine(FOLLOWER).files)
        self.follower = Follower(FOLLOWER, self.follower_store, self._back, self._accepts_writes_of, lambda: PRIMARY)

    def _accepts_writes_of(self, epoch: int) -> bool:
        return epoch == self._epoch

    def _submit(self) -> None:
        """A write changes the memory; keys are rewritten, removed and new."""
        put = put_value(*(FIRST + LATER)[self._written])
        self._written += 1
        self._undo = (*self.store.undo_of((put,)), *self._undo)
        self.store.apply((put,))
        self._pending.append(put)

    def _flush(self) -> None:
        """What was submitted goes as one batch."""
        puts, self._pending, self._undo = tuple(self._pending), [], ()
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
        found: list[Event] = [(what,) for what, left in self._left.items() if left]
        if self._pending:
            found.append(("flush",))
        if self._there.messages:
            found.append(("follower hears",))
        if self._back.messages:
            found.append(("primary hears",))
        return found

    def apply(self, event: Event) -> None:
        """Part of StateMachine."""
        (what,) = event
        if what in self._left:
            self._left[what] -= 1
        with (
            patch.multiple(send_window, MIN_WINDOW_BYTES=1, MAX_WINDOW_BYTES=4),
            patch.multiple(snapshot_stream, MAX_CHUNK_BYTES=1),
        ):
            getattr(self, "_" + what.replace(" ", "_"))()

    def _follower_hears(self) -> None:
        message = self._there.messages.popleft()
        handlers = {
            Replicate: self.follower.on_replicate,
            SnapshotChunk: self.follower.on_snapshot_chunk,
            SnapshotProbe: self.follower.on_snapshot_probe,
        }
        handlers[type(message)](message)

    def _primary_hears(self) -> None:
        message = self._back.messages.popleft()
        if message.epoch != self._epoch:
            return
        if isinstance(message, ReplicateAck):
            self.progress.on_position(message.position)
        elif isinstance(message, SnapshotProgress):
            self.progress.on_progress(message)

    def _cut(self) -> None:
        self._there.messages.clear()
        self._back.messages.clear()

    def _restart(self) -> None:
        self._cut()
        self._start_follower()

    def _pause(self) -> None:
        """Time goes by; a heartbeat tells the follower's position, as in service."""
        self.world.time += PAUSE_S
        self.progress.tick()
        self._back.send(PRIMARY, ReplicateAck(self._epoch, FOLLOWER, self.follower_store.durable_position))

    def _repair(self) -> None:
        self.progress.repair()

    def _next_lead(self) -> None:
        """What is in no batch yet is undone, as the lead that submitted it has ended."""
        self.store.apply(self._undo)
        self._pending, self._undo = [], ()
        self._epoch += 1
        self._lead()

    def key(self) -> Hashable:
        """Part of StateMachine. Times count relative to the present."""
        omitted = frozenset({"_clock", "_network", "_store", "_progress_at"})
        return (
            frozen(self.progress, omitted),
            round(self.world.time - self.progress._progress_at, 3),
            self.store.position,
            len(self._pending),
            self.follower_store.position,
            frozen(values_of(self.follower_store)),
            frozen(self.follower._transfer),
            tuple(encode(message) for message in self._there.messages),
            tuple(encode(message) for message in self._back.messages),
            tuple(self._left.values()),
        )

    def check(self) -> None:
        """Part of StateMachine. Raises InvariantViolation."""
        for store in (self.follower_store, Store(self.world.machine(FOLLOWER).files)):
            expected = self._states.get(store.durable_position)
            if expected is None or values_of(store) != expected:
                raise InvariantViolation(
                    f"at {store.durable_position} the follower has {values_of(store)}, {expected} was written"
                )


def values_of(store: Store) -> dict[str, bytes]:
    """Keys and values as bytes."""
    return {key: bytes(msgspec.Raw(value)) for key, value in store.values.items()}


BOUNDS = (
    TransferBounds(writes=3, partitions=0, pauses=0),
    TransferBounds(writes=2, partitions=1, pauses=1),
    TransferBounds(writes=1, partitions=1, pauses=2),
    TransferBounds(writes=2, partitions=0, restarts=1, pauses=1),
    TransferBounds(writes=2, partitions=1, leads=1, pauses=1),
    TransferBounds(writes=2, partitions=0, pauses=1, repairs=1),
)
