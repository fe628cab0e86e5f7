"""Instructions that the state machines return to the driver: datagrams, exchanges, writes to disk, log lines.

The failure detector returns lists of ``DetectorInstruction``, view agreement of ``ViewInstruction``. They are executed
in the order in which they were returned.
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
    """Exchange full state with that node over TCP."""

    to: str


class LogEvent(NamedTuple):
    """Write a log line."""

    event: str
    fields: dict[str, Any]


class StartGeneration(NamedTuple):
    """Start a generation above ``generation``, which another node has reported, once the new one is on disk."""

    generation: int


DetectorInstruction = SendDatagram | StartExchange | LogEvent | StartGeneration


class SendViewMessage(NamedTuple):
    """Send a message of view agreement; one to this node itself is delivered by a direct call."""

    to: str
    message: ViewMessage


class PersistState(NamedTuple):
    """Write this state to disk; send the messages in ``then`` only once it is synced."""

    durable: DurableState
    then: tuple[SendViewMessage, ...]


class FetchView(NamedTuple):
    """Fetch a later view from that node by an exchange."""

    peer: str


class RemovedFromView(NamedTuple):
    """This process is no longer in the view of that number: start a later generation."""

    view: int


ViewInstruction = SendViewMessage | PersistState | FetchView | RemovedFromView | LogEvent
