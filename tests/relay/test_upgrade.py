"""Upgrades with two processes of one relay: the board, which process accepts clients, and adoption of messages."""

import os
import random
import signal
import socket
import subprocess
import threading
import time
from contextlib import suppress
from pathlib import Path

import orjson
import pytest

from lab.standins import WAIT_TIMEOUT_S, Client, reply, until
from lynxscale.relay.journal import Entry, Journal
from lynxscale.relay.journal.storage import FolderStorage
from lynxscale.relay.upgrade import journal_folders, learned_file
from lynxscale.relay.upgrade.board import MAX_WAITS, Board, Stage
from lynxscale.relay.upgrade.journal_folders import Claim, InheritedJournal
from lynxscale.relay.upgrade.journal_follower import JournalFollower
from lynxscale.relay.upgrade.succession import Succession, SuccessionAction
from lynxscale.scheduling.events import Result
from lynxscale.scheduling.learned_state import export, restore
from tests.relay.node import NodeCase
from tests.scheduling.driver import Driver, member

SEED = int(os.environ.get("UPGRADE_SEED", "7"))
ROUNDS = int(os.environ.get("UPGRADE_ROUNDS", "3"))


def test_the_board_publishes_waits_and_stages(tmp_path):
    mine, theirs = Board(tmp_path).halves()
    again = Board(tmp_path).halves()[0]
    assert theirs.read() is None and again.read() is None
    mine.begin(4, 99)
    mine.set_stage(Stage.HANDED_OVER)
    mine.set_in_flight(3)
    assert again.read() == (Stage.HANDED_OVER, 4, 99, 3)
    mine.publish_wait(7, 5_000, 1_000)
    mine.publish_wait(7, 4_000, 1_000)  # shorter: the longer wait stays in force
    assert (again.wait_until(7), again.wait_until(8)) == (5_000, 0)
    for dest in range(1000, 1000 + MAX_WAITS + 5):
        mine.publish_wait(dest, 10_000 + dest, 6_000)
    assert again.wait_until(7) == 0 and again.wait_until(1000 + MAX_WAITS + 4)
    mine.begin(6, 99)
    assert again.wait_until(1000 + MAX_WAITS + 4) == 0 and again.read()[0] is Stage.STARTING
    (tmp_path / "board").write_bytes(b"LXUP\x02\0" + bytes(100))
    assert Board(tmp_path).halves()[0].read() is None  # written by another version


@pytest.mark.parametrize(
    "is_successor,observed,actions",
    [
        (
            True,
            [(Stage.SERVING, True), (Stage.HANDED_OVER, True), (Stage.NONE, False)],
            [[SuccessionAction.SHARE], [SuccessionAction.ACCEPT], [SuccessionAction.ALONE, SuccessionAction.ADOPT]],
        ),
        (
            True,
            [(Stage.SERVING, True), (Stage.NONE, False)],
            [[SuccessionAction.SHARE], [SuccessionAction.ALONE, SuccessionAction.ACCEPT, SuccessionAction.ADOPT]],
        ),
        (
            False,
            [(Stage.NONE, False), (Stage.STARTING, True), (Stage.READY, True), (Stage.NONE, False)],
            [[], [SuccessionAction.SHARE], [], [SuccessionAction.ALONE]],
        ),
    ],
)
def test_succession_actions(is_successor, observed, actions):
    succession = Succession(is_successor)
    assert [succession.advance(*state) for state in observed] == actions
    assert succession.advance(*observed[-1]) == [] and not succession.waiting
    assert Succession(False).has_successor(Stage.READY, True) and not Succession(False).has_successor(
        Stage.STARTING, True
    )


def entry(name: str) -> Entry:
    return Entry(name, "safe", "acme", "", 1, 10**15, b"body", attempts=1, may_have_run=[5])


