"""Several real relays, broken links between them: who is in the view, who may act, and what becomes of messages."""

import asyncio
import contextlib
import os
import signal
import socket
import sys
import tempfile
import time
from collections import Counter, deque
from pathlib import Path

import msgspec
import pytest

from lab.cluster import odd
from lab.cluster.faults import Fault, draw
from lab.cluster.links import Weather
from lab.cluster.nodes import Cluster, Node
from lab.cluster.play import play
from lab.demo import ROOT, entries_of
from lynxscale.relay.cluster import frame
from lynxscale.relay.cluster.frame import Message
from lynxscale.relay.cluster.membership_table import MemberUpdate, State

OUT_WITHIN, BACK_WITHIN, FORM_WITHIN = 8.0, 15.0, 30.0


@pytest.fixture
def folder(tmp_path):
    """In memory where the system has such a place: what is tested is not how long this machine's disk takes to sync."""
    shared = Path("/dev/shm")
    if not (shared.is_dir() and os.access(shared, os.W_OK)):
        yield tmp_path
        return
    with tempfile.TemporaryDirectory(dir=shared) as name:
        yield Path(name)


def run(folder, count, scene, **more):
    async def whole():
        async with Cluster(folder, count, 1, **more) as cluster:
            await cluster.start()
            assert await cluster.agreed(cluster.names, FORM_WITHIN), await said(cluster)
            await scene(cluster)

    asyncio.run(whole())


async def said(cluster: Cluster) -> str:
    return "; ".join(
        f"{name} {seen.status['standing']} {seen.status['view']}" for name, seen in (await cluster.looks()).items()
    )


async def become(cluster: Cluster, names: list[str], within: float) -> dict:
    looks = await cluster.agreed(names, within)
    assert looks is not None, f"want {names}: {await said(cluster)}"
    return looks


async def until(what, within: float = 10.0):
    end = time.monotonic() + within
    while not (found := await what()):
        assert time.monotonic() < end, "did not come in time"
        await asyncio.sleep(0.05)
    return found


@pytest.mark.parametrize(
    "seed, count, at_once",
    [(1, 3, 1), (2, 3, 2), (3, 3, 3), (4, 5, 1), (5, 5, 2), (6, 5, 3), (7, 5, 3), (8, 7, 1), (9, 7, 2), (10, 7, 3)],
)
def test_seeded_faults(folder, seed, count, at_once):
    names = [f"r{place + 1}" for place in range(count)]
    print(f"seed {seed}, {count} nodes, {at_once} at once")
    played = asyncio.run(play(folder, count, seed, draw(seed, names, 10.0, at_once), print, rate=10.0))
    assert not played.verdict.breaches
    assert played.verdict.looks > 100 and played.messages


def test_replays_that_overlap_are_each_carried_out(folder):
    """The second's end once took the first's record away, and ended the run."""
    faults = [Fault(0.5, 2.0, "replayed", ("r2",)), Fault(1.5, 0.5, "replayed", ("r2",))]
    played = asyncio.run(play(folder, 3, 1, faults, print, rate=10.0))
    assert not played.verdict.breaches and len(played.faults) == 2


def test_a_killed_node_is_voted_out_and_comes_back_as_a_new_life(folder):
    async def scene(cluster):
        before = (await cluster.nodes["r3"].look()).status
        await cluster.nodes["r3"].stop(signal.SIGKILL)
        killed = time.monotonic()
        looks = await become(cluster, ["r1", "r2"], OUT_WITHIN)
        print(f"out of the view {time.monotonic() - killed:.2f} s after the kill")
        assert looks["r1"].status["view"]["can_lose"] == 0
        await cluster.nodes["r3"].start()
        looks = await become(cluster, cluster.names, BACK_WITHIN)
        assert looks["r3"].status["life"] > before["life"]

    run(folder, 3, scene)


def test_one_that_is_told_to_stop_is_not_suspected(folder):
    async def scene(cluster):
        await cluster.nodes["r2"].stop(signal.SIGTERM)
        await become(cluster, ["r1", "r3"], OUT_WITHIN)
        told = [
            event
            for name in ("r1", "r3")
            for event in cluster.nodes[name].events()
            if event["event"] == "cluster_node" and event["node"] == "r2"
        ]
        assert {event["state"] for event in told} == {"alive", "left"}

    run(folder, 3, scene)


