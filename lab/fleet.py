"""A fleet of senders in simulated time: many real decision modules against destinations with one limit each.

For effects that no single sender shows: refusals that use a limit up, an outage and its cold return, restarts of most
senders, a discovery that all call. No sockets; one heap of events, all randomness of one seed. Times are milliseconds.
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

NET_MS, DIAL_MS = 20.0, 40.0  # one way; a connect that fails
REPORT_EVERY_MS, REPORT_LATE_MS = 400.0, 150.0  # reports are refreshed and arrive so seldom and late
COLD, RAMP_MS, SPARE = 0.21, 9200.0, 1.3  # capacity after an outage, until it is whole, over the limit
ASK_MS, ASK_MOST_MS = 45.0, 2000.0  # discovery's work for a call; who waits longer is turned away
CLASSES = [
    MessageClass("notice", 3000.0, 12_000.0, 1.0, 0.4, Effect.IDEMPOTENT),
    MessageClass("payout", 2000.0, 12_000.0, 3.0, 0.3, Effect.UNSAFE),
]


@dataclass(frozen=True)
class Setup:
    """What differs between deployments: messages that a call may carry, whether answers tell of the limit, whether that
    is a count in each second, and a sender's slots and room."""

    per_call: int = 1
    reports: bool = True
    spans: bool = False
    slots: int = 6
    held: int = 32


