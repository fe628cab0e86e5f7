"""Relays of a cluster as processes (``lynxscale run --conf``): start, stop, pause, query and restore them."""

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
from lab.demo import CONF, StandaloneRelay, entries_of
from lab.partner import Partner
from lab.standins import hold_port, port_of

ADMIN_TIMEOUT_S = 1.0


@dataclass(frozen=True, slots=True)
class StatusObservation:
    """One answer of a node's admin server; it was true at some time between ``asked_at`` and ``answered_at`` (monotonic
    seconds)."""

    asked_at: float
    answered_at: float
    node: str
    status: dict


class Node(StandaloneRelay):
    """One relay and its folder. Its ports are reserved until ``close``, also while it does not run. ``clock_rate``: the
    rate of its monotonic clocks; without it the process uses the system's clocks."""

    def __init__(self, name: str, folder: Path, clock_rate: float | None = None) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        extra_sockets = [hold_port(), hold_port()]
        self.admin_port, self.cluster_port = map(port_of, extra_sockets)
        text = CONF.read_text().replace("name relay", f"name {name}\n    admin-addr 127.0.0.1:{self.admin_port}")
        text = text.replace("format logfmt", "format json") + "\ninclude cluster.conf\n"
        super().__init__(folder, re.sub(r"(?m)^\s*relays .*$", "", text))
        self._reserved_sockets += extra_sockets
        self.name = name
        if clock_rate is not None:
            self.program = ("-m", "lab.cluster.odd", str(clock_rate))
        self.paused = False
        self.starts = 0

    def configure(self, cluster_name: str, ports: dict[str, int], probe_ms: int = 500) -> None:
        """Write the cluster section: for each member, this node included, the port at which this node reaches it."""
        rows = "".join(f"    member {name} 127.0.0.1:{port}\n" for name, port in ports.items())
        (self.folder / "cluster.conf").write_text(
            f"begin cluster\n    name {cluster_name}\n    listen 127.0.0.1:{self.cluster_port}\n"
            f"    probe {probe_ms}ms\n"
            f"{rows}end cluster\n"
        )

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.returncode is None

    @property
    def state_folder(self) -> Path:
        """The folder of the node's durable cluster state."""
        return self.folder / "state" / "cluster"

    async def spawn(self) -> None:
        self.starts += 1
        self.paused = False
        await super().spawn()

    async def stop(self, signal_number: int = signal.SIGTERM) -> int:
        self.resume()
        return await super().stop(signal_number)

    def pause(self) -> None:
        if self.running and not self.paused:
            self.paused = True
            self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        if self.running and self.paused:
            self.paused = False
            self.process.send_signal(signal.SIGCONT)

    def reload(self) -> None:
        self.process.send_signal(signal.SIGHUP)

    def backup_state(self, name: str) -> None:
        """Copy its durable cluster state to a folder of this name, as a backup would."""
        target = self.folder / name
        shutil.rmtree(target, ignore_errors=True)
        shutil.copytree(self.state_folder, target)

    def restore_state(self, name: str | None) -> None:
        """Replace the durable cluster state by a backup; None: delete it. The process must not be running."""
        assert not self.running
        shutil.rmtree(self.state_folder, ignore_errors=True)
        if name is not None:
            shutil.copytree(self.folder / name, self.state_folder)

    async def request(self, path: str = "/admin/cluster", method: str = "GET") -> dict:
        """An answer of its admin server. Raises OSError or TimeoutError where there is none in time."""

        async def call() -> bytes:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.admin_port)
            try:
                writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n".encode())
                return await reader.read()
            finally:
                writer.transport.abort()

        data = await asyncio.wait_for(call(), ADMIN_TIMEOUT_S)
        head, _, body = data.partition(b"\r\n\r\n")
        if not body:
            raise ConnectionResetError("no answer")
        return orjson.loads(body) | {"http": int(head.split()[1])}

    async def query_status(self) -> StatusObservation | None:
        """Its status of the cluster; None without a valid answer."""
        asked_at = time.monotonic()
        try:
            status = await self.request()
        except (OSError, TimeoutError, orjson.JSONDecodeError):
            return None
        return StatusObservation(asked_at, time.monotonic(), self.name, status)

    def events(self) -> list[dict]:
        """The cluster events of its log, in order."""
        found = []
        for line in self.log.read_bytes().splitlines():
            if b'"cluster_' in line:
                try:
                    found.append(orjson.loads(line))
                except orjson.JSONDecodeError:
                    continue  # a line that was cut short by a kill
        return found


