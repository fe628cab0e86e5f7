"""What a peer's response says in its status and headers. No I/O."""

from __future__ import annotations

import re
from collections.abc import Sequence

from lynxscale.scheduling.events import Result

# Statuses by which the message did not run; all others but 200 count as an error that may have run.
RESULT_BY_STATUS = {200: Result.OK, 429: Result.FULL, 503: Result.FULL, 504: Result.MOOT, 410: Result.MOOT}
GONE = 410  # nothing more is owed for the message
NOT_READ = (400, 413)  # a bundle that the peer could not read, so that none of it ran
# Python's own float() takes nan, inf, signs and 1_0 besides.
NUMBER = re.compile(r"[0-9]{1,9}(?:\.[0-9]{1,9})?")
MAX_WAIT_MS = 3_600_000.0  # guards against a wait by which a destination would never be called again


def milliseconds(text: str | None) -> float:
    """A header in seconds with decimals as milliseconds; 0 where absent or malformed."""
    seconds = float(text) if text and NUMBER.fullmatch(text) else 0.0
    return min(seconds * 1000, MAX_WAIT_MS)


def load_report(headers: dict[str, str], columns: Sequence[str]) -> tuple[float, ...]:
    """The columns of the load report that the settings name; empty where one is missing or no number."""
    text = headers.get("srv-load")
    if not text:
        return ()
    reported = dict(field.strip().partition("=")[::2] for field in text.split(","))
    values = [reported.get(name, "") for name in columns]
    if not all(NUMBER.fullmatch(value) for value in values):
        return ()
    return tuple(float(value) for value in values)
