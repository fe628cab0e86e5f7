"""A member's role changes only as the table in ``member_role`` says."""

import pytest

from lynxscale.coordination.member_role import ROLE_AFTER, MemberRole, RoleChange, RoleState
from lynxscale.coordination.messages import address_of
from tests.coordination.control_groups import start_group

ANY = frozenset(MemberRole)
SOURCES = {
    RoleChange.FOLLOWS_AS_VOTER: ANY,
    RoleChange.FOLLOWS_WITHOUT_VOTE: ANY,
    RoleChange.STARTED_CANDIDACY: {MemberRole.BACKUP},
    RoleChange.EPOCH_DECIDED: {MemberRole.CANDIDATE},
    RoleChange.PREPARE_REJECTED: {MemberRole.CANDIDATE},
    RoleChange.ROUND_TIMED_OUT: {MemberRole.CANDIDATE},
    RoleChange.YIELDED_TO_REPLICA: ANY,
    RoleChange.PROMISED_OTHER: {MemberRole.PRIMARY},
    RoleChange.SAW_LATER_EPOCH: {MemberRole.PRIMARY},
    RoleChange.TRANSFERRED_LEADERSHIP: {MemberRole.PRIMARY},
    RoleChange.LEASE_EXPIRED: {MemberRole.PRIMARY},
    RoleChange.DISK_FAILED: {MemberRole.PRIMARY, MemberRole.CANDIDATE},
}


def test_table_has_each_change():
    assert set(ROLE_AFTER) == set(SOURCES) == set(RoleChange)


@pytest.mark.parametrize("change", RoleChange)
def test_listener_is_called_for_real_changes_only(change):
    for before in MemberRole:
        heard = []
        role = RoleState(before, lambda: 1, lambda *roles, heard=heard: heard.append(roles))
        role.apply(change)
        assert role.current is ROLE_AFTER[change]
        assert heard == ([] if before is role.current else [(before, role.current)])


@pytest.mark.parametrize("seed", range(4))
def test_members_of_a_group_under_faults_change_roles_by_the_table(seed, monkeypatch):
    seen = set()
    apply = RoleState.apply

    def record(self: RoleState, change: RoleChange) -> None:
        seen.add((self.current, change))
        apply(self, change)

    monkeypatch.setattr(RoleState, "apply", record)
    group = start_group(seed)
    for _ in range(4):
        primary = address_of(group.wait_for_leader().member_id)
        for other in group.seeds:
            if other != primary:
                group.world.partition(primary, other)
        group.world.run(group.world.time + 2.0)
        group.world.heal()
        group.world.run(group.world.time + 1.0)
    assert (MemberRole.PRIMARY, RoleChange.LEASE_EXPIRED) in seen
    assert all(before in SOURCES[change] for before, change in seen), seen
