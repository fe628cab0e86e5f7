"""``python -m lab.tier.data_plane_mutations [NAME …]``: applies mutations, and runs the test that detects each."""

from __future__ import annotations

import sys
from concurrent.futures import ThreadPoolExecutor

from lab.tier.data_plane_mutations import ALL
from lab.tier.source_mutation import detects

WORKERS = 4


def main() -> int:
    """Apply the mutations that the arguments name, or all. Exit code 1 if a test does not detect its mutation."""
    chosen = [mutation for mutation in ALL if len(sys.argv) == 1 or mutation.name in sys.argv[1:]]
    undetected = 0
    with ThreadPoolExecutor(WORKERS) as pool:
        for mutation, found in zip(chosen, pool.map(detects, chosen), strict=True):
            undetected += not found
            print(f"{mutation.name}: {'detected' if found else 'NOT DETECTED'} by {mutation.test}", flush=True)
    print(f"{len(chosen) - undetected} of {len(chosen)} detected")
    return int(undetected > 0)


if __name__ == "__main__":
    sys.exit(main())
