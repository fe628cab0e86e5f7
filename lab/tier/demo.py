"""``python -m lab.tier.demo``: serves programs by a small tier on loopback, and kills its primary meanwhile."""

from __future__ import annotations

import asyncio
import itertools
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

from lab.tier.local import LocalTier

DURATION_S = 10.0
PROGRAM_COUNT = 4
TURNS_PER_PROGRAM = 6
RETRY_BACKOFF_S = 0.2
MAX_ATTEMPTS = 6


async def run_program(tier: LocalTier, number: int, end: float, counts: Counter) -> None:
    """Run programs one after the other, each with a few retained turns and a call after each turn."""
    for serial in itertools.count():
        previous = ""
        for turn in range(TURNS_PER_PROGRAM):
            if time.monotonic() > end:
                return
            name = f"d{number}-{serial}-{turn}"
            previous = await run_turn(tier, name, f"program-{number}-{serial}", previous, counts)
            if not previous:
                counts["programs broken"] += 1
                break
            fields = ((b"lynxscale-request-id", f"{name}-call".encode()),)
            response = await tier.call(tier.frontend(tier.relay_names[number % 2]), "GET", "/look/1", b"", fields)
            counts[f"calls answered {response.status}"] += 1
        else:
            counts["programs complete"] += 1


async def run_turn(tier: LocalTier, name: str, program: str, previous: str, counts: Counter) -> str:
    """Run one turn, retried with new request ids. Returns the id of the complete attempt, empty if none completes."""
    for attempt in range(MAX_ATTEMPTS):
        request_id = f"{name}-{attempt}"
        fields = (
            (b"lynxscale-request-id", request_id.encode()),
            (b"program", program.encode()),
            (b"budget", b"10000"),
            (b"lynxscale-token-count", b"100,40"),
            *(((b"previous", previous.encode()),) if previous else ()),
        )
        relay = tier.relay_names[attempt % 2]
        response = await tier.call(tier.frontend(relay), "POST", "/kept/stream", b"say ", fields)
        counts[f"turns answered {response.status}"] += 1
        if response.status == 200:
            return request_id
        await asyncio.sleep(RETRY_BACKOFF_S)
    return ""


async def main() -> int:
    """Exit code 0 if every program completed."""
    counts: Counter = Counter()
    with tempfile.TemporaryDirectory() as folder:
        tier = LocalTier(Path(folder))
        try:
            await tier.start()
            print(f"a tier of {len(tier.processes)} processes serves {PROGRAM_COUNT} programs for {DURATION_S:.0f} s")
            end = time.monotonic() + DURATION_S
            programs = [asyncio.create_task(run_program(tier, n, end, counts)) for n in range(PROGRAM_COUNT)]
            await asyncio.sleep(DURATION_S / 3)
            primary = await tier.primary()
            tier.kill(primary)
            print(f"{primary}, the primary, is killed")
            print(f"{await tier.primary()} is primary now")
            tier.launch(primary)
            await asyncio.gather(*programs)
        finally:
            tier.stop()
    for outcome, count in sorted(counts.items()):
        print(f"{outcome}: {count}")
    return int(counts["programs broken"] > 0 or not counts["programs complete"])


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
