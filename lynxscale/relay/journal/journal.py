"""The journal: a log of records in segments, which are cleaned incrementally.

Once ``accept``, ``record_attempt`` or another writing method has returned, its record survives a crash of the process.
Each of them raises JournalFullError if its record could not be stored; no part of it is in the files in that case.
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
    """The durable copy of one process's open messages.

    Callers identify a message by its number in this process; the files identify it by its uid.

    Parameters
    ----------
    storage
        File operations in the journal's folder.
    budget
        Maximum size of the folder in bytes.
    now
        Returns the Unix time in µs.
    salt
        Returns a random number below 2**32.

    Attributes
    ----------
    gaps
        The ranges of records that could not be read when the journal was opened.
    cleaning_paused
        True once another process reads these segments; cleaning has stopped for good then.
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
        self._entries: dict[int, Entry] = {}  # open messages by uid
        self._uids: dict[int, int] = {}  # uids by the message's number in this process
        self._next_seq = self._next_segment = 1
        self._handle = -1  # file descriptor of the active segment; -1 if there is none
        self._salt = 0  # seed of the active segment's record checksums
        self._last_record_size = 0  # bytes
        self._recovered_outcomes: set[int] = set()  # uids of messages whose outcome was already in the files
        self._unwritten_completions: list[int] = []  # uids of messages whose COMPLETED could not be written yet
        self._cleaning: Iterator[int] | None = None
        self._bytes_since_cleaning = 0
        self._empty_check_due = True  # a segment was begun since empty segments were last removed

    # Opening -------------------------------------------------------------------------------------

    def open(self, legacy_entries: list[Entry] | None = None) -> list[Entry]:
        """Lock the folder, recover the open messages of earlier processes, and return them.

        ``legacy_entries`` are messages from a file of the legacy format; those that are not yet here are recorded.

        Raises OSError if the folder cannot be read or another process has locked it, and JournalFormatError if there
        are manifests and none is valid, or if a newer version wrote the files.
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
            # Append to the active segment, so that opening the journal needs no space. A torn tail is truncated first.
            active = rows[-1].number
            with suppress(OSError):
                self._handle = self._storage.append_to(segment_name(active), self.plan.segments[active].size)
                self._salt = recovered.salts[active]
        for uid in recovered.doubtful:
            with suppress(JournalFullError):  # if it is not stored, the next start marks the message again
                self._append(MESSAGE, uid, encode_message(uid, self._entries[uid]), RESERVE_OPEN)

    def _remove_unlisted(self, names: list[str]) -> None:
        """Remove segment files that are not in the manifest: a crash interrupted their creation or their removal."""
        listed = set(map(segment_name, self.plan.segments))
        for name in names:
            if name.endswith(SEGMENT_SUFFIX) and name not in listed:
                with suppress(OSError):
                    self._storage.unlink(name)

    def entries(self) -> list[Entry]:
        """The open messages."""
        return list(self._entries.values())

    def assign_numbers(self, entries: dict[int, Entry]) -> None:
        """Assign numbers in this process to the entries that ``open`` returned.

        Outcomes that were set since then are recorded.
        """
        uids = {id(entry): uid for uid, entry in self._entries.items()}
        for number, entry in entries.items():
            self._uids[number] = uid = uids[id(entry)]
            if entry.outcome is not None and uid not in self._recovered_outcomes:
                with suppress(JournalFullError):
                    self._append(OUTCOME, uid, encode_outcome(uid, *entry.outcome), RESERVE_OPEN)

    def adopt(self, number: int, entry: Entry) -> None:
        """Record a message that another process accepted, with its state. Raises JournalFullError."""
        self._uids[number] = uid = self._append_message(entry, RESERVE_OPEN)
        if entry.outcome is not None:
            self._recovered_outcomes.add(uid)

    def discard_adopted(self, number: int) -> None:
        """Undo ``adopt`` if it succeeded; the message must not have been sent since."""
        if number in self._uids:
            self.complete(number)

    def release(self, number: int) -> int:
        """Leave a message to another process and return its uid.

        The message stays open in these files, and cleaning is paused because the other process reads them.
        """
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
        """Record an attempt that is about to be sent. ``unix``: the current Unix time in µs."""
        uid = self._uids[number]
        if self.plan.only_completions_fit():
            raise JournalFullError("the remaining space is reserved for completions")
        self._append(ATTEMPT, uid, encode_attempt(uid, unix), RESERVE_OPEN)
        self._entries[uid].attempts += 1
        self._entries[uid].may_have_run.append(unix)

    def record_not_executed(self, number: int, was_recorded: bool) -> None:
        """Record that an attempt was not executed: the last recorded one, or one that had not been recorded."""
        uid = self._uids[number]
        entry = self._entries[uid]
        self._append(NOT_EXECUTED, uid, encode_not_executed(uid, was_recorded), RESERVE_OPEN)
        if was_recorded and entry.may_have_run:
            entry.may_have_run.pop()
        else:
            entry.attempts += 1

    def record_outcome(self, number: int, status: str, again_ms: int) -> None:
        """Record the outcome of a message; the notice about it is still to be delivered."""
        uid = self._uids[number]
        self._entries[uid].outcome = (status, again_ms)
        self._append(OUTCOME, uid, encode_outcome(uid, status, again_ms), RESERVE_OPEN)

    def complete(self, number: int) -> None:
        """Record that a message is completed: no attempt and no notice is pending."""
        uid = self._uids.pop(number)
        try:
            self._append(COMPLETED, uid, encode_completed(uid), RESERVE_OPEN)
        except JournalFullError:
            # ``maintain`` writes it as soon as there is space; until then a new process would recover the message.
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
            # A manifest write that reported an error may have reached the disk and sealed the active segment. Records
            # appended behind its sealed size would be ignored, so the manifest is written again first.
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
            # Otherwise a partial record would stay in the middle, and a reader would have to search for the next one.
            self._storage.truncate(self._handle, active.size)
        except OSError:
            self._close_segment()  # nothing may be appended after the partial record
        raise JournalFullError("only part of a record could be written")

    def _close_segment(self) -> None:
        with suppress(OSError):
            self._storage.close(self._handle)
        self._handle = -1

    # Segments ------------------------------------------------------------------------------------

    def _begin_segment(self, reserve: int, size: int) -> None:
        """Begin another segment, for a record of ``size`` bytes.

        Its file is created first, then the manifest that lists it; only then may records be appended to it.
        """
        if not self.plan.can_open_segment(reserve, size + SEGMENT_HEADER_SIZE):
            self._clean_until_open(reserve, size + SEGMENT_HEADER_SIZE)
            if self._handle >= 0 and not self.plan.needs_new_segment(size):
                return  # cleaning has begun a segment that has room for the record
        number, salt = self._next_segment, self._draw_salt()
        self._next_segment += 1
        header = encode_segment_header(number, self._next_seq, salt)
        handle = -1
        try:
            handle = self._storage.create(segment_name(number))
            if self._storage.write(handle, header) != len(header):
                raise OSError(errno.ENOSPC, "no space for a segment's header")
            self._write_manifest(ManifestRow(number, self._next_seq, 0))
        except OSError as error:
            if handle >= 0:
                with suppress(OSError):
                    self._storage.close(handle)
            if self._manifest.is_current:  # otherwise the manifest on disk may list the file
                with suppress(OSError):
                    self._storage.unlink(segment_name(number))
            raise JournalFullError(str(error)) from error
        if self._handle >= 0:
            self._close_segment()
        self._handle, self._salt = handle, salt
        self.plan.segment_opened(number, self._next_seq, len(header))
        self._empty_check_due = True

    def _write_manifest(self, new: ManifestRow | None = None, without: frozenset[int] = frozenset()) -> None:
        """Write the manifest of the plan's segments. Raises OSError.

        ``new`` is added as the active segment, which seals the present one; segments in ``without`` are left out.
        """
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
        """Clean incrementally if it is due, and remove empty segments. Called at the end of each event loop turn."""
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
            self._cleaning = None  # no space even for cleaning; it is tried again as messages complete

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
        """Copy a segment's live records to the active one, message by message; yields the bytes written for each."""
        for uid, completed in self.plan.live_messages(number):
            message = self.plan.messages.get(uid)
            if message is None or number not in message.live:
                continue  # the message has completed or was copied meanwhile
            if completed or message.completed:
                self._append(COMPLETED, uid, encode_completed(uid), RESERVE_CLEANING)
            else:
                self._append(MESSAGE, uid, encode_message(uid, self._entries[uid]), RESERVE_CLEANING)
            yield self._last_record_size

    def _copy_all_live_records(self, number: int) -> None:
        for _size in self._copy_live_records(number):
            pass

    def _clean_until_open(self, reserve: int, size: int) -> None:
        """Clean complete segments until another may be opened, when writers have outpaced incremental cleaning."""
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
        """Remove empty segments: first from the manifest, then their files.

        A crash in between leaves unlisted files, which the next ``open`` removes.
        """
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
        """Copy all live records into new segments and remove the old ones. For tools, while no relay is running."""
        for number in list(self.plan.segments):
            if number in self.plan.segments and self.plan.segments[number] is not self.plan.active:
                self._copy_all_live_records(number)
                self._remove_empty()

    def close(self) -> None:
        """Close the active segment and unlock the folder."""
        if self._handle >= 0:
            self._close_segment()
        self._storage.unlock()
