"""Who takes clients, whose messages are whose: the decisions of two processes of one relay, without I/O."""

from __future__ import annotations

from enum import Enum

from lynxscale.relay.upgrade.board import Stage


class Order(Enum):
    """What the driver is to do."""

    SHARE = "share"  # descriptors with the other process
    ALONE = "alone"  # all descriptors are this one's again
    ACCEPT = "accept"  # take clients
    ADOPT = "adopt"  # the other has ended: take over what it left


class Succession:
    """``heir``: another process was serving when this one started."""

    def __init__(self, heir: bool) -> None:
        self.waiting = heir  # it does not take clients yet
        self.predecessor = heir  # what the other one holds is still its own
        self.shared = False

    def look(self, other: Stage, alive: bool) -> list[Order]:
        """``other``: the stage of the other process as the board tells it; ``alive``: it has its folder."""
        orders = []
        there = alive and other is not Stage.NONE
        if there != self.shared:
            self.shared = there
            orders.append(Order.SHARE if there else Order.ALONE)
        if self.waiting and (not alive or other is Stage.HANDING):
            self.waiting = False
            orders.append(Order.ACCEPT)
        if self.predecessor and not alive:
            self.predecessor = False
            orders.append(Order.ADOPT)
        return orders

    def has_heir(self, other: Stage, alive: bool) -> bool:
        """Could another process take the clients that come?"""
        return alive and not self.predecessor and other in (Stage.READY, Stage.SERVING)
