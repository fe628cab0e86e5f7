"""Errors of the coordination package.

Disk failures are not wrapped: they are raised as ``OSError``; see ``disk_failure``.
"""

from __future__ import annotations

from lynxscale.exceptions import LynxscaleError


class CoordinationError(LynxscaleError):
    """Base class of the errors of this package."""


class NetstringError(CoordinationError, ValueError):
    """A peer sent bytes that are not a netstring, or one that is too long; the message names the violation."""


class StorageCorruptError(CoordinationError):
    """The content of a file does not match its checksum; ``name`` is the file's name."""

    def __init__(self, name: str) -> None:
        super().__init__(f"{name}: the content does not match its checksum")
        self.name = name