def test_who_was_stopped_while_it_was_voted_out_does_not_act_when_it_goes_on(folder):
    async def scene(cluster):
        node = cluster.nodes["r1"]
        node.pause()
        looks = await become(cluster, ["r2", "r3"], OUT_WITHIN)
        node.go_on()
        seen = await until(node.look)
        assert seen.status["lease_ms"] == 0 or seen.status["view"]["number"] > looks["r2"].status["view"]["number"]
        await become(cluster, cluster.names, BACK_WITHIN)
        assert "cluster_paused" in {event["event"] for event in node.events()}

    run(folder, 3, scene)


def test_halves_and_no_majority(folder):
    """The smaller half acts no more and makes no view; with no majority anywhere nobody does."""

    async def scene(cluster):
        for frm in cluster.names:
            for to in cluster.names:
                if frm != to and (frm in ("r1", "r2")) != (to in ("r1", "r2")):
                    cluster.mesh.weather(frm, to, Weather(cut=True))
        await become(cluster, ["r3", "r4", "r5"], OUT_WITHIN)
        looks = await cluster.looks()
        assert {looks[name].status["standing"] for name in ("r1", "r2")} == {"cut_off"}
        number = looks["r3"].status["view"]["number"]
        for frm, to in (("r3", "r4"), ("r4", "r5"), ("r5", "r3")):
            cluster.mesh.weather(frm, to, Weather(cut=True))
            cluster.mesh.weather(to, frm, Weather(cut=True))

        async def all_cut_off():
            looks = await cluster.looks()
            return all(seen.status["standing"] == "cut_off" for seen in looks.values()) and looks

        looks = await until(all_cut_off)
        assert max(seen.status["view"]["number"] for seen in looks.values()) == number
        cluster.mesh.calm()
        await become(cluster, cluster.names, BACK_WITHIN)

    run(folder, 5, scene)


def test_lost_and_older_memory_does_not_vote(folder):
    async def scene(cluster):
        node = cluster.nodes["r2"]
        node.copy_memory("early")
        await cluster.nodes["r3"].stop(signal.SIGKILL)
        await become(cluster, ["r1", "r2"], OUT_WITHIN)  # r2 has voted since the copy
        await cluster.nodes["r3"].start()
        await become(cluster, cluster.names, BACK_WITHIN)
        for memory in ("early", None):
            life = (await node.look()).status["life"]
            await node.stop(signal.SIGKILL)
            node.put_memory(memory)
            await node.start()
            looks = await become(cluster, cluster.names, BACK_WITHIN)
            assert looks["r2"].status["life"] > life and looks["r2"].status["votes"]
        assert {"cluster_forgot", "cluster_new_life"} <= {event["event"] for event in node.events()}

    run(folder, 3, scene)


def test_all_at_once(folder):
    async def scene(cluster):
        before = await cluster.looks()
        await asyncio.gather(*(node.stop(signal.SIGKILL) for node in cluster.nodes.values()))
        await cluster.start()
        looks = await become(cluster, cluster.names, BACK_WITHIN)
        assert looks["r1"].status["view"]["lineage"] == before["r1"].status["view"]["lineage"]

    run(folder, 3, scene)


def test_other_settings_are_told_by_name_and_another_probe_is_not_heard(folder):
    async def scene(cluster):
        node = cluster.nodes["r3"]
        await node.stop(signal.SIGTERM)
        node.conf.write_text(node.conf.read_text().replace("tries 12", "tries 9"))
        await node.start()
        await become(cluster, cluster.names, BACK_WITHIN)
        await until(lambda: told(cluster, "cluster_differs", node="r3", settings="limits"))
        await node.stop(signal.SIGTERM)
        cluster.probe_ms = 1000  # on which leases hang: it would believe in longer ones than others grant
        cluster.configure("r3", cluster.names)
        await node.start()
        await until(lambda: told(cluster, "cluster_not_understood", node="r3"))
        await become(cluster, ["r1", "r2"], OUT_WITHIN)
        assert (await node.look()).status["standing"] != "member"

    run(folder, 3, scene)


async def told(cluster: Cluster, event: str, **fields) -> bool:
    """Does the log of r1 or r2 have this event with these fields?"""
    return any(
        one["event"] == event and fields.items() <= one.items()
        for name in ("r1", "r2")
        for one in cluster.nodes[name].events()
    )


