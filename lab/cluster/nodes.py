"""Relays of a cluster as processes, by ``lynxscale run --conf``, and what can be done to them."""

from __future__ import annotations

import asyncio
import os
import random
import re
import shutil
import signal
import time
from dataclasses import dataclass
from pathlib import Path

import orjson

from lab.cluster.links import Mesh
from lab.demo import CONF, Own, entries_of
from lab.partner import Partner
from lab.standins import hold_port, port_of

ASKED_WITHIN = 1.0  # seconds for an answer of a node's door; none: it is stopped or dead


@dataclass(frozen=True, slots=True)
class Seen:
    """One answer of a node's door: true at some moment between ``asked`` and ``heard`` (monotonic seconds)."""

    asked: float
    heard: float
    node: str
    status: dict


class Node(Own):
    """One relay and its folder. Its ports are its own until ``close``, also while it does not run. ``rate``: of its
    monotonic clocks, which are those of the system without it."""

    def __init__(self, name: str, folder: Path, rate: float | None = None) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        more = [hold_port(), hold_port()]
        self.door, self.cluster_port = map(port_of, more)
        text = CONF.read_text().replace("name relay", f"name {name}\n    admin-addr 127.0.0.1:{self.door}")
        text = text.replace("format logfmt", "format json") + "\ninclude cluster.conf\n"
        super().__init__(folder, re.sub(r"(?m)^\s*relays .*$", "", text))
        self._held += more
        self.name = name
        if rate is not None:
            self.program = ("-m", "lab.cluster.odd", str(rate))
        self.paused = False
        self.starts = 0

    def configure(self, cluster: str, ways: dict[str, int], probe_ms: int = 500) -> None:
        """Write the cluster's section: the port at which this node reaches each, itself too."""
        rows = "".join(f"    member {name} 127.0.0.1:{port}\n" for name, port in ways.items())
        (self.folder / "cluster.conf").write_text(
            f"begin cluster\n    name {cluster}\n    listen 127.0.0.1:{self.cluster_port}\n    probe {probe_ms}ms\n"
            f"{rows}end cluster\n"
        )

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.returncode is None

    @property
    def memory(self) -> Path:
        """What the node must not forget of the cluster."""
        return self.folder / "state" / "cluster"

    async def spawn(self) -> None:
        self.starts += 1
        self.paused = False
        await super().spawn()

    async def stop(self, how: int = signal.SIGTERM) -> int:
        self.go_on()
        return await super().stop(how)

    def pause(self) -> None:
        if self.running and not self.paused:
            self.paused = True
            self.process.send_signal(signal.SIGSTOP)

    def go_on(self) -> None:
        if self.running and self.paused:
            self.paused = False
            self.process.send_signal(signal.SIGCONT)

    def reload(self) -> None:
        self.process.send_signal(signal.SIGHUP)

    def copy_memory(self, name: str) -> None:
        """Keep a copy of its memory, as a backup would."""
        target = self.folder / name
        shutil.rmtree(target, ignore_errors=True)
        shutil.copytree(self.memory, target)

    def put_memory(self, name: str | None) -> None:
        """Put a copy in its place; None: nothing is left of it. The process is not running."""
        assert not self.running
        shutil.rmtree(self.memory, ignore_errors=True)
        if name is not None:
            shutil.copytree(self.folder / name, self.memory)

    async def ask(self, path: str = "/admin/cluster", method: str = "GET") -> dict:
        """The answer of its door. Raises OSError where there is none in time."""

        async def call() -> bytes:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.door)
            try:
                writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n".encode())
                return await reader.read()
            finally:
                writer.transport.abort()

        data = await asyncio.wait_for(call(), ASKED_WITHIN)
        head, _, body = data.partition(b"\r\n\r\n")
        if not body:
            raise ConnectionResetError("no answer")
        return orjson.loads(body) | {"http": int(head.split()[1])}

    async def look(self) -> Seen | None:
        """What it says of the cluster; None where it says nothing."""
        asked = time.monotonic()
        try:
            status = await self.ask()
        except (OSError, TimeoutError, orjson.JSONDecodeError):
            return None
        return Seen(asked, time.monotonic(), self.name, status)

    def events(self) -> list[dict]:
        """Its log's events about the cluster, in order."""
        found = []
        for line in self.log.read_bytes().splitlines():
            if b'"cluster_' in line:
                try:
                    found.append(orjson.loads(line))
                except orjson.JSONDecodeError:
                    continue  # the line that a kill has cut
        return found


