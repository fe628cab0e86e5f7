"""Unix time over restarts: what is noted, and what is left where nothing can be."""

import time

import orjson
import pytest
from structlog.testing import capture_logs

from lynxscale.relay import wall_clock as wall

HOUR = 3_600_000_000


def apart(path) -> int:
    """µs by which the clock of this folder is before the wall clock."""
    return time.time_ns() // 1000 - wall.unix_clock(path)()


def test_first_process_stores_the_clock_and_later_ones_use_it(tmp_path, monkeypatch):
    assert abs(apart(tmp_path)) < 1_000_000
    true = time.time_ns
    for step in (HOUR, -HOUR):
        monkeypatch.setattr(time, "time_ns", lambda step=step: true() + step * 1000)
        with capture_logs() as seen:
            assert abs(apart(tmp_path) - step) < 1_000_000
        assert [row["event"] for row in seen] == ["wall_clock_stepped"]
    monkeypatch.setattr(wall, "_boot_id", lambda: "another boot")
    assert abs(apart(tmp_path)) < 1_000_000
    assert orjson.loads((tmp_path / wall.FILE).read_bytes())["boot"] == "another boot"


@pytest.mark.parametrize("spoil", [b"", b"[]", b"{}", b'{"version": 1, "boot": 3}', bytes(5000)])
def test_unreadable_file_is_logged_and_rewritten(tmp_path, spoil):
    (tmp_path / wall.FILE).write_bytes(spoil)
    with capture_logs() as seen:
        assert abs(apart(tmp_path)) < 1_000_000
    assert [row["event"] for row in seen] == ["clock_unreadable"]
    with capture_logs() as seen:
        assert abs(apart(tmp_path)) < 1_000_000
    assert seen == []


def test_unwritable_folder_leaves_the_wall_clock(tmp_path):
    with capture_logs() as seen:
        assert abs(apart(tmp_path / "none")) < 1_000_000
    assert [row["event"] for row in seen] == ["clock_not_saved"]
