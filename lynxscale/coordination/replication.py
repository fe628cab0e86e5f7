"""The primary's side of primary-backup replication: batches out, acknowledgements in, copies for those behind.

One batch is under way at a time; what is submitted meanwhile goes with the next. A batch is committed once every
in-sync member has stored it, and at least ``copies`` members in all.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from lynxscale.coordination import messages as m
from lynxscale.coordination.ports import Clock, Network
from lynxscale.coordination.store import START, Store

STATE_PART_BYTES = 200_000
LAG_S = 0.4  # a member that has not stored a batch after so long is not waited for
RESEND_AFTER_S = 0.3  # to a member that has not stored what was sent
STATE_RESEND_AFTER_S = 1.5  # the whole state takes longer on its way


@dataclass(slots=True)
class Copy:
    """What the primary knows of another member's copy."""

    stored: m.Position = START
    sent: m.Position = START
    waiting_since: float | None = None  # when the oldest message was sent that may yet bring it on
    known: bool = False
    whole: m.Position = START
    whole_sent_at: float = -1e9


@dataclass(slots=True)
class Submission:
    """Puts that wait for their batch, what undoes them, and whom to tell of the commit."""

    puts: tuple[m.Put, ...]
    undo: tuple[m.Put, ...]
    done: Callable[[bool], None]


@dataclass(slots=True)
class Outstanding:
    """The batch under way."""

    batch: m.Batch
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
        self.committed = START
        self._inherited = store.position  # what earlier primaries may have committed
        self.copies: dict[str, Copy] = {}
        self._store = store
        self._clock = clock
        self._network = network
        self._least_copies = copies
        self._record: m.EpochRecord | None = None
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

    def begin(self, record: m.EpochRecord) -> None:
        """Go on in a new epoch of this primary; the first one opens with an empty batch, so positions differ."""
        first = self._record is None
        self._record = record
        self._must_store = set(record.in_sync)
        self.copies |= {one: Copy() for one in record.in_sync if one not in self.copies}
        for one in record.witnesses:
            self.copies.setdefault(one, Copy())
        if first:
            self.submit((), lambda committed: None)
        for one, copy in self.copies.items():
            copy.waiting_since, copy.whole_sent_at = None, -1e9
            self._bring_up(one)
        self._check_commit()

    def require_also(self, members: set[str]) -> None:
        """While a change of the in-sync set is undecided, a commit needs the copies of every set that may hold."""
        self._must_store |= members
        for one in members:
            self.copies.setdefault(one, Copy())

    def forget(self, members: set[str]) -> None:
        """Send nothing more to all but these."""
        for one in set(self.copies) - members - self._must_store:
            del self.copies[one]

    def submit(self, puts: tuple[m.Put, ...], done: Callable[[bool], None]) -> None:
        """Change the state now; ``done(True)`` once that is committed, ``done(False)`` if this cannot be told."""
        self._pending.append(Submission(puts, self._store.before(puts), done))
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

    def on_position(self, member: str, position: m.Position) -> None:
        """A member tells what it has stored."""
        copy = self.copies.get(member)
        if copy is None:
            return
        if position != copy.stored or not copy.known:
            # What was sent beyond is on its way still: it must not be sent again for each step.
            copy.waiting_since = self._clock.now() if position < copy.sent else None
        copy.stored, copy.known = position, True
        if position == self._store.position:
            copy.sent = position
        if position >= copy.whole:
            copy.whole_sent_at = -1e9
        self._check_commit()
        self._bring_up(member)

    def caught_up(self, member: str) -> bool:
        """Does the member hold all that may be committed, also by earlier primaries?"""
        copy = self.copies.get(member)
        if copy is None or not copy.known:
            return False
        return copy.stored >= max(self.committed, self._inherited) and self._on_our_line(copy.stored)

    def repair(self, member: str) -> None:
        """Send a member the whole state, since its copy differs."""
        copy = self.copies.get(member)
        if copy is not None and member != self.member:
            self._send_whole(member, copy)

    def _on_our_line(self, position: m.Position) -> bool:
        return position == self._store.position or self._store.since(position) is not None

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
        batch = m.Batch(previous, m.Position(self._record.epoch, previous.index + 1), puts)
        self._outstanding = Outstanding(batch, self._clock.now(), submissions)
        for one, copy in self.copies.items():
            if one != self.member and copy.known and copy.sent == previous:
                self._send_batches(one, [batch])
        try:
            self._store.save(batch)
            self._store.fold_if_due()
        except OSError as error:
            self._pending, self._outstanding = submissions + self._pending, None
            self._on_disk_failure(error)
            return
        for one in self.copies:
            self._bring_up(one)
        self._check_commit()

    def _send_batches(self, member: str, batches: list[m.Batch]) -> None:
        copy = self.copies[member]
        for batch in batches:
            self._network.send(m.address_of(member), m.Replicate(self._record.epoch, batch))
            copy.sent = batch.position
        if copy.waiting_since is None:
            copy.waiting_since = self._clock.now()

    def _bring_up(self, member: str) -> None:
        """Send a member what it lacks, unless that is on its way."""
        copy = self.copies.get(member)
        now = self._clock.now()
        if copy is None or member == self.member or not copy.known or copy.stored == self._store.position:
            return
        waits = copy.waiting_since is not None and now - copy.waiting_since < RESEND_AFTER_S
        on_its_way = waits and copy.sent == self._store.position
        if on_its_way or now - copy.whole_sent_at < STATE_RESEND_AFTER_S:
            return
        batches = self._store.since(copy.stored)
        copy.waiting_since = None
        if batches is None:
            self._send_whole(member, copy)
        else:
            self._send_batches(member, batches)

    def _send_whole(self, member: str, copy: Copy) -> None:
        if self._pending:
            return  # the memory is ahead of the position; it is not right behind the next batch
        parts = split_puts(self._store.whole())
        position = self._store.position
        for number, puts in enumerate(parts):
            part = m.StatePart(self._record.epoch, position, number, len(parts), puts)
            self._network.send(m.address_of(member), part)
        copy.sent = copy.whole = position
        copy.waiting_since = copy.whole_sent_at = self._clock.now()

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


def split_puts(puts: tuple[m.Put, ...]) -> list[tuple[m.Put, ...]]:
    """Puts in parts of about ``STATE_PART_BYTES``; one empty part where there are none."""
    parts: list[list[m.Put]] = [[]]
    size = 0
    for put in puts:
        length = len(put.key) + len(bytes(put.value))
        if size and size + length > STATE_PART_BYTES:
            parts.append([])
            size = 0
        parts[-1].append(put)
        size += length
    return [tuple(part) for part in parts]