def filled(state: Path, generation: int, names: list[str]) -> None:
    journal = Journal(FolderStorage(journal_folders.folder_of(state, generation)), 1_000_000, lambda: 5_000_000)
    journal.open()
    for number, name in enumerate(names):
        journal.accept(number, entry(name))
    journal.close()


def test_messages_marked_as_taken_are_skipped_and_a_truncated_mark_is_ignored(tmp_path):
    filled(tmp_path, 0, ["a", "b", "c"])
    inherited = InheritedJournal(tmp_path, 0)
    assert inherited.lock() and not InheritedJournal(tmp_path, 0).lock()
    found = inherited.read()
    assert [(one.id, one.attempts, one.may_have_run) for one in found.values()] == [(name, 1, [5]) for name in "abc"]
    inherited.mark_taken([list(found)[0]])
    with (inherited.path / "taken").open("ab") as file:
        file.write(b"\1\0\0")
    assert [one.id for one in inherited.read().values()] == ["b", "c"]
    inherited._storage.unlock()
    later = InheritedJournal(tmp_path, 0)
    later.lock()
    later.mark_taken([list(found)[2]])
    assert [one.id for one in later.read().values()] == ["b"]
    later.remove()
    assert journal_folders.generations(tmp_path) == []


def test_which_process_may_start(tmp_path):
    """A second process may start if it has the same listening socket; no other process and no third one may."""
    first = Claim(tmp_path, 41)
    first.wait(0)
    serving = FolderStorage(first.path)
    serving.lock()
    first.release_start_lock()
    for other_claim in (Claim(tmp_path, None), Claim(tmp_path, 42)):
        with pytest.raises(BlockingIOError):
            other_claim.wait(0.05)
    successor = Claim(tmp_path, 41)
    successor.wait(0)
    assert (successor.is_successor, successor.generation, successor.earlier, successor.path.name) == (
        True,
        1,
        [0],
        "segments.1",
    )
    with pytest.raises(BlockingIOError):
        Claim(tmp_path, 41).wait(0.05)
    successor_storage = FolderStorage(successor.path)
    successor_storage.lock()
    successor_storage.unlock()  # the successor dies before it is ready
    successor._start_lock.unlock()
    second = Claim(tmp_path, 41)
    second.wait(0)
    assert (second.generation, second.earlier, second.half.index) == (2, [0, 1], successor.half.index)
    assert second.predecessor == 0  # the serving process, not the successor that died


def test_a_journal_is_followed_while_it_is_written_and_cleaned(tmp_path):
    rng = random.Random(SEED)
    journal = Journal(FolderStorage(tmp_path / "segments"), 200_000, lambda: 5_000_000)
    journal.open()
    follower = JournalFollower(tmp_path / "segments")
    open_, number = {}, 0
    for _step in range(3000):
        if rng.random() < 0.5 or not open_:
            number += 1
            open_[number] = f"m{number}"
            journal.accept(number, entry(open_[number]))
        elif rng.random() < 0.5:
            journal.record_attempt(rng.choice(list(open_)), 7)
        else:
            gone = rng.choice(list(open_))
            journal.complete(gone)
            assert not follower.contains(open_.pop(gone))
        if len(open_) > 60:
            for gone in list(open_)[:30]:
                journal.complete(gone)
                del open_[gone]
        journal.maintain()
        if rng.random() < 0.1:
            assert follower.poll()
            found = {one.id: (one.attempts, one.may_have_run) for one in follower.entries.values()}
            assert found == {one.id: (one.attempts, one.may_have_run) for one in journal.entries()}
            assert all(follower.contains(name) for name in open_.values())
    assert min(journal.plan.segments) > 5  # the first segments have been cleaned


def learned() -> tuple[dict, Driver]:
    old = Driver(members=[member(11), member(12, dest=2)])
    old.warm_up(30)
    old.finish(old.message(dest=2), Result.FULL, wait=500.0)
    return orjson.loads(orjson.dumps(export(old.scheduler))), old


