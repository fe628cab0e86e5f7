"""The journal in a running relay: kills under load during cleaning, a legacy file, two processes, and damage."""

import asyncio
import os
import random
import signal
import subprocess
import sys
import time
from pathlib import Path

from lab.clients import LoadGenerator
from lab.demo import CONF, ROOT, StandaloneRelay, entries_of
from lab.partner import EndpointBehaviour, Partner
from lab.rules import check_rules
from lab.segment_sizes import allocated_by_segment
from lab.standins import reply, until
from lynxscale.relay.journal.legacy_format import FILE_NAME, read_legacy_journal
from tests.relay.node import NodeCase

KILLS = int(os.environ.get("JOURNAL_KILLS", "30"))
SEED = int(os.environ.get("JOURNAL_SEED", "1"))
BUDGET = 400_000  # bytes; so small that segments are cleaned about every second
LEGACY_JOURNAL = Path(__file__).parents[2] / "data" / "journal" / "before.bin"


def test_kills_under_load_while_segments_are_cleaned_lose_nothing_and_do_nothing_twice(tmp_path):
    """The relay is killed at random moments; partners count each message's effects, clients record the responses."""

    async def scenario():
        print("seed", SEED)
        rng = random.Random(SEED)
        partner = Partner(SEED, behaviour=EndpointBehaviour(latency_ms=15, failing=0.03, refusing=0.05, dropping=0.03))
        conf = CONF.read_text().replace("    disk 64m\n", f"    disk {BUDGET}\n")
        relay = StandaloneRelay(tmp_path, conf)
        for index in range(6):
            await partner.open(f"s-{index:02}")
        relay.put(entries_of(partner), 1)
        desk = LoadGenerator(relay.port, SEED, 3, 12, left=8.0)
        max_bytes, cleaned, number = 0, 0, 0
        await relay.start()
        for _ in range(KILLS):
            load = asyncio.create_task(desk.run(range(number, number + 400), 350.0))
            await asyncio.sleep(rng.uniform(0.15, 0.6))
            allocated = allocated_by_segment(tmp_path / "state" / "segments")
            names = [int(name.removesuffix(".seg")) for name in allocated if name.endswith(".seg")]
            max_bytes = max(max_bytes, sum(allocated.values()))
            cleaned = max(cleaned, min(names))
            await relay.stop(signal.SIGKILL)
            load.cancel()
            await asyncio.gather(load, return_exceptions=True)
            number += 400
            await relay.start()
        await asyncio.sleep(8.5)  # by then every message has expired
        await relay.settled(0)
        end = time.monotonic() + 20
        while time.monotonic() < end:
            found = check_rules(desk.sent, partner.calls, relay.finals())
            if not any("has no end" in one for one in found.breaches):
                break
            await asyncio.sleep(0.2)
        assert found.breaches == []
        assert max_bytes <= BUDGET and cleaned > 5, (max_bytes, cleaned)
        assert await relay.stop() == 0
        accepted_count = sum(row["taken"] for row in found.table.values())
        relay.close()
        partner.close_all()
        return accepted_count, cleaned

    accepted_count, cleaned = asyncio.run(scenario())
    print(f"{KILLS} kills, {accepted_count} messages accepted, {cleaned} segments cleaned: none lost, none twice")


class Upgrade(NodeCase):
    def test_a_relay_that_is_upgraded_with_open_messages_keeps_them(self):
        """The messages of a legacy journal file are recovered, and each ends with a notice."""
        self.act = lambda call: reply(200)
        data, now = LEGACY_JOURNAL.read_bytes(), time.time_ns() // 1000
        (self.state / FILE_NAME).write_bytes(data)
        entries = read_legacy_journal(data)[0]
        assert all(entry.expires > now for entry in entries.values())
        self.start()
        # The settings do not define their classes, so all end as undeliverable, except the one with an outcome.
        self.assertEqual(self.notice("m3"), {"id": "m3", "status": "deferred", "again_ms": 700})
        for id in ("m0", "m1", "m2", "m5"):
            self.assertEqual(self.notice(id)["status"], "undeliverable")
        self.assertFalse((self.state / FILE_NAME).exists())
        until(lambda: self.counters().get("notices", {}).get("delivered") == 5, "all notices")
        self.kill()
        self.start()
        self.assertNotIn("taken", self.counters())

    def test_a_second_process_on_the_folder_refuses_to_start(self):
        self.start()
        env = os.environ | {
            "NODE_CONFIG": str(self.configure()),
            "NODE_STATE": str(self.state),
            "NODE_LISTEN": f"127.0.0.1:{self.port}",
            "NODE_DISCOVERY": self.discovery.at,
        }
        done = subprocess.run(
            [sys.executable, "-m", "lynxscale"], cwd=ROOT, env=env, capture_output=True, text=True, timeout=60
        )
        self.assertEqual(done.returncode, 1)
        self.assertIn("another process has this journal", done.stderr)
        self.assertEqual(self.client().hand_in("m1")[0], 202)

    def test_damage_is_reported_and_hidden_attempts_are_not_repeated(self):
        self.act = lambda call: b""
        self.start()
        self.client().hand_in("m1", "once")
        until(lambda: self.calls("m1"), "the call")
        self.client().hand_in("m2", "safe")
        until(lambda: self.calls("m2"), "the call")
        self.kill()
        path = min((self.state / "segments").glob("*.seg"))
        data = bytearray(path.read_bytes())
        index = data.index(b"hello", data.index(b'"m1"')) + len(b"hello")
        data[index + 12] ^= 1  # corrupts the record of m1's attempt, which follows that of its message
        path.write_bytes(data)
        self.act = lambda call: reply(200)
        calls = len(self.calls("m1"))
        self.start()
        self.assertEqual(self.notice("m1")["status"], "undeliverable")
        self.delivered(1)
        self.assertEqual(len(self.calls("m1")), calls)
        self.assertIn("event=journal_damaged", self.log.read_text())
