"""Clusters of real relay processes with injected faults: membership of the view, leases, status and commands."""

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
from lab.cluster.links import LinkConditions
from lab.cluster.nodes import Cluster, Node
from lab.cluster.play import play
from lab.demo import ROOT, entries_of
from lynxscale.relay.cluster import frame
from lynxscale.relay.cluster.frame import Message
from lynxscale.relay.cluster.membership_table import MemberUpdate, State

REMOVAL_TIMEOUT_S, REJOIN_TIMEOUT_S, FORMATION_TIMEOUT_S = 8.0, 15.0, 30.0


@pytest.fixture
def folder(tmp_path):
    """A folder in memory if the system has a file system for it, so that the speed of the disk does not matter."""
    shared = Path("/dev/shm")
    if not (shared.is_dir() and os.access(shared, os.W_OK)):
        yield tmp_path
        return
    with tempfile.TemporaryDirectory(dir=shared) as name:
        yield Path(name)


def run(folder, count, scene, **more):
    async def run_scene():
        async with Cluster(folder, count, 1, **more) as cluster:
            await cluster.start()
            assert await cluster.wait_for_agreement(cluster.names, FORMATION_TIMEOUT_S), await describe(cluster)
            await scene(cluster)

    asyncio.run(run_scene())


async def describe(cluster: Cluster) -> str:
    return "; ".join(
        f"{name} {seen.status['standing']} {seen.status['view']}" for name, seen in (await cluster.query_all()).items()
    )


async def wait_for_view(cluster: Cluster, names: list[str], within: float) -> dict:
    looks = await cluster.wait_for_agreement(names, within)
    assert looks is not None, f"expected a view of {names}: {await describe(cluster)}"
    return looks


async def until(condition, within: float = 10.0):
    end = time.monotonic() + within
    while not (found := await condition()):
        assert time.monotonic() < end, "the condition did not become true in time"
        await asyncio.sleep(0.05)
    return found


@pytest.mark.parametrize(
    "seed, count, concurrent_faults",
    [(1, 3, 1), (2, 3, 2), (3, 3, 3), (4, 5, 1), (5, 5, 2), (6, 5, 3), (7, 5, 3), (8, 7, 1), (9, 7, 2), (10, 7, 3)],
)
def test_seeded_faults(folder, seed, count, concurrent_faults):
    names = [f"r{place + 1}" for place in range(count)]
    print(f"seed {seed}, {count} nodes, {concurrent_faults} faults at a time")
    played = asyncio.run(play(folder, count, seed, draw(seed, names, 10.0, concurrent_faults), print, rate=10.0))
    assert not played.verdict.breaches
    assert played.verdict.observations > 100 and played.messages


def test_overlapping_replay_faults_are_each_executed(folder):
    """Guards against a failure in which the end of the second fault deleted the recording of the first."""
    faults = [Fault(0.5, 2.0, "replayed", ("r2",)), Fault(1.5, 0.5, "replayed", ("r2",))]
    played = asyncio.run(play(folder, 3, 1, faults, print, rate=10.0))
    assert not played.verdict.breaches and len(played.faults) == 2


def test_a_killed_node_leaves_the_view_and_returns_as_a_new_generation(folder):
    async def scene(cluster):
        before = (await cluster.nodes["r3"].query_status()).status
        await cluster.nodes["r3"].stop(signal.SIGKILL)
        killed = time.monotonic()
        looks = await wait_for_view(cluster, ["r1", "r2"], REMOVAL_TIMEOUT_S)
        print(f"removed from the view {time.monotonic() - killed:.2f} s after the kill")
        assert looks["r1"].status["view"]["can_lose"] == 0
        await cluster.nodes["r3"].start()
        looks = await wait_for_view(cluster, cluster.names, REJOIN_TIMEOUT_S)
        assert looks["r3"].status["life"] > before["life"]

    run(folder, 3, scene)


def test_a_node_that_shuts_down_gracefully_is_not_suspected(folder):
    async def scene(cluster):
        await cluster.nodes["r2"].stop(signal.SIGTERM)
        await wait_for_view(cluster, ["r1", "r3"], REMOVAL_TIMEOUT_S)
        events = [
            event
            for name in ("r1", "r3")
            for event in cluster.nodes[name].events()
            if event["event"] == "cluster_node" and event["node"] == "r2"
        ]
        assert {event["state"] for event in events} == {"alive", "left"}

    run(folder, 3, scene)


