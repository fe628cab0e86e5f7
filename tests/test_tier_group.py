"""The group of control members on a simulated network, clock and disk: leases, epochs, replication, admission."""

import pytest

from lab.tier.control_group import ControlGroup
from lab.tier.world import World
from lynxscale.coordination.messages import address_of
from tests.coordination.control_groups import start_group


def test_a_first_start_elects_one_primary_that_commits():
    group = start_group()
    assert group.put("config", 1)
    group.world.run(group.world.time + 2)
    assert len(group.leaders()) == 1
    assert all(member.store.values.keys() == {"config"} for member in group.members.values())


@pytest.mark.parametrize("seed", range(5))
def test_a_killed_primary_is_replaced_and_nothing_committed_is_lost(seed):
    group = start_group(seed)
    assert group.put("a", "kept")
    old = address_of(group.leaders()[0].member_id)
    group.kill(old, power=True)
    before = group.world.time
    assert group.put("b", 2)
    assert group.world.time - before < 2.5
    assert group.value("a") == "kept"


def test_a_wiped_member_is_another_one_and_is_admitted_by_a_majority():
    group = start_group()
    assert group.put("a", 1)
    leader = group.wait_for_leader()
    wiped = next(a for a in group.seeds if a != address_of(leader.member_id))
    group.kill(wiped, power=True, wipe=True)
    group.world.run(group.world.time + 0.5)
    member = group.start(wiped)
    assert group.world.run_until(lambda: member.member_id in leader.record.in_sync, 4.0)
    assert member.store.values.keys() == {"a"}
    assert len(leader.record.voters) == 3


def test_a_member_at_another_address_takes_the_place_of_one_gone_for_good():
    group = start_group()
    assert group.put("a", 1)
    leader = group.wait_for_leader()
    gone = next(a for a in group.seeds if a != address_of(leader.member_id))
    group.kill(gone, wipe=True)
    group.world.run(group.world.time + 1)
    member = group.start("10.0.0.9:7000")
    assert group.world.run_until(lambda: member.member_id in leader.record.in_sync, 4.0)
    assert gone not in [address_of(one) for one in leader.record.voters]


def test_a_primary_cut_off_stops_before_another_begins():
    group = start_group()
    leader = group.wait_for_leader()
    own = address_of(leader.member_id)
    for other in group.seeds:
        if other != own:
            group.world.partition(own, other)
    overlap = []

    def watch():
        overlap.append(len(group.leaders()))
        group.world.call_at(group.world.time + 0.005, watch)

    watch()
    group.world.run(group.world.time + 4)
    assert max(overlap) == 1
    assert group.wait_for_leader() is not leader
    group.world.heal()
    assert group.put("after", 1)


def test_a_frozen_primary_finds_out_before_its_next_act():
    group = start_group()
    leader = group.wait_for_leader()
    group.world.machine(address_of(leader.member_id)).freeze(3.0)
    group.world.run(group.world.time + 2)
    assert not leader.leads()
    assert group.wait_for_leader() is not leader
    assert group.put("a", 1)
    group.world.run(group.world.time + 3)
    assert len(group.leaders()) == 1


def test_all_lose_power_and_one_its_disk():
    for seed in range(6):
        group = start_group(seed)
        assert group.put("a", seed)
        victims = list(group.seeds)
        wiped = victims[seed % 3]
        for address in victims:
            group.kill(address, power=True, wipe=address == wiped)
        group.world.run(group.world.time + 1)
        for address in victims:
            group.start(address)
        assert group.value("a") == seed, seed
        assert group.put("b", 1)


def test_a_primary_that_leaves_hands_over_at_once():
    group = start_group()
    assert group.put("a", 1)
    leader = group.wait_for_leader()
    before = group.world.time
    leader.leave(lambda: None)
    assert group.wait_for_leader() is not leader
    assert group.world.time - before < 0.3


def test_a_retiring_member_is_replaced_before_it_may_go():
    group = start_group()
    assert group.put("a", 1)
    leader = group.wait_for_leader()
    extra = group.start("10.0.0.9:7000")
    group.world.run(group.world.time + 1)
    retiring = next(a for a in group.seeds if a != address_of(leader.member_id))
    leader.retiring = frozenset({f"node-{retiring}"})
    assert group.world.run_until(lambda: extra.member_id in leader.record.in_sync, 4.0)
    group.world.run(group.world.time + 0.5)
    assert retiring not in [address_of(one) for one in (*leader.record.voters, *leader.record.in_sync)]


def test_a_member_that_was_cut_off_soon_votes_and_copies_again():
    """Seen in an incident: it had promised itself epoch after epoch, and refused the primary's for good."""
    group = start_group()
    leader = group.wait_for_leader()
    cut = next(a for a in group.seeds if a != address_of(leader.member_id))
    for other in group.seeds:
        if other != cut:
            group.world.partition(cut, other)
    group.world.run(group.world.time + 12)
    group.world.heal()
    member = group.members[cut]
    assert group.world.run_until(lambda: member.member_id in leader.record.in_sync, 1.5)
    third = next(a for a in group.seeds if a not in (cut, address_of(leader.member_id)))
    group.kill(third)
    assert group.put("a", 1, within=1.5)
    assert leader.leads()


def test_a_full_disk_at_the_primary_moves_the_lead():
    group = start_group()
    leader = group.wait_for_leader()
    group.world.machine(address_of(leader.member_id)).files.full = True
    assert group.put("a", 1)
    assert group.wait_for_leader() is not leader
    assert group.put("b", 1)


@pytest.mark.parametrize("seed", range(60))
def test_histories_with_kills_freezes_cuts_and_loss_keep_every_committed_write(seed):
    world = World(seed, loss=0.02)
    group = ControlGroup(world)
    group.start_all()
    committed: dict[str, int] = {}
    for number in range(60):
        key, value = f"k{number % 7}", number
        leaders = group.leaders()
        if leaders:
            group.submit(leaders[0], key, value, lambda ok, k=key, v=value: committed.__setitem__(k, v) if ok else None)
        if number % 9 == 4:
            disturb(group, world)
        world.run(world.time + world.random.uniform(0.05, 0.4))
    world.heal()
    world.loss = 0.0
    for address in group.seeds:
        if address not in group.members:
            group.start(address)
    assert group.put("last", 1, within=10.0)
    for key, value in committed.items():
        assert group.value(key) >= value, (seed, key)
    world.run(world.time + 3)
    checksums = {member.store.checksum() for member in group.members.values()}
    assert len(checksums) == 1, (seed, "the copies differ")


def disturb(group: ControlGroup, world: World) -> None:
    """One fault that the group has to bear; the one before is over."""
    world.heal()
    for address in group.seeds:
        if address not in group.members:
            group.start(address)
    address = world.random.choice(group.seeds)
    kind = world.random.choice(["kill", "power", "freeze", "cut"])
    if kind in ("kill", "power"):
        group.kill(address, power=kind == "power")
    elif kind == "freeze":
        world.machine(address).freeze(world.random.uniform(0.3, 2.0))
    else:
        for other in group.seeds:
            if other != address:
                world.partition(address, other, both_ways=world.random.random() < 0.5)
