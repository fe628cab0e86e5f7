"""Decisions of sending, without I/O or a clock: ``Sender`` serves a relay, ``restart`` is shared with the tier."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from lynxscale.scheduling.scheduler import Sender

__all__ = ["Sender"]


def __getattr__(name: str) -> Any:
    """``Sender`` on first use (PEP 562): whoever needs restart times alone need not load it."""
    if name == "Sender":
        from lynxscale.scheduling.scheduler import Sender

        return Sender
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
