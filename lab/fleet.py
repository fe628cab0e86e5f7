"""Simulates a fleet of senders: many schedulers against destinations with a shared rate limit each.

It shows effects that need many senders: rejected calls that use up a limit, an outage followed by a slow start, a
restart of most senders, and the load on discovery. No sockets; one event queue, and one seed for all randomness. Times
are in milliseconds.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from heapq import heappop, heappush
from itertools import count
from math import inf as INF
from random import Random

from lynxscale.scheduling.actions import Attempt, Cancel, Fail, Refuse, SetTimer, Subscribe
from lynxscale.scheduling.events import (
    Lifecycle,
    Member,
    MembershipKind,
    MembershipUpdate,
    Message,
    Outcome,
    Result,
    TimerDue,
)
from lynxscale.scheduling.scheduler import Scheduler
from lynxscale.scheduling.settings import Effect, MessageClass, Settings

NETWORK_DELAY_MS, CONNECT_FAILURE_MS = 20.0, 40.0  # one way; time of a failed connect
REPORT_INTERVAL_MS, REPORT_DELAY_MS = 400.0, 150.0  # interval of load reports, and their delay
# Share of the capacity right after an outage, the time until it is full, and the full capacity over the limit.
COLD_CAPACITY, RAMP_MS, CAPACITY_MARGIN = 0.21, 9200.0, 1.3
# The time that discovery needs for a call, and the longest wait after which it still answers.
DISCOVERY_CALL_MS, MAX_DISCOVERY_WAIT_MS = 45.0, 2000.0
CLASSES = [
    MessageClass("notice", 3000.0, 12_000.0, 1.0, 0.4, Effect.IDEMPOTENT),
    MessageClass("payout", 2000.0, 12_000.0, 3.0, 0.3, Effect.UNSAFE),
]


@dataclass(frozen=True)
class Setup:
    """What differs between deployments.

    ``per_call``: messages that one call may carry; ``reports``: whether responses report the load; ``spans``: whether
    the limit is a count per second rather than a token bucket; ``slots``, ``held``: limits of a sender.
    """

    per_call: int = 1
    reports: bool = True
    spans: bool = False
    slots: int = 6
    held: int = 32


class Destination:
    """A rate limit, a token bucket or a count per second, which rejected calls use up as well. Calls are counted by
    second."""

    def __init__(self, number: int, limit: float, depth_s: float = 0.7, spans: bool = False) -> None:
        self.spans = spans
        # ``listed``: the limit in the member list.
        self.number, self.limit, self.listed, self.depth_s = number, limit, limit, depth_s
        self.tokens, self.at = limit * depth_s, 0.0
        self.report, self.report_at = (1.0, limit), 0.0
        self.down: tuple[float, float] | None = None
        self.taken: Counter[int] = Counter()
        self.refused: Counter[int] = Counter()
        self.called: Counter[int] = Counter()  # all calls that reached it

    def capacity(self, now: float) -> float:
        """Calls per second that it can serve now."""
        since = INF if self.down is None or now < self.down[1] else now - self.down[1]
        return CAPACITY_MARGIN * self.limit * min(1.0, COLD_CAPACITY + (1 - COLD_CAPACITY) * since / RAMP_MS)

    def call(self, now: float) -> Result:
        second = int(now // 1000)
        if self.down is not None and self.down[0] <= now < self.down[1]:
            return Result.CONNECT_FAILED
        self.called[second] += 1
        max_tokens = self.limit * self.depth_s
        if self.spans:
            max_tokens = self.limit
            self.tokens = max_tokens if second != int(self.at // 1000) else self.tokens
        else:
            self.tokens = min(max_tokens, self.tokens + self.limit * (now - self.at) / 1000)
        self.at = now
        accepted = self.tokens >= 1
        self.tokens -= 1
        if now - self.report_at >= REPORT_INTERVAL_MS:
            self.report, self.report_at = (max(0.0, min(1.0, self.tokens / max_tokens)), self.limit), now
        (self.taken if accepted else self.refused)[second] += 1
        return Result.OK if accepted else Result.FULL


class Node:
    """One sender, the number of its process, and its calls in flight."""

    def __init__(self, fleet: Fleet, me: int) -> None:
        self.fleet, self.me, self.process_number, self.alive = fleet, me, 0, True
        self.attempts: Counter[int] = Counter()
        self.in_flight: set[tuple[int, int]] = set()
        self.begin()

    def begin(self) -> None:
        fleet = self.fleet
        settings = Settings(
            slots=fleet.setup.slots,
            senders=fleet.senders,
            me=self.me,
            classes=CLASSES,
            most_held=fleet.setup.held,
            attempts_cap=12,
            may_cancel=True,
            idle_close_ms=15_000.0,
            max_retry_after_ms=3000.0,
            may_advise_retry=True,
            asks_for_members=True,
            report_left=0 if fleet.setup.reports else None,
            report_limit=1 if fleet.setup.reports else None,
            weights="nominal",
            per_call=[fleet.setup.per_call],
            cold_share=COLD_CAPACITY,
            ramp_time_ms=RAMP_MS,
            tip_multiple=2.0,
            tip_after_ms=3000.0,
            drain_grace_ms=2000.0,
            handshake_price=0.06,
            refused_price=0.1,
        )
        self.process_number, self.alive = self.process_number + 1, True
        self.attempts.clear()
        self.in_flight.clear()
        self.scheduler = Scheduler(settings, fleet.random.getrandbits(60))
        self.handle(
            MembershipUpdate(
                MembershipKind.CACHED,
                1,
                [Member(100 + d.number, Lifecycle.READY, d.number, 0, 0, d.listed) for d in fleet.listed],
            )
        )

    def handle(self, *events: object) -> None:
        fleet = self.fleet
        calls: dict[int, list[list[tuple[Attempt, int]]]] = {}  # by endpoint: the attempts of this step
        for action in self.scheduler.step(fleet.now, list(events)):
            kind = type(action)
            if kind is SetTimer:
                self.later(max(0.0, action.at - fleet.now) + 0.001, self.handle, TimerDue(action.timer_id))
            elif kind is Attempt:
                number = self.attempts[action.id]
                self.attempts[action.id] += 1
                self.in_flight.add((action.id, number))
                there = calls.setdefault(action.endpoint, [])
                if not there or len(there[-1]) >= fleet.setup.per_call:
                    there.append([])
                    self.later(NETWORK_DELAY_MS, self.arrive, there[-1], fleet.now)
                there[-1].append((action, number))
            elif kind is Cancel:
                self.later(0.0, self.end, action.id, action.attempt, 0, Result.CANCELLED, 0.0, ())
            elif kind in (Refuse, Fail):
                fleet.ends["refused" if kind is Refuse else "failed"] += 1
            elif kind is Subscribe:
                fleet.call_discovery(self)

    def later(self, ms: float, act: Callable, *args: object) -> None:
        """Schedule a call, which is dropped if this process has ended by then."""
        process_number = self.process_number
        self.fleet.at(
            self.fleet.now + ms, lambda: act(*args) if self.process_number == process_number and self.alive else None
        )

    def arrive(self, call: list[tuple[Attempt, int]], sent: float) -> None:
        destination = self.fleet.by_number[call[0][0].endpoint - 100]
        result = destination.call(self.fleet.now)
        elapsed_ms = CONNECT_FAILURE_MS if result != Result.OK else 40 + self.fleet.random.expovariate(1 / 150)
        report = () if result == Result.CONNECT_FAILED or not self.fleet.setup.reports else destination.report
        for action, number in call:
            self.later(
                elapsed_ms + NETWORK_DELAY_MS, self.end, action.id, number, action.endpoint, result, sent, report
            )

    def end(self, id: int, number: int, endpoint: int, result: Result, sent: float, report: tuple) -> None:
        if (id, number) not in self.in_flight:
            return
        self.in_flight.discard((id, number))
        if result == Result.OK:
            self.fleet.ends["delivered"] += 1
        elapsed_ms = self.fleet.now - sent
        self.handle(Outcome(id, number, endpoint, result, elapsed_ms, result == Result.OK, 0.0, report))


class Fleet:
    """Senders, destinations and their common clock. ``rates``: messages per second for each destination."""

    def __init__(
        self,
        seed: int,
        limits: list[float],
        rates: list[float],
        senders: int = 40,
        payouts: float = 0.2,
        setup: Setup = Setup(),  # noqa: B008
    ) -> None:
        self.setup = setup
        self.random, self.now, self.senders, self.payouts = Random(seed), 0.0, senders, payouts
        self.heap: list[tuple] = []
        self.order = count()
        self.ids = count(1)
        self.ends: Counter[str] = Counter()
        self.offered = 0
        self.asked: list[float] = []  # times of calls of discovery
        self.told: dict[int, list[float]] = {}  # by sender: times of its responses
        self.discovery_free_at = 0.0  # discovery is busy until then
        self.listed = [Destination(number, limit, spans=setup.spans) for number, limit in enumerate(limits)]
        self.by_number = {destination.number: destination for destination in self.listed}
        self.nodes = [Node(self, me) for me in range(senders)]
        for number, rate in enumerate(rates):
            self.schedule_arrivals(number, rate)

    def at(self, when: float, act: Callable[[], None]) -> None:
        heappush(self.heap, (when, next(self.order), act))

    def run(self, until: float) -> None:
        while self.heap and self.heap[0][0] <= until:
            self.now, _, act = heappop(self.heap)
            act()
        self.now = until

    def schedule_arrivals(self, number: int, rate: float) -> None:
        def arrive() -> None:
            self.hand_in(number)
            self.at(self.now + self.random.expovariate(rate / 1000), arrive)

        if rate > 0:
            self.at(self.random.expovariate(rate / 1000), arrive)

    def hand_in(self, number: int) -> None:
        alive = [node for node in self.nodes if node.alive]
        cls = int(self.random.random() < self.payouts)
        self.offered += 1
        self.random.choice(alive).handle(Message(next(self.ids), number, cls, 0, self.now + CLASSES[cls].deadline_ms))

    def burst(self, number: int, messages: int) -> None:
        """Hand in that many messages at once for one destination, spread over all senders."""
        for _ in range(messages):
            self.hand_in(number)

    def call_discovery(self, node: Node) -> None:
        """Discovery serves calls one after the other; a call that would wait too long fails."""
        self.asked.append(self.now)
        begin = max(self.now, self.discovery_free_at)
        if begin - self.now > MAX_DISCOVERY_WAIT_MS:
            node.later(MAX_DISCOVERY_WAIT_MS, node.handle, MembershipUpdate(MembershipKind.FAILED, 1, []))
            return
        self.discovery_free_at = begin + DISCOVERY_CALL_MS
        node.later(self.discovery_free_at - self.now, self.discovery_answered, node)

    def discovery_answered(self, node: Node) -> None:
        self.told.setdefault(node.me, []).append(self.now)
        node.handle(MembershipUpdate(MembershipKind.DELTA, 2, []))

    def kill(self, share: float, restart_ms: float) -> None:
        """Stop this share of the senders; they restart together, and know only the cached member list."""
        for node in self.nodes[: int(share * len(self.nodes))]:
            node.alive, node.process_number = False, node.process_number + 1
            self.at(self.now + restart_ms, node.begin)

    def sums(self, number: int, begin_s: int, end_s: int) -> tuple[int, int]:
        """Calls that a destination accepted and rejected in these seconds."""
        destination = self.by_number[number]
        span = range(begin_s, end_s)
        return sum(destination.taken[s] for s in span), sum(destination.refused[s] for s in span)
