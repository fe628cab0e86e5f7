"""Watched list files with a running relay: rewrites, replaced files, drains under load, restarts during an update."""

import asyncio
import itertools
import json
import os
import random
import signal
import time
from pathlib import Path

import pytest
from twisted.internet.defer import Deferred

from lab.clients import LoadGenerator
from lab.demo import CONF, StandaloneRelay, entries_of
from lab.partner import EndpointBehaviour, Partner
from lab.rules import check_rules
from lab.standins import Discovery, row
from lynxscale.relay.conf.settings import MembersConf
from lynxscale.relay.counters import Counters
from lynxscale.relay.deadlines import Deadlines, Loop
from lynxscale.relay.upstream import file_watch, files
from lynxscale.relay.upstream.group import Group
from lynxscale.relay.upstream.list_store import ListStore
from lynxscale.relay.upstream.model import Endpoint
from lynxscale.relay.upstream.rules import rules_of
from lynxscale.relay.upstream.verdict_reporter import VerdictReporter
from tests.scheduling.driver import settings as module_settings

SEED = int(os.environ.get("LISTS_SEED", "1"))
REWRITES = int(os.environ.get("LISTS_REWRITES", "400"))
TIMEOUT_S = 20.0
MAX_DRAIN_S = 2.0


async def until(condition, what: str):
    end = time.monotonic() + TIMEOUT_S
    while time.monotonic() < end:
        if found := condition():
            return found
        await asyncio.sleep(0.01)
    raise AssertionError(f"not seen in time: {what}")


class ListScenario:
    """A partner with some endpoints, and a relay with the deployed configuration or a variant of it."""

    def __init__(self, folder: Path, conf: str = CONF.read_text(), endpoints: int = 4, latency: float = 5.0) -> None:
        self.partner = Partner(SEED, behaviour=EndpointBehaviour(latency_ms=latency))
        self.relay, self.endpoints = StandaloneRelay(folder, conf), endpoints
        self.lists, self.runs = ListStore(folder / "state"), 0

    async def __aenter__(self) -> "ListScenario":
        for index in range(self.endpoints):
            await self.partner.open(f"s-{index:02}")
        return self

    async def __aexit__(self, *_) -> None:
        if self.relay.process is not None:
            await self.relay.stop(signal.SIGKILL)
        self.relay.close()
        self.partner.close_all()

    def verdicts(self) -> list[dict]:
        return list(self.lists.read_verdicts())

    def log(self) -> str:
        return self.relay.log.read_text()

    async def verdict(self, data: bytes) -> dict:
        """Wait for the verdict on the version with these bytes."""
        digest = files.digest_of(data)
        return (await until(lambda: [one for one in self.verdicts() if one["digest"] == digest], "a verdict"))[-1]

    async def wait_for_log(self, text: str, times: int = 1) -> None:
        await until(lambda: self.log().count(text) >= times, text)

    async def served_by(self, messages: int = 30) -> set[str]:
        """Send messages to destination 0 and return the endpoints that are called for them."""
        self.runs += 1
        before, desk = len(self.partner.calls), LoadGenerator(self.relay.port, SEED * 1000 + self.runs, 1, 4, 10.0)
        await desk.run(range(messages), 200.0)
        accepted_count = sum(one.status == 202 for one in desk.sent.values())
        await until(
            lambda: sum(call.id in desk.sent for call in self.partner.calls[before:]) >= accepted_count, "the calls"
        )
        return {call.endpoint for call in self.partner.calls[before:] if call.id in desk.sent}

    def entries(self, *names: str, draining=(), weight: float = 60.0) -> list[Endpoint]:
        rows = {one.id: one for one in entries_of(self.partner)}
        return [
            rows[name]._replace(
                destination=0, weight=weight, lifecycle=files.LIFECYCLES["draining" if name in draining else "ready"]
            )
            for name in names
        ]


def conf_with(**members: str) -> str:
    """The deployed configuration with other directives in its section ``members``."""
    lines = CONF.read_text().splitlines()
    begin = lines.index("begin members")
    unchanged = [line for line in lines[begin + 1 : -1] if line.split()[:1] and line.split()[0] not in members]
    overrides = [f"    {name.replace('_', '-')} {value}" for name, value in members.items()]
    return "\n".join([*lines[: begin + 1], *unchanged, *overrides, "end members", ""])


