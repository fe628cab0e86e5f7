"""Seeded random walks through the view agreement, by an adversarial scheduler: ``python -m lab.cluster.explore``.

Messages arrive late, twice, out of order or never; writes complete late or are lost with the process; processes end at
any step, and restart with their disk, with an older one (if the others know of the writes that it lacks), or with none.
Each walk draws its own weights of these actions (swarm testing: Groce et al., 2012), since with the same weights in all
walks two rare actions would hardly ever follow one another.

Checked after each step: no two views with one number differ, and no node may act in a view while another acts in a
later view that excludes its incarnation.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from lab.model_checker import InvariantViolation
from lynxscale.relay.cluster.instructions import PersistState, SendViewMessage
from lynxscale.relay.cluster.membership_table import Identity, MembershipTable, MemberUpdate, State
from lynxscale.relay.cluster.messages import DurableState, MembershipChange, View
from lynxscale.relay.cluster.timing import ViewTiming
from lynxscale.relay.cluster.view_change import ViewAgreement

# Half of the walks use no leases, for more votes per walk.
WITH_LEASES, WITHOUT_LEASES = ViewTiming(), ViewTiming(lease=1)
TIME_STEP_US = WITH_LEASES.lease // 3


@dataclass
class SimulatedNode:
    """A node: its disk, its process if it runs, and the pending writes."""

    name: str
    generation: int = 0
    disk: DurableState | None = None
    older: list[DurableState] = field(default_factory=list)
    agreement: ViewAgreement | None = None
    membership: MembershipTable | None = None
    write_count: int = 0  # of the state on disk, as its frames report it
    writes: list[PersistState] = field(default_factory=list)


class Walk:
    """One walk. ``mistake`` is called with each new agreement and may change it, for tests of this checker."""

    def __init__(self, nodes: int, seed: int, mistake: Callable[[ViewAgreement], None] | None = None) -> None:
        self.rng, self.mistake = random.Random(f"{seed} walk"), mistake
        self.timing = WITH_LEASES if seed % 2 else WITHOUT_LEASES
        self.names = [f"r{k + 1}" for k in range(nodes)]
        self.now = 0
        self.simulated_nodes = {name: SimulatedNode(name) for name in self.names}
        self.in_flight: list[tuple[str, Identity, str, object, int, int]] = []
        self.decided: dict[int, View] = {}
        self.trace: list[str] = []
        self._boot = self._lost_states = 0
        self._isolated = ""  # name of the isolated node, if any
        self._actions = (
            self._deliver,
            self._write,
            self._propose,
            self._request_leases,
            self._wait,
            self._stop_process,
            self._start_process,
            self._exchange,
            self._lose_state,
            self._restart,
            self._toggle_isolation,
        )
        spread = 2.0 if seed % 4 > 1 else 1.0
        self._weights = [
            weight * 2 ** self.rng.uniform(-spread, spread) for weight in (80, 40, 2, 4, 2.5, 0.3, 4, 4, 0.12, 0.6, 0.8)
        ]
        if self.timing is WITHOUT_LEASES:
            self._weights[3] = 0.0  # no lease requests
            self._weights[2] *= 2
            self._weights[9] *= 3  # only a restart can make a faulty process forget votes
        members = self.names if nodes < 5 else self.names[:3]
        first = View(1, 7, tuple(Identity(name, 1, k + 1) for k, name in enumerate(members)))
        self._boot = nodes
        for number, node in enumerate(self.simulated_nodes.values()):
            node.disk = DurableState(first, votes=number < len(members))
            self._start(node, Identity(node.name, 1, number + 1))

    def _start(self, node: SimulatedNode, me: Identity) -> None:
        node.generation = me.generation
        node.membership = MembershipTable(self.names)
        node.agreement = ViewAgreement(me, self.names, "walk", self.now, node.disk, node.membership, {}, self.timing)
        node.write_count = node.agreement.durable.write_count
        node.writes = []
        if self.mistake is not None:
            self.mistake(node.agreement)

    def _execute(self, node: SimulatedNode, instructions: list) -> None:
        queue = list(instructions)
        while queue:
            instruction = queue.pop(0)
            if isinstance(instruction, SendViewMessage):
                if instruction.to == node.name:
                    queue += node.agreement.receive(self.now, node.name, node.agreement.me, instruction.message)
                else:
                    self.in_flight.append(
                        (
                            node.name,
                            node.agreement.me,
                            instruction.to,
                            instruction.message,
                            node.agreement.number,
                            node.write_count,
                        )
                    )
            elif isinstance(instruction, PersistState):
                node.writes.append(instruction)
        self._check_invariants(node)

    # Actions -------------------------------------------------------------------------------------

    def step(self) -> None:
        """Take one action, drawn by weight."""
        action = self.rng.choices(self._actions, self._weights)[0]
        action(self.simulated_nodes[self.rng.choice(self.names)])

    def _deliver(self, _node: SimulatedNode) -> None:
        if not self.in_flight:
            return
        number = self.rng.randrange(len(self.in_flight)) if self.rng.random() < 0.5 else 0
        sender, identity, to, message, view, write_count = self.in_flight[number]
        if self.rng.random() < 0.85:
            self.in_flight.pop(number)  # else it is delivered once more
        node = self.simulated_nodes[to]
        if self._isolated in (sender, to):
            return
        if node.agreement is None or self.rng.random() < 0.1:
            return
        self.trace.append(f"{sender}>{to} {message}")
        self._execute(node, node.agreement.peer_view_seen(self.now, sender, view, write_count))
        self._execute(node, node.agreement.receive(self.now, sender, identity, message))

    def _write(self, node: SimulatedNode) -> None:
        if node.agreement is None or not node.writes:
            return
        instruction = node.writes.pop(0)
        if node.disk is not None:
            node.older.append(node.disk)
        node.disk, node.write_count = instruction.durable, max(node.write_count, instruction.durable.write_count)
        self.trace.append(f"{node.name} writes")
        self._execute(node, list(instruction.then))

    def _propose(self, node: SimulatedNode) -> None:
        agreement = node.agreement
        if agreement is None or agreement.view is None or not agreement.votes(self.now):
            return
        if agreement.proposing and self.rng.random() < 0.8:
            return
        view = agreement.view
        removed = [one.name for one in view.members if one.name != node.name]
        if self._isolated in removed and self.rng.random() < 0.7:
            removed = [self._isolated]
        added = [
            other.agreement.me
            for other in self.simulated_nodes.values()
            if other.agreement is not None and view.identity_of(other.name) != other.agreement.me
        ]
        self.rng.shuffle(removed)
        change = MembershipChange(
            tuple(sorted(removed[: self.rng.randint(0, (len(view.members) - 1) // 2)])),
            tuple(one for one in added if self.rng.random() < 0.7),
        )
        change = MembershipChange(
            tuple(name for name in change.removed if name not in {one.name for one in change.added}), change.added
        )
        if change.removed or change.added or agreement.durable.accepted:
            self.trace.append(f"{node.name} proposes {change}")
            self._execute(node, agreement.propose(self.now, agreement.durable.accepted or change))

    def _request_leases(self, node: SimulatedNode) -> None:
        if node.agreement is not None:
            self._execute(node, node.agreement.request_leases(self.now))

    def _wait(self, _node: SimulatedNode) -> None:
        self.now += TIME_STEP_US
        self.trace.append("time advances")
        for node in self.simulated_nodes.values():
            if node.agreement is not None and self.rng.random() < 0.5:
                self._execute(node, node.agreement.tick(self.now))

    def _stop_process(self, node: SimulatedNode) -> None:
        if node.agreement is not None:
            self.trace.append(f"{node.name} ends")
            node.agreement, node.writes = None, []

    def _start_process(self, node: SimulatedNode) -> None:
        if node.agreement is not None:
            return
        self._boot += 1
        self.trace.append(f"{node.name} starts")
        self._start(node, Identity(node.name, node.generation + 1, self._boot))

    def _toggle_isolation(self, node: SimulatedNode) -> None:
        """End the isolation of a node, or isolate one, if possible one that may act."""
        acting = [
            one.name
            for one in self.simulated_nodes.values()
            if one.agreement is not None and one.agreement.may_act(self.now)
        ]
        self._isolated = "" if self._isolated else self.rng.choice(acting or [node.name])
        self.trace.append(f"{self._isolated or 'nobody'} is isolated")

    def _restart(self, node: SimulatedNode) -> None:
        """Restart at once, sometimes with the durable state lost, and exchange state with all others."""
        self._stop_process(node)
        if self.rng.random() < 0.3:
            self._lose_state(node)
        self._start_process(node)
        for other in self.simulated_nodes.values():
            self._exchange(node, other)

    def _exchange(self, node: SimulatedNode, with_: SimulatedNode | None = None) -> None:
        other = with_ or self.simulated_nodes[self.rng.choice(self.names)]
        if self._isolated in (node.name, other.name):
            return
        if other is node or node.agreement is None or other.agreement is None:
            return
        self.trace.append(f"{node.name} and {other.name} exchange")
        for one, peer in ((node, other), (other, node)):
            write_counts = peer.agreement.write_counts | {peer.name: peer.write_count}
            self._execute(
                one, one.agreement.peer_view_seen(self.now, peer.name, peer.agreement.number, peer.write_count)
            )
            self._execute(one, one.agreement.receive_exchange(self.now, peer.name, peer.agreement.view, write_counts))
            if peer.agreement is not None and one.membership is not None:
                one.membership.merge(MemberUpdate(*peer.agreement.me, 0, State.ALIVE), self.now)

    def _lose_state(self, node: SimulatedNode) -> None:
        """Lose the durable state, or roll it back, if the others know of the writes that are lost by it."""
        known = all(
            node.write_count <= dict(other.disk.peer_write_counts).get(node.name, 0)
            for other in self.simulated_nodes.values()
            if other is not node and other.disk is not None
        )
        if self._lost_states >= (len(self.names) - 1) // 2:
            return  # with more of them no majority has its state, and no view can be decided
        if self.rng.random() < 0.5 and node.older and known:
            node.disk = self.rng.choice(node.older)
        elif self.rng.random() < 0.5:
            node.disk = None
        else:
            return
        self._lost_states += 1
        self.trace.append(f"{node.name} loses its state")
        node.agreement, node.writes, node.older = None, [], []

    # Invariants ----------------------------------------------------------------------------------

    def _check_invariants(self, node: SimulatedNode) -> None:
        view = node.agreement.view
        if view is not None:
            known = self.decided.setdefault(view.number, view)
            if known != view:
                raise InvariantViolation(f"view {view.number} is {known} and {view}")
        acting = [
            (other.agreement.view, other.agreement.me)
            for other in self.simulated_nodes.values()
            if other.agreement is not None and other.agreement.may_act(self.now)
        ]
        for one, me in acting:
            for later, other in acting:
                if later.number > one.number and me not in later.members:
                    raise InvariantViolation(
                        f"{me} acts in view {one.number} while {other} acts in view {later.number}"
                    )


def walk(nodes: int, seed: int, steps: int = 1200, mistake: Callable[[ViewAgreement], None] | None = None) -> Walk:
    """Run one seeded walk. Raises InvariantViolation, with the seed and the last steps."""
    one = Walk(nodes, seed, mistake)
    try:
        for _ in range(steps):
            one.step()
    except InvariantViolation as breach:
        raise InvariantViolation(
            f"walk {seed}, {nodes} nodes: {breach}; the last steps: {'; '.join(one.trace[-12:])}"
        ) from breach
    return one


def main() -> None:
    """``python -m lab.cluster.explore FIRST LAST [NODES]``: run these walks; exit code 1 at the first violation."""
    import sys

    first, last = int(sys.argv[1]), int(sys.argv[2])
    views = 0
    for seed in range(first, last + 1):
        try:
            views += max(walk(int(sys.argv[3]) if len(sys.argv) > 3 else 3 + seed % 3, seed).decided)
        except InvariantViolation as breach:
            print(f"breach: {breach}")
            sys.exit(1)
    print(f"{last - first + 1} walks, seeds {first} to {last}: no breach, {views} views decided")


if __name__ == "__main__":
    main()