def test_a_node_removed_while_it_was_paused_does_not_act_when_it_resumes(folder):
    async def scene(cluster):
        node = cluster.nodes["r1"]
        node.pause()
        looks = await wait_for_view(cluster, ["r2", "r3"], REMOVAL_TIMEOUT_S)
        node.resume()
        seen = await until(node.query_status)
        assert seen.status["lease_ms"] == 0 or seen.status["view"]["number"] > looks["r2"].status["view"]["number"]
        await wait_for_view(cluster, cluster.names, REJOIN_TIMEOUT_S)
        assert "cluster_paused" in {event["event"] for event in node.events()}

    run(folder, 3, scene)


def test_network_partitions_with_and_without_a_majority(folder):
    """The minority stops acting and decides no view. If no side has a majority, no node acts."""

    async def scene(cluster):
        for sender in cluster.names:
            for receiver in cluster.names:
                if sender != receiver and (sender in ("r1", "r2")) != (receiver in ("r1", "r2")):
                    cluster.mesh.set_conditions(sender, receiver, LinkConditions(cut=True))
        await wait_for_view(cluster, ["r3", "r4", "r5"], REMOVAL_TIMEOUT_S)
        looks = await cluster.query_all()
        assert {looks[name].status["standing"] for name in ("r1", "r2")} == {"cut_off"}
        number = looks["r3"].status["view"]["number"]
        for sender, receiver in (("r3", "r4"), ("r4", "r5"), ("r5", "r3")):
            cluster.mesh.set_conditions(sender, receiver, LinkConditions(cut=True))
            cluster.mesh.set_conditions(receiver, sender, LinkConditions(cut=True))

        async def all_cut_off():
            looks = await cluster.query_all()
            return all(seen.status["standing"] == "cut_off" for seen in looks.values()) and looks

        looks = await until(all_cut_off)
        assert max(seen.status["view"]["number"] for seen in looks.values()) == number
        cluster.mesh.restore_all()
        await wait_for_view(cluster, cluster.names, REJOIN_TIMEOUT_S)

    run(folder, 5, scene)


def test_a_node_with_lost_or_older_state_does_not_vote(folder):
    async def scene(cluster):
        node = cluster.nodes["r2"]
        node.backup_state("early")
        await cluster.nodes["r3"].stop(signal.SIGKILL)
        await wait_for_view(cluster, ["r1", "r2"], REMOVAL_TIMEOUT_S)  # r2 has voted since the copy
        await cluster.nodes["r3"].start()
        await wait_for_view(cluster, cluster.names, REJOIN_TIMEOUT_S)
        for memory in ("early", None):
            generation = (await node.query_status()).status["life"]
            await node.stop(signal.SIGKILL)
            node.restore_state(memory)
            await node.start()
            looks = await wait_for_view(cluster, cluster.names, REJOIN_TIMEOUT_S)
            assert looks["r2"].status["life"] > generation and looks["r2"].status["votes"]
        assert {"cluster_forgot", "cluster_new_life"} <= {event["event"] for event in node.events()}

    run(folder, 3, scene)


def test_a_cluster_whose_nodes_are_all_killed_forms_the_same_lineage_again(folder):
    async def scene(cluster):
        before = await cluster.query_all()
        await asyncio.gather(*(node.stop(signal.SIGKILL) for node in cluster.nodes.values()))
        await cluster.start()
        looks = await wait_for_view(cluster, cluster.names, REJOIN_TIMEOUT_S)
        assert looks["r1"].status["view"]["lineage"] == before["r1"].status["view"]["lineage"]

    run(folder, 3, scene)


def test_other_settings_are_reported_and_frames_of_another_probe_period_rejected(folder):
    async def scene(cluster):
        node = cluster.nodes["r3"]
        await node.stop(signal.SIGTERM)
        node.conf.write_text(node.conf.read_text().replace("tries 12", "tries 9"))
        await node.start()
        await wait_for_view(cluster, cluster.names, REJOIN_TIMEOUT_S)
        await until(lambda: is_logged(cluster, "cluster_differs", node="r3", settings="limits"))
        await node.stop(signal.SIGTERM)
        cluster.probe_ms = 1000  # leases derive from it: this node would assume longer ones than others grant
        cluster.configure("r3", cluster.names)
        await node.start()
        await until(lambda: is_logged(cluster, "cluster_not_understood", node="r3"))
        await wait_for_view(cluster, ["r1", "r2"], REMOVAL_TIMEOUT_S)
        assert (await node.query_status()).status["standing"] != "member"

    run(folder, 3, scene)


