"""The journal: a log of records in segments, which are cleaned a slice at a time.

What ``accept``, ``record_attempt`` and the other writing methods have returned from outlasts the process. Each raises
JournalFullError where its record could not be stored; nothing of it is in the files then.
"""

from __future__ import annotations

import errno
import random
from collections.abc import Callable, Iterator
from contextlib import suppress

from lynxscale.relay.exceptions import JournalFullError
from lynxscale.relay.journal.cleaning_plan import (
    MIN_FREE_SEGMENTS,
    RESERVE_CLEANING,
    RESERVE_NEW,
    RESERVE_OPEN,
    CleaningPlan,
)
from lynxscale.relay.journal.layout import (
    SEGMENT_HEADER_SIZE,
    SEGMENT_SUFFIX,
    Manifest,
    ManifestRow,
    encode_segment_header,
    segment_name,
    segment_number,
)
from lynxscale.relay.journal.manifest_store import ManifestStore, read_segments
from lynxscale.relay.journal.records import (
    ATTEMPT,
    COMPLETED,
    MAX_PAYLOAD_SIZE,
    MESSAGE,
    NOT_EXECUTED,
    OUTCOME,
    RECORD_HEADER,
    Entry,
    encode_attempt,
    encode_completed,
    encode_message,
    encode_not_executed,
    encode_outcome,
    encode_record,
)
from lynxscale.relay.journal.recovery import Gap, RecoveryResult, recover
from lynxscale.relay.journal.storage import Storage


def _random_salt() -> int:
    return random.SystemRandom().getrandbits(32)


