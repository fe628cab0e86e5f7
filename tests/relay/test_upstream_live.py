"""Watched files on a real relay: rewrites, swaps, drains under load, ends in the middle of an update."""

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

from lab.clients import Desk
from lab.demo import CONF, Own, entries_of
from lab.partner import Mood, Partner
from lab.rules import judge
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
PATIENCE = 20.0
DRAIN = 2.0


async def until(condition, what: str):
    end = time.monotonic() + PATIENCE
    while time.monotonic() < end:
        if found := condition():
            return found
        await asyncio.sleep(0.01)
    raise AssertionError(f"not seen in time: {what}")


class Scene:
    """A partner with some endpoints, and a relay from the deployed file, as the test changes it."""

    def __init__(self, folder: Path, conf: str = CONF.read_text(), endpoints: int = 4, latency: float = 5.0) -> None:
        self.partner = Partner(SEED, mood=Mood(latency_ms=latency))
        self.relay, self.endpoints = Own(folder, conf), endpoints
        self.lists, self.asked = ListStore(folder / "state"), 0

    async def __aenter__(self) -> "Scene":
        for place in range(self.endpoints):
            await self.partner.open(f"s-{place:02}")
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
        """What became of the version with these bytes."""
        digest = files.digest_of(data)
        return (await until(lambda: [one for one in self.verdicts() if one["digest"] == digest], "a verdict"))[-1]

    async def said(self, text: str, times: int = 1) -> None:
        await until(lambda: self.log().count(text) >= times, text)

    async def served_by(self, messages: int = 30) -> set[str]:
        """Which endpoints are called for some messages to destination 0."""
        self.asked += 1
        before, desk = len(self.partner.calls), Desk(self.relay.port, SEED * 1000 + self.asked, 1, 4, 10.0)
        await desk.run(range(messages), 200.0)
        taken = sum(one.status == 202 for one in desk.sent.values())
        await until(lambda: sum(call.id in desk.sent for call in self.partner.calls[before:]) >= taken, "the calls")
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
    """The deployed file with other directives in its section members."""
    lines = CONF.read_text().splitlines()
    begin = lines.index("begin members")
    kept = [line for line in lines[begin + 1 : -1] if line.split()[:1] and line.split()[0] not in members]
    told = [f"    {name.replace('_', '-')} {value}" for name, value in members.items()]
    return "\n".join([*lines[: begin + 1], *kept, *told, "end members", ""])


FREE = {"most-removed": "1", "last-endpoint": "allow"}
OPEN = conf_with(**FREE, ramp="0s")


def spoil(data: bytes, chance: random.Random) -> tuple[bytes, str]:
    """Some other bytes, and what must become of them: half (no verdict) or rejected."""
    kind = chance.choice(["cut", "twice", "address", "weight", "network", "count", "nul", "crlf", "mark", "tail"])
    lines = data.splitlines(keepends=True)
    if kind == "cut":
        return data[: chance.randrange(len(data))], "half"
    if kind == "twice":
        lines.insert(2, lines[1])
    elif kind == "address":
        lines.insert(2, lines[1].replace(b"endpoint s-", b"endpoint t-"))
    elif kind == "weight":
        lines[1] = lines[1].replace(b"weight 60", chance.choice([b"weight nan", b"weight -1", b"weight 1e400"]))
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


