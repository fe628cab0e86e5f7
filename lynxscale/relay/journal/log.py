"""The journal: accepted messages, each attempt before it is sent, each end; in segments that are cleaned in slices.

What ``add_message``, ``add_attempt`` and the others have returned from outlives the process. Each raises
JournalFullError where its record could not be written; nothing of it is in the files then.
"""

from __future__ import annotations

import errno
import random
from collections.abc import Callable, Iterator
from contextlib import suppress

from lynxscale.relay.exceptions import JournalFormatError, JournalFullError, JournalVersionError
from lynxscale.relay.journal.format import (
    END,
    FINAL,
    HEAD_SIZE,
    MAX_PAYLOAD,
    MESSAGE,
    NOT_RUN,
    RECORD,
    TRIED,
    Entry,
    Manifest,
    Row,
    decode_manifest,
    encode_attempt,
    encode_end,
    encode_final,
    encode_manifest,
    encode_message,
    encode_not_run,
    encode_record,
    encode_segment_head,
)
from lynxscale.relay.journal.plan import CLEANING, FREE_LOW, NEW, OPEN, Plan
from lynxscale.relay.journal.port import Port
from lynxscale.relay.journal.recover import Gap, Recovered, recover

MANIFESTS = ("manifest.0", "manifest.1")  # written in turn: the other one is valid while one is written
NEW_MANIFEST, MANIFEST_BLOCK = "manifest.new", 4096
SUFFIX = ".seg"


def segment_name(number: int) -> str:
    """The file of a segment."""
    return f"{number:012}{SUFFIX}"


def manifest_of(port: Port, names: list[str]) -> Manifest | None:
    """The newer valid one of the two; None before the first. Raises JournalFormatError where none of those there is."""
    found, faults = [], []
    for name in MANIFESTS:
        if name in names:
            try:
                found.append(decode_manifest(port.read(name)))
            except JournalVersionError:
                raise
            except JournalFormatError as error:
                faults.append(f"{name}: {error}")
    if not found and faults:
        raise JournalFormatError("; ".join(faults))
    return max(found, default=None, key=lambda one: one.generation)


