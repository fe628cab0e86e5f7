"""Rare moments in which something is still owed: each made to come in its bad order, every time.

The relay is stopped (SIGSTOP) over the instant at which one of its deadlines falls due, so that on going on it meets
the deadline before it can read what has come meanwhile; lists, connections and answers come late by scripted peers.
"""

import contextlib
import re
import signal
import socket
import threading
import time

from lab.standins import PATIENCE, Discovery, message, read_http, reply, row, settings, until
from lynxscale.scheduling.actions import Subscribe
from lynxscale.scheduling.events import MembershipKind, MembershipUpdate, Message, Result
from tests.relay.node import NodeCase
from tests.scheduling.driver import KEYED, SAFE, UNSAFE, Driver, member


class Frozen(contextlib.AbstractContextManager):
    """Stops a process for the time of a block."""

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


def rows_at(port: int, clients: list[socket.socket]) -> list[list[str]]:
    """The rows of these clients at the process that listens at ``port``, by one look at the system's table: with tens
    of thousands of closed connections in it a look for each would outlast what is looked for."""
    with open("/proc/net/tcp") as table:
        found = {
            row[2][-5:]: row
            for line in table
            if f":{port:04X} " in line
            if (row := line.split())[1].endswith(f":{port:04X}")
        }
    return [found.get(f":{client.getsockname()[1]:04X}", []) for client in clients]


def unread_at(port: int, *clients: socket.socket) -> int:
    """The least number of bytes of any of these that the process has not read yet."""
    return min(int(row[4].partition(":")[2], 16) if row else 0 for row in rows_at(port, list(clients)))


def accepted_at(port: int, client: socket.socket) -> bool:
    """Has the process that listens at ``port`` accepted this client? Only then has its socket an inode there."""
    (row,) = rows_at(port, [client])
    return bool(row) and row[9] != "0"


def sleep_until(at: float) -> None:
    """For instants that only the clock brings: the relay's own deadlines."""
    time.sleep(max(0.0, at - time.monotonic()))


