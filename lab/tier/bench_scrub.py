"""Measures the cost of the file scrub: ``python -m lab.tier.bench_scrub [MEGABYTES …]``.

A store in a real folder saves a batch every ``WRITE_INTERVAL_S``, first without the scrub, then with a step of the
scrub every ``STEP_INTERVAL_S``. Prints the scrub's processor time as a share of a core, its longest step, the duration
of a scrub of all files, and the latency of a save, at p50 and p99, without and with the scrub.
"""

from __future__ import annotations

import sys
import tempfile
import time
from collections.abc import Callable

import msgspec
from attrs import frozen

from lab.tier.bench_store import DeferredSteps, turns_of
from lynxscale.coordination.file_scrub import STEP_INTERVAL_S, FileScrub
from lynxscale.coordination.key_value_table import KeyValueTable
from lynxscale.coordination.messages import Batch, Position, Put
from lynxscale.coordination.store import Store
from lynxscale.runtime.durable_files import DurableFiles

WRITE_INTERVAL_S = 0.02
RUN_DURATION_S = 15.0
VALUE = msgspec.Raw(b'"' + b"x" * 2000 + b'"')


@frozen
class Costs:
    """The costs of one run. Times in seconds; ``saves`` and ``steps`` are sorted."""

    saves: list[float]
    steps: list[float]
    processor_s: float


def run(store: Store, step: Callable[[], None]) -> Costs:
    """Save batches for ``RUN_DURATION_S``, and call ``step`` every ``STEP_INTERVAL_S``."""
    saves: list[float] = []
    steps: list[float] = []
    processor_s = 0.0
    started_at = time.perf_counter()
    next_step = started_at
    while (now := time.perf_counter()) - started_at < RUN_DURATION_S:
        if now >= next_step:
            next_step = now + STEP_INTERVAL_S
            used = time.process_time()
            step()
            processor_s += time.process_time() - used
            steps.append(time.perf_counter() - now)
        save_requested_at = time.perf_counter()  # the latency includes the step that the batch waits for
        next_position = Position(1, store.position.index + 1)
        store.save(Batch(store.position, next_position, (Put(f"k{next_position.index % 100}", VALUE),)))
        saves.append(time.perf_counter() - min(save_requested_at, now))
        time.sleep(max(0.0, WRITE_INTERVAL_S - (time.perf_counter() - now)))
    return Costs(sorted(saves), sorted(steps), processor_s)


def scrub_cycle_s(files: DurableFiles) -> float:
    """Seconds that a scrub of all files takes at ``STEP_INTERVAL_S``."""
    scrub = FileScrub(files, lambda name: print(f"damaged: {name}"))
    steps = 0
    while scrub.cycles < 2:
        scrub.step()
        steps += 1
    return steps * STEP_INTERVAL_S


def main() -> int:
    """Measure stores of the given sizes in megabytes, by default 1 and 20."""
    for megabytes in map(int, sys.argv[1:] or ("1", "20")):
        with tempfile.TemporaryDirectory() as folder:
            files, deferred = DurableFiles(folder), DeferredSteps()
            store = Store(files, deferred.defer)
            table = KeyValueTable()
            table.apply(turns_of(megabytes))
            store.install(Position(1, 1), table, lambda: None)
            deferred.run()
            without = run(store, lambda: None)
            scrub = FileScrub(files, lambda name: print(f"damaged: {name}"))
            with_scrub = run(store, scrub.step)
            print(
                f"{megabytes} MB, {len(files.names())} files: scrub "
                f"{100 * with_scrub.processor_s / RUN_DURATION_S:.3f} % of a core, "
                f"longest step {1000 * with_scrub.steps[-1]:.2f} ms, all files in {scrub_cycle_s(files):.0f} s; "
                f"save without {describe(without.saves)}, with {describe(with_scrub.saves)}",
                flush=True,
            )
    return 0


def describe(times: list[float]) -> str:
    """Percentiles of sorted times, as text."""
    return f"p50 {1000 * times[len(times) // 2]:.2f} p99 {1000 * times[int(0.99 * len(times))]:.2f} ms"


if __name__ == "__main__":
    sys.exit(main())
