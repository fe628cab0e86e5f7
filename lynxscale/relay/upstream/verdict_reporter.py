"""Reports verdicts on lists: rate-limited log events, trace records, and rows for the verdict file."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any, Protocol

import structlog

from lynxscale.relay.upstream.model import ListOutcome, ListVerdict

log = structlog.get_logger()

MAX_LOG_LINES_PER_S, MAX_LOG_BURST_LINES = 5, 50  # fill rate and size of a token bucket
MAX_LOGGED_REASONS = 5  # per verdict


class VerdictTrace(Protocol):
    """The part of a trace that records verdicts; implemented by ``lynxscale.trace.recorder``."""

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
    ) -> None:
        """Record the verdict on a version; ``counts``: how many changes of each kind it makes."""


class VerdictReporter:
    """Reports verdicts on lists.

    ``now`` returns the event loop's time in µs; ``trace`` returns the relay's current trace, or None.
    """

    def __init__(self, now: Callable[[], int], trace: Callable[[], VerdictTrace | None]) -> None:
        self._now, self._trace = now, trace
        self._tokens, self._refilled_at, self._suppressed = float(MAX_LOG_BURST_LINES), 0, 0

    def report(self, source: str, verdict: ListVerdict) -> dict:
        """Log and trace a verdict, and return its row for the verdict file."""
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
        write = log.info if verdict.outcome == ListOutcome.APPLIED else log.warning
        if self._take_log_token():
            more = {"reasons": " | ".join(reasons[:MAX_LOGGED_REASONS])} if reasons else {}
            write("list_verdict", **fields, **more)
        return fields | {
            "ts": time.time(),
            "digest": candidate.digest,
            "reasons": reasons,
            "endpoints": len(candidate.entries),
        }

    def event(self, event: str, **fields: Any) -> None:
        """Log an event about a list other than a verdict."""
        if self._take_log_token():
            log.warning(event, **fields)

    def _take_log_token(self) -> bool:
        """Take a token for one log line; False if none is left. Suppressed lines are counted and reported later.

        Without this limit a list that changes rapidly would flood the log.
        """
        now = self._now()
        self._tokens = min(MAX_LOG_BURST_LINES, self._tokens + (now - self._refilled_at) * MAX_LOG_LINES_PER_S / 1e6)
        self._refilled_at = now
        if self._tokens < 1:
            self._suppressed += 1
            return False
        self._tokens -= 1
        if self._suppressed:
            log.warning("list_lines_suppressed", lines=self._suppressed)
            self._suppressed = 0
        return True
