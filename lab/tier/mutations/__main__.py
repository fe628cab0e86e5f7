"""Applies mutations one by one, and prints how each was detected."""

from __future__ import annotations

import logging
import sys
import time

from lab.tier.mutations import ALL, detect


def main() -> int:
    """Apply the mutations that the arguments name, or all. Exit code 1 if one is not detected."""
    logging.disable(logging.CRITICAL)
    undetected = 0
    for mutation in ALL:
        if len(sys.argv) > 1 and mutation.name not in sys.argv[1:]:
            continue
        started_at = time.monotonic()
        found = detect(mutation)
        undetected += not found
        print(f"{mutation.name}: {found or 'NOT FOUND'}, {time.monotonic() - started_at:.0f} s", flush=True)
    return int(undetected > 0)


if __name__ == "__main__":
    sys.exit(main())
