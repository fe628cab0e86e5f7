"""Errors of the data plane."""

from __future__ import annotations

from lynxscale.exceptions import LynxscaleError


class DataPlaneError(LynxscaleError):
    """Base of the data plane's errors."""


class UnusableConfigurationError(DataPlaneError, ValueError):
    """A published configuration cannot be decoded by this relay's version; the text names the field."""
