"""Checks a history by what clients, the operator and endpoints observed, and by the state of the members at its end."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from math import inf

import msgspec

from lab.linearizability import Operation
from lab.tier.fakes import ClientResponse
from lab.tier.register_history import CHANGE, READ, RegisterCall, responses_are_linearizable
from lab.tier.simulated_tier import SimulatedTier
from lynxscale.coordination.membership_plan import voters_wanted
from lynxscale.runtime.http_types import Request

MAX_TOKENS, STRIDE, EVENTS = 40, 10, 4
TURN_OUTPUT = b"word1\nword2\nword3\nword4\n"
COMPLETE_STREAM = b"".join(b"id: %d\ndata: word%d\n\n" % (number, number) for number in range(1, EVENTS + 1))

CHANGE_ACCEPTED_BY_STATUS = {200: True, 400: False, 412: False}
"""Whether a response to a change means that it was accepted. Other statuses are not definite."""
UNKNOWN_CHANGE = -1


@dataclass
class ObservedTurn:
    """One attempt at a turn, as its client observed it."""

    request_id: str
    program: str
    previous: str
    text: bytes
    response: ClientResponse
    budget: int


@dataclass
class ObservedChange:
    """One configuration change, as its operator observed it. ``update``: sent instead of the complete table.

    ``responses``: one for each request; ``sent_at``: when the requests were sent, in simulated seconds.
    """

    base: int
    table: dict
    update: dict | None = None
    responses: list[ClientResponse] = field(default_factory=list)
    sent_at: list[float] = field(default_factory=list)

    @property
    def acknowledged(self) -> bool:
        """Whether any of its requests was answered with status 200."""
        return any(response.status == 200 for response in self.responses)


@dataclass(frozen=True)
class ObservedRead:
    """One read of the configuration; ``sent_at`` in simulated seconds."""

    sent_at: float
    response: ClientResponse


@dataclass(frozen=True)
class Observations:
    """All external observations: turns, calls by path and id, configuration changes, reads and resumable streams."""

    turns: list[ObservedTurn]
    calls: list[tuple[str, ClientResponse]]
    changes: list[ObservedChange]
    reads: list[ObservedRead] = field(default_factory=list)
    streams: list[ClientResponse] = field(default_factory=list)


def check_history(tier: SimulatedTier, observations: Observations) -> Counter[str]:
    """Count violations by rule. All processes must run again, and no request may be in flight."""
    checker = HistoryChecker(tier, observations)
    checker.check()
    return checker.broken


class HistoryChecker:
    """Checks one history; ``broken`` counts violations by the rule's name."""

    def __init__(self, tier: SimulatedTier, observations: Observations) -> None:
        self.tier = tier
        self.observations = observations
        self.broken: Counter[str] = Counter()

    def check(self) -> None:
        """Check all rules."""
        if self.tier.primary() is None:
            self.broken["no_primary_in_the_end"] += 1
            return
        if self.tier.primary().operator_api.configuration.current() is None:
            self.broken["configuration_lost"] += 1
            return
        executed = self._executions_by_request()
        self._check_calls(executed)
        self._check_turns(executed)
        self._check_streams()
        self._check_budgets()
        self._check_changes()
        self._check_register()
        in_sync = self.tier.primary().member.record.in_sync
        replicas = [service.member for service in self.tier.controls.values() if service.member.member_id in in_sync]
        checksums = {member.store.checksum() for member in replicas}
        # All members have run for seconds: by now there must be as many in-sync replicas as voters are wanted.
        if len(replicas) < voters_wanted(self.tier.tolerated):
            self.broken["member_left_behind"] += 1
        if len(checksums) > 1:
            self.broken["copies_differ"] += 1

    def _executions_by_request(self) -> dict[str, list[Request]]:
        executions: dict[str, list[Request]] = {}
        for endpoint in self.tier.endpoints.values():
            for request in endpoint.executed:
                executions.setdefault(request.head.text(b"lynxscale-request-id"), []).append(request)
        return executions

    def _check_calls(self, executed: dict[str, list[Request]]) -> None:
        for call, response in self.observations.calls:
            path, name = call.split()
            count = len(executed.get(name, ()))
            if path == "/book/1" and count > 1:
                self.broken["twice"] += 1
            if path == "/book/1" and response.status in (429, 503) and count:
                self.broken["refused"] += 1
            if path == "/look/1" and count > 2:
                self.broken["attempts"] += 1
            if response.status == 200 and response.body != b"done":
                self.broken["mixed"] += 1
            if response.status == 404:
                self.broken["denied"] += 1

    def _check_streams(self) -> None:
        for response in self.observations.streams:
            if response.status == 200 and not COMPLETE_STREAM.startswith(response.body):
                self.broken["order"] += 1
            if response.status == 200 and response.complete and response.body != COMPLETE_STREAM:
                self.broken["cut_short"] += 1

    def _check_turns(self, executed: dict[str, list[Request]]) -> None:
        complete = {
            turn.request_id: turn
            for turn in self.observations.turns
            if turn.response.complete and turn.response.status == 200
        }
        for turn in self.observations.turns:
            executions = executed.get(turn.request_id, [])
            if len(executions) > 1:
                self.broken["twice"] += 1
            if executions and turn.response.status in (402, 404, 429, 503):
                self.broken["refused"] += 1
            if turn.response.status == 404:
                self.broken["turn_lost"] += 1
            if turn.request_id in complete and turn.response.body != COMPLETE_STREAM:
                self.broken["order"] += 1
            if any(request.body != self._expected_body(turn, complete) for request in executions):
                self.broken["unasked"] += 1

    def _expected_body(self, turn: ObservedTurn, complete: dict[str, ObservedTurn]) -> bytes:
        body = turn.text
        previous = turn.previous
        while previous:
            earlier = complete[previous]
            body = earlier.text + TURN_OUTPUT + body
            previous = earlier.previous
        return body

    def _check_budgets(self) -> None:
        delivered: Counter[str] = Counter()
        for turn in self.observations.turns:
            delivered[turn.program] += turn.response.body.count(b"data:") * STRIDE
        for turn in self.observations.turns:
            if delivered[turn.program] > turn.budget + MAX_TOKENS:
                self.broken["budget"] += 1
                return

    def _check_changes(self) -> None:
        current = msgspec.json.decode(self.tier.primary().operator_api.configuration.current().as_written)
        acknowledged = [change for change in self.observations.changes if change.acknowledged]
        if len({change.base for change in acknowledged}) < len(acknowledged):
            self.broken["two_on_one_base"] += 1
        newest = max((change.table["generation"] for change in acknowledged), default=1)
        if current["generation"] < newest:
            self.broken["configuration_lost"] += 1
        if current not in [change.table for change in self.observations.changes]:
            self.broken["configuration_differs"] += 1
        for relay in self.tier.relays.values():
            if relay.route_table is None or relay.route_table.generation != current["generation"]:
                self.broken["not_applied"] += 1

    def _check_register(self) -> None:
        """Changes and reads of the configuration must be linearizable."""
        if not responses_are_linearizable([*self._change_operations(), *self._read_operations()]):
            self.broken["configuration_not_linearizable"] += 1

    def _change_operations(self) -> Iterator[Operation[RegisterCall]]:
        for number, change in enumerate(self.observations.changes):
            for sent_at, response in zip(change.sent_at, change.responses, strict=True):
                accepted = CHANGE_ACCEPTED_BY_STATUS.get(response.status) if response.complete else None
                call = RegisterCall(CHANGE, number, change.base, change.table["generation"], accepted)
                yield Operation(call, sent_at, inf if accepted is None else response.ended_at)

    def _read_operations(self) -> Iterator[Operation[RegisterCall]]:
        for read in self.observations.reads:
            if read.response.complete and read.response.status == 200:
                table = msgspec.json.decode(read.response.body)
                number = next(
                    (n for n, change in enumerate(self.observations.changes) if change.table == table), UNKNOWN_CHANGE
                )
                yield Operation(RegisterCall(READ, number), read.sent_at, read.response.ended_at)
