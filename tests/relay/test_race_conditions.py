"""Race conditions between deadlines and input, each reproduced deterministically in its unfavourable order.

The relay is stopped (SIGSTOP) while one of its deadlines passes, so that on SIGCONT it handles the deadline before it
reads the input that arrived meanwhile. Scripted peers delay lists, connections and responses.
"""

import contextlib
import re
import signal
import socket
import threading
import time

from lab.standins import WAIT_TIMEOUT_S, Discovery, message, read_http, reply, row, settings, until
from lynxscale.scheduling.actions import Subscribe
from lynxscale.scheduling.events import MembershipKind, MembershipUpdate, Message, Result
from tests.relay.node import NodeCase
from tests.scheduling.driver import KEYED, SAFE, UNSAFE, Driver, member


class StoppedProcess(contextlib.AbstractContextManager):
    """Stops a process for the duration of a with block."""

    def __init__(self, process) -> None:
        self._process = process

    def __enter__(self) -> None:
        self._process.send_signal(signal.SIGSTOP)
        until(lambda: self._state() == "T", "the process stopped")

    def _state(self) -> str:
        with open(f"/proc/{self._process.pid}/stat") as stat:
            return stat.read().rpartition(")")[2].split()[0]

    def __exit__(self, *_error) -> None:
        self._process.send_signal(signal.SIGCONT)


def socket_rows(port: int, clients: list[socket.socket]) -> list[list[str]]:
    """The rows of /proc/net/tcp for the server side of these clients' connections to ``port``.

    The table is read once for all clients: with tens of thousands of closed connections in it, reading it for each
    client would take longer than the state that the test waits for.
    """
    with open("/proc/net/tcp") as table:
        found = {
            row[2][-5:]: row
            for line in table
            if f":{port:04X} " in line
            if (row := line.split())[1].endswith(f":{port:04X}")
        }
    return [found.get(f":{client.getsockname()[1]:04X}", []) for client in clients]


def min_unread_bytes(port: int, *clients: socket.socket) -> int:
    """The minimum, over these clients, of the bytes that the relay has not read yet."""
    return min(int(row[4].partition(":")[2], 16) if row else 0 for row in socket_rows(port, list(clients)))


def is_accepted(port: int, client: socket.socket) -> bool:
    """Has the process that listens on ``port`` accepted this client? Before that, the socket has no inode."""
    (row,) = socket_rows(port, [client])
    return bool(row) and row[9] != "0"


def sleep_until(at: float) -> None:
    """Sleep until a monotonic time, for the relay's deadlines, which no event announces."""
    time.sleep(max(0.0, at - time.monotonic()))


