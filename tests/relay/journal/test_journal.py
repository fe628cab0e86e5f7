"""The segmented journal: crashes at every operation and byte, cleaning, a full disk, and damage."""

import json
import os
import random
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lab.fake_disk import FakeDisk, ProcessKilled
from lynxscale.relay.exceptions import JournalFormatError, JournalFullError
from lynxscale.relay.journal import Journal
from lynxscale.relay.journal.cleaning_plan import CleaningPlan, allocated_size
from lynxscale.relay.journal.layout import SEGMENT_HEADER_SIZE, Manifest, decode_manifest, segment_name
from lynxscale.relay.journal.legacy_format import read_legacy_journal
from lynxscale.relay.journal.records import COMPLETED, Entry, encode_completed, encode_record
from lynxscale.relay.journal.recovery import recover
from lynxscale.relay.journal.storage import FolderStorage

BUDGET = 13 * 4 * 4096  # bytes; ten segments of 16 KiB, so that cleaning runs every few dozen messages


class JournalHarness:
    """A journal on a simulated disk, and the state that must be recovered after a crash.

    Attributes
    ----------
    expected
        Attempts, times of possibly executed attempts, and outcome of each open message, by id.
    completed
        Ids of messages that must not be recovered.
    uncertain
        Ids of messages with an operation in progress: its record may or may not be on the disk.
    unwritten
        Ids of messages whose completion could not be recorded for lack of space.
    """

    def __init__(self, disk: FakeDisk, seed: int = 1) -> None:
        self.disk, self.random, self.time = disk, random.Random(seed), 1_000_000
        self.expected: dict[str, tuple] = {}
        self.completed: set[str] = set()
        self.uncertain: set[str] = set()
        self.unwritten: set[str] = set()
        self.numbers: dict[int, str] = {}
        self.next = 0
        self.journal: Journal | None = None

    def now(self) -> int:
        self.time += 1
        return self.time

    def start(self) -> None:
        self.numbers.clear()
        journal = Journal(self.disk, BUDGET, self.now, lambda: self.random.getrandbits(32))
        entries = journal.open()
        table = {}
        for entry in entries:
            self.next += 1
            self.numbers[self.next] = entry.id
            table[self.next] = entry
        journal.assign_numbers(table)
        self.journal = journal
        self.check(entries)

    def check(self, entries: list[Entry]) -> None:
        """The recovered entries equal the expected ones; an operation in progress at the crash may be lost or not."""
        found = {entry.id: entry for entry in entries}
        assert len(found) == len(entries), "a message twice"
        for id_, (attempts, possibly_run, outcome) in self.expected.items():
            if id_ in self.uncertain and id_ not in found:
                continue  # the crash interrupted the write of its completion
            entry = found[id_]
            assert (entry.attempts, entry.may_have_run, entry.outcome) == (
                attempts,
                possibly_run,
                outcome,
            ) or id_ in self.uncertain, id_
        for id_ in found:
            assert id_ not in self.completed, f"{id_} was recovered after its completion"
            assert id_ in self.expected or id_ in self.uncertain or id_ in self.unwritten, f"{id_} was never accepted"
        self.completed |= self.unwritten - set(found)
        self.unwritten.clear()
        self.expected = {entry.id: (entry.attempts, list(entry.may_have_run), entry.outcome) for entry in entries}
        self.uncertain.clear()

    def step(self) -> None:
        """Perform one random operation of a relay."""
        journal, draw = self.journal, self.random.random()
        if draw < 0.35 or not self.numbers:
            self.next += 1
            id_ = f"m{self.next}"
            entry = Entry(id_, "pago-premio", "acme", "k", 1, 99, bytes(self.random.randrange(50, 900)))
            self.uncertain.add(id_)
            try:
                journal.accept(self.next, entry)
            except JournalFullError:
                self.uncertain.discard(id_)
                return
            self.numbers[self.next] = id_
            self.expected[id_] = (0, [], None)
        else:
            number = self.random.choice(list(self.numbers))
            id_ = self.numbers[number]
            attempts, possibly_run, outcome = self.expected[id_]
            self.uncertain.add(id_)
            try:
                if draw < 0.6:
                    journal.record_attempt(number, self.time)
                    self.expected[id_] = (attempts + 1, [*possibly_run, self.time], outcome)
                elif draw < 0.7:
                    journal.record_not_executed(number, bool(possibly_run))
                    self.expected[id_] = (attempts if possibly_run else attempts + 1, possibly_run[:-1], outcome)
                elif draw < 0.75 and outcome is None:
                    journal.record_outcome(number, "deferred", 700)
                    self.expected[id_] = (attempts, possibly_run, ("deferred", 700))
                else:
                    journal.complete(number)
                    del self.expected[id_], self.numbers[number]
                    self.completed.add(id_)
            except JournalFullError:
                if draw >= 0.75:  # a completion: the journal writes it later, unless the process dies before
                    self.unwritten.add(id_)
                    del self.expected[id_], self.numbers[number]
        self.uncertain.discard(id_)

    def run(self, steps: int) -> None:
        for _ in range(steps):
            self.step()
            self.journal.maintain()


