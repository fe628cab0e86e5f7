"""The outcome of a submission: committed, not leader, or unknown."""

from lynxscale.coordination.messages import address_of, put_value
from lynxscale.coordination.outcomes import CommitOutcome
from tests.coordination.control_groups import backups_of, start_group

PUTS = (put_value("a", 1),)


def test_primary_reports_committed():
    group = start_group()
    outcomes: list[CommitOutcome] = []
    leader = group.wait_for_leader()
    leader.submit(PUTS, outcomes.append)
    leader.barrier(outcomes.append)
    group.world.run(group.world.time + 1.0)
    assert outcomes == [CommitOutcome.COMMITTED] * 2


def test_backup_reports_at_once_that_it_is_not_the_leader():
    group = start_group()
    outcomes: list[CommitOutcome] = []
    backup = group.members[backups_of(group)[0]]
    backup.submit(PUTS, outcomes.append)
    backup.barrier(outcomes.append)
    assert outcomes == [CommitOutcome.NOT_LEADER] * 2
    assert not backup.store.values


def test_lead_that_ends_first_leaves_the_outcome_unknown():
    group = start_group()
    outcomes: list[CommitOutcome] = []
    leader = group.wait_for_leader()
    for other in backups_of(group):
        group.world.partition(address_of(leader.member_id), other)
    leader.submit(PUTS, outcomes.append)
    leader.barrier(outcomes.append)
    group.world.run(group.world.time + 3.0)
    assert outcomes == [CommitOutcome.UNKNOWN] * 2
