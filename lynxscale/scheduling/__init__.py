"""Scheduling decisions of a message relay. The package does no I/O and reads no clock.

The relay uses ``Scheduler``; the serving tier uses ``restart_timeout`` only.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from lynxscale.scheduling.scheduler import Scheduler

__all__ = ["Scheduler"]


def __getattr__(name: str) -> Any:
    """Import ``Scheduler`` on first use (PEP 562), so that users of ``restart_timeout`` alone don't load it."""
    if name == "Scheduler":
        from lynxscale.scheduling.scheduler import Scheduler

        return Scheduler
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
