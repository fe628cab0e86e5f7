"""A relay without the platform: its configuration, its log of final outcomes, and the list commands."""

import asyncio
import dataclasses
import json
import os
import signal
import socket
import subprocess
import sys

import pytest

from lab import traffic
from lab.clients import LoadGenerator
from lab.demo import CONF, ROOT, StandaloneRelay, entries_of, play
from lab.partner import EndpointBehaviour, Partner
from lynxscale.relay.conf import product_settings, reader
from lynxscale.relay.counters import Counters
from lynxscale.relay.deadlines import Deadlines, Loop
from lynxscale.relay.outcome_log import OutcomeLog
from lynxscale.scheduling.settings_reader import settings_from

TEXT = CONF.read_text()


def faults(tmp_path, text: str) -> list[str]:
    path = tmp_path / "a.conf"
    path.write_text(text)
    with pytest.raises(reader.ConfigurationError) as caught:
        reader.read(path, {})
    return [str(fault).removeprefix(f"{path}").removeprefix(":") for fault in caught.value.faults]


def test_directives_and_platform_json_give_the_same_settings():
    """The deployed file gives the same settings as the platform of this deployment, except those that it omits."""
    from_directives = settings_from(product_settings.platform_settings(reader.read(CONF, {})))
    from_platform = settings_from(traffic.settings())
    differences = {
        name: (value, getattr(from_platform, name))
        for name, value in dataclasses.asdict(from_directives).items()
        if value != dataclasses.asdict(from_platform)[name]
    }
    assert set(differences) == {
        "senders",
        "asks_for_members",
        "ask_within_ms",
        "route_fee",
        "drain_grace_ms",
        "classes",
    }
    for ours, theirs in zip(from_directives.classes, from_platform.classes, strict=True):
        # The platform gives a span for every class; it is used only for classes with idempotency keys.
        assert dataclasses.replace(theirs, memory_span_ms=ours.memory_span_ms) == ours


@pytest.mark.parametrize(
    "old, new, fault",
    [
        ("effect at_most_once", "effect twice", "class: want NAME [effect idempotent,deduplicated,at_most_once]"),
        ("  span 7500ms", "", "class: want span for inscripcion, the time for which its key is remembered"),
        ("aim 2s ", "", "class: want aim for pago-premio"),
        ("class pago-premio", "class inscripcion", "class: want inscripcion once"),
        ("tenant club-oviedo", "tenant club-oviedo quota", "tenant: want NAME [quota NUMBER]"),
        ("listen 127.0.0.1:8080", "listen 8080", "listen: want HOST:PORT, not 8080"),
        ("allow 127.0.0.0/8", "allow 127.0.0.0/40", "allow: want IPv4 networks such as 10.1.0.0/16, not 127.0.0.0/40"),
        ("file state/finals.jsonl", "file a\n    http 127.0.0.1:9", "file: want a file or http, not both"),
        ("    file state/finals.jsonl\n", "", "relay: want file or http in finals"),
        ("files lists ", "# ", "relay: want files in members, or discovery in relay"),
        ("files lists ", "files lists lists # ", "files: want each path once"),
    ],
)
def test_invalid_sections_are_rejected_before_the_start(tmp_path, old, new, fault):
    assert old in TEXT
    found = faults(tmp_path, TEXT.replace(old, new))
    assert any(fault in one for one in found), found


