"""Fakes of the ports and the event loop of a relay's core."""

from __future__ import annotations

from typing import Any


class FakePorts:
    """Serves as peers, group and notices; records the calls of their methods."""

    start: Any
    is_in_flight: Any

    def __init__(self) -> None:
        self.calls = []

    def __getattr__(self, name):
        return lambda *args: self.calls.append((name, *args))


class ManualLoop:
    """An event loop whose turns a test runs explicitly."""

    def __init__(self) -> None:
        self.scheduled = []

    def call_later(self, seconds, callback):
        entry = [seconds, callback]
        self.scheduled.append(entry)
        return type("Timer", (), {"cancel": lambda _self: self.scheduled.remove(entry)})()

    def run(self, within: float = 0.0) -> None:
        due = [entry for entry in self.scheduled if entry[0] <= within]
        for entry in due:
            if entry in self.scheduled:
                self.scheduled.remove(entry)
                entry[1]()
