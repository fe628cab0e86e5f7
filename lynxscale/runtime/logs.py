"""Logging to standard error: one line per event, with ``event=NAME`` and its fields as ``key=value``."""

from __future__ import annotations

import logging
import sys


def configure(level: int = logging.INFO) -> None:
    """Write all records of ``level`` and above to standard error."""
    logging.basicConfig(stream=sys.stderr, level=level, format="level=%(levelname)s %(message)s")
