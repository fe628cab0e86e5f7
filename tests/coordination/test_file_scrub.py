"""Files that are damaged while their member runs are detected and repaired before they are needed."""

import logging

import pytest

from lab.tier.control_group import ControlGroup
from lynxscale.coordination import file_scrub
from lynxscale.coordination.acceptor_state import ACCEPTOR_STATE_FILE
from lynxscale.coordination.checksummed_file import SECOND_FILE_SUFFIX, append_checksum, strip_checksum
from lynxscale.coordination.exceptions import StorageCorruptError
from lynxscale.coordination.file_scrub import STEP_BYTES, STEP_FILES, STEP_INTERVAL_S, FileScrub
from lynxscale.coordination.messages import address_of
from lynxscale.coordination.version_files import BATCH_PREFIX, WATERMARK_FILE, position_of
from tests.coordination.control_groups import backups_of, start_group, write_steadily

CYCLE_S = 3.0  # more than a scrub of all files of one member takes
PAIRS = [name + suffix for name in (ACCEPTOR_STATE_FILE, WATERMARK_FILE) for suffix in ("", SECOND_FILE_SUFFIX)]


def written_group(seed: int = 1) -> ControlGroup:
    """Start a group that has written some batches and is idle."""
    group = start_group(seed)
    for number in range(12):
        assert group.put(f"k{number}", number)
    group.world.run(group.world.time + 1.5)
    return group


def damaged_files(group: ControlGroup, address: str) -> list[str]:
    """The checksummed files of a machine that are damaged."""
    files = group.world.machine(address).files
    return [name for name in files.names() if file_scrub.is_checksummed(name) and is_damaged(name, files.read(name))]


def is_damaged(name: str, stored: bytes) -> bool:
    """Does the checksum at the end of a file differ from that of its content?"""
    try:
        strip_checksum(name, stored)
    except StorageCorruptError:
        return True
    return False


@pytest.mark.parametrize("on_primary", [False, True])
@pytest.mark.parametrize("how", ["corrupt", "truncate"])
@pytest.mark.parametrize("which", ["first", "middle", "last", *PAIRS])
def test_a_file_that_is_damaged_while_its_member_runs_is_repaired(which, how, on_primary, caplog):
    group = written_group()
    leader = group.wait_for_leader()
    address = address_of(leader.member_id) if on_primary else backups_of(group)[0]
    files = group.world.machine(address).files
    batches = [name for name in files.names() if name.startswith(BATCH_PREFIX)]
    named_batches = {"first": batches[0], "middle": batches[len(batches) // 2], "last": batches[-1]}
    name = named_batches.get(which, which)
    epoch = leader.record.epoch
    getattr(files, how)(name, group.world.random)
    assert damaged_files(group, address) == [name]
    with caplog.at_level(logging.ERROR):
        group.world.run(group.world.time + 2 * CYCLE_S)
    assert f"event=file_damaged name={name}" in caplog.text
    assert damaged_files(group, address) == []
    assert leader.leads() and leader.record.epoch == epoch  # the in-sync set and the primary did not change
    for one in group.seeds:
        group.kill(one, power=True)
    for one in group.seeds:
        group.start(one)
    group.wait_for_leader()
    assert all(member.store.intact for member in group.members.values())
    assert [group.value(f"k{number}") for number in range(12)] == list(range(12))


def test_without_the_scrub_the_damage_is_found_at_a_start_only(monkeypatch):
    """Why the scrub is needed: another member may be lost before the damage is known."""
    monkeypatch.setattr(file_scrub, "STEP_INTERVAL_S", 1e9)
    group = written_group()
    address = backups_of(group)[0]
    files = group.world.machine(address).files
    files.corrupt(next(name for name in files.names() if name.startswith(BATCH_PREFIX)), group.world.random)
    group.world.run(group.world.time + 2 * CYCLE_S)
    assert damaged_files(group, address) != []
    group.kill(address)
    assert not group.start(address).store.intact


@pytest.mark.parametrize("seed", range(1, 4))
def test_intact_files_are_never_reported_amid_writes_and_compactions(seed, caplog):
    group = start_group(seed)
    write_steadily(group, 0.01, "x" * 2000)
    with caplog.at_level(logging.ERROR):
        group.world.run(group.world.time + 20)
    assert "file_damaged" not in caplog.text
    assert any(position_of(name) for name in group.world.machine(group.seeds[0]).files.names())
    assert all(member._scrub.cycles > 2 for member in group.members.values())


def test_a_repair_that_the_disk_refuses_is_made_once_it_does_not():
    group = written_group()
    address = backups_of(group)[0]
    files = group.world.machine(address).files
    files.corrupt(next(name for name in files.names() if name.startswith(BATCH_PREFIX)), group.world.random)
    files.full = True
    group.world.run(group.world.time + 2 * CYCLE_S)
    assert damaged_files(group, address) != []
    files.full = False
    group.world.run(group.world.time + 2 * CYCLE_S)
    assert damaged_files(group, address) == []


class CountingFiles:
    """In-memory files that record the size of each read. ``removed``: names for which a read finds no file."""

    def __init__(self, contents: dict[str, bytes]) -> None:
        self.contents = contents
        self.removed: set[str] = set()
        self.reads: list[int] = []

    def names(self) -> list[str]:
        """Implements ``Files``."""
        return sorted(self.contents)

    def read_chunk(self, name: str, offset: int, size: int) -> bytes | None:
        """Implements ``Files``."""
        if name in self.removed:
            return None
        chunk = self.contents[name][offset : offset + size]
        self.reads.append(len(chunk))
        return chunk


def version(number: int, size: int) -> dict[str, bytes]:
    """A batch file with ``size`` bytes of content."""
    return {f"{BATCH_PREFIX}{number:012d}-00000001": append_checksum(b"x" * size)}


@pytest.mark.parametrize("size", [0, 1, 100, STEP_BYTES - 8, STEP_BYTES - 7, STEP_BYTES, 5 * STEP_BYTES + 3])
def test_a_step_is_bounded_and_files_of_all_sizes_are_judged(size):
    contents = {name: content for number in range(20) for name, content in version(number, size).items()}
    files = CountingFiles(contents)
    found: list[str] = []
    scrub = FileScrub(files, found.append)
    while scrub.cycles < 2:
        before = len(files.reads)
        scrub.step()
        assert len(files.reads) - before <= STEP_FILES
        assert sum(files.reads[before:]) < 2 * STEP_BYTES
    assert found == []
    damaged = sorted(contents)[7]
    contents[damaged] = b"y" + contents[damaged][1:]
    while scrub.cycles < 4:
        scrub.step()
    assert set(found) == {damaged}


def test_a_file_that_is_removed_while_it_is_read_is_not_damaged():
    files = CountingFiles(version(1, 3 * STEP_BYTES) | version(2, 10))
    found: list[str] = []
    scrub = FileScrub(files, found.append)
    scrub.step()
    scrub.step()
    files.removed = set(files.names())
    while scrub.cycles < 3:
        scrub.step()
    assert found == []


def test_the_bytes_a_second_are_what_the_documentation_says():
    assert 2 * STEP_BYTES / STEP_INTERVAL_S == 512 * 1024
