"""Errors of the coordination package.

A disk that fails raises ``OSError``, as the operating system names it; see ``disk_failure``.
"""

from __future__ import annotations

from lynxscale.exceptions import LynxscaleError


class CoordinationError(LynxscaleError):
    """Base of the errors of this package."""


class NetstringError(CoordinationError, ValueError):
    """A peer sent bytes that are no netstring, or one longer than the limit; the text names the violation."""


class StorageCorruptError(CoordinationError):
    """A file does not hold what was written to it; ``name`` is the file's name."""

    def __init__(self, name: str) -> None:
        super().__init__(f"{name}: the content does not match its checksum")
        self.name = name