class Clients(NodeCase):
    def test_request_in_the_instant_of_a_timeout_is_answered(self):
        """A connection without a request is closed after two seconds; this request arrives just as they end."""
        self.start()
        begun = time.monotonic()
        client = self.client()
        sleep_until(begun + 1.5)
        with StoppedProcess(self.process):
            client.socket.sendall(message("m1"))
            sleep_until(begun + 2.3)
        answer = read_http(client.stream)
        self.assertIsNotNone(answer)
        self.assertIn(" 202 ", answer[0])
        self.delivered(1)

    def test_last_part_of_a_request_in_the_instant_of_its_timeout(self):
        self.start()
        begun = time.monotonic()
        client, data = self.client(), message("m1")
        client.socket.sendall(data[:40])
        sleep_until(begun + 1.5)
        with StoppedProcess(self.process):
            client.socket.sendall(data[40:])
            sleep_until(begun + 2.3)
        self.assertIn(" 202 ", read_http(client.stream)[0])

    def test_timeout_is_delayed_once_only(self):
        """A client that has an unread byte at every check is closed nevertheless.

        In each round the relay handles the deadline while a byte is unread, and then reads it.
        """
        self.start()
        begun = time.monotonic()
        client = self.client()
        client.socket.setblocking(False)

        def answered() -> bool:
            try:
                client.socket.recv(1, socket.MSG_PEEK)
            except BlockingIOError:
                return False
            return True

        sleep_until(begun + 1.5)
        rounds = 0
        while not answered() and rounds < 30:
            rounds += 1
            with StoppedProcess(self.process):
                client.socket.sendall(b"x")
                sleep_until(max(begun + 2.3, time.monotonic() + 0.06))
            end = time.monotonic() + WAIT_TIMEOUT_S
            # No sleep in this loop: the relay is to be stopped again immediately.
            while min_unread_bytes(self.port, client.socket) and not answered():
                self.assertLess(time.monotonic(), end)
        self.assertLessEqual(rounds, 6)

    def test_half_closed_client_gets_its_response(self):
        self.start()
        client = self.client()
        client.socket.sendall(message("m1"))
        client.socket.shutdown(socket.SHUT_WR)
        answer = read_http(client.stream)
        self.assertIsNotNone(answer)
        self.assertIn(" 202 ", answer[0])
        self.assertEqual(client.stream.read(), b"")
        self.delivered(1)
        until(lambda: self.counters()["connections"]["client_opened"] >= 2, "the counters' own connection")
        self.assertIn("kind=client reason=far_closed calls=1", self.log.read_text())

    def test_client_evicted_for_bytes_gets_its_response(self):
        """One read completes a request and begins the next one, for whose bytes the connection is evicted."""
        self.limits["memory_mb"] = 2  # 105 kB for incomplete requests
        self.start()
        first, *others = [self.client() for _ in range(3)]
        data = message("m1", body=bytes(20_000))
        first.socket.sendall(data[:-1])  # the oldest incomplete request, so it is evicted first
        for other in others:
            other.socket.sendall(message("m", body=bytes(30_000))[:-1])
        self.counters()  # the response shows that the relay has read the incomplete requests
        with StoppedProcess(self.process):
            first.socket.sendall(data[-1:] + message("m2", body=bytes(60_000))[:-1])  # read in one turn
        answer = read_http(first.stream)
        self.assertIsNotNone(answer)
        self.assertIn(" 202 ", answer[0])
        self.assertEqual(answer[1].get("connection"), "close")

    def test_clients_that_disconnect_in_a_burst_before_admission(self):
        """Requests are read after their clients have disconnected: each is processed, and no connection remains."""
        self.start()
        clients = [self.client() for _ in range(20)]
        with StoppedProcess(self.process):
            for number, client in enumerate(clients):
                client.socket.sendall(message(f"m{number}"))
                client.close()
        self.delivered(20)
        until(
            lambda: self.log.read_text().count("kind=client reason=far_closed calls=1") >= 20,
            "the connections to close",
        )
        self.assertEqual(self.client().hand_in("next")[0], 202)

    def test_exit_waits_for_an_incomplete_request(self):
        """The relay has no pending message and its listener is closed, but a client has sent half of a request."""
        self.start()
        client, data = self.client(), message("m1")
        client.socket.sendall(data[:40])
        until(lambda: self.counters()["connections"]["client_opened"] >= 2, "the connection")
        self.process.send_signal(signal.SIGTERM)
        until(lambda: "state=stop_finishing" in self.log.read_text(), "the end of listening")
        time.sleep(0.3)  # six checks, at the first of which it could exit
        client.socket.sendall(data[40:])
        self.assertIn(" 202 ", read_http(client.stream)[0])
        self.assertEqual(self.process.wait(WAIT_TIMEOUT_S), 0)
        self.assertEqual(len(self.calls("m1")), 1)

    def test_connections_in_the_listen_queue_are_answered_at_the_stop(self):
        self.start()
        begun = time.monotonic()
        self.process.send_signal(signal.SIGTERM)
        until(lambda: "event=stopping" in self.log.read_text(), "the stop")
        with StoppedProcess(self.process):
            clients = [self.client() for _ in range(12)]
            for number, client in enumerate(clients):
                client.socket.sendall(message(f"m{number}"))
            sleep_until(begun + 1.2)
        for client in clients:
            self.assertIn(" 202 ", read_http(client.stream)[0])
        self.assertEqual(self.process.wait(WAIT_TIMEOUT_S), 0)

    def test_connections_over_the_limit_are_answered_at_the_stop(self):
        """Incomplete requests take all descriptors, so queued connections are accepted only as others close."""
        self.limits["sockets"] = 64  # eleven of these are for clients
        self.start()
        incomplete = []
        for number in range(11):
            incomplete.append(self.client())
            incomplete[-1].socket.sendall(message(f"first{number}") + message(f"m{number}")[:40])
            self.assertIn(" 202 ", read_http(incomplete[-1].stream)[0])
        waiting = [self.client() for _ in range(5)]
        for number, client in enumerate(waiting, 11):
            client.socket.sendall(message(f"m{number}"))
        self.process.send_signal(signal.SIGTERM)
        until(lambda: "state=stop_closing" in self.log.read_text(), "the close of idle clients")
        self.assertTrue(min_unread_bytes(self.port, *(client.socket for client in waiting)))
        until(lambda: "state=stop_finishing" in self.log.read_text(), "the end of listening")
        for number, client in enumerate(incomplete):
            client.socket.sendall(message(f"m{number}")[40:])
            self.assertIn(" 202 ", read_http(client.stream)[0])
            client.close()
        for client in waiting:
            self.assertIn(" 202 ", read_http(client.stream)[0])
        self.assertEqual(self.process.wait(WAIT_TIMEOUT_S), 0)
        self.assertLessEqual({f"m{number}" for number in range(16)}, {call[1]["req-id"] for call in self.calls()})


