"""Latency of the admin server: with the message queue full, during a recovery and through an upgrade.

Prints, for each, the worst and the median latency and the longest event loop iteration, as shares of the second that
a response may take. Everything is on loopback, on ephemeral ports.
"""

from __future__ import annotations

import json
import os
import re
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from contextlib import suppress
from pathlib import Path

from lab.standins import Client, Discovery, Server, message, reply, row, settings, until

MAX_HELD, FEEDER_THREADS, ALLOWED_S = 400, 16, 1.0
TURN = re.compile(r"longest_turn_ms=(\d+)")


class Bench:
    def __init__(self, folder: Path) -> None:
        self.folder, self.discovery = folder, Discovery()
        self.peer = Server(lambda _call: reply(503, b"", "Retry-After: 1.000"))
        self.discovery.rows = [row(f"s-{cell}", self.peer.at, cell) for cell in range(1, 21)]
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=200)
        self.port = self.listener.getsockname()[1]
        self.state = folder / "state"
        self.state.mkdir()
        table = {
            "name": "bench",
            "seed": "1",
            "limits": {"sockets": 512, "disk_mb": 3},
            "settings": settings(most_held=MAX_HELD),
            "known": {"generation": 1, "reset": True, "instances": self.discovery.rows},
        }
        (folder / "config.json").write_text(json.dumps(table))
        (folder / "lynxscale.conf").write_text("begin log\n    traffic 1s\nend log\n")
        self.log = folder / "log"

    def start(self) -> tuple[subprocess.Popen, int]:
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            admin = free.getsockname()[1]
        env = os.environ | {
            "NODE_CONFIG": str(self.folder / "config.json"),
            "NODE_STATE": str(self.state),
            "NODE_LISTEN": f"127.0.0.1:{self.port}",
            "NODE_DISCOVERY": self.discovery.at,
            "NODE_ACCEPT_FD": str(self.listener.fileno()),
            "NODE_ADMIN_ADDR": f"127.0.0.1:{admin}",
            "LYNXSCALE_CONF": str(self.folder / "lynxscale.conf"),
        }
        with self.log.open("a") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", "lynxscale"], env=env, stdout=log, stderr=log, pass_fds=(self.listener.fileno(),)
            )
        until(lambda: self.ask(admin) is not None, "the admin server to answer")
        return process, admin

    @staticmethod
    def ask(admin: int) -> float | None:
        """Seconds until the admin server's response; None without one."""
        begun = time.monotonic()
        with suppress(OSError):
            client = Client(admin)
            answer = client.ask(b"GET /admin/health HTTP/1.1\r\n\r\n")
            client.close()
            return time.monotonic() - begun if answer else None
        return None

    def feed(self, stop: threading.Event, name: str) -> None:
        number = 0
        while not stop.is_set():
            with suppress(OSError):
                client = Client(self.port)
                for _ in range(20):
                    number += 1
                    if client.ask(message(f"{name}-{number}", dest=number % 20 + 1, body=bytes(400))) is None:
                        break
                client.close()

    def measure(self, what: str, admin: int, seconds: float) -> None:
        at, waits, end = self.log.stat().st_size, [], time.monotonic() + seconds
        while time.monotonic() < end:
            if (took := self.ask(admin)) is not None:
                waits.append(took)
            time.sleep(0.02)
        turns = [int(ms) for ms in TURN.findall(self.log.read_bytes()[at:].decode())]
        print(
            f"{what:12}  admin worst {max(waits) / ALLOWED_S:.3f}  median {statistics.median(waits) / ALLOWED_S:.3f}  "
            f"longest turn {max(turns, default=0) / 1000 / ALLOWED_S:.3f}  ({len(waits)} asked)"
        )


def main() -> None:
    with tempfile.TemporaryDirectory() as folder:
        bench, stop = Bench(Path(folder)), threading.Event()
        process, admin = bench.start()
        feeders = [threading.Thread(target=bench.feed, args=(stop, f"f{index}")) for index in range(FEEDER_THREADS)]
        try:
            for feeder in feeders:
                feeder.start()
            bench.measure("queue full", admin, 4.0)
            successor, successor_admin = bench.start()
            process.send_signal(signal.SIGTERM)
            bench.measure("upgrade", successor_admin, 4.0)
            process.wait(5)
            process, admin = successor, successor_admin
            process.kill()
            process.wait()
            process, admin = bench.start()
            bench.measure("recovery", admin, 3.0)
        finally:
            stop.set()
            for feeder in feeders:
                feeder.join()
            process.kill()
            process.wait()


if __name__ == "__main__":
    main()
