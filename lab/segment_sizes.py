"""Sizes of a journal's segments, read beside the relay that writes and removes them."""

from __future__ import annotations

from pathlib import Path

from lynxscale.relay.journal.cleaning_plan import allocated_size


def allocated_by_segment(folder: Path) -> dict[str, int]:
    """Return the bytes of disk space that each file of a journal's folder takes, by its name.

    All files are measured anew if one is removed meanwhile, so that the result holds all that were there at the end.
    """
    while True:
        try:
            return {path.name: allocated_size(path.stat().st_size) for path in folder.iterdir()}
        except FileNotFoundError:
            continue
