"""Logs on standard error: one line an event, ``event=NAME`` and fields."""

from __future__ import annotations

import logging
import sys


def start(level: int = logging.INFO) -> None:
    """Send all records to standard error."""
    logging.basicConfig(stream=sys.stderr, level=level, format="level=%(levelname)s %(message)s")
