"""Start of a program: its settings, its log, its loop and its exit code."""

from __future__ import annotations

import asyncio
import contextlib
import sys
from collections.abc import Awaitable, Callable

from lynxscale.runtime import logs
from lynxscale.runtime.settings import Settings, SettingsError, load

EXIT_GOOD, EXIT_SETTINGS = 0, 2


def run(serve: Callable[[Settings], Awaitable[None]]) -> int:
    """Serve by the process's settings; the exit code, 2 where these cannot be used."""
    logs.start()
    try:
        settings = load()
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(serve(settings))
    return EXIT_GOOD
