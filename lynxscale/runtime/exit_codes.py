"""Exit codes of the serving tier's programs and commands."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """The exit status of a program or command."""

    OK = 0
    FINDINGS = 1
    """The command ran and reports findings or a rejection."""
    UNUSABLE = 2
    """The command or program could not run: unusable settings, unreadable file, unreachable server."""
    NOT_STARTED = 3
    """The program could not start in time: a port is held, or the disk fails. A later start may succeed."""
    FAILED = 4
    """The program ended by an unexpected error, which its last lines of log describe."""
