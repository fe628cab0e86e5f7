"""Errors of the commands. The message is shown to the user; ``exit_code`` is the exit code of the process."""

from __future__ import annotations

import click

from lynxscale.exceptions import LynxscaleError

FAILED, USAGE = 1, 2


class CommandFailedError(LynxscaleError, click.ClickException):
    """The command failed."""

    exit_code = FAILED


class InvalidUsageError(LynxscaleError, click.ClickException):
    """The arguments or the configuration are invalid."""

    exit_code = USAGE


class OutputClosedError(LynxscaleError):
    """The process that reads standard output has closed it."""
