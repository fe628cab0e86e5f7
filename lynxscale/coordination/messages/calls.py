"""Calls to the primary, and their replies.

``tag`` and ``msgspec.field(name=...)`` keep the names that stand on the wire. Durations are in seconds, budgets and
numbers of tokens in output tokens.
"""

from __future__ import annotations

import msgspec

from lynxscale.coordination.messages.base import Message


class AdmitTurn(Message, frozen=True, tag="admit_turn"):
    """Reserve a turn's tokens, and compose its prompt if it continues an earlier turn.

    ``budget``: of the program, -1 for none. ``previous``: the turn that this one continues, empty for none.
    ``cached``: a turn, perhaps of that chain, up to which the sender has the history already; empty for none.
    """

    program: str
    request: str
    budget: int
    max_tokens: int = msgspec.field(name="most")
    retention_s: float
    retained: bool
    previous: str = ""
    cached: str = ""


class TurnAdmitted(Message, frozen=True, tag="turn_admitted"):
    """The reservation is durable.

    ``history`` goes before the new input, behind the history up to turn ``base_turn``, which the sender of the request
    has; empty if there is none.
    """

    history: bytes = b""
    base_turn: str = msgspec.field(name="after", default="")


class TurnRejected(Message, frozen=True, tag="turn_refused"):
    """``status`` 402: the budget does not cover the turn; 404: there is no such previous turn."""

    status: int


class FinishTurn(Message, frozen=True, tag="finish_turn"):
    """End a reservation with the ``tokens`` used; ``content`` is a complete retained turn's input and output."""

    program: str
    request: str
    tokens: int
    retention_s: float
    content: bytes | None = None
    previous: str = ""


class TurnFinished(Message, frozen=True, tag="turn_finished"):
    """The turn's end is durable."""


class Call(Message, frozen=True, tag="call"):
    """A request to the primary. It is idempotent: retries have the same effect as one.

    ``incarnation`` is drawn by each process of the caller, so it ignores replies to calls of an earlier process.
    """

    number: int
    caller: str
    incarnation: int = msgspec.field(name="life")
    body: AdmitTurn | FinishTurn


class Reply(Message, frozen=True, tag="reply"):
    """The primary's reply to the call with the same number and incarnation."""

    number: int
    incarnation: int = msgspec.field(name="life")
    body: TurnAdmitted | TurnRejected | TurnFinished