class Clients(NodeCase):
    def test_request_in_the_instant_of_a_timeout_is_answered(self):
        """A connection with no request for two seconds is closed; this one's comes as the two seconds end."""
        self.start()
        begun = time.monotonic()
        client = self.client()
        sleep_until(begun + 1.5)
        with Frozen(self.process):
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
        with Frozen(self.process):
            client.socket.sendall(data[40:])
            sleep_until(begun + 2.3)
        self.assertIn(" 202 ", read_http(client.stream)[0])

    def test_timeout_is_delayed_once_only(self):
        """One of whose bytes there is always one unread at that instant goes, all the same.

        In each round the relay meets the deadline with a byte unread, and then reads that.
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
            with Frozen(self.process):
                client.socket.sendall(b"x")
                sleep_until(max(begun + 2.3, time.monotonic() + 0.06))
            end = time.monotonic() + PATIENCE
            while unread_at(self.port, client.socket) and not answered():  # without a rest: it is stopped again at once
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
        until(lambda: self.counters()["connections"]["client_opened"] >= 2, "it is asked")
        self.assertIn("kind=client reason=far_closed calls=1", self.log.read_text())

    def test_client_evicted_for_bytes_gets_its_response(self):
        """The rest of a message, and behind it so much of the next that the connection goes for its bytes."""
        self.limits["memory_mb"] = 2  # 105 kB for requests that are half sent
        self.start()
        first, *others = [self.client() for _ in range(3)]
        data = message("m1", body=bytes(20_000))
        first.socket.sendall(data[:-1])  # the first to be half sent, and so the first to go
        for other in others:
            other.socket.sendall(message("m", body=bytes(30_000))[:-1])
        self.counters()  # asked after them
        with Frozen(self.process):
            first.socket.sendall(data[-1:] + message("m2", body=bytes(60_000))[:-1])  # read at once, then
        answer = read_http(first.stream)
        self.assertIsNotNone(answer)
        self.assertIn(" 202 ", answer[0])
        self.assertEqual(answer[1].get("connection"), "close")

    def test_clients_that_disconnect_in_a_burst_before_admission(self):
        """All is read in the turn in which they have gone already: each message has its end, no connection stays."""
        self.start()
        clients = [self.client() for _ in range(20)]
        with Frozen(self.process):
            for number, client in enumerate(clients):
                client.socket.sendall(message(f"m{number}"))
                client.close()
        self.delivered(20)
        until(lambda: self.log.read_text().count("kind=client reason=far_closed calls=1") >= 20, "they are let go")
        self.assertEqual(self.client().hand_in("next")[0], 202)

    def test_exit_waits_for_an_incomplete_request(self):
        """It holds nothing and listens no more, and one client has sent half of its message."""
        self.start()
        client, data = self.client(), message("m1")
        client.socket.sendall(data[:40])
        until(lambda: self.counters()["connections"]["client_opened"] >= 2, "the connection")
        self.process.send_signal(signal.SIGTERM)
        until(lambda: "state=stop_finishing" in self.log.read_text(), "the end of listening")
        time.sleep(0.3)  # six looks, at the first of which it could leave
        client.socket.sendall(data[40:])
        self.assertIn(" 202 ", read_http(client.stream)[0])
        self.assertEqual(self.process.wait(PATIENCE), 0)
        self.assertEqual(len(self.calls("m1")), 1)

    def test_connections_in_the_listen_queue_are_answered_at_the_stop(self):
        self.start()
        begun = time.monotonic()
        self.process.send_signal(signal.SIGTERM)
        until(lambda: "event=stopping" in self.log.read_text(), "the stop")
        with Frozen(self.process):
            clients = [self.client() for _ in range(12)]
            for number, client in enumerate(clients):
                client.socket.sendall(message(f"m{number}"))
            sleep_until(begun + 1.2)
        for client in clients:
            self.assertIn(" 202 ", read_http(client.stream)[0])
        self.assertEqual(self.process.wait(PATIENCE), 0)

    def test_connections_over_the_limit_are_answered_at_the_stop(self):
        """Every descriptor is held by half a request: the queue cannot be taken in when listening is to end."""
        self.limits["sockets"] = 64  # of these eleven are for clients
        self.start()
        kept = []
        for number in range(11):
            kept.append(self.client())
            kept[-1].socket.sendall(message(f"first{number}") + message(f"m{number}")[:40])
            self.assertIn(" 202 ", read_http(kept[-1].stream)[0])
        waiting = [self.client() for _ in range(5)]
        for number, client in enumerate(waiting, 11):
            client.socket.sendall(message(f"m{number}"))
        self.process.send_signal(signal.SIGTERM)
        until(lambda: "state=stop_closing" in self.log.read_text(), "the no to clients")
        self.assertTrue(unread_at(self.port, *(client.socket for client in waiting)))
        until(lambda: "state=stop_finishing" in self.log.read_text(), "the end of listening")
        for number, client in enumerate(kept):
            client.socket.sendall(message(f"m{number}")[40:])
            self.assertIn(" 202 ", read_http(client.stream)[0])
            client.close()
        for client in waiting:
            self.assertIn(" 202 ", read_http(client.stream)[0])
        self.assertEqual(self.process.wait(PATIENCE), 0)
        self.assertLessEqual({f"m{number}" for number in range(16)}, {call[1]["req-id"] for call in self.calls()})


STEPPED = """import time
true, step = time.time_ns, {seconds} * 10**9
time.time_ns, time.time = lambda: true() + step, lambda: (true() + step) / 1e9
from lynxscale.__main__ import main
main()"""


class SteppedClocks(NodeCase):
    """The wall clock is put off by an hour between two lives of a relay."""

    def again(self, seconds: int) -> None:
        """Another life, whose wall clock is off by so many seconds."""
        self.kill()
        self.program = "-c", STEPPED.format(seconds=seconds)
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
        until(lambda: self.calls("m1"), "its try, which may have run")
        begun = time.monotonic()
        self.kill()
        sleep_until(begun + 1.7)
        self.again(-3600)
        self.notice("m1")
        self.assertEqual(len(self.calls("m1")), 1)

    def test_clock_stepped_forward_ends_nothing_without_an_attempt(self):
        self.act = lambda _call: reply(503, b"", "Retry-After: 3.000")
        self.start()
        self.assertEqual(self.client().hand_in("m0")[0], 202)
        until(lambda: self.calls("m0"), "the wait")
        self.assertEqual(self.client().hand_in("m1")[0], 202)
        self.act = lambda _call: reply(200)
        self.again(3600)
        self.delivered(2)
        self.assertEqual((len(self.calls("m1")), self.discovery.notices), (1, {}))


class Operators(NodeCase):
    def test_admin_call_in_the_instant_of_its_timeout_is_answered(self):
        """The relay is stopped over the second that a call may take; half of a call has its 408 all the same."""
        self.admin = self.free_port()
        self.env["NODE_ADMIN_ADDR"] = f"127.0.0.1:{self.admin}"
        self.start()
        call = b"GET /admin/health HTTP/1.1\r\n\r\n"
        for rest, status in ((b"", "200"), (call[20:-1], "408"), (call[20:], "200")):
            with self.subTest(rest=rest), socket.create_connection(("127.0.0.1", self.admin), PATIENCE) as caller:
                if rest:
                    caller.sendall(call[:20])
                until(lambda: accepted_at(self.admin, caller), "the relay to have it")
                begun = time.monotonic()
                with Frozen(self.process):
                    caller.sendall(rest or call)
                    sleep_until(begun + 1.1)
                with caller.makefile("rb") as stream:
                    self.assertIn(f" {status} ", read_http(stream)[0])


class LateConnection:
    """An address at which connections come up only once ``open`` is called: until then its queue is full."""

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
        """The connection is ordered before the list says so, and comes up after."""
        for life in ("draining", "gone"):
            with self.subTest(life=life):
                self.kill()
                self.discovery.rows = [row("s-late", self.late.at, 1)]
                self.discovery.version, self.discovery.changed = 1, []  # else the second relay hears the first's change
                self.start()
                seen = self.log.read_text().count("outcome=applied")
                until(lambda: len(self.discovery.calls) >= 1, "the watch")
                self.assertEqual(self.client().hand_in(f"m-{life}", left=6.0)[0], 202)
                until(lambda: self.counters()["connections"].get("peer_opened"), "the connection is ordered")
                self.discovery.change(row("s-late", self.late.at, 1, life))
                until(lambda seen=seen: self.log.read_text().count("outcome=applied") > seen, "the list")
                self.late.open()
                self.assertIn(self.notice(f"m-{life}")["status"], ("deferred", "undeliverable"))
                self.assertEqual(self.late.calls, [])
                self.assertGreaterEqual(self.counters()["tries"].get("left_the_list", 0), 1)
                self.late.close()
                self.late = LateConnection()
                self.addCleanup(self.late.close)


class SilentDiscovery(Discovery):
    """Once ``silent``, it hears calls for lists and answers none; then it takes ``delay`` seconds for each.

    Of ``half`` answers only the half comes. With ``pieces`` its answers come in so many, 0.2 s apart.
    """

    silent, delay, half, pieces = False, 0.0, 0, 0

    def _act(self, call):
        if self.half and call[0].startswith("GET"):
            self.half -= 1
            return super()._act(call)[:-20]
        if self.silent and call[0].startswith("GET"):
            return b""
        time.sleep(self.delay)
        answer = super()._act(call)
        if not self.pieces or not call[0].startswith("GET"):
            return b"" if self.silent and call[0].startswith("GET") else answer
        size = -(-len(answer) // self.pieces)
        for at in range(0, len(answer) - size, size):
            for link in list(self.open):  # there is one: the relay's only connection for lists
                link.sendall(answer[at : at + size])
            time.sleep(0.2)
        return answer[len(answer) - len(answer) % size :] if len(answer) % size else answer[-size:]


class Lists(NodeCase):
    mode, grace, asks_in_1500_ms = "ask", 2000.0, 1

    def setUp(self) -> None:
        super().setUp()
        self.discovery.close()
        self.discovery = SilentDiscovery()
        self.addCleanup(self.discovery.close)
        self.discovery.rows = [row("s-1", self.peer.at, 1)]

    def configure(self, **more):
        table = settings(**self.allowed)
        table["membership_mode"] = self.mode
        table["obligations"]["drain_grace_ms"] = self.grace
        table["balancers"] = 50  # so that the module's own next turn to ask is seconds away
        return super().configure(settings=table, **more)

    def asked(self) -> list[float]:
        return [at for at, call in list(self.discovery.calls) if call[0].startswith("GET")]

    def test_unanswered_watch_is_reopened_before_what_it_missed_counts(self):
        """What it misses counts as told 2 s after its wait of 10 s; with a grace of 250 ms there is no more time.

        The new call takes 0.6 s.
        """
        self.grace = 250.0
        self.discovery.silent = True
        self.start()
        until(self.asked, "the watch")
        self.discovery.change(row("s-1", self.peer.at, 1, "draining"))
        begun = self.asked()[0]
        sleep_until(begun + 10.5)
        self.discovery.silent, self.discovery.delay = False, 0.6
        until(lambda: "outcome=applied" in self.log.read_text(), "the list")
        self.assertLess(time.monotonic() - begun, 12.25)
        self.assertEqual(self.client().hand_in("m1", left=1.5)[0], 202)
        self.notice("m1")
        self.assertEqual(self.calls("m1"), [])
        self.assertEqual(self.counters()["group"].get("silent"), 1)

    def test_watch_with_a_truncated_response_is_reopened_at_once(self):
        self.discovery.half = 1
        self.start()
        until(self.asked, "the watch")
        self.discovery.change(row("s-1", self.peer.at, 1, "draining"))
        until(lambda: "outcome=applied" in self.log.read_text(), "the list")
        calls = self.asked()
        self.assertLess(calls[1] - calls[0], 1.0)

    def test_list_that_arrives_in_pieces_is_applied(self):
        self.discovery.pieces = 5
        self.start()
        until(self.asked, "the watch")
        self.discovery.change(row("s-1", self.peer.at, 1, "draining"))
        begun = time.monotonic()
        until(lambda: "outcome=applied" in self.log.read_text(), "the list")
        self.assertLess(time.monotonic() - begun, 2.0)
        self.assertIsNone(self.counters()["group"].get("failed"))

    def test_truncated_responses_are_retried_with_backoff(self):
        self.discovery.half = 10_000
        self.start()
        until(self.asked, "the watch")
        self.discovery.change(row("s-1", self.peer.at, 1, "draining"))
        until(lambda: len(self.asked()) >= 2, "the second call")
        begun = time.monotonic()
        sleep_until(begun + 1.5)
        self.assertLessEqual(len(self.asked()), 2 + self.asks_in_1500_ms)

    def test_discovery_moves_and_is_unresponsive_at_its_new_address(self):
        """What it tells once it speaks is taken, whole, and the watch goes on from there."""
        self.start()
        until(self.asked, "the watch")
        there = SilentDiscovery()
        self.addCleanup(there.close)
        there.rows, there.version, there.silent = [row("s-1", self.peer.at, 1, "draining")], 7, True
        self.configure(discovery=there.at)
        self.process.send_signal(signal.SIGHUP)
        until(lambda: there.calls, "a call there")
        until(lambda: self.counters()["group"].get("failed"), "its silence is noticed")
        there.silent = False
        until(lambda: "outcome=applied" in self.log.read_text(), "the list")
        calls = until(lambda: [call for _, call in list(there.calls) if "after=7" in call[0]], "the watch there")
        self.assertNotIn("after=", there.calls[0][1][0])
        there.change(row("s-1", self.peer.at, 1))
        until(lambda: self.log.read_text().count("outcome=applied") >= 2, "the change")
        self.assertGreaterEqual(len(calls), 1)


class PushedLists(Lists):
    mode, asks_in_1500_ms = "push", 6

    def test_unanswered_watch_is_reopened_before_what_it_missed_counts(self):
        """What a silent agent gets counts from the moment at which it speaks again: it has to be asked by then."""
        self.start()
        until(lambda: len(self.asked()) >= 2, "the watch")
        self.discovery.silent = True
        until(lambda: self.counters()["group"].get("silent", 0) >= 2, "its silence is noticed")
        self.discovery.change(row("s-1", self.peer.at, 1, "draining"))
        before = self.log.read_text().count("outcome=applied")
        self.discovery.silent, begun = False, time.monotonic()
        until(lambda: self.log.read_text().count("outcome=applied") > before, "the list")
        self.assertLess(time.monotonic() - begun, 0.7)
        asked = self.asked()
        self.assertLess(asked[-1] - asked[-3], 2.0)


class Ends(NodeCase):
    def test_response_in_the_instant_of_its_timeout_counts(self):
        """The relay is held up over the end of the message's time by its own reckoning, 1.1 s of the 1.5 s."""
        asked, answered = threading.Event(), threading.Event()

        def act(_call):
            asked.set()
            answered.wait(PATIENCE)
            return reply(200)

        self.act = act
        self.start()
        self.past_first_reads()
        begun = time.monotonic()
        self.assertEqual(self.client().hand_in("m1", "once", left=1.5)[0], 202)
        self.assertTrue(asked.wait(PATIENCE))
        sleep_until(begun + 0.8)
        with Frozen(self.process):
            answered.set()
            sleep_until(begun + 1.35)
        until(lambda: self.counters().get("ends"), "its end")
        self.assertEqual(self.counters()["ends"], {"delivered": 1})
        self.assertEqual(self.discovery.notices, {})

    def test_nothing_is_written_that_the_exit_would_interrupt(self):
        """The connection comes up behind the last try and before the exit: at 7 s, by the system's own repeats."""
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
        self.assertEqual(self.process.wait(PATIENCE), 0)
        self.assertRegex(self.log.read_text(), "group=tries.* moot=1", "the connection did not come up in time to tell")
        self.assertEqual(late.calls, [])
        self.start()
        until(lambda: late.calls, "its call")
        self.delivered(1)