class Destination:
    """One limit, that refused calls drain as well: a token bucket, or a count in each second. What happened is kept by
    second."""

    def __init__(self, number: int, limit: float, depth_s: float = 0.7, spans: bool = False) -> None:
        self.spans = spans
        self.number, self.limit, self.listed, self.depth_s = number, limit, limit, depth_s  # listed: as the list tells
        self.tokens, self.at = limit * depth_s, 0.0
        self.report, self.report_at = (1.0, limit), 0.0
        self.down: tuple[float, float] | None = None
        self.taken: Counter[int] = Counter()
        self.refused: Counter[int] = Counter()
        self.called: Counter[int] = Counter()  # all that reached it

    def capacity(self, now: float) -> float:
        """Calls a second that it can do now."""
        since = INF if self.down is None or now < self.down[1] else now - self.down[1]
        return SPARE * self.limit * min(1.0, COLD + (1 - COLD) * since / RAMP_MS)

    def call(self, now: float) -> Result:
        second = int(now // 1000)
        if self.down is not None and self.down[0] <= now < self.down[1]:
            return Result.CONNECT_FAILED
        self.called[second] += 1
        most = self.limit * self.depth_s
        if self.spans:
            most = self.limit
            self.tokens = most if second != int(self.at // 1000) else self.tokens
        else:
            self.tokens = min(most, self.tokens + self.limit * (now - self.at) / 1000)
        self.at = now
        good = self.tokens >= 1
        self.tokens -= 1
        if now - self.report_at >= REPORT_EVERY_MS:
            self.report, self.report_at = (max(0.0, min(1.0, self.tokens / most)), self.limit), now
        (self.taken if good else self.refused)[second] += 1
        return Result.OK if good else Result.FULL


class Node:
    """One sender, its life and the calls that are out."""

    def __init__(self, fleet: Fleet, me: int) -> None:
        self.fleet, self.me, self.life, self.alive = fleet, me, 0, True
        self.tries: Counter[int] = Counter()
        self.out: set[tuple[int, int]] = set()
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
            cold_share=COLD,
            ramp_time_ms=RAMP_MS,
            tip_multiple=2.0,
            tip_after_ms=3000.0,
            drain_grace_ms=2000.0,
            handshake_price=0.06,
            refused_price=0.1,
        )
        self.life, self.alive = self.life + 1, True
        self.tries.clear()
        self.out.clear()
        self.scheduler = Scheduler(settings, fleet.random.getrandbits(60))
        self.give(
            MembershipUpdate(
                MembershipKind.CACHED,
                1,
                [Member(100 + d.number, Lifecycle.READY, d.number, 0, 0, d.listed) for d in fleet.listed],
            )
        )

    def give(self, *events: object) -> None:
        fleet = self.fleet
        calls: dict[int, list[list[tuple[Attempt, int]]]] = {}  # by endpoint: what goes there in this step
        for action in self.scheduler.step(fleet.now, list(events)):
            kind = type(action)
            if kind is SetTimer:
                self.later(max(0.0, action.at - fleet.now) + 0.001, self.give, TimerDue(action.timer_id))
            elif kind is Attempt:
                number = self.tries[action.id]
                self.tries[action.id] += 1
                self.out.add((action.id, number))
                there = calls.setdefault(action.endpoint, [])
                if not there or len(there[-1]) >= fleet.setup.per_call:
                    there.append([])
                    self.later(NET_MS, self.arrive, there[-1], fleet.now)
                there[-1].append((action, number))
            elif kind is Cancel:
                self.later(0.0, self.end, action.id, action.attempt, 0, Result.CANCELLED, 0.0, ())
            elif kind in (Refuse, Fail):
                fleet.ends["refused" if kind is Refuse else "failed"] += 1
            elif kind is Subscribe:
                fleet.ask(self)

    def later(self, ms: float, act: Callable, *args: object) -> None:
        """In this life only."""
        life = self.life
        self.fleet.at(self.fleet.now + ms, lambda: act(*args) if self.life == life and self.alive else None)

    def arrive(self, call: list[tuple[Attempt, int]], sent: float) -> None:
        place = self.fleet.by_number[call[0][0].endpoint - 100]
        result = place.call(self.fleet.now)
        spent = DIAL_MS if result != Result.OK else 40 + self.fleet.random.expovariate(1 / 150)
        report = () if result == Result.CONNECT_FAILED or not self.fleet.setup.reports else place.report
        for action, number in call:
            self.later(spent + NET_MS, self.end, action.id, number, action.endpoint, result, sent, report)

    def end(self, id: int, number: int, endpoint: int, result: Result, sent: float, report: tuple) -> None:
        if (id, number) not in self.out:
            return
        self.out.discard((id, number))
        if result == Result.OK:
            self.fleet.ends["delivered"] += 1
        spent = self.fleet.now - sent
        self.give(Outcome(id, number, endpoint, result, spent, result == Result.OK, 0.0, report))


class Fleet:
    """Senders, destinations and their common clock. ``rates``: messages a second for each destination."""

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
        self.asked: list[float] = []  # when discovery was called
        self.told: dict[int, list[float]] = {}  # by sender, when it answered
        self.free = 0.0  # discovery is busy until then
        self.listed = [Destination(number, limit, spans=setup.spans) for number, limit in enumerate(limits)]
        self.by_number = {place.number: place for place in self.listed}
        self.nodes = [Node(self, me) for me in range(senders)]
        for number, rate in enumerate(rates):
            self.arrivals(number, rate)

    def at(self, when: float, act: Callable[[], None]) -> None:
        heappush(self.heap, (when, next(self.order), act))

    def run(self, until: float) -> None:
        while self.heap and self.heap[0][0] <= until:
            self.now, _, act = heappop(self.heap)
            act()
        self.now = until

    def arrivals(self, number: int, rate: float) -> None:
        def one() -> None:
            self.hand_in(number)
            self.at(self.now + self.random.expovariate(rate / 1000), one)

        if rate > 0:
            self.at(self.random.expovariate(rate / 1000), one)

    def hand_in(self, number: int) -> None:
        alive = [node for node in self.nodes if node.alive]
        cls = int(self.random.random() < self.payouts)
        self.offered += 1
        self.random.choice(alive).give(Message(next(self.ids), number, cls, 0, self.now + CLASSES[cls].deadline_ms))

    def clump(self, number: int, messages: int) -> None:
        """So many at once for one destination, over all senders."""
        for _ in range(messages):
            self.hand_in(number)

    def ask(self, node: Node) -> None:
        """Discovery works through calls in turn; one that has waited too long has used its turn for nothing."""
        self.asked.append(self.now)
        begin = max(self.now, self.free)
        if begin - self.now > ASK_MOST_MS:
            node.later(ASK_MOST_MS, node.give, MembershipUpdate(MembershipKind.FAILED, 1, []))
            return
        self.free = begin + ASK_MS
        node.later(self.free - self.now, self.answer, node)

    def answer(self, node: Node) -> None:
        self.told.setdefault(node.me, []).append(self.now)
        node.give(MembershipUpdate(MembershipKind.DELTA, 2, []))

    def kill(self, share: float, back_ms: float) -> None:
        """Stop the first so many of the senders; they come back together, knowing nothing but the list."""
        for node in self.nodes[: int(share * len(self.nodes))]:
            node.alive, node.life = False, node.life + 1
            self.at(self.now + back_ms, node.begin)

    def sums(self, number: int, begin_s: int, end_s: int) -> tuple[int, int]:
        """Calls that a destination took and refused in that span."""
        place = self.by_number[number]
        span = range(begin_s, end_s)
        return sum(place.taken[s] for s in span), sum(place.refused[s] for s in span)