def test_rapid_rewrites_of_every_kind_are_taken_whole_or_not_at_all(tmp_path):
    async def play():
        print("seed", SEED)
        chance, expected = random.Random(SEED), {}
        async with Scene(tmp_path, OPEN, endpoints=6) as scene:
            path = scene.relay.lists / "a.list"
            names = list(scene.partner.addresses)
            first = files.write(scene.entries(*names), 1)
            path.write_bytes(first)
            expected[files.digest_of(first)] = (1, frozenset(names))
            await scene.relay.start()
            await scene.verdict(first)
            generation = 1
            for _ in range(REWRITES):
                picked = chance.sample(names, chance.randrange(1, len(names) + 1))  # reordered, too
                step = chance.choice([-1, 0, 1, 1, 1, 2])
                number = max(0, generation + step)
                generation = max(generation, number)
                data = files.write(scene.entries(*picked), number)
                want = (number, frozenset(picked))
                if chance.random() < 0.5:
                    data, want = spoil(data, chance)
                expected[files.digest_of(data)] = want
                if chance.random() < 0.5:
                    with open(path, "r+b") as out:  # in place, in two steps
                        out.truncate(0)
                        half = chance.randrange(len(data) + 1)
                        out.write(data[:half])
                        out.flush()
                        expected.setdefault(files.digest_of(data[:half]), "half")
                        out.write(data[half:])
                else:
                    (scene.relay.folder / "new").write_bytes(data)
                    os.replace(scene.relay.folder / "new", path)
                await asyncio.sleep(chance.choice([0, 0, 0, 0.005, 0.02, 0.12]))
            generation += 5
            last = files.write(scene.entries("s-00", "s-03"), generation)
            expected[files.digest_of(last)] = (generation, frozenset({"s-00", "s-03"}))
            (scene.relay.folder / "new").write_bytes(last)
            os.replace(scene.relay.folder / "new", path)
            await scene.verdict(last)
            called = await scene.served_by()
            check(scene.verdicts(), expected)
            assert called <= {"s-00", "s-03"} and called
            assert [one.data for one in scene.lists.load_good()] == [last]
            assert await scene.relay.stop() == 0
            return len(scene.verdicts())

    seen = asyncio.run(play())
    print(f"{REWRITES} rewrites, {seen} versions seen")
    assert seen > min(20, REWRITES // 20)


def check(verdicts: list[dict], expected: dict) -> None:
    """The oracle: each verdict by what its bytes were made to be, and by the version then in force."""
    number, digest, names = None, "", frozenset()
    for one in verdicts:
        want = expected.get(one["digest"])
        assert want is not None and want != "half", f"a verdict on bytes that were never whole: {one}"
        if want == "rejected" or (number is not None and want[0] <= number):
            assert one["outcome"] == "rejected" and one["reasons"], (one, want, number)
            continue
        assert one["outcome"] == "applied" and one["digest"] != digest, (one, want, number)
        assert (one.get("added", 0), one.get("gone", 0)) == (len(want[1] - names), len(names - want[1])), one
        number, digest, names = want[0], one["digest"], want[1]


def test_what_stands_in_the_file_s_place_has_a_stated_outcome(tmp_path):
    async def play():
        async with Scene(tmp_path, OPEN) as scene:
            relay, path = scene.relay, scene.relay.lists / "a.list"
            relay.put(scene.entries("s-00", "s-01"), 1, "a.list")
            await relay.start()
            await scene.verdict(path.read_bytes())
            good = path.read_bytes()
            # Gone, a FIFO, a folder: the last good list holds, and it is said once each.
            path.unlink()
            await scene.said('reason="no such file" kept=1 endpoints=2')
            os.mkfifo(path)
            await scene.said('reason="want a plain file, not a FIFO" kept=1')
            path.unlink()
            path.mkdir()
            await scene.said('reason="want a plain file, not a folder" kept=1')
            path.rmdir()
            assert await scene.served_by() == {"s-00", "s-01"}
            # Back again and touched: the same bytes are no new version.
            path.write_bytes(good)
            await scene.said("event=list_back")
            os.utime(path)
            # A link into a folder of versions, swapped; its far end lies where no watch is.
            versions = relay.folder / "versions"
            for number, names in ((2, ("s-02",)), (3, ("s-03", "s-00"))):
                (versions / str(number)).mkdir(parents=True)
                (versions / str(number) / "a.list").write_bytes(files.write(scene.entries(*names), number))
            (versions / "now").symlink_to("2")
            path.unlink()
            path.symlink_to(versions / "now" / "a.list")
            await scene.verdict(path.read_bytes())
            (versions / "next").symlink_to("3")
            os.replace(versions / "next", versions / "now")
            await scene.verdict(path.read_bytes())
            assert await scene.served_by() <= {"s-03", "s-00"}
            # The folder itself is replaced.
            os.rename(relay.lists, relay.folder / "old")
            relay.lists.mkdir()
            relay.put(scene.entries("s-01"), 4, "a.list")
            assert (await scene.verdict(path.read_bytes()))["outcome"] == "applied"
            assert await scene.served_by() == {"s-01"}
            outcomes = [one["outcome"] for one in scene.verdicts()]
            assert outcomes == ["applied"] * 4, scene.verdicts()

    asyncio.run(play())


def test_a_bad_file_at_the_start_leaves_the_last_good_one_in_force(tmp_path):
    async def play():
        async with Scene(tmp_path, OPEN) as scene:
            relay, path = scene.relay, scene.relay.lists / "a.list"
            relay.put(scene.entries("s-02"), 1, "a.list")
            await relay.start()
            await until(lambda: list(scene.lists.load_good()), "the good list to be kept")
            await relay.stop(signal.SIGKILL)
            path.write_bytes(b"list 1 generation 2\nendpoint\nend 1\n")
            await relay.start()
            assert (await scene.verdict(path.read_bytes()))["outcome"] == "rejected"
            assert await scene.served_by() == {"s-02"}
            assert "event=list_restored unit=lists/a.list version=1" in scene.log()

    asyncio.run(play())


@pytest.mark.parametrize("unseen", [False, True], ids=["watched", "lost events"])
def test_nothing_new_goes_to_a_drained_endpoint_after_two_seconds_under_load(tmp_path, unseen):
    async def play():
        async with Scene(tmp_path, OPEN, latency=20.0) as scene:
            relay = scene.relay
            relay.put(scene.entries("s-00", "s-01", "s-02"), 1, "a.list")
            await relay.start()
            desk, drained = Desk(relay.port, SEED, 1, left=10.0), {}

            async def drain():
                await asyncio.sleep(1.0)
                if unseen:
                    # The kernel's queue overflows while the relay stands still: what comes after is told to nobody.
                    relay.process.send_signal(signal.SIGSTOP)
                    junk = relay.lists / "junk"
                    for _ in range(7000):
                        junk.touch()
                        junk.unlink()
                    drained["s-01"] = relay.put(scene.entries("s-00", "s-01", "s-02", draining=["s-01"]), 2, "a.list")
                    relay.process.send_signal(signal.SIGCONT)
                else:
                    drained["s-01"] = relay.put(scene.entries("s-00", "s-01", "s-02", draining=["s-01"]), 2, "a.list")

            async def hand_in():
                numbers = itertools.count()
                while not drained or time.monotonic() < drained["s-01"] + DRAIN + 1.0:
                    await desk.run(itertools.islice(numbers, 100), 200.0)

            await asyncio.gather(drain(), hand_in())
            await relay.settled(sum(one.status == 202 for one in desk.sent.values()))
            found = judge(desk.sent, scene.partner.calls, relay.finals(), drained=drained)
            assert found.breaches == []
            after = {call.endpoint for call in scene.partner.calls if call.at > drained["s-01"] + DRAIN}
            assert after == {"s-00", "s-02"}
            assert any(call.endpoint == "s-01" for call in scene.partner.calls)

    asyncio.run(play())


def test_a_guarded_version_waits_for_a_word_and_drains_meanwhile(tmp_path):
    async def play():
        async with Scene(tmp_path) as scene:
            relay, path = scene.relay, scene.relay.lists / "a.list"
            relay.put(scene.entries("s-00", "s-01", "s-02", "s-03"), 1, "a.list")
            await relay.start()
            await scene.verdict(path.read_bytes())
            relay.put(scene.entries("s-00", draining=["s-00"]), 2, "a.list")
            held = await scene.verdict(path.read_bytes())
            assert held["outcome"] == "held" and "3 of 4 endpoints would go" in held["reasons"][0]
            assert "s-00" not in await scene.served_by()
            process = await asyncio.create_subprocess_exec(
                os.sys.executable,
                "-m",
                "lynxscale",
                "list",
                "approve",
                "--state",
                str(tmp_path / "state"),
                held["digest"][:12],
                cwd=CONF.parent.parent,
                stdout=asyncio.subprocess.PIPE,
            )
            assert (await process.communicate())[0].decode() == f"approved {held['digest']}\n"
            await until(lambda: scene.verdicts()[-1]["outcome"] == "applied", "the approved version")
            assert not scene.lists.load_awaiting() and not scene.lists.approved_digests()

    asyncio.run(play())


def test_a_destination_moves_from_one_file_to_another(tmp_path):
    async def play():
        async with Scene(tmp_path, OPEN) as scene:
            relay = scene.relay
            relay.put(scene.entries("s-00"), 1, "b.list")
            await relay.start()
            await scene.verdict((relay.lists / "b.list").read_bytes())
            relay.put(scene.entries("s-00", "s-01"), 1, "a.list")
            wants = await scene.verdict((relay.lists / "a.list").read_bytes())
            assert wants["outcome"] == "rejected" and "lists/b.list has it" in wants["reasons"][0]
            relay.put([], 2, "b.list")
            await until(
                lambda: [
                    one for one in scene.verdicts() if one["unit"] == "lists/a.list" and one["outcome"] == "applied"
                ],
                "a.list to be taken after all",
            )
            assert await scene.served_by() == {"s-00", "s-01"}

    asyncio.run(play())


def test_files_that_held_nothing_are_forgotten_and_free_what_they_owned(tmp_path):
    async def play():
        async with Scene(tmp_path, OPEN) as scene:
            relay = scene.relay
            relay.put(scene.entries("s-00"), 1, "a.list")
            (relay.lists / "half.list").write_text("list 1 generation 1\n")
            await relay.start()
            await until(lambda: len(list(scene.lists.load_good())) == 1, "the list to be kept")
            relay.put([], 2, "a.list")
            await scene.verdict((relay.lists / "a.list").read_bytes())
            (relay.lists / "a.list").unlink()
            (relay.lists / "half.list").unlink()
            await until(lambda: not list(scene.lists.load_good()), "the empty list to be forgotten")
            relay.put(scene.entries("s-01"), 1, "b.list")
            assert (await scene.verdict((relay.lists / "b.list").read_bytes()))["outcome"] == "applied"
            relay.put(scene.entries("s-02")[:0], 1, "a.list")  # forgotten, its generations too
            assert (await scene.verdict((relay.lists / "a.list").read_bytes()))["outcome"] == "applied"
            assert await scene.served_by() == {"s-01"}

    asyncio.run(play())


def test_a_flapping_file_costs_a_bounded_amount(tmp_path):
    async def play():
        async with Scene(tmp_path, OPEN) as scene:
            relay = scene.relay
            relay.put(scene.entries("s-00", "s-01"), 1, "a.list")
            await relay.start()
            begun = time.monotonic()
            for number in range(2, 402):
                relay.put(scene.entries(*(("s-00", "s-01") if number % 2 else ("s-00",))), number, "a.list")
                await asyncio.sleep(max(0.0, begun + (number - 1) * 0.01 - time.monotonic()))
            spent = time.monotonic() - begun
            await scene.verdict((relay.lists / "a.list").read_bytes())
            assert len(scene.verdicts()) <= spent * 10 + 5  # a look each 100 ms at most
            assert scene.log().count("event=list_verdict") <= 50 + 5 * (spent + 1)
            assert number % 2 and await scene.served_by() == {"s-00", "s-01"}

    asyncio.run(play())


def test_files_and_discovery_that_contradict_each_other(tmp_path):
    """The file owns its destination; discovery's endpoints there come in once the file lists none."""
    discovery = Discovery()

    async def play():
        conf = OPEN.replace("    state state\n", f"    state state\n    discovery {discovery.at}\n")
        async with Scene(tmp_path, conf) as scene:
            at = "{}:{}".format(*scene.partner.addresses["s-03"])
            discovery.rows = [row("s-03", at, 0), row("s-00", at, 0)]
            discovery.version = 5
            scene.relay.put(scene.entries("s-00", "s-01"), 1, "a.list")
            await scene.relay.start()
            await scene.verdict((scene.relay.lists / "a.list").read_bytes())
            assert await scene.served_by() == {"s-00", "s-01"}
            discovery.change(row("s-03", at, 0))
            scene.relay.put([], 2, "a.list")
            await scene.verdict((scene.relay.lists / "a.list").read_bytes())
            assert await scene.served_by() == {"s-03"}

    try:
        asyncio.run(play())
    finally:
        discovery.close()


def test_an_id_at_another_address_and_an_id_at_an_old_one_are_new_endpoints(tmp_path):
    """No connection carries over, and the outage of what was there before is not held against what is there now."""

    async def play():
        async with Scene(tmp_path, OPEN) as scene:
            relay, rows = scene.relay, scene.entries("s-00", "s-01")
            relay.put(rows[:1], 1, "a.list")
            await relay.start()
            assert await scene.served_by() == {"s-00"}
            assert scene.partner.connections("s-00")
            # The same id at another address.
            relay.put([rows[0]._replace(address=rows[1].address)], 2, "a.list")
            await scene.verdict((relay.lists / "a.list").read_bytes())
            await until(lambda: not scene.partner.connections("s-00"), "the old connections to be closed")
            assert await scene.served_by() == {"s-01"}
            # Another id at that address, which fails every call for a while: it rests. A new id there is tried at once.
            scene.partner.moods["s-01"] = Mood(latency_ms=1, failing=1.0)
            desk = Desk(relay.port, 99, 1, 4, 3.0)
            await desk.run(range(20), 100.0)
            scene.partner.moods.clear()
            relay.put([rows[1]._replace(id="t-9")], 3, "a.list")
            await scene.verdict((relay.lists / "a.list").read_bytes())
            moved = (await relay.counters())["lists"]
            assert moved["applied"] == 3 and await scene.served_by() == {"s-01"}
            row = scene.verdicts()[-2]
            assert (row.get("moved"), scene.verdicts()[-1].get("added"), scene.verdicts()[-1].get("gone")) == (1, 1, 1)

    asyncio.run(play())


@pytest.mark.parametrize("how", [signal.SIGHUP, signal.SIGTERM, signal.SIGKILL])
def test_an_end_or_a_reload_in_the_middle_of_a_large_update(tmp_path, how):
    async def play():
        async with Scene(tmp_path, OPEN) as scene:
            relay, chance = scene.relay, random.Random(f"{SEED} {how}")
            fixed = scene.entries("s-00", "s-01")

            def large(number: int) -> bytes:
                return files.write(
                    [
                        *fixed,
                        *(
                            Endpoint(
                                f"x-{number}-{place}",
                                (f"127.9.{place >> 8}.{place & 255}", 9),
                                1 + place % 50,
                                "a",
                                "club-reservas",
                                files.LIFECYCLES["ready"],
                                1.0,
                            )
                            for place in range(8000)
                        ),
                    ],
                    number,
                )

            path = relay.lists / "a.list"
            path.write_bytes(large(1))
            await relay.start()
            await scene.verdict(path.read_bytes())
            for number in range(2, 5):
                (relay.folder / "new").write_bytes(large(number))
                os.replace(relay.folder / "new", path)
                await asyncio.sleep(chance.uniform(0.0, 0.5))
                if how == signal.SIGHUP:
                    relay.process.send_signal(how)
                else:
                    assert await relay.stop(how) == (0 if how == signal.SIGTERM else -signal.SIGKILL)
                    await relay.start()
                await scene.verdict(path.read_bytes())
            assert await scene.served_by() == {"s-00", "s-01"}
            kept = list(scene.lists.load_good())
            assert [one.data for one in kept] == [path.read_bytes()]
            json.loads((await relay.get("/_counters"))[1])

    asyncio.run(play())


ENDS_AS_IT_KEEPS = """import os, signal
from lynxscale.relay.upstream.list_store import ListStore
save_good = ListStore.save_good
ListStore.save_good = lambda *args: (save_good(*args), os.kill(os.getpid(), signal.SIGKILL))
from lynxscale.__main__ import main
main()"""


def test_a_version_that_was_kept_as_the_process_ended_has_its_verdict(tmp_path):
    """Killed with the version on disk as the last good one, and nothing said of it so far."""

    async def play():
        async with Scene(tmp_path, OPEN) as scene:
            relay = scene.relay
            relay.put(scene.entries("s-00"), 1, "a.list")
            relay.program = ("-c", ENDS_AS_IT_KEEPS)
            await relay.spawn()
            assert await asyncio.wait_for(relay.process.wait(), PATIENCE) == -signal.SIGKILL
            relay.program = Own.program
            await relay.start()
            assert await scene.served_by() == {"s-00"}
            assert (await scene.verdict((relay.lists / "a.list").read_bytes()))["outcome"] == "applied"

    asyncio.run(play())


def test_a_disk_that_does_not_answer_is_told_and_holds_up_neither_the_loop_nor_the_end(tmp_path):
    class Hand(Loop):
        at = 0

        def now(self) -> int:
            return self.at

    class Stuck:
        def call(self, _work, *_args) -> Deferred:
            return Deferred()

    timers: list = []

    class Timer:
        def cancel(self) -> None:
            timers.clear()

    loop, counters = Hand(lambda *_: None), Counters()
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
    one._worker = Stuck()
    one._scan()
    for at in (500_000, 1_100_000, 5_000_000):
        loop.at = at
        for act in list(timers):
            timers.clear()
            act()
    assert counters.table() == {"lists": {"slow_looks": 1}} and not group.has_list
    one.rescan()  # while it looks: no second look is begun
    one.stop()