def test_learned_state_is_passed_on():
    exported, old = learned()
    new = Driver(members=[member(11), member(12, dest=2)])
    new.now = old.now
    assert restore(new.scheduler, exported, new.now) == 2
    before, after = (one.scheduler.table.endpoints[11].route for one in (old, new))
    assert (after.window, after.restart_timeout_ms, after.median) == (
        before.window,
        before.restart_timeout_ms,
        before.median,
    )
    number = new.message(dest=2)
    assert not new.is_in_flight(number)  # the requested wait is still in force
    new.advance(5000.0)
    assert new.is_in_flight(number)


@pytest.mark.parametrize(
    "damage",
    [
        lambda exported: exported.pop("rest"),
        lambda exported: exported["lanes"][0].pop(),
        lambda exported: exported.update(lanes=[[1]]),
        lambda exported: exported["lanes"][0][3].__setitem__(0, "odd"),
        lambda exported: exported.update(classes=[["x", 1]] * 4),
    ],
)
def test_malformed_learned_state_is_rejected(damage):
    exported, old = learned()
    damage(exported)
    with pytest.raises(ValueError):
        restore(Driver().scheduler, exported, old.now)


@pytest.mark.parametrize(
    "change,accepted", [({}, True), ({"version": 2}, False), ({"unix": 0}, False), ({"now": 10**15}, False)]
)
def test_the_learned_file_is_read_once_and_only_while_fresh(tmp_path, change, accepted):
    exported, _old = learned()
    names = {11: ("a", "127.0.0.1:1"), 12: ("b", "127.0.0.1:2")}
    learned_file.save(tmp_path, exported, names.get, 5_000_000)
    path = tmp_path / learned_file.FILE_NAME
    path.write_bytes(orjson.dumps(orjson.loads(path.read_bytes()) | change))
    numbers = {"a": 31, "b": 32}
    again = learned_file.load(tmp_path, lambda id_, _address: numbers.get(id_), 5_100_000)
    assert (again is not None) == accepted
    if again is not None:
        assert [row[0] for row in again["endpoints"]] == [31, 32]
        assert again["lanes"][0][1] == [31] and again["lanes"][0][2:] == exported["lanes"][0][2:]
    assert not path.exists() and learned_file.load(tmp_path, lambda *_: None, 5_100_000) is None


