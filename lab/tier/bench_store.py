"""Measures the steps of a store at several sizes: ``python -m lab.tier.bench_store [MEGABYTES …]``.

A step blocks its process; a step that takes longer than a lease (0.4 s) would lose the lease.
"""

from __future__ import annotations

import asyncio
import gc
import sys
import tempfile
import time
from collections.abc import Callable

import msgspec

from lynxscale.controlplane.turn_admission import TurnAdmission
from lynxscale.controlplane.turn_history import TurnRecord
from lynxscale.coordination.key_value_table import KeyValueTable
from lynxscale.coordination.messages import Position, Put
from lynxscale.coordination.store import Store
from lynxscale.runtime.clock import LoopClock
from lynxscale.runtime.durable_files import DurableFiles

TURN_BYTES = 2500  # input and output of a typical turn


class DeferredSteps:
    """Runs deferred steps one by one, and records the duration of the longest."""

    def __init__(self) -> None:
        self.longest_s = 0.0
        self._pending: list[Callable[[], None]] = []

    def defer(self, step: Callable[[], None]) -> None:
        """Defer a step; passed to Store."""
        self._pending.append(step)

    def run(self) -> float:
        """Run all steps. Returns their total duration in seconds."""
        total = 0.0
        while self._pending:
            step = self._pending.pop(0)
            duration_s = timed(step)
            self.longest_s = max(self.longest_s, duration_s)
            total += duration_s
        return total


def timed(call: Callable[[], object]) -> float:
    """Seconds that a call takes."""
    started_at = time.perf_counter()
    call()
    return time.perf_counter() - started_at


def turns_of(megabytes: int) -> tuple[Put, ...]:
    """Puts of turns with a total size in megabytes."""
    value = msgspec.Raw(msgspec.json.encode(TurnRecord(b"x" * TURN_BYTES, "", 90.0)))
    count = megabytes * 1_000_000 // len(bytes(value))
    return tuple(Put(f"turn/{number:012x}", value) for number in range(count))


def measure(megabytes: int) -> str:
    """Measure one size. Returns a row of the table, with times in milliseconds."""
    loop = asyncio.new_event_loop()
    puts = turns_of(megabytes)
    with tempfile.TemporaryDirectory() as folder:
        steps = DeferredSteps()
        store = Store(DurableFiles(folder), steps.defer)
        table = KeyValueTable()
        table.apply(puts)
        install = timed(lambda: store.install(Position(1, 1), table, lambda: None))
        all_steps = steps.run()
        compare = timed(store.checksum)
        admission = TurnAdmission(store.values, LoopClock(loop))
        gc.collect()
        scan = timed(admission.restart_retention)
        keys = timed(lambda: sorted(store.values))
        load = timed(lambda: Store(DurableFiles(folder)))
    loop.close()
    cells = (install, steps.longest_s, all_steps, compare, scan, keys, load)
    return f"| {megabytes} | " + " | ".join(f"{1000 * cell:.1f}" for cell in cells) + " |"


def main() -> None:
    """Print the table for the sizes in megabytes that the arguments give."""
    sizes = [int(word) for word in sys.argv[1:]] or [1, 20, 100]
    print("| MB | begin a snapshot | longest step | all steps | compare | new leader's scan | sort keys | start |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for size in sizes:
        print(measure(size), flush=True)


if __name__ == "__main__":
    main()
