"""A small crowd at a relay of a tier that serves, with lowered limits: requests of which the answers are not read."""

import asyncio
import shutil
import tempfile
from collections.abc import Callable, Coroutine
from pathlib import Path
from random import Random
from typing import Any

import pytest

from lab.tier.local import LocalTier, free_network
from lab.tier.memory_watch import peak_memory_mb
from lynxscale.runtime.sockets import split_address
from tests.crowd import crowd, pieces
from tests.tier.test_retained_memory import allow_large_bodies

pytestmark = pytest.mark.alone

MEMORY_MB = 64
CLIENTS = 150
SENT_BYTES = 1024 * 1024
LARGEST_BODY = 4 * 1024 * 1024  # as allow_large_bodies has it
SMALL_CHUNKS = 50_000
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


def play(check: Callable[[LocalTier], Coroutine[Any, Any, None]]) -> None:
    """Run a check against a tier with one relay."""
    folder = Path(tempfile.mkdtemp(prefix="tier-"))
    try:
        asyncio.run(check(LocalTier(folder, free_network(Random()), relays=1, steady_disk=True, memory_mb=MEMORY_MB)))
    finally:
        shutil.rmtree(folder)


@pytest.mark.parametrize("path", ["/book/1", "/look/1"], ids=["unsafe", "safe"])
def test_requests_sent_ahead_to_a_relay_that_serves_leave_memory_and_answers_to_others(path):
    play(lambda tier: check_bears_requests_sent_ahead(tier, path))


async def check_serves_a_large_request(tier: LocalTier) -> None:
    """Check that a body of the largest size, and a body in chunks of a byte, are served in calm."""
    try:
        await tier.start()
        await allow_large_bodies(tier)
        frontend = tier.frontend(tier.relay_names[0])
        assert (await tier.call(frontend, "POST", "/book/1", b"x" * LARGEST_BODY, REQUEST_ID)).status == 200
        host, port = split_address(frontend)
        reader, writer = await asyncio.open_connection(host, port)
        head = b"POST /book/2 HTTP/1.1\r\nhost: tier.example\r\nlynxscale-request-id: chunks\r\n"
        writer.write(head + b"transfer-encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * SMALL_CHUNKS + b"0\r\n\r\n")
        assert (await asyncio.wait_for(reader.readline(), ANSWER_TIMEOUT_S)).startswith(b"HTTP/1.1 200")
        writer.close()
    finally:
        tier.stop()


def test_a_single_large_request_and_one_in_chunks_of_a_byte_are_served_in_calm():
    play(check_serves_a_large_request)
