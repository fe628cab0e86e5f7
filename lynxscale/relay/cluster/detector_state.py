"""State that probing, suspicion and exchanges share: membership table, queued updates, the node's own health."""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from lynxscale.relay.cluster import frame
from lynxscale.relay.cluster.dissemination import UpdateQueue
from lynxscale.relay.cluster.frame import Ping
from lynxscale.relay.cluster.instructions import (
    DetectorInstruction,
    LogEvent,
    SendDatagram,
    StartGeneration,
)
from lynxscale.relay.cluster.membership_table import (
    Identity,
    MembershipTable,
    MemberUpdate,
    State,
    StateChange,
)
from lynxscale.relay.cluster.timing import DetectorTiming

REACHABLE_STATES = (State.ALIVE, State.SUSPECT)
MAX_HEADER_BYTES = 260  # upper bound of a datagram's size without its updates

# Reasons for which a node announces itself as slow, as bits of the frame field ``slow``.
SLOW_TURN, SLOW_DISK = 1, 2
SLOW_REASONS = {SLOW_TURN: "turns", SLOW_DISK: "disk"}


def slow_reasons(bits: int) -> str:
    """Text of the reasons, for logs and status."""
    return " ".join(reason for bit, reason in SLOW_REASONS.items() if bits & bit)


@dataclass(slots=True)
class Probe:
    """This node's probe in flight. Times in µs."""

    target: str
    number: int
    deadline: int
    retry_at: int  # when the ping is sent again, directly and through helpers
    asked: set[str] = field(default_factory=set)  # helpers that were sent a PingRequest
    answered: set[str] = field(default_factory=set)  # helpers that have sent an Ack or a Nack


@dataclass(slots=True)
class RelayedProbe:
    """An indirect probe on behalf of another node. Times in µs."""

    origin: str
    number: int  # the number of the origin's probe
    target: str
    nack_at: int
    deadline: int


class DetectorState:
    """State of one node's failure detector. ``contacted``: some node has answered this process."""

    def __init__(
        self, me: Identity, names: Iterable[str], seed: str, now: int, timing: DetectorTiming | None = None
    ) -> None:
        self.me, self.incarnation, self.slow = me, 0, 0
        self.membership = MembershipTable(set(names) | {me.name})
        self.timing = timing or DetectorTiming()
        self.health_score = 0  # Lifeguard's local health score: 0 is healthy
        self.contacted = self.leaving = False
        self.last_answered: dict[str, int] = {}  # by node: when it last answered a probe of ours directly
        self.peer_slowness: dict[str, int] = {}  # by node: the reasons that it announces, as bits of SLOW_REASONS
        self._random = random.Random(f"{seed} {me.name} cluster")
        self._number = self._random.randrange(1 << 16)
        self._probe_order: list[str] = []
        self._probe: Probe | None = None
        self._relayed_probes: dict[int, RelayedProbe] = {}
        self._one_off_pings: dict[int, tuple[str, int]] = {}  # pings other than probes, by number: node and expiry
        self._identity_ping_at: dict[str, int] = {}  # by node: when ``_ping_identity`` last pinged it
        self._updates = UpdateQueue(self.timing.retransmit_multiplier)
        self._suspect_ping_at: dict[str, int] = {}  # by suspected node: when it is pinged again
        self._unconfirmed: dict[str, Identity] = {}  # by node: sender that has not answered at its address
        self._last_gossip_at = now - self.timing.gossip_interval
        self._next_probe_at = now + self._random.randrange(1, self.timing.probe_period)
        self._next_unreachable_ping_at = now
        self._next_exchange_at = now + self._random.randrange(1, self.timing.initial_exchange_interval)
        self._next_unreachable_exchange_at = now + self.timing.unreachable_exchange_interval
        self._started_at, self._next_tick_at, self._last_event_at = now, math.inf, now
        self._instructions: list[DetectorInstruction] = []
        self.membership.merge(self._own_update(), now)

    def reachable(self) -> list[str]:
        """Names of the other nodes that are alive or suspected, sorted."""
        return sorted(
            record.update.name
            for record in self.membership
            if record.update.state in REACHABLE_STATES and record.update.name != self.me.name
        )

    def _unreachable(self) -> list[str]:
        return sorted(
            name
            for name in self.membership.names
            if name != self.me.name and self.membership.state(name) not in REACHABLE_STATES
        )

    def _own_update(self) -> MemberUpdate:
        return MemberUpdate(*self.me, self.incarnation, State.LEFT if self.leaving else State.ALIVE)

    def _adjust_health_score(self, by: int) -> None:
        before = self.health_score
        self.health_score = max(0, min(self.timing.health_score_max, self.health_score + by))
        if (self.health_score == self.timing.health_score_max) != (before == self.timing.health_score_max):
            self._instructions.append(LogEvent("doubts_itself", {"doubt": self.health_score, "before": before}))

    def _raise_incarnation(self, incarnation: int, now: int) -> None:
        """Raise this node's incarnation and disseminate it."""
        self.incarnation = incarnation
        self._merge(self._own_update(), now)
        self._updates.put(self._own_update())

    def _receive_update(self, update: MemberUpdate, now: int, inbound: bool) -> None:
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
        elif update.identity[1:] > self.me[1:] and inbound:
            # Only the process at the configured address gets inbound frames. A second process under the same name
            # must not react with a higher generation, or the two would raise their generations in turn without end.
            self._instructions.append(StartGeneration(update.generation))

    def _merge(self, update: MemberUpdate, now: int) -> None:
        record = self.membership.get(update.name)
        suspecters = len(record.suspected_by) if record is not None else 0
        change = self.membership.merge(update, now)
        if change is None:
            if (
                record is not None
                and len(record.suspected_by) > suspecters
                and len(record.suspected_by) <= self.timing.suspicion_confirmations + 1
            ):
                self._updates.put(update)  # an independent confirmation of the suspicion
            return
        self._updates.put(update)
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

    def _send(self, to: str, body: frame.Body, required: Iterable[MemberUpdate] = ()) -> SendDatagram:
        """Build a datagram.

        A target that is not alive in the table, or is unconfirmed, is also sent the latest update about itself, so that
        it can refute it or start a later generation.
        """
        record = self.membership.get(to)
        if record is not None and (record.update.state is not State.ALIVE or to in self._unconfirmed):
            required = (*required, record.update)
        return SendDatagram(
            to,
            body,
            self._updates.take(required, frame.MAX_DATAGRAM_BYTES - MAX_HEADER_BYTES, len(self.membership.names)),
        )

    def _new_number(self) -> int:
        self._number = (self._number + 1) & 0xFFFFFFFF
        return self._number

    def _scaled(self, duration: int) -> int:
        return duration * (1 + self.health_score)

    def _ping_once(self, name: str, now: int) -> None:
        number = self._new_number()
        self._one_off_pings = {key: entry for key, entry in self._one_off_pings.items() if entry[1] > now}
        self._one_off_pings[number] = (name, now + self.timing.probe_period * 4)
        self._instructions.append(self._send(name, Ping(number)))