STEPPED_CLOCK_PROGRAM = """import time
true, step = time.time_ns, {seconds} * 10**9
time.time_ns, time.time = lambda: true() + step, lambda: (true() + step) / 1e9
from lynxscale.__main__ import main
main()"""


class SteppedClocks(NodeCase):
    """The wall clock is stepped by an hour between two processes of a relay."""

    def restart_with_step(self, seconds: int) -> None:
        """Restart the relay with a wall clock that is off by ``seconds``."""
        self.kill()
        self.program = "-c", STEPPED_CLOCK_PROGRAM.format(seconds=seconds)
        self.start()
        found = re.search(r"event=wall_clock_stepped ms=(-?[0-9]+)", self.log.read_text())
        self.assertAlmostEqual(int(found[1]), seconds * 1000, delta=500)

    def test_clock_stepped_back_does_not_reopen_a_keys_span(self):
        span = settings()
        span["grades"][1]["memory_span_ms"] = 1500.0
        self.configure_more = {"settings": span}
        self.act = lambda call: b"" if call[1]["req-id"] == "m1" else reply(200)
        self.start()
        self.assertEqual(self.client().hand_in("m1", "keyed", Idempotency_Key="k1")[0], 202)
        until(lambda: self.calls("m1"), "its attempt, which may have been executed")
        begun = time.monotonic()
        self.kill()
        sleep_until(begun + 1.7)
        self.restart_with_step(-3600)
        self.notice("m1")
        self.assertEqual(len(self.calls("m1")), 1)

    def test_clock_stepped_forward_ends_nothing_without_an_attempt(self):
        self.act = lambda _call: reply(503, b"", "Retry-After: 3.000")
        self.start()
        self.assertEqual(self.client().hand_in("m0")[0], 202)
        until(lambda: self.calls("m0"), "the rejected call")
        self.assertEqual(self.client().hand_in("m1")[0], 202)
        self.act = lambda _call: reply(200)
        self.restart_with_step(3600)
        self.delivered(2)
        self.assertEqual((len(self.calls("m1")), self.discovery.notices), (1, {}))


