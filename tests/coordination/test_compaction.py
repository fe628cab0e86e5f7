"""Snapshots that replace batch files."""

from lynxscale.coordination.store import Store
from tests.coordination.control_groups import start_group


def test_a_snapshot_holds_the_batch_that_led_to_it(monkeypatch):
    """Regression: a backup wrote a snapshot before it had applied the newest batch, so a turn was lost."""
    monkeypatch.setattr("lynxscale.coordination.compaction.MAX_BATCH_FILES", 3)
    group = start_group()
    for number in range(9):
        assert group.put(f"k{number}", number)
        group.world.run(group.world.time + 0.02)
        for address in group.seeds:
            assert f"k{number}" in Store(group.world.machine(address).files).values, (number, address)
