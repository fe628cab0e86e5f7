"""A relay process, tested from outside: by clients, peers and discovery."""

import json
import os
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from pathlib import Path

from lab.standins import WAIT_TIMEOUT_S, Client, Server, message, reply, row, settings, until
from tests.relay.node import ROOT, NodeCase


def no_response(_call):
    """A peer that reads calls and never responds."""
    return b""


def folder_size(folder) -> int:
    """The total size of all files in bytes."""
    return sum(path.stat().st_size for path in folder.rglob("*") if path.is_file())


class Serving(NodeCase):
    def test_a_message_reaches_its_peer_unchanged(self):
        self.start()
        body = bytes(range(256)) * 4
        self.assertEqual(self.client().hand_in("m1", "keyed", body=body, Idempotency_Key="k-1")[0], 202)
        first, headers, sent = until(lambda: self.calls("m1"), "the call")[0]
        self.assertEqual((first, headers["idempotency-key"], sent), ("POST /events HTTP/1.1", "k-1", body))
        self.assertLessEqual(float(headers["req-deadline"]), 16.0)
        self.delivered(1)
        self.assertEqual(self.discovery.notices, {})

    def test_connections_are_reused(self):
        self.start()
        client = self.client()
        for number in range(20):
            self.assertEqual(client.hand_in(f"m{number}")[0], 202)
            self.delivered(number + 1)
        self.assertEqual((len(self.calls()), self.peer.opened), (20, 1))

    def test_resent_request_is_accepted_once(self):
        self.act = no_response
        self.start()
        for _ in range(2):
            self.assertEqual(self.client().hand_in("m1")[0], 202)
        self.assertEqual(self.counters()["taken"], {"again": 1, "safe": 1})

    def test_more_clients_than_descriptors(self):
        """The longest idle connections are evicted, and every client is served."""
        self.limits["sockets"] = 64
        self.start()
        clients = [self.client() for _ in range(100)]
        self.assertEqual(clients[-1].hand_in("last")[0], 202)
        for number in range(40):
            self.assertEqual(self.client().hand_in(f"m{number}")[0], 202)
        until(lambda: "kind=client reason=crowded" in self.log.read_text(), "a log line of an evicted connection")
        self.assertLess(len(os.listdir(f"/proc/{self.process.pid}/fd")), 64)

    def test_no_descriptor_left(self):
        """Connections and attempts that get no descriptor do not stop the relay; later ones succeed."""
        self.start()
        client = self.client()
        client.hand_in("m1")
        self.delivered(1)
        pid = self.process.pid
        before = resource.prlimit(pid, resource.RLIMIT_NOFILE)
        used = max(int(name) for name in os.listdir(f"/proc/{pid}/fd")) + 1
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (used, before[1]))
        waiting = [Client(self.port) for _ in range(10)]
        self.act = lambda call: b""  # the open connection stays busy, so the next attempt needs a new one
        client.hand_in("m2")
        until(lambda: self.calls("m2"), "the call")
        client.hand_in("m3")
        for one in waiting:
            one.close()
        resource.prlimit(pid, resource.RLIMIT_NOFILE, before)
        self.act = lambda call: reply(200)
        self.delivered(2)
        self.assertIsNone(self.process.poll())