class Operators(NodeCase):
    def test_admin_call_in_the_instant_of_its_timeout_is_answered(self):
        """The relay is stopped while the time of a call passes; an incomplete call still gets its 408."""
        self.admin = self.free_port()
        self.env["NODE_ADMIN_ADDR"] = f"127.0.0.1:{self.admin}"
        self.start()
        call = b"GET /admin/health HTTP/1.1\r\n\r\n"
        for rest, status in ((b"", "200"), (call[20:-1], "408"), (call[20:], "200")):
            with self.subTest(rest=rest), socket.create_connection(("127.0.0.1", self.admin), WAIT_TIMEOUT_S) as caller:
                if rest:
                    caller.sendall(call[:20])
                until(lambda: is_accepted(self.admin, caller), "the relay to accept it")
                begun = time.monotonic()
                with StoppedProcess(self.process):
                    caller.sendall(rest or call)
                    sleep_until(begun + 1.1)
                with caller.makefile("rb") as stream:
                    self.assertIn(f" {status} ", read_http(stream)[0])


class LateConnection:
    """A server whose full listen queue delays new connections until ``open`` is called."""

    def __init__(self) -> None:
        self.socket = socket.create_server(("127.0.0.1", 0), backlog=0)
        self.at = f"127.0.0.1:{self.socket.getsockname()[1]}"
        self.calls: list = []
        self.accepted = 0
        self._fill: list[socket.socket] = []
        for _ in range(8):
            one = socket.socket()
            one.setblocking(False)
            one.connect_ex(self.socket.getsockname())
            self._fill.append(one)

    def open(self) -> None:
        for one in self._fill:
            one.close()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                link, _ = self.socket.accept()
                threading.Thread(target=self._serve, args=(link,), daemon=True).start()

    def _serve(self, link) -> None:
        self.accepted += 1
        with contextlib.suppress(OSError), link.makefile("rb") as stream:
            while call := read_http(stream):
                self.calls.append(call)
                link.sendall(reply(200))

    def close(self) -> None:
        self.socket.close()
        for one in self._fill:
            one.close()


class Drains(NodeCase):
    def setUp(self) -> None:
        super().setUp()
        self.late = LateConnection()
        self.addCleanup(self.late.close)
        self.allowed["dial_timeout_ms"] = 8000.0

    def test_nothing_is_written_to_an_endpoint_that_drains_meanwhile(self):
        """The connection is opened before the list reports the drain, and is established afterwards."""
        for lifecycle in ("draining", "gone"):
            with self.subTest(lifecycle=lifecycle):
                self.kill()
                self.discovery.rows = [row("s-late", self.late.at, 1)]
                # Without this reset the second relay would get the first one's change.
                self.discovery.version, self.discovery.changed = 1, []
                self.start()
                seen = self.log.read_text().count("outcome=applied")
                until(lambda: len(self.discovery.calls) >= 1, "the watch")
                self.assertEqual(self.client().hand_in(f"m-{lifecycle}", left=6.0)[0], 202)
                until(lambda: self.counters()["connections"].get("peer_opened"), "the connection is ordered")
                self.discovery.change(row("s-late", self.late.at, 1, lifecycle))
                until(lambda seen=seen: self.log.read_text().count("outcome=applied") > seen, "the list")
                self.late.open()
                self.assertIn(self.notice(f"m-{lifecycle}")["status"], ("deferred", "undeliverable"))
                self.assertEqual(self.late.calls, [])
                self.assertGreaterEqual(self.counters()["tries"].get("left_the_list", 0), 1)
                self.late.close()
                self.late = LateConnection()
                self.addCleanup(self.late.close)


