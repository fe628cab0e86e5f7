"""Scheduling decisions, without I/O or a clock.

``Scheduler`` serves a relay; ``restart_timeout`` is shared with the serving tier.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from lynxscale.scheduling.scheduler import Scheduler

__all__ = ["Scheduler"]


def __getattr__(name: str) -> Any:
    """``Scheduler`` on first use (PEP 562): programs that need restart timeouts alone do not load it."""
    if name == "Scheduler":
        from lynxscale.scheduling.scheduler import Scheduler

        return Scheduler
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
