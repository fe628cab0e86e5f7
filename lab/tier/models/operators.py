"""Model of operators with retries: the operator API on a primary that may lose its lease at any step.

Each operator has one order on the same base version; it is retried, at the present primary, until a definite response
is received. What a primary has submitted is committed, or decided by the next primary: a prefix of it, or nothing.
Each response may be lost in flight.

Invariants: one order at most is ever confirmed; an order that was taken is never refused; no version is taken twice.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass

import msgspec

from lab.model_checker import Event, InvariantViolation, frozen
from lynxscale.controlplane.configuration_endpoint import BASE_HEADER, CURRENT_KEY
from lynxscale.controlplane.operator_api import OperatorApi
from lynxscale.coordination.key_value_table import KeyValueTable
from lynxscale.coordination.messages import Put, put_value
from lynxscale.coordination.outcomes import CommitCallback, CommitOutcome
from lynxscale.runtime.http_types import Head, Request, Response

UNCLEAR = (307, 408, 429)


@dataclass(frozen=True)
class OperatorBounds:
    """``versions``: what each operator's order makes of version 1. ``later``: may an order follow a confirmed one?

    ``updates``: operators whose orders are updates; a later order is one too.
    """

    versions: tuple[int, ...] = (2, 2)
    sends: int = 2
    failovers: int = 1
    losses: int = 2
    later: bool = False
    updates: tuple[int, ...] = ()


@dataclass
class Submission:
    """Puts of the present primary that are not committed."""

    puts: tuple[Put, ...]
    on_outcome: CommitCallback


class StubStore:
    """What OperatorApi needs of a store."""

    def __init__(self, table: KeyValueTable) -> None:
        self.table = table

    @property
    def values(self) -> dict[str, msgspec.Raw]:
        """The memory of the primary."""
        return self.table.entries


class StubMember:
    """What OperatorApi needs of a member: the primary, whoever it is."""

    def __init__(self, table: KeyValueTable) -> None:
        self.store = StubStore(table)
        self.submissions: list[Submission] = []

    def leads(self) -> bool:
        """Always: a failover makes another stub."""
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
class ConfigurationOrder:
    """What an operator sends. The service that it names stands in the configuration that it makes."""

    path: str
    base: str
    table: dict


class PendingResponse:
    """The response to one request, in flight once it is set. Stands for a Responder."""

    def __init__(self) -> None:
        self.answer: Response | None = None

    def respond(self, response: Response) -> None:
        """Part of Responder."""
        self.answer = response


class Operators:
    """The state machine that is searched."""

    def __init__(self, bounds: OperatorBounds) -> None:
        self._committed: list[tuple[Put, ...]] = []
        self._sends: list[list[PendingResponse]] = [[] for _ in bounds.versions]
        self._received: list[int | None] = [None for _ in bounds.versions]
        self._orders = [
            self._order(1, version, index, index in bounds.updates) for index, version in enumerate(bounds.versions)
        ]
        if bounds.later:
            self._orders.append(self._order(2, 5, len(bounds.versions), bool(bounds.updates)))
            self._sends.append([])
            self._received.append(None)
        self._later = bounds.later
        self._left = {"sends": bounds.sends, "failovers": bounds.failovers, "losses": bounds.losses}
        self._sent = [0 for _ in self._orders]
        self._given: list[set[int]] = [set() for _ in self._orders]
        body = {"generation": 1, "routes": [], "services": []}
        first = put_value(CURRENT_KEY, {"generation": 1, "body": body})
        self._commit((first,))
        self._lead()

    @staticmethod
    def _order(base: int, version: int, index: int, update: bool) -> ConfigurationOrder:
        services = [{"name": f"by-{index}"}]
        if update:
            return ConfigurationOrder(
                "/config/update", str(base), {"generation": version, "upsert": {"services": services}}
            )
        table = {"generation": version, "routes": [], "services": services}
        return ConfigurationOrder("/config/replace", str(base), table)

    def _commit(self, puts: tuple[Put, ...]) -> None:
        if puts:
            self._committed.append(puts)

    def _lead(self) -> None:
        table = KeyValueTable()
        for puts in self._committed:
            table.apply(puts)
        self.member = StubMember(table)
        self.api = OperatorApi(self.member, 1, lambda configuration: None, lambda: None)

    def events(self) -> list[Event]:
        """Part of StateMachine."""
        found: list[Event] = []
        for index in range(len(self._orders)):
            first = self._sent[index] == 0
            unanswered = any(pending.answer is None for pending in self._sends[index])
            waits_for_first = self._later and index == len(self._orders) - 1 and 200 not in self._received
            again = self._sent[index] < self._left["sends"] and self._received[index] is None and not unanswered
            if (first or again) and not waits_for_first:
                found.append(("sends", index))
            for number, pending in enumerate(self._sends[index]):
                if pending.answer is not None:
                    found.append(("receives", index, number))
                    if self._left["losses"]:
                        found.append(("loses", index, number))
        if self.member.submissions:
            found.append(("commits",))
        if self._left["failovers"]:
            found += [("fails over with", kept) for kept in range(len(self.member.submissions) + 1)]
        return found

    def apply(self, event: Event) -> None:
        """Part of StateMachine."""
        what, *details = event
        if what == "sends":
            self._send(details[0])
        elif what == "receives":
            self._receive(*details)
        elif what == "loses":
            self._left["losses"] -= 1
            self._sends[details[0]].pop(details[1])
        elif what == "commits":
            submission = self.member.submissions.pop(0)
            self._commit(submission.puts)
            submission.on_outcome(CommitOutcome.COMMITTED)
        else:
            self._fail_over(details[0])
        for index, sends in enumerate(self._sends):
            self._given[index] |= {pending.answer.status for pending in sends if pending.answer is not None}

    def _send(self, index: int) -> None:
        order = self._orders[index]
        pending = PendingResponse()
        self._sends[index].append(pending)
        self._sent[index] += 1
        head = Head(((BASE_HEADER, order.base.encode()),))
        self.api.handle(Request("POST", order.path, head, msgspec.json.encode(order.table)), pending)

    def _receive(self, index: int, number: int) -> None:
        status = self._sends[index].pop(number).answer.status
        if status < 500 and status not in UNCLEAR:
            self._received[index] = status

    def _fail_over(self, kept: int) -> None:
        self._left["failovers"] -= 1
        submissions = self.member.submissions
        for submission in submissions[:kept]:
            self._commit(submission.puts)
        self._lead()
        for submission in submissions:
            submission.on_outcome(CommitOutcome.UNKNOWN)

    def key(self) -> Hashable:
        """Part of StateMachine."""
        answers = tuple(
            tuple(pending.answer.status if pending.answer else None for pending in sends) for sends in self._sends
        )
        waiting = tuple(frozen(submission.puts) for submission in self.member.submissions)
        return (
            frozen(self._committed),
            waiting,
            frozen(dict(self.member.store.values)),
            answers,
            tuple(self._received),
            tuple(self._sent),
            frozen(self._left),
            frozen(self._given),
        )

    def check(self) -> None:
        """Part of StateMachine. Raises InvariantViolation."""
        on_one_base = [index for index, order in enumerate(self._orders) if order.base == "1"]
        confirmed = [index for index in on_one_base if 200 in self._given[index]]
        if len(confirmed) > 1:
            raise InvariantViolation(f"orders {confirmed} on one version are all confirmed")
        taken = {bytes(put.value) for puts in self._committed for put in puts if put.key == CURRENT_KEY}
        for index in range(len(self._orders)):
            refused = [status for status in self._given[index] if status in (400, 409, 412)]
            if refused and any(b'"by-%d"' % index in value for value in taken):
                raise InvariantViolation(f"order {index} was taken and is refused with {refused}")
        versions = [
            msgspec.json.decode(put.value)["generation"]
            for puts in self._committed
            for put in puts
            if put.key == CURRENT_KEY
        ]
        if sorted(set(versions)) != versions:
            raise InvariantViolation(f"versions {versions} are in force one after the other")


BOUNDS = (
    OperatorBounds(),
    OperatorBounds(versions=(2, 3), sends=3, failovers=2, losses=2),
    OperatorBounds(versions=(2, 2), sends=2, failovers=1, losses=1, later=True),
    OperatorBounds(versions=(2, 2, 3), sends=2, failovers=1, losses=1),
    OperatorBounds(versions=(2, 2), sends=2, failovers=2, losses=2, updates=(1,)),
    OperatorBounds(versions=(2, 3), sends=2, failovers=1, losses=1, later=True, updates=(0, 1)),
)
