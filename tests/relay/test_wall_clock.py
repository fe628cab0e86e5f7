"""Unix time over restarts: the stored offset, and the behaviour if it cannot be stored or read."""

import time

import orjson
import pytest
from structlog.testing import capture_logs

from lynxscale.relay import wall_clock as wall_clock

HOUR = 3_600_000_000


def behind_wall_clock_us(path) -> int:
    """The wall clock minus the clock of this folder, in µs."""
    return time.time_ns() // 1000 - wall_clock.unix_clock(path)()


def test_first_process_stores_the_clock_and_later_ones_use_it(tmp_path, monkeypatch):
    assert abs(behind_wall_clock_us(tmp_path)) < 1_000_000
    true = time.time_ns
    for step in (HOUR, -HOUR):
        monkeypatch.setattr(time, "time_ns", lambda step=step: true() + step * 1000)
        with capture_logs() as seen:
            assert abs(behind_wall_clock_us(tmp_path) - step) < 1_000_000
        assert [row["event"] for row in seen] == ["wall_clock_stepped"]
    monkeypatch.setattr(wall_clock, "_boot_id", lambda: "another boot")
    assert abs(behind_wall_clock_us(tmp_path)) < 1_000_000
    assert orjson.loads((tmp_path / wall_clock.FILE).read_bytes())["boot"] == "another boot"


@pytest.mark.parametrize("content", [b"", b"[]", b"{}", b'{"version": 1, "boot": 3}', bytes(5000)])
def test_unreadable_file_is_logged_and_rewritten(tmp_path, content):
    (tmp_path / wall_clock.FILE).write_bytes(content)
    with capture_logs() as seen:
        assert abs(behind_wall_clock_us(tmp_path)) < 1_000_000
    assert [row["event"] for row in seen] == ["clock_unreadable"]
    with capture_logs() as seen:
        assert abs(behind_wall_clock_us(tmp_path)) < 1_000_000
    assert seen == []


def test_unwritable_folder_leaves_the_wall_clock(tmp_path):
    with capture_logs() as seen:
        assert abs(behind_wall_clock_us(tmp_path / "none")) < 1_000_000
    assert [row["event"] for row in seen] == ["clock_not_saved"]