def test_unusable_state_folder_ends_the_start_with_one_error_line(tmp_path):
    (tmp_path / "state").write_text("in the way")
    (tmp_path / "a.conf").write_text(TEXT)
    done = subprocess.run(
        [sys.executable, "-m", "lynxscale", "run", "--conf", "a.conf"],
        cwd=tmp_path,
        env={"PYTHONPATH": str(ROOT), "PATH": os.environ["PATH"]},
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert done.returncode == 2 and "lynxscale: state: state is not writable" in done.stderr
    assert "Traceback" not in done.stderr


class ManualTimers:
    """Deadlines whose callbacks a test calls explicitly."""

    def __init__(self) -> None:
        self.calls: list = []
        loop = Loop(lambda *_: None)
        self.deadlines = Deadlines(loop, lambda _after, callback: self.calls.append(callback) or Cancelled())
        self.deadlines.after = lambda _micros, callback, *args: self.calls.append(lambda: callback(*args))

    def fire(self) -> None:
        calls, self.calls = self.calls, []
        for call in calls:
            call()


class Cancelled:
    def cancel(self) -> None:
        pass


def outcome_log(tmp_path, done: list, size: int = 1 << 20, keep: int = 2) -> tuple[OutcomeLog, ManualTimers]:
    timers = ManualTimers()
    return OutcomeLog(
        tmp_path / "sub" / "finals.jsonl", size, keep, timers.deadlines, done.append, Counters(), lambda: 12.5
    ), timers


def test_outcomes_that_cannot_be_written_are_kept_and_retried(tmp_path, monkeypatch):
    done: list = []
    out, timers = outcome_log(tmp_path, done)
    out.enqueue(1, "a", "deferred", 700)
    (tmp_path / "sub").write_text("in the way")
    timers.fire()
    timers.fire()
    assert done == [] and len(out) == 1
    (tmp_path / "sub").unlink()
    out.enqueue(2, "b", "undeliverable", 0)
    timers.fire()
    rows = [json.loads(line) for line in (tmp_path / "sub" / "finals.jsonl").read_text().splitlines()]
    assert rows == [
        {"id": "a", "status": "deferred", "ts": 12.5, "again_ms": 700},
        {"id": "b", "status": "undeliverable", "ts": 12.5},
    ]
    assert done == [1, 2] and not len(out)


def test_outcome_log_starts_a_new_line_after_a_truncated_one_and_rotates(tmp_path):
    done: list = []
    out, timers = outcome_log(tmp_path, done, size=4096, keep=2)
    path = tmp_path / "sub" / "finals.jsonl"
    path.parent.mkdir()
    path.write_bytes(b'{"id": "torn')
    out.enqueue(0, "whole", "deferred", 0)
    timers.fire()
    assert json.loads(path.read_bytes().splitlines()[-1])["id"] == "whole"
    for number in range(1, 301):
        out.enqueue(number, f"{number:032}", "deferred", 0)
        timers.fire()
    names = sorted(one.name for one in path.parent.iterdir())
    assert set(names) <= {"finals.jsonl", "finals.jsonl.1", "finals.jsonl.2"} and "finals.jsonl.2" in names
    kept = [
        json.loads(line)["id"]
        for one in ("finals.jsonl.2", "finals.jsonl.1", "finals.jsonl")
        if (path.parent / one).exists()
        for line in (path.parent / one).read_text().splitlines()
    ]
    assert kept == [f"{number:032}" for number in range(301 - len(kept), 301)] and len(done) == 301


def test_port_of_a_stopped_relay_stays_reserved(tmp_path):
    """Guards against another process on the port that a test would mistake for the relay."""
    relay = StandaloneRelay(tmp_path, TEXT)
    with socket.socket() as other, pytest.raises(OSError, match="in use"):
        other.bind(("127.0.0.1", relay.port))
    relay.close()


def test_kill_loses_no_final_outcome(tmp_path):
    """The peer rejects every call, so each accepted message ends with a line in the log, despite the kills."""

    async def scene():
        partner, relay = (
            Partner(3, behaviour=EndpointBehaviour(refusing=1.0, wait_s=0.0)),
            StandaloneRelay(tmp_path, TEXT),
        )
        await partner.open("s-00")
        relay.put(entries_of(partner), 1)
        await relay.start()
        desk = LoadGenerator(relay.port, 3, 1, left=2.0)
        for _ in range(3):
            await asyncio.gather(desk.run(range(len(desk.sent), len(desk.sent) + 20), 100.0))
            await relay.stop(signal.SIGKILL)
            await relay.start()
        accepted_ids = {id_ for id_, one in desk.sent.items() if one.status == 202}
        end = asyncio.get_running_loop().time() + 20
        while accepted_ids - set(relay.finals()) and asyncio.get_running_loop().time() < end:
            await asyncio.sleep(0.05)
        assert accepted_ids and not accepted_ids - set(relay.finals())
        assert await relay.stop() == 0
        relay.close()
        partner.close_all()

    asyncio.run(scene())


def test_demo_breaks_no_rule(tmp_path):
    output: list = []
    report = asyncio.run(play(tmp_path, 120, 5, output.append))
    assert report.breaches == [] and sum(row["handed in"] for row in report.table.values()) == 120
    assert any("rejected whole" in line for line in output)


def run(*words: str, cwd) -> subprocess.CompletedProcess:
    env = {"PYTHONPATH": str(ROOT), "PATH": os.environ["PATH"], "LYNXSCALE_CONF": str(CONF)}
    return subprocess.run(
        [sys.executable, "-m", "lynxscale", "list", *words],
        cwd=cwd,
        env=env,
        capture_output=True,
        text=True,
        timeout=60,
    )


def test_lists_are_written_checked_and_compared_by_commands(tmp_path):
    line = "s-1 127.0.0.1:9000 destination 1 zone a kind club-reservas weight 5 ready"
    made = run(
        "generate",
        "--endpoint",
        line,
        "--endpoint",
        line.replace("s-1", "s-2").replace("9000", "9001"),
        "-o",
        "a.list",
        cwd=tmp_path,
    )
    assert made.returncode == 0 and "generation 1, 2 endpoints" in made.stdout, made.stderr
    assert (
        run(
            "generate", "--from", "a.list", "--drain", "s-1", "--weight", "s-2=7.5", "-o", "b.list", cwd=tmp_path
        ).returncode
        == 0
    )
    found = json.loads(run("diff", "a.list", "b.list", "--json", cwd=tmp_path).stdout)
    assert (found["drained"], found["reweighted"], found["guards"]) == (["s-1"], ["s-2"], [])
    removed = run("generate", "--from", "b.list", "--remove", "s-1", "--remove", "s-2", cwd=tmp_path).stdout
    (tmp_path / "c.list").write_text(removed)
    assert (
        "guard: c.list: destination 1: its last endpoint would go"
        in run("diff", "b.list", "c.list", cwd=tmp_path).stdout
    )
    both = run("check", "a.list", "b.list", cwd=tmp_path)
    assert both.returncode == 1 and "destination 1: want it in one file: a.list has it" in both.stderr
    assert run("check", "a.list", "--json", cwd=tmp_path).returncode == 0
    wrong = run("generate", "--from", "a.list", "--weight", "s-2=nan", "-o", "d.list", cwd=tmp_path)
    assert wrong.returncode == 1 and "weight nan" in wrong.stderr and not (tmp_path / "d.list").exists()
    assert run("generate", "--drain", "s-9", cwd=tmp_path).returncode == 2
    (tmp_path / "half.list").write_text("list 1 generation 1\n")
    assert "half-written" in run("show", "half.list", cwd=tmp_path).stderr
    assert run("show", "--state", "nowhere", cwd=tmp_path).returncode == 1
    (tmp_path / "state").mkdir()
    assert "waiting: none" in run("approve", "--state", "state", "0123456789", cwd=tmp_path).stderr
