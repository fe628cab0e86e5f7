"""Views alone, as they run in service, in orders that a hostile scheduler chooses: seeded walks over what can happen.

Messages come late, twice, out of order or never; writes are done late or lost with the process; processes end at
any step, and start anew with their disk, with an older one whose last votes others have heard, or with none. Each walk
draws its own weights of these (swarm testing: Groce and others, 2012), as what is rare in all walks alike is never met
twice in a row.

Judged after each step: no two views of one number differ; nobody may act in a view while somebody acts in a later one
without its life.
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

LEASES, VOTES = (
    ViewTiming(),
    ViewTiming(lease=1),
)  # half of the walks leave leases aside, so that votes come thick and fast
JUMP = LEASES.lease // 3


@dataclass
class Place:
    """A node: what its disk has, the process that runs, and writes that are not done."""

    name: str
    generation: int = 0
    disk: DurableState | None = None
    older: list[DurableState] = field(default_factory=list)
    agreement: ViewAgreement | None = None
    membership: MembershipTable | None = None
    write_count: int = 0  # of what is on disk, as it tells in its frames
    writes: list[PersistState] = field(default_factory=list)


class Walk:
    """``mistake`` may change each Views that is made."""

    def __init__(self, nodes: int, seed: int, mistake: Callable[[ViewAgreement], None] | None = None) -> None:
        self.chance, self.mistake = random.Random(f"{seed} walk"), mistake
        self.terms = LEASES if seed % 2 else VOTES
        self.names = [f"r{k + 1}" for k in range(nodes)]
        self.now = 0
        self.places = {name: Place(name) for name in self.names}
        self.flying: list[tuple[str, Identity, str, object, int, int]] = []
        self.decided: dict[int, View] = {}
        self.trail: list[str] = []
        self._boot = self._forgotten = 0
        self._apart = ""  # the node that nothing reaches and that reaches nobody, if any
        self._acts = (
            self._deliver,
            self._write,
            self._propose,
            self._ask,
            self._wait,
            self._crash,
            self._back,
            self._exchange,
            self._forget,
            self._bounce,
            self._cut,
        )
        wide = 2.0 if seed % 4 > 1 else 1.0
        self._weights = [
            usual * 2 ** self.chance.uniform(-wide, wide) for usual in (80, 40, 2, 4, 2.5, 0.3, 4, 4, 0.12, 0.6, 0.8)
        ]
        if self.terms is VOTES:
            self._weights[3] = 0.0  # nobody asks for leases
            self._weights[2] *= 2
            self._weights[9] *= 3  # votes are forgotten, if at all, by a process that starts anew
        members = self.names if nodes < 5 else self.names[:3]
        first = View(1, 7, tuple(Identity(name, 1, k + 1) for k, name in enumerate(members)))
        self._boot = nodes
        for number, place in enumerate(self.places.values()):
            place.disk = DurableState(first, votes=number < len(members))
            self._start(place, Identity(place.name, 1, number + 1))

    def _start(self, place: Place, me: Identity) -> None:
        place.generation = me.generation
        place.membership = MembershipTable(self.names)
        place.agreement = ViewAgreement(me, self.names, "walk", self.now, place.disk, place.membership, {}, self.terms)
        place.write_count = place.agreement.durable.write_count
        place.writes = []
        if self.mistake is not None:
            self.mistake(place.agreement)

    def _carry(self, place: Place, orders: list) -> None:
        queue = list(orders)
        while queue:
            order = queue.pop(0)
            if isinstance(order, SendViewMessage):
                if order.to == place.name:
                    queue += place.agreement.receive(self.now, place.name, place.agreement.me, order.message)
                else:
                    self.flying.append(
                        (
                            place.name,
                            place.agreement.me,
                            order.to,
                            order.message,
                            place.agreement.number,
                            place.write_count,
                        )
                    )
            elif isinstance(order, PersistState):
                place.writes.append(order)
        self._judge(place)

    # What may happen next ------------------------------------------------------------------------

    def step(self) -> None:
        """One thing, drawn by its weight."""
        act = self.chance.choices(self._acts, self._weights)[0]
        act(self.places[self.chance.choice(self.names)])

    def _deliver(self, _place: Place) -> None:
        if not self.flying:
            return
        number = self.chance.randrange(len(self.flying)) if self.chance.random() < 0.5 else 0
        sender, identity, to, word, view, mark = self.flying[number]
        if self.chance.random() < 0.85:
            self.flying.pop(number)  # else it comes once more
        place = self.places[to]
        if self._apart in (sender, to):
            return
        if place.agreement is None or self.chance.random() < 0.1:
            return
        self.trail.append(f"{sender}>{to} {word}")
        self._carry(place, place.agreement.peer_view_seen(self.now, sender, view, mark))
        self._carry(place, place.agreement.receive(self.now, sender, identity, word))

    def _write(self, place: Place) -> None:
        if place.agreement is None or not place.writes:
            return
        order = place.writes.pop(0)
        if place.disk is not None:
            place.older.append(place.disk)
        place.disk, place.write_count = order.durable, max(place.write_count, order.durable.write_count)
        self.trail.append(f"{place.name} writes")
        self._carry(place, list(order.then))

    def _propose(self, place: Place) -> None:
        agreement = place.agreement
        if agreement is None or agreement.view is None or not agreement.votes(self.now):
            return
        if agreement.proposing and self.chance.random() < 0.8:
            return
        view = agreement.view
        removed = [one.name for one in view.members if one.name != place.name]
        if self._apart in removed and self.chance.random() < 0.7:
            removed = [self._apart]
        added = [
            other.agreement.me
            for other in self.places.values()
            if other.agreement is not None and view.identity_of(other.name) != other.agreement.me
        ]
        self.chance.shuffle(removed)
        change = MembershipChange(
            tuple(sorted(removed[: self.chance.randint(0, (len(view.members) - 1) // 2)])),
            tuple(one for one in added if self.chance.random() < 0.7),
        )
        change = MembershipChange(
            tuple(name for name in change.removed if name not in {one.name for one in change.added}), change.added
        )
        if change.removed or change.added or agreement.durable.accepted:
            self.trail.append(f"{place.name} proposes {change}")
            self._carry(place, agreement.propose(self.now, agreement.durable.accepted or change))

    def _ask(self, place: Place) -> None:
        if place.agreement is not None:
            self._carry(place, place.agreement.request_leases(self.now))

    def _wait(self, _place: Place) -> None:
        self.now += JUMP
        self.trail.append("time goes on")
        for place in self.places.values():
            if place.agreement is not None and self.chance.random() < 0.5:
                self._carry(place, place.agreement.tick(self.now))

    def _crash(self, place: Place) -> None:
        if place.agreement is not None:
            self.trail.append(f"{place.name} ends")
            place.agreement, place.writes = None, []

    def _back(self, place: Place) -> None:
        if place.agreement is not None:
            return
        self._boot += 1
        self.trail.append(f"{place.name} starts")
        self._start(place, Identity(place.name, place.generation + 1, self._boot))

    def _cut(self, place: Place) -> None:
        """One is cut off from now on, of those that may act if there are any; or nobody is any more."""
        acting = [
            one.name for one in self.places.values() if one.agreement is not None and one.agreement.may_act(self.now)
        ]
        self._apart = "" if self._apart else self.chance.choice(acting or [place.name])
        self.trail.append(f"{self._apart or 'nobody'} is cut off")

    def _bounce(self, place: Place) -> None:
        """It ends, starts and hears what the others remember, all in a moment; sometimes with its memory lost."""
        self._crash(place)
        if self.chance.random() < 0.3:
            self._forget(place)
        self._back(place)
        for other in self.places.values():
            self._exchange(place, other)

    def _exchange(self, place: Place, with_: Place | None = None) -> None:
        other = with_ or self.places[self.chance.choice(self.names)]
        if self._apart in (place.name, other.name):
            return
        if other is place or place.agreement is None or other.agreement is None:
            return
        self.trail.append(f"{place.name} and {other.name} exchange")
        for one, far in ((place, other), (other, place)):
            marks = far.agreement.write_counts | {far.name: far.write_count}
            self._carry(one, one.agreement.peer_view_seen(self.now, far.name, far.agreement.number, far.write_count))
            self._carry(one, one.agreement.receive_exchange(self.now, far.name, far.agreement.view, marks))
            if far.agreement is not None and one.membership is not None:
                one.membership.merge(MemberUpdate(*far.agreement.me, 0, State.ALIVE), self.now)

    def _forget(self, place: Place) -> None:
        """Its memory is lost, or an older one comes back: of the older ones, one whose last votes the others know."""
        known = all(
            place.write_count <= dict(other.disk.peer_write_counts).get(place.name, 0)
            for other in self.places.values()
            if other is not place and other.disk is not None
        )
        if self._forgotten >= (len(self.names) - 1) // 2:
            return  # with more of them no majority remembers, and nothing happens any more
        if self.chance.random() < 0.5 and place.older and known:
            place.disk = self.chance.choice(place.older)
        elif self.chance.random() < 0.5:
            place.disk = None
        else:
            return
        self._forgotten += 1
        self.trail.append(f"{place.name} forgets")
        place.agreement, place.writes, place.older = None, [], []

    # Judging -------------------------------------------------------------------------------------

    def _judge(self, place: Place) -> None:
        view = place.agreement.view
        if view is not None:
            known = self.decided.setdefault(view.number, view)
            if known != view:
                raise InvariantViolation(f"view {view.number} is {known} and {view}")
        acting = [
            (other.agreement.view, other.agreement.me)
            for other in self.places.values()
            if other.agreement is not None and other.agreement.may_act(self.now)
        ]
        for one, me in acting:
            for later, other in acting:
                if later.number > one.number and me not in later.members:
                    raise InvariantViolation(
                        f"{me} acts in view {one.number} while {other} acts in view {later.number}"
                    )


def walk(nodes: int, seed: int, steps: int = 1200, mistake: Callable[[ViewAgreement], None] | None = None) -> Walk:
    """One seeded walk. Raises InvariantViolation, with the seed and the last steps."""
    one = Walk(nodes, seed, mistake)
    try:
        for _ in range(steps):
            one.step()
    except InvariantViolation as breach:
        raise InvariantViolation(
            f"walk {seed}, {nodes} nodes: {breach}; the last steps: {'; '.join(one.trail[-12:])}"
        ) from breach
    return one


def main() -> None:
    """``python -m lab.cluster.explore FIRST LAST [NODES]``: these walks; exit code 1 with the first breach."""
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