async def is_logged(cluster: Cluster, event: str, **fields) -> bool:
    """Whether the log of r1 or r2 has this event with these fields."""
    return any(
        one["event"] == event and fields.items() <= one.items()
        for name in ("r1", "r2")
        for one in cluster.nodes[name].events()
    )


def test_a_slow_turn_and_a_slow_disk_are_announced_to_other_nodes(folder):
    async def scene(cluster):
        node = cluster.nodes["r3"]
        node.pause()
        await asyncio.sleep(0.6)
        node.resume()
        await until(lambda: is_logged(cluster, "cluster_slow", node="r3", by="turns"))
        odd.set_value(node.folder, odd.SYNC_DELAY, 0.6)
        await cluster.nodes["r1"].stop(signal.SIGTERM)  # a view without it needs the vote of r3

        async def slow_disk():
            return any(
                one["event"] == "cluster_slow" and one["node"] == "r3" and "disk" in one["by"]
                for one in cluster.nodes["r2"].events()
            )

        await until(slow_disk)
        await wait_for_view(cluster, ["r2", "r3"], REJOIN_TIMEOUT_S)

    run(folder, 3, scene, max_clock_drift=0.01)


def test_a_killed_node_leaves_the_view_although_each_sync_takes_two_seconds(folder):
    async def scene(cluster):
        for node in cluster.nodes.values():
            odd.set_value(node.folder, odd.SYNC_DELAY, 2.0)
        await cluster.nodes["r1"].stop(signal.SIGKILL)
        # In simulation this takes 6.7 to 7.8 s; the rest allows for a busy machine.
        await wait_for_view(cluster, ["r2", "r3"], 15.0)

    run(folder, 3, scene, max_clock_drift=0.01)


def test_invalid_frames_are_counted_and_have_no_effect(folder):
    async def scene(cluster):
        node, record = cluster.nodes["r1"], deque(maxlen=20)
        before = (await node.query_status()).status
        key, other = (frame.cluster_key(name, 500_000) for name in (cluster.name, "another"))
        gossip = Message("r9", 1, 1, 0, 1, 0, 99, 0, frame.Gossip(), [MemberUpdate("r2", 9, 9, 9, State.FAILED, "r9")])
        unknown, foreign = frame.encode(key, gossip), frame.encode(other, gossip)
        exchange = Message("r2", 9, 9, 0, 1, 0, 99, 0, frame.Exchange(True), [])
        invalid = {  # invalid frames by the reason under which they are counted
            "garbage": b"GET / HTTP/1.1\r\n\r\n",
            "short": b"LX",
            "foreign": foreign,
            "unknown": unknown,
            "version": unknown[:3] + b"\x01" + unknown[4:],
            "length": frame.HEADER.pack(frame.MAGIC, frame.VERSION, key, 65_535) + bytes(200),
            "checksum": unknown[:-1] + bytes([unknown[-1] ^ 1]),
            "unasked": frame.encode(key, exchange),
            "message": frame.encode(key, msgspec.structs.replace(gossip, view=-1)),
            "own_name": frame.encode(key, msgspec.structs.replace(gossip, sender="r1")),
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
                - baseline
            )

        baseline = Counter()
        baseline = await dropped()
        expected = Counter(invalid.keys())
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for data in invalid.values():
                sender.sendto(data, ("127.0.0.1", node.cluster_port))
            link = cluster.mesh.links["r2", "r1"]
            link.recorders.append(record)
            await until(lambda: _as_coroutine(len(record) == 20))
            link.recorders.clear()
            for data in record:
                sender.sendto(data, ("127.0.0.1", node.cluster_port))

        async def counted() -> bool:
            return await dropped() == expected + Counter(replayed=20)

        await until(counted)
        # The same frames over TCP. After the one with a wrong length the node waits for the missing bytes, and closes
        # without an answer on timeout.
        streams = ("garbage", "foreign", "version", "checksum", "unasked", "message")
        for reason in (*streams, "length"):
            reader, writer = await asyncio.open_connection("127.0.0.1", node.cluster_port)
            writer.write(invalid[reason])
            with contextlib.suppress(ConnectionResetError):
                assert await asyncio.wait_for(reader.read(), 10.0) == b""
            writer.close()
        assert await dropped() == expected + Counter(streams) + Counter(replayed=20)
        after = (await node.query_status()).status
        for field in ("view", "life", "standing", "votes", "split"):
            assert after[field] == before[field]
        assert {one["name"]: (one["state"], one["life"]) for one in after["nodes"]} == dict.fromkeys(
            cluster.names, ("alive", 1)
        )

    run(folder, 3, scene)


async def _as_coroutine(value: bool) -> bool:
    return value


