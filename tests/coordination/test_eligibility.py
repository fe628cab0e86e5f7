"""Only a member with a complete replica becomes primary."""

from lynxscale.coordination.checksummed_file import SECOND_FILE_SUFFIX
from lynxscale.coordination.version_files import BATCH_PREFIX, WATERMARK_FILE
from tests.coordination.control_groups import backups_of, start_group


def test_candidate_yields_to_a_more_complete_replica():
    """The newest batch and the watermark are lost from one disk, so that its files show no gap."""
    for seed in range(6):
        group = start_group(seed)
        assert group.put("a", 1)
        group.world.run(group.world.time + 1.5)
        assert group.put("b", 2)
        first, second = backups_of(group)
        for address in group.seeds:
            group.kill(address)
        files = group.world.machine(first).files
        del files._files[[name for name in files.names() if name.startswith(BATCH_PREFIX)][-1]]
        for name in (WATERMARK_FILE, WATERMARK_FILE + SECOND_FILE_SUFFIX):
            files._files.pop(name, None)
        for address in (first, second):
            group.start(address)
        assert group.wait_for_leader().member_id == group.members[second].member_id
        assert group.value("b") == 2
