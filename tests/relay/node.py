"""Runs a relay as a process, with a peer, discovery and clients on the loopback interface."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

from lab.standins import WAIT_TIMEOUT_S, Client, Discovery, Server, hold_port, port_of, reply, row, settings, until
from lynxscale.relay.end_times import FIRST_READS_US

ROOT = Path(__file__).parent.parent.parent


class NodeCase(unittest.TestCase):
    """A discovery service, one peer whose responses ``self.act`` gives, and a relay that tests start and end."""

    def setUp(self) -> None:
        self.act = lambda call: reply(200)
        self.peer, self.discovery = Server(lambda call: self.act(call)), Discovery()
        self.addCleanup(self.peer.close)
        self.addCleanup(self.discovery.close)
        self.discovery.rows = [row("s-1", self.peer.at, 1)]
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.state = Path(self.folder.name, "state")
        self.state.mkdir()
        self.limits = {"sockets": 256, "disk_mb": 3}
        self.allowed: dict = {}
        self.process = self.port = self.admin = None
        self.env: dict[str, str] = {}
        self.configure_more: dict = {}
        self.program: tuple[str, ...] = ("-m", "lynxscale")

    def configure(self, **more) -> Path:
        """Write the configuration file, with additional or replaced keys."""
        seed = f"{int(os.environ.get('RARE_SEED', 0x8C1F)):04x}"
        table = {
            "name": "n1",
            "seed": seed,
            "limits": self.limits,
            "settings": settings(**self.allowed),
            "known": {"generation": 1, "reset": True, "instances": self.discovery.rows},
        }
        path = Path(self.folder.name, "config.json")
        path.write_text(json.dumps(table | self.configure_more | more))
        return path

    def reload(self, seen: str) -> None:
        """Send SIGHUP and wait until ``seen`` appears in the log once more."""
        before = self.log.read_text().count(seen)
        self.process.send_signal(signal.SIGHUP)
        until(lambda: self.log.read_text().count(seen) > before, seen)

    def free_port(self) -> int:
        """A port that the system assigns to no other process during the test."""
        reserved = hold_port()
        self.addCleanup(reserved.close)
        return port_of(reserved)

    def start(self) -> None:
        self.port = self.free_port()
        self.process = self.spawn(self.configure())
        self.addCleanup(self.kill)
        until(self._ready, "readiness")

    def wait_past_first_reads(self) -> None:
        """Wait until the relay no longer assumes that a request may have waited since the process started."""
        time.sleep(FIRST_READS_US / 1e6)  # counted from the start of listening, which was before this call

    def spawn(self, path: Path, fds: tuple[int, ...] = (), **more: str) -> subprocess.Popen:
        """Start a relay process with the configuration file ``path`` and additional environment variables."""
        env = os.environ | {
            "NODE_CONFIG": str(path),
            "NODE_STATE": str(self.state),
            "NODE_NAME": "n1",
            "NODE_LISTEN": f"127.0.0.1:{self.port}",
            "NODE_DISCOVERY": self.discovery.at,
        }
        self.log = Path(self.folder.name, "log")
        with self.log.open("a") as log:
            return subprocess.Popen(
                [sys.executable, *self.program],
                cwd=ROOT,
                env=env | self.env | more,
                stdout=log,
                stderr=log,
                pass_fds=fds,
            )

    def _ready(self) -> bool:
        self.assertIsNone(self.process.poll(), self.log.read_text())
        try:
            client = Client(self.port)
        except OSError:
            return False
        answer = client.ask(b"GET /_health HTTP/1.1\r\n\r\n")
        client.close()
        return answer is not None and answer[0] == 200

    def kill(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait(WAIT_TIMEOUT_S)

    def admin_call(self, call: str) -> tuple[int, dict]:
        """Send a call to the admin server; its status and JSON object."""
        client = Client(self.admin)
        status, _headers, body = client.ask(f"{call} HTTP/1.1\r\n\r\n".encode())
        client.close()
        return status, json.loads(body)

    def client(self) -> Client:
        client = Client(self.port)
        self.addCleanup(client.close)
        return client

    def calls(self, id: str | None = None) -> list:
        return [call for _, call in list(self.peer.calls) if id in (None, call[1].get("req-id"))]

    def notice(self, id: str) -> dict:
        return until(lambda: self.discovery.notices.get(id), f"a notice for {id}")

    def counters(self) -> dict:
        # Closed after use: with dozens of idle connections the relay would evict the test's own client.
        with contextlib.closing(Client(self.port)) as client:
            return json.loads(client.ask(b"GET /_counters HTTP/1.1\r\n\r\n")[2])

    def delivered(self, number: int) -> None:
        # Each poll opens a connection: polled every 5 ms, they filled the system's socket table.
        until(lambda: self.counters().get("ends", {}).get("delivered", 0) >= number, f"{number} delivered", 0.05)
