"""The daemon's log: one event a line, a name and its fields, by structlog.

Modules write ``log = structlog.get_logger()`` and ``log.info("connection", kind=..., reason=...)``. Until
``configure`` is called structlog's own defaults hold, as in tests.
"""

from __future__ import annotations

import logging
import sys
from typing import IO, Any

import structlog

from lynxscale.relay.conf.settings import LogConf

FIRST_KEYS = ["ts", "level", "event"]


def _one_line(_logger: Any, _method: str, event: dict) -> dict:
    """Guards against a value with a line break in it, by which a remote side could write lines of its own."""
    for key, value in event.items():
        if isinstance(value, str) and not value.isprintable():
            event[key] = value.encode("unicode_escape").decode("ascii")
    for key in [key for key in event if not key.isprintable() or " " in key]:  # a class's name, in counters
        event["_".join(key.split())] = event.pop(key)
    return event


def _repr_others(_logger: Any, _method: str, event: dict) -> dict:
    """What is neither text nor number is written as its repr."""
    for key, value in event.items():
        if value is not None and not isinstance(value, (str, int, float)):
            event[key] = repr(value)
    return event


def configure(conf: LogConf, stream: IO[str] | None = None) -> None:
    """Send every event of at least ``conf.level`` to ``stream`` (standard error), in ``conf.format``."""
    if conf.format == "json":
        render: Any = structlog.processors.JSONRenderer()
    else:
        render = structlog.processors.LogfmtRenderer(key_order=FIRST_KEYS, drop_missing=True, bool_as_flag=False)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True, key="ts"),
            structlog.processors.format_exc_info,
            _repr_others,
            _one_line,
            render,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelName(conf.level.upper())),
        logger_factory=structlog.WriteLoggerFactory(stream or sys.stderr),
        cache_logger_on_first_use=True,
    )
