"""Applies changes of the settings file to a running process, by polling the file and on SIGHUP."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable

from lynxscale.runtime.exceptions import SettingsError
from lynxscale.runtime.settings import Settings
from lynxscale.runtime.settings_reader import load_settings

log = logging.getLogger(__name__)

POLL_INTERVAL_S = 2.0


class SettingsWatcher:
    """Holds the settings in force and calls ``on_change(settings)`` after each change of the file."""

    def __init__(self, settings: Settings, on_change: Callable[[Settings], None]) -> None:
        self._settings = settings
        self._on_change = on_change

    def reload(self) -> None:
        """Read the file; an unusable file is logged and leaves the current settings in force."""
        try:
            settings = load_settings()
        except SettingsError as error:
            log.error("event=settings_unusable error=%s", str(error).replace("\n", "; "))
            return
        if settings != self._settings:
            log.info("event=settings_changed")
            self._settings = settings
            self._apply(settings)

    def _apply(self, settings: Settings) -> None:
        """Apply a change; an error in it must not end a process that serves by the settings before."""
        try:
            self._on_change(settings)
        except Exception:
            log.exception("event=settings_not_applied")


async def watch_until(stopped: asyncio.Event, watcher: SettingsWatcher) -> None:
    """Reload every ``POLL_INTERVAL_S`` until ``stopped`` is set, as the file may change without a signal."""
    while not stopped.is_set():
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(stopped.wait(), POLL_INTERVAL_S)
        watcher.reload()
