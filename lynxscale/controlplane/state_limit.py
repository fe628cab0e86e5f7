"""Bounds the state that retained turns take in the memory and on the disk of each member."""

from __future__ import annotations

from collections.abc import Callable

from attrs import frozen

from lynxscale.controlplane.exceptions import StateTooLargeError

ADMISSION_LEVEL = 0.85  # the rest is for the turns under way


def nothing_stored() -> int:
    """Return 0."""
    return 0


@frozen
class StateLimit:
    """``limit_bytes``: how large the state may become. ``size_bytes()``: its size now."""

    limit_bytes: float = float("inf")
    size_bytes: Callable[[], int] = nothing_stored

    def check_admission(self) -> None:
        """Check that a further turn may be retained at its end. Raises StateTooLargeError."""
        if self.size_bytes() > ADMISSION_LEVEL * self.limit_bytes:
            raise StateTooLargeError("too many turns are retained")

    def check_storing(self, content_bytes: int) -> None:
        """Check that a turn may be retained now. Raises StateTooLargeError."""
        if self.size_bytes() + content_bytes > self.limit_bytes:
            raise StateTooLargeError(f"no memory for a turn of {content_bytes} bytes")
