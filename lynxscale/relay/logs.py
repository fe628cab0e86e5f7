"""Configures the daemon's log, written by structlog: one event per line, a name with fields.

Modules write ``log = structlog.get_logger()`` and ``log.info("connection", kind=..., reason=...)``. Until
``configure`` is called, as in tests, structlog's defaults apply.
"""

from __future__ import annotations

import logging
import sys
from typing import IO, Any

import structlog

from lynxscale.relay.conf.settings import LogConf

FIRST_KEYS = ["ts", "level", "event"]


def _one_line(_logger: Any, _method: str, event: dict) -> dict:
    """Escape unprintable characters, so that no remote side can inject log lines by a value with a line break."""
    for key, value in event.items():
        if isinstance(value, str) and not value.isprintable():
            event[key] = value.encode("unicode_escape").decode("ascii")
    # Such a key may be the name of a message class, which is a key in the counters.
    for key in [key for key in event if not key.isprintable() or " " in key]:
        event["_".join(key.split())] = event.pop(key)
    return event


def _repr_others(_logger: Any, _method: str, event: dict) -> dict:
    """Replace values that are neither text nor number by their repr."""
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
