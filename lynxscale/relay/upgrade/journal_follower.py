"""Reads another process's journal while it is written, to know which messages are open there and their state."""

from __future__ import annotations

import errno
import os
from contextlib import suppress
from pathlib import Path

from lynxscale.relay.exceptions import JournalFormatError
from lynxscale.relay.journal.layout import SEGMENT_HEADER_SIZE, SEGMENT_SUFFIX, decode_segment_header, segment_name
from lynxscale.relay.journal.manifest_store import load_manifest
from lynxscale.relay.journal.records import COMPLETED, MESSAGE, Entry, apply_record, read_records
from lynxscale.relay.journal.recovery import recover
from lynxscale.relay.journal.storage import FolderStorage

MAX_READ_BYTES = 256 << 10  # per read


class JournalFollower:
    """Follows a journal. ``entries``: its open messages by uid, as of the last poll."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self.entries: dict[int, Entry] = {}
        self._uids_by_id: dict[str, int] = {}
        self._segment_number = -1  # the segment that is read
        self._handle = -1
        self._offset = self._salt = 0
        self._last_seq = 0  # sequence number of the last record that was read

    def close(self) -> None:
        """Close the current segment."""
        if self._handle >= 0:
            os.close(self._handle)
            self._handle = -1

    def contains(self, id_: str) -> bool:
        """Whether this message is open in the journal, according to all that has been written so far."""
        if not self.poll():
            return False
        return self._uids_by_id.get(id_) in self.entries

    def poll(self) -> bool:
        """Read new records; returns False if the journal cannot be read at present."""
        try:
            if self._segment_number < 0:
                self._read_all()
            while self._read_more() or self._next_segment():
                pass
        except (OSError, JournalFormatError):
            self.close()
            self._segment_number = -1  # the next poll reads the journal from its start
            return False
        return True

    def _read_all(self) -> None:
        """Read the complete journal. Raises OSError if a segment was removed meanwhile."""
        storage = FolderStorage(self._path)
        manifest = load_manifest(storage, storage.names())
        if manifest is None or not manifest.rows:
            return
        rows = sorted(manifest.rows, key=lambda row: row.first_seq)
        recovered = recover(manifest, {row.number: storage.read(segment_name(row.number)) for row in rows})
        last = rows[-1].number
        if last not in recovered.salts:
            return  # the segment's header is not written yet
        self._handle = os.open(self._path / segment_name(last), os.O_RDONLY | os.O_CLOEXEC)
        self._segment_number, self._offset, self._salt = last, recovered.sizes[last], recovered.salts[last]
        self.entries, self._last_seq = recovered.entries, recovered.next_seq - 1
        self._uids_by_id = {entry.id: uid for uid, entry in self.entries.items()}

    def _read_more(self) -> bool:
        """Read more of the current segment; returns False at its end."""
        if self._handle < 0:
            return False
        data = os.pread(self._handle, MAX_READ_BYTES, self._offset)
        start = self._offset
        for record in read_records(data, 0, self._salt):
            self._offset += record.size
            if record.seq <= self._last_seq:
                continue
            self._last_seq = record.seq
            ended = self.entries.get(record.uid) if record.kind == COMPLETED else None
            apply_record(self.entries, record)
            if ended is not None:
                self._uids_by_id.pop(ended.id, None)
            elif record.kind == MESSAGE:
                self._uids_by_id[self.entries[record.uid].id] = record.uid
        return self._offset > start

    def _next_segment(self) -> bool:
        """Switch to the next segment; returns False if there is none yet."""
        if self._handle < 0:
            return False
        with suppress(FileNotFoundError):
            handle = os.open(self._path / segment_name(self._segment_number + 1), os.O_RDONLY | os.O_CLOEXEC)
            try:
                _segment_number, _first, salt = decode_segment_header(os.pread(handle, SEGMENT_HEADER_SIZE, 0))
            except JournalFormatError:
                os.close(handle)
                return False  # the segment's header is not complete yet
            self.close()
            self._handle, self._segment_number, self._offset, self._salt = (
                handle,
                self._segment_number + 1,
                SEGMENT_HEADER_SIZE,
                salt,
            )
            return True
        if any(
            name.endswith(SEGMENT_SUFFIX) and name > segment_name(self._segment_number)
            for name in os.listdir(self._path)
        ):
            raise OSError(errno.ENOENT, "a segment was skipped")
        return False
