"""Eviction at the limits of connections and buffered bytes, and its effect on well-behaved clients and slow peers."""

import resource
import socket
import threading
import time
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from lab.standins import Client, message, reply, until
from lynxscale.relay.connection_budget import IDLE_GRACE_US, SILENT_GRACE_US, ConnectionBudget
from tests.relay.node import NodeCase


def test_eviction_order():
    budget = ConnectionBudget(100)
    for slot, at in ((1, 0), (2, 10), (3, 900_000), (4, 990_000)):
        budget.opened(slot, at)
    budget.opened(5, 100)
    budget.idle(5, 200_000)
    budget.opened(6, 100)
    budget.idle(6, 990_000)
    budget.opened(7, 995_000)
    budget.busy(6)
    budget.idle(6, 999_000)
    now = 1_000_000
    assert list(budget.without_request(now, SILENT_GRACE_US)) == [1, 2, 3] and list(budget.long_idle(now)) == [5]
    evicted = list(dict.fromkeys(budget.eviction_candidates(now)))
    assert evicted == [1, 2, 3, 5, 4, 6]  # 7, the youngest, is not evicted
    budget.closing(1)
    assert next(budget.eviction_candidates(now)) == 2
    budget.buffer(3, 60)
    budget.buffer(4, 30)
    assert list(budget.over_buffered()) == []
    budget.buffer(3, 80)
    assert next(budget.over_buffered()) == 3
    budget.closing(3)
    assert (budget.buffered, list(budget.over_buffered())) == (30, [])


@given(
    st.lists(
        st.tuples(st.sampled_from(["opened", "idle", "busy", "closing", "buffer"]), st.integers(0, 5)), max_size=60
    )
)
def test_buffered_bytes_add_up_and_busy_connections_are_never_evicted(steps):
    budget, buffered, not_evictable, now = ConnectionBudget(50), {}, set(), 0
    for event, slot in steps:
        now += 40_000
        if event == "buffer":
            buffered[slot] = (now // 40_000) % 30
            budget.buffer(slot, buffered[slot])
        elif event in ("opened", "idle"):
            getattr(budget, event)(slot, now)
            not_evictable.discard(slot)
        else:
            getattr(budget, event)(slot)
            if event == "closing":
                buffered.pop(slot, None)
                not_evictable.add(slot)
    assert budget.buffered == sum(buffered.values())
    assert not not_evictable & set(budget.eviction_candidates(now + IDLE_GRACE_US))
    assert (budget.buffered > 50) == bool(list(budget.over_buffered())[:1])


class LimitedResources(NodeCase):
    def test_hundreds_of_incomplete_requests_do_not_fill_the_memory(self):
        self.limits |= {"sockets": 1024, "memory_mb": 40}
        self.start()
        self.assertEqual(self.client().hand_in("first")[0], 202)
        before = self.resident()
        incomplete = message("m", body=bytes(60_000))[:-1]
        clients = [Client(self.port) for _ in range(400)]
        for client in clients:
            client.socket.sendall(incomplete)
        until(lambda: "kind=client reason=heavy" in self.log.read_text(), "the first eviction")
        self.assertLess(self.resident() - before, 12_000)
        self.assertEqual(self.client().hand_in("usual")[0], 202)
        for client in clients:
            client.close()

    def resident(self) -> int:
        """The relay's resident memory in KB."""
        lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
        return int(next(line for line in lines if line.startswith("VmRSS")).split()[1])

    def test_crowd_over_the_limit_leaves_a_usual_client_served(self):
        """Idle and half-written connections are opened continuously; a well-behaved client is still served quickly."""
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 4096), hard))
        self.addCleanup(resource.setrlimit, resource.RLIMIT_NOFILE, (soft, hard))
        self.limits["sockets"] = 96
        self.start()
        stop = threading.Event()
        opened: list[socket.socket] = []

        def crowd() -> None:
            while not stop.is_set() and len(opened) < 1500:
                one = socket.create_connection(("127.0.0.1", self.port))
                if len(opened) % 2:
                    one.sendall(message("half")[:50])
                opened.append(one)
                time.sleep(0.001)

        thread = threading.Thread(target=crowd)
        thread.start()
        try:
            for number in range(30):
                begun, client = time.monotonic(), Client(self.port)
                self.assertIn(client.hand_in(f"m{number}")[0], (202, 429))
                self.assertLess(time.monotonic() - begun, 0.4)
                client.close()
                time.sleep(0.02)
        finally:
            stop.set()
            thread.join()
            for one in opened:
                one.close()
        self.assertGreater(len(opened), 200)

    def test_peer_that_writes_byte_by_byte(self):
        def act(_call):
            answer, link = reply(200, b"done"), next(iter(self.peer.open))
            for at in range(len(answer) - 1):
                link.sendall(answer[at : at + 1])
                time.sleep(0.0005)
            return answer[-1:]

        self.act = act
        self.start()
        for number in range(3):
            self.assertEqual(self.client().hand_in(f"m{number}", cls="once")[0], 202)
            self.delivered(number + 1)
        self.assertEqual(self.counters()["tries"], {"ok": 3})
        self.assertEqual(self.peer.opened, 1)
