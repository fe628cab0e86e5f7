"""Which of two processes of one relay accepts clients and owns which messages: decisions without I/O."""

from __future__ import annotations

from enum import Enum

from lynxscale.relay.upgrade.board import Stage


class SuccessionAction(Enum):
    """What the handover must do. The values stand in the log."""

    SHARE = "share"  # the descriptors with the other process
    ALONE = "alone"  # all descriptors are this process's again
    ACCEPT = "accept"  # clients
    ADOPT = "adopt"  # what the other process, which has ended, left


class Succession:
    """One process's view. ``is_successor``: another process was serving when this one started."""

    def __init__(self, is_successor: bool) -> None:
        self.waiting = is_successor  # it does not accept clients yet
        self.has_predecessor = is_successor  # the other process still owns its messages
        self.shared = False  # both processes run

    def advance(self, other: Stage, alive: bool) -> list[SuccessionAction]:
        """What is due. ``other``: the stage of the other process on the board; ``alive``: it holds its folder."""
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
        """Could another process accept the clients that come?"""
        return alive and not self.has_predecessor and other in (Stage.READY, Stage.SERVING)