class Starts(NodeCase):
    def configure(self, **more):
        table = settings(**self.allowed)
        for grade in table["grades"]:
            grade["deadline_ms"] = 100_000.0
        return super().configure(settings=table, **more)

    def test_kill_at_any_instant_of_the_start_keeps_pending_messages(self):
        """Told at fifteen instants, before the handlers are there and until it serves, and killed a moment later, as it
        takes over what is open; then a start finds it all. No call is on its way at a kill: what may have run would
        rightly not go again.
        """
        self.act = lambda _call: reply(503, b"", "Retry-After: 3.000")
        self.start()
        names = [f"m{number}" for number in range(6)]
        for name in names:
            self.assertEqual(self.client().hand_in(name, "once", left=100.0)[0], 202)
        until(lambda: 0 < len(self.calls()) <= sum(self.counters().get("tries", {}).values()), "the refusal is known")
        self.kill()
        there = self.discovery.rows
        self.discovery.rows = [row("s-none", f"127.0.0.1:{self.free_port()}", 1)]  # refuses each connection
        for place in range(15):
            self.process = self.spawn(self.configure())
            time.sleep(0.04 * place)
            self.process.send_signal(signal.SIGTERM)
            time.sleep(0.1)
            self.kill()
            self.assertIn(self.process.returncode, (0, -signal.SIGTERM, -signal.SIGKILL))
        self.discovery.rows = there
        self.act = lambda _call: reply(200)
        self.start()
        self.assertEqual(self.counters()["taken"]["replayed"], 6)
        self.delivered(6)
        self.assertEqual(self.discovery.notices, {})


