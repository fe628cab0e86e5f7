"""Peer responses that are malformed or followed by surplus bytes."""

import socket
import time
import unittest

from lab.standins import reply, row, until
from lynxscale.relay.http_parser import ResponseParser
from lynxscale.relay.net.peer_responses import parse_seconds_as_ms
from tests.relay.node import NodeCase

OK = b"HTTP/1.1 200 OK\r\n"
MALFORMED_REMAINDERS = [  # sent after a status line
    b"no colon\r\n\r\n",
    b"Content-Length: -5\r\n\r\n",
    b"Content-Length: 3000000000\r\n\r\n" + b"x" * 5000,
    b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    b"Transfer-Encoding: chunked\r\n\r\n-1\r\n\r\n",
    b"Transfer-Encoding: chunked\r\n\r\n0x1\r\nx\r\n0\r\n\r\n",
    b"Transfer-Encoding: chunked\r\n\r\n+1\r\nx\r\n0\r\n\r\n",
    b"Transfer-Encoding: chunked\r\n\r\n1\r\nxy\r\n0\r\n\r\n",
    b"X: " + b"x" * 20_000,
    b"Content-Length: 50\r\n\r\nshort",  # and the connection stays open
    b"Content-Le",
]


class MalformedResponses(NodeCase):
    def respond_with(self, *answers: bytes) -> None:
        """Let the peer send these responses in turn, then valid ones."""
        left = list(answers)
        self.act = lambda call: left.pop(0) if left else reply(200)

    def test_status_line_200_counts_whatever_follows(self):
        self.respond_with(*[OK + rest for rest in MALFORMED_REMAINDERS])
        self.start()
        client = self.client()
        for number in range(len(MALFORMED_REMAINDERS)):
            client.hand_in(f"m{number}", "once")
            self.delivered(number + 1)
        self.assertEqual((len(self.calls()), self.peer.opened), (len(MALFORMED_REMAINDERS), len(MALFORMED_REMAINDERS)))
        self.assertEqual(self.discovery.notices, {})

    def test_any_other_malformed_response_may_have_run(self):
        malformed = [b"\x16\x03\x01noise\r\n\r\n"] + [
            b"HTTP/1.1 %d X\r\n" % status + rest
            for status, rest in zip((429, 503, 504, 410) * 3, MALFORMED_REMAINDERS, strict=False)
        ]
        self.respond_with(*malformed)
        # Each message has a separate destination, as a failed one is paused.
        self.discovery.rows = [row(f"s-{number}", self.peer.at, number) for number in range(len(malformed))]
        self.start()
        for number in range(len(malformed)):
            self.client().hand_in(f"m{number}", "once", dest=number)
            self.assertEqual(self.notice(f"m{number}"), {"id": f"m{number}", "status": "undeliverable"})
        self.assertEqual((len(self.calls()), self.peer.opened), (len(malformed), len(malformed)))

    def test_truncated_rejection_may_have_run(self):
        def act(_call):
            link = next(iter(self.peer.open))
            link.sendall(b"HTTP/1.1 503 X\r\nContent-Length: 9\r\n\r\nxyz")
            link.shutdown(socket.SHUT_RDWR)

        self.act = act
        self.start()
        self.client().hand_in("m1", "once")
        self.assertEqual(self.notice("m1")["status"], "undeliverable")
        self.assertEqual(len(self.calls("m1")), 1)

    def test_complete_response_counts_whatever_follows_it(self):
        """No further call is sent on that connection, as the surplus bytes would be read as its response."""
        surplus = [reply(200), b"\x00noise", b"HTTP/1.1 200 OK\r\nno colon\r\n\r\n", b"HTTP/9.9"]
        self.respond_with(*[reply(200) + more for more in surplus])
        self.start()
        client = self.client()
        for number in range(len(surplus)):
            client.hand_in(f"m{number}", "once")
            self.delivered(number + 1)
        self.assertEqual((len(self.calls()), self.peer.opened), (len(surplus), len(surplus)))

    def test_interim_responses_are_skipped(self):
        self.respond_with(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: x\r\n\r\n" + reply(503))
        self.start()
        self.client().hand_in("m1", "once")
        self.delivered(1)
        self.assertEqual((len(self.calls()), self.peer.opened), (2, 1))

    def test_load_reports_and_waits_that_are_no_numbers(self):
        reports = ["x0=nan,x1=inf", "x0=-1,x1=-1e400", "x0=1e999,x1=1_0", "=,,=;", "x0"]
        waits = ["nan", "-inf", "-1", "1e9", "0x1"]
        self.respond_with(
            *[
                reply(503, b"", f"Srv-Load: {report}", f"Retry-After: {wait}")
                for report, wait in zip(reports, waits, strict=True)
            ]
        )
        self.discovery.rows = [row(f"s-{number}", self.peer.at, number) for number in range(len(waits))]
        self.start()
        for number in range(len(waits)):
            self.client().hand_in(f"m{number}", "once", dest=number)
        self.delivered(len(waits))
        self.assertNotIn("failed", self.counters().get("module", {}))
        self.assertEqual(parse_seconds_as_ms("9" * 9), 3_600_000.0)

    def test_unreadable_list_is_rejected(self):
        original_list = self.discovery._list
        malformed = [
            reply(200, b"[]"),
            reply(200, b'{"generation":"x","reset":true,"instances":[]}'),
            reply(200, b'{"generation":2,"reset":true,"instances":{"a":1}}'),
            b"\0noise\r\n\r\n",
            reply(200, b'{"generation":2,"reset":false,"instances":[{"instanceId":[]},7,null]}'),
        ]
        self.discovery._list = lambda *args: malformed.pop(0) if malformed else original_list(*args)
        self.discovery.version = 9  # a change is available, so each call is answered immediately
        self.start()
        until(lambda: not malformed, "all answers")
        self.client().hand_in("m1")
        self.delivered(1)

    def test_overloaded_discovery_is_waited_for(self):
        """Discovery responds slowly under load: a timeout and a second call would only add to the load."""
        original_list, calls = self.discovery._list, []

        def late(*args):
            calls.append(args)
            time.sleep(2.0 if len(calls) == 1 else 0.0)  # the time after which discovery rejects a waiting call
            return original_list(*args)

        self.discovery._list = late
        self.discovery.change(row("s-2", self.peer.at, 2))
        self.start()
        until(lambda: "outcome=applied" in self.log.read_text(), "the list")
        self.assertNotIn("reason=timed_out", self.log.read_text())
        self.assertNotIn("outcome=rejected", self.log.read_text())

    def test_endpoint_absent_from_a_complete_list_is_removed(self):
        """Another endpoint gets its address, but does not reuse its connections."""
        self.start()
        until(lambda: len(self.discovery.calls) >= 2, "the watch")
        self.client().hand_in("m1")
        self.delivered(1)
        list_, self.discovery._list = self.discovery._list, lambda _whole, rows: list_(True, rows)
        self.discovery.change(row("s-2", self.peer.at, 1))
        until(lambda: "kind=peer reason=gone" in self.log.read_text(), "the close of its connection")
        self.client().hand_in("m2")
        self.delivered(2)
        self.assertEqual(self.peer.opened, 2)


class Parser(unittest.TestCase):
    def test_split_anywhere_parses_the_same(self):
        data = (
            b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 X\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"3;x=y\r\nabc\r\n0\r\nT: x\r\n\r\nHTTP/1.1 nonsense\r\n\r\n"
        )
        for cut in range(len(data)):
            parser = ResponseParser()
            got = parser.feed(data[:cut]) + parser.feed(data[cut:])
            self.assertEqual([(one.status, one.body) for one in got], [(503, b"abc")])
            self.assertIsNotNone(parser.fault)
            self.assertIsNone(parser.end())
