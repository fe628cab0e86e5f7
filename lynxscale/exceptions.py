"""The base of all errors that lynxscale raises itself."""

from __future__ import annotations


class LynxscaleError(Exception):
    """Base of every error class in this project; each package derives its own in its ``exceptions`` module."""
