"""Probes (SWIM, section 3.1): direct, indirect, and on behalf of other nodes. No I/O, no clock."""

from __future__ import annotations

from lynxscale.relay.cluster.detector_state import REACHABLE_STATES, DetectorState, Probe, RelayedProbe
from lynxscale.relay.cluster.frame import Ack, Message, Nack, Ping, PingRequest
from lynxscale.relay.cluster.instructions import (
    LogEvent,
    StartExchange,
)
from lynxscale.relay.cluster.membership_table import (
    Identity,
    MemberUpdate,
    State,
)

MAX_RELAYED_PROBES = 64  # concurrent probes on behalf of other nodes


class Prober(DetectorState):
    """Keeps at most one probe of its own in flight, and a bounded number on behalf of other nodes."""

    def _begin_probe(self, now: int) -> None:
        if self._probe is not None:
            self._probe_failed(now)
        period = int(self._scaled(self.timing.probe_period) * self._random.uniform(0.9, 1.1))
        self._next_probe_at = now + period
        target = self._next_target()
        if target is None:
            return
        probe = self._probe = Probe(
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
        """Suspect the target, which has not answered. Missing answers of helpers worsen this node's health score."""
        probe, self._probe = self._probe, None
        self._adjust_health_score(len(probe.asked - probe.answered) if probe.asked else 1)
        record = self.membership.get(probe.target)
        if record is None or record.update.state is not State.ALIVE:
            if record is not None and record.update.state is State.SUSPECT:
                self._merge(record.update._replace(by=self.me.name), now)
            return
        self._merge(record.update._replace(state=State.SUSPECT, by=self.me.name), now)
        # Over TCP the target learns of the suspicion even if only its datagrams are lost.
        self._instructions.append(StartExchange(probe.target))

    def _receive_body(self, now: int, message: Message, identity: Identity) -> None:
        body, sender = message.body, message.sender
        if isinstance(body, Ping):
            self._answer_ping(body, sender, identity)
        elif isinstance(body, Ack):
            self._receive_ack(now, body, sender)
        elif isinstance(body, PingRequest):
            self._relay_probe(now, body, sender)
        elif isinstance(body, Nack) and self._probe is not None and self._probe.number == body.probe:
            self._probe.answered.add(sender)

    def _answer_ping(self, ping: Ping, sender: str, identity: Identity) -> None:
        record = self.membership.get(sender)
        required = [record.update] if record is not None and record.update.identity != identity else []
        self._instructions.append(self._send(sender, Ack(ping.probe, *self.me), required))

    def _receive_ack(self, now: int, ack: Ack, sender: str) -> None:
        relayed = self._relayed_probes.pop(ack.probe, None) if ack.node == sender else None
        if relayed is None:
            if self._probe is not None:
                self._probe.answered.add(sender)
            self._on_ack(now, ack, sender)
        elif relayed.target == sender:
            forwarded = Ack(relayed.number, ack.node, ack.generation, ack.boot)
            self._instructions.append(self._send(relayed.origin, forwarded))
            self.last_answered[sender] = now

    def _on_ack(self, now: int, ack: Ack, sender: str) -> None:
        probe = self._probe
        one_off_ping = self._one_off_pings.pop(ack.probe, None)
        ours = probe is not None and probe.number == ack.probe and probe.target == ack.node
        if not ours and (one_off_ping is None or one_off_ping[0] != ack.node):
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
        """Ping a node's address to learn which process answers there, after frames from a process not known yet."""
        if (
            now - self._identity_ping_at.get(identity.name, now - self.timing.suspect_ping_interval)
            < self.timing.suspect_ping_interval
        ):
            return
        self._identity_ping_at[identity.name] = now
        self._unconfirmed[identity.name] = identity
        self._ping_once(identity.name, now)

    def _relay_probe(self, now: int, request: PingRequest, sender: str) -> None:
        """Probe a node on behalf of another, unless too many such probes are in flight."""
        if request.node not in self.membership.names or request.node == self.me.name:
            return
        if len(self._relayed_probes) >= MAX_RELAYED_PROBES:
            return
        number = self._new_number()
        self._relayed_probes[number] = RelayedProbe(
            origin=sender,
            number=request.probe,
            target=request.node,
            nack_at=now + self.timing.probe_timeout,
            deadline=now + self.timing.probe_period * 2,
        )
        self._instructions.append(self._send(request.node, Ping(number, sender)))

    def _run_relayed_probes(self, now: int) -> None:
        for number, relayed in list(self._relayed_probes.items()):
            if now >= relayed.deadline:
                del self._relayed_probes[number]
            elif now >= relayed.nack_at:
                relayed.nack_at = relayed.deadline
                self._instructions.append(self._send(relayed.origin, Nack(relayed.number)))
                self._instructions.append(self._send(relayed.target, Ping(number, relayed.origin)))