class UnresponsiveDiscovery(Discovery):
    """A discovery service with faults in its responses to calls for lists.

    ``unresponsive``: it does not respond. ``delay``: seconds before each response. ``truncated``: the number of
    responses that are cut off. ``chunks``: the number of writes, 0.2 s apart, by which a response is sent.
    """

    unresponsive, delay, truncated, chunks = False, 0.0, 0, 0

    def _act(self, call):
        if self.truncated and call[0].startswith("GET"):
            self.truncated -= 1
            return super()._act(call)[:-20]
        if self.unresponsive and call[0].startswith("GET"):
            return b""
        time.sleep(self.delay)
        answer = super()._act(call)
        if not self.chunks or not call[0].startswith("GET"):
            return b"" if self.unresponsive and call[0].startswith("GET") else answer
        size = -(-len(answer) // self.chunks)
        for at in range(0, len(answer) - size, size):
            for link in list(self.open):  # the relay has a single connection for lists
                link.sendall(answer[at : at + size])
            time.sleep(0.2)
        return answer[len(answer) - len(answer) % size :] if len(answer) % size else answer[-size:]


class Lists(NodeCase):
    mode, grace, list_calls_in_1500_ms = "ask", 2000.0, 1

    def setUp(self) -> None:
        super().setUp()
        self.discovery.close()
        self.discovery = UnresponsiveDiscovery()
        self.addCleanup(self.discovery.close)
        self.discovery.rows = [row("s-1", self.peer.at, 1)]

    def configure(self, **more):
        table = settings(**self.allowed)
        table["membership_mode"] = self.mode
        table["obligations"]["drain_grace_ms"] = self.grace
        table["balancers"] = 50  # so that the scheduler's next fetch is seconds away
        return super().configure(settings=table, **more)

    def list_call_times(self) -> list[float]:
        return [at for at, call in list(self.discovery.calls) if call[0].startswith("GET")]

    def test_unanswered_watch_is_reopened_before_what_it_missed_counts(self):
        """Changes count as reported 2 s after the watch's wait of 10 s; with a grace period of 250 ms, the list must
        arrive by 12.25 s. The new call takes 0.6 s.
        """
        self.grace = 250.0
        self.discovery.unresponsive = True
        self.start()
        until(self.list_call_times, "the watch")
        self.discovery.change(row("s-1", self.peer.at, 1, "draining"))
        begun = self.list_call_times()[0]
        sleep_until(begun + 10.5)
        self.discovery.unresponsive, self.discovery.delay = False, 0.6
        until(lambda: "outcome=applied" in self.log.read_text(), "the list")
        self.assertLess(time.monotonic() - begun, 12.25)
        self.assertEqual(self.client().hand_in("m1", left=1.5)[0], 202)
        self.notice("m1")
        self.assertEqual(self.calls("m1"), [])
        self.assertEqual(self.counters()["group"].get("silent"), 1)

    def test_watch_with_a_truncated_response_is_reopened_at_once(self):
        self.discovery.truncated = 1
        self.start()
        until(self.list_call_times, "the watch")
        self.discovery.change(row("s-1", self.peer.at, 1, "draining"))
        until(lambda: "outcome=applied" in self.log.read_text(), "the list")
        calls = self.list_call_times()
        self.assertLess(calls[1] - calls[0], 1.0)

    def test_list_that_arrives_in_chunks_is_applied(self):
        self.discovery.chunks = 5
        self.start()
        until(self.list_call_times, "the watch")
        self.discovery.change(row("s-1", self.peer.at, 1, "draining"))
        begun = time.monotonic()
        until(lambda: "outcome=applied" in self.log.read_text(), "the list")
        self.assertLess(time.monotonic() - begun, 2.0)
        self.assertIsNone(self.counters()["group"].get("failed"))

    def test_truncated_responses_are_retried_with_backoff(self):
        self.discovery.truncated = 10_000
        self.start()
        until(self.list_call_times, "the watch")
        self.discovery.change(row("s-1", self.peer.at, 1, "draining"))
        until(lambda: len(self.list_call_times()) >= 2, "the second call")
        begun = time.monotonic()
        sleep_until(begun + 1.5)
        self.assertLessEqual(len(self.list_call_times()), 2 + self.list_calls_in_1500_ms)

    def test_discovery_moves_and_is_unresponsive_at_its_new_address(self):
        """The complete list is applied once the service responds, and the watch continues from its version."""
        self.start()
        until(self.list_call_times, "the watch")
        new_discovery = UnresponsiveDiscovery()
        self.addCleanup(new_discovery.close)
        new_discovery.rows, new_discovery.version, new_discovery.unresponsive = (
            [row("s-1", self.peer.at, 1, "draining")],
            7,
            True,
        )
        self.configure(discovery=new_discovery.at)
        self.process.send_signal(signal.SIGHUP)
        until(lambda: new_discovery.calls, "a call there")
        until(lambda: self.counters()["group"].get("failed"), "a failed call")
        new_discovery.unresponsive = False
        until(lambda: "outcome=applied" in self.log.read_text(), "the list")
        calls = until(
            lambda: [call for _, call in list(new_discovery.calls) if "after=7" in call[0]], "the watch there"
        )
        self.assertNotIn("after=", new_discovery.calls[0][1][0])
        new_discovery.change(row("s-1", self.peer.at, 1))
        until(lambda: self.log.read_text().count("outcome=applied") >= 2, "the change")
        self.assertGreaterEqual(len(calls), 1)


class PushedLists(Lists):
    mode, list_calls_in_1500_ms = "push", 6

    def test_unanswered_watch_is_reopened_before_what_it_missed_counts(self):
        """Changes that an unresponsive agent receives count as reported as soon as it responds again.

        So the agent has to be polled often while it is unresponsive.
        """
        self.start()
        until(lambda: len(self.list_call_times()) >= 2, "the watch")
        self.discovery.unresponsive = True
        until(lambda: self.counters()["group"].get("silent", 0) >= 2, "two timeouts of the watch")
        self.discovery.change(row("s-1", self.peer.at, 1, "draining"))
        before = self.log.read_text().count("outcome=applied")
        self.discovery.unresponsive, begun = False, time.monotonic()
        until(lambda: self.log.read_text().count("outcome=applied") > before, "the list")
        self.assertLess(time.monotonic() - begun, 0.7)
        asked = self.list_call_times()
        self.assertLess(asked[-1] - asked[-3], 2.0)


class FinalOutcomes(NodeCase):
    def test_response_in_the_instant_of_its_timeout_counts(self):
        """The relay is stopped while its end time for the message passes, 1.1 s after the submission."""
        asked, answered = threading.Event(), threading.Event()

        def act(_call):
            asked.set()
            answered.wait(WAIT_TIMEOUT_S)
            return reply(200)

        self.act = act
        self.start()
        self.wait_past_first_reads()
        begun = time.monotonic()
        self.assertEqual(self.client().hand_in("m1", "once", left=1.5)[0], 202)
        self.assertTrue(asked.wait(WAIT_TIMEOUT_S))
        sleep_until(begun + 0.8)
        with StoppedProcess(self.process):
            answered.set()
            sleep_until(begun + 1.35)
        until(lambda: self.counters().get("ends"), "the final outcome")
        self.assertEqual(self.counters()["ends"], {"delivered": 1})
        self.assertEqual(self.discovery.notices, {})

    def test_nothing_is_written_that_the_exit_would_interrupt(self):
        """The connection is established after STOP_SENDING and before the exit: at 7 s, by the kernel's SYN retries."""
        late = LateConnection()
        self.addCleanup(late.close)
        self.allowed["dial_timeout_ms"] = 10_000.0
        self.discovery.rows = [row("s-late", late.at, 1)]
        self.start()
        begun = time.monotonic()
        self.assertEqual(self.client().hand_in("m1", "once")[0], 202)
        until(lambda: self.counters()["connections"].get("peer_opened"), "the connection is ordered")
        sleep_until(begun + 3.8)
        self.process.send_signal(signal.SIGTERM)
        sleep_until(begun + 6.5)
        late.open()
        self.assertEqual(self.process.wait(WAIT_TIMEOUT_S), 0)
        self.assertRegex(
            self.log.read_text(), "group=tries.* moot=1", "the connection was not established before the exit"
        )
        self.assertEqual(late.calls, [])
        self.start()
        until(lambda: late.calls, "its call")
        self.delivered(1)


class Startup(NodeCase):
    def configure(self, **more):
        table = settings(**self.allowed)
        for grade in table["grades"]:
            grade["deadline_ms"] = 100_000.0
        return super().configure(settings=table, **more)

    def test_kill_at_any_instant_of_the_start_keeps_pending_messages(self):
        """SIGTERM, then SIGKILL, at fifteen instants of a start, from before the signal handlers are installed until
        the relay serves. The next start recovers all messages. No call is in flight at a kill, as a message that may
        have been executed would not be sent again.
        """
        self.act = lambda _call: reply(503, b"", "Retry-After: 3.000")
        self.start()
        names = [f"m{number}" for number in range(6)]
        for name in names:
            self.assertEqual(self.client().hand_in(name, "once", left=100.0)[0], 202)
        until(
            lambda: 0 < len(self.calls()) <= sum(self.counters().get("tries", {}).values()),
            "the outcome of each attempt",
        )
        self.kill()
        endpoints = self.discovery.rows
        self.discovery.rows = [row("s-none", f"127.0.0.1:{self.free_port()}", 1)]  # refuses connections
        for place in range(15):
            self.process = self.spawn(self.configure())
            time.sleep(0.04 * place)
            self.process.send_signal(signal.SIGTERM)
            time.sleep(0.1)
            self.kill()
            self.assertIn(self.process.returncode, (0, -signal.SIGTERM, -signal.SIGKILL))
        self.discovery.rows = endpoints
        self.act = lambda _call: reply(200)
        self.start()
        self.assertEqual(self.counters()["taken"]["replayed"], 6)
        self.delivered(6)
        self.assertEqual(self.discovery.notices, {})


class PendingMessages(NodeCase):
    def test_notice_lost_on_a_dead_connection_is_resent_in_time(self):
        """The first notice is lost; the second must arrive by 0.3 s after the message's deadline."""
        notices, answer = [], self.discovery.act

        def act(call):
            if "finals" in call[0]:
                notices.append(time.monotonic())
                if len(notices) == 1:
                    return b""
            return answer(call)

        self.discovery.act = act
        self.act = lambda _call: b""
        self.start()
        self.wait_past_first_reads()
        begun = time.monotonic()
        self.assertEqual(self.client().hand_in("m1", "once", left=1.0)[0], 202)
        self.notice("m1")
        self.assertLess(time.monotonic() - begun, 1.3)
        self.assertEqual(len(notices), 2)

    def test_message_without_an_attempt_is_attempted_after_a_restart(self):
        """The endpoint's limit is lower after the restart: more messages wait than it admits in ten seconds."""
        self.act = lambda _call: reply(503, b"", "Retry-After: 3.000")
        self.start()
        self.assertEqual(self.client().hand_in("m0")[0], 202)
        until(lambda: self.calls("m0"), "the wait")
        names = [f"m{number}" for number in range(1, 13)]
        for name in names:
            self.assertEqual(self.client().hand_in(name)[0], 202)
        self.kill()
        self.assertEqual([name for name in names if self.calls(name) or name in self.discovery.notices], [])
        self.act = lambda _call: reply(200)
        self.discovery.rows = [row("s-1", self.peer.at, 1) | {"weight": 1.0}]
        self.start()
        until(lambda: self.counters().get("ends", {}).get("delivered", 0) >= 2, "two of them")
        self.assertEqual(self.counters()["taken"]["replayed"], 13)
        self.assertEqual([name for name in names if name in self.discovery.notices], [])


class BundledAttempts(NodeCase):
    """A peer that accepts four messages per call; messages of one class have more value and a shorter deadline."""

    def configure(self, **more):
        table = settings(**self.allowed)
        table["family_info"] |= {"per_call": [4]}
        table["grades"][1] |= {"deadline_ms": 4000.0, "goal_time_ms": 2000.0, "value": 3.0}
        return super().configure(settings=table, **more)

    def test_bundle_has_the_timeout_of_its_longest_message(self):
        self.act = lambda _call: reply(503, b"", "Retry-After: 0.600")
        self.start()
        self.assertEqual(self.client().hand_in("m9", left=8.0)[0], 202)
        until(lambda: self.calls("m9"), "the wait")
        self.act = lambda call: b""
        self.assertEqual(self.client().hand_in("m0", "keyed", 4.0, idempotency_key="k0")[0], 202)
        self.assertEqual(self.client().hand_in("m1", "safe", 16.0)[0], 202)

        def bundles():
            return [call for call in self.calls() if "/events/bundle" in call[0]]

        _first, headers, body = until(bundles, "the call")[0]
        self.assertEqual(re.findall(r"(m\d) \S+ \d+\r\n", body.decode()), ["m1", "m9", "m0"])
        self.assertGreater(float(headers["req-deadline"]), 8.0)


def test_after_failures_the_list_is_fetched_before_an_old_one_counts():
    """Guards against a backoff of many relays that exceeds four times the span after which changes count as known."""
    for seed in range(8):
        d = Driver(seed=seed, asks_for_members=True, senders=200, ask_within_ms=5000.0)
        for _ in range(8):
            before = len([1 for _, action in d.log if isinstance(action, Subscribe)])
            begun = d.now
            d.run_step(MembershipUpdate(MembershipKind.FAILED, 1, []))
            while len([1 for _, action in d.log if isinstance(action, Subscribe)]) == before:
                d.advance(200.0)
                assert d.now - begun <= 4 * 5000.0, f"seed {seed}: no call {d.now - begun} ms after a failure"


def test_only_recovered_messages_without_an_attempt_are_spared_at_the_limit():
    for cls in (SAFE, KEYED, UNSAFE):
        d = Driver(members=[member(11, weight=1.0)], weights="nominal")
        d.run_step(
            *(Message(100 + k, 1, cls, 0, d.now + 16_000.0, inherited=True) for k in range(12)),
            *(Message(200 + k, 1, cls, 0, d.now + 16_000.0) for k in range(12)),
        )
        assert not [number for number in d.final_answers if number < 200]
        assert len(d.final_answers) >= 12 - 5  # the endpoint's limit admits five in ten seconds


def test_more_recovered_messages_than_the_limit_are_still_attempted():
    """With a lower limit after the restart, recovered messages without an attempt stay; newer ones are rejected."""
    d = Driver(members=[member(11, dest=1), member(12, dest=2)], most_held=20)
    d.run_step(*(Message(100 + k, 1 + k % 2, SAFE, 0, d.now + 8000.0, inherited=True) for k in range(40)))
    d.run_step(*(Message(200 + k, 1, SAFE, 0, d.now + 8000.0) for k in range(4)))
    assert not [number for number in d.final_answers if number < 200]
    called = set()
    while out := sorted(number for number, _attempt in d.attempts_in_flight):
        called.update(out)
        d.advance(50.0)
        for number in out:
            if d.is_in_flight(number):
                d.finish(number)
    assert called >= set(range(100, 140))


def test_first_call_that_never_arrived_is_retried():
    """A failed connection does not count as an attempt, a response does; then the message has no priority any more."""
    for result, pending in ((Result.CONNECT_FAILED, True), (Result.MOOT, True), (Result.ERROR, False)):
        d = Driver(members=[member(11, weight=1.0)], weights="nominal")
        d.run_step(Message(100, 1, SAFE, 0, d.now + 8000.0, inherited=True))
        d.finish(100, result)
        assert d.scheduler.admission.pending[100].first_attempt_pending is pending


def test_recovered_messages_wait_for_a_list_and_for_retry_after():
    """There is no endpoint at first, then one that sends Retry-After; all messages are delivered after that pause."""
    d = Driver(members=[])
    d.run_step(
        *(Message(100 + k, 1, cls, 0, d.now + 8000.0, inherited=True) for k, cls in enumerate((SAFE, KEYED, UNSAFE)))
    )
    d.advance(3000.0)
    assert not d.final_answers
    d.run_step(MembershipUpdate(MembershipKind.FULL, 2, [member(11)]))
    first = next(iter(d.attempts_in_flight))[0]
    d.finish(first, Result.FULL, wait=1500.0)
    d.advance(1000.0)
    assert not d.attempts_in_flight
    assert not d.final_answers
    called = set()
    for _ in range(60):
        d.advance(50.0)
        for number in {number for number, _attempt in d.attempts_in_flight}:
            called.add(number)
            d.finish(number)
    assert called == {100, 101, 102}
    assert all(ends == ["delivered"] for ends in d.final_answers.values())
