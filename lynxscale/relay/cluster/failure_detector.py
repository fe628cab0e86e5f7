"""Failure detection of one node: events and the time in, what is to be sent and told out. No I/O, no clock.

Probing, indirect probes and gossip are SWIM's (Das, Gupta, Motivala 2002); that a slow node doubts itself first, that
suspicions run shorter the more nodes share them, and that a suspected node is told at once are Lifeguard's (Dadgar,
Phillips, Currey 2018). Ours, as ``docs/design/cluster.md`` weighs it: a process is believed to be a node only once it
answers at the address that our file has for it; direct probes go again within their period; all that a node sends
for others is bounded.

Times are µs on the loop's clock. States of a node are those of ``sight``; the table of transitions:

    from      by                                                    to
    (none)    it answers at its address, or a rumour                alive, or the rumour's
    alive     no answer to a whole probe; a rumour                  suspect
    suspect   a higher word of its own                              alive
    suspect   the suspicion has run out                             failed
    failed    a higher word of its own, or a higher life            alive
    any       its word that it leaves                               left
    left      a higher life                                         alive
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from lynxscale.relay.cluster import frame
from lynxscale.relay.cluster.frame import Ack, Ask, Message, Nack, Ping, Tell
from lynxscale.relay.cluster.membership_table import Change, Identity, Known, Rumour, Sight, State

LIVING = (State.ALIVE, State.SUSPECT)


@dataclass(frozen=True, slots=True)
class Timing:
    """µs, unless they are counts. ``period`` and what hangs on it stretch as the node doubts itself."""

    period: int = 500_000  # one probe in each
    direct: int = 120_000  # until a probe goes again, and by way of others
    again: int = 250_000  # between pings of a node that is suspected
    helpers: int = 3  # asked for an indirect probe
    least: int = 1_500_000  # of a suspicion that enough others share
    most: int = 4_500_000  # of one that nobody shares
    shared: int = 3  # others that are enough
    doubt_most: int = 4  # by how many periods at most a node stretches its own
    pause: int = 700_000  # a turn that comes so much late: the process stood still
    far_every: int = 2_000_000  # between pings of nodes that are failed, left or not heard of yet
    swap_every: int = 30_000_000  # between exchanges of the whole sight, at 32 nodes; longer with more
    far_swap: int = 10_000_000  # the same with a node that is failed or not heard of yet
    first_swap: int = 500_000  # while nobody has answered
    spread: int = 4  # times log2 of the nodes that one rumour is sent
    hurry: int = 100_000  # between two rounds of news that do not wait for a probe
    hurry_to: int = 2


class Send(NamedTuple):
    """A datagram."""

    to: str
    body: frame.Body
    news: tuple[Rumour, ...]


class Swap(NamedTuple):
    """Exchange the whole sight with that node, on TCP."""

    to: str


class Told(NamedTuple):
    """For the log, once a change."""

    event: str
    fields: dict[str, Any]


class Renew(NamedTuple):
    """Others know of a later life of this node: it is to begin one above ``life``, once that is on disk."""

    life: int


Action = Send | Swap | Told | Renew

# Why a node says that it is slow, as bits of a frame's head.
SLOW_TURN, SLOW_DISK = 1, 2
SLOW = {SLOW_TURN: "turns", SLOW_DISK: "disk"}


def slow_words(bits: int) -> str:
    """The reasons in words."""
    return " ".join(word for bit, word in SLOW.items() if bits & bit)


@dataclass(slots=True)
class _Probe:
    target: str
    number: int
    until: int
    step_at: int  # when it goes again
    asked: set[str] = field(default_factory=set)
    answered: set[str] = field(default_factory=set)  # helpers that have said anything


@dataclass(slots=True)
class _Errand:
    """An indirect probe for another node."""

    origin: str
    number: int  # the origin's
    target: str
    nack_at: int
    until: int


class Detector:
    """One node's. ``settled`` tells whether anybody has answered it in this life."""

    def __init__(self, me: Identity, names: Iterable[str], seed: str, now: int, timing: Timing | None = None) -> None:
        self.me, self.word, self.slow = me, 0, 0
        self.sight = Sight(set(names) | {me.name})
        self.timing = timing or Timing()
        self.doubt = 0  # of itself: 0 is healthy
        self.settled = self.leaving = False
        self.answered: dict[str, int] = {}  # when each last answered a probe of ours, directly
        self.slowness: dict[str, int] = {}  # what others say of themselves, as bits of SLOW
        self._chance = random.Random(f"{seed} {me.name} cluster")
        self._number = self._chance.randrange(1 << 16)
        self._ring: list[str] = []
        self._probe: _Probe | None = None
        self._errands: dict[int, _Errand] = {}
        self._asked_who: dict[int, tuple[str, int]] = {}  # pings that only ask who is there, until when
        self._who_at: dict[str, int] = {}
        self._news: dict[str, list] = {}  # rumour, times sent
        self._doubted: dict[str, int] = {}  # suspects, and when each is pinged again
        self._strangers: dict[str, Identity] = {}  # whose frames come, but who does not answer at the address
        self._hurried = now - self.timing.hurry
        self._next = now + self._chance.randrange(1, self.timing.period)
        self._far_at = now
        self._swap_at = now + self._chance.randrange(1, self.timing.first_swap)
        self._far_swap_at = now + self.timing.far_swap
        self._begun, self._due, self._last = now, math.inf, now
        self._out: list[Action] = []
        self.sight.merge(self._own(), now)

    # What others ask -----------------------------------------------------------------------------

    def due(self) -> int:
        """When ``tick`` is wanted next, at the latest."""
        return int(self._due) if self._due < math.inf else self._next_due()

    def _next_due(self) -> int:
        times = [
            self._next,
            self._far_at,
            self._swap_at,
            *self._doubted.values(),
            *(errand.nack_at for errand in self._errands.values()),
        ]
        if self._probe is not None:
            times.append(min(self._probe.step_at, self._probe.until))
        times += [self._runs_out(known) for known in self.sight if known.rumour.state is State.SUSPECT]
        return min(times)

    def whole(self) -> tuple[Rumour, ...]:
        """Every rumour that it holds, its own first."""
        others = (known.rumour for known in self.sight if known.rumour.name != self.me.name)
        return (self._own(), *others)

    def living(self) -> list[str]:
        """The others that are believed to be there, suspects too, by name."""
        return sorted(
            known.rumour.name
            for known in self.sight
            if known.rumour.state in LIVING and known.rumour.name != self.me.name
        )

    # Events --------------------------------------------------------------------------------------

    def tick(self, now: int) -> list[Action]:
        """The time has come to look."""
        self._wake(now)
        self._run_errands(now)
        self._run_suspicions(now)
        self._run_probe(now)
        if now >= self._next:
            self._begin_probe(now)
        if now >= self._far_at:
            self._ping_far(now)
        if now >= self._swap_at:
            self._swap(now)
        return self._done(now)

    def heard(self, now: int, message: Message, reached: bool = True) -> list[Action]:
        """A frame of another node. ``reached``: it came to our address, and not as an answer on our own connection."""
        self._wake(now)
        frm = message.frm
        if frm not in self.sight.names or frm == self.me.name:
            return self._done(now)
        who = Identity(frm, message.life, message.boot)
        known = self.sight.get(frm)
        if known is not None and known.rumour.who == who:
            self._merge(Rumour(*who, message.word, State.ALIVE), now)
            self._slowness(frm, message.slow)
        for news in message.news:
            if news.name != frm:  # what it says of itself stands in the frame's head
                self._rumour(news, now, reached)
            elif news.state is State.LEFT and known is not None and known.rumour.who == who:
                self._merge(news, now)
        self._body(now, message, who)
        known = self.sight.get(frm)
        if known is None or who[1:] > known.rumour.who[1:]:
            self._ask_who(now, who)
        return self._done(now)

    def listed(self, now: int, members: Iterable[Identity]) -> list[Action]:
        """A view has these lives: a majority has reached them. Until a probe says otherwise they are there."""
        self._wake(now)
        for who in members:
            if who.name != self.me.name:
                self._merge(Rumour(*who, 0, State.ALIVE), now)
        return self._done(now)

    def swapped(self, now: int, failed: bool) -> list[Action]:
        """An exchange that was asked for is over."""
        if not failed:
            self.settled = True
        return []

    def renew(self, now: int, life: int) -> list[Action]:
        """A new life of this very process, which is on disk by now."""
        self.me, self.word = self.me._replace(life=life), 0
        self._merge(self._own(), now)
        self._spread(self._own())
        return self._done(now)

    def rename(self, now: int, names: Iterable[str]) -> list[Action]:
        """Another configuration names these nodes."""
        for name in self.sight.rename(set(names) | {self.me.name}):
            for table in (self._news, self._doubted, self.answered, self.slowness, self._strangers, self._who_at):
                table.pop(name, None)
            if self._probe is not None and self._probe.target == name:
                self._probe = None
        self._ring = []
        self._far_at = now
        return self._done(now)

    def leave(self, now: int) -> list[Action]:
        """This process ends: nobody is to suspect it."""
        self.leaving = True
        self._merge(self._own(), now)
        there = self.living()
        for name in self._chance.sample(there, min(len(there), 8)):
            self._out += [self._send(name, Tell(), (self._own(),))] * 2
        return self._done(now)

    # Ourselves -----------------------------------------------------------------------------------

    def _own(self) -> Rumour:
        return Rumour(*self.me, self.word, State.LEFT if self.leaving else State.ALIVE)

    def _wake(self, now: int) -> None:
        """Did the process stand still? Then nobody is to blame for what was not heard meanwhile."""
        late = now - max(self._due, self._last)
        self._last = now
        if late <= self.timing.pause:
            return
        self._probe = None
        self._errands.clear()
        for known in self.sight:
            if known.rumour.state is State.SUSPECT:
                known.since += late
        self._doubt_more(2)
        self._speak(self.word + 1, now)
        self._next = now + self._chance.randrange(1, self.timing.period)
        self._out.append(Told("paused", {"ms": late // 1000}))

    def _speak(self, word: int, now: int) -> None:
        """A higher word of ours."""
        self.word = word
        self._merge(self._own(), now)
        self._spread(self._own())

    def _doubt_more(self, by: int) -> None:
        before = self.doubt
        self.doubt = max(0, min(self.timing.doubt_most, self.doubt + by))
        if (self.doubt == self.timing.doubt_most) != (before == self.timing.doubt_most):
            self._out.append(Told("doubts_itself", {"doubt": self.doubt, "before": before}))

    # Rumours -------------------------------------------------------------------------------------

    def _rumour(self, rumour: Rumour, now: int, reached: bool) -> None:
        if rumour.name != self.me.name:
            self._merge(rumour, now)
        elif rumour.who == self.me:
            if rumour.state in (State.SUSPECT, State.FAILED) and rumour.word >= self.word and not self.leaving:
                self._doubt_more(1)
                self._out.append(Told("refuted", {"state": rumour.state.name.lower(), "by": rumour.by}))
                self._speak(rumour.word + 1, now)
        elif rumour.who[1:] > self.me[1:] and reached:
            # Only the process at our address is reached: another one under our name must not answer with a higher
            # life of its own, or the two would climb over each other for ever.
            self._out.append(Renew(rumour.life))

    def _merge(self, rumour: Rumour, now: int) -> None:
        known = self.sight.get(rumour.name)
        doubters = len(known.doubters) if known is not None else 0
        change = self.sight.merge(rumour, now)
        if change is None:
            if known is not None and len(known.doubters) > doubters and len(known.doubters) <= self.timing.shared + 1:
                self._spread(rumour)  # one more who suspects it, of its own accord
            return
        self._spread(rumour)
        self._changed(change, now)

    def _changed(self, change: Change, now: int) -> None:
        name, state = change.now.name, change.now.state
        if name == self.me.name:
            return
        if state is State.SUSPECT:
            self._doubted.setdefault(name, now)
        else:
            self._doubted.pop(name, None)
        if state is State.ALIVE:
            self._strangers.pop(name, None)
        if change.before is None or change.now.who != change.before.who:
            self.answered.pop(name, None)
        if change.shown:
            before = change.before
            self._out.append(
                Told(
                    "node",
                    {
                        "node": name,
                        "state": state.name.lower(),
                        "before": before.state.name.lower() if before else "unheard",
                        "life": change.now.life,
                        "word": change.now.word,
                        "by": change.now.by,
                    },
                )
            )

    def _spread(self, rumour: Rumour) -> None:
        self._news[rumour.name] = [rumour, 0]

    def _take_news(self, first: Iterable[Rumour], room: int) -> tuple[Rumour, ...]:
        """What goes along with a datagram: ``first`` in any case, then what was sent the least often."""
        taken = {rumour.name: rumour for rumour in first}
        room -= sum(map(_size, taken.values()))
        most = self.timing.spread * math.ceil(math.log2(len(self.sight.names) + 1))
        for name, row in sorted(self._news.items(), key=lambda item: item[1][1]):
            if name in taken:
                continue
            room -= _size(row[0])
            if room < 0:
                break
            taken[name] = row[0]
            row[1] += 1
            if row[1] >= most:
                del self._news[name]
        return tuple(taken.values())

    def _send(self, to: str, body: frame.Body, first: Iterable[Rumour] = ()) -> Send:
        """A datagram; who is suspected, failed or known by a later life hears so with it."""
        known = self.sight.get(to)
        if known is not None and (known.rumour.state is not State.ALIVE or to in self._strangers):
            first = (*first, known.rumour)
        return Send(to, body, self._take_news(first, frame.DATAGRAM_MOST - HEAD_MOST))

    def _done(self, now: int) -> list[Action]:
        """All that came of an event; news that do not wait go to some others at once."""
        fresh = any(not row[1] for row in self._news.values())
        if fresh and now - self._hurried >= self.timing.hurry:
            self._hurried = now
            there = self.living()
            for name in self._chance.sample(there, min(len(there), self.timing.hurry_to)):
                self._out.append(self._send(name, Tell()))
        self._due = self._next_due()
        out, self._out = self._out, []
        return out

    # Probes --------------------------------------------------------------------------------------

    def _new_number(self) -> int:
        self._number = (self._number + 1) & 0xFFFFFFFF
        return self._number

    def _stretched(self, micros: int) -> int:
        return micros * (1 + self.doubt)

    def _begin_probe(self, now: int) -> None:
        if self._probe is not None:
            self._probe_failed(now)
        period = int(self._stretched(self.timing.period) * self._chance.uniform(0.9, 1.1))
        self._next = now + period
        target = self._pick()
        if target is None:
            return
        probe = self._probe = _Probe(target, self._new_number(), self._next, now + self._stretched(self.timing.direct))
        self._out.append(self._send(target, Ping(probe.number)))

    def _pick(self) -> str | None:
        """The next in turn; each once in a round, in an order of this node's own."""
        for _ in range(2):
            while self._ring:
                name = self._ring.pop()
                if self.sight.state(name) in LIVING:
                    return name
            self._ring = self.living()
            self._chance.shuffle(self._ring)
        return None

    def _run_probe(self, now: int) -> None:
        probe = self._probe
        if probe is None:
            return
        if now >= probe.until:
            self._probe_failed(now)
        elif now >= probe.step_at:
            probe.step_at = now + self._stretched(self.timing.direct)
            self._out.append(self._send(probe.target, Ping(probe.number)))
            others = [name for name in self.living() if name != probe.target and name not in probe.asked]
            for name in self._chance.sample(others, min(len(others), self.timing.helpers)):
                probe.asked.add(name)
                self._out.append(self._send(name, Ask(probe.number, probe.target)))

    def _probe_failed(self, now: int) -> None:
        """Nobody has reached it. Who hears little from its helpers too doubts itself."""
        probe, self._probe = self._probe, None
        self._doubt_more(len(probe.asked - probe.answered) if probe.asked else 1)
        known = self.sight.get(probe.target)
        if known is None or known.rumour.state is not State.ALIVE:
            if known is not None and known.rumour.state is State.SUSPECT:
                self._merge(known.rumour._replace(by=self.me.name), now)
            return
        self._merge(known.rumour._replace(state=State.SUSPECT, by=self.me.name), now)
        self._out.append(Swap(probe.target))  # where datagrams alone are lost it hears of it so

    def _acked(self, now: int, ack: Ack, frm: str) -> None:
        probe = self._probe
        asked = self._asked_who.pop(ack.probe, None)
        ours = probe is not None and probe.number == ack.probe and probe.target == ack.node
        if not ours and (asked is None or asked[0] != ack.node):
            return
        who = Identity(ack.node, ack.life, ack.boot)
        known = self.sight.get(ack.node)
        self.settled = True
        if known is None or who[1:] > known.rumour.who[1:]:
            self._merge(Rumour(*who, 0, State.ALIVE), now)
        if frm == ack.node:
            self.answered[ack.node] = now
        stranger = self._strangers.get(ack.node)
        if stranger is not None and stranger[1:] > who[1:]:
            self._out.append(
                Told("stranger", {"node": ack.node, "boot": f"{stranger.boot:x}", "answers": f"{ack.boot:x}"})
            )
            del self._strangers[ack.node]
        if ours:
            self._probe = None
            self._doubt_more(-1)

    def _ask_who(self, now: int, who: Identity) -> None:
        """Frames come in the name of a process that nobody has reached: who answers at the address?"""
        if now - self._who_at.get(who.name, now - self.timing.again) < self.timing.again:
            return
        self._who_at[who.name] = now
        self._strangers[who.name] = who
        self._ping_once(who.name, now)

    def _ping_once(self, name: str, now: int) -> None:
        number = self._new_number()
        self._asked_who = {key: row for key, row in self._asked_who.items() if row[1] > now}
        self._asked_who[number] = (name, now + self.timing.period * 4)
        self._out.append(self._send(name, Ping(number)))

    def _slowness(self, name: str, bits: int) -> None:
        before = self.slowness.get(name, 0)
        if bits != before:
            self.slowness[name] = bits
            self._out.append(
                Told(
                    "slow",
                    {"node": name, "by": slow_words(bits) or "nothing", "before": slow_words(before) or "nothing"},
                )
            )

    def _body(self, now: int, message: Message, who: Identity) -> None:
        body, frm = message.body, message.frm
        if isinstance(body, Ping):
            known = self.sight.get(frm)
            first = [known.rumour] if known is not None and known.rumour.who != who else []
            self._out.append(self._send(frm, Ack(body.probe, *self.me), first))
        elif isinstance(body, Ack):
            if body.node == frm and (errand := self._errands.pop(body.probe, None)) is not None:
                if errand.target == frm:
                    self._out.append(self._send(errand.origin, Ack(errand.number, body.node, body.life, body.boot)))
                    self.answered[frm] = now
                return
            if self._probe is not None:
                self._probe.answered.add(frm)
            self._acked(now, body, frm)
        elif isinstance(body, Ask):
            if body.node in self.sight.names and body.node != self.me.name and len(self._errands) < ERRANDS_MOST:
                number = self._new_number()
                self._errands[number] = _Errand(
                    frm, body.probe, body.node, now + self.timing.direct, now + self.timing.period * 2
                )
                self._out.append(self._send(body.node, Ping(number, frm)))
        elif isinstance(body, Nack) and self._probe is not None and self._probe.number == body.probe:
            self._probe.answered.add(frm)

    def _run_errands(self, now: int) -> None:
        for number, errand in list(self._errands.items()):
            if now >= errand.until:
                del self._errands[number]
            elif now >= errand.nack_at:
                errand.nack_at = errand.until
                self._out.append(self._send(errand.origin, Nack(errand.number)))
                self._out.append(self._send(errand.target, Ping(number, errand.origin)))

    # Suspicions ----------------------------------------------------------------------------------

    def _runs_out(self, known: Known) -> int:
        """When a suspicion becomes a failure: the sooner the more others share it (Lifeguard, section IV.B)."""
        timing = self.timing
        there = 1 + len(self.living())
        enough = max(0, min(timing.shared, there - 2))
        scale = max(1.0, math.log10(max(1, there)))
        least, most = timing.least * scale, timing.most * scale
        shared = max(0, len(known.doubters) - 1)
        by_others = math.log(shared + 1) / math.log(enough + 1) if enough else 0.0
        span = max(least, most - (most - least) * by_others)
        return known.since + int(span * (1 + self.doubt / 2))

    def _run_suspicions(self, now: int) -> None:
        for known in list(self.sight):
            rumour = known.rumour
            if rumour.state is not State.SUSPECT or rumour.name == self.me.name:
                continue
            if now >= self._runs_out(known):
                self._merge(rumour._replace(state=State.FAILED, by=self.me.name), now)
            elif now >= self._doubted.get(rumour.name, now):
                self._doubted[rumour.name] = now + self.timing.again
                self._ping_once(rumour.name, now)

    # Those that are far --------------------------------------------------------------------------

    def _far(self) -> list[str]:
        return sorted(
            name for name in self.sight.names if name != self.me.name and self.sight.state(name) not in LIVING
        )

    def _ping_far(self, now: int) -> None:
        """One that is failed, left or unheard of: it may be back, or the cut between us over."""
        self._far_at = now + int(self.timing.far_every * self._chance.uniform(0.9, 1.1))
        far = self._far()
        young = now - self._begun < self.timing.far_swap
        if young and any(self.sight.state(name) is None for name in far):
            self._far_at = now + self.timing.first_swap
        if far:
            self._ping_once(self._chance.choice(far), now)

    def _swap(self, now: int) -> None:
        there, far = self.living(), self._far()
        scale = max(1.0, len(self.sight.names) / 32)
        if not self.settled and far:
            self._swap_at = now + int(self.timing.first_swap * self._chance.uniform(0.8, 1.2))
            self._out.append(Swap(self._chance.choice(far)))
            return
        self._swap_at = now + int(self.timing.far_swap * scale * self._chance.uniform(0.8, 1.2))
        if far and now >= self._far_swap_at:
            self._far_swap_at = now + self.timing.far_swap
            self._out.append(Swap(self._chance.choice(far)))
        elif there and self._chance.random() < self.timing.far_swap / self.timing.swap_every:
            self._out.append(Swap(self._chance.choice(there)))


HEAD_MOST = 260  # bytes of a datagram without its news, at most
ERRANDS_MOST = 64  # indirect probes for others under way


def _size(rumour: Rumour) -> int:
    """Bytes of a rumour in a frame, at most."""
    return 36 + len(rumour.name.encode()) + len(rumour.by.encode())