def test_a_slow_turn_and_a_slow_disk_are_told_to_the_others(folder):
    async def scene(cluster):
        node = cluster.nodes["r3"]
        node.pause()
        await asyncio.sleep(0.6)
        node.go_on()
        await until(lambda: told(cluster, "cluster_slow", node="r3", by="turns"))
        odd.put(node.folder, odd.SYNC, 0.6)
        await cluster.nodes["r1"].stop(signal.SIGTERM)  # a view without it needs the vote of r3

        async def slow_disk():
            return any(
                one["event"] == "cluster_slow" and one["node"] == "r3" and "disk" in one["by"]
                for one in cluster.nodes["r2"].events()
            )

        await until(slow_disk)
        await become(cluster, ["r2", "r3"], BACK_WITHIN)

    run(folder, 3, scene, clocks_apart=0.01)


def test_a_killed_node_is_voted_out_where_each_sync_takes_two_seconds(folder):
    async def scene(cluster):
        for node in cluster.nodes.values():
            odd.put(node.folder, odd.SYNC, 2.0)
        await cluster.nodes["r1"].stop(signal.SIGKILL)
        await become(cluster, ["r2", "r3"], 15.0)  # 6.7 to 7.8 s in simulation, and what a busy machine takes

    run(folder, 3, scene, clocks_apart=0.01)


def test_what_is_no_frame_of_the_cluster_s_is_counted_and_has_no_effect(folder):
    async def scene(cluster):
        node, record = cluster.nodes["r1"], deque(maxlen=20)
        before = (await node.look()).status
        key, other = (frame.cluster_key(name, 500_000) for name in (cluster.name, "another"))
        tell = Message("r9", 1, 1, 0, 1, 0, 99, 0, frame.Gossip(), [MemberUpdate("r2", 9, 9, 9, State.FAILED, "r9")])
        ours, foreign = frame.encode(key, tell), frame.encode(other, tell)
        whole = Message("r2", 9, 9, 0, 1, 0, 99, 0, frame.Exchange(True), [])
        spoilt = {  # by the reason under which it is counted
            "garbage": b"GET / HTTP/1.1\r\n\r\n",
            "short": b"LX",
            "foreign": foreign,
            "unknown": ours,
            "version": ours[:3] + b"\x01" + ours[4:],
            "length": frame.HEADER.pack(frame.MAGIC, frame.VERSION, key, 65_535) + bytes(200),
            "checksum": ours[:-1] + bytes([ours[-1] ^ 1]),
            "unasked": frame.encode(key, whole),
            "message": frame.encode(key, msgspec.structs.replace(tell, view=-1)),
            "own_name": frame.encode(key, msgspec.structs.replace(tell, sender="r1")),
        }

        async def dropped() -> Counter:
            return (
                Counter(
                    {
                        name[8:]: number
                        for name, number in (await node.counters())["cluster"].items()
                        if name.startswith("dropped_")
                    }
                )
                - begun
            )

        begun = Counter()
        begun = await dropped()
        wanted = Counter(spoilt.keys())
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for data in spoilt.values():
                sender.sendto(data, ("127.0.0.1", node.cluster_port))
            link = cluster.mesh.links["r2", "r1"]
            link.recorders.append(record)
            await until(lambda: _so(len(record) == 20))
            link.recorders.clear()
            for data in record:
                sender.sendto(data, ("127.0.0.1", node.cluster_port))

        async def counted() -> bool:
            return await dropped() == wanted + Counter(replayed=20)

        await until(counted)
        # On TCP; the giant one has to be waited for, and is closed without an answer when its time is over.
        streams = ("garbage", "foreign", "version", "checksum", "unasked", "message")
        for reason in (*streams, "length"):
            reader, writer = await asyncio.open_connection("127.0.0.1", node.cluster_port)
            writer.write(spoilt[reason])
            with contextlib.suppress(ConnectionResetError):
                assert await asyncio.wait_for(reader.read(), 10.0) == b""
            writer.close()
        assert await dropped() == wanted + Counter(streams) + Counter(replayed=20)
        after = (await node.look()).status
        for what in ("view", "life", "standing", "votes", "split"):
            assert after[what] == before[what]
        assert {one["name"]: (one["state"], one["life"]) for one in after["nodes"]} == dict.fromkeys(
            cluster.names, ("alive", 1)
        )

    run(folder, 3, scene)


