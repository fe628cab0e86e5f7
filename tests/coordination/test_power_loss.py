"""Some disks are lost while all members lose power."""

import pytest

from tests.coordination.control_groups import start_group


@pytest.mark.parametrize(("size", "tolerated", "lost"), [(3, 1, 1), (4, 1, 1), (5, 2, 2), (7, 2, 2), (9, 2, 2)])
def test_disks_lost_while_all_others_lose_power_at_once(size, tolerated, lost):
    for seed in range(8):
        group = start_group(seed, size, tolerated)
        for number in range(8):
            assert group.put(f"k{number}", number)
        victims = group.world.random.sample(group.seeds, lost)
        for address in group.seeds:
            group.kill(address, power=True, wipe=address in victims)
        group.world.run(group.world.time + 1)
        for address in group.world.random.sample(group.seeds, size):
            group.start(address)
        assert group.put("after", 1, within=12.0), seed
        assert all(group.value(f"k{number}") == number for number in range(8)), seed
