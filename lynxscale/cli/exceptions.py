"""Errors of the commands. Their text is for the user; ``exit_code`` is the process's."""

from __future__ import annotations

import click

from lynxscale.exceptions import LynxscaleError

FAILED, USAGE = 1, 2


class CommandFailedError(LynxscaleError, click.ClickException):
    """The command could not do its work."""

    exit_code = FAILED


class InvalidUsageError(LynxscaleError, click.ClickException):
    """The arguments or the configuration are invalid."""

    exit_code = USAGE


class OutputClosedError(LynxscaleError):
    """The process that reads our output has closed it."""