async def _so(what: bool) -> bool:
    return what


def test_a_second_process_under_one_name_is_not_the_node(folder):
    """It has a copy of the folder, and others' addresses lead to the first: nobody takes it for the node."""

    async def scene(cluster):
        first = cluster.nodes["r1"]
        twin = Node("r1", folder / "twin")
        first.copy_memory("twin")
        (twin.folder / "state").mkdir()
        (first.folder / "twin").rename(twin.memory)
        twin.put(entries_of(cluster.partner), 1)
        twin.configure(
            cluster.name,
            {"r1": twin.cluster_port, "r2": cluster.nodes["r2"].cluster_port, "r3": cluster.nodes["r3"].cluster_port},
        )
        await twin.start()
        try:

            async def told():
                return "cluster_stranger" in {
                    event["event"] for name in ("r2", "r3") for event in cluster.nodes[name].events()
                }

            await until(told)
            await become(cluster, cluster.names, BACK_WITHIN)
            seen = await twin.look()
            assert seen.status["lease_ms"] == 0 and seen.status["standing"] != "member"
            assert (await first.look()).status["lease_ms"] > 0
        finally:
            await twin.stop(signal.SIGKILL)
            twin.close()

    run(folder, 3, scene)


def test_a_node_more_by_file_and_signal_and_one_forgotten(folder):
    async def scene(cluster):
        node = await cluster.add("r4")
        for name in cluster.names:
            cluster.configure(name, cluster.names)
        for name in ("r1", "r2", "r3"):
            cluster.nodes[name].reload()
        await node.start()
        await become(cluster, cluster.names, BACK_WITHIN)
        refused = await cluster.nodes["r1"].ask("/admin/cluster/forget?name=r4", "POST")
        assert refused["http"] == 409 and "alive" in refused["said"]
        await node.stop(signal.SIGKILL)
        names = ["r1", "r2", "r3"]
        for name in names:
            cluster.configure(name, names)
            cluster.nodes[name].reload()
        await asyncio.gather(*(until(lambda name=name: gone(cluster, name)) for name in names))
        assert (await cluster.nodes["r1"].ask("/admin/cluster/forget?name=r4", "POST"))["http"] == 200
        cluster.names.remove("r4")
        await become(cluster, names, OUT_WITHIN)

    async def gone(cluster, name):
        return any(
            event["event"] == "cluster_nodes" and event["gone"] == "r4" for event in cluster.nodes[name].events()
        )

    run(folder, 3, scene)


def test_the_commands_say_what_the_relays_say(folder):
    async def scene(cluster):
        async def command(*words, given=b""):
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "lynxscale",
                "cluster",
                *words,
                cwd=cluster.nodes["r1"].folder,
                stdin=-1,
                stdout=-1,
                stderr=-1,
                env=os.environ | {"PYTHONPATH": str(ROOT)},
            )
            out, err = await process.communicate(given)
            return process.returncode, out.decode(), err.decode()

        doors = [word for name in cluster.names for word in ("--at", f"127.0.0.1:{cluster.nodes[name].door}")]
        code, out, err = await command("status", *doors)
        assert code == 0 and "Who is what" in out and out.count(": member") == 3, out + err

        async def written():
            code, out, _ = await command("status", "--conf", "lynxscale.conf")
            return code == 0 and "it can lose 1" in out and "r3" in out

        await until(written)
        code, _, err = await command("forget", "r3", *doors[:2], given=b"n\n")
        assert code == 1 and "nothing done" in err
        code, _, err = await command("forget", "r3", "--yes", *doors[:2])
        assert code == 1 and "r3 is alive; stop it first" in err
        await cluster.nodes["r3"].stop(signal.SIGKILL)
        code, _, err = await command("status", *doors)
        assert code == 1 and "no answer of a relay's door" in err

    run(folder, 3, scene)


@pytest.mark.parametrize("count", [1, 2])
def test_small_clusters_work_and_tell_what_they_cannot_do(folder, count):
    async def scene(cluster):
        looks = await cluster.looks()
        assert looks["r1"].status["view"]["can_lose"] == 0
        if count == 2:
            await cluster.nodes["r2"].stop(signal.SIGKILL)

            async def cut_off():
                return (await cluster.nodes["r1"].look()).status["standing"] == "cut_off"

            await until(cut_off)

    run(folder, count, scene)
