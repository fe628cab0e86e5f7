"""The peaks of the resident memory of processes, as the system counts them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

WATCH_INTERVAL_S = 0.2
KIB_PER_MB = 1024


class MemoryWatch:
    """Watches the peaks of the resident memory of processes. ``peaks_mb``: by name, in megabytes."""

    def __init__(self, pids: Callable[[], dict[str, int]]) -> None:
        """``pids()``: the ids of the processes that run now, by name."""
        self.peaks_mb: dict[str, int] = {}
        self._pids = pids

    async def run(self) -> None:
        """Watch until it is cancelled."""
        while True:
            for name, pid in self._pids().items():
                self.peaks_mb[name] = max(self.peaks_mb.get(name, 0), peak_memory_mb(pid))
            await asyncio.sleep(WATCH_INTERVAL_S)


def peak_memory_mb(pid: int) -> int:
    """Return the peak of the resident memory of a process so far in megabytes, 0 if it has ended."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return 0
    return next((int(line.split()[1]) // KIB_PER_MB for line in lines if line.startswith("VmHWM:")), 0)
