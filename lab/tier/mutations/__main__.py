"""Puts mistakes in and tells who finds them: names as arguments, else all."""

from __future__ import annotations

import logging
import sys
import time

from lab.tier.mutations import ALL, detect


def main() -> int:
    """Names of mistakes as arguments, else all. Exit code 1 where one stays unfound."""
    logging.disable(logging.CRITICAL)
    unfound = 0
    for mistake in ALL:
        if len(sys.argv) > 1 and mistake.name not in sys.argv[1:]:
            continue
        begun = time.monotonic()
        found = detect(mistake)
        unfound += not found
        print(f"{mistake.name}: {found or 'NOT FOUND'}, {time.monotonic() - begun:.0f} s", flush=True)
    return int(unfound > 0)


if __name__ == "__main__":
    sys.exit(main())
