"""Checks a history: what clients, operator and endpoints observed, and the members' state at its end."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from math import inf

import msgspec

from lab.linearizability import Operation
from lab.tier.fakes import ClientResponse
from lab.tier.register_history import CHANGE, READ, RegisterCall, answers_are_linearizable
from lab.tier.simulated_tier import SimulatedTier
from lynxscale.coordination.membership_plan import voters_wanted
from lynxscale.runtime.http_types import Request

MAX_TOKENS, STRIDE, EVENTS = 40, 10, 4
OUTPUT = b"word1\nword2\nword3\nword4\n"
WHOLE = b"".join(b"id: %d\ndata: word%d\n\n" % (number, number) for number in range(1, EVENTS + 1))

REGISTER_RESULTS = {200: True, 400: False, 412: False}
"""Was a change accepted? Other statuses are no definite answers."""
UNKNOWN_ORDER = -1


@dataclass
class ObservedTurn:
    """One attempt at a turn, as its client observed it."""

    request_id: str
    program: str
    previous: str
    text: bytes
    answer: ClientResponse
    budget: int


@dataclass
class ObservedChange:
    """One configuration order, as its operator observed it. ``update``: sent instead of the complete table.

    ``answers``: to each of its requests; ``sent_at``: when these were sent, in simulated seconds.
    """

    base: int
    table: dict
    update: dict | None = None
    answers: list[ClientResponse] = field(default_factory=list)
    sent_at: list[float] = field(default_factory=list)

    @property
    def acknowledged(self) -> bool:
        """Whether any of its requests was answered 200."""
        return any(answer.status == 200 for answer in self.answers)


@dataclass(frozen=True)
class ObservedRead:
    """One read of the configuration; ``sent_at`` in simulated seconds."""

    sent_at: float
    answer: ClientResponse


@dataclass(frozen=True)
class Observations:
    """All that was observed from outside: turns, calls by path and id, configuration orders and reads."""

    turns: list[ObservedTurn]
    calls: list[tuple[str, ClientResponse]]
    orders: list[ObservedChange]
    reads: list[ObservedRead] = field(default_factory=list)


def check_history(tier: SimulatedTier, seen: Observations) -> Counter[str]:
    """The rules that were broken, by name, once all processes are back and no request is in flight."""
    checker = HistoryChecker(tier, seen)
    checker.check()
    return checker.broken


class HistoryChecker:
    """Checks one history; ``broken`` counts violations by the rule's name."""

    def __init__(self, tier: SimulatedTier, seen: Observations) -> None:
        self.tier = tier
        self.seen = seen
        self.broken: Counter[str] = Counter()

    def check(self) -> None:
        """Count every violation."""
        if self.tier.primary() is None:
            self.broken["no_primary_in_the_end"] += 1
            return
        if self.tier.primary().operator_api.configuration.current() is None:
            self.broken["configuration_lost"] += 1
            return
        executed = self._executed()
        self._check_calls(executed)
        self._check_turns(executed)
        self._check_budgets()
        self._check_orders()
        self._check_register()
        in_sync = self.tier.primary().member.record.in_sync
        replicas = [one.member for one in self.tier.controls.values() if one.member.member_id in in_sync]
        sums = {member.store.checksum() for member in replicas}
        # All members are back for seconds: as many replicas are in sync as there are to be voters.
        if len(replicas) < voters_wanted(self.tier.tolerated):
            self.broken["member_left_behind"] += 1
        if len(sums) > 1:
            self.broken["copies_differ"] += 1

    def _executed(self) -> dict[str, list[Request]]:
        runs: dict[str, list[Request]] = {}
        for endpoint in self.tier.endpoints.values():
            for request in endpoint.executed:
                runs.setdefault(request.head.text(b"lynxscale-request-id"), []).append(request)
        return runs

    def _check_calls(self, executed: dict[str, list[Request]]) -> None:
        for what, answer in self.seen.calls:
            path, name = what.split()
            count = len(executed.get(name, ()))
            if path == "/book/1" and count > 1:
                self.broken["twice"] += 1
            if path == "/book/1" and answer.status in (429, 503) and count:
                self.broken["refused"] += 1
            if path == "/look/1" and count > 2:
                self.broken["attempts"] += 1
            if answer.status == 200 and answer.body != b"done":
                self.broken["mixed"] += 1
            if answer.status == 404:
                self.broken["denied"] += 1

    def _check_turns(self, executed: dict[str, list[Request]]) -> None:
        complete = {
            seen.request_id: seen for seen in self.seen.turns if seen.answer.complete and seen.answer.status == 200
        }
        for seen in self.seen.turns:
            runs = executed.get(seen.request_id, [])
            if len(runs) > 1:
                self.broken["twice"] += 1
            if runs and seen.answer.status in (402, 404, 429, 503):
                self.broken["refused"] += 1
            if seen.answer.status == 404:
                self.broken["turn_lost"] += 1
            if seen.request_id in complete and seen.answer.body != WHOLE:
                self.broken["order"] += 1
            if any(request.body != self._expected(seen, complete) for request in runs):
                self.broken["unasked"] += 1

    def _expected(self, seen: ObservedTurn, complete: dict[str, ObservedTurn]) -> bytes:
        body = seen.text
        previous = seen.previous
        while previous:
            earlier = complete[previous]
            body = earlier.text + OUTPUT + body
            previous = earlier.previous
        return body

    def _check_budgets(self) -> None:
        delivered: Counter[str] = Counter()
        for seen in self.seen.turns:
            delivered[seen.program] += seen.answer.body.count(b"data:") * STRIDE
        for seen in self.seen.turns:
            if delivered[seen.program] > seen.budget + MAX_TOKENS:
                self.broken["budget"] += 1
                return

    def _check_orders(self) -> None:
        current = msgspec.json.decode(self.tier.primary().operator_api.configuration.current().body)
        acknowledged = [order for order in self.seen.orders if order.acknowledged]
        if len({order.base for order in acknowledged}) < len(acknowledged):
            self.broken["two_on_one_base"] += 1
        newest = max((order.table["generation"] for order in acknowledged), default=1)
        if current["generation"] < newest:
            self.broken["configuration_lost"] += 1
        if current not in [order.table for order in self.seen.orders]:
            self.broken["configuration_differs"] += 1
        for relay in self.tier.relays.values():
            if relay.route_table is None or relay.route_table.generation != current["generation"]:
                self.broken["not_applied"] += 1

    def _check_register(self) -> None:
        """Orders and reads of the configuration are those of a single copy."""
        if not answers_are_linearizable([*self._change_operations(), *self._read_operations()]):
            self.broken["configuration_not_linearizable"] += 1

    def _change_operations(self) -> Iterator[Operation[RegisterCall]]:
        for number, order in enumerate(self.seen.orders):
            for sent_at, answer in zip(order.sent_at, order.answers, strict=True):
                accepted = REGISTER_RESULTS.get(answer.status) if answer.complete else None
                call = RegisterCall(CHANGE, number, order.base, order.table["generation"], accepted)
                yield Operation(call, sent_at, inf if accepted is None else answer.ended_at)

    def _read_operations(self) -> Iterator[Operation[RegisterCall]]:
        for read in self.seen.reads:
            if read.answer.complete and read.answer.status == 200:
                table = msgspec.json.decode(read.answer.body)
                number = next((n for n, order in enumerate(self.seen.orders) if order.table == table), UNKNOWN_ORDER)
                yield Operation(RegisterCall(READ, number), read.sent_at, read.answer.ended_at)
