"""The primary's side of primary-backup replication: sends batches and snapshots, and decides when a batch is committed.

One batch is in flight at a time; submissions made meanwhile go into the next one. A batch is committed once every
in-sync member has stored it, and at least ``min_replicas`` members in total.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from lynxscale.coordination.messages import Batch, EpochRecord, Position, Put, SnapshotProgress
from lynxscale.coordination.outcomes import CommitCallback, CommitOutcome
from lynxscale.coordination.ports import Clock, Network
from lynxscale.coordination.replica_progress import ReplicaProgress
from lynxscale.coordination.store import Store
from lynxscale.coordination.version_files import INITIAL_POSITION

ACK_TIMEOUT_S = 0.4  # a member that has not stored a batch after this time counts as lagging


@dataclass(frozen=True, slots=True)
class Submission:
    """Submitted puts, the puts that undo them, and the callback for the outcome."""

    puts: tuple[Put, ...]
    undo: tuple[Put, ...]
    on_outcome: CommitCallback


@dataclass(frozen=True, slots=True)
class InFlightBatch:
    """The batch that is not committed yet, and the submissions that are committed with it."""

    batch: Batch
    begun_at: float
    submissions: list[Submission]


class Replicator:
    """Replicates the batches of one primary through all its epochs, until ``abort`` is called."""

    def __init__(
        self,
        member: str,
        store: Store,
        clock: Clock,
        network: Network,
        min_replicas: int,
        on_disk_failure: Callable[[OSError], None],
    ) -> None:
        self.member = member
        self.committed = INITIAL_POSITION
        self.replicas: dict[str, ReplicaProgress] = {}
        self._inherited_position = store.position  # earlier primaries may have committed up to here
        self._store = store
        self._clock = clock
        self._network = network
        self._min_replicas = min_replicas
        self._on_disk_failure = on_disk_failure
        self._record: EpochRecord | None = None
        self._required: set[str] = set()  # members that must store a batch before it is committed
        self._pending: list[Submission] = []
        self._in_flight: InFlightBatch | None = None
        self._flush_scheduled = False

    @property
    def idle(self) -> bool:
        """Whether everything that was submitted is committed."""
        return not self._pending and self._in_flight is None

    # Membership --------------------------------------------------------------------------------------

    def begin(self, record: EpochRecord, positions: Mapping[str, Position]) -> None:
        """Continue in a new epoch of this primary.

        The first epoch starts with an empty batch, whose position distinguishes it from earlier primaries' batches.

        ``positions``: the replica positions in the voters' promises; batches are sent from there immediately.
        """
        first = self._record is None
        self._record = record
        self._required = set(record.in_sync)
        self._replicate_to((*record.in_sync, *record.voters))
        if first:
            self.submit((), lambda outcome: None)
        for member, replica in self.replicas.items():
            replica.begin(record.epoch)
            if member in positions:
                replica.expect(positions[member])
        self._check_commit()

    def require_also(self, members: tuple[str, ...]) -> None:
        """Require further members for a commit: while a change is undecided, either in-sync set may be in force."""
        self._required.update(members)
        self._replicate_to(members)

    def retain_only(self, members: set[str]) -> None:
        """Stop replicating to members other than these and the required ones."""
        for member in set(self.replicas) - members - self._required:
            del self.replicas[member]

    # Submissions -------------------------------------------------------------------------------------

    def submit(self, puts: tuple[Put, ...], on_outcome: CommitCallback) -> None:
        """Change the state in memory; ``on_outcome(outcome)`` once that is committed or this primary stops leading."""
        self._pending.append(Submission(puts, self._store.undo_of(puts), on_outcome))
        self._store.apply(puts)
        self._schedule_flush()

    def barrier(self, on_outcome: CommitCallback) -> None:
        """Call ``on_outcome(COMMITTED)`` once everything submitted before is committed."""
        if self._pending:
            self._pending.append(Submission((), (), on_outcome))
        elif self._in_flight is not None:
            self._in_flight.submissions.append(Submission((), (), on_outcome))
        else:
            on_outcome(CommitOutcome.COMMITTED)

    def abort(self) -> None:
        """Stop replicating. The outcome of pending submissions is unknown, as another primary may have their batch.

        Submissions that are in no batch yet are undone. Otherwise this member, leading again, would treat them as
        committed.
        """
        for submission in reversed(self._pending):
            self._store.apply(submission.undo)
        undecided = self._pending + (self._in_flight.submissions if self._in_flight else [])
        self._pending, self._in_flight = [], None
        for submission in undecided:
            submission.on_outcome(CommitOutcome.UNKNOWN)

    # Reports of replicas -----------------------------------------------------------------------------

    def on_position(self, member: str, position: Position) -> None:
        """Handle the position that a member has stored."""
        replica = self.replicas.get(member)
        if replica is not None:
            replica.on_position(position)
            self._check_commit()

    def on_progress(self, message: SnapshotProgress) -> None:
        """Handle a report of how much of a snapshot a member has received."""
        replica = self.replicas.get(message.member)
        if replica is not None:
            replica.on_progress(message)

    def tick(self) -> None:
        """Called several times a second; probes snapshot transfers that make no progress."""
        for replica in self.replicas.values():
            replica.tick()

    @property
    def awaited(self) -> set[str]:
        """Members whose acknowledgement the batch in flight still needs to be committed."""
        if self._in_flight is None:
            return set()
        position = self._in_flight.batch.position
        return {
            member for member in self._required if member != self.member and self.replicas[member].stored != position
        }

    def lagging(self) -> set[str]:
        """Members that have delayed the batch in flight for too long, even if they are responsive."""
        if self._in_flight is None or self._clock.now() - self._in_flight.begun_at < ACK_TIMEOUT_S:
            return set()
        return self.awaited

    def caught_up(self, member: str) -> bool:
        """Whether the member holds everything that this or an earlier primary may have committed."""
        replica = self.replicas.get(member)
        if replica is None or not replica.known or replica.repairing:
            return False
        must_hold = max(self.committed, self._inherited_position)
        return replica.stored >= must_hold and self._store.continues_from(replica.stored)

    def behind(self) -> set[str]:
        """Members that lack committed data, even if in sync: their files are damaged or their state differs."""
        lacking = {
            member for member, replica in self.replicas.items() if replica.known and replica.stored < self.committed
        }
        return lacking | {member for member, replica in self.replicas.items() if replica.repairing}

    def repair(self, member: str) -> None:
        """Send a member a snapshot, because its state differs."""
        replica = self.replicas.get(member)
        if replica is not None:
            replica.repair()

    # Batches -----------------------------------------------------------------------------------------

    def memory_is_at_position(self) -> bool:
        """Whether the state in memory is that at the store's position: no submission waits for its batch."""
        return not self._pending

    def _replicate_to(self, members: Iterable[str]) -> None:
        epoch = self._record.epoch if self._record else 0
        for member in members:
            if member != self.member and member not in self.replicas:
                self.replicas[member] = ReplicaProgress(
                    member, epoch, self._store, self._clock, self._network, self.memory_is_at_position
                )

    def _schedule_flush(self) -> None:
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self._clock.call_later(0.0, self._flush)

    def _flush(self) -> None:
        """Make one batch of all pending submissions, send it to the replicas and store it locally."""
        self._flush_scheduled = False
        if self._in_flight is not None or not self._pending or self._record is None:
            return
        submissions, self._pending = self._pending, []
        batch = self._make_batch(submissions, self._record.epoch)
        self._in_flight = InFlightBatch(batch, self._clock.now(), submissions)
        for replica in self.replicas.values():
            replica.offer(batch)
        try:
            self._store.save(batch)
            self._store.complete_batch()
        except OSError as error:
            self._pending, self._in_flight = submissions + self._pending, None
            self._on_disk_failure(error)
            return
        for replica in self.replicas.values():
            replica.pump()
        self._check_commit()

    def _make_batch(self, submissions: list[Submission], epoch: int) -> Batch:
        puts = tuple(put for submission in submissions for put in submission.puts)
        previous = self._store.position
        return Batch(previous, Position(epoch, previous.index + 1), puts)

    def _check_commit(self) -> None:
        in_flight = self._in_flight
        if in_flight is None or self._store.position != in_flight.batch.position:
            return
        if self.awaited or len(self._required) < self._min_replicas:
            return
        self._in_flight = None
        self.committed = in_flight.batch.position
        for submission in in_flight.submissions:
            submission.on_outcome(CommitOutcome.COMMITTED)
        if self._pending:
            self._schedule_flush()
