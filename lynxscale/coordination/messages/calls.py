"""Calls to the primary, and their replies.

``tag`` and ``msgspec.field(name=...)`` hold the names that are sent. Durations are in seconds; budgets and token counts
are in output tokens.
"""

from __future__ import annotations

import msgspec

from lynxscale.coordination.messages.base import Message


class StreamEvent(msgspec.Struct, frozen=True, array_like=True):
    """One event of a turn's stream: its id, empty if it has none, and its data."""

    id: str
    data: bytes


class AdmitTurn(Message, frozen=True, tag="admit_turn"):
    """Reserve a turn's tokens, and compose its prompt if it continues an earlier turn.

    ``budget``: the program's budget, -1 for none. ``previous``: the turn that this one continues, empty for none.
    ``cached``: a turn up to which the sender already has the history, empty for none; it may belong to another chain.
    ``configuration``: the version of the configuration that the sender uses. A primary with a newer one replies
    ``ConfigurationOutdated``; unset, the version is not compared.

    The other fields are unset in requests of programs that did not send them. ``run_id``: identifies this execution of
    a retained turn; two executions of one request differ in it. Unset, all executions of a request count as the same.
    ``session``: the line of turns, whose turns run one at a time; set if the turn's stream may be resumed. Unset, it
    may not. ``resume_after``: the id of the last event that the client has of an earlier run in this session, after the
    same previous turn. Unset, the turn runs from its start. ``duration_s``: for how long the turn may last, until its
    end is acknowledged; the turn that it continues is retained meanwhile. Unset, as long as any route allows.
    ``cached_run``: the run of turn ``cached`` that the sender has. Unset, it has that of a program that did not state
    runs.
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
    run_id: str | msgspec.UnsetType = msgspec.UNSET
    session: str | msgspec.UnsetType = msgspec.UNSET
    resume_after: str | msgspec.UnsetType = msgspec.UNSET
    duration_s: float | msgspec.UnsetType = msgspec.UNSET
    cached_run: str | msgspec.UnsetType = msgspec.UNSET


class TurnAdmitted(Message, frozen=True, tag="turn_admitted"):
    """The reservation is durable.

    ``history`` precedes the new input in the prompt and follows the history up to turn ``base_turn``, which the sender
    of the request already has. Both are empty if there is none.

    ``earlier_events``: the events up to ``AdmitTurn.resume_after``, for a turn that is resumed; the sender may then
    send ``TurnEvents`` too. Unset if the turn has no session, and in replies of programs that do not know it: such a
    primary has no events, so a turn that was to be resumed must not run. ``admitted_by``: the address of the primary
    that takes ``TurnEvents``, unset if ``earlier_events`` is unset.
    """

    history: bytes = b""
    base_turn: str = msgspec.field(name="after", default="")
    earlier_events: tuple[StreamEvent, ...] | msgspec.UnsetType = msgspec.UNSET
    admitted_by: str | msgspec.UnsetType = msgspec.UNSET


class TurnRejected(Message, frozen=True, tag="turn_refused"):
    """The turn is rejected, or its end is, so that it is not retained.

    ``status`` 402: the budget does not cover it; 404: the previous turn does not exist; 409: another run of the request
    was admitted later, or is retained; 503: the events up to ``AdmitTurn.resume_after`` are not known. Programs that do
    not set ``FinishTurn.run_id`` take each reply for an acknowledgement: they get none if the end is rejected.
    """

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

    ``configuration``: the version that ``retention_s`` is from; unset if the sender does not state it. ``run_id``: that
    of the admission.
    """

    program: str
    request: str
    tokens: int
    retention_s: float
    content: bytes | None = None
    previous: str = ""
    configuration: int | msgspec.UnsetType = msgspec.UNSET
    run_id: str | msgspec.UnsetType = msgspec.UNSET


class TurnEvents(Message, frozen=True, tag="turn_events"):
    """Events of an admitted turn that its relay is about to send to the client; there is no reply.

    ``first``: the number of the first of them in the stream, counted from 1 and from the first event of the earliest
    run that was resumed. Sent only to the primary that admitted the turn with ``TurnAdmitted.earlier_events``.
    """

    run_id: str
    first: int
    events: tuple[StreamEvent, ...]


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