class Cluster:
    """Some nodes, the links between them, and one partner for all. Used by ``async with``. ``clocks_apart``: by what
    share each node's clocks may run off."""

    def __init__(self, folder: Path, count: int, seed: int, probe_ms: int = 500, clocks_apart: float = 0.0) -> None:
        # A name of its own: what another run on this machine sends by mistake is not heard.
        self.folder, self.seed, self.probe_ms, self.name = folder, seed, probe_ms, f"lab-{os.getpid()}-{seed}"
        self.names = [f"r{place + 1}" for place in range(count)]
        self.rates = dict.fromkeys(self.names)
        if clocks_apart:
            chance = random.Random(f"{seed} clocks")
            self.rates = {name: 1 + chance.uniform(-clocks_apart, clocks_apart) for name in self.names}
        self.mesh = Mesh(seed)
        self.partner = Partner(seed)
        self.nodes: dict[str, Node] = {}
        self._generation = 0

    async def __aenter__(self) -> Cluster:
        for place in range(4):
            await self.partner.open(f"s-{place:02}")
        for name in self.names:
            self.nodes[name] = Node(name, self.folder / name, self.rates[name])
        for frm in self.names:
            for to in self.names:
                if frm != to:
                    await self.mesh.add(frm, to, ("127.0.0.1", self.nodes[to].cluster_port))
        for name in self.names:
            self.configure(name, self.names)
            self.nodes[name].put(entries_of(self.partner), 1)
        return self

    def configure(self, name: str, members: list[str]) -> None:
        """Write a node's section for these members."""
        node = self.nodes[name]
        node.configure(
            self.name,
            {to: node.cluster_port if to == name else self.mesh.links[name, to].port for to in members},
            self.probe_ms,
        )

    async def add(self, name: str) -> Node:
        """One more node, not started, with links to and from all; nobody's file names it so far."""
        self.nodes[name] = node = Node(name, self.folder / name)
        for other in self.names:
            await self.mesh.add(name, other, ("127.0.0.1", self.nodes[other].cluster_port))
            await self.mesh.add(other, name, ("127.0.0.1", node.cluster_port))
        self.names.append(name)
        node.put(entries_of(self.partner), 1)
        return node

    async def __aexit__(self, *_exc: object) -> None:
        for node in self.nodes.values():
            if node.running:
                await node.stop(signal.SIGKILL)
            node.close()
        self.mesh.close()
        self.partner.close_all()

    async def start(self) -> None:
        await asyncio.gather(*(node.start() for node in self.nodes.values()))

    async def looks(self) -> dict[str, Seen]:
        """What each running node says, asked at the same time."""
        found = await asyncio.gather(*(node.look() for node in self.nodes.values() if node.running))
        return {seen.node: seen for seen in found if seen is not None}

    async def agreed(self, names: list[str], within: float) -> dict[str, Seen] | None:
        """Wait until these, and no others, are the view, as each of them says, with a lease each; None: not in time."""
        end = time.monotonic() + within
        while True:
            looks = await self.looks()
            if all(name in looks and agrees(looks[name], names) for name in names):
                digests = {looks[name].status["view"]["digest"] for name in names}
                boots = {one["name"]: one["boot"] for one in looks[names[0]].status["view"]["members"]}
                if len(digests) == 1 and all(looks[name].status["boot"] == boots[name] for name in names):
                    return looks
            if time.monotonic() > end:
                return None
            await asyncio.sleep(0.05)


def agrees(seen: Seen, names: list[str]) -> bool:
    """Does a node say that it is a member of the view of these?"""
    view = seen.status["view"]
    return (
        seen.status["standing"] == "member"
        and view is not None
        and sorted(one["name"] for one in view["members"]) == sorted(names)
    )