class Cluster:
    """Nodes, the links between them, and one partner whose endpoints they all call. Used by ``async with``.

    ``max_clock_drift``: the share by which the rate of a node's clocks may differ from the system's.
    """

    def __init__(self, folder: Path, count: int, seed: int, probe_ms: int = 500, max_clock_drift: float = 0.0) -> None:
        # The name is unique, so that frames of another run on this machine are dropped.
        self.folder, self.seed, self.probe_ms, self.name = folder, seed, probe_ms, f"lab-{os.getpid()}-{seed}"
        self.names = [f"r{index + 1}" for index in range(count)]
        self.clock_rates = dict.fromkeys(self.names)
        if max_clock_drift:
            rng = random.Random(f"{seed} clocks")
            self.clock_rates = {name: 1 + rng.uniform(-max_clock_drift, max_clock_drift) for name in self.names}
        self.mesh = Mesh(seed)
        self.partner = Partner(seed)
        self.nodes: dict[str, Node] = {}
        self._generation = 0

    async def __aenter__(self) -> Cluster:
        for index in range(4):
            await self.partner.open(f"s-{index:02}")
        for name in self.names:
            self.nodes[name] = Node(name, self.folder / name, self.clock_rates[name])
        for source in self.names:
            for to in self.names:
                if source != to:
                    await self.mesh.add(source, to, ("127.0.0.1", self.nodes[to].cluster_port))
        for name in self.names:
            self.configure(name, self.names)
            self.nodes[name].put(entries_of(self.partner), 1)
        return self

    def configure(self, name: str, members: list[str]) -> None:
        """Write a node's cluster section for these members."""
        node = self.nodes[name]
        node.configure(
            self.name,
            {to: node.cluster_port if to == name else self.mesh.links[name, to].port for to in members},
            self.probe_ms,
        )

    async def add(self, name: str) -> Node:
        """Add a node with links to and from all others; it is not started, and no configuration names it yet."""
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

    async def query_all(self) -> dict[str, StatusObservation]:
        """The status of each running node, queried concurrently."""
        found = await asyncio.gather(*(node.query_status() for node in self.nodes.values() if node.running))
        return {observation.node: observation for observation in found if observation is not None}

    async def wait_for_agreement(self, names: list[str], timeout_s: float) -> dict[str, StatusObservation] | None:
        """Wait until all of these nodes report one view of exactly these members, and a lease each. None after the
        timeout."""
        deadline = time.monotonic() + timeout_s
        while True:
            observations = await self.query_all()
            if all(name in observations and is_member_of_view(observations[name], names) for name in names):
                digests = {observations[name].status["view"]["digest"] for name in names}
                boots = {one["name"]: one["boot"] for one in observations[names[0]].status["view"]["members"]}
                if len(digests) == 1 and all(observations[name].status["boot"] == boots[name] for name in names):
                    return observations
            if time.monotonic() > deadline:
                return None
            await asyncio.sleep(0.05)


def is_member_of_view(observation: StatusObservation, names: list[str]) -> bool:
    """Whether a node reports that it is a member of a view of exactly these nodes."""
    view = observation.status["view"]
    return (
        observation.status["standing"] == "member"
        and view is not None
        and sorted(one["name"] for one in view["members"]) == sorted(names)
    )
