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
    """A datagram."""

    to: str
    body: frame.Body
    updates: tuple[MemberUpdate, ...]


class StartExchange(NamedTuple):
    """Exchange the whole sight with that node, on TCP."""

    to: str


class LogEvent(NamedTuple):
    """For the log, once a change."""

    event: str
    fields: dict[str, Any]


class StartGeneration(NamedTuple):
    """Others know of a later life of this node: it is to begin one above ``life``, once that is on disk."""

    generation: int


DetectorInstruction = SendDatagram | StartExchange | LogEvent | StartGeneration


class SendViewMessage(NamedTuple):
    to: str
    message: ViewMessage


class PersistState(NamedTuple):
    """Keep this on disk; once it is there, and only then, say those. Orders are carried out one after the other."""

    durable: DurableState
    then: tuple[SendViewMessage, ...]


class FetchView(NamedTuple):
    """That node knows a later view: exchange with it."""

    peer: str


class RemovedFromView(NamedTuple):
    """A view has gone on without this life: a later one is to begin."""

    view: int


ViewInstruction = SendViewMessage | PersistState | FetchView | RemovedFromView | LogEvent
