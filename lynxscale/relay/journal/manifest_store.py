"""The manifest's two files. They are written alternately, so that a crash during a write leaves the other intact."""

from __future__ import annotations

import errno
from contextlib import suppress

from lynxscale.relay.exceptions import JournalFormatError, JournalVersionError
from lynxscale.relay.journal.layout import Manifest, ManifestRow, decode_manifest, encode_manifest, segment_name
from lynxscale.relay.journal.storage import Storage

SLOTS = ("manifest.0", "manifest.1")
NEW_SLOT = "manifest.new"  # temporary name of a slot while its file is created
SLOT_SIZE_STEP = 4096  # bytes; slot files are padded to a multiple of this


def load_manifest(storage: Storage, names: list[str]) -> Manifest | None:
    """Return the newest valid manifest, or None if there is none yet. ``names``: the files in the folder.

    Raises JournalFormatError if there are manifests and none is valid, and JournalVersionError if a newer version
    wrote one.
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
    """Return the bytes of a manifest's segments by number, except those missing from ``names``. Raises OSError."""
    return {
        row.number: storage.read(segment_name(row.number)) for row in manifest.rows if segment_name(row.number) in names
    }


class ManifestStore:
    """Reads and writes the manifest.

    Attributes
    ----------
    is_current
        False after a failed write: the manifest on disk may be the previous one or the one whose write failed.
    """

    def __init__(self, storage: Storage) -> None:
        self._storage = storage
        self._generation = 0
        self._slots: set[str] = set()  # slots whose file exists
        self._slot_size = SLOT_SIZE_STEP
        self.is_current = True

    def load(self, names: list[str]) -> Manifest | None:
        """Load the manifest as ``load_manifest`` does, and remove the leftover of an interrupted slot creation."""
        with suppress(OSError):
            if NEW_SLOT in names:
                self._storage.unlink(NEW_SLOT)
        manifest = load_manifest(self._storage, names)
        self._slots = {slot for slot in SLOTS if slot in names}
        if manifest is not None:
            self._generation = manifest.generation
        return manifest

    def write(self, rows: tuple[ManifestRow, ...]) -> None:
        """Write the next generation over the older manifest, so that a crash leaves the newer one. Raises OSError.

        The file is overwritten in place, because some file systems flush a file synchronously when it is
        renamed over another.
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
        """Create or enlarge a slot's file atomically, padded so that later manifests fit in place."""
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
