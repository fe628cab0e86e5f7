"""Calls to the primary, and their replies.

``tag`` and ``msgspec.field(name=...)`` hold the names that are sent. Durations are in seconds; budgets and token counts
are in output tokens.
"""

from __future__ import annotations

import msgspec

from lynxscale.coordination.messages.base import Message


class AdmitTurn(Message, frozen=True, tag="admit_turn"):
    """Reserve a turn's tokens, and compose its prompt if it continues an earlier turn.

    ``budget``: the program's budget, -1 for none. ``previous``: the turn that this one continues, empty for none.
    ``cached``: a turn up to which the sender already has the history, empty for none; it may belong to another chain.
    ``configuration``: the newest version of the configuration that the sender has received. A primary with a newer one
    replies ``ConfigurationOutdated``; unset, the version is not compared.
    """

    program: str
    request: str
    budget: int
    max_tokens: int = msgspec.field(name="most")
    retention_s: float
    retained: bool
    previous: str = ""
    cached: str = ""
    configuration: int | msgspec.UnsetType = msgspec.UNSET


class TurnAdmitted(Message, frozen=True, tag="turn_admitted"):
    """The reservation is durable.

    ``history`` precedes the new input in the prompt and follows the history up to turn ``base_turn``, which the sender
    of the request already has. Both are empty if there is none.
    """

    history: bytes = b""
    base_turn: str = msgspec.field(name="after", default="")


class TurnRejected(Message, frozen=True, tag="turn_refused"):
    """The turn is rejected. ``status`` 402: the budget does not cover it; 404: the previous turn does not exist."""

    status: int


class ConfigurationOutdated(Message, frozen=True, tag="configuration_outdated"):
    """The turn is not admitted, and nothing is reserved: the newest configuration has a later version, ``newest``."""

    newest: int


class ReadConfigurationVersion(Message, frozen=True, tag="read_configuration_version"):
    """Ask for the version of the newest configuration, as of a time after the call was sent (a linearizable read)."""


class ConfigurationVersion(Message, frozen=True, tag="configuration_version"):
    """The version of the newest configuration; 0 if there is none."""

    newest: int


class FinishTurn(Message, frozen=True, tag="finish_turn"):
    """End a reservation, charging the ``tokens`` used. ``content``: input and output of a complete, retained turn.

    ``configuration``: the version that ``retention_s`` is from; unset if the sender does not state it.
    """

    program: str
    request: str
    tokens: int
    retention_s: float
    content: bytes | None = None
    previous: str = ""
    configuration: int | msgspec.UnsetType = msgspec.UNSET


class TurnFinished(Message, frozen=True, tag="turn_finished"):
    """The end of the turn is durable."""


class Call(Message, frozen=True, tag="call"):
    """A request to the primary. It is idempotent: retries have no further effect.

    ``incarnation`` is drawn at random by each process of the caller, which ignores replies to an earlier process.
    """

    number: int
    caller: str
    incarnation: int = msgspec.field(name="life")
    body: AdmitTurn | FinishTurn | ReadConfigurationVersion


class Reply(Message, frozen=True, tag="reply"):
    """The primary's reply to the call with the same number and incarnation."""

    number: int
    incarnation: int = msgspec.field(name="life")
    body: TurnAdmitted | TurnRejected | TurnFinished | ConfigurationOutdated | ConfigurationVersion
