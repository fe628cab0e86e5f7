"""How a process divides the memory and the descriptors that its settings allow, and what it uses of them.

Each purpose has a quota, so that one that is used up leaves the others: clients cannot take the descriptors
of peers, health checks, operators and files, and unfinished requests cannot take the memory of responses under way.
"""

from __future__ import annotations

import math
import os
import resource
from pathlib import Path

import msgspec
from attrs import Factory, define, field, frozen

from lynxscale.runtime.memory_budget import MemoryBudget
from lynxscale.runtime.settings import Limits

MEBIBYTE = 1024 * 1024
RESERVED_FILES = 200
"""Descriptors of ``max-fds`` that the platform keeps for files outside of the data folder; at most half of them."""
BASE_DESCRIPTORS = 24
"""Descriptors that a process needs beside its connections: standard streams, event loop, listeners and data files."""
MIN_CONNECTIONS = 16
MIN_QUOTA = 4  # connections
BASE_MEMORY_BYTES = 32 * MEBIBYTE
"""The memory of a process that has no connections."""
MAX_BASE_MEMORY_SHARE = 1 / 2
CONNECTION_BYTES = 16 * 1024
"""The memory that a client's connection takes beside what its request and response hold."""
CONNECTION_MEMORY_QUOTA = 1 / 8
UNLIMITED = 1_000_000_000

RESPONSE_QUOTA = 1 / 8
PEER_MESSAGE_QUOTA = 1 / 8
MIN_PEER_MESSAGE_BYTES = 16 * MEBIBYTE  # a snapshot or a configuration must fit
STATE_QUOTA = 3 / 8  # batches, snapshots and messages hold parts of the state once more
STATE_DISK_QUOTA = 1 / 3  # snapshots before and now, and the batches after each


@frozen
class Quotas:
    """What one kind of process assigns to each purpose, as fractions.

    ``requests`` is a fraction of the memory beside the base, which waiting data takes twice for a while; the others
    are fractions of the connections. The connections in use to endpoints are at most as many as those of clients.
    ``min_request_bytes``: what one request has to find room for, however small the memory.
    """

    clients: float
    peers: float
    requests: float
    min_request_bytes: int
    idle_endpoint_connections: float = 0.0
    health_checks: float = 0.0


REQUEST_OVERHEAD_BYTES = 128 * 1024  # of a request beside its body, with what was received and not parsed yet
RELAY_QUOTAS = Quotas(
    clients=3 / 8,
    peers=1 / 16,
    requests=1 / 6,
    min_request_bytes=4 * MEBIBYTE + REQUEST_OVERHEAD_BYTES,
    idle_endpoint_connections=1 / 8,
    health_checks=1 / 32,
)
MEMBER_QUOTAS = Quotas(
    clients=1 / 4, peers=1 / 4, requests=1 / 8, min_request_bytes=8 * MEBIBYTE + REQUEST_OVERHEAD_BYTES
)
"""Those of a control member: its clients are operators, and it has many peers."""


class ResourceStatus(msgspec.Struct, frozen=True):
    """The resources of a process: what it uses, and what its settings allow.

    Memory is in megabytes, and unknown (None) where the system does not tell. ``waiting``: bytes of unfinished
    requests, responses and messages; ``refusals``: how often one of them was refused as their quota was used up.
    """

    memory_mb: float | None
    memory_limit_mb: int
    descriptors: int | None
    descriptor_limit: int
    waiting_bytes: int
    waiting_refusals: int

    def render(self) -> list[str]:
        """Return the status as lines of text."""
        memory = "unknown" if self.memory_mb is None else f"{self.memory_mb:.0f}"
        descriptors = "unknown" if self.descriptors is None else str(self.descriptors)
        return [
            f"memory         {memory} of {self.memory_limit_mb} MB, {self.waiting_bytes} bytes waiting,"
            f" {self.waiting_refusals} times refused",
            f"descriptors    {descriptors} of {self.descriptor_limit}",
        ]


