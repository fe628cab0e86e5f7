"""Exceptions of the scheduling package.

Decision modules raise none of them: they ignore unknown events, messages and endpoints.
"""

from __future__ import annotations

from lynxscale.exceptions import LynxscaleError


class SchedulingError(LynxscaleError):
    """Base class of this package's exceptions."""


class SettingsError(SchedulingError, ValueError):
    """A setting is missing or invalid; the message names the setting."""


class WireError(SchedulingError):
    """The simulator sent data that violates its wire format."""
