"""Errors of the data plane."""

from __future__ import annotations

from lynxscale.exceptions import LynxscaleError


class DataPlaneError(LynxscaleError):
    """Base of the data plane's errors."""


class UnusableConfigurationError(DataPlaneError, ValueError):
    """This version of the relay cannot decode a published configuration; the message names the field."""
