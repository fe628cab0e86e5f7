"""Failure detection of one node: takes events and the time, returns instructions. No I/O, no clock.

Probing, indirect probes and gossip follow SWIM (Das, Gupta, Motivala 2002). From Lifeguard (Dadgar, Phillips, Currey
2018) come the local health score, by which a slow node extends its own timeouts first, suspicion timeouts that shrink
as more nodes confirm a suspicion, and notifying a suspected node at once. This implementation adds, for the reasons in
``docs/design/cluster.md``: a process counts as a node only once it answers at the node's configured address; direct
probes are retried within their period; the traffic that a node sends on behalf of others is bounded.

Times are µs on the clock of the event loop. State transitions of a node:

    from      cause                                                      to
    (none)    the node answers at its address, or an update              alive, or the state of the update
    alive     no answer to a probe, direct or indirect; or an update     suspect
    suspect   a higher incarnation                                       alive
    suspect   the suspicion timeout                                      failed
    failed    a higher incarnation or generation                         alive
    any       the node's own announcement that it leaves                 left
    left      a higher generation                                        alive
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from lynxscale.relay.cluster.frame import Gossip, Message
from lynxscale.relay.cluster.instructions import (
    DetectorInstruction,
    LogEvent,
    StartExchange,
)
from lynxscale.relay.cluster.membership_table import (
    Identity,
    MemberRecord,
    MemberUpdate,
    State,
)
from lynxscale.relay.cluster.probing import Prober
from lynxscale.relay.cluster.suspicion import suspicion_deadline


class FailureDetector(Prober):
    """One node's failure detector; each event returns the instructions that follow from it."""

    # Events --------------------------------------------------------------------------------------

    def next_deadline(self) -> int:
        """Latest time (µs) at which ``tick`` has to be called."""
        return int(self._next_tick_at) if self._next_tick_at < math.inf else self._earliest_deadline()

    def full_state(self) -> tuple[MemberUpdate, ...]:
        """The latest update of every known node, this node's own first."""
        others = (record.update for record in self.membership if record.update.name != self.me.name)
        return (self._own_update(), *others)

    def tick(self, now: int) -> list[DetectorInstruction]:
        """Run everything that is due."""
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

    def receive(self, now: int, message: Message, inbound: bool = True) -> list[DetectorInstruction]:
        """Process a frame. ``inbound``: sent to this node's address, not as an answer on our connection."""
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
            if update.name != sender:  # the sender's own state is in the frame's own fields
                self._receive_update(update, now, inbound)
            elif update.state is State.LEFT and record is not None and record.update.identity == identity:
                self._merge(update, now)
        self._receive_body(now, message, identity)
        record = self.membership.get(sender)
        if record is None or identity[1:] > record.update.identity[1:]:
            self._ping_identity(now, identity)
        return self._take_instructions(now)

    def view_installed(self, now: int, members: Iterable[Identity]) -> list[DetectorInstruction]:
        """Mark a new view's members alive until a probe fails: a majority has reached them."""
        self._check_pause(now)
        for identity in members:
            if identity.name != self.me.name:
                self._merge(MemberUpdate(*identity, 0, State.ALIVE), now)
        return self._take_instructions(now)

    def exchange_finished(self, now: int, failed: bool) -> list[DetectorInstruction]:
        """Handle the end of an exchange that this node started."""
        if not failed:
            self.contacted = True
        return []

    def renew(self, now: int, generation: int) -> list[DetectorInstruction]:
        """Start a later generation of this process; ``generation`` is already on disk."""
        self.me, self.incarnation = self.me._replace(generation=generation), 0
        self._merge(self._own_update(), now)
        self._updates.put(self._own_update())
        return self._take_instructions(now)

    def reconfigure(self, now: int, names: Iterable[str]) -> list[DetectorInstruction]:
        """Apply a changed configuration; ``names`` are its nodes."""
        for name in self.membership.reconfigure(set(names) | {self.me.name}):
            self._updates.discard(name)
            for table in (
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
        """Graceful shutdown: announce it, so that no other node suspects this one."""
        self.leaving = True
        self._merge(self._own_update(), now)
        reachable = self.reachable()
        for name in self._random.sample(reachable, min(len(reachable), 8)):
            self._instructions += [self._send(name, Gossip(), (self._own_update(),))] * 2
        return self._take_instructions(now)

    # Pauses, suspicions, unreachable nodes -------------------------------------------------------

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

    def _check_pause(self, now: int) -> None:
        """Detect that the process was paused: answers missed during a pause must not count against other nodes."""
        pause = now - max(self._next_tick_at, self._last_event_at)
        self._last_event_at = now
        if pause <= self.timing.pause_threshold:
            return
        self._probe = None
        self._relayed_probes.clear()
        for record in self.membership:
            if record.update.state is State.SUSPECT:
                record.since += pause
        self._adjust_health_score(2)
        self._raise_incarnation(self.incarnation + 1, now)
        self._next_probe_at = now + self._random.randrange(1, self.timing.probe_period)
        self._instructions.append(LogEvent("paused", {"ms": pause // 1000}))

    def _take_instructions(self, now: int) -> list[DetectorInstruction]:
        """Return the instructions of an event; updates that have not been sent yet are gossiped now."""
        if self._updates.has_unsent() and now - self._last_gossip_at >= self.timing.gossip_interval:
            self._last_gossip_at = now
            reachable = self.reachable()
            for name in self._random.sample(reachable, min(len(reachable), self.timing.gossip_fanout)):
                self._instructions.append(self._send(name, Gossip()))
        self._next_tick_at = self._earliest_deadline()
        instructions, self._instructions = self._instructions, []
        return instructions

    def _suspicion_deadline(self, record: MemberRecord) -> int:
        return suspicion_deadline(record, 1 + len(self.reachable()), self.health_score, self.timing)

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

    def _ping_unreachable(self, now: int) -> None:
        """Ping a random node that is failed, left or unknown: it may be back, or a partition may have healed."""
        self._next_unreachable_ping_at = now + int(
            self.timing.unreachable_ping_interval * self._random.uniform(0.9, 1.1)
        )
        unreachable = self._unreachable()
        recently_started = now - self._started_at < self.timing.unreachable_exchange_interval
        if recently_started and any(self.membership.state(name) is None for name in unreachable):
            self._next_unreachable_ping_at = now + self.timing.initial_exchange_interval
        if unreachable:
            self._ping_once(self._random.choice(unreachable), now)

    def _start_exchange(self, now: int) -> None:
        reachable, unreachable = self.reachable(), self._unreachable()
        scale = max(1.0, len(self.membership.names) / 32)
        if not self.contacted and unreachable:
            self._next_exchange_at = now + int(self.timing.initial_exchange_interval * self._random.uniform(0.8, 1.2))
            self._instructions.append(StartExchange(self._random.choice(unreachable)))
            return
        self._next_exchange_at = now + int(
            self.timing.unreachable_exchange_interval * scale * self._random.uniform(0.8, 1.2)
        )
        if unreachable and now >= self._next_unreachable_exchange_at:
            self._next_unreachable_exchange_at = now + self.timing.unreachable_exchange_interval
            self._instructions.append(StartExchange(self._random.choice(unreachable)))
        elif (
            reachable
            and self._random.random() < self.timing.unreachable_exchange_interval / self.timing.exchange_interval
        ):
            self._instructions.append(StartExchange(self._random.choice(reachable)))