class Upgrades(NodeCase):
    def setUp(self) -> None:
        super().setUp()
        self.listener = socket.socket()
        self.addCleanup(self.listener.close)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(100)
        self.port = self.listener.getsockname()[1]
        self.processes: list[subprocess.Popen] = []
        self.admins: list[int] = []

    def launch(self, fd: int | None = None) -> subprocess.Popen:
        self.admins.append(self.free_port())
        fd = self.listener.fileno() if fd is None else fd
        one = self.spawn(
            self.configure(), (fd,), NODE_ACCEPT_FD=str(fd), NODE_ADMIN_ADDR=f"127.0.0.1:{self.admins[-1]}"
        )
        self.processes.append(one)
        self.addCleanup(lambda: (one.kill(), one.wait(WAIT_TIMEOUT_S)))
        return one

    def is_ready(self, index: int = -1) -> bool:
        self.admin = self.admins[index]
        with suppress(OSError):
            return self.admin_call("GET /admin/health")[0] == 200
        return False

    def begin(self) -> subprocess.Popen:
        one = self.launch()
        until(self.is_ready, "readiness")
        return one

    def test_the_successor_adopts_open_messages_and_each_ends_once(self):
        executed: list[str] = []
        peer_accepts = threading.Event()
        self.act = (
            lambda call: reply(503) if not peer_accepts.is_set() else executed.append(call[1]["req-id"]) or reply(200)
        )
        old = self.begin()
        connection = self.client()
        for number in range(8):
            self.assertEqual(connection.hand_in(f"m{number}")[0], 202)
        successor = self.begin()
        self.assertEqual(connection.hand_in("still-old")[0], 202)
        old.send_signal(signal.SIGTERM)
        until(lambda: "event=lifecycle state=handing" in self.log.read_text(), "the handover")
        status, headers, _ = connection.hand_in("late")
        self.assertEqual((status, headers["connection"]), (202, "close"))
        started = time.monotonic()
        self.assertEqual(self.client().hand_in("new")[0], 202)  # accepted by the successor
        self.assertLess(time.monotonic() - started, 0.4)
        old.wait(4.0)
        peer_accepts.set()
        names = [f"m{number}" for number in range(8)] + ["still-old", "late", "new"]
        until(lambda: set(executed) | set(self.discovery.notices) >= set(names), "an outcome of each message")
        self.assertEqual(len(executed), len(set(executed)))
        self.assertGreater(len(executed), 0)
        until(lambda: "event=taken_over folder=segments\n" in self.log.read_text(), "the removal of the old folder")
        self.assertEqual(sorted(path.name for path in self.state.iterdir()), ["board", "clock", "heir", "segments.1"])
        self.assertIsNone(successor.poll())

    def test_waiting_messages_are_released_while_the_predecessor_runs_and_both_recognise_them(self):
        unblock = threading.Event()
        self.addCleanup(unblock.set)
        self.act = lambda call: None if call[1]["req-id"] == "hung" and unblock.wait(2 * WAIT_TIMEOUT_S) else reply(503)
        old = self.begin()
        connection = self.client()
        self.assertEqual(connection.hand_in("hung", cls="once")[0], 202)
        until(lambda: self.calls("hung"), "the attempt that hangs")
        self.assertEqual(connection.hand_in("waits", cls="once")[0], 202)
        until(lambda: self.calls("waits"), "the first refusal")
        self.begin()
        old.send_signal(signal.SIGTERM)
        until(lambda: "order=accept" in self.log.read_text(), "the handover")
        self.assertEqual(self.client().hand_in("hung", cls="once")[0], 202)  # a duplicate, at the successor
        # The peer refuses "waits" until the successor has adopted it; if the old process could deliver it first, no
        # message would be released.
        until(lambda: "event=replayed" in self.log.read_text(), "adoption of the released messages")
        self.assertNotIn("order=alone", self.log.read_text())  # released while the old process still runs
        self.assertIsNone(old.poll())
        self.act = lambda _call: reply(200)
        self.assertEqual(self.client().hand_in("waits", cls="once")[0], 202)
        until(
            lambda: "event=taken_over folder=segments" in self.log.read_text(),
            "adoption after the old process has ended",
        )
        until(lambda: "hung" in self.discovery.notices, "the notice of the possibly executed message")
        unblock.set()
        self.assertEqual(len(self.calls("hung")), 1)
        self.assertIn("event=learned lanes=1", self.log.read_text())

    def test_a_successor_that_dies_changes_nothing_and_another_may_start(self):
        old = self.begin()
        successor = self.begin()
        until(lambda: "order=share generation=0" in self.log.read_text(), "detection of the successor")
        successor.kill()
        successor.wait(WAIT_TIMEOUT_S)
        until(lambda: "order=alone" in self.log.read_text(), "detection of the successor's end")
        self.assertEqual(self.client().hand_in("m1")[0], 202)
        third = self.begin()
        self.assertEqual(self.client().hand_in("m0")[0], 202)
        self.assertNotIn("order=accept", self.log.read_text())  # only the old process accepts clients
        old.kill()  # killed without a SIGTERM before
        old.wait(WAIT_TIMEOUT_S)
        self.assertEqual(self.client().hand_in("m2")[0], 202)
        until(lambda: len(self.calls("m2")) == 1, "its delivery")
        self.assertIsNone(third.poll())

    def test_a_successor_terminated_before_it_serves_changes_nothing(self):
        """Terminated at several moments of its start, and once it is ready to accept clients."""
        self.act = lambda _call: reply(503, b"", "Retry-After: 0.300")
        old = self.begin()
        names = [f"m{number}" for number in range(8)]
        for name in names[:4]:
            self.assertEqual(self.client().hand_in(name, "once")[0], 202)
        for index in range(6):
            successor = self.launch()
            if index == 5:
                until(self.is_ready, "its readiness")
            else:
                time.sleep(0.1 * index)
            successor.send_signal(signal.SIGTERM)
            self.assertIn(successor.wait(5.0), (0, -signal.SIGTERM))
        for name in names[4:]:
            self.assertEqual(self.client().hand_in(name, "once")[0], 202)
        self.assertIsNone(old.poll())
        executed: list[str] = []
        self.act = lambda call: executed.append(call[1]["req-id"]) or reply(200)
        until(lambda: set(executed) >= set(names), "all are delivered")
        self.assertEqual((sorted(executed), self.discovery.notices), (names, {}))

    def test_a_start_adopts_every_folder(self):
        """Three interrupted upgrades leave three folders; a single start adopts all of them."""
        ends = int((time.time() + 60) * 1e6)
        for generation in range(3):
            journal = Journal(
                FolderStorage(journal_folders.folder_of(self.state, generation)), 1_000_000, lambda: 5_000_000
            )
            journal.open()
            journal.accept(0, Entry(f"m{generation}", "once", "acme", "", 1, ends, b"body"))
            journal.close()
        self.begin()
        until(lambda: len(self.calls()) == 3, "all are delivered")
        until(lambda: journal_folders.generations(self.state) == [2], "one folder")
        self.assertEqual(sorted(call[1]["req-id"] for call in self.calls()), ["m0", "m1", "m2"])

    def test_an_unreadable_folder_is_kept_and_blocks_no_upgrade(self):
        """The old process dies with damaged manifests: its folder is kept, and the next upgrade succeeds."""
        self.act = lambda _call: reply(503, b"", "Retry-After: 0.300")
        old = self.begin()
        self.assertEqual(self.client().hand_in("m1")[0], 202)
        second = self.begin()
        before = sorted(path.name for path in (self.state / "segments").iterdir())
        slots = [name for name in before if name.startswith("manifest")]
        self.assertTrue(slots)
        for name in slots:
            (self.state / "segments" / name).write_bytes(b"nothing of use")
        old.kill()
        old.wait(WAIT_TIMEOUT_S)
        until(lambda: "event=not_taken_over folder=segments" in self.log.read_text(), "the error about the folder")
        self.act = lambda _call: reply(200)
        self.assertEqual(self.client().hand_in("m2")[0], 202)
        third = self.begin()
        second.send_signal(signal.SIGTERM)
        self.assertEqual(second.wait(WAIT_TIMEOUT_S), 0)
        self.assertEqual(self.client().hand_in("m3")[0], 202)
        until(lambda: self.calls("m2") and self.calls("m3"), "both are delivered")
        self.assertIsNone(third.poll())
        self.assertEqual(sorted(path.name for path in (self.state / "segments").iterdir()), before)

    def test_one_upgrade_right_after_another(self):
        """The third process waits until the second has adopted everything that the first one left."""
        self.act = lambda _call: reply(503, b"", "Retry-After: 0.200")
        first = self.begin()
        self.assertEqual(self.client().hand_in("m1")[0], 202)
        second = self.begin()
        first.send_signal(signal.SIGTERM)
        third = self.begin()
        second.send_signal(signal.SIGTERM)
        first.wait(5.0)
        second.wait(5.0)
        self.act = lambda _call: reply(200)
        self.assertEqual(self.client().hand_in("m2")[0], 202)
        until(
            lambda: {"m1", "m2"}
            <= {call[1]["req-id"] for _, call in list(self.peer.calls)} | set(self.discovery.notices),
            "an outcome of both messages",
        )
        self.assertIsNone(third.poll())
        until(lambda: journal_folders.generations(self.state) == [2], "one folder")

    def test_an_upgrade_in_a_drain_and_a_reload_in_an_upgrade(self):
        old = self.begin()
        self.assertEqual(self.admin_call("POST /admin/quiesce")[0], 200)
        until(lambda: self.admin_call("GET /admin/health")[1]["state"] == "drained", "the drain")
        successor = self.begin()
        self.assertTrue(self.is_ready(1) and not self.is_ready(0))  # each process reports its own readiness
        for one in (old, successor):
            one.send_signal(signal.SIGHUP)
        until(lambda: self.log.read_text().count("reloaded") == 2, "both reloads")
        old.send_signal(signal.SIGTERM)
        old.wait(5.0)
        self.assertEqual(self.client().hand_in("m1")[0], 202)
        until(lambda: self.calls("m1"), "its delivery")
        self.assertEqual(self.client().ask(b"GET /_health HTTP/1.1\r\n\r\n")[0], 200)

    def test_a_requested_wait_binds_both_processes(self):
        self.act = lambda _call: reply(429, b"", "Retry-After: 3.000")
        old = self.begin()
        self.begin()
        self.assertEqual(self.client().hand_in("m1")[0], 202)
        until(lambda: len(self.calls()) == 1, "the wait")
        started = time.monotonic()
        self.act = lambda _call: reply(200)
        old.send_signal(signal.SIGTERM)
        until(lambda: "order=accept" in self.log.read_text(), "the handover")
        self.assertEqual(self.client().hand_in("m2")[0], 202)
        until(lambda: self.calls("m2"), "its delivery")
        self.assertGreater(time.monotonic() - started, 2.0)

    def test_unusable_listening_sockets_are_reported(self):
        with socket.socket() as other, open(os.devnull) as null:
            other.bind(("127.0.0.1", 0))
            for fd in (other.fileno(), null.fileno(), 999):
                one = self.launch(fd) if fd != 999 else self.spawn(self.configure(), NODE_ACCEPT_FD="999")
                self.assertEqual(one.wait(WAIT_TIMEOUT_S), 2)
            other.listen()
            self.assertEqual(self.launch(other.fileno()).wait(WAIT_TIMEOUT_S), 2)
        self.assertEqual(self.log.read_text().count("NODE_ACCEPT_FD"), 4)

    def test_a_kill_at_any_step_sends_nothing_twice_and_loses_nothing(self):
        """Successive upgrades with every process killed at a random moment; the peer counts each message's effects."""
        rng = random.Random(SEED)
        print("UPGRADE_SEED", SEED)
        executed: dict[str, int] = {}
        accepted: list[str] = []

        def act(call) -> bytes:
            if rng.random() < 0.5:
                return reply(503)
            executed[call[1]["req-id"]] = executed.get(call[1]["req-id"], 0) + 1
            return reply(200)

        self.act = act
        stop = threading.Event()

        def hand_in() -> None:
            number = 0
            while not stop.is_set():
                number += 1
                with suppress(OSError, TypeError):
                    client = Client(self.port)
                    cls = ("once", "safe")[number % 2]
                    if client.hand_in(f"{cls}-{number}", cls=cls)[0] == 202:
                        accepted.append(f"{cls}-{number}")
                    client.close()
                time.sleep(0.01)

        current = self.begin()
        feeder = threading.Thread(target=hand_in)
        feeder.start()
        try:
            for _ in range(ROUNDS):
                successor = self.begin()
                current.send_signal(rng.choice([signal.SIGTERM, signal.SIGKILL]))
                time.sleep(rng.random() * 1.5)  # any moment of the handover
                successor.kill()
                successor.wait(WAIT_TIMEOUT_S)
                current.kill()
                current.wait(WAIT_TIMEOUT_S)
                current = self.begin()
        finally:
            stop.set()
            feeder.join()
        self.assertGreater(len(accepted), 10 * ROUNDS)
        until(
            lambda: all(name in executed or name in self.discovery.notices for name in accepted),
            "an end for each message",
        )
        self.assertEqual({name: count for name, count in executed.items() if count > 1 and name.startswith("once")}, {})