class Owed(NodeCase):
    def test_notice_lost_on_a_dead_connection_is_resent_in_time(self):
        """The end of a message falls due a little before its time is up, and must be heard by 0.3 s after it."""
        heard, answer = [], self.discovery.act

        def act(call):
            if "finals" in call[0]:
                heard.append(time.monotonic())
                if len(heard) == 1:
                    return b""
            return answer(call)

        self.discovery.act = act
        self.act = lambda _call: b""
        self.start()
        self.past_first_reads()
        begun = time.monotonic()
        self.assertEqual(self.client().hand_in("m1", "once", left=1.0)[0], 202)
        self.notice("m1")
        self.assertLess(time.monotonic() - begun, 1.3)
        self.assertEqual(len(heard), 2)

    def test_message_without_an_attempt_is_attempted_after_a_restart(self):
        """The limit has fallen meanwhile: more waits than it lets through in ten seconds."""
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


class Together(NodeCase):
    """A partner of a kind that takes four messages a call; those of one class are worth more and have less time."""

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

        def together():
            return [call for call in self.calls() if "/events/bundle" in call[0]]

        _first, headers, body = until(together, "the call")[0]
        self.assertEqual(re.findall(r"(m\d) \S+ \d+\r\n", body.decode()), ["m1", "m9", "m0"])
        self.assertGreater(float(headers["req-deadline"]), 8.0)


def test_after_failures_the_list_is_fetched_before_an_old_one_counts():
    """With many senders the pause grew beyond four times the span after which each change counts as told."""
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
        assert len(d.final_answers) >= 12 - 5  # as the limit's part lets five through in ten seconds


def test_more_recovered_messages_than_the_limit_are_still_attempted():
    """The bound has fallen over the restart: what waits for its first call stays, what came after it goes."""
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
    """A connection that failed is no call; one that was answered is, and then it is held like any other."""
    for result, owed in ((Result.CONNECT_FAILED, True), (Result.MOOT, True), (Result.ERROR, False)):
        d = Driver(members=[member(11, weight=1.0)], weights="nominal")
        d.run_step(Message(100, 1, SAFE, 0, d.now + 8000.0, inherited=True))
        d.finish(100, result)
        assert d.scheduler.admission.pending[100].first_attempt_pending is owed


def test_recovered_messages_wait_for_a_list_and_for_retry_after():
    """With no endpoint at first, and the only one shut when it comes: its first call goes when that is over."""
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