GUARDS_OFF = {"most-removed": "1", "last-endpoint": "allow"}
UNGUARDED_CONF = conf_with(**GUARDS_OFF, ramp="0s")


def corrupt(data: bytes, rng: random.Random) -> tuple[bytes, str]:
    """Return corrupted bytes and the expected outcome: ``half`` (incomplete, no verdict) or ``rejected``."""
    kind = rng.choice(["cut", "twice", "address", "weight", "network", "count", "nul", "crlf", "mark", "tail"])
    lines = data.splitlines(keepends=True)
    if kind == "cut":
        return data[: rng.randrange(len(data))], "half"
    if kind == "twice":
        lines.insert(2, lines[1])
    elif kind == "address":
        lines.insert(2, lines[1].replace(b"endpoint s-", b"endpoint t-"))
    elif kind == "weight":
        lines[1] = lines[1].replace(b"weight 60", rng.choice([b"weight nan", b"weight -1", b"weight 1e400"]))
    elif kind == "network":
        lines[1] = lines[1].replace(b"127.0.0.1", b"10.0.0.1")
    elif kind == "count":
        lines[-1] = b"end 77\n"
    elif kind == "nul":
        lines[1] = lines[1].replace(b" ", b"\0", 1)
    elif kind == "crlf":
        lines = [line.replace(b"\n", b"\r\n") for line in lines]
    elif kind == "mark":
        lines.insert(0, b"\xef\xbb\xbf")
    else:
        return data + b"endpoint", "half"
    return b"".join(lines), "rejected"


