"""Membership table: properties of merging updates."""

from hypothesis import given, settings
from hypothesis import strategies as st

from lynxscale.relay.cluster.membership_table import MembershipTable, MemberUpdate, State, newer_of
from tests.relay.cluster.strategies import UPDATES


@given(st.lists(UPDATES, max_size=8), st.randoms())
def test_merging_updates_is_commutative_and_idempotent(updates, chance):
    def merged(sequence):
        membership = MembershipTable(["r1", "r2", "r3", "nodo-ñ"])
        for now, update in enumerate(sequence):
            membership.merge(update, now)
        return {record.update.name: record.update.precedence for record in membership}

    other = updates + chance.sample(updates, len(updates) // 2)
    chance.shuffle(other)
    assert merged(updates) == merged(other)
    half = len(updates) // 2
    apart = {}
    for name in {update.name for update in updates}:  # two tables, merged with each other
        apart[name] = newer_of(
            *(
                max((one for one in part if one.name == name), key=lambda one: one.precedence, default=None)
                for part in (updates[:half], updates[half:])
            )
        ).precedence
    assert apart == merged(updates)


def test_updates_of_unconfigured_names_are_ignored():
    membership = MembershipTable(["r1"])
    assert membership.merge(MemberUpdate("r9", 1, 1, 0, State.ALIVE), 0) is None and membership.get("r9") is None


def test_a_suspicion_of_a_later_incarnation_restarts():
    """On a node that missed the refutation between two suspicions, the first one's time and suspecters do not count."""
    membership = MembershipTable(["r1", "r2", "r3", "r4"])
    for now, (incarnation, by) in enumerate([(0, "r1"), (0, "r2"), (1, "r4")]):
        membership.merge(MemberUpdate("r3", 1, 1, incarnation, State.SUSPECT, by), now)
    record = membership.get("r3")
    assert (record.update.incarnation, record.since, record.suspected_by) == (1, 2, {"r4"})


# Without a deadline, as the time of an example depends on the load of the machine.
settings.register_profile("cluster", deadline=None)
settings.load_profile("cluster")
