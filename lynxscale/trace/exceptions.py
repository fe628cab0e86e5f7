"""Errors of the trace formats and tools."""

from __future__ import annotations

from lynxscale.exceptions import LynxscaleError


class TraceError(LynxscaleError):
    """Base of all errors that this package raises."""


class MalformedDataError(TraceError, ValueError):
    """Bytes that are truncated or are not a valid field, record or frame; the message says which."""


class InvalidKeyError(TraceError):
    """The key file is invalid; the message names the file and the required length."""