def test_rapid_rewrites_are_applied_completely_or_not_at_all(tmp_path):
    async def run():
        print("seed", SEED)
        rng, expected = random.Random(SEED), {}
        async with ListScenario(tmp_path, UNGUARDED_CONF, endpoints=6) as scenario:
            path = scenario.relay.lists / "a.list"
            names = list(scenario.partner.addresses)
            first = files.write(scenario.entries(*names), 1)
            path.write_bytes(first)
            expected[files.digest_of(first)] = (1, frozenset(names))
            await scenario.relay.start()
            await scenario.verdict(first)
            generation = 1
            for _ in range(REWRITES):
                picked = rng.sample(names, rng.randrange(1, len(names) + 1))  # in random order
                step = rng.choice([-1, 0, 1, 1, 1, 2])
                number = max(0, generation + step)
                generation = max(generation, number)
                data = files.write(scenario.entries(*picked), number)
                expected_outcome = (number, frozenset(picked))
                if rng.random() < 0.5:
                    data, expected_outcome = corrupt(data, rng)
                expected[files.digest_of(data)] = expected_outcome
                if rng.random() < 0.5:
                    with open(path, "r+b") as out:  # rewritten in place, in two steps
                        out.truncate(0)
                        half = rng.randrange(len(data) + 1)
                        out.write(data[:half])
                        out.flush()
                        expected.setdefault(files.digest_of(data[:half]), "half")
                        out.write(data[half:])
                else:
                    (scenario.relay.folder / "new").write_bytes(data)
                    os.replace(scenario.relay.folder / "new", path)
                await asyncio.sleep(rng.choice([0, 0, 0, 0.005, 0.02, 0.12]))
            generation += 5
            last = files.write(scenario.entries("s-00", "s-03"), generation)
            expected[files.digest_of(last)] = (generation, frozenset({"s-00", "s-03"}))
            (scenario.relay.folder / "new").write_bytes(last)
            os.replace(scenario.relay.folder / "new", path)
            await scenario.verdict(last)
            called = await scenario.served_by()
            check(scenario.verdicts(), expected)
            assert called <= {"s-00", "s-03"} and called
            assert [one.data for one in scenario.lists.load_good()] == [last]
            assert await scenario.relay.stop() == 0
            return len(scenario.verdicts())

    seen = asyncio.run(run())
    print(f"{REWRITES} rewrites, {seen} versions seen")
    assert seen > min(20, REWRITES // 20)


def check(verdicts: list[dict], expected: dict) -> None:
    """Check each verdict against the expected outcome of its bytes and the version in force at that time."""
    number, digest, names = None, "", frozenset()
    for one in verdicts:
        expected_outcome = expected.get(one["digest"])
        assert expected_outcome is not None and expected_outcome != "half", f"a verdict on an incomplete file: {one}"
        if expected_outcome == "rejected" or (number is not None and expected_outcome[0] <= number):
            assert one["outcome"] == "rejected" and one["reasons"], (one, expected_outcome, number)
            continue
        assert one["outcome"] == "applied" and one["digest"] != digest, (one, expected_outcome, number)
        assert (one.get("added", 0), one.get("gone", 0)) == (
            len(expected_outcome[1] - names),
            len(names - expected_outcome[1]),
        ), one
        number, digest, names = expected_outcome[0], one["digest"], expected_outcome[1]


def test_each_replacement_of_the_file_has_a_defined_outcome(tmp_path):
    async def run():
        async with ListScenario(tmp_path, UNGUARDED_CONF) as scenario:
            relay, path = scenario.relay, scenario.relay.lists / "a.list"
            relay.put(scenario.entries("s-00", "s-01"), 1, "a.list")
            await relay.start()
            await scenario.verdict(path.read_bytes())
            good = path.read_bytes()
            # While the file is missing, a FIFO or a folder, the last good list stays in force; each case is logged.
            path.unlink()
            await scenario.wait_for_log('reason="no such file" kept=1 endpoints=2')
            os.mkfifo(path)
            await scenario.wait_for_log('reason="want a plain file, not a FIFO" kept=1')
            path.unlink()
            path.mkdir()
            await scenario.wait_for_log('reason="want a plain file, not a folder" kept=1')
            path.rmdir()
            assert await scenario.served_by() == {"s-00", "s-01"}
            # The file is restored and touched: the same bytes are not a new version.
            path.write_bytes(good)
            await scenario.wait_for_log("event=list_back")
            os.utime(path)
            # A link to a versioned folder is switched; no watch covers the link's target.
            versions = relay.folder / "versions"
            for number, names in ((2, ("s-02",)), (3, ("s-03", "s-00"))):
                (versions / str(number)).mkdir(parents=True)
                (versions / str(number) / "a.list").write_bytes(files.write(scenario.entries(*names), number))
            (versions / "now").symlink_to("2")
            path.unlink()
            path.symlink_to(versions / "now" / "a.list")
            await scenario.verdict(path.read_bytes())
            (versions / "next").symlink_to("3")
            os.replace(versions / "next", versions / "now")
            await scenario.verdict(path.read_bytes())
            assert await scenario.served_by() <= {"s-03", "s-00"}
            # The folder itself is replaced.
            os.rename(relay.lists, relay.folder / "old")
            relay.lists.mkdir()
            relay.put(scenario.entries("s-01"), 4, "a.list")
            assert (await scenario.verdict(path.read_bytes()))["outcome"] == "applied"
            assert await scenario.served_by() == {"s-01"}
            outcomes = [one["outcome"] for one in scenario.verdicts()]
            assert outcomes == ["applied"] * 4, scenario.verdicts()

    asyncio.run(run())


def test_a_bad_file_at_the_start_leaves_the_last_good_one_in_force(tmp_path):
    async def run():
        async with ListScenario(tmp_path, UNGUARDED_CONF) as scenario:
            relay, path = scenario.relay, scenario.relay.lists / "a.list"
            relay.put(scenario.entries("s-02"), 1, "a.list")
            await relay.start()
            await until(lambda: list(scenario.lists.load_good()), "the good list to be saved")
            await relay.stop(signal.SIGKILL)
            path.write_bytes(b"list 1 generation 2\nendpoint\nend 1\n")
            await relay.start()
            assert (await scenario.verdict(path.read_bytes()))["outcome"] == "rejected"
            assert await scenario.served_by() == {"s-02"}
            assert "event=list_restored unit=lists/a.list version=1" in scenario.log()

    asyncio.run(run())


@pytest.mark.parametrize("events_lost", [False, True], ids=["watched", "lost events"])
def test_nothing_new_goes_to_a_drained_endpoint_after_two_seconds_under_load(tmp_path, events_lost):
    async def run():
        async with ListScenario(tmp_path, UNGUARDED_CONF, latency=20.0) as scenario:
            relay = scenario.relay
            relay.put(scenario.entries("s-00", "s-01", "s-02"), 1, "a.list")
            await relay.start()
            desk, drained = LoadGenerator(relay.port, SEED, 1, left=10.0), {}

            async def drain():
                await asyncio.sleep(1.0)
                if events_lost:
                    # The inotify queue overflows while the relay is stopped, so the next change is not reported.
                    relay.process.send_signal(signal.SIGSTOP)
                    junk = relay.lists / "junk"
                    for _ in range(7000):
                        junk.touch()
                        junk.unlink()
                    drained["s-01"] = relay.put(
                        scenario.entries("s-00", "s-01", "s-02", draining=["s-01"]), 2, "a.list"
                    )
                    relay.process.send_signal(signal.SIGCONT)
                else:
                    drained["s-01"] = relay.put(
                        scenario.entries("s-00", "s-01", "s-02", draining=["s-01"]), 2, "a.list"
                    )

            async def hand_in():
                numbers = itertools.count()
                while not drained or time.monotonic() < drained["s-01"] + MAX_DRAIN_S + 1.0:
                    await desk.run(itertools.islice(numbers, 100), 200.0)

            await asyncio.gather(drain(), hand_in())
            await relay.settled(sum(one.status == 202 for one in desk.sent.values()))
            found = check_rules(desk.sent, scenario.partner.calls, relay.finals(), drained=drained)
            assert found.breaches == []
            after = {call.endpoint for call in scenario.partner.calls if call.at > drained["s-01"] + MAX_DRAIN_S}
            assert after == {"s-00", "s-02"}
            assert any(call.endpoint == "s-01" for call in scenario.partner.calls)

    asyncio.run(run())


def test_a_guarded_version_waits_for_approval_and_drains_meanwhile(tmp_path):
    async def run():
        async with ListScenario(tmp_path) as scenario:
            relay, path = scenario.relay, scenario.relay.lists / "a.list"
            relay.put(scenario.entries("s-00", "s-01", "s-02", "s-03"), 1, "a.list")
            await relay.start()
            await scenario.verdict(path.read_bytes())
            relay.put(scenario.entries("s-00", draining=["s-00"]), 2, "a.list")
            awaiting = await scenario.verdict(path.read_bytes())
            assert awaiting["outcome"] == "held" and "3 of 4 endpoints would go" in awaiting["reasons"][0]
            assert "s-00" not in await scenario.served_by()
            process = await asyncio.create_subprocess_exec(
                os.sys.executable,
                "-m",
                "lynxscale",
                "list",
                "approve",
                "--state",
                str(tmp_path / "state"),
                awaiting["digest"][:12],
                cwd=CONF.parent.parent,
                stdout=asyncio.subprocess.PIPE,
            )
            assert (await process.communicate())[0].decode() == f"approved {awaiting['digest']}\n"
            await until(lambda: scenario.verdicts()[-1]["outcome"] == "applied", "the approved version")
            assert not scenario.lists.load_awaiting() and not scenario.lists.approved_digests()

    asyncio.run(run())


def test_a_destination_moves_from_one_file_to_another(tmp_path):
    async def run():
        async with ListScenario(tmp_path, UNGUARDED_CONF) as scenario:
            relay = scenario.relay
            relay.put(scenario.entries("s-00"), 1, "b.list")
            await relay.start()
            await scenario.verdict((relay.lists / "b.list").read_bytes())
            relay.put(scenario.entries("s-00", "s-01"), 1, "a.list")
            conflict = await scenario.verdict((relay.lists / "a.list").read_bytes())
            assert conflict["outcome"] == "rejected" and "lists/b.list has it" in conflict["reasons"][0]
            relay.put([], 2, "b.list")
            await until(
                lambda: [
                    one for one in scenario.verdicts() if one["unit"] == "lists/a.list" and one["outcome"] == "applied"
                ],
                "a.list to be applied",
            )
            assert await scenario.served_by() == {"s-00", "s-01"}

    asyncio.run(run())


def test_removed_files_without_a_list_are_forgotten_and_free_what_they_owned(tmp_path):
    async def run():
        async with ListScenario(tmp_path, UNGUARDED_CONF) as scenario:
            relay = scenario.relay
            relay.put(scenario.entries("s-00"), 1, "a.list")
            (relay.lists / "half.list").write_text("list 1 generation 1\n")
            await relay.start()
            await until(lambda: len(list(scenario.lists.load_good())) == 1, "the list to be saved")
            relay.put([], 2, "a.list")
            await scenario.verdict((relay.lists / "a.list").read_bytes())
            (relay.lists / "a.list").unlink()
            (relay.lists / "half.list").unlink()
            await until(lambda: not list(scenario.lists.load_good()), "the empty list to be forgotten")
            relay.put(scenario.entries("s-01"), 1, "b.list")
            assert (await scenario.verdict((relay.lists / "b.list").read_bytes()))["outcome"] == "applied"
            # Generation 1 is accepted again, as the versions of the removed file are no longer stored.
            relay.put(scenario.entries("s-02")[:0], 1, "a.list")
            assert (await scenario.verdict((relay.lists / "a.list").read_bytes()))["outcome"] == "applied"
            assert await scenario.served_by() == {"s-01"}

    asyncio.run(run())


def test_a_flapping_file_costs_a_bounded_amount(tmp_path):
    async def run():
        async with ListScenario(tmp_path, UNGUARDED_CONF) as scenario:
            relay = scenario.relay
            relay.put(scenario.entries("s-00", "s-01"), 1, "a.list")
            await relay.start()
            started = time.monotonic()
            for number in range(2, 402):
                relay.put(scenario.entries(*(("s-00", "s-01") if number % 2 else ("s-00",))), number, "a.list")
                await asyncio.sleep(max(0.0, started + (number - 1) * 0.01 - time.monotonic()))
            spent = time.monotonic() - started
            await scenario.verdict((relay.lists / "a.list").read_bytes())
            assert len(scenario.verdicts()) <= spent * 10 + 5  # at most one scan per 100 ms
            assert scenario.log().count("event=list_verdict") <= 50 + 5 * (spent + 1)
            assert number % 2 and await scenario.served_by() == {"s-00", "s-01"}

    asyncio.run(run())


def test_files_and_discovery_that_contradict_each_other(tmp_path):
    """The file owns its destination; discovery's endpoints for it are used once the file lists none."""
    discovery = Discovery()

    async def run():
        conf = UNGUARDED_CONF.replace("    state state\n", f"    state state\n    discovery {discovery.at}\n")
        async with ListScenario(tmp_path, conf) as scenario:
            at = "{}:{}".format(*scenario.partner.addresses["s-03"])
            discovery.rows = [row("s-03", at, 0), row("s-00", at, 0)]
            discovery.version = 5
            scenario.relay.put(scenario.entries("s-00", "s-01"), 1, "a.list")
            await scenario.relay.start()
            await scenario.verdict((scenario.relay.lists / "a.list").read_bytes())
            assert await scenario.served_by() == {"s-00", "s-01"}
            discovery.change(row("s-03", at, 0))
            scenario.relay.put([], 2, "a.list")
            await scenario.verdict((scenario.relay.lists / "a.list").read_bytes())
            assert await scenario.served_by() == {"s-03"}

    try:
        asyncio.run(run())
    finally:
        discovery.close()


def test_an_id_at_another_address_and_an_id_at_an_old_one_are_new_endpoints(tmp_path):
    """Neither connections nor failures carry over from the previous endpoint to the new one."""

    async def run():
        async with ListScenario(tmp_path, UNGUARDED_CONF) as scenario:
            relay, rows = scenario.relay, scenario.entries("s-00", "s-01")
            relay.put(rows[:1], 1, "a.list")
            await relay.start()
            assert await scenario.served_by() == {"s-00"}
            assert scenario.partner.connections("s-00")
            # The id s-00 moves to another address.
            relay.put([rows[0]._replace(address=rows[1].address)], 2, "a.list")
            await scenario.verdict((relay.lists / "a.list").read_bytes())
            await until(lambda: not scenario.partner.connections("s-00"), "the old connections to be closed")
            assert await scenario.served_by() == {"s-01"}
            # Every call to that address fails for a while, so the endpoint backs off. A new id at that address is tried
            # immediately.
            scenario.partner.behaviours["s-01"] = EndpointBehaviour(latency_ms=1, failing=1.0)
            desk = LoadGenerator(relay.port, 99, 1, 4, 3.0)
            await desk.run(range(20), 100.0)
            scenario.partner.behaviours.clear()
            relay.put([rows[1]._replace(id="t-9")], 3, "a.list")
            await scenario.verdict((relay.lists / "a.list").read_bytes())
            moved = (await relay.counters())["lists"]
            assert moved["applied"] == 3 and await scenario.served_by() == {"s-01"}
            row = scenario.verdicts()[-2]
            assert (row.get("moved"), scenario.verdicts()[-1].get("added"), scenario.verdicts()[-1].get("gone")) == (
                1,
                1,
                1,
            )

    asyncio.run(run())


@pytest.mark.parametrize("how", [signal.SIGHUP, signal.SIGTERM, signal.SIGKILL])
def test_an_end_or_a_reload_in_the_middle_of_a_large_update(tmp_path, how):
    async def run():
        async with ListScenario(tmp_path, UNGUARDED_CONF) as scenario:
            relay, rng = scenario.relay, random.Random(f"{SEED} {how}")
            fixed = scenario.entries("s-00", "s-01")

            def large(number: int) -> bytes:
                return files.write(
                    [
                        *fixed,
                        *(
                            Endpoint(
                                f"x-{number}-{index}",
                                (f"127.9.{index >> 8}.{index & 255}", 9),
                                1 + index % 50,
                                "a",
                                "club-reservas",
                                files.LIFECYCLES["ready"],
                                1.0,
                            )
                            for index in range(8000)
                        ),
                    ],
                    number,
                )

            path = relay.lists / "a.list"
            path.write_bytes(large(1))
            await relay.start()
            await scenario.verdict(path.read_bytes())
            for number in range(2, 5):
                (relay.folder / "new").write_bytes(large(number))
                os.replace(relay.folder / "new", path)
                await asyncio.sleep(rng.uniform(0.0, 0.5))
                if how == signal.SIGHUP:
                    relay.process.send_signal(how)
                else:
                    assert await relay.stop(how) == (0 if how == signal.SIGTERM else -signal.SIGKILL)
                    await relay.start()
                await scenario.verdict(path.read_bytes())
            assert await scenario.served_by() == {"s-00", "s-01"}
            unchanged = list(scenario.lists.load_good())
            assert [one.data for one in unchanged] == [path.read_bytes()]
            json.loads((await relay.get("/_counters"))[1])

    asyncio.run(run())


KILL_AFTER_SAVE = """import os, signal
from lynxscale.relay.upstream.list_store import ListStore
save_good = ListStore.save_good
ListStore.save_good = lambda *args: (save_good(*args), os.kill(os.getpid(), signal.SIGKILL))
from lynxscale.__main__ import main
main()"""


def test_a_version_saved_just_before_a_crash_has_its_verdict(tmp_path):
    """The process is killed after it has stored a version as the last good one and before it reports the verdict."""

    async def run():
        async with ListScenario(tmp_path, UNGUARDED_CONF) as scenario:
            relay = scenario.relay
            relay.put(scenario.entries("s-00"), 1, "a.list")
            relay.program = ("-c", KILL_AFTER_SAVE)
            await relay.spawn()
            assert await asyncio.wait_for(relay.process.wait(), TIMEOUT_S) == -signal.SIGKILL
            relay.program = StandaloneRelay.program
            await relay.start()
            assert await scenario.served_by() == {"s-00"}
            assert (await scenario.verdict((relay.lists / "a.list").read_bytes()))["outcome"] == "applied"

    asyncio.run(run())


def test_a_hanging_disk_is_reported_and_blocks_neither_the_loop_nor_shutdown(tmp_path):
    class ManualLoop(Loop):
        at = 0

        def now(self) -> int:
            return self.at

    class HangingWorker:
        def call(self, _work, *_args) -> Deferred:
            return Deferred()

    timers: list = []

    class Timer:
        def cancel(self) -> None:
            timers.clear()

    loop, counters = ManualLoop(lambda *_: None), Counters()
    deadlines = Deadlines(loop, lambda after, act: timers.append(act) or Timer())
    group = Group(module_settings(), deadlines, lambda _: None, lambda _: None)
    conf = MembersConf(files=(str(tmp_path / "a.list"),))
    one = file_watch.FileWatch(
        None,
        deadlines,
        conf,
        rules_of(conf, (), ()),
        group,
        ListStore(tmp_path),
        VerdictReporter(loop.now, lambda: None),
        counters,
    )
    group.add("files", one)
    one._worker = HangingWorker()
    one._scan()
    for at in (500_000, 1_100_000, 5_000_000):
        loop.at = at
        for act in list(timers):
            timers.clear()
            act()
    assert counters.table() == {"lists": {"slow_looks": 1}} and not group.has_list
    one.rescan()  # during a scan: no second scan is started
    one.stop()
