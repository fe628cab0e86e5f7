"""The recorder in a real relay: kills, restarts, replay, sampling, and full or failing disks."""

import errno
import json
import os
import random
import signal
import subprocess
import sys
import time
from pathlib import Path
from unittest.mock import patch

from lab.standins import WAIT_TIMEOUT_S, reply, row, settings, until
from lynxscale.relay.conf.settings import TraceConf
from lynxscale.scheduling.scheduler import Scheduler
from lynxscale.scheduling.settings_reader import settings_from
from lynxscale.trace import records as r
from lynxscale.trace.merge import Merge
from lynxscale.trace.reader import Reader
from lynxscale.trace.recorder import Recorder, sampled
from lynxscale.trace.replay import NotReplayableError, replay
from lynxscale.trace.rotation import Files
from tests import traces
from tests.relay.node import ROOT, NodeCase


class Recording(NodeCase):
    """A relay that records to ``self.traces``."""

    def record(self, *lines: str) -> None:
        self.traces = Path(self.folder.name, "trace")
        conf = Path(self.folder.name, "lynxscale.conf")
        conf.write_text("\n".join(["begin trace", f"folder '{self.traces}'", *lines, "end trace", ""]))
        patched = patch.dict(os.environ, LYNXSCALE_CONF=str(conf))
        patched.start()
        self.addCleanup(patched.stop)

    def files(self) -> list[Path]:
        return sorted(self.traces.glob("*.lxt"), key=lambda path: path.stat().st_mtime_ns)

    def recorded(self, name: str) -> list[list]:
        number = r.BY_NAME[name].number
        return [values for frame in Merge(self.files()) for kind, values in frame.records if kind == number]

    def end(self) -> None:
        self.process.send_signal(signal.SIGTERM)
        self.process.wait(WAIT_TIMEOUT_S)

    def test_a_day_with_faults_kills_and_new_lists_replays_without_a_difference(self):
        self.record("level decisions", "block 4k", "file-size 64k", "flush 0us")
        chance = random.Random(3)
        answers = [reply(200, b"", "Srv-Load: x0=0.4,x1=25")] * 40 + [
            reply(500),
            reply(429, b"", "Retry-After: 0.05"),
            reply(503),
            None,
            b"",
        ]
        self.act = lambda call: chance.choice(answers)
        self.discovery.rows.append(row("s-2", self.peer.at, 2))
        number = 0
        for life in range(3):
            self.start()
            client = self.client()
            for _ in range(150):
                number += 1
                one = f"{number:016x}", ("safe", "keyed", "once")[number % 3], 4.0, b"hello", 1 + number % 2
                # At capacity the relay answers 503; the client retries, so that the scheduler receives every message.
                until(lambda client=client, one=one: client.hand_in(*one)[0] != 503, "room")
                if number % 60 == 0:
                    self.discovery.change(row(f"s-{number}", self.peer.at, 1), row("s-2", self.peer.at, 2, "draining"))
            if life < 2:
                self.kill()
        # Fast answers and then none: an idempotent call is cancelled and restarted.
        self.act = lambda call: reply(200)
        self.discovery.change(row("s-9", self.peer.at, 9))
        until(lambda: client.hand_in("0" * 15 + "9", dest=9)[0] == 202, "the new destination")
        self.restart_one(client)
        self.end()
        played = replay(Merge(self.files()), Scheduler)
        self.assertEqual([one.difference for one in played], [None] * 3)
        self.assertEqual([one.whole for one in sorted(played, key=lambda one: one.whole)], [False, False, True])
        self.assertGreaterEqual(sum(one.messages for one in played), 450)
        kinds = {kind for frame in Merge(self.files()) for kind, _ in frame.records}
        self.assertLessEqual({r.IN_OUTCOME, r.IN_TIMER, r.IN_LIST, r.OUT_CANCEL, r.OUT_REFUSE}, kinds)
        self.other_modules()

    def cancelled_calls(self) -> int:
        return self.counters()["tries"].get("cancelled", 0)

    def restart_one(self, client) -> None:
        """Have a call cancelled and restarted.

        The relay restarts nothing while the route is slow, which can happen at any moment on a busy machine. In that
        case the attempt is repeated with further calls.
        """
        for trial in range(4):
            self.act = lambda call: reply(200)
            for place in range(40):
                number = f"{trial:04x}{place:04x}99999999"
                self.assertEqual(client.hand_in(number, dest=9)[0], 202)
                until(lambda number=number: self.calls(number), "its call")
            self.act = lambda call: b""
            client.hand_in(f"{trial:04x}ffffffffffff", left=5.0, dest=9)
            expires = time.monotonic() + 5.0
            until(lambda expires=expires: self.cancelled_calls() or time.monotonic() > expires, "a cut or its end")
            if self.cancelled_calls():
                self.act = lambda call: reply(200)
                return
        self.fail("no call was cancelled for a restart")

    def other_modules(self) -> None:
        """A scheduler that differs in one step is reported at that step, and is counted as another version."""
        path = Path(self.folder.name, "other.py")
        path.write_text(
            "from lynxscale.scheduling import scheduler\nfrom lynxscale.scheduling.actions import Note\n\n"
            "class Scheduler(scheduler.Scheduler):\n"
            "    def step(self, now, events):\n        actions = super().step(now, events)\n"
            "        if self.context.step_number == 40:\n            actions.append(Note('odd'))\n"
            "        return actions\n"
        )
        command = [sys.executable, "-m", "lynxscale", "trace", "replay"]
        done = subprocess.run([*command, "--json", "--module", path, self.traces], cwd=ROOT, capture_output=True)
        self.assertEqual(done.returncode, 0, done.stderr)
        results = json.loads(done.stdout)
        self.assertEqual({one["replayed"].get("Note", 0) - one["recorded"].get("Note", 0) for one in results}, {1})
        space: dict = {}
        exec(path.read_text(), space)
        for one in replay(Merge(self.files()), space["Scheduler"]):
            self.assertEqual((one.difference.step, one.difference.replayed.text), (40, "odd"))
            self.assertEqual(len(one.difference.led_up), 12)
        frames = list(Merge(self.files()[:1]))
        for part, reason in ((frames[1:], "does not begin"), (frames[:5] + frames[6:], "records .* are missing")):
            with self.assertRaisesRegex(NotReplayableError, reason):
                replay(part, Scheduler)

    def test_a_kill_loses_nothing_of_what_was_written_before(self):
        """Six kills; ``make soak-trace`` sets TRACE_KILLS to fifty."""
        self.record("level tries", "block 4k", "flush 0us")
        for life in range(int(os.environ.get("TRACE_KILLS", "6"))):
            self.start()
            client = self.client()
            for number in range(60 + 7 * life):
                client.hand_in(f"{life:08x}{number:08x}")
            self.delivered(number + 1)
            self.kill()
            path = self.files()[-1]
            with Reader(path) as reader:
                frames = list(reader.frames())
                self.assertEqual([loss for loss in reader.losses if not loss.torn], [])
            ends = {values[0].id for frame in frames for kind, values in frame.records if kind == r.END}
            # The counters show an end only after the turn in which it was written.
            self.assertEqual(len(ends), number + 1)
            self.assertEqual(
                [frame.seq for frame in frames],
                [sum(len(one.records) for one in frames[:k]) for k in range(len(frames))],
            )

    def test_a_message_is_followed_through_rotation_and_restart(self):
        self.record("level tries", "block 4k", "file-size 64k", "file-age 1s")
        self.act = lambda call: b""
        self.start()
        self.client().hand_in("00000000feedbeef", left=14.0)
        until(lambda: self.calls("00000000feedbeef"), "the call")
        until(lambda: self.client().hand_in(os.urandom(8).hex(), left=0.5) and len(self.files()) > 1, "a second file")
        self.kill()
        self.act = lambda call: reply(200)
        self.start()
        until(lambda: self.counters().get("ends", {}).get("delivered"), "its delivery")
        self.end()
        done = subprocess.run(
            [sys.executable, "-m", "lynxscale", "trace", "message", "00000000feedbeef", self.traces],
            cwd=ROOT,
            capture_output=True,
            text=True,
        )
        self.assertIn("1 tries by an earlier process", done.stdout)
        self.assertIn("end: delivered", done.stdout.splitlines()[-1])

    def test_a_folder_that_cannot_be_made_costs_records_and_nothing_else(self):
        self.record("level decisions")
        self.traces.write_text("a file where the folder should be")
        self.start()
        self.assertEqual(self.client().hand_in("m1")[0], 202)
        self.delivered(1)
        until(lambda: "event=trace_failed" in self.log.read_text(), "the log's line")
        self.end()
        self.assertEqual(self.process.returncode, 0)

    def test_without_a_folder_none_of_it_is_imported(self):
        self.start()
        maps = Path(f"/proc/{self.process.pid}/maps").read_text()
        self.assertFalse([name for name in ("zstandard", "netaddr", "hdrh") if name in maps])


