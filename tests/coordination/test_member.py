"""A group of control members: first start, loss of the primary, and random sequences of faults."""

import pytest

from lab.tier.control_group import ControlGroup
from lab.tier.world import World
from lynxscale.coordination.messages import address_of
from tests.coordination.control_groups import start_group


def test_first_start_elects_one_primary_that_commits():
    group = start_group()
    assert group.put("config", 1)
    group.world.run(group.world.time + 2)
    assert len(group.leaders()) == 1
    assert all(member.store.values.keys() == {"config"} for member in group.members.values())


@pytest.mark.parametrize("seed", range(5))
def test_killed_primary_is_replaced_and_nothing_committed_is_lost(seed):
    group = start_group(seed)
    assert group.put("a", "kept")
    old = address_of(group.leaders()[0].member_id)
    group.kill(old, power=True)
    before = group.world.time
    assert group.put("b", 2)
    assert group.world.time - before < 2.5
    assert group.value("a") == "kept"


def test_group_survives_power_loss_of_all_and_disk_loss_of_one():
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


@pytest.mark.parametrize("seed", range(60))
def test_histories_of_faults_keep_every_committed_write(seed):
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
            inject_fault(group, world)
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


def inject_fault(group: ControlGroup, world: World) -> None:
    """Repair the previous fault, then inject a random one that the group must tolerate."""
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
