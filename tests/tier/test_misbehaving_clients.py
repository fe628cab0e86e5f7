"""A small crowd at a relay of a tier that serves, with lowered limits: requests of which the answers are not read."""

import asyncio
import shutil
import tempfile
from pathlib import Path
from random import Random

import pytest

from lab.tier.local import LocalTier, free_network
from lab.tier.memory_watch import peak_memory_mb
from lynxscale.runtime.sockets import split_address
from tests.crowd import crowd, pieces

pytestmark = pytest.mark.alone

MEMORY_MB = 64
CLIENTS = 150
SENT_BYTES = 1024 * 1024
SEND_S, STAY_S = 4.0, 2.0
ANSWER_TIMEOUT_S = 15.0  # ends a test of a process that hangs
REQUEST_ID = ((b"lynxscale-request-id", b"ordinary"),)


async def check_bears_requests_sent_ahead(tier: LocalTier, path: str) -> None:
    """Check that a relay bears a crowd, and that the tier serves an ordinary request after it."""
    try:
        await tier.start()
        relay = tier.relay_names[0]
        message = pieces(b"", f"GET {path} HTTP/1.1\r\nhost: tier.example\r\n\r\n".encode(), SENT_BYTES)
        address = split_address(tier.frontend(relay))

        def come() -> None:
            with crowd(address, CLIENTS, message, SEND_S, STAY_S):
                pass

        await asyncio.to_thread(come)
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while (await tier.call(tier.frontend(relay), "GET", path, fields=REQUEST_ID)).status != 200:
                await asyncio.sleep(0.1)
        assert all(process.poll() is None for process in tier.processes.values())
        peaks_mb = {name: peak_memory_mb(process.pid) for name, process in tier.processes.items()}
        assert all(peak < MEMORY_MB for peak in peaks_mb.values()), peaks_mb
    finally:
        tier.stop()


@pytest.mark.parametrize("path", ["/book/1", "/look/1"], ids=["unsafe", "safe"])
def test_requests_sent_ahead_to_a_relay_that_serves_leave_memory_and_answers_to_others(path):
    folder = Path(tempfile.mkdtemp(prefix="tier-"))
    try:
        tier = LocalTier(folder, free_network(Random()), relays=1, steady_disk=True, memory_mb=MEMORY_MB)
        asyncio.run(check_bears_requests_sent_ahead(tier, path))
    finally:
        shutil.rmtree(folder)
