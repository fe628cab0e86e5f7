"""Files that are written under a temporary name and renamed into place."""

import pytest

from lynxscale.runtime.durable_files import DurableFiles


def test_several_files_are_stored_in_order_and_none_where_one_fails(tmp_path):
    files = DurableFiles(str(tmp_path))
    files.write_all({"a": b"1", "b": b"2"})
    assert (files.read("a"), files.read("b"), files.names()) == (b"1", b"2", ["a", "b"])
    with pytest.raises(OSError):
        files.write_all({"a": b"3", "no-such-folder/b": b"4"})
    assert files.read("a") == b"1"
    assert files.names() == ["a", "b"]
    (tmp_path / "taken").mkdir()
    (tmp_path / "taken" / "by-another").touch()
    with pytest.raises(OSError):
        files.write_all({"taken": b"5", "c": b"6"})
    assert sorted(path.name for path in tmp_path.iterdir()) == ["a", "b", "taken"]


def test_chunks_are_read_from_an_offset_and_none_where_there_is_no_file(tmp_path):
    files = DurableFiles(str(tmp_path))
    files.write("a", b"0123456789")
    assert files.read_chunk("a", 0, 4) == b"0123"
    assert files.read_chunk("a", 8, 4) == b"89"
    assert files.read_chunk("a", 10, 4) == b""
    assert files.read_chunk("b", 0, 4) is None
