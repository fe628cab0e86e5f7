"""Connection attempts that are under way, or begin, while a process ends."""

import asyncio
import gc
import socket
import sys
from contextlib import aclosing

import pytest

from lynxscale.coordination.messages import Suspicion
from lynxscale.runtime.clock import LoopClock
from lynxscale.runtime.http_client import AsyncioDialer, ClientConnection
from lynxscale.runtime.peer_network import PeerNetwork


def dialing(loop, address):
    """A dialer, and a function that begins an attempt by it."""
    dialer = AsyncioDialer(loop, 1.0)
    return dialer, lambda: dialer(address, ClientConnection(address, LoopClock(loop), lambda idle: None))


def sending(loop, address):
    """A network, and a function that begins an attempt by it, for a peer that it has no connection with."""
    network = PeerNetwork(loop, "127.0.0.1:0")

    def begin():
        network._connections.clear()
        network.send(address, Suspicion("127.0.0.1:1", "127.0.0.1:2"))

    return network, begin


@pytest.fixture
def address():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        yield f"127.0.0.1:{listener.getsockname()[1]}"


@pytest.mark.parametrize("connecting", [dialing, sending])
def test_attempts_that_begin_while_the_process_ends_leave_no_traceback(connecting, address, caplog, monkeypatch):
    """Regression: "Event loop is closed" in the log of a relay that ended while a timer began a connection."""
    unraisable = []
    monkeypatch.setattr(sys, "unraisablehook", lambda error: unraisable.append(error.exc_value))

    async def serve():
        loop = asyncio.get_running_loop()
        closable, begin = connecting(loop, address)

        def begin_again():
            begin()
            loop.call_soon(begin_again)

        async with aclosing(closable):
            begin_again()
            await asyncio.sleep(0.02)

    asyncio.run(serve())
    gc.collect()
    assert unraisable == []
    assert "Task was destroyed" not in caplog.text


@pytest.mark.parametrize("connecting", [dialing, sending])
def test_attempts_that_are_under_way_end_and_no_others_begin(connecting, address):
    async def serve():
        loop = asyncio.get_running_loop()
        closable, begin = connecting(loop, address)
        begin()
        assert len(asyncio.all_tasks()) == 2
        await closable.aclose()
        begin()
        assert len(asyncio.all_tasks()) == 1

    asyncio.run(serve())
