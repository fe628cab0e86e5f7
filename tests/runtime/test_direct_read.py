"""Files read from the disk itself: what is read, and what a read must not wait for."""

import errno
import os

import pytest

from lynxscale.runtime.direct_read import ALIGNMENT_BYTES, read_from_disk
from lynxscale.runtime.durable_files import DurableFiles

CONTENT = bytes(range(256)) * 40  # 10 KiB, not a multiple of the alignment


@pytest.fixture
def path(tmp_path):
    file = tmp_path / "file"
    file.write_bytes(CONTENT)
    return file


def refuse_direct_reads(monkeypatch, error: int) -> None:
    """Let files be opened without ``O_DIRECT`` only."""
    open_file = os.open

    def open_unless_direct(path, flags, *rest):
        if flags & os.O_DIRECT:
            raise OSError(error, os.strerror(error))
        return open_file(path, flags, *rest)

    monkeypatch.setattr(os, "open", open_unless_direct)


@pytest.mark.parametrize("direct", [True, False])
@pytest.mark.parametrize("offset", [0, 1, ALIGNMENT_BYTES - 1, ALIGNMENT_BYTES, 9999, 10_240, 50_000])
@pytest.mark.parametrize("size", [0, 1, 5000, ALIGNMENT_BYTES, 65_536])
def test_any_part_of_a_file_is_read_with_and_without_direct_reads(path, monkeypatch, direct, offset, size):
    if not direct:
        refuse_direct_reads(monkeypatch, errno.EINVAL)
    assert read_from_disk(path, offset, size) == CONTENT[offset : offset + size]


@pytest.mark.parametrize("direct", [True, False])
def test_a_file_that_is_not_there_is_none(path, monkeypatch, direct):
    if not direct:
        refuse_direct_reads(monkeypatch, errno.EINVAL)
    assert read_from_disk(path.with_name("other"), 0, 10) is None


def test_an_error_of_the_disk_is_not_hidden_by_the_page_cache(path, monkeypatch):
    refuse_direct_reads(monkeypatch, errno.EIO)
    with pytest.raises(OSError, match=os.strerror(errno.EIO)):
        read_from_disk(path, 0, 10)


def test_reading_back_a_file_does_not_wait_for_all_processors(tmp_path, monkeypatch):
    """Dropping pages of the page cache did, and held up the event loop."""
    advice = []
    monkeypatch.setattr(os, "posix_fadvise", lambda *arguments: advice.append(arguments))
    files = DurableFiles(str(tmp_path))
    files.write("a", CONTENT)
    assert files.read_chunk("a", 0, len(CONTENT)) == CONTENT
    assert advice == []


def test_a_read_leaves_no_descriptor_open(path):
    before = os.listdir("/proc/self/fd")
    read_from_disk(path, 0, 10)
    assert os.listdir("/proc/self/fd") == before
