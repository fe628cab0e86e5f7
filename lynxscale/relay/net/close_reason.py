"""Reasons for closed connections, as logged in ``event=connection reason=``."""

from __future__ import annotations

from enum import StrEnum


class CloseReason(StrEnum):
    """Why a connection was closed. The values appear in logs and the operators' manual, and must not change."""

    REMOTE_CLOSED = "far_closed"
    RESET = "reset"
    IDLE = "idle"
    EVICTED = "crowded"  # closed to free a descriptor for another connection
    CANCELLED = "cancelled"
    TIMED_OUT = "timed_out"
    MALFORMED = "malformed"
    STOPPING = "stopping"
    ADDRESS_CHANGED = "moved"
    ENDPOINT_REMOVED = "gone"  # the endpoint was removed from the endpoint list
    SERVED = "served"  # closed after its last response
    SLOW = "slow"  # a request was started but not completed in time
    SILENT = "silent"  # no request was started in time
    BUFFER_LIMIT = "heavy"  # the incomplete requests of all clients exceeded their memory limit
