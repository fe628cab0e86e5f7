"""Model of operators with retries: the operator API on a primary that may lose its lease at any step.

Each operator has one change of the same base version, and sends it to the current primary until it receives a definite
response. What a primary has submitted is committed, or at a failover a prefix of it is. Each response may be lost.

Invariants: at most one change is ever confirmed; a committed change is never rejected; no version is committed twice.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable
from dataclasses import dataclass

import msgspec

from lab.model_checker import Event, InvariantViolation, frozen
from lynxscale.controlplane.configuration_endpoint import BASE_HEADER
from lynxscale.controlplane.newest_configuration import CURRENT_KEY
from lynxscale.controlplane.operator_api import OperatorApi
from lynxscale.coordination.key_value_table import KeyValueTable
from lynxscale.coordination.messages import Put, put_value
from lynxscale.coordination.outcomes import CommitCallback, CommitOutcome
from lynxscale.runtime.http_types import Head, Request, Response

INDEFINITE_STATUSES = (307, 408, 429)


@dataclass(frozen=True)
class OperatorBounds:
    """``versions``: the new version of each operator's change. ``updates``: the operators whose changes are updates.

    ``follow_up``: another change follows a confirmed one; it is an update if there are ``updates``.
    """

    versions: tuple[int, ...] = (2, 2)
    sends: int = 2
    failovers: int = 1
    losses: int = 2
    follow_up: bool = False
    updates: tuple[int, ...] = ()


@dataclass
class Submission:
    """Puts that the current primary has submitted, and that are not committed yet."""

    puts: tuple[Put, ...]
    on_outcome: CommitCallback


class StubStore:
    """The part of Store that OperatorApi uses."""

    def __init__(self, table: KeyValueTable) -> None:
        self.table = table

    @property
    def values(self) -> dict[str, msgspec.Raw]:
        """The values in the memory of the primary."""
        return self.table.entries


class UnusedWorker:
    """The Worker of an operator API whose configurations are small."""

    def run(self, compute: Callable[[], object], on_result: Callable[[object], None]) -> None:
        """Part of Worker."""
        raise AssertionError("small configurations need no worker")


class StubMember:
    """The part of ControlMember that OperatorApi uses, for the current primary."""

    def __init__(self, table: KeyValueTable) -> None:
        self.store = StubStore(table)
        self.submissions: list[Submission] = []

    def leads(self) -> bool:
        """Always True: after a failover there is a new stub."""
        return True

    def submit(self, puts: tuple[Put, ...], on_outcome: CommitCallback) -> None:
        """Part of ControlMember."""
        self.store.table.apply(puts)
        self.submissions.append(Submission(puts, on_outcome))

    def barrier(self, on_outcome: CommitCallback) -> None:
        """Part of ControlMember."""
        if self.submissions:
            self.submissions.append(Submission((), on_outcome))
        else:
            on_outcome(CommitOutcome.COMMITTED)


@dataclass(frozen=True)
class ConfigurationChange:
    """The request of an operator. Its service name identifies it in the resulting configuration."""

    path: str
    base: str
    table: dict


class PendingResponse:
    """The response to one request, in flight once it is set. Used as a Responder."""

    def __init__(self) -> None:
        self.response: Response | None = None

    def respond(self, response: Response) -> None:
        """Part of Responder."""
        self.response = response


class Operators:
    """The state machine of the model."""

    def __init__(self, bounds: OperatorBounds) -> None:
        self._committed: list[tuple[Put, ...]] = []
        self._pending_responses: list[list[PendingResponse]] = [[] for _ in bounds.versions]
        self._received: list[int | None] = [None for _ in bounds.versions]
        self._changes = [
            self._make_change(1, version, index, index in bounds.updates)
            for index, version in enumerate(bounds.versions)
        ]
        if bounds.follow_up:
            self._changes.append(self._make_change(2, 5, len(bounds.versions), bool(bounds.updates)))
            self._pending_responses.append([])
            self._received.append(None)
        self._follow_up = bounds.follow_up
        self._remaining_events = {"sends": bounds.sends, "failovers": bounds.failovers, "losses": bounds.losses}
        self._send_counts = [0 for _ in self._changes]
        self._statuses_sent: list[set[int]] = [set() for _ in self._changes]
        body = {"generation": 1, "routes": [], "services": []}
        first = put_value(CURRENT_KEY, {"generation": 1, "body": body})
        self._commit((first,))
        self._start_primary()

    @staticmethod
    def _make_change(base: int, version: int, index: int, update: bool) -> ConfigurationChange:
        services = [{"name": f"by-{index}"}]
        if update:
            return ConfigurationChange(
                "/config/update", str(base), {"generation": version, "upsert": {"services": services}}
            )
        table = {"generation": version, "routes": [], "services": services}
        return ConfigurationChange("/config/replace", str(base), table)

    def _commit(self, puts: tuple[Put, ...]) -> None:
        if puts:
            self._committed.append(puts)

    def _start_primary(self) -> None:
        table = KeyValueTable()
        for puts in self._committed:
            table.apply(puts)
        self.member = StubMember(table)
        self.api = OperatorApi(self.member, 1, lambda configuration: None, lambda: None, UnusedWorker())

    def events(self) -> list[Event]:
        """Part of StateMachine."""
        possible_events: list[Event] = []
        for index in range(len(self._changes)):
            first = self._send_counts[index] == 0
            unanswered = any(pending.response is None for pending in self._pending_responses[index])
            waits_for_confirmation = self._follow_up and index == len(self._changes) - 1 and 200 not in self._received
            may_retry = (
                self._send_counts[index] < self._remaining_events["sends"]
                and self._received[index] is None
                and not unanswered
            )
            if (first or may_retry) and not waits_for_confirmation:
                possible_events.append(("sends", index))
            for number, pending in enumerate(self._pending_responses[index]):
                if pending.response is not None:
                    possible_events.append(("receives", index, number))
                    if self._remaining_events["losses"]:
                        possible_events.append(("loses", index, number))
        if self.member.submissions:
            possible_events.append(("commits",))
        if self._remaining_events["failovers"]:
            possible_events += [
                ("fails over with", committed_count) for committed_count in range(len(self.member.submissions) + 1)
            ]
        return possible_events

    def apply(self, event: Event) -> None:
        """Part of StateMachine."""
        action, *details = event
        if action == "sends":
            self._send(details[0])
        elif action == "receives":
            self._receive(*details)
        elif action == "loses":
            self._remaining_events["losses"] -= 1
            self._pending_responses[details[0]].pop(details[1])
        elif action == "commits":
            submission = self.member.submissions.pop(0)
            self._commit(submission.puts)
            submission.on_outcome(CommitOutcome.COMMITTED)
        else:
            self._fail_over(details[0])
        for index, pending_responses in enumerate(self._pending_responses):
            self._statuses_sent[index] |= {
                pending.response.status for pending in pending_responses if pending.response is not None
            }

    def _send(self, index: int) -> None:
        change = self._changes[index]
        pending = PendingResponse()
        self._pending_responses[index].append(pending)
        self._send_counts[index] += 1
        head = Head(((BASE_HEADER, change.base.encode()),))
        self.api.handle(Request("POST", change.path, head, msgspec.json.encode(change.table)), pending)

    def _receive(self, index: int, number: int) -> None:
        status = self._pending_responses[index].pop(number).response.status
        if status < 500 and status not in INDEFINITE_STATUSES:
            self._received[index] = status

    def _fail_over(self, committed_count: int) -> None:
        self._remaining_events["failovers"] -= 1
        submissions = self.member.submissions
        for submission in submissions[:committed_count]:
            self._commit(submission.puts)
        self._start_primary()
        for submission in submissions:
            submission.on_outcome(CommitOutcome.UNKNOWN)

    def key(self) -> Hashable:
        """Part of StateMachine."""
        response_statuses = tuple(
            tuple(pending.response.status if pending.response else None for pending in pending_responses)
            for pending_responses in self._pending_responses
        )
        waiting = tuple(frozen(submission.puts) for submission in self.member.submissions)
        return (
            frozen(self._committed),
            waiting,
            frozen(dict(self.member.store.values)),
            response_statuses,
            tuple(self._received),
            tuple(self._send_counts),
            frozen(self._remaining_events),
            frozen(self._statuses_sent),
        )

    def check(self) -> None:
        """Part of StateMachine. Raises InvariantViolation."""
        on_one_base = [index for index, change in enumerate(self._changes) if change.base == "1"]
        confirmed = [index for index in on_one_base if 200 in self._statuses_sent[index]]
        if len(confirmed) > 1:
            raise InvariantViolation(f"changes {confirmed} of one version are all confirmed")
        committed_values = {bytes(put.value) for puts in self._committed for put in puts if put.key == CURRENT_KEY}
        for index in range(len(self._changes)):
            rejections = [status for status in self._statuses_sent[index] if status in (400, 409, 412)]
            if rejections and any(b'"by-%d"' % index in value for value in committed_values):
                raise InvariantViolation(f"change {index} was committed and is rejected with {rejections}")
        versions = [
            msgspec.json.decode(put.value)["generation"]
            for puts in self._committed
            for put in puts
            if put.key == CURRENT_KEY
        ]
        if sorted(set(versions)) != versions:
            raise InvariantViolation(f"versions were committed out of order: {versions}")


BOUNDS = (
    OperatorBounds(),
    OperatorBounds(versions=(2, 3), sends=3, failovers=2, losses=2),
    OperatorBounds(versions=(2, 2), sends=2, failovers=1, losses=1, follow_up=True),
    OperatorBounds(versions=(2, 2, 3), sends=2, failovers=1, losses=1),
    OperatorBounds(versions=(2, 2), sends=2, failovers=2, losses=2, updates=(1,)),
    OperatorBounds(versions=(2, 3), sends=2, failovers=1, losses=1, follow_up=True, updates=(0, 1)),
)
