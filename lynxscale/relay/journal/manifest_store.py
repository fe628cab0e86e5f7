"""The manifest's two files, written in turn, so that a crash while one is written leaves the other."""

from __future__ import annotations

import errno
from contextlib import suppress

from lynxscale.relay.exceptions import JournalFormatError, JournalVersionError
from lynxscale.relay.journal.layout import Manifest, ManifestRow, decode_manifest, encode_manifest, segment_name
from lynxscale.relay.journal.storage import Storage

SLOTS = ("manifest.0", "manifest.1")
NEW_SLOT = "manifest.new"  # a slot while it is written for the first time
SLOT_SIZE_STEP = 4096  # bytes


def load_manifest(storage: Storage, names: list[str]) -> Manifest | None:
    """The newer one of the valid manifests; None before the first. ``names``: the files that are there.

    Raises JournalFormatError where there are manifests and none is valid, JournalVersionError where a newer
    version wrote one.
    """
    manifests, faults = [], []
    for slot in SLOTS:
        if slot not in names:
            continue
        try:
            manifests.append(decode_manifest(storage.read(slot)))
        except JournalVersionError:
            raise
        except JournalFormatError as error:
            faults.append(f"{slot}: {error}")
    if not manifests and faults:
        raise JournalFormatError("; ".join(faults))
    return max(manifests, default=None, key=lambda manifest: manifest.generation)


def read_segments(storage: Storage, manifest: Manifest, names: list[str]) -> dict[int, bytes]:
    """The bytes of a manifest's segments, by number; without those that are not among ``names``. Raises OSError."""
    return {
        row.number: storage.read(segment_name(row.number)) for row in manifest.rows if segment_name(row.number) in names
    }


class ManifestStore:
    """Reads and writes the manifest.

    Attributes
    ----------
    is_current
        False after a write that failed: the manifest on disk may be either the one before or the one that was written.
    """

    def __init__(self, storage: Storage) -> None:
        self._storage = storage
        self._generation = 0
        self._slots: set[str] = set()  # those that exist
        self._slot_size = SLOT_SIZE_STEP
        self.is_current = True

    def load(self, names: list[str]) -> Manifest | None:
        """The manifest in force, as ``load_manifest`` reads it; leftovers of a first write are removed."""
        with suppress(OSError):
            if NEW_SLOT in names:
                self._storage.unlink(NEW_SLOT)
        manifest = load_manifest(self._storage, names)
        self._slots = {slot for slot in SLOTS if slot in names}
        if manifest is not None:
            self._generation = manifest.generation
        return manifest

    def write(self, rows: tuple[ManifestRow, ...]) -> None:
        """Write the next generation over the last but one: whichever a crash leaves, one is valid. Raises OSError.

        In place and not by a rename, as some file systems write a file that replaces another out at once.
        """
        generation = self._generation + 1
        data = encode_manifest(Manifest(generation, rows))
        slot = SLOTS[generation % 2]
        self.is_current = False
        if slot in self._slots and len(data) <= self._slot_size:
            self._storage.overwrite(slot, data)
        else:
            self._create_slot(slot, data)
        self.is_current = True
        self._generation = generation

    def _create_slot(self, slot: str, data: bytes) -> None:
        """A slot's first write, or one that needs more space: atomic, and with space for many more rows."""
        self._slot_size = max(self._slot_size, -(-len(data) // SLOT_SIZE_STEP) * SLOT_SIZE_STEP)
        handle = self._storage.create(NEW_SLOT)
        try:
            written = self._storage.write(handle, data.ljust(self._slot_size, b"\0"))
        finally:
            self._storage.close(handle)
        if written != self._slot_size:
            raise OSError(errno.ENOSPC, "no space for the manifest")
        self._storage.rename(NEW_SLOT, slot)
        self._slots.add(slot)
