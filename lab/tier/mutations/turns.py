"""Mutations of turns, budgets, and calls to endpoints."""

from __future__ import annotations

import msgspec

from lab.tier.mutations.detectors import Patches
from lynxscale.controlplane.exceptions import TurnNotFoundError
from lynxscale.controlplane.program_state import ProgramRecord
from lynxscale.controlplane.relay_requests import RelayRequestHandler
from lynxscale.controlplane.turn_history import TurnHistory, TurnRecord, turn_key
from lynxscale.coordination.messages import Reply, TurnAdmitted
from lynxscale.dataplane.attempt import Attempt, AttemptOutcome
from lynxscale.dataplane.connection_pool import ConnectionPool
from lynxscale.dataplane.forwarding import ForwardedRequest
from lynxscale.dataplane.headers import NOT_EXECUTED, REQUEST_ID
from lynxscale.dataplane.turns import Turn as RelayTurn
from lynxscale.runtime.http_client import ClientConnection, ResponseFailure
from lynxscale.runtime.http_types import Head


def turn_is_acknowledged_before_it_is_durable() -> Patches:
    """A turn's end is acknowledged before its record is stored."""

    def reply(self, call, answer, puts) -> None:  # noqa: ANN001
        if puts:
            self._member.submit(puts, lambda outcome: None)
        self._network.send(call.caller, Reply(call.number, call.incarnation, answer))

    return [(RelayRequestHandler, "_reply_when_durable", reply)]


def open_reservations_are_ignored() -> Patches:
    """Only spent tokens count against a budget, not the reservations of open turns."""
    return [(ProgramRecord, "committed_tokens", property(lambda self: self.spent_tokens))]


def turn_is_charged_nothing() -> Patches:
    """A turn is charged with no tokens."""
    original = RelayTurn._finish
    return [(RelayTurn, "_finish", lambda self, tokens, content: original(self, 0, content))]


def history_lacks_its_oldest_turns() -> Patches:
    """A history contains only its two newest turns."""

    def compose(self: TurnHistory, last: str, cached: str, cached_run: str) -> TurnAdmitted:
        contents, name = [], last
        while name and name != cached and len(contents) < 2:
            raw = self._values.get(turn_key(name))
            if raw is None:
                raise TurnNotFoundError(name)
            turn = msgspec.json.decode(raw, type=TurnRecord)
            contents.append(turn.content)
            name = turn.previous
        return TurnAdmitted(b"".join(reversed(contents)), name if name == cached else "")

    return [(TurnHistory, "compose", compose)]


def cached_history_is_used_for_any_chain() -> Patches:
    """A relay that has the session's newest history cached is sent nothing, whichever turn is continued."""

    def compose(self: TurnHistory, last: str, cached: str, cached_run: str) -> TurnAdmitted:
        if cached and last:
            return TurnAdmitted(b"", cached)
        return original(self, last, cached, cached_run)

    original = TurnHistory.compose
    return [(TurnHistory, "compose", compose)]


def unsafe_call_is_retried() -> Patches:
    """A failed call that may have been executed counts as not executed."""

    def on_failure(self: Attempt, failure) -> None:  # noqa: ANN001
        self.endpoint.on_failure()
        self._end(AttemptOutcome.NOT_EXECUTED)

    return [(Attempt, "on_failure", on_failure)]


def executed_call_is_reported_unexecuted() -> Patches:
    """A call that may have been executed is answered 503."""

    def broken(self: ForwardedRequest) -> None:
        self._executions = 0
        self._give_up()

    return [(ForwardedRequest, "_attempt_broken", broken)]


def timed_out_connect_counts_as_unsent() -> Patches:
    """A connect timeout that fires as the connection is established counts as unsent (21 of 21 when forced)."""
    return [(ClientConnection, "on_connect_failed", lambda self: self._fail(ResponseFailure.NOT_CONNECTED))]


def request_is_sent_again_on_its_connection() -> Patches:
    """A connection that has carried a request may carry another attempt of it, with the same id (review case 2)."""
    original = ConnectionPool.acquire
    return [(ConnectionPool, "acquire", lambda self, excluded=(): original(self))]


def response_without_id_is_accepted() -> Patches:
    """A response without an id is accepted on a connection that carried another request."""

    def on_head(self: Attempt, status: int, head: Head) -> None:
        if head.get(REQUEST_ID) is None:
            head = Head((*head.fields, (REQUEST_ID, self._request_id)))
        original(self, status, head)

    original = Attempt.on_head
    return [(Attempt, "on_head", on_head)]


def foreign_rejection_is_accepted() -> Patches:
    """A rejection with the id of another request counts for this one."""

    def on_head(self: Attempt, status: int, head: Head) -> None:
        if head.get(NOT_EXECUTED) is not None:
            self._rejected = True
        else:
            original(self, status, head)

    original = Attempt.on_head
    return [(Attempt, "on_head", on_head)]
