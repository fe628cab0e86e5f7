"""The admin server and the effect of a drain on clients, tested with a relay process."""

import contextlib
import signal
import socket
import subprocess
import sys
import threading
import time
from contextlib import suppress

from lab.standins import WAIT_TIMEOUT_S, Client, reply, until
from lynxscale.relay.net.admin_server import MAX_CONNECTIONS
from tests.relay.node import ROOT, NodeCase


class Operators(NodeCase):
    def start_with_admin_server(self, **limits) -> None:
        self.admin = self.free_port()
        self.limits |= limits
        self.env["NODE_ADMIN_ADDR"] = f"127.0.0.1:{self.admin}"
        self.start()

    def health(self) -> int:
        client = Client(self.port)
        try:
            return client.ask(b"GET /_health HTTP/1.1\r\n\r\n")[0]
        finally:
            client.close()

    def test_drain_and_resume(self):
        self.start_with_admin_server()
        keep_alive, idle = self.client(), self.client()
        self.assertEqual(keep_alive.hand_in("m1")[0], 202)
        self.assertEqual(self.admin_call("GET /admin/health")[0], 200)
        self.assertEqual(self.admin_call("POST /admin/resume")[0], 200)  # changes nothing
        self.assertEqual(self.health(), 200)
        self.act = lambda _call: time.sleep(1.0) or b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        self.assertEqual(keep_alive.hand_in("m2")[0], 202)
        begun = time.monotonic()
        self.assertEqual([self.admin_call("POST /admin/quiesce")[0] for _ in range(2)], [200, 200])
        self.assertEqual(self.health(), 503)
        self.assertEqual(self.admin_call("GET /admin/health")[0], 503)
        status, headers, _ = keep_alive.hand_in("m3")
        self.assertEqual((status, headers["connection"]), (202, "close"))
        self.assertEqual(idle.stream.read(), b"")  # closed
        until(lambda: self.admin_call("GET /admin/health")[1]["state"] == "drained", "the drain")
        self.assertLess(time.monotonic() - begun, 4.0)
        self.act = lambda _call: b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        self.delivered(3)  # pending messages are still delivered
        self.assertEqual(self.admin_call("POST /admin/resume")[0], 200)
        self.assertEqual(self.health(), 200)
        again = self.client()
        self.assertEqual([again.hand_in(f"n{at}")[0] for at in range(3)], [202] * 3)

    def test_half_closed_call_is_answered(self):
        """A complete call whose sender closes its sending side is answered; an incomplete one is not."""
        self.start_with_admin_server()
        for data, answered in ((b"GET /admin/health HTTP/1.1\r\n\r\n", True), (b"GET /admin/health", False)):
            with socket.create_connection(("127.0.0.1", self.admin), timeout=20.0) as caller:
                caller.sendall(data)
                caller.shutdown(socket.SHUT_WR)
                with caller.makefile("rb") as stream:
                    begun, received = time.monotonic(), stream.read()
            self.assertEqual(received.startswith(b"HTTP/1.1 200 "), answered)
            self.assertEqual(bool(received), answered)
            self.assertLess(time.monotonic() - begun, 0.4)  # neither waits for a timeout

    def test_invalid_calls_are_rejected(self):
        self.start_with_admin_server()
        for call, status in (
            ("GET /admin/quiesce", 405),
            ("POST /admin/health", 405),
            ("GET /", 404),
            ("nonsense", 400),
            ("GET /admin/health HTTP/1.1\r\nA: " + "x" * 20_000, 431),
        ):
            with self.subTest(call=call[:40]):
                self.assertEqual(self.admin_call(call)[0], status)
        client = Client(self.admin)
        status, headers, _ = client.ask(b"GET /admin/health HTTP/1.1\r\n\r\nGET /admin/health HTTP/1.1\r\n\r\n")
        self.assertEqual((status, headers["connection"], client.stream.read()), (200, "close", b""))
        client.close()
        self.assertEqual(self.health(), 200)

    def test_slow_callers_delay_nobody_and_are_closed(self):
        self.start_with_admin_server()
        slow = [Client(self.admin) for _ in range(3 * MAX_CONNECTIONS)]
        for client in slow:
            with suppress(OSError):  # the first ones have been evicted already
                client.socket.sendall(b"GET /admin/health HT")
        begun = time.monotonic()
        for _ in range(10):
            self.assertEqual(self.admin_call("GET /admin/health")[0], 200)
        self.assertLess(time.monotonic() - begun, 1.0)
        last = slow[-1].stream.read()
        self.assertIn(b"408", last.split(b"\r\n")[0])
        for client in slow:
            client.close()

    def test_many_clients_do_not_block_the_admin_server(self):
        self.start_with_admin_server(sockets=64)
        crowd = [self.client() for _ in range(200)]
        begun = time.monotonic()
        self.assertEqual(self.admin_call("GET /admin/health")[0], 200)
        self.assertEqual(self.admin_call("POST /admin/quiesce")[0], 200)
        self.assertLess(time.monotonic() - begun, 1.0)
        until(lambda: self.admin_call("GET /admin/health")[1]["state"] == "drained", "the drain")
        self.assertLess(time.monotonic() - begun, 4.0)
        self.assertEqual(len(crowd), 200)

    def test_calls_during_shutdown(self):
        """Complete calls are answered until the exit; incomplete ones do not delay it."""
        hung = threading.Event()
        self.addCleanup(hung.set)
        self.act = lambda _call: reply(200) if hung.wait(2 * WAIT_TIMEOUT_S) else None
        self.start_with_admin_server()
        self.assertEqual(self.client().hand_in("m1")[0], 202)
        until(lambda: self.calls("m1"), "the attempt that hangs")
        begun = time.monotonic()
        self.process.send_signal(signal.SIGTERM)
        until(lambda: "state=stop_finishing" in self.log.read_text(), "the listener to close")
        self.assertEqual(self.admin_call("POST /admin/resume")[0], 409)
        self.assertEqual(self.admin_call("GET /admin/health")[1]["state"], "stop_finishing")
        # Incomplete calls one after another, so that one is open at the exit.
        while self.process.poll() is None and time.monotonic() < begun + WAIT_TIMEOUT_S:
            with suppress(OSError), contextlib.closing(Client(self.admin)) as half:
                half.socket.sendall(b"POST /admin/quiesce HT")
                half.socket.settimeout(0.2)
                half.stream.read()
        self.assertEqual(self.process.wait(WAIT_TIMEOUT_S), 0)
        self.assertLess(time.monotonic() - begun, 6.0)  # 3.5 s, and a margin for a busy machine

    def test_invalid_address_is_named(self):
        with socket.socket() as occupied:
            occupied.bind(("127.0.0.1", 0))
            occupied.listen()
            path = self.configure(listen="127.0.0.1:1", discovery="127.0.0.1:2", state=str(self.state))
            for admin in (f"127.0.0.1:{occupied.getsockname()[1]}", "nowhere", "127.0.0.1:1"):
                listen = "127.0.0.1:1" if admin == "127.0.0.1:1" else f"127.0.0.1:{self.free_port()}"
                env = {"NODE_CONFIG": str(path), "NODE_LISTEN": listen, "NODE_ADMIN_ADDR": admin}
                ended = subprocess.run(
                    [sys.executable, "-m", "lynxscale"], cwd=ROOT, env=env, capture_output=True, timeout=20
                )
                self.assertEqual(ended.returncode, 2, ended)
                self.assertIn(b"admin_addr", ended.stderr)
