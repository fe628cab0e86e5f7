"""The primary's side of primary-backup replication: batches out, acknowledgements in, copies for those behind.

One batch is under way at a time; what is submitted meanwhile goes with the next. A batch is committed once every
in-sync member has stored it, and at least ``copies`` members in all.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from lynxscale.coordination.messages import Batch, EpochRecord, Position, Put, SnapshotProgress
from lynxscale.coordination.ports import Clock, Network
from lynxscale.coordination.replica_progress import Copy
from lynxscale.coordination.store import Store
from lynxscale.coordination.version_files import INITIAL_POSITION

LAG_S = 0.4  # a member that has not stored a batch after so long is not waited for


@dataclass(slots=True)
class Submission:
    """Puts that wait for their batch, what undoes them, and whom to tell of the commit."""

    puts: tuple[Put, ...]
    undo: tuple[Put, ...]
    done: Callable[[bool], None]


@dataclass(slots=True)
class Outstanding:
    """The batch under way."""

    batch: Batch
    begun_at: float
    submissions: list[Submission] = field(default_factory=list)


class Replicator:
    """Replicates one primary's batches within its epoch. It ends with ``abandon``."""

    def __init__(
        self,
        member: str,
        store: Store,
        clock: Clock,
        network: Network,
        copies: int,
        on_disk_failure: Callable[[OSError], None],
    ) -> None:
        self.member = member
        self._on_disk_failure = on_disk_failure
        self.committed = INITIAL_POSITION
        self._inherited = store.position  # what earlier primaries may have committed
        self.copies: dict[str, Copy] = {}
        self._store = store
        self._clock = clock
        self._network = network
        self._least_copies = copies
        self._record: EpochRecord | None = None
        self._must_store: set[str] = set()
        self._pending: list[Submission] = []
        self._outstanding: Outstanding | None = None
        self._flush_due = False

    @property
    def idle(self) -> bool:
        """Is everything that was submitted committed?"""
        return not self._pending and self._outstanding is None

    @property
    def lacking(self) -> set[str]:
        """Members without whose copy the batch under way cannot be committed."""
        if self._outstanding is None:
            return set()
        position = self._outstanding.batch.position
        return {one for one in self._must_store if one != self.member and self.copies[one].stored != position}

    def lagging(self) -> set[str]:
        """Members that have held up the batch under way for too long, whether they are heard of or not."""
        if self._outstanding is None or self._clock.now() - self._outstanding.begun_at < LAG_S:
            return set()
        return self.lacking

    def begin(self, record: EpochRecord) -> None:
        """Go on in a new epoch of this primary; the first one opens with an empty batch, so positions differ."""
        first = self._record is None
        self._record = record
        self._must_store = set(record.in_sync)
        self._copy_to((*record.in_sync, *record.voters))
        if first:
            self.submit((), lambda committed: None)
        for copy in self.copies.values():
            copy.begin(record.epoch)
        self._check_commit()

    def require_also(self, members: set[str]) -> None:
        """While a change of the in-sync set is undecided, a commit needs the copies of every set that may hold."""
        self._must_store |= members
        self._copy_to(members)

    def forget(self, members: set[str]) -> None:
        """Send nothing more to all but these."""
        for one in set(self.copies) - members - self._must_store:
            del self.copies[one]

    def submit(self, puts: tuple[Put, ...], done: Callable[[bool], None]) -> None:
        """Change the state now; ``done(True)`` once that is committed, ``done(False)`` if this cannot be told."""
        self._pending.append(Submission(puts, self._store.undo_of(puts), done))
        self._store.apply(puts)
        self._schedule_flush()

    def barrier(self, done: Callable[[bool], None]) -> None:
        """``done(True)`` once all that was submitted before is committed."""
        if self.idle:
            done(True)
        elif self._pending:
            self._pending.append(Submission((), (), done))
        else:
            self._outstanding.submissions.append(Submission((), (), done))

    def abandon(self) -> None:
        """Another member is primary: nobody can tell here what becomes of the submissions.

        Those that are in no batch yet are undone, as this member may lead again and would take them for committed.
        """
        for submission in reversed(self._pending):
            self._store.apply(submission.undo)
        waiting = self._pending + (self._outstanding.submissions if self._outstanding else [])
        self._pending, self._outstanding = [], None
        for submission in waiting:
            submission.done(False)

    def on_position(self, member: str, position: Position) -> None:
        """A member tells what it has stored."""
        copy = self.copies.get(member)
        if copy is not None:
            copy.on_position(position)
            self._check_commit()

    def on_progress(self, message: SnapshotProgress) -> None:
        """A member tells how far a transfer of the whole state has come."""
        copy = self.copies.get(message.member)
        if copy is not None:
            copy.on_progress(message)

    def tick(self) -> None:
        """Called several times a second."""
        for copy in self.copies.values():
            copy.tick()

    def caught_up(self, member: str) -> bool:
        """Does the member hold all that may be committed, also by earlier primaries?"""
        copy = self.copies.get(member)
        if copy is None or not copy.known or copy.repairing:
            return False
        return copy.stored >= max(self.committed, self._inherited) and self._store.continues_from(copy.stored)

    def behind(self) -> set[str]:
        """Members whose copies may count and lack what is committed: damaged files, or one that differs."""
        lacking = {one for one, copy in self.copies.items() if copy.known and copy.stored < self.committed}
        return lacking | {one for one, copy in self.copies.items() if copy.repairing}

    def repair(self, member: str) -> None:
        """Send a member the whole state, since its copy differs."""
        copy = self.copies.get(member)
        if copy is not None:
            copy.restart()

    @property
    def _settled(self) -> bool:
        """Is the memory the state at the store's position, with nothing that waits for its batch?"""
        return not self._pending

    def _copy_to(self, members: Iterable[str]) -> None:
        for one in members:
            if one != self.member and one not in self.copies:
                epoch = self._record.epoch if self._record else 0
                self.copies[one] = Copy(one, epoch, self._store, self._clock, self._network, lambda: self._settled)

    def _schedule_flush(self) -> None:
        if not self._flush_due:
            self._flush_due = True
            self._clock.call_later(0.0, self._flush)

    def _flush(self) -> None:
        self._flush_due = False
        if self._outstanding is not None or not self._pending or self._record is None:
            return
        submissions, self._pending = self._pending, []
        puts = tuple(put for submission in submissions for put in submission.puts)
        previous = self._store.position
        batch = Batch(previous, Position(self._record.epoch, previous.index + 1), puts)
        self._outstanding = Outstanding(batch, self._clock.now(), submissions)
        for copy in self.copies.values():
            copy.offer(batch)
        try:
            self._store.save(batch)
            self._store.complete_batch()
        except OSError as error:
            self._pending, self._outstanding = submissions + self._pending, None
            self._on_disk_failure(error)
            return
        for copy in self.copies.values():
            copy.pump()
        self._check_commit()

    def _check_commit(self) -> None:
        if self._outstanding is None or self._store.position != self._outstanding.batch.position:
            return
        if self.lacking or len(self._must_store) < self._least_copies:
            return
        outstanding, self._outstanding = self._outstanding, None
        self.committed = outstanding.batch.position
        for submission in outstanding.submissions:
            submission.done(True)
        if self._pending:
            self._schedule_flush()