class Journal:
    """The open messages of one process, on disk.

    A caller names a message by its number in this process; the files name it by its uid.

    Parameters
    ----------
    storage
        The folder's file operations.
    budget
        Bytes that the folder may take.
    now
        Unix time in µs.
    salt
        Draws a number below 2**32.

    Attributes
    ----------
    gaps
        What could not be read at the start.
    cleaning_paused
        True once another process reads these segments: none is cleaned any more.
    """

    def __init__(
        self,
        storage: Storage,
        budget: int,
        now: Callable[[], int],
        salt: Callable[[], int] = _random_salt,
    ) -> None:
        self._storage, self._now, self._draw_salt = storage, now, salt
        self.plan = CleaningPlan(budget)
        self.gaps: list[Gap] = []
        self.cleaning_paused = False
        self._manifest = ManifestStore(storage)
        self._entries: dict[int, Entry] = {}  # open ones, by uid
        self._uids: dict[int, int] = {}  # by their number in this process
        self._next_seq = self._next_segment = 1
        self._handle = -1  # of the active segment
        self._salt = 0  # of the active segment
        self._last_record_size = 0  # of the last record, in bytes
        self._recovered_outcomes: set[int] = set()  # messages whose outcome was in the files at the start
        self._unwritten_completions: list[int] = []  # messages whose COMPLETED could not be written yet
        self._cleaning: Iterator[int] | None = None
        self._bytes_since_cleaning = 0  # bytes since the last slice of cleaning
        self._empty_check_due = True  # a segment was begun since empty ones were last removed

    # Start ---------------------------------------------------------------------------------------

    def open(self, legacy_entries: list[Entry] | None = None) -> list[Entry]:
        """Lock the folder, recover the open messages of earlier processes, and return them.

        ``legacy_entries`` are messages from a file of the legacy format; those that are not yet here are recorded.

        Raises OSError where the folder cannot be read or another process has locked it, JournalFormatError where no
        manifest can be read or a newer version wrote the files.
        """
        self._storage.lock()
        names = self._storage.names()
        manifest = self._manifest.load(names)
        if manifest is not None:
            self._restore(manifest, recover(manifest, read_segments(self._storage, manifest, names)))
        self._remove_unlisted(names)
        numbers = [number for name in names if (number := segment_number(name)) is not None]
        self._next_segment = max([self._next_segment, *(number + 1 for number in numbers)])
        recovered_ids = {entry.id for entry in self._entries.values()}
        for entry in legacy_entries or []:
            if entry.id not in recovered_ids:
                self._append_message(entry, RESERVE_OPEN)
        self._recovered_outcomes = {uid for uid, entry in self._entries.items() if entry.outcome is not None}
        return self.entries()

    def _restore(self, manifest: Manifest, recovered: RecoveryResult) -> None:
        self._next_seq, self._next_segment = recovered.next_seq, recovered.next_number
        self.gaps, self._entries = recovered.gaps, recovered.entries
        rows = sorted(manifest.rows, key=lambda row: row.first_seq)
        self.plan.restore(rows, recovered.records, recovered.sizes)
        self.plan.discard_orphans(self._entries)
        if rows and not rows[-1].sealed_size and rows[-1].number in recovered.sizes:
            # The active segment is written on: a start needs no space. A torn tail is cut off first.
            active = rows[-1].number
            with suppress(OSError):
                self._handle = self._storage.append_to(segment_name(active), self.plan.segments[active].size)
                self._salt = recovered.salts[active]
        for uid in recovered.doubtful:
            with suppress(JournalFullError):  # it is in doubt again at the next start then
                self._append(MESSAGE, uid, encode_message(uid, self._entries[uid]), RESERVE_OPEN)

    def _remove_unlisted(self, names: list[str]) -> None:
        """Remove files of segments that were about to be removed, or were never begun."""
        listed = set(map(segment_name, self.plan.segments))
        for name in names:
            if name.endswith(SEGMENT_SUFFIX) and name not in listed:
                with suppress(OSError):
                    self._storage.unlink(name)

    def entries(self) -> list[Entry]:
        """The open messages."""
        return list(self._entries.values())

    def assign_numbers(self, entries: dict[int, Entry]) -> None:
        """Register what ``open`` returned by numbers in this process. Outcomes set meanwhile are recorded."""
        uids = {id(entry): uid for uid, entry in self._entries.items()}
        for number, entry in entries.items():
            self._uids[number] = uid = uids[id(entry)]
            if entry.outcome is not None and uid not in self._recovered_outcomes:
                with suppress(JournalFullError):
                    self._append(OUTCOME, uid, encode_outcome(uid, *entry.outcome), RESERVE_OPEN)

    def adopt(self, number: int, entry: Entry) -> None:
        """Record a message that another process had accepted, with its state. Raises JournalFullError."""
        self._uids[number] = uid = self._append_message(entry, RESERVE_OPEN)
        if entry.outcome is not None:
            self._recovered_outcomes.add(uid)

    def discard_adopted(self, number: int) -> None:
        """Undo ``adopt``, if it was done; nothing was sent of the message."""
        if number in self._uids:
            self.complete(number)

    def release(self, number: int) -> int:
        """Leave a message to another process and return its uid. It stays open here, and cleaning is paused."""
        self.cleaning_paused = True
        return self._uids.pop(number)

    # Records -------------------------------------------------------------------------------------

    def accept(self, number: int, entry: Entry) -> None:
        """Record a new message."""
        self._uids[number] = self._append_message(entry, RESERVE_NEW)

    def _append_message(self, entry: Entry, reserve: int) -> int:
        if not entry.accepted_at:
            entry.accepted_at = self._now()
        uid = self._next_seq
        payload = encode_message(uid, entry)
        if reserve == RESERVE_NEW and not self.plan.has_room_for(RECORD_HEADER.size + len(payload)):
            raise JournalFullError("open messages fill the folder")
        self._append(MESSAGE, uid, payload, reserve)
        self._entries[uid] = entry
        return uid

    def record_attempt(self, number: int, unix: int) -> None:
        """Record an attempt that is about to be sent. ``unix``: the time now, in µs."""
        uid = self._uids[number]
        if self.plan.only_completions_fit():
            raise JournalFullError("the folder has room for ends alone")
        self._append(ATTEMPT, uid, encode_attempt(uid, unix), RESERVE_OPEN)
        self._entries[uid].attempts += 1
        self._entries[uid].may_have_run.append(unix)

    def record_not_executed(self, number: int, was_recorded: bool) -> None:
        """Record that an attempt was never executed: the last recorded one, or one that was not recorded."""
        uid = self._uids[number]
        entry = self._entries[uid]
        self._append(NOT_EXECUTED, uid, encode_not_executed(uid, was_recorded), RESERVE_OPEN)
        if was_recorded and entry.may_have_run:
            entry.may_have_run.pop()
        else:
            entry.attempts += 1

    def record_outcome(self, number: int, status: str, again_ms: int) -> None:
        """Record the outcome of a message, whose notice is pending."""
        uid = self._uids[number]
        self._entries[uid].outcome = (status, again_ms)
        self._append(OUTCOME, uid, encode_outcome(uid, status, again_ms), RESERVE_OPEN)

    def complete(self, number: int) -> None:
        """Record that nothing is pending of a message."""
        uid = self._uids.pop(number)
        try:
            self._append(COMPLETED, uid, encode_completed(uid), RESERVE_OPEN)
        except JournalFullError:
            # Written as soon as there is space; until then a new process would recover the message.
            self._unwritten_completions.append(uid)
            raise
        del self._entries[uid]

    def _append(self, kind: int, uid: int, payload: bytes, reserve: int) -> None:
        size = RECORD_HEADER.size + len(payload)
        if len(payload) > MAX_PAYLOAD_SIZE:
            raise JournalFullError(f"the record is too long: {size} bytes")
        if self._handle < 0 or self.plan.needs_new_segment(size):
            self._begin_segment(reserve, size)
        if not self._manifest.is_current:
            # Guards against a manifest whose write failed and which is there all the same: it may have sealed this very
            # segment.
            try:
                self._write_manifest()
            except OSError as error:
                raise JournalFullError(str(error)) from error
        self._write(encode_record(kind, self._next_seq, payload, self._salt))
        self.plan.record_written(uid, self._next_seq, size, is_state=kind == MESSAGE, is_completion=kind == COMPLETED)
        self._next_seq += 1
        self._last_record_size = size
        if reserve != RESERVE_CLEANING:
            self._bytes_since_cleaning += size

    def _write(self, data: bytes) -> None:
        active = self.plan.active
        assert active is not None
        try:
            written = self._storage.write(self._handle, data)
        except OSError as error:
            raise JournalFullError(str(error)) from error
        if written == len(data):
            return
        try:
            # Guards against half a record in the middle: a reader would have to search for the next one after it.
            self._storage.truncate(self._handle, active.size)
        except OSError:
            self._close_segment()  # nothing more is written after it
        raise JournalFullError("the folder took only part of a record")

    def _close_segment(self) -> None:
        with suppress(OSError):
            self._storage.close(self._handle)
        self._handle = -1

    # Segments ------------------------------------------------------------------------------------

    def _begin_segment(self, reserve: int, size: int) -> None:
        """Begin another segment, for a record of ``size`` bytes.

        First its file, then the manifest that lists it; only then may it hold what is promised.
        """
        if not self.plan.can_open_segment(reserve, size + SEGMENT_HEADER_SIZE):
            self._clean_until_open(reserve, size + SEGMENT_HEADER_SIZE)
            if self._handle >= 0 and not self.plan.needs_new_segment(size):
                return  # cleaning has begun one, and it has room
        number, salt = self._next_segment, self._draw_salt()
        self._next_segment += 1
        header = encode_segment_header(number, self._next_seq, salt)
        handle = -1
        try:
            handle = self._storage.create(segment_name(number))
            if self._storage.write(handle, header) != len(header):
                raise OSError(errno.ENOSPC, "no space for a segment's head")
            self._write_manifest(ManifestRow(number, self._next_seq, 0))
        except OSError as error:
            if handle >= 0:
                with suppress(OSError):
                    self._storage.close(handle)
            if self._manifest.is_current:  # else the manifest on disk may list it
                with suppress(OSError):
                    self._storage.unlink(segment_name(number))
            raise JournalFullError(str(error)) from error
        if self._handle >= 0:
            self._close_segment()
        self._handle, self._salt = handle, salt
        self.plan.segment_opened(number, self._next_seq, len(header))
        self._empty_check_due = True

    def _write_manifest(self, new: ManifestRow | None = None, without: frozenset[int] = frozenset()) -> None:
        """Write the manifest of the plan's segments ``without`` some; ``new``: one that is active instead. OSError."""
        unsealed = self.plan.active if new is None else None
        rows = [
            ManifestRow(segment.number, segment.first_seq, 0 if segment is unsealed else segment.size)
            for segment in self.plan.segments.values()
            if segment.number not in without
        ]
        if new is not None:
            rows.append(new)
        self._manifest.write(tuple(rows))

    # Cleaning ------------------------------------------------------------------------------------

    def maintain(self) -> None:
        """At the end of each turn of the event loop: clean a slice, if it is due, and remove empty segments."""
        if self._unwritten_completions:
            self._write_completions()
        if self.cleaning_paused:
            return
        few_segments_free = self.plan.free_segments() <= MIN_FREE_SEGMENTS
        if not few_segments_free and not self._empty_check_due:
            self._bytes_since_cleaning = 0
            return
        self._empty_check_due = False
        if self._cleaning is None and few_segments_free:
            victim = self.plan.choose_victim(self._next_seq)
            if victim is not None:
                self._cleaning = self._copy_live_records(victim)
        quota, self._bytes_since_cleaning = self.plan.cleaning_quota(self._bytes_since_cleaning), 0
        try:
            while self._cleaning is not None and quota > 0:
                size = next(self._cleaning, None)
                if size is None:
                    self._cleaning = None
                else:
                    quota -= size
            self._remove_empty()
        except JournalFullError:
            self._cleaning = None  # no space even for that: later, as messages complete

    def _write_completions(self) -> None:
        while self._unwritten_completions:
            uid = self._unwritten_completions[-1]
            try:
                self._append(COMPLETED, uid, encode_completed(uid), RESERVE_OPEN)
            except JournalFullError:
                return
            self._unwritten_completions.pop()
            del self._entries[uid]

    def _copy_live_records(self, number: int) -> Iterator[int]:
        """Write what is live in a segment anew, message by message; yields the bytes of each."""
        for uid, completed in self.plan.live_messages(number):
            message = self.plan.messages.get(uid)
            if message is None or number not in message.live:
                continue  # it has completed or was carried forward meanwhile
            if completed or message.completed:
                self._append(COMPLETED, uid, encode_completed(uid), RESERVE_CLEANING)
            else:
                self._append(MESSAGE, uid, encode_message(uid, self._entries[uid]), RESERVE_CLEANING)
            yield self._last_record_size

    def _copy_all_live_records(self, number: int) -> None:
        for _size in self._copy_live_records(number):
            pass

    def _clean_until_open(self, reserve: int, size: int) -> None:
        """The writers have outrun the slices: clean complete segments, one after the other, until one may be opened."""
        self._remove_empty()
        for _ in range(2 * len(self.plan.segments)):
            if self.plan.can_open_segment(reserve, size):
                return
            victim = self.plan.choose_victim(self._next_seq)
            if victim is None or reserve == RESERVE_CLEANING:
                break
            self._copy_all_live_records(victim)
            self._remove_empty()
        if not self.plan.can_open_segment(reserve, size):
            raise JournalFullError("the folder is full")

    def _remove_empty(self) -> None:
        """Take empty segments out of the manifest, then remove them; a crash between leaves files that are unlisted."""
        empty = self.plan.empty_segments()
        if not empty:
            return
        try:
            self._write_manifest(without=frozenset(empty))
        except OSError as error:
            raise JournalFullError(str(error)) from error
        for number in empty:
            self.plan.segment_removed(number)
            with suppress(OSError):
                self._storage.unlink(segment_name(number))

    def compact(self) -> None:
        """Carry all that is live into new segments, and remove the others; for a journal without a relay."""
        for number in list(self.plan.segments):
            if number in self.plan.segments and self.plan.segments[number] is not self.plan.active:
                self._copy_all_live_records(number)
                self._remove_empty()

    def close(self) -> None:
        """Write no more, and let another process have the folder."""
        if self._handle >= 0:
            self._close_segment()
        self._storage.unlock()