@define
class ResourceLimits:
    """The quotas of one process, in numbers; unlimited by default, as in the simulator.

    Connections are counts, budgets are bytes. ``state_bytes``: how large the replicated state may become.
    """

    limits: Limits = Factory(Limits)
    clients: int = UNLIMITED
    idle_endpoint_connections: int = UNLIMITED
    peers: int = UNLIMITED
    health_checks: int = UNLIMITED
    state_bytes: float = float("inf")
    requests: MemoryBudget = field(factory=MemoryBudget)
    responses: MemoryBudget = field(factory=MemoryBudget)
    peer_messages: MemoryBudget = field(factory=MemoryBudget)

    def status(self) -> ResourceStatus:
        """Return what the process uses."""
        budgets = (self.requests, self.responses, self.peer_messages)
        return ResourceStatus(
            resident_memory_mb(),
            self.limits.memory_mb,
            open_descriptors(),
            descriptor_limit(self.limits),
            sum(budget.used_bytes for budget in budgets),
            sum(budget.refusals for budget in budgets),
        )


def resource_limits(limits: Limits, quotas: Quotas) -> ResourceLimits:
    """Divide the limits of the settings."""
    connections = connection_limit(limits)
    memory_bytes = limits.memory_mb * MEBIBYTE if limits.memory_mb > 0 else math.inf
    waiting_bytes = memory_bytes - min(BASE_MEMORY_BYTES, memory_bytes * MAX_BASE_MEMORY_SHARE)
    disk_bytes = limits.disk_mb * MEBIBYTE if limits.disk_mb > 0 else math.inf
    return ResourceLimits(
        limits,
        clients=min(_connections(connections, quotas.clients), _connections_within(waiting_bytes)),
        idle_endpoint_connections=_connections(connections, quotas.idle_endpoint_connections),
        peers=_connections(connections, quotas.peers),
        health_checks=_connections(connections, quotas.health_checks),
        state_bytes=min(memory_bytes * STATE_QUOTA, disk_bytes * STATE_DISK_QUOTA),
        requests=MemoryBudget(max(quotas.min_request_bytes, waiting_bytes * quotas.requests)),
        responses=MemoryBudget(waiting_bytes * RESPONSE_QUOTA),
        peer_messages=MemoryBudget(max(MIN_PEER_MESSAGE_BYTES, waiting_bytes * PEER_MESSAGE_QUOTA)),
    )


def _connections(limit: int, quota: float) -> int:
    return max(MIN_QUOTA, int(limit * quota))


def _connections_within(memory_bytes: float) -> int:
    """Return how many connections of clients fit into their part of the memory."""
    connections = memory_bytes * CONNECTION_MEMORY_QUOTA / CONNECTION_BYTES
    return UNLIMITED if math.isinf(connections) else max(MIN_CONNECTIONS, int(connections))


def descriptor_limit(limits: Limits) -> int:
    """Return the number of descriptors that the process may open: the settings' or the system's, if that is lower."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return limits.max_fds if soft == resource.RLIM_INFINITY else min(limits.max_fds, soft)


def connection_limit(limits: Limits) -> int:
    """Return the number of connections that leave the descriptors which are reserved for files."""
    reserved = min(RESERVED_FILES, limits.max_fds // 2)
    return max(MIN_CONNECTIONS, min(limits.max_fds - reserved, descriptor_limit(limits) - BASE_DESCRIPTORS))


def resident_memory_mb() -> float | None:
    """Return the resident memory of this process in megabytes, None if the system does not tell."""
    try:
        pages = int(Path("/proc/self/statm").read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return None
    return pages * os.sysconf("SC_PAGE_SIZE") / MEBIBYTE


def open_descriptors() -> int | None:
    """Return the number of open descriptors, None if the system does not tell."""
    try:
        return len(os.listdir("/proc/self/fd"))
    except OSError:
        return None
