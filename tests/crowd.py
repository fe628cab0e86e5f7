"""A crowd of clients that send without reading, in the test's own process: non-blocking sockets and one selector."""

from __future__ import annotations

import contextlib
import selectors
import socket
import time
from collections.abc import Iterator
from itertools import repeat

CONNECT_TIMEOUT_S = 5.0
SEND_BYTES = 65536  # a call of send


class CrowdClient:
    """One connection and what it still has to send, taken from an iterator of pieces."""

    def __init__(self, address: tuple[str, int], pieces: Iterator[bytes]) -> None:
        self.socket = socket.create_connection(address, CONNECT_TIMEOUT_S)
        self.socket.setblocking(False)
        self._pieces = pieces
        self._unsent = b""

    def send(self) -> bool:
        """Send as much as the connection takes; return False once all is sent, or the connection has ended."""
        while self._unsent or self._next_piece():
            try:
                sent = self.socket.send(self._unsent)
            except BlockingIOError:
                return True
            except OSError:
                return False
            self._unsent = self._unsent[sent:]
        return False

    def _next_piece(self) -> bool:
        self._unsent = next(self._pieces, b"")
        return bool(self._unsent)


@contextlib.contextmanager
def crowd(address: tuple[str, int], clients: int, message: list[bytes], send_s: float, stay_s: float) -> Iterator[None]:
    """Let all clients send the pieces of a message for ``send_s`` seconds at most, and stay ``stay_s`` longer.

    Nothing is read. The connections end with the context.
    """
    with contextlib.ExitStack() as stack, selectors.DefaultSelector() as selector:
        for _ in range(clients):
            with contextlib.suppress(OSError):
                client = CrowdClient(address, iter(message))
                stack.enter_context(client.socket)
                selector.register(client.socket, selectors.EVENT_WRITE, client)
        deadline = time.monotonic() + send_s
        while selector.get_map() and time.monotonic() < deadline:
            for key, _ in selector.select(timeout=0.1):
                if not key.data.send():
                    selector.unregister(key.fileobj)
        time.sleep(stay_s)
        yield


def pieces(head: bytes, unit: bytes, size: int) -> list[bytes]:
    """A message of a head and ``size`` bytes of repeated units, in pieces that share their memory."""
    piece = unit * max(1, SEND_BYTES // len(unit))
    return [*([head] if head else []), *repeat(piece, max(1, size // len(piece)))]
