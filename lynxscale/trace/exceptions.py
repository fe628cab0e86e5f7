"""Errors of the trace's formats and tools."""

from __future__ import annotations

from lynxscale.exceptions import LynxscaleError


class TraceError(LynxscaleError):
    """Base of every error that the trace raises itself."""


class MalformedDataError(TraceError, ValueError):
    """Bytes that end inside a field, or are no field, record or frame; the text says which."""


class InvalidKeyError(TraceError):
    """The key file is invalid; the text names it and what is wanted."""