def recorder(folder: Path, clock=lambda: 0, **changes) -> Recorder:
    conf = TraceConf(folder=str(folder), flush=0, **changes)
    return Recorder(
        conf,
        settings_from(settings()),
        "n1",
        1,
        lambda number: (f"s-{number}", "10.0.0.1:1"),
        lambda *_a, **_k: None,
        lambda *_a: None,
        clock,
    )


class Envelope:
    def __init__(self, id_: str, cls: int = 0) -> None:
        self.id, self.cls, self.tenant, self.dest, self.body, self.time_left = id_, cls, 0, 1, b"secret body", 1000


def record_messages(one: Recorder, count: int, first: int = 0) -> None:
    for number in range(first, first + count):
        now = 1_000_000 + number * 1000
        one.message(now, number, Envelope(f"{number:016x}", number % 3), number % 3, 0, 1000)
        one.admitted(now, number, "taken", 0.0)
        one.ended(now, number, "delivered")
        one.forgotten(now, number)
        one.turn_ended()


def read_records(folder: Path) -> list[tuple]:
    return [(kind, values) for frame in Merge(sorted(folder.glob("*.lxt"))) for kind, values in frame.records]


def test_a_sample_keeps_the_same_messages_whole_at_every_relay(tmp_path):
    found = []
    for name in "ab":
        one = recorder(tmp_path / name, sample=0.25, classes=("safe", "once"))
        record_messages(one, 600)
        one.stop(1, 0)
        by_id: dict = {}
        for kind, values in read_records(tmp_path / name):
            if isinstance(values[0], r.Msg):
                by_id.setdefault(values[0].id, []).append(kind)
        found.append(by_id)
    assert found[0] == found[1]
    assert set(map(tuple, found[0].values())) == {(r.MESSAGE, r.ADMIT, r.END)}
    assert 60 < len(found[0]) < 140
    assert all(sampled(id_, 0.25) and int(id_, 16) % 3 != 1 for id_ in found[0])


