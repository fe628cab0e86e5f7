"""Messages between nodes over sockets."""

import asyncio
import contextlib

from lynxscale.coordination.messages import Heartbeat, Message
from lynxscale.runtime.durable_files import DurableFiles
from lynxscale.runtime.listener import listening_socket
from lynxscale.runtime.memory_budget import MemoryBudget
from lynxscale.runtime.peer_network import MAX_UNSENT_BYTES, OutboundConnection, PeerNetwork


def test_unsent_messages_are_written_before_a_write_blocks_on_the_disk(tmp_path):
    """Guards against a delayed batch: it reached the replicas only after the primary's own disk syncs."""

    async def send_during_write() -> list[Message]:
        loop = asyncio.get_running_loop()
        sender, receiver = PeerNetwork(loop, "127.0.0.1:0"), PeerNetwork(loop, "127.0.0.1:0")
        received: list[Message] = []
        listener = receiver.listen(listening_socket("127.0.0.1:0"), received.append)
        address = f"127.0.0.1:{listener.port}"
        sender.send(address, Heartbeat("first"))
        while not received:
            await asyncio.sleep(0)
        written: list[int] = []
        connection = sender._connections[address]

        def before_sync() -> None:
            sender.flush()
            written.append(len(connection._unsent))

        files = DurableFiles(str(tmp_path), before_sync)
        sender.send(address, Heartbeat("second"))
        assert len(connection._unsent) == 1
        files.write("a", b"1")
        assert written == [0]
        listener.close()
        return received

    asyncio.run(send_during_write())
    assert DurableFiles(str(tmp_path)).read("a") == b"1"


def test_a_connection_with_another_process_has_another_id():
    async def connection_ids() -> list[int]:
        loop = asyncio.get_running_loop()
        sender = PeerNetwork(loop, "127.0.0.1:0")
        ids = []
        port = 0
        for number in (1, 2):
            received: list[Message] = []
            receiver = PeerNetwork(loop, f"127.0.0.1:{port}")
            listener = receiver.listen(listening_socket(f"127.0.0.1:{port}"), received.append)
            port = listener.port
            address = f"127.0.0.1:{port}"
            ids.append(sender.connection_id(address))
            while not received:
                sender.send(address, Heartbeat(str(number)))
                await asyncio.sleep(0.01)
            ids.append(sender.connection_id(address))
            listener.close()
            sender._connections[address]._transport.abort()
            await asyncio.sleep(0.01)
        return ids

    assert asyncio.run(connection_ids()) == [0, 1, 0, 2]


def test_a_message_that_does_not_fit_into_memory_ends_its_connection_and_gives_its_memory_back(caplog):
    async def send_partial_messages() -> int:
        loop = asyncio.get_running_loop()
        budget = MemoryBudget(200_000)
        receiver = PeerNetwork(loop, "127.0.0.1:0", messages=budget)
        listener = receiver.listen(listening_socket("127.0.0.1:0"), lambda message: None)
        kept = await asyncio.open_connection("127.0.0.1", listener.port)
        kept[1].write(b"9000000:" + b"x" * 100_000)
        refused = await asyncio.open_connection("127.0.0.1", listener.port)
        refused[1].write(b"9000000:" + b"x" * 150_000)
        with contextlib.suppress(ConnectionResetError):
            assert await asyncio.wait_for(refused[0].read(), 5.0) == b""
        used_bytes = budget.used_bytes
        kept[1].close()
        listener.close()
        await asyncio.sleep(0.05)
        assert budget.used_bytes == 0
        return used_bytes

    assert asyncio.run(send_partial_messages()) == 100_008
    assert "event=message_refused" in caplog.text


def test_messages_that_wait_for_a_connection_are_bounded():
    class Attempts:
        def start(self, connect) -> None:
            """The connection is never established."""

    async def waiting_bytes() -> int:
        connection = OutboundConnection(asyncio.get_running_loop(), "127.0.0.1:1", Attempts())
        for _ in range(9):
            connection.send(b"x" * (MAX_UNSENT_BYTES // 4))
        return sum(map(len, connection._unsent))

    assert 0 < asyncio.run(waiting_bytes()) <= MAX_UNSENT_BYTES
