"""The limits of an HTTP server on its requests, in force for all of its connections."""

from __future__ import annotations

from collections.abc import Callable

from attrs import Factory, define

from lynxscale.runtime.memory_budget import MemoryBudget

READ_BYTES = 16384
"""The bytes that are received from a connection at once."""


def never() -> bool:
    """Return False."""
    return False


@define
class ServerLimits:
    """Limits on the size and duration of requests; a new configuration changes them in place.

    ``outdated()``: whether newer limits may be in force; a request that exceeds these is then answered 503.
    ``waiting_requests`` and ``waiting_responses`` bound the bytes in all connections together.
    ``receive_buffer``: what one connection after the other receives into.
    """

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 60.0
    closing: bool = False  # if set, each response closes its connection, as in a graceful shutdown
    outdated: Callable[[], bool] = never
    waiting_requests: MemoryBudget = Factory(MemoryBudget)
    waiting_responses: MemoryBudget = Factory(MemoryBudget)
    receive_buffer: memoryview = Factory(lambda: memoryview(bytearray(READ_BYTES)))
