"""Why a connection was closed, as the log's ``event=connection reason=`` names it."""

from __future__ import annotations

from enum import StrEnum


class CloseReason(StrEnum):
    """The values are what the operators' pages and stored logs have."""

    REMOTE_CLOSED = "far_closed"
    RESET = "reset"
    IDLE = "idle"
    EVICTED = "crowded"  # closed so that the descriptor limit leaves room for another connection
    CANCELLED = "cancelled"
    TIMED_OUT = "timed_out"
    MALFORMED = "malformed"
    STOPPING = "stopping"
    ADDRESS_CHANGED = "moved"
    ENDPOINT_REMOVED = "gone"  # its endpoint has left the endpoint list
    SERVED = "served"  # closed after a response that ends the connection
    SLOW = "slow"  # a request began and did not complete in time
    SILENT = "silent"  # no request began in time
    BUFFER_LIMIT = "heavy"  # unfinished requests of all clients took too many bytes
