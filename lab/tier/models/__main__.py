"""Searches the models in every order of events within their bounds; exit code 1 if an invariant is violated."""

from __future__ import annotations

import logging
import sys
import time

from lab.model_checker import InvariantViolation
from lab.tier.models.catalogue import MODELS, Scope

MAX_STATES = 2_000_000


def main() -> int:
    """Search the models that the arguments name, or all without arguments."""
    logging.disable(logging.CRITICAL)
    broken = 0
    for model in MODELS:
        if len(sys.argv) > 1 and model.name not in sys.argv[1:]:
            continue
        for bounds in model.bounds(Scope.WIDE):
            started_at = time.monotonic()
            try:
                states = model.search(bounds, MAX_STATES, False)
                outcome = f"{states} states, no breach"
            except InvariantViolation as violation:
                broken += 1
                outcome = f"BREACH: {violation}"
            print(f"{model.name} {bounds}: {outcome}, {time.monotonic() - started_at:.0f} s", flush=True)
    return int(broken > 0)


if __name__ == "__main__":
    sys.exit(main())
