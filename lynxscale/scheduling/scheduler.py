"""All decisions of a relay: what to send, hold, cut, restart, refuse or fail.

Settings, events and actions are in modules of those names. One ``Sender`` serves one instance: ``step(now,
events)`` returns the actions. It has no clock, no I/O and no state outside itself; times are milliseconds.
The ordinary path is the restart mechanism of van Moorsel and Wolter: docs/design.md.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count, islice
from random import Random

from lynxscale.scheduling.actions import Attempt, Cancel, CloseIdle, Fail, Note, Refuse, SetTimer, Subscribe
from lynxscale.scheduling.connection_reuse import Reuse, Tables
from lynxscale.scheduling.events import (
    Lifecycle,
    MembershipKind,
    MembershipUpdate,
    Message,
    Outcome,
    Result,
    TimerDue,
    Withdrawn,
)
from lynxscale.scheduling.rate_limits import Share
from lynxscale.scheduling.restart_timeout import LEAST_FINISHED, TrySample
from lynxscale.scheduling.settings import Effect, Settings

# Sample and time-out
RESTART_SHARE = 0.1  # restarts earned by a success: cut calls may run on, so they are rationed
WASTE_COST = 100.0  # usual calls that a restart costs besides, for a point of worth that wasted calls cost
RESTART_BANK = 3.0  # restarts saved up at most, so that a bad spell meets no hoard
LOST_MULTIPLE, LOST_PACE = 4.0, 1.7  # usual latencies until an overtaken call is lost; at such a pace at most
LOST_SHARE, LOST_BANK = 0.4, 5.0  # restarts of lost calls earned by a success, and saved up at most
RESTARTS_EACH = 2  # restarts of one message; a message slow by nature is slow again
SPAN_MARGIN = 0.9  # share of a key's memory that is used: a call takes time to arrive
SLOW_MULTIPLE, LEAST_LEFT = 3.0, 2.0  # usual latencies that count as slow, and that a call must have left
RECENT_WEIGHT = 0.2  # weight of the newest latency in the recent mean
# Window and refusals
SOFT_WAIT_MS, SOFT_WAIT_MOST_MS = 150.0, 12_000.0  # rest after a refusal, besides a told wait
REST_RISE, REST_FALL = 1.3, 0.985  # of the rest that all destinations share, a refusal and a success
REST_GROWTH, REST_STEPS = 2.0, 6  # longer with each refusal in a row, so many times
CLASS_REST_MS, CLASS_REST_MOST_MS = 2000.0, 20_000.0  # an endpoint that fails one class rests for that class
ENDPOINT_REST_MS = 500.0  # an endpoint that failed rests this long while others of its lane serve
LIMIT_LEFT = 0.5  # of the allowance: with less a refusal tells of the limit; reports are old
# Outage and return
HARD_STREAK = 2  # failures in a row that make a lane failing: a lone error is chance
DARK_MS = 2500.0  # no success, and first bad, so long ago: an outage, not a limit or a short gap
WAKE_STEP_MS = 20.0  # a wake timer is set anew only if so much earlier: timers would breed timers
SILENT_LEAST_MS, SILENT_MULTIPLE = 1000.0, 6.0  # unanswered so long, and so many usual latencies: silence
SICK_PART = 4  # one slot in so many: what silent calls keep when others need it, and all tries in outages
TRY_FIRST_MS, TRY_MOST_MS = 600.0, 1000.0  # spacing of single tries in an outage; the most of a lone node
TRY_AGE = 2.0  # spacing in ages of the outage, over cold share and multiple: as more senders hold messages
LEAST_RATE, RATE_MS = 1.0, 10_000.0  # calls a second where no rate is told; memory of the success rate
PACE_SHARE, BURST_SHARE = 0.8, 0.25  # of the load that a return bears; of that of a tipping span, at once
PART_SHARE = 0.75  # of this node's part of a told rate, as other nodes may take more than theirs
WEIGHT_ERROR = 1.5  # a rough weight may be this much too high; a nominal one is as told
ITEM_WEIGHT = 0.25  # what each further message of a call adds to its weight
COLD_SHARE, RAMP_MS, TIP_MULTIPLE, TIP_MS = 0.15, 15_000.0, 1.5, 3000.0  # where the settings tell none
# Order, queue and membership
TENANT_BURST_S = 2.0  # seconds of its quota that a tenant may send at once and stay within share
QUEUE_MS = 10_000.0  # of its limit's part a destination may have waiting; more would come too late
SHED_AT, SHED_TO = 0.95, 0.85  # shares of the messages held: shed from the first down to the second
LEAST_ADVICE_MS = 750.0  # a refused client is always told when to come again: at once would be too soon
ASK_FIRST_MS, ASK_MOST_MS, ASK_UNHEARD_MS = 300.0, 4000.0, 20_000.0  # asking again after failure or silence
ASK_EACH_MS, ASK_ROUNDS = 40.0, 10  # of discovery's time for each sender's call; after failures
LATE_WORTH = 0.7  # of the least class's worth: with less a message waits behind all others
STALE = 0.5  # of its worth in time: tried in vain and worth less, it leaves the room to fresher ones
DEST_KEEP_MS = 60_000.0  # a destination whose last endpoint left is remembered for so long
LOOK = 12  # oldest calls looked at for stuck ones
INF = math.inf
OK, FAILING, WARMING = "ok", "failing", "warming"
MAY_RUN = (Result.ERROR, Result.TIMEOUT, Result.RESET, Result.CANCELLED)
RESTING = (Result.TIMEOUT, Result.RESET, Result.CANCELLED)


class Health:
    """Outage state of a lane or an endpoint, and the pace at which it may be loaded when it returns."""

    def __init__(self, now: float) -> None:
        self.state, self.streak, self.hard = OK, 0, 0  # hard: bad ones in a row that were not mere silence
        self.bad_at = self.last_ok = self.count_at = self.tokens_at = now
        self.warm_from = self.next_try = self.base = self.count = self.tokens = self.first_bad = 0.0

    def rate(self, now: float) -> float:  # successes a second of late
        return self.count * math.exp((self.count_at - now) / RATE_MS) * 1000 / RATE_MS


class Endpoint:
    def __init__(self, number: int) -> None:
        self.number, self.ready, self.gone, self.kind = number, False, False, 0
        self.healths: tuple[Health, ...] = ()  # its lane's and, where lanes have several endpoints, its own
        self.zone = self.inflight = self.unconnected = 0  # unconnected: failed connects since a success
        self.per_call, self.fee = 1, 0.0
        self.weight = self.rest_until = self.unconnected_at = 0.0
        self.answered, self.pace = -INF, 1.0  # when the latest call answered was sent; recent over usual time
        self.idle = []  # since when each of its connections is idle
        self.avoid: dict[int, tuple[float, float]] = {}  # by class failed here: until when, how long
        self.lane = self.call = None  # call: the last one


class Lane(TrySample):
    """What shares one limit, with its tries: a destination, or one of its endpoints where these are apart."""

    def __init__(self, dest: Dest, now: float, senders: int) -> None:
        super().__init__()
        self.dest, self.health, self.share = dest, Health(now), Share(senders, now)
        self.endpoints = []
        self.window, self.restarts = 1, 1.0
        self.lost_restarts = LOST_BANK
        self.inflight, self.silent, self.per_call = 0, 0, 1
        self.wait_until = self.recent = self.limit = 0.0

    def weight(self) -> float:  # the rate that the list tells, at least
        return max((e.weight for e in self.endpoints), default=0.0)

    def slow(self) -> bool:
        return self.median > 0 and self.recent > SLOW_MULTIPLE * self.median


class Dest:
    def __init__(self, number: int) -> None:
        self.number, self.wake_at = number, 0.0
        self.lanes, self.queue, self.waiting, self.inflight = [], [], 0, 0


class Call:
    def __init__(self, endpoint: Endpoint, sent: float, step: int, idle: float) -> None:
        self.endpoint, self.sent, self.step, self.size, self.left = endpoint, sent, step, 0, 0
        self.idle, self.classes, self.fresh = idle, {}, False  # idle: its connection's age, 0 for a new one
        self.judged = self.silent = self.sick = self.dead = False  # judged: window and health took note of it


class Try:
    def __init__(self, msg: Held, call: Call, number: int) -> None:
        self.msg, self.call, self.number, self.cut, self.dead = msg, call, number, False, False


class Held:
    def __init__(self, event: Message, dest: Dest, seq: int) -> None:
        self.id, self.cls, self.key, self.expires = event.id, event.cls, event.key, event.expires
        self.dest, self.seq, self.attempts, self.maybe_at = dest, seq, event.attempts, event.maybe_executed_at
        self.aim_at = self.rest_from = self.restarts = self.version = 0
        self.owed = event.inherited and not event.attempts  # its first call, as a restart found it untried
        self.over = self.queued = self.dead = self.late = False
        self.out = self.zone = self.last = None  # the try under way, the zone to stay in, the last endpoint


class Sender:
    """One delivery node's decisions: events in, actions out."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.s, self.random, self.now = settings, Random(seed), 0.0
        self.actions, self.timers, self.freed, self.steps = [], [], [], 0
        self.endpoints, self.dests, self.active = {}, {}, {}  # all by number; active: with messages queued
        self.held, self.tries = {}, {}  # messages by id; tries by id and attempt, in the order sent
        self.lines, self.rests = {}, {}  # by key: messages in turn; until when the key rests
        self.number = count(1).__next__  # orders whatever is else equal
        self.reuse, self.tables = Reuse(), Tables()
        self.armed, self.rest = INF, SOFT_WAIT_MS  # rest: after a refusal, learned from all calls
        self.used = self.silents = self.sick_calls = 0
        self.ask_spread, self.asked = ASK_EACH_MS * settings.senders, False
        self.ask_gap, self.ask_at = max(ASK_FIRST_MS, self.ask_spread), INF
        self.class_mean = [[0.0, 0] for _ in settings.classes]
        self.buckets = [[INF, 0.0] for _ in settings.tenants]
        self.most_calls = max(1, math.ceil(settings.slots * 0.75) - 1)
        self.most_sick, self.sick_slots = max(1, settings.slots // 2), max(1, settings.slots // SICK_PART)
        self.low = LATE_WORTH * min((grade.worth for grade in settings.classes), default=1.0)
        self.cold, self.ramp = settings.cold_share or COLD_SHARE, settings.ramp_time_ms or RAMP_MS
        self.try_age = TRY_AGE / (self.cold * (settings.tip_multiple or TIP_MULTIPLE))
        self.tip, self.span = settings.tip_multiple or TIP_MULTIPLE, settings.tip_after_ms or TIP_MS

    def step(self, now: float, events: list) -> list:
        self.now, self.actions, self.freed, self.steps = now, [], [], self.steps + 1
        for event in events:
            kind = type(event)
            if kind is Message:
                self.take(event)
            elif kind is Outcome:
                self.outcome(event)
            elif kind is TimerDue:
                self.armed = self.armed if self.armed > now + 1 else INF  # the clock may be rounded
            elif kind is MembershipUpdate:
                self.membership(event)
            elif kind is Withdrawn and event.id in self.held:
                self.end(self.held[event.id])
        while self.timers and self.timers[0][0] <= self.now:
            _, _, act, what = heappop(self.timers)
            act(what)
        self.shed()
        self.dispatch()
        # Where connects fail, the idle connections of many senders fill the tables: close unneeded ones.
        # Hurts after an outage that failed connects: some handshakes more until the share has sunk.
        for endpoint in self.freed:
            if endpoint.idle and self.tables.crowded(endpoint.kind):
                endpoint.idle.clear()
                self.actions.append(CloseIdle(endpoint.number))
        while self.timers and getattr(self.timers[0][3], "dead", False):
            heappop(self.timers)  # its message or call has ended: no need to wake for it
        if self.timers and self.timers[0][0] < self.armed:
            self.armed = self.timers[0][0]
            self.actions.append(SetTimer(self.number() & 0xFFFFFFFF, self.armed))
        return self.actions

    def timer(self, at: float, act: Callable, what: object) -> None:
        heappush(self.timers, (at, self.number(), act, what))

    # Membership --------------------------------------------------------------------------------

    def membership(self, event: MembershipUpdate) -> None:
        if event.kind == MembershipKind.FAILED:
            self.ask_again(self.ask_gap * self.random.uniform(0.7, 1.3))
            most = min(ASK_ROUNDS * self.ask_spread, 3 * (self.s.ask_within_ms or INF))  # four pass
            self.ask_gap = min(self.ask_gap * 2, max(ASK_MOST_MS, most))
            return
        touched = [] if event.kind == MembershipKind.DELTA else list(self.endpoints.values())
        for endpoint in touched:
            endpoint.ready, endpoint.gone = False, True
        for m in event.members:
            endpoint = self.endpoints.get(m.endpoint) or m.lifecycle != Lifecycle.GONE and self.join(m)
            if endpoint:
                endpoint.ready, endpoint.gone = m.lifecycle == Lifecycle.READY, not m.lifecycle  # GONE: 0
                error = {"nominal": 1.0, "rough": WEIGHT_ERROR}.get(self.s.weights, INF)
                endpoint.weight = max(0.0, m.weight) / error
                endpoint.lane.share.told(endpoint.lane.limit or endpoint.lane.weight())
                touched.append(endpoint)
        for endpoint in touched:  # and not all there are: a list may have tens of thousands
            self.leave(endpoint)
        if event.kind == MembershipKind.CACHED and self.s.asks_for_members:
            self.ask_again(self.random.random() * self.ask_spread)
        elif event.kind != MembershipKind.CACHED and self.asked:
            self.ask_gap, self.ask_at = max(ASK_FIRST_MS, self.ask_spread), INF
        for dest in self.dests.values():
            self.rouse(dest)

    def subscribe(self, asked_for: float) -> None:
        if asked_for == self.ask_at:
            self.asked = True
            self.actions.append(Subscribe(True))
            self.ask_again(ASK_UNHEARD_MS)

    def ask_again(self, after: float) -> None:
        self.ask_at = self.now + after
        self.timer(self.ask_at, self.subscribe, self.ask_at)

    def join(self, member) -> Endpoint:
        endpoint = self.endpoints[member.endpoint] = Endpoint(member.endpoint)
        dest = self.dests.setdefault(member.destination, Dest(member.destination))
        endpoint.per_call = (self.s.per_call[member.kind : member.kind + 1] or [1])[0]
        endpoint.fee = (self.s.route_fee[member.zone : member.zone + 1] or [0.0])[0]
        apart = any(self.s.routes_apart[member.kind : member.kind + 1])
        if apart or not dest.lanes:
            dest.lanes.append(Lane(dest, self.now, self.s.senders))
        endpoint.lane, endpoint.zone, endpoint.kind = dest.lanes[-1], member.zone, member.kind
        endpoint.lane.endpoints.append(endpoint)
        endpoint.lane.per_call = endpoint.per_call
        own = () if apart else (Health(self.now),)
        endpoint.healths = (endpoint.lane.health, *own)
        return endpoint

    def leave(self, endpoint: Endpoint) -> None:
        """Forget what has gone, once no call is out there: else tables grow with every endpoint that was."""
        if endpoint.gone and not endpoint.inflight and endpoint.number in self.endpoints:
            del self.endpoints[endpoint.number]
            lane, dest = endpoint.lane, endpoint.lane.dest
            lane.endpoints.remove(endpoint)
            if not lane.endpoints and len(dest.lanes) > 1:
                dest.lanes.remove(lane)
            if not any(lane.endpoints for lane in dest.lanes):
                self.timer(self.now + DEST_KEEP_MS, self.forget, dest)

    def forget(self, dest: Dest) -> None:
        """A destination long without endpoints; until then its waits, health and pace hold for new ones."""
        used = dest.waiting or dest.inflight or any(msg.dest is dest for msg in self.held.values())
        if used or any(lane.wait_until > self.now for lane in dest.lanes):
            self.timer(self.now + DEST_KEEP_MS, self.forget, dest)
        elif not any(lane.endpoints for lane in dest.lanes):
            self.dests.pop(dest.number, None)
            self.active.pop(dest.number, None)

    # Sample and time-out -----------------------------------------------------------------------

    def ratio(self, cls: int) -> float:
        """Usual latency of a class over that of all, so that a quick class does not set a slow one's τ."""
        mean, count = self.class_mean[cls]
        if count < LEAST_FINISHED:
            return 1.0
        overall = sum(m * n for m, n in self.class_mean) / sum(n for _, n in self.class_mean)
        return min(5.0, max(0.2, mean / overall))

    def observe(self, lane: Lane, cls: int, latency: float) -> None:  # INF: an unfinished try
        if latency < INF:
            entry = self.class_mean[cls]
            entry[1] = min(entry[1] + 1, 500)
            entry[0] += (latency - entry[0]) / entry[1]
            latency /= self.ratio(cls)
            lane.recent += (latency - lane.recent) * (RECENT_WEIGHT if lane.recent else 1.0)
        # A cut call runs on at the destination: a restart costs about one usual call there.
        lane.add(self.now, latency, 1 + WASTE_COST * self.s.waste_price)

    def usual(self, msg: Held) -> float:  # usual latency of a call like this one
        known = [lane.median for lane in msg.dest.lanes if lane.median]
        return min(known) * self.ratio(msg.cls) if known else self.class_mean[msg.cls][0]

    def cut(self, out: Try) -> None:  # at τ: for a restart, if attempts, time and the budget allow
        msg, lane = out.msg, out.call.endpoint.lane
        if msg.out is not out or msg.dead or out.cut or not self.repeatable(msg, out.call.sent):
            return
        spent = msg.restarts >= RESTARTS_EACH or msg.attempts + 1 >= (self.s.attempts_cap or INF)
        # Slow or sick: the next try is no faster there, and cut calls would pile up (docs/design.md).
        useless = lane.health.state != OK or lane.slow() or msg.expires - self.now < 2 * self.usual(msg)
        useless |= lane.share.tight
        if spent or useless:
            return
        if lane.restarts >= 1:
            lane.restarts -= 1
        elif not self.restarts_lost(out):
            return
        msg.restarts, out.cut = msg.restarts + 1, True
        self.actions.append(Cancel(msg.id, out.number))

    def restarts_lost(self, out: Try) -> bool:
        """Beyond the budget for slow calls: is this one lost, or its answer? Else it is looked at later."""
        call, lane = out.call, out.call.endpoint.lane
        usual = max(1.0, max(lane.median, lane.recent) * self.ratio(out.msg.cls))
        due = call.sent + LOST_MULTIPLE * usual
        if self.now >= due and self.lost(call):
            return True
        self.timer(max(due, self.now + usual), self.cut, out)
        return False

    def lost(self, call: Call) -> bool:
        """Has its endpoint answered one that was sent later, at the usual pace? Else it may be slow."""
        lane = call.endpoint.lane
        overtaken = call.endpoint.answered > call.sent and call.endpoint.pace <= LOST_PACE
        known = overtaken and lane.lost_restarts >= 1
        lane.lost_restarts -= known
        return known

    def repeatable(self, msg: Held, first: float) -> bool:
        """May it be sent (again) although an attempt first sent then may have run?"""
        grade = self.s.classes[msg.cls]
        if grade.effect == Effect.KEYED:
            span = (grade.memory_span_ms or 0.0) * SPAN_MARGIN
            return self.now - (msg.maybe_at or first) < span
        return grade.effect == Effect.IDEMPOTENT

    # Health and window -------------------------------------------------------------------------

    def base_rate(self, endpoint: Endpoint, health: Health) -> float:
        """Calls a second that this node may count on there: its own evidence, or its part of a rate."""
        lane = endpoint.lane
        among = self.s.senders * (1 if health is lane.health else max(1, len(lane.endpoints)))
        part = max(lane.limit, lane.weight()) / among
        return max(health.base, PART_SHARE * part, 1000 / self.span / self.s.senders)

    def pace(self, endpoint: Endpoint, health: Health) -> float:
        """Calls a millisecond that a warming destination bears, from this node alone."""
        warm = self.cold + (1 - self.cold) * (self.now - health.warm_from) / self.ramp
        return PACE_SHARE * self.tip * min(1.0, warm) * self.base_rate(endpoint, health) / 1000

    def opens(self, endpoint: Endpoint, health: Health) -> float:  # when this health lets a call through
        if health.state != WARMING:
            return health.next_try if health.state == FAILING else 0.0
        if self.now - health.warm_from >= self.ramp:
            self.turn(endpoint, health, OK)
            return 0.0
        pace = self.pace(endpoint, health)
        most = max(1.0, BURST_SHARE * pace * self.span)
        health.tokens = min(most, health.tokens + pace * (self.now - health.tokens_at))
        health.tokens_at = self.now
        return 0.0 if health.tokens >= 1 - 1e-6 else self.now + (1 - health.tokens) / pace

    def turn(self, endpoint: Endpoint, health: Health, state: str) -> None:
        health.state = state
        what = f"dest {endpoint.lane.dest.number}" if health is endpoint.lane.health else "its"
        self.actions.append(Note(f"{what} endpoint {endpoint.number} {state}"))

    def good(self, endpoint: Endpoint, health: Health, quick: bool) -> None:  # a success there
        age = self.now - health.first_bad
        # Quick while earlier calls stay unanswered: it hung. A late answer: it was slow, and is not cold.
        outage = (health.hard > 1 or quick) and age > DARK_MS and self.now - health.last_ok > DARK_MS
        returned = outage and (health.state == FAILING or (health.state == OK and health.streak > 1))
        # Where the lane warms, its pace bounds them all: their own ones would hold it under what it bears.
        returned &= health is endpoint.lane.health or endpoint.lane.health.state != WARMING
        health.count, health.count_at = 1 + health.rate(self.now) * RATE_MS / 1000, self.now
        if returned:
            waiting = endpoint.lane.dest.waiting
            # It came back between the last failure and now.
            health.warm_from = (self.now + max(health.bad_at, self.now - 2 * TRY_MOST_MS)) / 2
            health.tokens_at, health.tokens = self.now, 0.0 if waiting else 1.0
            # What came meanwhile is this node's part of the traffic, however many nodes there are.
            health.base = max(health.base, waiting * 1000 / age)
            self.turn(endpoint, health, WARMING)
        elif health.state == FAILING:
            self.turn(endpoint, health, OK)  # a late answer or a short gap: it was slow, not out
        health.streak, health.last_ok = 0, self.now

    def bad(self, endpoint: Endpoint, health: Health, full: bool, sent: float) -> None:  # of whatever form
        if full and health.streak and sent <= health.bad_at:
            return  # one volley above a limit is one refusal
        if not health.streak and health.state == OK:
            health.base = max(health.rate(self.now), health.base * 0.5)
            health.first_bad, health.hard = self.now, 0
        health.streak, health.bad_at, health.hard = health.streak + 1, self.now, health.hard + 1
        if health.state == WARMING:
            health.warm_from = min(self.now, health.warm_from + self.ramp / 4)
        dark = self.now - max(health.last_ok, health.first_bad) > DARK_MS
        if health.streak >= HARD_STREAK and (dark or not full) and health.state != FAILING:
            health.next_try = self.now + self.gap(endpoint, health) * self.random.uniform(0.7, 1.3)
            self.turn(endpoint, health, FAILING)

    def gap(self, endpoint: Endpoint, health: Health) -> float:
        """Between tries in an outage: all senders may try alike, and more hold a message the older it is."""
        age = self.now - health.first_bad
        most = max(TRY_MOST_MS, self.most_gap(endpoint.lane, health))
        return min(most, max(TRY_FIRST_MS, self.try_age * age))

    def most_gap(self, lane: Lane, health: Health) -> float:
        """Gap at which all senders together load a cold destination as it bears, by own or told rate."""
        told = max(lane.limit, lane.weight(), LEAST_RATE)
        rate = max(told / self.s.senders, health.base, health.rate(self.now))
        return 1000 / (self.tip * self.cold * rate)

    def silent(self, call: Call) -> None:
        """A call long unanswered; with no success since it was sent the destination may hang."""
        if call.left:
            call.silent = True
            for cls in call.classes:
                self.class_here(call.endpoint, cls, False, True)
            call.endpoint.lane.silent += 1
            self.silents += 1
            self.rouse(call.endpoint.lane.dest)
            if call.endpoint.lane.health.last_ok < call.sent:
                for health in call.endpoint.healths:
                    self.bad(call.endpoint, health, False, call.sent)
                    health.hard -= 1

    def judge(self, call: Call, result: Result, wait: float, left: float | None) -> None:  # once a call
        endpoint, lane = call.endpoint, call.endpoint.lane
        # Refused for want of allowance: many senders are at the limit together, which is no outage.
        above = result == Result.FULL and left is not None and left < LIMIT_LEFT
        if result == Result.FULL:
            age = self.now + wait - (lane.health.first_bad if lane.health.streak else self.now)
            # All are told the same end of a wait: spread, the more the longer it was shut. A node that
            # sends much there learns fast and need not rest for long. The limit's share paces the rest.
            most = 1000 / max(lane.health.rate(self.now), 0.01)  # this node's usual success takes so long
            least = TRY_FIRST_MS if self.now - lane.health.last_ok > DARK_MS and not above else 0.0
            rest = max(least, self.rest) * REST_GROWTH ** min(lane.health.streak, REST_STEPS)
            rest = 0.0 if above else min(most, rest)
            spread = min(self.most_gap(lane, lane.health), self.try_age * age) if age > DARK_MS else 0.0
            rest = max(rest * self.random.uniform(0.3, 1.0), spread * self.random.random())
            lane.wait_until = max(lane.wait_until, self.now + wait + rest)
            lane.share.refused(self.now, call.sent, self.random.random())
        elif result == Result.OK:
            lane.share.answered(self.now, call.sent, left)
        elif result in (Result.CONNECT_FAILED, Result.MOOT) and not call.left:
            lane.share.spend(-1.0)  # it never came there
        if call.judged or result in (Result.CANCELLED, Result.MOOT):
            return
        call.judged = True
        self.tables.ended(self.now, endpoint, call.sent, call.idle, result)
        self.reuse.ended(self.now, call.idle, result)
        if result == Result.RESET and call.idle and self.now - lane.health.last_ok < DARK_MS:
            return  # the end of a kept connection, not of its endpoint: the next try tells
        if result == Result.OK:
            lane.window = min(lane.window + 1, self.most_calls)
            self.rest = max(SOFT_WAIT_MS, self.rest * REST_FALL)
            lane.restarts = min(RESTART_BANK, lane.restarts + RESTART_SHARE)
            lane.lost_restarts = min(LOST_BANK, lane.lost_restarts + LOST_SHARE)
            endpoint.answered = max(endpoint.answered, call.sent)
            endpoint.pace += ((self.now - call.sent) / max(1.0, lane.median) - endpoint.pace) * RECENT_WEIGHT
            for health in endpoint.healths:
                self.good(endpoint, health, not call.silent)
            return
        if result == Result.FULL and not above:
            self.rest = min(self.rest * REST_RISE, SOFT_WAIT_MOST_MS)
        if result in (Result.FULL, Result.TIMEOUT):
            lane.window = max(1, lane.window // 2)
        # Seldom calling nodes cannot tell chance from an outage: their first repeats must not come at once.
        # Hurts after a lone error: a second's delay. Holds against crashes, errors and full tables alike.
        if result in (Result.CONNECT_FAILED, Result.RESET, Result.ERROR):
            rare = self.now - lane.health.last_ok > DARK_MS
            rest = TRY_FIRST_MS * self.random.uniform(1.0, 3.0) if rare else ENDPOINT_REST_MS
            endpoint.rest_until = self.now + rest
            if result == Result.RESET:
                endpoint.idle.clear()
        if not call.silent and result != Result.TIMEOUT and not above:  # late ones tell nothing
            for health in endpoint.healths:
                self.bad(endpoint, health, result == Result.FULL, call.sent)

    # Queue and order ---------------------------------------------------------------------------

    def take(self, event: Message) -> None:
        grade = self.s.classes[event.cls]
        dest = self.dests.setdefault(event.destination, Dest(event.destination))
        msg = Held(event, dest, self.number())
        aim = grade.aim_ms + (grade.aim_stretch or 0.0) * (event.work_hint or 0.0)
        msg.aim_at = event.expires - grade.deadline_ms + min(aim, grade.deadline_ms)
        msg.over = not self.within_share(event.tenant)
        self.held[msg.id] = msg
        self.watch(msg)
        msg.key = msg.key if grade.ordered else 0
        if msg.key:
            self.lines.setdefault(msg.key, deque()).append(msg)
        if not msg.key or (self.lines[msg.key][0] is msg and msg.key not in self.rests):
            self.enqueue(msg)

    def watch(self, msg: Held) -> None:  # given up once hopeless; set anew when it is queued again
        until, grade = msg.expires - LEAST_LEFT * self.usual(msg), self.s.classes[msg.cls]
        if msg.maybe_at and grade.effect == Effect.KEYED:
            until = min(until, msg.maybe_at + (grade.memory_span_ms or 0.0) * SPAN_MARGIN)
        self.timer(until, self.give_up, msg)

    def within_share(self, tenant: int) -> bool:  # else served last: it is worth little
        quota = self.s.tenants[tenant].quota_per_s if tenant < len(self.s.tenants) else None
        if not quota:
            return True
        rate, bucket = quota / self.s.senders, self.buckets[tenant]
        bucket[0] = min(max(1.0, rate * TENANT_BURST_S), bucket[0] + rate * (self.now - bucket[1]) / 1000)
        bucket[1] = self.now
        within = bucket[0] >= 1
        bucket[0] -= within
        return within

    def worth(self, msg: Held, at: float) -> float:  # what the message is worth if delivered then
        grade = self.s.classes[msg.cls]
        share = self.s.over_share_worth if msg.over and self.s.over_share_worth is not None else 1.0
        late, span = at - msg.aim_at, max(1.0, msg.expires - msg.aim_at)
        if late > 0 and self.s.late_halves:
            share *= max(grade.late_worth, 0.5 ** (late / max(1.0, grade.aim_ms)))
        elif late > 0:
            share *= 1 - (1 - grade.late_worth) * min(1.0, late / span)
        return grade.worth * share

    def hopeless(self, msg: Held) -> bool:
        """Too little time, as half of the calls take longer than usual; or run, maybe, and not repeatable."""
        late = msg.expires - self.now <= LEAST_LEFT * self.usual(msg)
        spent = msg.attempts >= (self.s.attempts_cap or INF)  # all made in an earlier life
        return late or spent or (bool(msg.maybe_at) and not self.repeatable(msg, msg.maybe_at))

    def enqueue(self, msg: Held) -> None:
        """Queue at its destination by present worth, what has lost much of it by worth for slot time."""
        if self.hopeless(msg):
            self.give_up(msg)
            return
        usual = max(1.0, self.usual(msg))
        worth = self.worth(msg, self.now + usual)
        msg.late = self.now + usual > msg.aim_at
        rank = (0, (-worth, msg.aim_at)) if worth >= self.low else (1, (-worth / usual, 0.0))
        order = -msg.seq if self.s.late_halves and rank[0] else msg.seq
        msg.version += 1
        if not msg.queued:
            msg.queued = True
            msg.dest.waiting += 1
        heappush(msg.dest.queue, (*rank, order, msg.version, msg))
        self.active[msg.dest.number] = msg.dest

    def unqueue(self, msg: Held) -> None:
        if msg.queued:
            msg.queued = False
            msg.version += 1
            msg.dest.waiting -= 1

    def head(self, dest: Dest) -> tuple | None:
        while dest.queue:
            msg = dest.queue[0][4]
            if dest.queue[0][3] != msg.version:
                heappop(dest.queue)
            elif msg.late or self.now < msg.aim_at:
                return dest.queue[0]
            else:
                self.enqueue(msg)  # late by now: behind what is in aim, as that would be late next
        return None

    def rows(self, dest: Dest, behind: int = 0) -> list[tuple]:  # to shed: no first so many, nor what is owed
        return [r for r in sorted(r for r in dest.queue if r[3] == r[4].version)[behind:] if not r[4].owed]

    def shed(self) -> None:
        """Held near the limit: refuse the least worth of the longest queue, so that better work gets in."""
        most = self.s.most_held or INF
        least = SHED_TO * most if len(self.held) >= SHED_AT * most else INF
        for dest in list(self.active.values()):  # what its limit lets through too late is answered now
            if dest.waiting < 2 or not dest.lanes:
                continue
            room = sum(max(1.0, lane.share.takes(QUEUE_MS)) * lane.per_call for lane in dest.lanes)
            for row in self.rows(dest, int(room)) if dest.waiting > room else ():
                self.give_up(row[4])
        while len(self.held) > least:
            dest = max(self.dests.values(), key=lambda d: d.waiting * (1000 + self.closed_for(d)))
            rows = self.rows(dest)
            if not rows:
                return
            for row in rows[-max(1, len(rows) // 4) :]:
                self.give_up(row[4])

    def closed_for(self, dest: Dest) -> float:  # until one of its lanes may be called
        opens = min((max(lane.wait_until, lane.health.next_try) for lane in dest.lanes), default=0.0)
        return max(0.0, opens - self.now)

    def give_up(self, msg: Held) -> None:
        """The final answer, at once: refused where coming again is harmless, else failed."""
        if msg.dead or msg.out is not None:
            return  # its time is up while a try is out: the outcome decides
        grade = self.s.classes[msg.cls]
        dropped = grade.effect == Effect.KEYED and grade.group == "all"
        if msg.maybe_at and not dropped and grade.effect != Effect.IDEMPOTENT:
            self.actions.append(Fail(msg.id))
        else:
            most = (self.s.max_retry_after_ms or 0.0) if self.s.may_advise_retry else 0.0
            advice = max(LEAST_ADVICE_MS, self.closed_for(msg.dest))
            self.actions.append(Refuse(msg.id, min(advice, most)))
        self.end(msg)

    def end(self, msg: Held) -> None:  # answered: the next of its key may go
        self.held.pop(msg.id, None)
        msg.dead = True
        self.unqueue(msg)
        if msg.key and msg.out is None:
            self.leave_line(msg)

    def leave_line(self, msg: Held) -> None:
        line = self.lines[msg.key]
        first = line[0] is msg
        line.remove(msg)
        until = msg.rest_from + (self.s.key_rest_ms or 0.0) if msg.rest_from else 0.0
        if first and until >= self.now:
            self.rests[msg.key] = until
            self.timer(until + 1, self.next_of_key, msg.key)
        elif first and msg.key not in self.rests:
            self.next_of_key(msg.key)

    def next_of_key(self, key: int) -> None:
        if self.rests.get(key, 0.0) > self.now:
            return
        self.rests.pop(key, None)
        line = self.lines.get(key)
        if not line:
            self.lines.pop(key, None)
        elif not line[0].queued and line[0].out is None and not line[0].dead:
            self.enqueue(line[0])

    # Dispatch ----------------------------------------------------------------------------------

    def dispatch(self) -> None:
        """Serve destinations in turn: in aim or under half an even share first, then the fewest calls."""
        heap: list[tuple] = []
        for dest in list(self.active.values()) if self.used < self.s.slots else ():
            self.offer(heap, dest)
        while heap:
            dest = heappop(heap)[-1]
            if self.send_next(dest):
                self.offer(heap, dest)
            elif self.used < self.s.slots:
                del self.active[dest.number]  # until an outcome or a timer there rouses it
        if self.active and self.used >= self.s.slots:
            self.cut_stuck()

    def cut_stuck(self) -> None:  # no slot is left
        """Cut silent calls: all that are lost, and the oldest of a hang; unsafe messages are then failed."""
        most = max(0, self.silents - self.sick_slots) if self.s.may_cancel else 0
        look = [t for t in islice(self.tries.values(), LOOK) if t.call.silent] if self.s.may_cancel else []
        for place, out in enumerate(look):
            if not out.cut and (place < most or self.lost(out.call)):
                out.cut = True
                self.actions.append(Cancel(out.msg.id, out.number))

    def offer(self, heap: list, dest: Dest) -> None:
        if (row := self.head(dest)) is not None:
            # Holds against a busy and slow destination, whose messages in aim would take every slot.
            below = 2 * dest.inflight * len(self.dests) < self.s.slots  # half a share, as demand differs
            heappush(heap, (0 if below else row[0], dest.inflight, row[1], dest.number, dest))
        else:
            del self.active[dest.number]

    def rouse(self, dest: Dest) -> None:  # something changed there: look at it again
        if dest.waiting:
            self.active[dest.number] = dest

    def send_next(self, dest: Dest) -> bool:
        msg = self.head(dest)[4]
        if self.hopeless(msg):
            self.give_up(msg)
            return True
        endpoint, opens = self.choose(dest, msg)
        if endpoint is None:
            if opens < INF and not self.now < dest.wake_at <= opens + WAKE_STEP_MS:
                dest.wake_at = max(opens, self.now) + 1
                self.timer(dest.wake_at, self.rouse, dest)
            return False
        if endpoint.lane.health.state == FAILING and not self.repeatable(msg, self.now):
            # In an outage what may be repeated is tried first: a try that fails may have run.
            able = [
                r
                for r in dest.queue
                if r[3] == r[4].version
                and r[4].zone in (None, endpoint.zone)
                and self.repeatable(r[4], self.now)
                and not self.hopeless(r[4])
            ]
            msg = min(able, default=(msg,))[-1]
        self.send(msg, endpoint)
        return True

    def choose(self, dest: Dest, msg: Held) -> tuple[Endpoint | None, float]:
        """The cheapest endpoint that may be called now, else when one may."""
        best, least, opens = None, INF, INF
        sick = any(lane.health.state == FAILING or lane.slow() for lane in dest.lanes)
        no_slot = self.used >= self.s.slots or dest.inflight >= (self.most_sick if sick else self.most_calls)
        able = [e for lane in dest.lanes for e in lane.endpoints if e.ready and msg.zone in (None, e.zone)]
        able = [e for e in able if not self.avoided(e, msg.cls)] or able
        for endpoint in able:
            at = self.may_send(endpoint, endpoint.lane, no_slot)
            cost = self.cost(endpoint, endpoint.lane, msg) if at <= self.now else INF
            opens = min(opens, at)
            if cost < least:
                best, least = endpoint, cost
        return best, opens

    def avoided(self, endpoint: Endpoint, cls: int) -> bool:
        return cls in endpoint.avoid and endpoint.avoid[cls][0] > self.now

    def may_send(self, endpoint: Endpoint, lane: Lane, no_slot: bool) -> float:
        """When a message may go there; INF where only an outcome can open the way."""
        if lane.wait_until > self.now:
            return lane.wait_until
        if self.joinable(endpoint):
            return 0.0
        if (opens := lane.share.opens(self.now)) > self.now:
            return opens
        # Silent calls keep their slots but not the window: it would stay shut long after a hang.
        if no_slot or lane.inflight - lane.silent >= lane.window:
            return INF
        if lane.health.state == FAILING and self.sick_calls >= self.sick_slots:
            return self.now + TRY_FIRST_MS
        return max(endpoint.rest_until, *(self.opens(endpoint, h) for h in endpoint.healths), 0.0)

    def joinable(self, endpoint: Endpoint) -> bool:  # may one more message join its call of this step?
        most = endpoint.per_call if endpoint.lane.health.state != FAILING else 1
        return endpoint.call is not None and endpoint.call.step == self.steps and endpoint.call.size < most

    def cost(self, endpoint: Endpoint, lane: Lane, msg: Held) -> float:
        """Fees and expected trouble of an endpoint, on one scale (points for a message)."""
        cost = endpoint.fee if len(lane.dest.lanes) > 1 else 0.0
        cost += self.s.cross_price if endpoint.zone != self.s.zone else 0.0
        while endpoint.idle and endpoint.idle[0] < self.now - (self.s.idle_close_ms or INF):
            endpoint.idle.pop(0)
        if not self.joinable(endpoint) and not endpoint.idle:
            cost += self.s.handshake_price or 0.0
        if endpoint is msg.last or lane.health.state != OK:
            cost += 1.0
        aim = self.s.classes[msg.cls].aim_ms or 1.0
        return cost + 0.1 * lane.recent * (1 + endpoint.inflight) / aim

    def send(self, msg: Held, endpoint: Endpoint) -> None:
        lane, dest = endpoint.lane, msg.dest
        call = endpoint.call
        if not self.joinable(endpoint):
            fresh = self.s.classes[msg.cls].effect == Effect.UNSAFE and self.too_old(endpoint, True)
            age = 0.0 if fresh else self.idle_age(endpoint)
            call = endpoint.call = Call(endpoint, self.now, self.steps, age)
            call.fresh = fresh
            self.used += 1
            lane.share.spend()
            call.sick = lane.health.state == FAILING
            self.sick_calls += call.sick
            lane.inflight += 1
            dest.inflight += 1
            endpoint.inflight += 1
            usual = SILENT_MULTIPLE * max(lane.median, lane.recent) * max(1.0, self.ratio(msg.cls))
            usual = max(usual, SILENT_MULTIPLE * self.class_mean[msg.cls][0])
            self.timer(self.now + max(SILENT_LEAST_MS, usual), self.silent, call)
        for health in endpoint.healths:
            if health.state == WARMING:
                health.tokens -= ITEM_WEIGHT if call.size else 1.0
            elif health.state == FAILING and not call.size:
                health.next_try = self.now + self.gap(endpoint, health) * self.random.uniform(0.7, 1.3)
        call.size, call.left = call.size + 1, call.left + 1
        call.classes[msg.cls] = True
        self.unqueue(msg)
        out = msg.out = Try(msg, call, msg.attempts)
        self.tries[msg.id, msg.attempts] = out
        msg.attempts += 1
        msg.last = endpoint
        timeout = msg.expires - self.now
        tau = lane.tau * self.ratio(msg.cls)
        if self.s.may_cancel and tau < timeout:
            self.timer(self.now + tau, self.cut, out)
        self.actions.append(Attempt(msg.id, endpoint.number, timeout, call.fresh))

    def too_old(self, endpoint: Endpoint, unsafe: bool) -> bool:  # even its connection used last?
        return bool(endpoint.idle) and self.now - endpoint.idle[-1] >= self.reuse.most(self.now, unsafe)

    def idle_age(self, endpoint: Endpoint) -> float:
        """Take an idle connection, for how long it was idle; close those that are likely dead."""
        if self.too_old(endpoint, False):
            endpoint.idle.clear()
            self.actions.append(CloseIdle(endpoint.number))
        return self.now - endpoint.idle.pop() if endpoint.idle else 0.0

    # Outcomes ----------------------------------------------------------------------------------

    def outcome(self, event: Outcome) -> None:
        out = self.tries.pop((event.id, event.attempt), None)
        if out is None:
            return
        msg, call, result, out.dead = out.msg, out.call, event.result, True
        lane, msg.out = call.endpoint.lane, None
        left = self.told(lane, event.report)
        self.settle(call, result)
        self.judge(call, result, event.wait, left)
        if result not in (Result.CANCELLED, Result.MOOT):
            self.observe(lane, msg.cls, event.spent if result == Result.OK else INF)
        self.class_here(call.endpoint, msg.cls, result == Result.OK, result in (Result.ERROR, Result.TIMEOUT))
        if result in MAY_RUN:
            msg.maybe_at = msg.maybe_at or call.sent
            if self.s.classes[msg.cls].group == "zone":
                msg.zone = call.endpoint.zone
        if result in RESTING:
            msg.rest_from = self.now
        msg.owed &= result in (Result.CONNECT_FAILED, Result.MOOT)
        self.leave(call.endpoint)
        if msg.dead:
            if msg.key:
                self.leave_line(msg)
        elif event.finished:
            self.end(msg)
        else:
            self.again(msg)

    def told(self, lane: Lane, report: tuple[float, ...]) -> float | None:
        """The share of its allowance that a report tells to be left, if there is a limit."""
        place, limit = self.s.report_left, self.s.report_limit
        if limit is None or len(report) <= limit:
            return None
        lane.limit = report[limit]
        lane.share.told(lane.limit or lane.weight())
        return report[place] if place is not None and len(report) > place and lane.limit > 0 else None

    def class_here(self, endpoint: Endpoint, cls: int, good: bool, bad: bool) -> None:
        """One endpoint may fail a class and serve the others: the class goes elsewhere for a while.

        Holds against an endpoint that fails altogether, too. Hurts after a chance error: others carry more.
        """
        if good:
            endpoint.avoid.pop(cls, None)
        elif bad and not self.avoided(endpoint, cls) and self.has_others(endpoint):
            rest = min(CLASS_REST_MOST_MS, 2 * endpoint.avoid.get(cls, (0.0, CLASS_REST_MS / 2))[1])
            endpoint.avoid[cls] = (self.now + rest, rest)

    def has_others(self, endpoint: Endpoint) -> bool:
        return len(endpoint.lane.dest.lanes) > 1 or len(endpoint.lane.endpoints) > 1

    def settle(self, call: Call, result: Result) -> None:
        call.left -= 1
        if call.left:
            return
        call.dead, endpoint = True, call.endpoint
        self.rouse(endpoint.lane.dest)
        self.used -= 1
        endpoint.inflight -= 1
        endpoint.lane.inflight -= 1
        endpoint.lane.silent -= call.silent
        self.silents -= call.silent
        self.sick_calls -= call.sick
        endpoint.lane.dest.inflight -= 1
        if result in (Result.OK, Result.ERROR, Result.FULL):
            endpoint.idle.append(self.now)
            self.freed.append(endpoint)

    def again(self, msg: Held) -> None:  # not delivered: queue it anew, or give it up
        stale = self.worth(msg, self.now + self.closed_for(msg.dest)) < STALE * self.worth(msg, msg.aim_at)
        if self.now >= msg.expires or stale or msg.attempts >= (self.s.attempts_cap or INF):
            self.give_up(msg)
        else:
            self.watch(msg)
            self.enqueue(msg)
