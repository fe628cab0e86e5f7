"""Telling of verdicts: log events, trace records, and rows for the file of verdicts. What is logged is bounded."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any, Protocol

import structlog

from lynxscale.relay.upstream.model import Outcome, Verdict

log = structlog.get_logger()

LINES_PER_S, LINES_BURST = 5, 50
REASONS_LOGGED = 5


class Trace(Protocol):
    """What hears of verdicts."""

    def verdict(
        self,
        now: int,
        source: str,
        unit: str,
        version: int,
        digest: str,
        outcome: str,
        counts: dict[str, int],
        reasons: str,
    ) -> None: ...


class Teller:
    """``now``: the loop's clock in µs; ``trace``: who hears of it at present, if anybody does."""

    def __init__(self, now: Callable[[], int], trace: Callable[[], Trace | None]) -> None:
        self._now, self._trace = now, trace
        self._lines, self._at, self._untold = float(LINES_BURST), 0, 0

    def verdict(self, source: str, verdict: Verdict) -> dict:
        """Tell it; returns its row."""
        candidate, counts = verdict.candidate, verdict.changes.counts()
        reasons = [str(fault) for fault in verdict.reasons]
        trace = self._trace()
        if trace is not None:
            trace.verdict(
                self._now(),
                source,
                candidate.unit,
                candidate.version,
                candidate.digest,
                verdict.outcome.value,
                counts,
                "\n".join(reasons),
            )
        fields: dict[str, Any] = {
            "source": source,
            "unit": candidate.unit,
            "version": candidate.version,
            "digest": candidate.digest[:16],
            "outcome": verdict.outcome.value,
        }
        fields |= {name: count for name, count in counts.items() if count}
        write = log.info if verdict.outcome == Outcome.APPLIED else log.warning
        if self._may_write():
            more = {"reasons": " | ".join(reasons[:REASONS_LOGGED])} if reasons else {}
            write("list_verdict", **fields, **more)
        return fields | {
            "ts": time.time(),
            "digest": candidate.digest,
            "reasons": reasons,
            "endpoints": len(candidate.entries),
        }

    def event(self, event: str, **fields: Any) -> None:
        """Something about a list that is no verdict."""
        if self._may_write():
            log.warning(event, **fields)

    def _may_write(self) -> bool:
        """Guards the log against a list that flaps: so many lines a second, the rest is counted."""
        now = self._now()
        self._lines = min(LINES_BURST, self._lines + (now - self._at) * LINES_PER_S / 1e6)
        self._at = now
        if self._lines < 1:
            self._untold += 1
            return False
        self._lines -= 1
        if self._untold:
            log.warning("list_lines_left_out", lines=self._untold)
            self._untold = 0
        return True
