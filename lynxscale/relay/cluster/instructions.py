"""What the state machines ask of the driver, as values: datagrams, exchanges, writes to disk, log lines.

The failure detector returns lists of ``DetectorInstruction``, view agreement of ``ViewInstruction``. They are carried
out in the order in which they were returned.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from lynxscale.relay.cluster import frame
from lynxscale.relay.cluster.membership_table import MemberUpdate
from lynxscale.relay.cluster.messages import DurableState, ViewMessage


class SendDatagram(NamedTuple):
    """Send one datagram."""

    to: str
    body: frame.Body
    updates: tuple[MemberUpdate, ...]


class StartExchange(NamedTuple):
    """Exchange full state with that node, on TCP."""

    to: str


class LogEvent(NamedTuple):
    """A line for the log."""

    event: str
    fields: dict[str, Any]


class StartGeneration(NamedTuple):
    """Others know a later generation of this node: begin one above ``generation``, once that is on disk."""

    generation: int


DetectorInstruction = SendDatagram | StartExchange | LogEvent | StartGeneration


class SendViewMessage(NamedTuple):
    """Send a message of view agreement; to the node itself by a direct call."""

    to: str
    message: ViewMessage


class PersistState(NamedTuple):
    """Write this state to disk; send ``then`` once it is synced, and never before."""

    durable: DurableState
    then: tuple[SendViewMessage, ...]


class FetchView(NamedTuple):
    """That node knows a later view: exchange with it."""

    peer: str


class RemovedFromView(NamedTuple):
    """This process is no longer in the view: begin a later generation."""

    view: int


ViewInstruction = SendViewMessage | PersistState | FetchView | RemovedFromView | LogEvent