def test_bodies_and_keys_are_never_written(tmp_path):
    one = recorder(tmp_path, level="decisions")
    record_messages(one, 50)
    one.stop(1, 0)
    assert all(b"secret" not in path.read_bytes() for path in tmp_path.iterdir())
    assert "secret" not in repr(read_records(tmp_path))


def test_a_disk_that_fills_drops_records_counts_them_and_is_used_again(tmp_path):
    now = [0]
    one = recorder(tmp_path, lambda: now[0])
    record_messages(one, 20)
    write, full = os.pwrite, [True]

    def pwrite(fd, data, at):
        if not full[0]:
            return write(fd, data, at)
        write(fd, data[:3], at)  # as much as there is space for
        raise OSError(errno.ENOSPC, "No space left on device")

    with patch.object(os, "pwrite", pwrite):
        record_messages(one, 30, 20)
        now[0] += 10_000_000
        record_messages(one, 5, 50)  # retried while the disk is still full
        full[0] = False
        now[0] += 100_000_000
        record_messages(one, 10, 55)
    one.stop(1, 0)
    records = read_records(tmp_path)
    dropped = [values for kind, values in records if kind == r.DROPPED]
    assert len(dropped) == 1
    assert dropped[0][0] >= 35 * 3
    assert dropped[0][4][1] == "disk"
    ids = [int(values[0].id, 16) for kind, values in records if kind == r.END]
    assert ids == [*range(20), *range(55, 65)]


def test_more_than_may_wait_is_dropped_and_counted(tmp_path):
    one = recorder(tmp_path, memory=16 << 10)
    for number in range(200):
        one.message(5, number, Envelope(f"{number:016x}"), 0, 0, 1000)
    one.turn_ended()
    record_messages(one, 1, 900)
    one.stop(9, 0)
    records = read_records(tmp_path)
    most = (16 << 10) // 32 // 10  # slots of the queue, divided by the slots of a message
    assert most - 1 <= sum(kind == r.MESSAGE for kind, _ in records) - 1 <= most
    dropped = [values[0] for kind, values in records if kind == r.DROPPED]
    assert dropped == [201 - sum(kind == r.MESSAGE for kind, _ in records)]


def test_files_stay_within_their_total_and_the_oldest_go(tmp_path):
    files = Files(
        TraceConf(folder=str(tmp_path), block=4096, file_size=64 << 10, total=256 << 10), "a", lambda *_a, **_k: None
    )
    most = 0
    for seed in range(60):
        for frame in traces.frames(60, process=f"{seed:012x}", seed=seed):
            files.put([frame])
        most = max(most, sum(path.stat().st_size for path in tmp_path.iterdir()))
    files.close()
    assert 128 << 10 < most <= 256 << 10
    names = [name for name in sorted(tmp_path.iterdir())]
    assert len(names) > 2
    assert not [loss for path in names for loss in _losses(path)]


def _losses(path: Path) -> list:
    with Reader(path) as reader:
        list(reader.frames())
        return reader.losses
