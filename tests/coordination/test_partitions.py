"""Partitions of the group, and members that return from a partition."""

import pytest

from tests.coordination.control_groups import start_group


@pytest.mark.parametrize("size", [3, 4, 5, 6, 7, 9])
def test_halves_have_one_primary_at_most_and_heal(size):
    tolerated = 1 if size < 5 else 2
    for seed in range(4):
        group = start_group(seed, size, tolerated)
        assert group.put("a", 1)
        group.world.run(group.world.time + 1)
        members = list(group.seeds)
        group.world.random.shuffle(members)
        half = members[: size // 2]
        for one in half:
            for other in members[size // 2 :]:
                group.world.partition(one, other)
        end, most = group.world.time + 20, 0
        while group.world.time < end:
            group.world.run(group.world.time + 0.05)
            most = max(most, len(group.leaders()))
        assert most <= 1
        group.world.heal()
        begun = group.world.time
        assert group.put("b", 2, within=3.0), seed
        assert group.world.time - begun < 2.0
        assert group.value("a") == 1


@pytest.mark.parametrize("one_way", ["both", "in", "out"])
def test_member_back_from_a_partition_does_not_disturb_the_primary(one_way):
    for seed in range(4):
        group = start_group(seed)
        assert group.put("a", 1)
        isolated = group.seeds[seed % 3]
        for other in group.seeds:
            if other != isolated and one_way in ("both", "out"):
                group.world.partition(isolated, other, both_ways=False)
            if other != isolated and one_way in ("both", "in"):
                group.world.partition(other, isolated, both_ways=False)
        group.world.run(group.world.time + 20)
        leader = group.wait_for_leader()
        group.world.heal()
        gaps = []

        def sample(group=group, gaps=gaps) -> None:
            gaps.append(not group.leaders())
            group.world.call_at(group.world.time + 0.02, sample)

        sample()
        group.world.run(group.world.time + 1)
        assert not any(gaps), (seed, one_way)
        assert group.wait_for_leader() is leader
