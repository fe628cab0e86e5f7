"""Messages between nodes over sockets."""

import asyncio

from lynxscale.coordination.messages import Heartbeat, Message
from lynxscale.runtime.durable_files import DurableFiles
from lynxscale.runtime.listener import listening_socket
from lynxscale.runtime.peer_network import PeerNetwork


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
