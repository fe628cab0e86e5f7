"""Calls to the primary, and their replies."""

from __future__ import annotations

from lynxscale.coordination.messages.base import Message


class AdmitTurn(Message, frozen=True, tag="admit_turn"):
    """Reserve a turn's tokens, and compose its prompt where it goes on from an earlier turn.

    ``cached``: a turn, perhaps of that chain, up to which the sender has the history already; empty for none.
    """

    program: str
    request: str
    budget: int
    most: int
    retention_s: float
    retained: bool
    previous: str = ""
    cached: str = ""


class TurnAdmitted(Message, frozen=True, tag="turn_admitted"):
    """The reservation is durable; ``history`` goes before the new input, behind the history up to turn ``after``."""

    history: bytes = b""
    after: str = ""


class TurnRejected(Message, frozen=True, tag="turn_refused"):
    """``status`` 402: the budget holds no such turn; 404: there is no such earlier turn."""

    status: int


class FinishTurn(Message, frozen=True, tag="finish_turn"):
    """Settle a reservation; ``content`` is the input and output of a retained turn that ended whole."""

    program: str
    request: str
    tokens: int
    retention_s: float
    content: bytes | None = None
    previous: str = ""


class TurnFinished(Message, frozen=True, tag="turn_finished"):
    """The turn's end is durable."""


class Call(Message, frozen=True, tag="call"):
    """A request to the primary. Repeats of the same request have the same effect as one.

    ``life`` is drawn by each process of the caller: answers to an earlier one's calls are none to its own.
    """

    number: int
    caller: str
    life: int
    body: AdmitTurn | FinishTurn


class Reply(Message, frozen=True, tag="reply"):
    """Answer to a call."""

    number: int
    life: int
    body: TurnAdmitted | TurnRejected | TurnFinished
