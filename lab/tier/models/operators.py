"""Two operators with resends: the operator's API on a primary that may lose its lead at any step.

Each operator has one order on the same base; it is sent again for as long as no clear answer was heard, to whoever is
primary. What a primary has submitted is committed, or decided by the next primary: a part of it in order, or nothing.
Each answer may be lost on its way.

Judged: one order at most is ever confirmed; an order that was taken is never refused; no version is taken twice.
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
class SentOrder:
    """What an operator sends. The service that it names stands in the configuration that it makes."""

    path: str
    base: str
    table: dict


class Wire:
    """One send's answer on its way."""

    def __init__(self) -> None:
        self.answer: Response | None = None

    def respond(self, response: Response) -> None:
        """Part of Responder."""
        self.answer = response


class Operators:
    """The machine that is searched."""

    def __init__(self, bounds: OperatorBounds) -> None:
        self._committed: list[tuple[Put, ...]] = []
        self._sends: list[list[Wire]] = [[] for _ in bounds.versions]
        self._heard: list[int | None] = [None for _ in bounds.versions]
        self._orders = [
            self._order(1, version, place, place in bounds.updates) for place, version in enumerate(bounds.versions)
        ]
        if bounds.later:
            self._orders.append(self._order(2, 5, len(bounds.versions), bool(bounds.updates)))
            self._sends.append([])
            self._heard.append(None)
        self._later = bounds.later
        self._left = {"sends": bounds.sends, "failovers": bounds.failovers, "losses": bounds.losses}
        self._sent = [0 for _ in self._orders]
        self._given: list[set[int]] = [set() for _ in self._orders]
        body = {"generation": 1, "routes": [], "services": []}
        first = put_value(CURRENT_KEY, {"generation": 1, "body": body})
        self._commit((first,))
        self._lead()

    @staticmethod
    def _order(base: int, version: int, place: int, update: bool) -> SentOrder:
        services = [{"name": f"by-{place}"}]
        if update:
            return SentOrder("/config/update", str(base), {"generation": version, "upsert": {"services": services}})
        table = {"generation": version, "routes": [], "services": services}
        return SentOrder("/config/replace", str(base), table)

    def _commit(self, puts: tuple[Put, ...]) -> None:
        if puts:
            self._committed.append(puts)

    def _lead(self) -> None:
        table = KeyValueTable()
        for puts in self._committed:
            table.apply(puts)
        self.member = StubMember(table)
        self.api = OperatorApi(self.member, 1, lambda: None)

    def events(self) -> list[Event]:
        """What may happen next."""
        found: list[Event] = []
        for place in range(len(self._orders)):
            first = self._sent[place] == 0
            unanswered = any(wire.answer is None for wire in self._sends[place])
            waits_for_first = self._later and place == len(self._orders) - 1 and 200 not in self._heard
            again = self._sent[place] < self._left["sends"] and self._heard[place] is None and not unanswered
            if (first or again) and not waits_for_first:
                found.append(("sends", place))
            for number, wire in enumerate(self._sends[place]):
                if wire.answer is not None:
                    found.append(("hears", place, number))
                    if self._left["losses"]:
                        found.append(("does not hear", place, number))
        if self.member.submissions:
            found.append(("commits",))
        if self._left["failovers"]:
            found += [("fails over with", kept) for kept in range(len(self.member.submissions) + 1)]
        return found

    def do(self, event: Event) -> None:
        """Let it happen."""
        what, *details = event
        if what == "sends":
            self._send(details[0])
        elif what == "hears":
            self._hear(*details)
        elif what == "does not hear":
            self._left["losses"] -= 1
            self._sends[details[0]].pop(details[1])
        elif what == "commits":
            submission = self.member.submissions.pop(0)
            self._commit(submission.puts)
            submission.on_outcome(CommitOutcome.COMMITTED)
        else:
            self._fail_over(details[0])
        for place, sends in enumerate(self._sends):
            self._given[place] |= {wire.answer.status for wire in sends if wire.answer is not None}

    def _send(self, place: int) -> None:
        order = self._orders[place]
        wire = Wire()
        self._sends[place].append(wire)
        self._sent[place] += 1
        head = Head(((BASE_HEADER, order.base.encode()),))
        self.api.handle(Request("POST", order.path, head, msgspec.json.encode(order.table)), wire)

    def _hear(self, place: int, number: int) -> None:
        status = self._sends[place].pop(number).answer.status
        if status < 500 and status not in UNCLEAR:
            self._heard[place] = status

    def _fail_over(self, kept: int) -> None:
        self._left["failovers"] -= 1
        submissions = self.member.submissions
        for submission in submissions[:kept]:
            self._commit(submission.puts)
        self._lead()
        for submission in submissions:
            submission.on_outcome(CommitOutcome.UNKNOWN)

    def key(self) -> Hashable:
        """What counts of all this."""
        answers = tuple(tuple(wire.answer.status if wire.answer else None for wire in sends) for sends in self._sends)
        waiting = tuple(frozen(submission.puts) for submission in self.member.submissions)
        return (
            frozen(self._committed),
            waiting,
            frozen(dict(self.member.store.values)),
            answers,
            tuple(self._heard),
            tuple(self._sent),
            frozen(self._left),
            frozen(self._given),
        )

    def judge(self) -> None:
        """Raises InvariantViolation."""
        on_one_base = [place for place, order in enumerate(self._orders) if order.base == "1"]
        confirmed = [place for place in on_one_base if 200 in self._given[place]]
        if len(confirmed) > 1:
            raise InvariantViolation(f"orders {confirmed} on one version are all confirmed")
        taken = {bytes(put.value) for puts in self._committed for put in puts if put.key == CURRENT_KEY}
        for place in range(len(self._orders)):
            refused = [status for status in self._given[place] if status in (400, 409, 412)]
            if refused and any(b'"by-%d"' % place in value for value in taken):
                raise InvariantViolation(f"order {place} was taken and is refused with {refused}")
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
