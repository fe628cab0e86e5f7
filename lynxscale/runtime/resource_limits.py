"""How a process divides the memory and the descriptors that its settings allow, and what it uses of them.

Each purpose has a share of its own, so that one that is used up leaves the others: clients cannot take the descriptors
of peers, health checks, operators and files, and unfinished requests cannot take the memory of responses under way.
"""

from __future__ import annotations

import os
import resource
from pathlib import Path

import msgspec
from attrs import Factory, define, field

from lynxscale.runtime.memory_budget import MemoryBudget
from lynxscale.runtime.settings import Limits

MEBIBYTE = 1024 * 1024
RESERVED_FILES = 200
"""Descriptors of ``max-fds`` that the platform keeps for files outside of the data folder; at most half of them."""
OWN_DESCRIPTORS = 24
"""Descriptors that a process needs beside its connections: standard streams, event loop, listeners and data files."""
MIN_CONNECTIONS = 16
UNLIMITED = 1_000_000_000

# Shares of the connections; the connections in use to endpoints are at most as many as those of clients.
CLIENT_SHARE = 3 / 8
IDLE_ENDPOINT_SHARE = 1 / 8
PEER_SHARE = 1 / 16
HEALTH_CHECK_SHARE = 1 / 32
OPERATOR_SHARE, MEMBER_PEER_SHARE = 1 / 4, 1 / 4  # of a control member, which has many peers and no clients

# Shares of the memory. Waiting data exists twice for a while, and the rest holds the state.
REQUEST_SHARE = 1 / 6
RESPONSE_SHARE = 1 / 8
OPERATOR_REQUEST_SHARE = 1 / 8
PEER_MESSAGE_SHARE = 1 / 8
STATE_SHARE = 3 / 8  # batches, snapshots and messages hold parts of the state once more
STATE_DISK_SHARE = 1 / 3  # snapshots before and now, and the batches after each
MIN_PEER_MESSAGE_BYTES = 16 * MEBIBYTE  # a snapshot or a configuration must fit


class ResourceStatus(msgspec.Struct, frozen=True):
    """The resources of a process: what it uses, and what its settings allow.

    Memory is in megabytes, and unknown (None) where the system does not tell. ``waiting``: bytes of unfinished
    requests, responses and messages; ``refusals``: how often one of them was refused as their share was used up.
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
    """The shares of one process, which are unlimited by default, as in the simulator.

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


def relay_limits(limits: Limits) -> ResourceLimits:
    """Return the shares of a relay."""
    connections = connection_limit(limits)
    return ResourceLimits(
        limits,
        clients=_share(connections, CLIENT_SHARE),
        idle_endpoint_connections=_share(connections, IDLE_ENDPOINT_SHARE),
        peers=_share(connections, PEER_SHARE),
        health_checks=_share(connections, HEALTH_CHECK_SHARE),
        requests=_memory_share(limits, REQUEST_SHARE),
        responses=_memory_share(limits, RESPONSE_SHARE),
        peer_messages=_peer_message_share(limits),
    )


def member_limits(limits: Limits) -> ResourceLimits:
    """Return the shares of a control member, whose clients are operators."""
    connections = connection_limit(limits)
    return ResourceLimits(
        limits,
        clients=_share(connections, OPERATOR_SHARE),
        peers=_share(connections, MEMBER_PEER_SHARE),
        state_bytes=_state_share(limits),
        requests=_memory_share(limits, OPERATOR_REQUEST_SHARE),
        responses=_memory_share(limits, RESPONSE_SHARE),
        peer_messages=_peer_message_share(limits),
    )


def descriptor_limit(limits: Limits) -> int:
    """Return the number of descriptors that the process may open: the settings' or the system's, if that is lower."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return limits.max_fds if soft == resource.RLIM_INFINITY else min(limits.max_fds, soft)


def connection_limit(limits: Limits) -> int:
    """Return the number of connections that leave the descriptors which are reserved for files."""
    reserved = min(RESERVED_FILES, limits.max_fds // 2)
    return max(MIN_CONNECTIONS, min(limits.max_fds - reserved, descriptor_limit(limits) - OWN_DESCRIPTORS))


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


def _share(connections: int, share: float) -> int:
    return max(4, int(connections * share))


def _memory_share(limits: Limits, share: float) -> MemoryBudget:
    return MemoryBudget(limits.memory_mb * MEBIBYTE * share)


def _state_share(limits: Limits) -> float:
    memory_bytes = limits.memory_mb * MEBIBYTE * STATE_SHARE
    disk_bytes = limits.disk_mb * MEBIBYTE * STATE_DISK_SHARE
    return min(memory_bytes, disk_bytes) if limits.disk_mb > 0 else memory_bytes


def _peer_message_share(limits: Limits) -> MemoryBudget:
    return MemoryBudget(max(MIN_PEER_MESSAGE_BYTES, limits.memory_mb * MEBIBYTE * PEER_MESSAGE_SHARE))
