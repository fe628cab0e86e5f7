"""Errors of the scheduling package. Decisions raise none: they ignore unknown events, messages and endpoints."""

from __future__ import annotations

from lynxscale.exceptions import LynxscaleError


class SchedulingError(LynxscaleError):
    """Base of the errors of this package."""


class SettingsError(SchedulingError, ValueError):
    """A setting is missing or unusable; the text names the setting."""


class WireError(SchedulingError):
    """The simulator sent something that its wire format does not allow."""