class Rejecting(NodeCase):
    def test_body_over_the_limit_is_answered_and_the_connection_stays_open(self):
        self.start()
        client = self.client()
        self.assertEqual(client.hand_in("big", body=b"x" * (64 * 1024 + 1))[0], 413)
        self.assertEqual(client.hand_in("most", body=b"x" * (64 * 1024))[0], 202)

    def test_malformed_input_is_answered(self):
        self.start()
        for data, status in [
            (b"nonsense\r\n\r\n", 400),
            (b"POST /api HTTP/1.1\r\nno colon\r\n\r\n", 400),
            (b"POST /api HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400),
            (b"POST /api HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400),
            (b"POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 411),
            (b"GET / HTTP/1.1\r\nX: " + b"x" * 20000, 431),
            (b"GET / HTTP/2.0\r\n\r\n", 505),
            (b"GET /nowhere HTTP/1.1\r\n\r\n", 404),
            (b"GET /api HTTP/1.1\r\n\r\n", 405),
            (message("m", cls="unknown"), 400),
            (message("m", Req_Owner="nobody"), 400),
            (message("m", Req_Deadline="soon"), 400),
            (message("m", X_Envelope="dest=x"), 400),
            (message(""), 400),
        ]:
            with self.subTest(data=data[:60]):
                self.assertEqual(self.client().ask(data)[0], status)
        self.assertEqual(self.client().hand_in("fine")[0], 202)

    def test_limit_of_pending_messages(self):
        self.act = no_response
        self.allowed["most_held"] = 5
        self.start()
        client = self.client()
        answers = [client.hand_in(f"m{number}") for number in range(8)]
        self.assertIn(202, [status for status, _, _ in answers])
        status, headers, _ = answers[-1]
        self.assertIn(status, (429, 503))
        self.assertGreater(float(headers["retry-after"]), 0)

    def test_scheduler_sets_retry_after(self):
        """A message rejected in the step that receives it gets the scheduler's Retry-After."""
        self.act = lambda call: reply(200)
        self.start()
        status, headers, _ = self.client().hand_in("late", left=0.0)
        self.assertEqual(status, 429)
        self.assertGreater(float(headers["retry-after"]), 0)

    def test_full_disk(self):
        """Messages are rejected while the journal is full, accepted again later, and its limit is never exceeded."""
        self.limits["disk_mb"] = 0.2
        self.act = no_response
        self.start()
        self.wait_past_first_reads()
        client, statuses = self.client(), []
        for number in range(10):
            statuses.append(client.hand_in(f"m{number}", left=1.5, body=b"x" * 20000)[0])
        self.assertEqual((statuses[0], statuses[-1]), (202, 503))
        for number in range(statuses.count(202)):
            self.notice(f"m{number}")
        self.act = lambda call: reply(200)
        until(lambda: client.hand_in(f"n{time.monotonic()}", body=b"x" * 20000)[0] == 202, "space in the journal")
        self.assertLess(folder_size(self.state), 200_000)


class Attempts(NodeCase):
    def test_rejections_are_retried(self):
        answers = [reply(503), reply(503, b"", "X-No-Slot: 1"), reply(200)]
        self.act = lambda call: answers.pop(0)
        self.start()
        self.client().hand_in("m1", "once")
        self.delivered(1)
        self.assertEqual(len(self.calls("m1")), 3)

    def test_retry_after_binds_the_destination(self):
        answers = [reply(429, b"", "Retry-After: 0.700")]
        self.act = lambda call: answers.pop() if answers else reply(200)
        self.start()
        client = self.client()
        client.hand_in("m0")
        until(lambda: self.counters().get("tries", {}).get("full"), "the rejection")
        asked_at = self.peer.calls[0][0]
        for number in range(1, 6):
            client.hand_in(f"m{number}")
        self.delivered(6)
        self.assertGreaterEqual(min(at for at, _ in self.peer.calls[1:]) - asked_at, 0.7)

    def test_message_that_may_have_run_is_not_sent_twice(self):
        self.act = lambda call: None
        self.start()
        self.client().hand_in("m1", "once")
        self.assertEqual(self.notice("m1"), {"id": "m1", "status": "undeliverable"})
        self.assertEqual(len(self.calls("m1")), 1)

    def test_idempotent_message_is_retried(self):
        self.act = lambda call: None if len(self.peer.calls) == 1 else reply(200)
        self.start()
        self.client().hand_in("m1", "safe")
        self.delivered(1)
        self.assertEqual(len(self.calls("m1")), 2)

    def test_deadline_expires(self):
        self.act = no_response
        self.start()
        self.wait_past_first_reads()
        begun = time.monotonic()
        self.client().hand_in("m1", "once", left=1.0)
        self.client().hand_in("m2", "safe", left=1.0)
        self.assertEqual(self.notice("m1")["status"], "undeliverable")
        self.assertEqual(self.notice("m2")["status"], "deferred")
        self.assertGreaterEqual(time.monotonic() - begun, 0.5)  # messages end a margin before their deadline
        until(lambda: not self.peer.open, "the connections of timed-out attempts to close")

    def test_refused_connection_has_run_nothing(self):
        gone = Server(no_response)
        gone.close()
        self.discovery.rows = [row("s-1", gone.at, 1)]
        self.start()
        self.client().hand_in("m1", "once")
        until(lambda: self.counters().get("tries", {}).get("connect_failed"), "a failed connect")
        self.discovery.change(row("s-1", self.peer.at, 1))
        self.delivered(1)

    def test_410_ends_a_message(self):
        self.act = lambda call: reply(410)
        self.start()
        self.client().hand_in("m1", "once")
        until(lambda: self.counters().get("ends", {}).get("over"), "the end")
        self.assertEqual((len(self.calls("m1")), self.discovery.notices), (1, {}))

    def test_closed_connection_is_not_written_to(self):
        """The peer closes an idle connection; a message that must not be repeated is still delivered."""
        self.start()
        client = self.client()
        for number in range(10):
            client.hand_in(f"m{number}", "once")
            self.delivered(number + 1)
            for link in list(self.peer.open):
                link.shutdown(socket.SHUT_RDWR)
        self.assertEqual((len(self.calls()), self.discovery.notices), (10, {}))


class Restarts(NodeCase):
    def restart(self) -> None:
        self.kill()
        self.start()

    def test_each_open_message_is_ended_after_a_restart(self):
        self.act = no_response
        self.discovery.rows.append(row("s-9", self.peer.at, 9, "draining"))  # gets no new messages
        self.start()
        client = self.client()
        for cls in ("once", "keyed", "safe"):
            client.hand_in(cls, cls, Idempotency_Key=cls)
            until(lambda cls=cls: self.calls(cls), "the call")
            until(lambda: self.peer.open, "an open call")
        client.hand_in("untried", "once", dest=9)
        self.kill()
        self.act = lambda call: reply(200)
        self.discovery.rows[1]["lifecycle"] = "ready"
        self.start()
        ready = time.monotonic()
        self.assertEqual(self.notice("once")["status"], "undeliverable")
        self.assertLess(time.monotonic() - ready, 1.5)
        self.delivered(3)
        self.assertEqual(
            {id: len(self.calls(id)) for id in ("once", "keyed", "safe", "untried")},
            {"once": 1, "keyed": 2, "safe": 2, "untried": 1},
        )
        self.assertEqual(self.calls("keyed")[1][1]["idempotency-key"], "keyed")

    def test_rejected_attempt_never_ran(self):
        self.act = lambda call: reply(429, b"", "Retry-After: 3")
        self.start()
        self.client().hand_in("m1", "once")
        until(lambda: self.counters().get("tries", {}).get("full"), "the rejection")
        self.kill()
        self.act = lambda call: reply(200)
        self.start()
        self.delivered(1)
        self.assertEqual(self.discovery.notices, {})

    def test_attempts_are_counted_over_restarts(self):
        self.allowed["attempts_cap"] = 3
        self.act = lambda call: reply(503)
        self.start()
        self.client().hand_in("m1", "safe")
        until(lambda: self.counters().get("tries", {}).get("full") == 2, "two rejections")
        self.restart()
        self.assertEqual(self.notice("m1")["status"], "deferred")
        self.assertEqual(len(self.calls("m1")), 3)

    def test_torn_journal_tail_costs_only_itself(self):
        self.act = no_response
        self.start()
        self.client().hand_in("m1", "safe")
        until(lambda: self.calls("m1"), "the call")
        self.kill()
        with max((self.state / "segments").glob("*.seg")).open("ab") as file:
            file.write(b"\1\2\3\4\xff\0\0\0\1torn")
        self.act = lambda call: reply(200)
        self.start()
        self.delivered(1)

    def test_notice_is_resent_until_acknowledged(self):
        self.discovery.refusals = 10**6
        self.act = lambda call: None
        self.start()
        self.client().hand_in("m1", "once")
        until(lambda: self.counters().get("notices", {}).get("sent_again", 0) > 2, "notices sent again")
        self.restart()
        self.discovery.refusals = 3
        self.notice("m1")
        until(lambda: self.counters().get("notices", {}).get("delivered") == 1, "the notice's end")
        self.restart()
        self.assertNotIn("taken", self.counters())
        self.assertEqual(len(self.calls("m1")), 1)

    def test_unreadable_notice_does_not_block_the_others(self):
        self.discovery.unreadable = "odd"
        self.act = lambda call: None
        self.start()
        for id in ("odd", "m1", "m2"):
            self.client().hand_in(id, "once")
        for id in ("m1", "m2"):
            self.notice(id)
        self.discovery.unreadable = ""
        self.notice("odd")

    def test_the_journal_stays_small(self):
        self.limits["disk_mb"] = 0.2
        self.start()
        client = self.client()
        for number in range(60):
            self.assertEqual(client.hand_in(f"m{number}", body=b"x" * 8000)[0], 202)
            self.delivered(number + 1)
            self.assertLess(folder_size(self.state), 200_000)


class Stopping(NodeCase):
    def test_sigterm_finishes_what_it_can(self):
        may_respond = threading.Event()
        self.act = lambda call: reply(200) if may_respond.wait(WAIT_TIMEOUT_S) else None
        self.start()
        client, other = self.client(), self.client()
        client.hand_in("m1", "once")
        until(lambda: self.calls("m1"), "the call")
        self.process.send_signal(signal.SIGTERM)
        until(lambda: "event=stopping" in self.log.read_text(), "the stop")
        status, headers, _ = client.hand_in("m2")
        self.assertEqual((status, headers["connection"]), (202, "close"))
        self.assertEqual(self.client().hand_in("m3")[0], 202)  # new connections are still accepted
        self.assertEqual(other.stream.read(), b"")  # an idle one is closed
        may_respond.set()
        self.assertEqual(self.process.wait(WAIT_TIMEOUT_S), 0)
        self.assertEqual(sorted({call[1]["req-id"] for call in self.calls()}), ["m1", "m2", "m3"])
        self.assertIn("event=counters group=ends delivered=3", self.log.read_text())

    def test_sigterm_leaves_unfinished_messages_in_the_journal(self):
        self.act = no_response
        self.start()
        self.client().hand_in("m1", "safe")
        until(lambda: self.calls("m1"), "the call")
        begun = time.monotonic()
        self.process.send_signal(signal.SIGTERM)
        self.assertEqual(self.process.wait(WAIT_TIMEOUT_S), 0)
        # 3.5 s, and a margin for the exit on a busy machine; the message's deadline is after 16 s.
        self.assertLess(time.monotonic() - begun, 8.0)
        self.act = lambda call: reply(200)
        self.start()
        self.delivered(1)

    def test_counters_on_request(self):
        self.start()
        self.client().hand_in("m1")
        self.delivered(1)
        self.process.send_signal(signal.SIGUSR1)
        until(lambda: "event=counters group=taken safe=1" in self.log.read_text(), "the counters")


class UpstreamGroup(NodeCase):
    def test_draining_peer_gets_nothing_new(self):
        second = Server(lambda call: reply(200))
        self.addCleanup(second.close)
        self.start()
        until(lambda: len(self.discovery.calls) >= 2, "the watch")
        self.discovery.change(row("s-1", self.peer.at, 1, "draining"), row("s-2", second.at, 1))
        until(lambda: any("after=2" in call[0] for _, call in list(self.discovery.calls)), "the next watch")
        client = self.client()
        for number in range(5):
            client.hand_in(f"m{number}")
        self.delivered(5)
        self.assertEqual((len(self.calls()), len(second.calls)), (0, 5))

    def test_watch_continues_at_once_and_after_failures(self):
        self.start()
        until(lambda: len(self.discovery.calls) >= 2, "the watch")
        answered = time.monotonic()
        self.discovery.change()
        until(lambda: any("after=2" in call[0] for _, call in list(self.discovery.calls)), "the next call")
        self.assertLess(self.discovery.calls[-1][0] - answered, 0.2)
        self.discovery.failing = True
        self.discovery.change()
        until(lambda: self.counters()["group"].get("failed", 0) >= 2, "failures")
        self.discovery.failing = False
        number = self.counters()["group"]["answers"]
        until(lambda: self.counters()["group"]["answers"] > number, "an answer")
        self.assertEqual(self.client().hand_in("m1")[0], 202)
        self.delivered(1)

    def test_invalid_list_entry_does_not_reject_the_list(self):
        self.discovery.rows.insert(0, {"instanceId": "s-0", "lifecycle": "ready", "hostPort": "nowhere"})
        self.start()
        self.client().hand_in("m1")
        self.delivered(1)


class Configuration(unittest.TestCase):
    @staticmethod
    def with_settings(change) -> str:
        table = settings()
        change(table)
        return json.dumps({"state": ".", "settings": table})

    def test_invalid_key_is_named(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        conf = Path(folder.name) / "bad.json"
        for text, key in [
            ("{}", "NODE_STATE"),
            ("[", "NODE_CONFIG"),
            ('{"state":"."}', "settings"),
            (
                '{"state":".","limits":{"sockets":"many"},"settings":{"balancers":1,"grades":'
                '[{"effect":"idempotent","goal_time_ms":1,"deadline_ms":2,"value":1}],'
                '"family_info":{"max_calls":4}}}',
                "limits.sockets",
            ),
            (
                '{"state":".","settings":{"balancers":1,"family_info":{"max_calls":4},"grades":[{"effect":"odd"}]}}',
                "grades[0].effect",
            ),
            (self.with_settings(lambda table: table.update(grades=[])), "setting grades is missing"),
            (self.with_settings(lambda table: table["grades"][1].update(memory_span_ms=0)), "grades[1].memory_span_ms"),
            (self.with_settings(lambda table: table["family_info"].update(max_calls=1e18)), "family_info.max_calls"),
        ]:
            with self.subTest(key=key):
                env = {k: v for k, v in os.environ.items() if not k.startswith("NODE_")}
                conf.write_text(text)
                run = subprocess.run(
                    [sys.executable, "-m", "lynxscale"],
                    cwd=ROOT,
                    capture_output=True,
                    text=True,
                    env=env | {"NODE_CONFIG": str(conf)},
                    timeout=WAIT_TIMEOUT_S,
                )
                self.assertEqual((run.returncode, run.stderr.count("\n")), (2, 1), run.stderr)
                self.assertIn(key, run.stderr)
