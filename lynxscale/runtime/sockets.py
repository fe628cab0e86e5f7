"""Address parsing and socket options for all TCP connections of the serving tier."""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
import struct

UNACKNOWLEDGED_TIMEOUT_MS = 1500
"""The kernel closes a connection whose sent bytes stay unacknowledged for this long (``TCP_USER_TIMEOUT``)."""

SOCKET_BUFFER_BYTES = 65536
"""What the system keeps for an accepted connection in each direction; it takes up to twice as much for bookkeeping."""

CONNECT_ERRORS = (OSError, ValueError, OverflowError)
"""What an attempt to connect raises: OSError, which includes TimeoutError, or the others if the address is none."""


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port``. Raises ValueError if the port is not a number."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def configure_socket(transport: asyncio.BaseTransport) -> None:
    """Disable Nagle's algorithm, and bound the time for which an unresponsive peer keeps a connection open."""
    connection = transport.get_extra_info("socket")
    if connection is not None:
        with contextlib.suppress(OSError):  # the peer may have closed the connection already
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)


def has_unread_bytes(transport: asyncio.BaseTransport | None) -> bool:
    """Whether bytes or the end of a connection have arrived that were not received yet."""
    connection = None if transport is None else transport.get_extra_info("socket")
    if connection is None or connection.fileno() < 0:
        return False
    waiting = select.poll()
    waiting.register(connection.fileno(), select.POLLIN)
    return bool(waiting.poll(0))


def reset_on_close(transport: asyncio.BaseTransport) -> None:
    """Make the kernel end the connection with a reset, which discards unsent bytes (``SO_LINGER`` with no time)."""
    connection = transport.get_extra_info("socket")
    if connection is not None:
        with contextlib.suppress(OSError):
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def limit_socket_buffers(listening: socket.socket) -> None:
    """Bound what the system keeps for each connection that a socket accepts, which is not in this process's memory."""
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        with contextlib.suppress(OSError):
            listening.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