class Journal:
    """Messages by their number in this process.

    ``budget``: bytes that the folder may take; ``now``: Unix time in µs; ``salt``: draws a number below 2**32.
    """

    def __init__(
        self,
        port: Port,
        budget: int,
        now: Callable[[], int],
        salt: Callable[[], int] = lambda: random.SystemRandom().getrandbits(32),
    ) -> None:
        self._port, self._now, self._salt = port, now, salt
        self.plan = Plan(budget)
        self.gaps: list[Gap] = []
        self._entries: dict[int, Entry] = {}  # open ones, by their permanent number (uid)
        self._uids: dict[int, int] = {}  # by their number in this process
        self._seq = self._number = 1
        self._generation = 0
        self._handle = -1
        self._crc_salt = self._last = 0
        self._finals: set[int] = set()  # whose outcome was in the files at the start
        self._unwritten_ends: list[int] = []
        self._cleaning: Iterator[int] | None = None
        self._written = 0  # bytes since the last slice of cleaning
        self._manifest_valid = True  # the manifest on disk is the one of the plan
        self._manifests: set[str] = set()  # that exist
        self._manifest_size = MANIFEST_BLOCK
        self.cleaning_paused = False  # another process reads what is here
        self._segment_opened = True  # since empty ones were looked for

    # Start ---------------------------------------------------------------------------------------

    def open(self, older: list[Entry] | None = None) -> list[Entry]:
        """What earlier processes left open. ``older``: messages from a file of an earlier format, to be added.

        Raises OSError where the folder cannot be read or another process holds it, JournalFormatError where a newer
        version wrote it or its manifest is damaged.
        """
        self._port.lock()
        names = self._port.names()
        with suppress(OSError):
            if NEW_MANIFEST in names:
                self._port.unlink(NEW_MANIFEST)
        manifest = manifest_of(self._port, names)
        self._manifests = {name for name in MANIFESTS if name in names}
        if manifest is not None:
            found = recover(
                manifest,
                {
                    row.number: self._port.read(segment_name(row.number))
                    for row in manifest.rows
                    if segment_name(row.number) in names
                },
            )
            self._restore(manifest, found)
        known = {row for row in map(segment_name, self.plan.segments)}
        for name in names:
            if name.endswith(SUFFIX) and name not in known:
                with suppress(OSError):
                    self._port.unlink(name)  # of a segment that was to be removed, or was never begun
        self._number = max(
            [
                self._number,
                *(
                    int(name[: -len(SUFFIX)]) + 1
                    for name in names
                    if name.endswith(SUFFIX) and name[: -len(SUFFIX)].isdigit()
                ),
            ]
        )
        known_ids = {entry.id for entry in self._entries.values()}
        for entry in older or []:
            if entry.id not in known_ids:
                self._add_message(entry, OPEN)
        self._finals = {uid for uid, entry in self._entries.items() if entry.final is not None}
        return self.entries()

    def _restore(self, manifest: Manifest, found: Recovered) -> None:
        self._generation, self._seq, self._number = manifest.generation, found.next_seq, found.next_number
        self.gaps, self._entries = found.gaps, found.entries
        rows = sorted(manifest.rows, key=lambda row: row.first)
        self.plan.restore(rows, found.found, found.sizes)
        for uid in [
            uid for uid, message in self.plan.messages.items() if not message.ended and uid not in self._entries
        ]:
            self.plan.orphan(uid)  # its message is among what was lost
        if rows and not rows[-1].sealed and rows[-1].number in found.sizes:
            # Appended to: a start needs no space. What was torn is truncated first.
            last = rows[-1].number
            with suppress(OSError):
                self._handle = self._port.append_to(segment_name(last), self.plan.segments[last].size)
                self._crc_salt = found.salts[last]
        for uid in found.doubtful:
            with suppress(JournalFullError):  # it is in doubt again at the next start then
                self._append(MESSAGE, uid, encode_message(uid, self._entries[uid]), OPEN)

    def entries(self) -> list[Entry]:
        """The open messages."""
        return list(self._entries.values())

    def number(self, entries: dict[int, Entry]) -> None:
        """Number the messages that ``open`` returned. One that has got its outcome since then has it recorded."""
        uids = {id(entry): uid for uid, entry in self._entries.items()}
        for number, entry in entries.items():
            self._uids[number] = uid = uids[id(entry)]
            if entry.final is not None and uid not in self._finals:
                with suppress(JournalFullError):
                    self._append(FINAL, uid, encode_final(uid, *entry.final), OPEN)

    def adopt(self, number: int, entry: Entry) -> None:
        """Add a message of another process, with all that it knew of it. Raises JournalFullError."""
        self._uids[number] = uid = self._add_message(entry, OPEN)
        if entry.final is not None:
            self._finals.add(uid)

    def release(self, number: int) -> int:
        """Another process ends this message; its permanent number. It stays open here, and cleaning is paused."""
        self.cleaning_paused = True
        return self._uids.pop(number)

    def undo_adopt(self, number: int) -> None:
        """As if it had not been adopted; nothing was sent of it."""
        if number in self._uids:
            self.add_end(number)

    # Records -------------------------------------------------------------------------------------

    def add_message(self, number: int, entry: Entry) -> None:
        """A message is accepted."""
        self._uids[number] = self._add_message(entry, NEW)

    def _add_message(self, entry: Entry, purpose: int) -> int:
        if not entry.accepted_at:
            entry.accepted_at = self._now()
        uid = self._seq
        payload = encode_message(uid, entry)
        if purpose == NEW and not self.plan.fits(RECORD.size + len(payload)):
            raise JournalFullError("open messages fill the folder")
        self._append(MESSAGE, uid, payload, purpose)
        self._entries[uid] = entry
        return uid

    def add_attempt(self, number: int, unix: int) -> None:
        """An attempt is about to be sent."""
        uid = self._uids[number]
        if self.plan.ends_only():
            raise JournalFullError("the folder has room for ends alone")
        self._append(TRIED, uid, encode_attempt(uid, unix), OPEN)
        self._entries[uid].attempts += 1
        self._entries[uid].may_have_run.append(unix)

    def add_not_run(self, number: int, was_recorded: bool) -> None:
        """An attempt never ran."""
        uid = self._uids[number]
        entry = self._entries[uid]
        self._append(NOT_RUN, uid, encode_not_run(uid, was_recorded), OPEN)
        if was_recorded and entry.may_have_run:
            entry.may_have_run.pop()
        else:
            entry.attempts += 1

    def add_final(self, number: int, status: str, again_ms: int) -> None:
        """A message has its outcome, and a notice is owed."""
        uid = self._uids[number]
        self._entries[uid].final = (status, again_ms)
        self._append(FINAL, uid, encode_final(uid, status, again_ms), OPEN)

    def add_end(self, number: int) -> None:
        """Nothing more is owed for a message."""
        uid = self._uids.pop(number)
        try:
            self._append(END, uid, encode_end(uid), OPEN)
        except JournalFullError:
            self._unwritten_ends.append(
                uid
            )  # written as soon as there is room; until then a new process would have it again
            raise
        del self._entries[uid]

    def _append(self, kind: int, uid: int, payload: bytes, purpose: int) -> None:
        size = RECORD.size + len(payload)
        if len(payload) > MAX_PAYLOAD:
            raise JournalFullError(f"the record is too long: {size} bytes")
        if self._handle < 0 or self.plan.is_full_for(size):
            self._open_segment(purpose, size)
        if not self._manifest_valid:
            # Guards against a manifest whose write failed and that is there all the same: it may have sealed this one.
            try:
                self._write_manifest()
            except OSError as error:
                raise JournalFullError(str(error)) from error
        data = encode_record(kind, self._seq, payload, self._crc_salt)
        self._write(data)
        self.plan.wrote(uid, self._seq, size, complete=kind == MESSAGE, end=kind == END)
        self._seq += 1
        self._last = size
        if purpose != CLEANING:
            self._written += size

    def _write(self, data: bytes) -> None:
        active = self.plan.active
        assert active is not None
        try:
            written = self._port.write(self._handle, data)
        except OSError as error:
            raise JournalFullError(str(error)) from error
        if written == len(data):
            return
        try:
            # Guards against half a record in the middle: a reader would have to look for the next one behind it.
            self._port.truncate(self._handle, active.size)
        except OSError:
            self._close_segment()  # no more is written behind it
        raise JournalFullError("the folder took only part of a record")

    def _close_segment(self) -> None:
        with suppress(OSError):
            self._port.close(self._handle)
        self._handle = -1

    # Segments ------------------------------------------------------------------------------------

    def _open_segment(self, purpose: int, size: int) -> None:
        """Open another segment: its file, then the manifest that names it; only then may records be acknowledged."""
        if not self.plan.may_open(purpose, size + HEAD_SIZE):
            self._clean_now(purpose, size + HEAD_SIZE)
            if self._handle >= 0 and not self.plan.is_full_for(size):
                return  # cleaning has opened one, and it has space
        number, salt = self._number, self._salt()
        self._number += 1
        head = encode_segment_head(number, self._seq, salt)
        handle = -1
        try:
            handle = self._port.create(segment_name(number))
            if self._port.write(handle, head) != len(head):
                raise OSError(errno.ENOSPC, "no space for a segment's head")
            self._write_manifest(Row(number, self._seq, 0))
        except OSError as error:
            if handle >= 0:
                with suppress(OSError):
                    self._port.close(handle)
            if self._manifest_valid:  # else the manifest on disk may name it
                with suppress(OSError):
                    self._port.unlink(segment_name(number))
            raise JournalFullError(str(error)) from error
        if self._handle >= 0:
            self._close_segment()
        self._handle, self._crc_salt = handle, salt
        self.plan.opened(number, self._seq, len(head))
        self._segment_opened = True

    def _write_manifest(self, new: Row | None = None, without: frozenset[int] = frozenset()) -> None:
        """Write the next generation over the last but one: whichever a crash leaves, one is valid.

        In place and not by a rename, as some file systems flush a file that replaces another at once.
        """
        active = self.plan.active
        rows = [
            Row(one.number, one.first, one.size if one is not active or new is not None else 0)
            for one in self.plan.segments.values()
            if one.number not in without
        ]
        data = encode_manifest(Manifest(self._generation + 1, (*rows, *([new] if new else []))))
        name = MANIFESTS[(self._generation + 1) % 2]
        self._manifest_valid = False
        if name in self._manifests and len(data) <= self._manifest_size:
            self._port.overwrite(name, data)
        else:
            self._create_manifest(name, data)
        self._manifest_valid = True
        self._generation += 1

    def _create_manifest(self, name: str, data: bytes) -> None:
        """One that does not exist yet, or must be longer: atomically, with space for many more rows."""
        self._manifest_size = max(self._manifest_size, -(-len(data) // MANIFEST_BLOCK) * MANIFEST_BLOCK)
        handle = self._port.create(NEW_MANIFEST)
        try:
            written = self._port.write(handle, data.ljust(self._manifest_size, b"\0"))
        finally:
            self._port.close(handle)
        if written != self._manifest_size:
            raise OSError(errno.ENOSPC, "no space for the manifest")
        self._port.rename(NEW_MANIFEST, name)
        self._manifests.add(name)

    def end_turn(self) -> None:
        """The end of a turn of the loop: clean a slice, if it is time, and free what is empty."""
        if self._unwritten_ends:
            self._write_ends()
        if self.cleaning_paused:
            return
        tight = self.plan.free() <= FREE_LOW
        if not tight and not self._segment_opened:
            self._written = 0
            return
        self._segment_opened = False
        if self._cleaning is None and tight:
            victim = self.plan.victim(self._seq)
            if victim is not None:
                self._cleaning = self._copy_live(victim)
        bytes_left, self._written = self.plan.bytes_to_clean(self._written), 0
        try:
            while self._cleaning is not None and bytes_left > 0:
                size = next(self._cleaning, None)
                if size is None:
                    self._cleaning = None
                else:
                    bytes_left -= size
            self._free()
        except JournalFullError:
            self._cleaning = None  # no space even for that: later, as ends free some

    def _write_ends(self) -> None:
        while self._unwritten_ends:
            uid = self._unwritten_ends[-1]
            try:
                self._append(END, uid, encode_end(uid), OPEN)
            except JournalFullError:
                return
            self._unwritten_ends.pop()
            del self._entries[uid]

    def _copy_live(self, number: int) -> Iterator[int]:
        """Copy what is live in a segment, message by message; yields the bytes of each."""
        for uid, ended in self.plan.live_messages(number):
            message = self.plan.messages.get(uid)
            if message is None or number not in message.live:
                continue  # it has ended or was copied meanwhile
            if ended or message.ended:
                self._append(END, uid, encode_end(uid), CLEANING)
            else:
                self._append(MESSAGE, uid, encode_message(uid, self._entries[uid]), CLEANING)
            yield self._last

    def _clean_now(self, purpose: int, size: int) -> None:
        """The writers have outrun the slices of cleaning: free space at once, a segment at a time."""
        self._free()
        for _ in range(2 * len(self.plan.segments)):
            if self.plan.may_open(purpose, size):
                return
            victim = self.plan.victim(self._seq)
            if victim is None or purpose == CLEANING:
                break
            for _size in self._copy_live(victim):
                pass
            self._free()
        if not self.plan.may_open(purpose, size):
            raise JournalFullError("the folder is full")

    def _free(self) -> None:
        """Remove empty segments from the manifest, then their files; a crash in between leaves files without a row."""
        empty = self.plan.empty()
        if not empty:
            return
        try:
            self._write_manifest(without=frozenset(empty))
        except OSError as error:
            raise JournalFullError(str(error)) from error
        for number in empty:
            self.plan.freed(number)
            with suppress(OSError):
                self._port.unlink(segment_name(number))

    def compact(self) -> None:
        """Copy all that is live into new segments, and free the others; for a journal that nobody writes to."""
        for number in [one.number for one in self.plan.segments.values()]:
            if number in self.plan.segments and self.plan.segments[number] is not self.plan.active:
                for _size in self._copy_live(number):
                    pass
                self._free()

    def close(self) -> None:
        """Write no more, and release the folder."""
        if self._handle >= 0:
            self._close_segment()
        self._port.unlock()
