"""Runs a program of the serving tier: configures its log, loads its settings and runs its event loop."""

from __future__ import annotations

import asyncio
import contextlib
import sys
from collections.abc import Callable, Coroutine
from typing import Any

from lynxscale.runtime import logs
from lynxscale.runtime.exceptions import SettingsError
from lynxscale.runtime.exit_codes import ExitCode
from lynxscale.runtime.settings import Settings
from lynxscale.runtime.settings_reader import load_settings


def run(serve: Callable[[Settings], Coroutine[Any, Any, None]]) -> int:
    """Run ``serve(settings)`` until it returns; return the exit code, ``UNUSABLE`` for unusable settings."""
    logs.configure()
    try:
        settings = load_settings()
    except SettingsError as error:
        print(error, file=sys.stderr)
        return ExitCode.UNUSABLE
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(serve(settings))
    return ExitCode.OK
