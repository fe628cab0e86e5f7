"""Searches every order of the small machines within their bounds; exit code 1 where one breaks what must hold."""

from __future__ import annotations

import logging
import sys
import time

from lab.model_checker import InvariantViolation, explore
from lab.tier.models.catalogue import MODELS, Scope

MOST_STATES = 2_000_000


def main() -> int:
    """Names of models as arguments, else all."""
    logging.disable(logging.CRITICAL)
    broken = 0
    for model in MODELS:
        if len(sys.argv) > 1 and model.name not in sys.argv[1:]:
            continue
        for bounds in model.bounds(Scope.WIDE):
            begun = time.monotonic()
            try:
                states = explore(lambda m=model, b=bounds: m.make(b), MOST_STATES)
                told = f"{states} states, no breach"
            except InvariantViolation as breach:
                broken += 1
                told = f"BREACH: {breach}"
            print(f"{model.name} {bounds}: {told}, {time.monotonic() - begun:.0f} s", flush=True)
    return int(broken > 0)


if __name__ == "__main__":
    sys.exit(main())
