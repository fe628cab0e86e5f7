"""Clients that send invalid requests, too much data or nothing, and well-behaved clients at the same time."""

import json
import socket
import time

from lab.standins import Client, message, until
from tests.relay.node import NodeCase


class BadClients(NodeCase):
    def response_status(self, data: bytes, within: float) -> int | None:
        """The status of the response to ``data``, or None for a close; it must arrive ``within`` seconds."""
        begun = time.monotonic()
        client = self.client()
        answer = client.ask(data)
        self.assertLess(time.monotonic() - begun, within, data[:80])
        return answer and answer[0]

    def test_silent_clients_and_endless_heads_are_closed_soon(self):
        self.start()
        self.assertIsNone(self.response_status(b"", 3.0))
        self.assertEqual(self.response_status(b"POST /api HT", 3.0), 408)
        self.assertEqual(self.response_status(message("m1")[:-1], 3.0), 408)
        self.assertEqual(self.response_status(b"POST /api HTTP/1.1\r\n" + b"X: y\r\n" * 101 + b"\r\n", 3.0), 431)
        self.assertIn("kind=client reason=silent", self.log.read_text())

    def test_connection_may_be_idle_after_a_response(self):
        """A connection may be idle after a response for longer than a new one may take for its first request."""
        self.start()
        client = self.client()
        client.hand_in("m1")
        self.assertIsNone(self.response_status(b"", 3.0))
        self.assertEqual(client.hand_in("m2")[0], 202)

    def test_requests_that_are_no_message(self):
        self.discovery.change()  # a change, so that the first call is answered immediately
        self.start()
        until(lambda: self.counters().get("group", {}).get("answers"), "the list")
        two = message("m").replace(b"\r\n\r\n", b"\r\nTransfer-Encoding: chunked\r\n\r\n")
        for data, status in [
            (two, 400),
            (message("m", left=40.0), 400),
            (message("m", Req_Deadline="1_0"), 400),
            (message("m", Req_Deadline="nan"), 400),
            (message("m", Req_Deadline="-1"), 400),
            (message("m", Req_Deadline="+1"), 400),
            (message("m", Req_Deadline="1e1"), 400),
            (message("m", dest=77), 404),
            (message("m", X_Envelope="dest=1, dest=2"), 400),
            (message("m", Content_Length="+5"), 400),
            (message("m", Content_Length="5_0"), 400),
            (message("m", Content_Length="9" * 30), 400),
            (message("m", Content_Length=str(60 << 20)), 413),
            (message("m").replace(b"Req-Id", b"Req-Id: other\r\nReq-Id"), 400),
            (message("m").replace(b"Req-Kind", b"req-kind: once\r\nReq-Kind"), 400),
            (message("m").replace(b"Req-Kind", b"Req-Kind : x\r\nX"), 400),
            (message("m").replace(b"Req-Kind", b"X: a\nReq-Kind"), 400),
            (message("m") * 40, 429),
            (b"\r\n" * 200 + message("m"), 400),
        ]:
            with self.subTest(data=data[:300]):
                self.assertEqual(self.response_status(data, 3.0), status)
        self.assertEqual((self.counters().get("taken"), self.calls()), (None, []))

    def test_a_message_in_absolute_form_is_taken(self):
        """Regression: a relay answered 404 to a target in absolute form (RFC 9112, section 3.2.2)."""
        self.start()
        until(lambda: self.counters().get("group", {}).get("answers"), "the list")
        self.assertEqual(self.response_status(message("m1").replace(b" /", b" http://desk.example:80/", 1), 3.0), 202)
        self.assertEqual(self.response_status(message("m2").replace(b" /", b" http:///", 1), 3.0), 400)
        self.assertEqual(self.response_status(message("m3").replace(b" /", b" https://desk.example/", 1), 3.0), 421)

    def test_head_is_answered_without_a_body(self):
        """Regression: the client took the body of a response to HEAD for the beginning of its next response."""
        self.start()
        with socket.create_connection(("127.0.0.1", self.port), timeout=3.0) as client:
            client.sendall(b"HEAD /nothing-here HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
            with client.makefile("rb") as reader:
                head, _, body = reader.read().partition(b"\r\n\r\n")
        self.assertTrue(head.startswith(b"HTTP/1.1 404 "))
        self.assertIn(b"Content-Length: 19", head)
        self.assertEqual(body, b"")

    def test_request_hidden_in_a_body_is_not_parsed(self):
        self.start()
        client = self.client()
        hidden = message("hidden")
        client.socket.sendall(
            message("m", body=hidden).replace(b"\r\n\r\n", b"\r\nTransfer-Encoding: chunked\r\n\r\n", 1) + hidden
        )
        self.assertEqual(client.stream.read().count(b"HTTP/1.1 "), 1)
        self.assertNotIn("taken", self.counters())

    def test_a_body_of_60_mb(self):
        """The request is rejected before its end, and the relay reads a bounded part of the rest."""
        self.start()
        client = self.client()
        client.socket.sendall(message("m", Content_Length=str(60 << 20)))
        until(lambda: self.counters().get("reject", {}).get("status_413"), "the rejection")
        sent = 0
        try:
            while sent < 60 << 20:
                sent += client.socket.send(bytes(1 << 16))
        except OSError:
            pass
        self.assertLess(sent, 60 << 20)

    def test_repeated_invalid_requests_are_slowed_down(self):
        self.start()
        client, begun = self.client(), time.monotonic()
        for _ in range(10):
            self.assertEqual(client.hand_in("m", cls="unknown")[0], 400)
        self.assertGreater(time.monotonic() - begun, 0.8)
        begun = time.monotonic()
        self.assertEqual(self.client().hand_in("m1")[0], 202)
        self.assertLess(time.monotonic() - begun, 0.4)

    def test_silent_connections_are_evicted_for_usual_clients(self):
        self.limits["sockets"] = 64
        self.start()
        usual = [self.client() for _ in range(5)]
        for number, client in enumerate(usual):
            client.hand_in(f"u{number}")
        waiting = [self.client() for _ in range(150)]
        for number in range(10):
            begun, client = time.monotonic(), Client(self.port)
            self.assertEqual(client.hand_in(f"m{number}")[0], 202)
            self.assertLess(time.monotonic() - begun, 0.4)
            client.close()
        for number, client in enumerate(usual):  # the connections are still open
            self.assertEqual(client.hand_in(f"v{number}")[0], 202)
        self.assertEqual(len(waiting), 150)

    def test_long_idle_clients_are_evicted_before_the_table_is_full(self):
        self.limits["sockets"] = 192  # 96 client connections at most
        self.start()
        idle_clients = [self.client() for _ in range(60)]
        for number, client in enumerate(idle_clients):
            self.assertEqual(client.hand_in(f"m{number}")[0], 202)

        def one_more() -> bool:
            client = Client(self.port)
            self.assertIn(client.hand_in(f"n{time.monotonic()}")[0], (202, 429))  # 429: beyond the peer's limit
            client.close()
            return self.log.read_text().count("kind=client reason=crowded") >= 20

        until(one_more, "evictions of idle connections")
        self.assertIn(idle_clients[-1].hand_in("last")[0], (202, 429))  # the longest idle were evicted first

    def test_client_that_never_reads_does_not_keep_its_descriptor(self):
        self.start()
        client = Client(self.port)
        self.addCleanup(client.close)
        client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1)
        client.socket.sendall(b"GET /_counters HTTP/1.1\r\n\r\n" * 10 + b"nonsense\r\n\r\n")
        until(lambda: "kind=client reason=malformed" in self.log.read_text(), "the close")

    def test_unknown_destination_before_the_first_list(self):
        """The stored list may be outdated, so the client is asked to retry instead of getting a 404."""
        self.discovery.failing = True
        self.start()
        status, headers, _ = self.client().hand_in("m1", dest=77)
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["retry-after"]), 0)
        self.discovery.failing = False
        until(lambda: self.client().hand_in("m1", dest=77)[0] == 404, "the rejection")


class Tables(NodeCase):
    def test_replaced_endpoints_leak_nothing(self):
        """Each of forty endpoints replaces the previous one, whose health, numbers and connections are released."""
        self.start()
        until(lambda: len(self.discovery.calls) >= 2, "the watch")
        client, at = self.client(), self.peer.at
        for number in range(2, 42):
            gone = json.loads(json.dumps(self.discovery.rows[0])) | {"lifecycle": "gone"}
            new = gone | {"instanceId": f"s-{number}", "lifecycle": "ready"}
            self.discovery.rows = [new]
            self.discovery.change(gone, new)
            until(
                lambda v=number: any(f"after={v}&" in call[0] for _, call in list(self.discovery.calls)),
                "the next watch",
            )
            # A class without repeats: on a slow machine a late response would cause a second call in others.
            self.assertEqual(client.hand_in(f"m{number}", "once")[0], 202)
            self.delivered(number - 1)
        self.assertEqual((self.peer.opened, self.peer.at), (40, at))
        until(lambda: len(self.peer.open) <= 1, "the connections of removed endpoints to close")
