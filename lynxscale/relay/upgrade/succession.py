"""Decides, without I/O, which of a relay's two processes accepts clients and owns which messages."""

from __future__ import annotations

from enum import Enum

from lynxscale.relay.upgrade.board import Stage


class SuccessionAction(Enum):
    """What the handover must do. The values appear in the log."""

    SHARE = "share"  # share the file descriptors with the other process
    ALONE = "alone"  # use all file descriptors again
    ACCEPT = "accept"  # accept clients
    ADOPT = "adopt"  # adopt the messages that the ended predecessor left


class Succession:
    """One process's view of a handover. ``is_successor``: another process was serving when this one started."""

    def __init__(self, is_successor: bool) -> None:
        self.waiting = is_successor  # this process does not accept clients yet
        self.has_predecessor = is_successor  # the other process still owns its messages
        self.shared = False  # both processes run

    def advance(self, other: Stage, alive: bool) -> list[SuccessionAction]:
        """Return the actions that are due.

        ``other``: the other process's stage on the board; ``alive``: whether it still holds its folder.
        """
        actions = []
        other_runs = alive and other is not Stage.NONE
        if other_runs != self.shared:
            self.shared = other_runs
            actions.append(SuccessionAction.SHARE if other_runs else SuccessionAction.ALONE)
        if self.waiting and (not alive or other is Stage.HANDED_OVER):
            self.waiting = False
            actions.append(SuccessionAction.ACCEPT)
        if self.has_predecessor and not alive:
            self.has_predecessor = False
            actions.append(SuccessionAction.ADOPT)
        return actions

    def has_successor(self, other: Stage, alive: bool) -> bool:
        """Whether another process could accept new clients."""
        return alive and not self.has_predecessor and other in (Stage.READY, Stage.SERVING)
