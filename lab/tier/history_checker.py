"""The rules that a history is judged by, from what clients, operator and endpoints saw, and by the members' state."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

import msgspec

from lab.tier.fakes import ClientResponse
from lab.tier.simulated_tier import SimulatedTier
from lynxscale.coordination.membership_plan import voters_wanted
from lynxscale.runtime.http_types import Request

MAX_TOKENS, STRIDE, EVENTS = 40, 10, 4
OUTPUT = b"word1\nword2\nword3\nword4\n"
WHOLE = b"".join(b"id: %d\ndata: word%d\n\n" % (number, number) for number in range(1, EVENTS + 1))


@dataclass
class ObservedTurn:
    """One try for a turn, as its client saw it."""

    request_id: str
    program: str
    previous: str
    text: bytes
    answer: ClientResponse
    budget: int


@dataclass
class ObservedChange:
    """One configuration, as the operator saw its answers. ``update``: what was sent instead of the whole."""

    base: int
    table: dict
    update: dict | None = None
    answers: list[ClientResponse] = field(default_factory=list)

    @property
    def acknowledged(self) -> bool:
        """Did any of its sends get 200?"""
        return any(answer.status == 200 for answer in self.answers)


@dataclass(frozen=True)
class Observations:
    """All that was seen from outside: turns, calls by path and id, and orders."""

    turns: list[ObservedTurn]
    calls: list[tuple[str, ClientResponse]]
    orders: list[ObservedChange]


def check_history(tier: SimulatedTier, seen: Observations) -> Counter[str]:
    """The rules that were broken, by name, once everybody is back and at rest."""
    checker = HistoryChecker(tier, seen)
    checker.check()
    return checker.broken


class HistoryChecker:
    """Judges one history."""

    def __init__(self, tier: SimulatedTier, seen: Observations) -> None:
        self.tier = tier
        self.seen = seen
        self.broken: Counter[str] = Counter()

    def check(self) -> None:
        """Count every breach."""
        if self.tier.primary() is None:
            self.broken["no_primary_in_the_end"] += 1
            return
        if self.tier.primary().operator_api.configuration.current() is None:
            self.broken["configuration_lost"] += 1
            return
        ran = self._runs()
        self._check_calls(ran)
        self._check_turns(ran)
        self._check_budgets()
        self._check_orders()
        counted = self.tier.primary().member.record.in_sync
        copies = [one.member for one in self.tier.controls.values() if one.member.member_id in counted]
        sums = {member.store.checksum() for member in copies}
        # Everybody is back for seconds: as many copies count as there are to be voters, so nobody was left behind.
        if len(copies) < voters_wanted(self.tier.tolerated):
            self.broken["member_left_behind"] += 1
        if len(sums) > 1:
            self.broken["copies_differ"] += 1

    def _runs(self) -> dict[str, list[Request]]:
        runs: dict[str, list[Request]] = {}
        for endpoint in self.tier.endpoints.values():
            for request in endpoint.executed:
                runs.setdefault(request.head.text(b"lynxscale-request-id"), []).append(request)
        return runs

    def _check_calls(self, ran: dict[str, list[Request]]) -> None:
        for what, answer in self.seen.calls:
            path, name = what.split()
            count = len(ran.get(name, ()))
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

    def _check_turns(self, ran: dict[str, list[Request]]) -> None:
        whole = {
            seen.request_id: seen for seen in self.seen.turns if seen.answer.complete and seen.answer.status == 200
        }
        for seen in self.seen.turns:
            runs = ran.get(seen.request_id, [])
            if len(runs) > 1:
                self.broken["twice"] += 1
            if runs and seen.answer.status in (402, 404, 429, 503):
                self.broken["refused"] += 1
            if seen.answer.status == 404:
                self.broken["turn_lost"] += 1
            if seen.request_id in whole and seen.answer.body != WHOLE:
                self.broken["order"] += 1
            if any(request.body != self._expected(seen, whole) for request in runs):
                self.broken["unasked"] += 1

    def _expected(self, seen: ObservedTurn, whole: dict[str, ObservedTurn]) -> bytes:
        body = seen.text
        previous = seen.previous
        while previous:
            earlier = whole[previous]
            body = earlier.text + OUTPUT + body
            previous = earlier.previous
        return body

    def _check_budgets(self) -> None:
        handed: Counter[str] = Counter()
        for seen in self.seen.turns:
            handed[seen.program] += seen.answer.body.count(b"data:") * STRIDE
        for seen in self.seen.turns:
            if handed[seen.program] > seen.budget + MAX_TOKENS:
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
