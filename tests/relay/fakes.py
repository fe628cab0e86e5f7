"""Stand-ins for the ports and the event loop of a relay's core."""

from __future__ import annotations

from typing import Any


class FakePorts:
    """Stands for peers, group and notices: records the calls."""

    start: Any
    is_in_flight: Any

    def __init__(self) -> None:
        self.told = []

    def __getattr__(self, name):
        return lambda *args: self.told.append((name, *args))


class ManualLoop:
    """A loop cranked by hand."""

    def __init__(self) -> None:
        self.planned = []

    def call_later(self, seconds, act):
        entry = [seconds, act]
        self.planned.append(entry)
        return type("Timer", (), {"cancel": lambda _self: self.planned.remove(entry)})()

    def run(self, within: float = 0.0) -> None:
        due = [entry for entry in self.planned if entry[0] <= within]
        for entry in due:
            if entry in self.planned:
                self.planned.remove(entry)
                entry[1]()