def test_a_second_process_under_the_same_name_is_not_taken_for_the_node(folder):
    """The second process has a copy of the state, but the other nodes have the first one's address."""

    async def scene(cluster):
        first = cluster.nodes["r1"]
        twin = Node("r1", folder / "twin")
        first.backup_state("twin")
        (twin.folder / "state").mkdir()
        (first.folder / "twin").rename(twin.state_folder)
        twin.put(entries_of(cluster.partner), 1)
        twin.configure(
            cluster.name,
            {"r1": twin.cluster_port, "r2": cluster.nodes["r2"].cluster_port, "r3": cluster.nodes["r3"].cluster_port},
        )
        await twin.start()
        try:

            async def stranger_is_logged():
                return "cluster_stranger" in {
                    event["event"] for name in ("r2", "r3") for event in cluster.nodes[name].events()
                }

            await until(stranger_is_logged)
            await wait_for_view(cluster, cluster.names, REJOIN_TIMEOUT_S)
            seen = await twin.query_status()
            assert seen.status["lease_ms"] == 0 and seen.status["standing"] != "member"
            assert (await first.query_status()).status["lease_ms"] > 0
        finally:
            await twin.stop(signal.SIGKILL)
            twin.close()

    run(folder, 3, scene)


def test_a_node_is_added_by_reload_and_removed_by_forget(folder):
    async def scene(cluster):
        node = await cluster.add("r4")
        for name in cluster.names:
            cluster.configure(name, cluster.names)
        for name in ("r1", "r2", "r3"):
            cluster.nodes[name].reload()
        await node.start()
        await wait_for_view(cluster, cluster.names, REJOIN_TIMEOUT_S)
        rejected = await cluster.nodes["r1"].request("/admin/cluster/forget?name=r4", "POST")
        assert rejected["http"] == 409 and "alive" in rejected["said"]
        await node.stop(signal.SIGKILL)
        names = ["r1", "r2", "r3"]
        for name in names:
            cluster.configure(name, names)
            cluster.nodes[name].reload()
        await asyncio.gather(*(until(lambda name=name: removal_is_logged(cluster, name)) for name in names))
        assert (await cluster.nodes["r1"].request("/admin/cluster/forget?name=r4", "POST"))["http"] == 200
        cluster.names.remove("r4")
        await wait_for_view(cluster, names, REMOVAL_TIMEOUT_S)

    async def removal_is_logged(cluster, name):
        return any(
            event["event"] == "cluster_nodes" and event["gone"] == "r4" for event in cluster.nodes[name].events()
        )

    run(folder, 3, scene)


def test_the_cluster_commands_report_the_state_of_the_relays(folder):
    async def scene(cluster):
        async def command(*arguments, stdin=b""):
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "lynxscale",
                "cluster",
                *arguments,
                cwd=cluster.nodes["r1"].folder,
                stdin=-1,
                stdout=-1,
                stderr=-1,
                env=os.environ | {"PYTHONPATH": str(ROOT)},
            )
            out, err = await process.communicate(stdin)
            return process.returncode, out.decode(), err.decode()

        admin_options = [
            option for name in cluster.names for option in ("--at", f"127.0.0.1:{cluster.nodes[name].admin_port}")
        ]
        code, out, err = await command("status", *admin_options)
        assert code == 0 and "Who is what" in out and out.count(": member") == 3, out + err

        async def status_file_is_current():
            code, out, _ = await command("status", "--conf", "lynxscale.conf")
            return code == 0 and "it can lose 1" in out and "r3" in out

        await until(status_file_is_current)
        code, _, err = await command("forget", "r3", *admin_options[:2], stdin=b"n\n")
        assert code == 1 and "nothing done" in err
        code, _, err = await command("forget", "r3", "--yes", *admin_options[:2])
        assert code == 1 and "r3 is alive; stop it first" in err
        await cluster.nodes["r3"].stop(signal.SIGKILL)
        code, _, err = await command("status", *admin_options)
        assert code == 1 and "no answer from the admin server of a relay" in err

    run(folder, 3, scene)


@pytest.mark.parametrize("count", [1, 2])
def test_small_clusters_work_and_report_that_they_cannot_lose_a_node(folder, count):
    async def scene(cluster):
        looks = await cluster.query_all()
        assert looks["r1"].status["view"]["can_lose"] == 0
        if count == 2:
            await cluster.nodes["r2"].stop(signal.SIGKILL)

            async def cut_off():
                return (await cluster.nodes["r1"].query_status()).status["standing"] == "cut_off"

            await until(cut_off)

    run(folder, count, scene)
