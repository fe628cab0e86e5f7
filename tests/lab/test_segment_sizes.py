"""Sizes of segments beside a relay that removes some of them."""

from lab.segment_sizes import allocated_by_segment
from lynxscale.relay.journal.cleaning_plan import BLOCK_SIZE


class CleanedFolder:
    """A folder whose first segment is removed by its relay once the folder was listed for the first time."""

    def __init__(self, folder):
        self._folder = folder
        self.listed = 0

    def iterdir(self):
        paths = sorted(self._folder.iterdir())
        self.listed += 1
        if self.listed == 1:
            paths[0].unlink()
        return paths


def test_a_segment_that_is_removed_while_all_are_measured_is_not_an_error(tmp_path):
    """Guards against FileNotFoundError in the test of kills, where the relay cleans segments meanwhile."""
    for name in ("1.seg", "2.seg", "3.seg"):
        (tmp_path / name).write_bytes(bytes(10))
    folder = CleanedFolder(tmp_path)
    assert allocated_by_segment(folder) == {"2.seg": BLOCK_SIZE, "3.seg": BLOCK_SIZE}
    assert folder.listed == 2
