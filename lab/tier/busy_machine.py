"""``python -m lab.tier.busy_machine SECONDS``: a tier on a machine whose processors are all in use by other processes.

Three control members and two relays run on the disk of this machine beside processes that compute without pause. Each
is asked for its status over and over. Printed are, for each process, the number of answers, the slowest one and how
often it became primary. The exit code is 1 if an answer took longer than ``MAX_ANSWER_S``. Too heavy a load for CI.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from lab.tier.local import LocalTier

COMPUTING_PER_PROCESSOR = 3
ASK_INTERVAL_S = 0.1
CALL_TIMEOUT_S = 60.0
MAX_ANSWER_S = 2.0  # as the health checks of platforms expect
BECAME_PRIMARY = "event=state state=primary"


class BusyMachine:
    """A tier that is asked for its status. ``answers_s``: how long each answer took, by process, in seconds."""

    def __init__(self, tier: LocalTier) -> None:
        self.tier = tier
        self.answers_s: dict[str, list[float]] = {name: [] for name in (*tier.control_names, *tier.relay_names)}

    async def run(self, seconds: float) -> None:
        """Ask all processes until ``seconds`` have passed."""
        deadline = time.monotonic() + seconds
        await asyncio.gather(*(self._ask(name, deadline) for name in self.answers_s))

    async def _ask(self, name: str, deadline: float) -> None:
        address = self.tier.control(name) if name.startswith("control") else self.tier.readiness(name)
        while time.monotonic() < deadline:
            started = time.monotonic()
            async with asyncio.timeout(CALL_TIMEOUT_S):
                await self.tier.call(address, "GET", "/status")
            self.answers_s[name].append(time.monotonic() - started)
            await asyncio.sleep(ASK_INTERVAL_S)

    def report(self) -> bool:
        """Print what was seen; return whether every answer came in time."""
        for name, answers_s in self.answers_s.items():
            elections = (self.tier.folder / f"{name}.log").read_text().count(BECAME_PRIMARY)
            late = sum(answer_s > MAX_ANSWER_S for answer_s in answers_s)
            slowest_s = max(answers_s)
            print(
                f"{name}: {len(answers_s)} answers, slowest {slowest_s:.2f} s, {late} late, {elections} times primary"
            )
        return all(max(answers_s) <= MAX_ANSWER_S for answers_s in self.answers_s.values())


def start_computing(count: int) -> list[subprocess.Popen]:
    """Start processes that use a processor without pause."""
    return [subprocess.Popen([sys.executable, "-c", "while True: pass"]) for _ in range(count)]


async def play(seconds: float, computing: int) -> bool:
    """Play one tier; return whether every answer came in time."""
    with tempfile.TemporaryDirectory() as folder:
        machine = BusyMachine(LocalTier(Path(folder)))
        try:
            await machine.tier.start()
            others = start_computing(computing)
            try:
                await machine.run(seconds)
            finally:
                for process in others:
                    process.kill()
                    process.wait()
            return machine.report()
        finally:
            for name in list(machine.tier.processes):
                machine.tier.kill(name)


def main() -> int:
    """Play as the command line says; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("seconds", type=float, help="how long the tier is watched")
    count = COMPUTING_PER_PROCESSOR * (os.cpu_count() or 1)
    parser.add_argument("--computing", type=int, default=count, help=f"processes that compute (default: {count})")
    options = parser.parse_args()
    return 0 if asyncio.run(play(options.seconds, options.computing)) else 1


if __name__ == "__main__":
    sys.exit(main())
