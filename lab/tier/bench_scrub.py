"""What the scrub of files costs: ``python -m lab.tier.bench_scrub [MEGABYTES …]``.

A store of a real folder saves a batch every ``WRITE_INTERVAL_S``, first without the scrub, then with one step of it
every ``STEP_INTERVAL_S``. Printed: the scrub's processor time as a share of a core, its longest step, the time that all
files take, and the latency of a save, at p50 and p99, without and with the scrub.
"""

from __future__ import annotations

import sys
import tempfile
import time
from collections.abc import Callable

import msgspec
from attrs import frozen

from lab.tier.bench_store import Steps, turns_of
from lynxscale.coordination.file_scrub import STEP_INTERVAL_S, FileScrub
from lynxscale.coordination.key_value_table import KeyValueTable
from lynxscale.coordination.messages import Batch, Position, Put
from lynxscale.coordination.store import Store
from lynxscale.runtime.durable_files import DurableFiles

WRITE_INTERVAL_S = 0.02
RUN_S = 15.0
VALUE = msgspec.Raw(b'"' + b"x" * 2000 + b'"')


@frozen
class Costs:
    """Of one run. Times in seconds; ``saves`` and ``steps`` are sorted."""

    saves: list[float]
    steps: list[float]
    processor_s: float


def run(store: Store, step: Callable[[], None]) -> Costs:
    """Save batches for ``RUN_S`` seconds, with a step of the scrub at its interval."""
    saves: list[float] = []
    steps: list[float] = []
    processor_s = 0.0
    begun = time.perf_counter()
    next_step = begun
    while (now := time.perf_counter()) - begun < RUN_S:
        if now >= next_step:
            next_step = now + STEP_INTERVAL_S
            used = time.process_time()
            step()
            processor_s += time.process_time() - used
            steps.append(time.perf_counter() - now)
        asked = time.perf_counter()  # a batch that comes now waits for the step before it: that counts
        following = Position(1, store.position.index + 1)
        store.save(Batch(store.position, following, (Put(f"k{following.index % 100}", VALUE),)))
        saves.append(time.perf_counter() - min(asked, now))
        time.sleep(max(0.0, WRITE_INTERVAL_S - (time.perf_counter() - now)))
    return Costs(sorted(saves), sorted(steps), processor_s)


def cycle_s(files: DurableFiles) -> float:
    """Seconds that the scrub takes for all files, at its pace."""
    scrub = FileScrub(files, lambda name: print(f"damaged: {name}"))
    steps = 0
    while scrub.cycles < 2:
        scrub.step()
        steps += 1
    return steps * STEP_INTERVAL_S


def main() -> int:
    """Run it for stores of so many megabytes, 1 and 20 by default."""
    for megabytes in map(int, sys.argv[1:] or ("1", "20")):
        with tempfile.TemporaryDirectory() as folder:
            files, deferred = DurableFiles(folder), Steps()
            store = Store(files, deferred.defer)
            table = KeyValueTable()
            table.apply(turns_of(megabytes))
            store.install(Position(1, 1), table, lambda: None)
            deferred.run()
            without = run(store, lambda: None)
            scrub = FileScrub(files, lambda name: print(f"damaged: {name}"))
            with_scrub = run(store, scrub.step)
            print(
                f"{megabytes} MB, {len(files.names())} files: scrub {100 * with_scrub.processor_s / RUN_S:.3f} % of a "
                f"core, longest step {1000 * with_scrub.steps[-1]:.2f} ms, all files in {cycle_s(files):.0f} s; "
                f"save without {describe(without.saves)}, with {describe(with_scrub.saves)}",
                flush=True,
            )
    return 0


def describe(times: list[float]) -> str:
    """Percentiles of sorted times."""
    return f"p50 {1000 * times[len(times) // 2]:.2f} p99 {1000 * times[int(0.99 * len(times))]:.2f} ms"


if __name__ == "__main__":
    sys.exit(main())
