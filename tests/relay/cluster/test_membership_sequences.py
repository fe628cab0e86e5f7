"""Membership tables against a plain model, over any sequence of updates."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from lynxscale.relay.cluster.membership_table import MembershipTable, MemberUpdate, State

NAMES = ("r1", "r2", "r3")


def order(update: MemberUpdate) -> tuple:
    """Which of two rumours of one node goes before the other: the later process, its later word, the worse state."""
    return update.generation, update.boot, update.incarnation, int(update.state)


class Gossip(RuleBasedStateMachine):
    """Three nodes that speak for themselves, accuse one another and tell on whatever was ever said, old or new, in any
    order and again. The model of a sight is all that it was told."""

    def __init__(self) -> None:
        super().__init__()
        self.sights = {name: MembershipTable(NAMES) for name in NAMES}
        self.told = {name: {} for name in NAMES}  # who: of whom: the rumours taken in
        self.said: list[MemberUpdate] = []
        self.own = {name: MemberUpdate(name, 1, 7, 0, State.ALIVE) for name in NAMES}
        self.now = 0

    def merge(self, who: str, update: MemberUpdate) -> None:
        self.now += 1
        membership, before = self.sights[who], self.best(who, update.name)
        change = membership.merge(update, self.now)
        if update.name not in membership.names:
            assert change is None
            return
        self.told[who].setdefault(update.name, []).append(update)
        if before is not None and order(update) <= order(before):
            assert change is None
            return
        assert change.now == update and (change.before and order(change.before)) == (before and order(before))
        assert change.reportable == (
            before is None or (before.state, before.identity) != (update.state, update.identity)
        )

    def best(self, who: str, of: str) -> MemberUpdate | None:
        return max(self.told[who].get(of, ()), key=order, default=None)

    @rule(who=st.sampled_from(NAMES), how=st.sampled_from(("word", "life", "boot")))
    def speaks(self, who, how):
        """A higher word; a process started anew; one that has lost its memory, and with it how often it was started."""
        last = self.own[who]
        self.own[who] = {
            "word": last._replace(incarnation=last.incarnation + 1),
            "life": last._replace(generation=last.generation + 1, boot=last.boot ^ 5, incarnation=0),
            "boot": last._replace(boot=last.boot + 1, incarnation=0),
        }[how]
        self.said.append(self.own[who])
        self.merge(who, self.own[who])

    @rule(who=st.sampled_from(NAMES), of=st.sampled_from(NAMES), state=st.sampled_from(list(State)[1:]))
    def accuses(self, who, of, state):
        known = self.sights[who].get(of)
        if known is not None:
            self.said.append(known.update._replace(state=state, by=who))
            self.merge(who, self.said[-1])

    @precondition(lambda self: self.said)
    @rule(to=st.sampled_from(NAMES), place=st.integers(0, 1 << 16))
    def tells(self, to, place):
        self.merge(to, self.said[place % len(self.said)])

    @rule(who=st.sampled_from(NAMES), names=st.sets(st.sampled_from(NAMES)))
    def is_configured_anew(self, who, names):
        gone = self.sights[who].reconfigure(names)
        assert gone == sorted(set(self.told[who]) - names)
        for name in gone:
            del self.told[who][name]

    @invariant()
    def each_holds_the_greatest_that_it_was_told(self):
        for who, membership in self.sights.items():
            assert {one.update.name: order(one.update) for one in membership} == {
                of: order(self.best(who, of)) for of in self.told[who]
            }
            assert all(
                membership.state(of) == (self.best(who, of).state if of in self.told[who] else None) for of in NAMES
            )

    def teardown(self) -> None:
        """Once all has reached all, in whatever order, they are of one mind, and nothing old comes back."""
        for place, membership in enumerate(self.sights.values()):
            membership.reconfigure(NAMES)
            for update in self.said[:: 1 if place else -1] * 2:
                membership.merge(update, self.now)
        held = [{one.update.name: order(one.update) for one in membership} for membership in self.sights.values()]
        assert (
            held[0]
            == held[1]
            == held[2]
            == {
                name: max(order(one) for one in self.said if one.name == name)
                for name in {one.name for one in self.said}
            }
        )


TestGossip = Gossip.TestCase
Gossip.TestCase.settings = settings(max_examples=100, stateful_step_count=40, deadline=None)
