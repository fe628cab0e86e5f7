"""Membership tables against a model, over any sequence of updates."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from lynxscale.relay.cluster.membership_table import MembershipTable, MemberUpdate, State

NAMES = ("r1", "r2", "r3")


def order(update: MemberUpdate) -> tuple:
    """Precedence of updates of one node: by process, then by incarnation, then by state."""
    return update.generation, update.boot, update.incarnation, int(update.state)


class Gossip(RuleBasedStateMachine):
    """Three nodes that announce themselves, report one another as not alive, and receive any earlier update in any
    order, also repeatedly. The model of a membership table is the list of all updates that it received."""

    def __init__(self) -> None:
        super().__init__()
        self.tables = {name: MembershipTable(NAMES) for name in NAMES}
        # Received updates, by receiving node and then by the update's node.
        self.received = {name: {} for name in NAMES}
        self.updates: list[MemberUpdate] = []
        self.own = {name: MemberUpdate(name, 1, 7, 0, State.ALIVE) for name in NAMES}
        self.now = 0

    def merge(self, who: str, update: MemberUpdate) -> None:
        self.now += 1
        membership, before = self.tables[who], self.best(who, update.name)
        change = membership.merge(update, self.now)
        if update.name not in membership.names:
            assert change is None
            return
        self.received[who].setdefault(update.name, []).append(update)
        if before is not None and order(update) <= order(before):
            assert change is None
            return
        assert change.now == update and (change.before and order(change.before)) == (before and order(before))
        assert change.reportable == (
            before is None or (before.state, before.identity) != (update.state, update.identity)
        )

    def best(self, who: str, of: str) -> MemberUpdate | None:
        return max(self.received[who].get(of, ()), key=order, default=None)

    @rule(who=st.sampled_from(NAMES), how=st.sampled_from(("incarnation", "generation", "boot")))
    def announces_itself(self, who, how):
        """Announce a higher incarnation, a restarted process, or one restarted without its durable generation."""
        last = self.own[who]
        self.own[who] = {
            "incarnation": last._replace(incarnation=last.incarnation + 1),
            "generation": last._replace(generation=last.generation + 1, boot=last.boot ^ 5, incarnation=0),
            "boot": last._replace(boot=last.boot + 1, incarnation=0),
        }[how]
        self.updates.append(self.own[who])
        self.merge(who, self.own[who])

    @rule(who=st.sampled_from(NAMES), of=st.sampled_from(NAMES), state=st.sampled_from(list(State)[1:]))
    def reports_as_not_alive(self, who, of, state):
        known = self.tables[who].get(of)
        if known is not None:
            self.updates.append(known.update._replace(state=state, by=who))
            self.merge(who, self.updates[-1])

    @precondition(lambda self: self.updates)
    @rule(to=st.sampled_from(NAMES), index=st.integers(0, 1 << 16))
    def sends_update(self, to, index):
        self.merge(to, self.updates[index % len(self.updates)])

    @rule(who=st.sampled_from(NAMES), names=st.sets(st.sampled_from(NAMES)))
    def is_reconfigured(self, who, names):
        dropped = self.tables[who].reconfigure(names)
        assert dropped == sorted(set(self.received[who]) - names)
        for name in dropped:
            del self.received[who][name]

    @invariant()
    def each_table_holds_the_greatest_update_received(self):
        for who, membership in self.tables.items():
            assert {record.update.name: order(record.update) for record in membership} == {
                of: order(self.best(who, of)) for of in self.received[who]
            }
            assert all(
                membership.state(of) == (self.best(who, of).state if of in self.received[who] else None) for of in NAMES
            )

    def teardown(self) -> None:
        """Once every table has received all updates, in any order, all hold the same greatest ones."""
        for index, membership in enumerate(self.tables.values()):
            membership.reconfigure(NAMES)
            for update in self.updates[:: 1 if index else -1] * 2:
                membership.merge(update, self.now)
        tables = [
            {record.update.name: order(record.update) for record in membership} for membership in self.tables.values()
        ]
        assert (
            tables[0]
            == tables[1]
            == tables[2]
            == {
                name: max(order(one) for one in self.updates if one.name == name)
                for name in {one.name for one in self.updates}
            }
        )


TestGossip = Gossip.TestCase
Gossip.TestCase.settings = settings(max_examples=100, stateful_step_count=40, deadline=None)