def test_a_long_run_stays_within_the_budget_and_is_recovered():
    harness = JournalHarness(FakeDisk())
    harness.start()
    harness.run(4000)
    kinds = [what for what, _ in harness.disk.operations]
    assert kinds.count("unlink") > 20 and kinds.count("overwrite") > 20, "it was never cleaned"
    assert harness.disk.peak <= BUDGET
    assert len(harness.expected) > 10
    for _ in range(3):
        harness.start()
    harness.run(500)
    harness.start()


def newest(image: dict[str, bytes]) -> Manifest:
    slots = [image[slot] for slot in ("manifest.0", "manifest.1") if slot in image]
    return max(map(decode_manifest, slots), key=lambda one: one.generation)


def history(seed: int, steps: int) -> JournalHarness:
    harness = JournalHarness(FakeDisk(), seed)
    harness.start()
    harness.run(steps)
    return harness


@pytest.mark.parametrize("seed", range(1, 1 + int(os.environ.get("JOURNAL_SEEDS", "1"))))
def test_a_crash_at_every_operation_and_byte_and_again_during_recovery_loses_nothing(seed):
    """From a state with cleaning in progress, the process is killed at each of the following operations in turn.

    Every seventh case is killed a second time, at each operation of its recovery.
    """
    first = history(seed, 900)
    files, total = first.disk.image(), 0
    known = dict(first.expected)
    complete_run = JournalHarness(FakeDisk(files), seed)
    complete_run.expected, complete_run.next = dict(known), first.next
    complete_run.start()
    complete_run.run(120)
    operations = complete_run.disk.operations
    assert {"create", "overwrite", "unlink", "write"} <= {what for what, _ in operations}
    for operation_index, (what, size) in enumerate(operations):
        written_sizes = sorted({0, 1, size // 2, size - 1, size}) if what == "write" else (0, 1)
        if what == "write" and operation_index % 40 == 0:
            written_sizes = range(size + 1)  # every byte
        for torn in written_sizes:
            harness = JournalHarness(FakeDisk(files), seed)
            harness.expected, harness.completed, harness.next = dict(known), set(first.completed), first.next
            harness.disk.killed_at, harness.disk.torn = operation_index, torn
            with pytest.raises(ProcessKilled):
                harness.start()
                harness.run(120)
            total += 1
            image = harness.disk.image()
            again = FakeDisk(image)
            harness.disk = again
            expected, uncertain, completed = dict(harness.expected), set(harness.uncertain), set(harness.completed)
            harness.start()
            steps = len(again.operations)
            if total % 7 == 0:
                for second in range(steps):  # killed again during recovery
                    harness.disk = FakeDisk(image)
                    harness.disk.killed_at, harness.disk.torn = second, 1
                    harness.expected, harness.uncertain, harness.completed = (
                        dict(expected),
                        set(uncertain),
                        set(completed),
                    )
                    with pytest.raises(ProcessKilled):
                        harness.start()
                    harness.disk = FakeDisk(harness.disk.image())
                    harness.expected, harness.uncertain, harness.completed = (
                        dict(expected),
                        set(uncertain),
                        set(completed),
                    )
                    harness.start()
            harness.run(10)
            harness.start()
    assert total > 300


def test_a_full_disk_rejects_new_messages_and_still_records_completions():
    harness = JournalHarness(FakeDisk(), 3)
    harness.start()
    harness.run(300)
    harness.disk.capacity_bytes = harness.disk.blocks() + 3 * 4096
    refused = 0
    for _ in range(400):
        harness.next += 1
        try:
            harness.journal.accept(harness.next, Entry(f"x{harness.next}", "c", "t", "", 1, 9, bytes(800)))
        except JournalFullError:
            refused += 1
        else:
            harness.numbers[harness.next] = f"x{harness.next}"
            harness.expected[f"x{harness.next}"] = (0, [], None)
        harness.journal.maintain()
    assert refused > 300
    harness.start()  # opening the journal needs no space
    left = list(harness.numbers)
    for number in left[: len(left) * 3 // 4]:
        id_ = harness.numbers.pop(number)
        try:
            harness.journal.complete(number)
            harness.completed.add(id_)
        except JournalFullError:
            harness.unwritten.add(id_)
        del harness.expected[id_]
        harness.journal.maintain()
    for _ in range(50):
        harness.journal.maintain()
    harness.disk.capacity_bytes = None
    harness.journal.maintain()
    harness.run(300)
    harness.start()


def test_short_and_failed_writes_leave_no_partial_record():
    harness = JournalHarness(FakeDisk(), 4)
    harness.start()
    harness.run(50)
    for kind in ("write", "truncate", "create", "overwrite", "rename", "unlink"):

        def fails(what, _number, kind=kind):
            if what == kind:
                raise OSError(5, "Input/output error")

        harness.disk.fails = fails
        harness.run(40)
        harness.disk.fails = lambda *_: None
        harness.run(40)
        harness.start()
    harness.run(200)
    harness.start()


def test_nothing_is_appended_to_a_segment_that_a_failed_manifest_write_may_have_sealed():
    disk = FakeDisk()
    journal = Journal(disk, BUDGET, lambda: 1, lambda: 1)
    journal.open()
    number = 1
    journal.accept(0, Entry("last", "c", "t", "", 1, 9, b""))
    while not journal.plan.needs_new_segment(600):
        journal.accept(number, Entry(f"m{number}", "c", "t", "", 1, 9, bytes(300)))
        number += 1
    # Both slots of the manifest exist from here on.
    disk.files["manifest.0"] = disk.files.get("manifest.0", bytearray(4096))
    journal._manifest._slots.add("manifest.0")
    overwrite, failed_writes = disk.overwrite, []

    def failing(name, data):
        overwrite(name, data)
        failed_writes.append(name)
        raise OSError(5, "Input/output error")

    disk.overwrite = failing
    with pytest.raises(
        JournalFullError
    ):  # the message needs another segment, and writing its manifest reports an error
        journal.accept(900, Entry("big", "c", "t", "", 1, 9, bytes(600)))
    with pytest.raises(JournalFullError):  # the manifest on disk may have sealed the segment: nothing is appended to it
        journal.record_attempt(0, 77)
    disk.overwrite = overwrite
    journal.record_attempt(0, 78)
    found = Journal(FakeDisk(disk.image()), BUDGET, lambda: 1, lambda: 1).open()
    assert {entry.id: entry.may_have_run for entry in found}["last"] == [78] and len(failed_writes) == 2
    assert len(found) == number


def test_a_flipped_bit_is_reported_and_hidden_attempts_count_as_possibly_executed():
    harness = history(5, 700)
    image = harness.disk.image()
    names = sorted(name for name in image if name.endswith(".seg"))
    rng = random.Random(5)
    reported = 0
    for name in names:
        for _ in range(12):
            data = bytearray(image[name])
            index = rng.randrange(len(data))
            data[index] ^= 1 << rng.randrange(8)
            manifest = newest(image)
            segments = {
                row.number: bytes(data) if segment_name(row.number) == name else image[segment_name(row.number)]
                for row in manifest.rows
            }
            found = recover(manifest, segments)
            open_ = {entry.id: entry for entry in found.entries.values()}
            last = name == names[-1] and not found.gaps
            if not last:
                assert found.gaps, "damage that was not reported"
                reported += 1
            for id_, (_attempts, possibly_run, outcome) in harness.expected.items():
                entry = open_.get(id_)
                if entry is None or entry.outcome or outcome or (last and entry.may_have_run != possibly_run):
                    continue
                # Every possibly executed attempt is known, or the message is marked as possibly executed.
                assert set(possibly_run) <= set(entry.may_have_run) or entry.accepted_at in entry.may_have_run, (
                    name,
                    index,
                    id_,
                )
    assert reported > 50


def test_a_missing_segment_is_reported_and_older_messages_count_as_possibly_executed():
    harness = history(6, 700)
    image = harness.disk.image()
    gone = sorted(name for name in image if name.endswith(".seg"))[1]
    del image[gone]
    harness.disk = FakeDisk(image)
    journal = Journal(harness.disk, BUDGET, harness.now, lambda: 1)
    entries = journal.open()
    assert [gap.reason for gap in journal.gaps] == ["it is missing"]
    assert any(entry.accepted_at in entry.may_have_run for entry in entries)
    # Another start marks no further messages as possibly executed.
    again = Journal(FakeDisk(harness.disk.image()), BUDGET, harness.now, lambda: 1).open()
    assert {entry.id: entry.may_have_run for entry in again} == {entry.id: entry.may_have_run for entry in entries}


def test_a_newer_version_and_a_damaged_manifest_are_rejected():
    image = history(7, 100).disk.image()
    slots = ("manifest.0", "manifest.1")
    newer = {slot: image[slot][:4] + b"\x09" + image[slot][5:] for slot in slots}
    damaged = {slot: image[slot][:30] + b"\xff" + image[slot][31:] for slot in slots}
    for name, files in (("version 9 of the manifest", newer), ("manifest.0: the manifest's checksum", damaged)):
        with pytest.raises(JournalFormatError, match=name):
            Journal(FakeDisk(image | files), BUDGET, lambda: 1).open()


def test_a_body_that_looks_like_records_is_never_read_as_one():
    """The author of a body does not know the segment's salt, so a forged record in it has a wrong checksum."""
    harness = JournalHarness(FakeDisk(), 8)
    harness.start()
    forged = b"".join(encode_record(COMPLETED, seq, encode_completed(seq), 0) for seq in range(1, 40))
    for number in range(3):
        harness.journal.accept(number, Entry(f"m{number}", "c", "t", "", 1, 9, forged))
    image = harness.disk.image()
    name = next(name for name in image if name.endswith(".seg"))
    data = bytearray(image[name])
    data[SEGMENT_HEADER_SIZE + 40] ^= 1  # damages the first record, so that the reader searches its body for the next
    manifest = newest(image)
    found = recover(manifest, {manifest.rows[0].number: bytes(data)})
    assert sorted(entry.id for entry in found.entries.values()) == ["m1", "m2"] and found.gaps


def test_messages_of_the_legacy_format_are_adopted_once():
    disk = FakeDisk()
    older = [Entry(f"m{index}", "c", "t", "", 1, 9, b"x", attempts=2, may_have_run=[5]) for index in range(3)]
    first = Journal(disk, BUDGET, lambda: 77, lambda: 1).open(older)
    again = Journal(FakeDisk(disk.image()), BUDGET, lambda: 78, lambda: 1).open(older)
    assert [(entry.id, entry.attempts, entry.may_have_run, entry.accepted_at) for entry in again] == [
        (f"m{index}", 2, [5], 77) for index in range(3)
    ] and len(first) == 3


@pytest.mark.parametrize("name", ["before.bin", "before-torn.bin"])
def test_the_legacy_file_is_read(name):
    entries, complete_bytes = read_legacy_journal((Path(__file__).parents[2] / "data" / "journal" / name).read_bytes())
    assert complete_bytes == 732 and sorted(entries) == [0, 1, 2, 3, 5]
    assert [(one.id, one.class_name, one.attempts, one.may_have_run, one.outcome) for one in entries.values()] == [
        ("m0", "aviso-ronda", 2, [11], None),
        ("m1", "inscripcion", 2, [13], None),
        ("m2", "pago-premio", 1, [14], ("undeliverable", 0)),
        ("m3", "aviso-ronda", 0, [], ("deferred", 700)),
        ("m5", "pago-premio", 0, [], None),
    ]
    assert entries[5].body == bytes([0, 10, 255, 5]) and entries[5].expires == 1_800_000_000_000_005


def test_a_record_longer_than_a_segment_gets_its_own_segment():
    harness = JournalHarness(FakeDisk(), 11)
    harness.start()
    big = Entry("big", "c", "t", "", 1, 9, bytes(40_000))
    harness.journal.accept(900, big)
    harness.expected["big"] = (0, [], None)
    harness.run(600)
    assert harness.disk.peak <= BUDGET
    harness.start()
    assert "big" in harness.expected


def test_a_second_process_cannot_lock_the_folder(tmp_path):
    one, two = FolderStorage(tmp_path / "j"), FolderStorage(tmp_path / "j")
    one.lock()
    with pytest.raises(BlockingIOError, match="another process"):
        two.lock()


def test_the_journal_on_a_real_folder(tmp_path):
    journal = Journal(FolderStorage(tmp_path / "j"), BUDGET, lambda: 5)
    journal.open()
    for number in range(500):
        journal.accept(number, Entry(f"m{number}", "c", "t", "", 1, 9, bytes(300)))
        journal.record_attempt(number, number)
        if number >= 20:
            journal.complete(number - 20)
        journal.maintain()
    size = sum(allocated_size(path.stat().st_size) for path in (tmp_path / "j").iterdir())
    assert size <= BUDGET
    journal.close()
    found = Journal(FolderStorage(tmp_path / "j"), BUDGET, lambda: 6).open()
    assert sorted(entry.id for entry in found) == sorted(f"m{number}" for number in range(480, 500))
    assert all(len(entry.may_have_run) == 1 for entry in found)


class JournalModel(RuleBasedStateMachine):
    """Compares the journal with a dictionary, with restarts and crashes at random moments."""

    def __init__(self) -> None:
        super().__init__()
        self.harness = JournalHarness(FakeDisk(), 9)
        self.harness.start()

    @rule(steps=st.integers(1, 60), seed=st.integers(0, 1 << 16))
    def work(self, steps, seed):
        self.harness.random.seed(seed)
        self.harness.run(steps)

    @rule()
    def start(self):
        self.harness.disk = FakeDisk(self.harness.disk.image())
        self.harness.start()

    @rule(operations=st.integers(0, 12), torn=st.integers(0, 300), seed=st.integers(0, 1 << 16))
    def kill(self, operations, torn, seed):
        disk = self.harness.disk
        disk.killed_at, disk.torn = len(disk.operations) + operations, torn
        self.harness.random.seed(seed)
        with pytest.raises(ProcessKilled):
            self.harness.run(200)
        self.harness.disk = FakeDisk(disk.image())
        self.harness.start()

    @invariant()
    def within_its_budget(self):
        assert self.harness.disk.blocks() <= BUDGET

    @invariant()
    def live_bytes_match_a_rebuilt_plan(self):
        """The plan's live bytes equal those that a plan rebuilt from the files counts."""
        journal = Journal(FakeDisk(self.harness.disk.image()), BUDGET, lambda: 1, lambda: 1)
        journal.open()
        plan, mine = journal.plan, self.harness.journal.plan
        assert {one.number: one.live for one in plan.segments.values()} == {
            one.number: one.live for one in mine.segments.values()
        }


JournalModel.TestCase.settings = settings(max_examples=40, stateful_step_count=15, deadline=None)
TestJournalModel = JournalModel.TestCase


def test_cleaning_picks_the_emptiest_segment_and_the_older_of_two_alike():
    plan = CleaningPlan(BUDGET)
    for number in range(1, plan.max_segments):
        plan.segment_opened(number, number * 100, SEGMENT_HEADER_SIZE)
        for uid in range(number * 100, number * 100 + 10):
            plan.record_written(uid, uid, 1000, is_state=True)
    for number, gone in ((3, 8), (5, 8), (6, 9)):
        for uid in range(number * 100, number * 100 + gone):
            plan.record_written(uid, 5000, 29, is_completion=True)
    assert plan.choose_victim(5001) == 6
    for uid in (600, 509):
        assert uid in plan.messages
    plan.segments[6].live = plan.segments[6].size
    assert plan.choose_victim(5001) == 3


def command(*words: str) -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, "-m", "lynxscale", "journal", *words], capture_output=True, text=True, timeout=60
    )


def test_commands_report_open_messages_and_damage(tmp_path):
    journal = Journal(FolderStorage(tmp_path / "segments"), BUDGET, lambda: 5_000_000)
    journal.open()
    for number in range(100):
        cls = "pago-premio" if number % 2 else "aviso-ronda"
        journal.accept(number, Entry(f"m{number}", cls, "t", "secret", 3, 9, b"x"))
        journal.record_attempt(number, 6)
        journal.maintain()
        if number > 9:
            journal.complete(number - 10)
    journal.record_outcome(99, "deferred", 700)
    journal.close()
    assert "10 open messages, no gaps, none in doubt" in command("check", str(tmp_path)).stdout
    rows = json.loads(command("show", "--json", "--class", "pago-premio", str(tmp_path)).stdout)
    assert [row["id"] for row in rows] == [f"m{number}" for number in range(91, 100, 2)]
    assert rows[-1]["end"] == "deferred" and rows[0]["may_have_run"] == 1 and "secret" not in json.dumps(rows)
    stats = json.loads(command("stats", "--json", str(tmp_path)).stdout)
    assert sum(row["messages"] for row in stats) >= 10 and stats[-1]["state"] == "active"
    (tmp_path / "segments" / segment_name(stats[0]["segment"])).unlink()
    damaged = command("check", str(tmp_path))
    assert damaged.returncode == 1 and "it is missing" in damaged.stderr
    (tmp_path / "fresh" / "segments").mkdir(parents=True)
    assert "0 segments, 0 bytes, 0 open messages, no gaps" in command("check", str(tmp_path / "fresh")).stdout
    assert command("stats", str(tmp_path / "fresh")).stdout == "no segments\n"
    nowhere = command("show", str(tmp_path / "none"))
    assert nowhere.returncode == 1 and "no such folder" in nowhere.stderr


def test_messages_are_exported_imported_repaired_and_compacted(tmp_path):
    state, other, new = tmp_path / "state", tmp_path / "other", tmp_path / "new"
    for folder in (state, other):
        folder.mkdir()
    journal = Journal(FolderStorage(state / "segments"), 3_000_000, lambda: 5_000_000)
    journal.open()
    for number in range(3000):
        journal.accept(number, Entry(f"m{number}", "pago-premio", "t", f"k{number}", 3, 9, bytes([0, 10, 255])))
        journal.record_attempt(number, 6)
        if number > 9:
            journal.complete(number - 10)
    busy = command("compact", "--disk", "3m", str(state))
    assert busy.returncode == 1 and "a relay is running" in busy.stderr
    journal.close()
    exported = command("export", str(state)).stdout
    assert len(exported.splitlines()) == 10
    (tmp_path / "open.jsonl").write_text(exported)
    for reported in ("10 of 10 messages", "0 of 10 messages"):
        assert reported in command("import", str(other), str(tmp_path / "open.jsonl")).stdout
    assert command("export", str(other)).stdout == exported
    (tmp_path / "bad.jsonl").write_text(exported + '{"id": 7}\n')
    wrong = command("import", str(other), str(tmp_path / "bad.jsonl"))
    assert wrong.returncode == 1 and "bad.jsonl:11: want a line of `journal export`: id: want str" in wrong.stderr
    assert "bytes before" in command("compact", "--disk", "3m", str(state)).stdout
    assert command("export", str(state)).stdout == exported
    assert sum(path.stat().st_size for path in (state / "segments").iterdir()) < 150_000
    assert "10 open messages" in command("repair", str(state), str(new)).stdout
    assert command("export", str(new)).stdout == exported
    assert command("repair", str(state), str(new)).returncode == 1
    assert command("compact", "--disk", "huge", str(state)).returncode == 2
