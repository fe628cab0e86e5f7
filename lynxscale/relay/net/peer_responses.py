"""Interprets the status and headers of peers' responses. Does no I/O."""

from __future__ import annotations

import re
from collections.abc import Sequence

from lynxscale.scheduling.events import Result

# Other statuses are errors after which the message may have been executed.
RESULT_BY_STATUS = {200: Result.OK, 429: Result.FULL, 503: Result.FULL, 504: Result.MOOT, 410: Result.MOOT}
GONE_STATUS = 410  # the peer needs no further attempt for the message
UNREADABLE_BUNDLE_STATUSES = (400, 413)  # the peer could not parse a bundle and executed none of its messages
# float() would also accept nan, inf, signs and underscores.
NUMBER = re.compile(r"[0-9]{1,9}(?:\.[0-9]{1,9})?")
MAX_RETRY_AFTER_MS = 3_600_000.0  # guards against a pause that never ends


def parse_seconds_as_ms(text: str | None) -> float:
    """Convert a header value in decimal seconds to milliseconds; 0 if it is absent or malformed."""
    seconds = float(text) if text and NUMBER.fullmatch(text) else 0.0
    return min(seconds * 1000, MAX_RETRY_AFTER_MS)


def load_report(headers: dict[str, str], columns: Sequence[str]) -> tuple[float, ...]:
    """The load report's values for ``columns``; empty if one is missing or not a number."""
    text = headers.get("srv-load")
    if not text:
        return ()
    reported = dict(field.strip().partition("=")[::2] for field in text.split(","))
    values = [reported.get(name, "") for name in columns]
    if not all(NUMBER.fullmatch(value) for value in values):
        return ()
    return tuple(float(value) for value in values)
