"""The journal: what was taken on, each try before it goes, each end; in segments that are cleaned in slices.

What ``take``, ``tried`` and the others have returned from outlasts the process. Each raises JournalFull where its
record could not be kept; nothing of it is in the files then.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from contextlib import suppress

from lynxscale.relay.journal import format as f
from lynxscale.relay.journal.format import Entry, Manifest, Refused, Row
from lynxscale.relay.journal.plan import CLEANING, FREE_LOW, NEW, OPEN, Plan
from lynxscale.relay.journal.port import Port
from lynxscale.relay.journal.recover import Gap, Recovered, recover

SLOTS = ("manifest.0", "manifest.1")  # written in turn: the other one holds while one is written
SLOT_NEW, SLOT_ROUND = "manifest.new", 4096
SUFFIX = ".seg"


class JournalFull(Exception):
    """The record could not be kept; nothing of it is in the files."""


def segment_name(number: int) -> str:
    """The file of a segment."""
    return f"{number:012}{SUFFIX}"


def manifest_of(port: Port, names: list[str]) -> Manifest | None:
    """The newer of the two that is whole; None before the first. Raises Refused where none of those there is."""
    found, faults = [], []
    for slot in SLOTS:
        if slot in names:
            try:
                found.append(f.read_manifest(port.read(slot)))
            except Refused as error:
                if "version" in str(error):
                    raise
                faults.append(f"{slot}: {error}")
    if not found and faults:
        raise Refused("; ".join(faults))
    return max(found, default=None, key=lambda one: one.generation)


class Journal:
    """``budget``: bytes that the folder may take; ``now``: Unix time in µs; ``salt``: draws a number below 2**32."""

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
        self._entries: dict[int, Entry] = {}  # open ones, by their number for good
        self._uids: dict[int, int] = {}  # by their number in this process
        self._seq = self._number = 1
        self._generation = 0
        self._handle = -1
        self._crc_salt = self._last = 0
        self._finals: set[int] = set()  # whose end was in the files at the start
        self._owed: list[int] = []  # ends that could not be written yet
        self._cleaning: Iterator[int] | None = None
        self._wrote = 0  # bytes since the last slice
        self._whole = True  # the manifest on disk is the one of the plan
        self._slots: set[str] = set()
        self._slot_size = SLOT_ROUND
        self.still = False  # nothing is cleaned: another process reads what is here
        self._turned = True  # a segment was begun since empty ones were looked for

    # Start ---------------------------------------------------------------------------------------

    def open(self, older: list[Entry] | None = None) -> list[Entry]:
        """What earlier processes left open. ``older``: messages from a file of an earlier form, to be taken over.

        Raises OSError where the folder cannot be read or another process has it, Refused where a newer version wrote
        it.
        """
        self._port.lock()
        names = self._port.names()
        with suppress(OSError):
            if SLOT_NEW in names:
                self._port.unlink(SLOT_NEW)
        manifest = manifest_of(self._port, names)
        self._slots = {slot for slot in SLOTS if slot in names}
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
        fresh = {entry.id for entry in self._entries.values()}
        for entry in older or []:
            if entry.id not in fresh:
                self._take(entry, OPEN)
        self._finals = {uid for uid, entry in self._entries.items() if entry.final is not None}
        return self.entries()

    def _restore(self, manifest: Manifest, found: Recovered) -> None:
        self._generation, self._seq, self._number = manifest.generation, found.next_seq, found.next_number
        self.gaps, self._entries = found.gaps, found.entries
        rows = sorted(manifest.rows, key=lambda row: row.first)
        self.plan.restore(rows, found.found, found.sizes)
        for uid in [uid for uid, held in self.plan.held.items() if not held.ended and uid not in self._entries]:
            self.plan.orphan(uid)  # its message is among what was lost
        if rows and not rows[-1].sealed and rows[-1].number in found.sizes:
            # Written on: a start needs no room. What was torn is cut off first.
            last = rows[-1].number
            with suppress(OSError):
                self._handle = self._port.append_to(segment_name(last), self.plan.segments[last].size)
                self._crc_salt = found.salts[last]
        for uid in found.doubtful:
            with suppress(JournalFull):  # it is in doubt again at the next start then
                self._append(f.MESSAGE, uid, f.message(uid, self._entries[uid]), OPEN)

    def entries(self) -> list[Entry]:
        """The open messages."""
        return list(self._entries.values())

    def begin(self, entries: dict[int, Entry]) -> None:
        """The messages that ``open`` gave, by their numbers in this process. One that has an end by now keeps it."""
        uids = {id(entry): uid for uid, entry in self._entries.items()}
        for number, entry in entries.items():
            self._uids[number] = uid = uids[id(entry)]
            if entry.final is not None and uid not in self._finals:
                with suppress(JournalFull):
                    self._append(f.FINAL, uid, f.final(uid, *entry.final), OPEN)

    def adopt(self, number: int, entry: Entry) -> None:
        """A message that another process had taken on, with all that it knew of it. Raises JournalFull."""
        self._uids[number] = uid = self._take(entry, OPEN)
        if entry.final is not None:
            self._finals.add(uid)

    def release(self, number: int) -> int:
        """Another process ends this message; its number for good. It stays open here, and cleaning stands still."""
        self.still = True
        return self._uids.pop(number)

    def forgo(self, number: int) -> None:
        """As if it had not been adopted; nothing was sent of it."""
        if number in self._uids:
            self.end(number)

    # Records -------------------------------------------------------------------------------------

    def take(self, number: int, entry: Entry) -> None:
        """A message is taken on."""
        self._uids[number] = self._take(entry, NEW)

    def _take(self, entry: Entry, what: int) -> int:
        if not entry.taken:
            entry.taken = self._now()
        uid = self._seq
        payload = f.message(uid, entry)
        if what == NEW and not self.plan.fits(f.RECORD.size + len(payload)):
            raise JournalFull("open messages fill the folder")
        self._append(f.MESSAGE, uid, payload, what)
        self._entries[uid] = entry
        return uid

    def tried(self, number: int, unix: int) -> None:
        """A try is about to go."""
        uid = self._uids[number]
        if self.plan.tight():
            raise JournalFull("the folder has room for ends alone")
        self._append(f.TRIED, uid, f.tried(uid, unix), OPEN)
        self._entries[uid].tries += 1
        self._entries[uid].maybe.append(unix)

    def not_run(self, number: int, was_recorded: bool) -> None:
        """A try never ran."""
        uid = self._uids[number]
        entry = self._entries[uid]
        self._append(f.NOT_RUN, uid, f.not_run(uid, was_recorded), OPEN)
        if was_recorded and entry.maybe:
            entry.maybe.pop()
        else:
            entry.tries += 1

    def final(self, number: int, status: str, again_ms: int) -> None:
        """A notice is owed."""
        uid = self._uids[number]
        self._entries[uid].final = (status, again_ms)
        self._append(f.FINAL, uid, f.final(uid, status, again_ms), OPEN)

    def end(self, number: int) -> None:
        """Nothing more is owed."""
        uid = self._uids.pop(number)
        try:
            self._append(f.END, uid, f.end(uid), OPEN)
        except JournalFull:
            self._owed.append(uid)  # written as soon as there is room; until then a new process would have it again
            raise
        del self._entries[uid]

    def _append(self, kind: int, uid: int, payload: bytes, what: int) -> None:
        size = f.RECORD.size + len(payload)
        if len(payload) > f.PAYLOAD_MOST:
            raise JournalFull(f"the record is too long: {size} bytes")
        if self._handle < 0 or self.plan.must_turn(size):
            self._turn_over(what, size)
        if not self._whole:
            # Guards against a manifest that failed and is there all the same: it may have closed this very segment.
            try:
                self._put_manifest()
            except OSError as error:
                raise JournalFull(str(error)) from error
        data = f.record(kind, self._seq, payload, self._crc_salt)
        self._write(data)
        self.plan.wrote(uid, self._seq, size, whole=kind == f.MESSAGE, end=kind == f.END)
        self._seq += 1
        self._last = size
        if what != CLEANING:
            self._wrote += size

    def _write(self, data: bytes) -> None:
        active = self.plan.active
        assert active is not None
        try:
            written = self._port.write(self._handle, data)
        except OSError as error:
            raise JournalFull(str(error)) from error
        if written == len(data):
            return
        try:
            # Guards against half a record in the middle: a reader would have to look for the next one behind it.
            self._port.truncate(self._handle, active.size)
        except OSError:
            self._shut()  # no more is written behind it
        raise JournalFull("the folder took only part of a record")

    def _shut(self) -> None:
        with suppress(OSError):
            self._port.close(self._handle)
        self._handle = -1

    # Segments ------------------------------------------------------------------------------------

    def _turn_over(self, what: int, size: int) -> None:
        """Begin another segment: its file, then the manifest that names it; only then may it hold what is promised."""
        if not self.plan.may_open(what, size + f.HEAD_SIZE):
            self._clean_now(what, size + f.HEAD_SIZE)
            if self._handle >= 0 and not self.plan.must_turn(size):
                return  # cleaning has begun one, and it has room
        number, salt = self._number, self._salt()
        self._number += 1
        head = f.segment_head(number, self._seq, salt)
        handle = -1
        try:
            handle = self._port.create(segment_name(number))
            if self._port.write(handle, head) != len(head):
                raise OSError(28, "no space for a segment's head")
            self._put_manifest(Row(number, self._seq, 0))
        except OSError as error:
            if handle >= 0:
                with suppress(OSError):
                    self._port.close(handle)
            if self._whole:  # else the manifest on disk may name it
                with suppress(OSError):
                    self._port.unlink(segment_name(number))
            raise JournalFull(str(error)) from error
        if self._handle >= 0:
            self._shut()
        self._handle, self._crc_salt = handle, salt
        self.plan.opened(number, self._seq, len(head))
        self._turned = True

    def _put_manifest(self, new: Row | None = None, without: frozenset[int] = frozenset()) -> None:
        """Write the next generation over the last but one: whichever a crash leaves, one is whole.

        In place and not by a rename, as some file systems write a file that replaces another out at once.
        """
        active = self.plan.active
        rows = [
            Row(one.number, one.first, one.size if one is not active or new is not None else 0)
            for one in self.plan.segments.values()
            if one.number not in without
        ]
        data = f.manifest(Manifest(self._generation + 1, (*rows, *([new] if new else []))))
        slot = SLOTS[(self._generation + 1) % 2]
        self._whole = False
        if slot in self._slots and len(data) <= self._slot_size:
            self._port.overwrite(slot, data)
        else:
            self._put_slot(slot, data)
        self._whole = True
        self._generation += 1

    def _put_slot(self, slot: str, data: bytes) -> None:
        """A slot's first time, or one that must be longer: whole or not at all, with room for many more rows."""
        self._slot_size = max(self._slot_size, -(-len(data) // SLOT_ROUND) * SLOT_ROUND)
        handle = self._port.create(SLOT_NEW)
        try:
            written = self._port.write(handle, data.ljust(self._slot_size, b"\0"))
        finally:
            self._port.close(handle)
        if written != self._slot_size:
            raise OSError(28, "no space for the manifest")
        self._port.rename(SLOT_NEW, slot)
        self._slots.add(slot)

    def turn(self) -> None:
        """The end of a turn: clean a slice, if it is time, and give back what is empty."""
        if self._owed:
            self._end_owed()
        if self.still:
            return
        tight = self.plan.free() <= FREE_LOW
        if not tight and not self._turned:
            self._wrote = 0
            return
        self._turned = False
        if self._cleaning is None and tight:
            victim = self.plan.victim(self._seq)
            if victim is not None:
                self._cleaning = self._carry(victim)
        most, self._wrote = self.plan.slice(self._wrote), 0
        try:
            while self._cleaning is not None and most > 0:
                size = next(self._cleaning, None)
                if size is None:
                    self._cleaning = None
                else:
                    most -= size
            self._free()
        except JournalFull:
            self._cleaning = None  # no room even for that: later, as ends make some

    def _end_owed(self) -> None:
        while self._owed:
            uid = self._owed[-1]
            try:
                self._append(f.END, uid, f.end(uid), OPEN)
            except JournalFull:
                return
            self._owed.pop()
            del self._entries[uid]

    def _carry(self, number: int) -> Iterator[int]:
        """Write what is live in a segment anew, message by message; gives the bytes of each."""
        for uid, ended in self.plan.needed(number):
            held = self.plan.held.get(uid)
            if held is None or number not in held.live:
                continue  # it has ended or was carried meanwhile
            if ended or held.ended:
                self._append(f.END, uid, f.end(uid), CLEANING)
            else:
                self._append(f.MESSAGE, uid, f.message(uid, self._entries[uid]), CLEANING)
            yield self._last

    def _clean_now(self, what: int, size: int) -> None:
        """The writers have outrun the slices: make room in one go, a segment at most at a time."""
        self._free()
        for _ in range(2 * len(self.plan.segments)):
            if self.plan.may_open(what, size):
                return
            victim = self.plan.victim(self._seq)
            if victim is None or what == CLEANING:
                break
            for _size in self._carry(victim):
                pass
            self._free()
        if not self.plan.may_open(what, size):
            raise JournalFull("the folder is full")

    def _free(self) -> None:
        """Take empty segments out of the manifest, then remove them; a crash between leaves files that nobody names."""
        empty = self.plan.empty()
        if not empty:
            return
        try:
            self._put_manifest(without=frozenset(empty))
        except OSError as error:
            raise JournalFull(str(error)) from error
        for number in empty:
            self.plan.freed(number)
            with suppress(OSError):
                self._port.unlink(segment_name(number))

    def compact(self) -> None:
        """Carry all that is live into new segments, and give back the others; for a journal that nobody writes to."""
        for number in [one.number for one in self.plan.segments.values()]:
            if number in self.plan.segments and self.plan.segments[number] is not self.plan.active:
                for _size in self._carry(number):
                    pass
                self._free()

    def close(self) -> None:
        """Write no more, and let another process have the folder."""
        if self._handle >= 0:
            self._shut()
        self._port.unlock()


__all__ = ["Entry", "Journal", "JournalFull", "Refused", "segment_name"]
