"""``python -m lab.tier.demo``: a small tier on loopback serves programs while its primary is killed."""

from __future__ import annotations

import asyncio
import itertools
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

from lab.tier.local import LocalTier

SECONDS = 10.0
PROGRAMS = 4
TURNS = 6
RETRY_BACKOFF_S = 0.2
MAX_ATTEMPTS = 6


async def run_program(tier: LocalTier, number: int, end: float, seen: Counter) -> None:
    """Programs of a few retained turns and a call each, one after the other."""
    for serial in itertools.count():
        previous = ""
        for turn in range(TURNS):
            if time.monotonic() > end:
                return
            name = f"d{number}-{serial}-{turn}"
            previous = await run_turn(tier, name, f"program-{number}-{serial}", previous, seen)
            if not previous:
                seen["programs broken"] += 1
                break
            fields = ((b"lynxscale-request-id", f"{name}-call".encode()),)
            answer = await tier.call(tier.frontend(tier.relay_names[number % 2]), "GET", "/look/1", b"", fields)
            seen[f"calls answered {answer.status}"] += 1
        else:
            seen["programs complete"] += 1


async def run_turn(tier: LocalTier, name: str, program: str, previous: str, seen: Counter) -> str:
    """One turn, retried a few times under new ids; the id of the complete one, empty for none."""
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
        answer = await tier.call(tier.frontend(relay), "POST", "/kept/stream", b"say ", fields)
        seen[f"turns answered {answer.status}"] += 1
        if answer.status == 200:
            return request_id
        await asyncio.sleep(RETRY_BACKOFF_S)
    return ""


async def main() -> int:
    """Exit code 0 where every program was complete."""
    seen: Counter = Counter()
    with tempfile.TemporaryDirectory() as folder:
        tier = LocalTier(Path(folder))
        try:
            await tier.start()
            print(f"a tier of {len(tier.processes)} processes serves {PROGRAMS} programs for {SECONDS:.0f} s")
            end = time.monotonic() + SECONDS
            programs = [asyncio.create_task(run_program(tier, n, end, seen)) for n in range(PROGRAMS)]
            await asyncio.sleep(SECONDS / 3)
            primary = await tier.primary()
            tier.kill(primary)
            print(f"{primary}, the primary, is killed")
            print(f"{await tier.primary()} is primary now")
            tier.launch(primary)
            await asyncio.gather(*programs)
        finally:
            tier.stop()
    for what, count in sorted(seen.items()):
        print(f"{what}: {count}")
    return int(seen["programs broken"] > 0 or not seen["programs complete"])


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
