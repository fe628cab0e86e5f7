"""Failure detection of one node: events and the time in, instructions out. No I/O, no clock.

Probing, indirect probes and gossip are SWIM's (Das, Gupta, Motivala 2002). The local health score, by which a slow node
stretches its own timeouts first, suspicion timeouts that shrink as more nodes confirm a suspicion, and telling a
suspected node at once are Lifeguard's (Dadgar, Phillips, Currey 2018). Ours, as ``docs/design/cluster.md`` weighs it: a
process is believed to be a node only once it answers at the node's configured address; direct probes are retried
within their period; all that a node sends on behalf of others is bounded.

Times are µs on the loop's clock. The table of state transitions of a node:

    from      by                                                    to
    (none)    it answers at its address, or an update               alive, or the update's
    alive     no answer to a probe, direct or indirect; an update   suspect
    suspect   a higher incarnation                                  alive
    suspect   the suspicion has timed out                           failed
    failed    a higher incarnation or generation                    alive
    any       its own announcement that it leaves                   left
    left      a higher generation                                   alive
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from lynxscale.relay.cluster import frame
from lynxscale.relay.cluster.frame import Ack, Gossip, Message, Nack, Ping, PingRequest
from lynxscale.relay.cluster.instructions import (
    DetectorInstruction,
    LogEvent,
    SendDatagram,
    StartExchange,
    StartGeneration,
)
from lynxscale.relay.cluster.membership_table import (
    Identity,
    MemberRecord,
    MembershipTable,
    MemberUpdate,
    State,
    StateChange,
)
from lynxscale.relay.cluster.timing import DetectorTiming

REACHABLE_STATES = (State.ALIVE, State.SUSPECT)


# Why a node says that it is slow, as bits of a frame's head.
SLOW_TURN, SLOW_DISK = 1, 2
SLOW_REASONS = {SLOW_TURN: "turns", SLOW_DISK: "disk"}


def slow_reasons(bits: int) -> str:
    """The reasons as text for logs and status."""
    return " ".join(reason for bit, reason in SLOW_REASONS.items() if bits & bit)


@dataclass(slots=True)
class _Probe:
    target: str
    number: int
    deadline: int
    retry_at: int  # when it goes again
    asked: set[str] = field(default_factory=set)
    answered: set[str] = field(default_factory=set)  # helpers that have said anything


@dataclass(slots=True)
class _RelayedProbe:
    """An indirect probe for another node."""

    origin: str
    number: int  # the origin's
    target: str
    nack_at: int
    deadline: int


class FailureDetector:
    """One node's failure detector. ``contacted``: some node has answered it in this generation."""

    def __init__(
        self, me: Identity, names: Iterable[str], seed: str, now: int, timing: DetectorTiming | None = None
    ) -> None:
        self.me, self.incarnation, self.slow = me, 0, 0
        self.membership = MembershipTable(set(names) | {me.name})
        self.timing = timing or DetectorTiming()
        self.health_score = 0  # of itself: 0 is healthy
        self.contacted = self.leaving = False
        self.last_answered: dict[str, int] = {}  # when each last answered a probe of ours, directly
        self.peer_slowness: dict[str, int] = {}  # what others say of themselves, as bits of SLOW
        self._random = random.Random(f"{seed} {me.name} cluster")
        self._number = self._random.randrange(1 << 16)
        self._probe_order: list[str] = []
        self._probe: _Probe | None = None
        self._relayed_probes: dict[int, _RelayedProbe] = {}
        self._identity_pings: dict[int, tuple[str, int]] = {}  # pings that only ask who is there, until when
        self._identity_ping_at: dict[str, int] = {}
        self._update_queue: dict[str, list] = {}  # by node: update, times sent
        self._suspect_ping_at: dict[str, int] = {}  # suspects, and when each is pinged again
        self._unconfirmed: dict[str, Identity] = {}  # whose frames come, but who does not answer at the address
        self._last_gossip_at = now - self.timing.gossip_interval
        self._next_probe_at = now + self._random.randrange(1, self.timing.probe_period)
        self._next_unreachable_ping_at = now
        self._next_exchange_at = now + self._random.randrange(1, self.timing.initial_exchange_interval)
        self._next_unreachable_exchange_at = now + self.timing.unreachable_exchange_interval
        self._started_at, self._next_tick_at, self._last_event_at = now, math.inf, now
        self._instructions: list[DetectorInstruction] = []
        self.membership.merge(self._own_update(), now)

    # Queries -------------------------------------------------------------------------------------

    def next_deadline(self) -> int:
        """Time (µs) at which ``tick`` has to be called, at the latest."""
        return int(self._next_tick_at) if self._next_tick_at < math.inf else self._earliest_deadline()

    def _earliest_deadline(self) -> int:
        times = [
            self._next_probe_at,
            self._next_unreachable_ping_at,
            self._next_exchange_at,
            *self._suspect_ping_at.values(),
            *(relayed.nack_at for relayed in self._relayed_probes.values()),
        ]
        if self._probe is not None:
            times.append(min(self._probe.retry_at, self._probe.deadline))
        times += [
            self._suspicion_deadline(record) for record in self.membership if record.update.state is State.SUSPECT
        ]
        return min(times)

    def full_state(self) -> tuple[MemberUpdate, ...]:
        """Every known update, its own first."""
        others = (record.update for record in self.membership if record.update.name != self.me.name)
        return (self._own_update(), *others)

    def reachable(self) -> list[str]:
        """Names of the other nodes that are alive or suspected, sorted."""
        return sorted(
            record.update.name
            for record in self.membership
            if record.update.state in REACHABLE_STATES and record.update.name != self.me.name
        )

    # Events --------------------------------------------------------------------------------------

    def tick(self, now: int) -> list[DetectorInstruction]:
        """Run whatever is due."""
        self._check_pause(now)
        self._run_relayed_probes(now)
        self._run_suspicions(now)
        self._run_probe(now)
        if now >= self._next_probe_at:
            self._begin_probe(now)
        if now >= self._next_unreachable_ping_at:
            self._ping_unreachable(now)
        if now >= self._next_exchange_at:
            self._start_exchange(now)
        return self._take_instructions(now)

    def receive(self, now: int, message: Message, reached: bool = True) -> list[DetectorInstruction]:
        """A frame of another node. ``reached``: it came to our address, and not as an answer on our own connection."""
        self._check_pause(now)
        sender = message.sender
        if sender not in self.membership.names or sender == self.me.name:
            return self._take_instructions(now)
        identity = Identity(sender, message.generation, message.boot)
        record = self.membership.get(sender)
        if record is not None and record.update.identity == identity:
            self._merge(MemberUpdate(*identity, message.incarnation, State.ALIVE), now)
            self._observe_slowness(sender, message.slow)
        for update in message.updates:
            if update.name != sender:  # what it says of itself stands in the frame's head
                self._receive_update(update, now, reached)
            elif update.state is State.LEFT and record is not None and record.update.identity == identity:
                self._merge(update, now)
        self._receive_body(now, message, identity)
        record = self.membership.get(sender)
        if record is None or identity[1:] > record.update.identity[1:]:
            self._ping_identity(now, identity)
        return self._take_instructions(now)

    def view_installed(self, now: int, members: Iterable[Identity]) -> list[DetectorInstruction]:
        """A view has these members: a majority has reached them. They are alive until a probe fails."""
        self._check_pause(now)
        for identity in members:
            if identity.name != self.me.name:
                self._merge(MemberUpdate(*identity, 0, State.ALIVE), now)
        return self._take_instructions(now)

    def exchange_finished(self, now: int, failed: bool) -> list[DetectorInstruction]:
        """An exchange started by this node has ended."""
        if not failed:
            self.contacted = True
        return []

    def renew(self, now: int, generation: int) -> list[DetectorInstruction]:
        """A new generation of this process, which is on disk."""
        self.me, self.incarnation = self.me._replace(generation=generation), 0
        self._merge(self._own_update(), now)
        self._enqueue_update(self._own_update())
        return self._take_instructions(now)

    def reconfigure(self, now: int, names: Iterable[str]) -> list[DetectorInstruction]:
        """The configuration has changed: these are the nodes."""
        for name in self.membership.reconfigure(set(names) | {self.me.name}):
            for table in (
                self._update_queue,
                self._suspect_ping_at,
                self.last_answered,
                self.peer_slowness,
                self._unconfirmed,
                self._identity_ping_at,
            ):
                table.pop(name, None)
            if self._probe is not None and self._probe.target == name:
                self._probe = None
        self._probe_order = []
        self._next_unreachable_ping_at = now
        return self._take_instructions(now)

    def leave(self, now: int) -> list[DetectorInstruction]:
        """Graceful shutdown: announce it, so that nobody suspects this node."""
        self.leaving = True
        self._merge(self._own_update(), now)
        there = self.reachable()
        for name in self._random.sample(there, min(len(there), 8)):
            self._instructions += [self._send(name, Gossip(), (self._own_update(),))] * 2
        return self._take_instructions(now)

    # Ourselves -----------------------------------------------------------------------------------

    def _own_update(self) -> MemberUpdate:
        return MemberUpdate(*self.me, self.incarnation, State.LEFT if self.leaving else State.ALIVE)

    def _check_pause(self, now: int) -> None:
        """Did the process stand still? Then missing answers are not held against other nodes."""
        late = now - max(self._next_tick_at, self._last_event_at)
        self._last_event_at = now
        if late <= self.timing.pause_threshold:
            return
        self._probe = None
        self._relayed_probes.clear()
        for record in self.membership:
            if record.update.state is State.SUSPECT:
                record.since += late
        self._adjust_health_score(2)
        self._raise_incarnation(self.incarnation + 1, now)
        self._next_probe_at = now + self._random.randrange(1, self.timing.probe_period)
        self._instructions.append(LogEvent("paused", {"ms": late // 1000}))

    def _raise_incarnation(self, incarnation: int, now: int) -> None:
        """Raise this node's incarnation and spread it."""
        self.incarnation = incarnation
        self._merge(self._own_update(), now)
        self._enqueue_update(self._own_update())

    def _adjust_health_score(self, by: int) -> None:
        before = self.health_score
        self.health_score = max(0, min(self.timing.health_score_max, self.health_score + by))
        if (self.health_score == self.timing.health_score_max) != (before == self.timing.health_score_max):
            self._instructions.append(LogEvent("doubts_itself", {"doubt": self.health_score, "before": before}))

    # Updates -------------------------------------------------------------------------------------

    def _receive_update(self, update: MemberUpdate, now: int, reached: bool) -> None:
        if update.name != self.me.name:
            self._merge(update, now)
        elif update.identity == self.me:
            if (
                update.state in (State.SUSPECT, State.FAILED)
                and update.incarnation >= self.incarnation
                and not self.leaving
            ):
                self._adjust_health_score(1)
                self._instructions.append(LogEvent("refuted", {"state": update.state.name.lower(), "by": update.by}))
                self._raise_incarnation(update.incarnation + 1, now)
        elif update.identity[1:] > self.me[1:] and reached:
            # Only the process at our address is reached: another one under our name must not answer with a higher
            # generation of its own, or the two would outbid each other for ever.
            self._instructions.append(StartGeneration(update.generation))

    def _merge(self, update: MemberUpdate, now: int) -> None:
        record = self.membership.get(update.name)
        suspected_by = len(record.suspected_by) if record is not None else 0
        change = self.membership.merge(update, now)
        if change is None:
            if (
                record is not None
                and len(record.suspected_by) > suspected_by
                and len(record.suspected_by) <= self.timing.suspicion_confirmations + 1
            ):
                self._enqueue_update(update)  # one more who suspects it, of its own accord
            return
        self._enqueue_update(update)
        self._state_changed(change, now)

    def _state_changed(self, change: StateChange, now: int) -> None:
        name, state = change.now.name, change.now.state
        if name == self.me.name:
            return
        if state is State.SUSPECT:
            self._suspect_ping_at.setdefault(name, now)
        else:
            self._suspect_ping_at.pop(name, None)
        if state is State.ALIVE:
            self._unconfirmed.pop(name, None)
        if change.before is None or change.now.identity != change.before.identity:
            self.last_answered.pop(name, None)
        if change.reportable:
            before = change.before
            self._instructions.append(
                LogEvent(
                    "node",
                    {
                        "node": name,
                        "state": state.name.lower(),
                        "before": before.state.name.lower() if before else "unheard",
                        "life": change.now.generation,
                        "word": change.now.incarnation,
                        "by": change.now.by,
                    },
                )
            )

    def _enqueue_update(self, update: MemberUpdate) -> None:
        self._update_queue[update.name] = [update, 0]

    def _piggyback(self, first: Iterable[MemberUpdate], room: int) -> tuple[MemberUpdate, ...]:
        """What goes along with a datagram: ``first`` in any case, then what was sent the least often."""
        taken = {update.name: update for update in first}
        room -= sum(map(_encoded_size, taken.values()))
        most = self.timing.retransmit_multiplier * math.ceil(math.log2(len(self.membership.names) + 1))
        for name, entry in sorted(self._update_queue.items(), key=lambda item: item[1][1]):
            if name in taken:
                continue
            room -= _encoded_size(entry[0])
            if room < 0:
                break
            taken[name] = entry[0]
            entry[1] += 1
            if entry[1] >= most:
                del self._update_queue[name]
        return tuple(taken.values())

    def _send(self, to: str, body: frame.Body, first: Iterable[MemberUpdate] = ()) -> SendDatagram:
        """A datagram; a target that is suspected, failed or superseded is sent that update with it."""
        record = self.membership.get(to)
        if record is not None and (record.update.state is not State.ALIVE or to in self._unconfirmed):
            first = (*first, record.update)
        return SendDatagram(to, body, self._piggyback(first, frame.DATAGRAM_MOST - MAX_HEADER_SIZE))

    def _take_instructions(self, now: int) -> list[DetectorInstruction]:
        """All instructions of an event; updates not sent so far are gossiped at once."""
        fresh = any(not entry[1] for entry in self._update_queue.values())
        if fresh and now - self._last_gossip_at >= self.timing.gossip_interval:
            self._last_gossip_at = now
            there = self.reachable()
            for name in self._random.sample(there, min(len(there), self.timing.gossip_fanout)):
                self._instructions.append(self._send(name, Gossip()))
        self._next_tick_at = self._earliest_deadline()
        out, self._instructions = self._instructions, []
        return out

    # Probes --------------------------------------------------------------------------------------

    def _new_number(self) -> int:
        self._number = (self._number + 1) & 0xFFFFFFFF
        return self._number

    def _scaled(self, micros: int) -> int:
        return micros * (1 + self.health_score)

    def _begin_probe(self, now: int) -> None:
        if self._probe is not None:
            self._probe_failed(now)
        period = int(self._scaled(self.timing.probe_period) * self._random.uniform(0.9, 1.1))
        self._next_probe_at = now + period
        target = self._next_target()
        if target is None:
            return
        probe = self._probe = _Probe(
            target, self._new_number(), self._next_probe_at, now + self._scaled(self.timing.probe_timeout)
        )
        self._instructions.append(self._send(target, Ping(probe.number)))

    def _next_target(self) -> str | None:
        """The next node in a randomised round-robin order (SWIM, section 4.3)."""
        for _ in range(2):
            while self._probe_order:
                name = self._probe_order.pop()
                if self.membership.state(name) in REACHABLE_STATES:
                    return name
            self._probe_order = self.reachable()
            self._random.shuffle(self._probe_order)
        return None

    def _run_probe(self, now: int) -> None:
        probe = self._probe
        if probe is None:
            return
        if now >= probe.deadline:
            self._probe_failed(now)
        elif now >= probe.retry_at:
            probe.retry_at = now + self._scaled(self.timing.probe_timeout)
            self._instructions.append(self._send(probe.target, Ping(probe.number)))
            others = [name for name in self.reachable() if name != probe.target and name not in probe.asked]
            for name in self._random.sample(others, min(len(others), self.timing.indirect_probes)):
                probe.asked.add(name)
                self._instructions.append(self._send(name, PingRequest(probe.number, probe.target)))

    def _probe_failed(self, now: int) -> None:
        """No answer, direct or indirect. Missing answers of the helpers count against this node's own health."""
        probe, self._probe = self._probe, None
        self._adjust_health_score(len(probe.asked - probe.answered) if probe.asked else 1)
        record = self.membership.get(probe.target)
        if record is None or record.update.state is not State.ALIVE:
            if record is not None and record.update.state is State.SUSPECT:
                self._merge(record.update._replace(by=self.me.name), now)
            return
        self._merge(record.update._replace(state=State.SUSPECT, by=self.me.name), now)
        self._instructions.append(StartExchange(probe.target))  # where datagrams alone are lost it hears of it so

    def _on_ack(self, now: int, ack: Ack, sender: str) -> None:
        probe = self._probe
        asked = self._identity_pings.pop(ack.probe, None)
        ours = probe is not None and probe.number == ack.probe and probe.target == ack.node
        if not ours and (asked is None or asked[0] != ack.node):
            return
        identity = Identity(ack.node, ack.generation, ack.boot)
        record = self.membership.get(ack.node)
        self.contacted = True
        if record is None or identity[1:] > record.update.identity[1:]:
            self._merge(MemberUpdate(*identity, 0, State.ALIVE), now)
        if sender == ack.node:
            self.last_answered[ack.node] = now
        claimed = self._unconfirmed.get(ack.node)
        if claimed is not None and claimed[1:] > identity[1:]:
            self._instructions.append(
                LogEvent("stranger", {"node": ack.node, "boot": f"{claimed.boot:x}", "answers": f"{ack.boot:x}"})
            )
            del self._unconfirmed[ack.node]
        if ours:
            self._probe = None
            self._adjust_health_score(-1)

    def _ping_identity(self, now: int, identity: Identity) -> None:
        """Frames come from a process that nobody has reached: ping the address to see which process answers."""
        if (
            now - self._identity_ping_at.get(identity.name, now - self.timing.suspect_ping_interval)
            < self.timing.suspect_ping_interval
        ):
            return
        self._identity_ping_at[identity.name] = now
        self._unconfirmed[identity.name] = identity
        self._ping_once(identity.name, now)

    def _ping_once(self, name: str, now: int) -> None:
        number = self._new_number()
        self._identity_pings = {key: entry for key, entry in self._identity_pings.items() if entry[1] > now}
        self._identity_pings[number] = (name, now + self.timing.probe_period * 4)
        self._instructions.append(self._send(name, Ping(number)))

    def _observe_slowness(self, name: str, bits: int) -> None:
        before = self.peer_slowness.get(name, 0)
        if bits != before:
            self.peer_slowness[name] = bits
            self._instructions.append(
                LogEvent(
                    "slow",
                    {"node": name, "by": slow_reasons(bits) or "nothing", "before": slow_reasons(before) or "nothing"},
                )
            )

    def _receive_body(self, now: int, message: Message, identity: Identity) -> None:
        body, sender = message.body, message.sender
        if isinstance(body, Ping):
            record = self.membership.get(sender)
            first = [record.update] if record is not None and record.update.identity != identity else []
            self._instructions.append(self._send(sender, Ack(body.probe, *self.me), first))
        elif isinstance(body, Ack):
            if body.node == sender and (relayed := self._relayed_probes.pop(body.probe, None)) is not None:
                if relayed.target == sender:
                    self._instructions.append(
                        self._send(relayed.origin, Ack(relayed.number, body.node, body.generation, body.boot))
                    )
                    self.last_answered[sender] = now
                return
            if self._probe is not None:
                self._probe.answered.add(sender)
            self._on_ack(now, body, sender)
        elif isinstance(body, PingRequest):
            if (
                body.node in self.membership.names
                and body.node != self.me.name
                and len(self._relayed_probes) < MAX_RELAYED_PROBES
            ):
                number = self._new_number()
                self._relayed_probes[number] = _RelayedProbe(
                    sender, body.probe, body.node, now + self.timing.probe_timeout, now + self.timing.probe_period * 2
                )
                self._instructions.append(self._send(body.node, Ping(number, sender)))
        elif isinstance(body, Nack) and self._probe is not None and self._probe.number == body.probe:
            self._probe.answered.add(sender)

    def _run_relayed_probes(self, now: int) -> None:
        for number, relayed in list(self._relayed_probes.items()):
            if now >= relayed.deadline:
                del self._relayed_probes[number]
            elif now >= relayed.nack_at:
                relayed.nack_at = relayed.deadline
                self._instructions.append(self._send(relayed.origin, Nack(relayed.number)))
                self._instructions.append(self._send(relayed.target, Ping(number, relayed.origin)))

    # Suspicions ----------------------------------------------------------------------------------

    def _suspicion_deadline(self, record: MemberRecord) -> int:
        """When a suspicion becomes a failure: the sooner the more others share it (Lifeguard, section IV.B)."""
        timing = self.timing
        there = 1 + len(self.reachable())
        enough = max(0, min(timing.suspicion_confirmations, there - 2))
        scale = max(1.0, math.log10(max(1, there)))
        least, most = timing.suspicion_min * scale, timing.suspicion_max * scale
        shared = max(0, len(record.suspected_by) - 1)
        by_others = math.log(shared + 1) / math.log(enough + 1) if enough else 0.0
        span = max(least, most - (most - least) * by_others)
        return record.since + int(span * (1 + self.health_score / 2))

    def _run_suspicions(self, now: int) -> None:
        for record in list(self.membership):
            update = record.update
            if update.state is not State.SUSPECT or update.name == self.me.name:
                continue
            if now >= self._suspicion_deadline(record):
                self._merge(update._replace(state=State.FAILED, by=self.me.name), now)
            elif now >= self._suspect_ping_at.get(update.name, now):
                self._suspect_ping_at[update.name] = now + self.timing.suspect_ping_interval
                self._ping_once(update.name, now)

    # Unreachable nodes --------------------------------------------------------------------------

    def _unreachable(self) -> list[str]:
        return sorted(
            name
            for name in self.membership.names
            if name != self.me.name and self.membership.state(name) not in REACHABLE_STATES
        )

    def _ping_unreachable(self, now: int) -> None:
        """Ping one that is failed, left or unknown: it may be back, or a partition may have healed."""
        self._next_unreachable_ping_at = now + int(
            self.timing.unreachable_ping_interval * self._random.uniform(0.9, 1.1)
        )
        far = self._unreachable()
        young = now - self._started_at < self.timing.unreachable_exchange_interval
        if young and any(self.membership.state(name) is None for name in far):
            self._next_unreachable_ping_at = now + self.timing.initial_exchange_interval
        if far:
            self._ping_once(self._random.choice(far), now)

    def _start_exchange(self, now: int) -> None:
        there, far = self.reachable(), self._unreachable()
        scale = max(1.0, len(self.membership.names) / 32)
        if not self.contacted and far:
            self._next_exchange_at = now + int(self.timing.initial_exchange_interval * self._random.uniform(0.8, 1.2))
            self._instructions.append(StartExchange(self._random.choice(far)))
            return
        self._next_exchange_at = now + int(
            self.timing.unreachable_exchange_interval * scale * self._random.uniform(0.8, 1.2)
        )
        if far and now >= self._next_unreachable_exchange_at:
            self._next_unreachable_exchange_at = now + self.timing.unreachable_exchange_interval
            self._instructions.append(StartExchange(self._random.choice(far)))
        elif (
            there and self._random.random() < self.timing.unreachable_exchange_interval / self.timing.exchange_interval
        ):
            self._instructions.append(StartExchange(self._random.choice(there)))


MAX_HEADER_SIZE = 260  # bytes of a datagram without its updates, at most
MAX_RELAYED_PROBES = 64  # indirect probes for others in flight


def _encoded_size(update: MemberUpdate) -> int:
    """Upper bound (bytes) of an update in a frame."""
    return 36 + len(update.name.encode()) + len(update.by.encode())
