"""Which idle connections are still good, and whether connection tables at endpoints are full.

Connections may be dropped unseen, by a device between or by the far end: what is sent on one is lost. Learned from
how calls end. No I/O, no clock; times are milliseconds.
"""

from __future__ import annotations

import math
from typing import Protocol

from lynxscale.scheduling.events import Result

INF = math.inf
REUSE_AGE_SHARE = 0.5  # of the idle age at which a connection failed: older ones are not reused ...
AGE_MEMORY_MS = 30_000.0  # ... for so long
YOUNG_AGE_MAX_MS = 2000.0  # idle for less, one that fails was likely reset with its endpoint: resets are counted
RESET_RISK = 0.35  # reset rate above that of new connections from which an idle age is too old
RESET_RISK_UNSAFE = 0.03  # the same for messages that must not be executed twice
RESETS_MIN = 3  # needed for that
USES_MAX = 100  # counted; then both counts are halved
YOUNG_MEMORY_MS = 10_000.0  # for which an age learned from counts holds
FULL_TABLES_SHARE = 0.05  # of connects that full tables failed: from there on tables count as crowded
FULL_TABLES_WEIGHT = 0.02  # of the newest connect in that moving average
AGE_BUCKETS = 13  # counts by doubled idle ages, new connections first
INFORMATIVE_RESULTS = (Result.OK, Result.FULL, Result.ERROR, Result.RESET)


class ConnectionReuse:
    """The idle age from which connections are not used again.

    A missing answer does not count, as a stall looks alike. A connection that fails while young is no sign alone, as
    connections end with their endpoint, too: a higher reset rate than on new connections is. After a crash this costs
    handshakes for a while.
    """

    def __init__(self) -> None:
        self._failed_age = INF  # idle age from which connections fail
        self._failed_at = -INF  # when one failed
        self._young = [(INF, 0.0), (INF, 0.0)]  # ages learned by counting, and until when they hold; second: unsafe
        self._counts = [[0.0, 0.0] for _ in range(AGE_BUCKETS)]  # resets, uses

    def max_idle(self, now: float, unsafe: bool) -> float:
        """The idle age (ms) from which a connection is not used again."""
        if now - self._failed_at > AGE_MEMORY_MS:
            self._failed_age = INF
        age, until = self._young[unsafe]
        return min(self._failed_age, age) if until > now else self._failed_age

    def ended(self, now: float, idle: float, result: Result) -> None:
        """How a call ended; ``idle``: its connection's age in the pool, 0 for a new one."""
        if result not in INFORMATIVE_RESULTS:
            return
        counts = self._counts[min(AGE_BUCKETS - 1, 1 + int(math.log2(max(1.0, idle)))) if idle else 0]
        counts[0] += result == Result.RESET
        counts[1] += 1
        if counts[1] >= USES_MAX:
            counts[0], counts[1] = counts[0] / 2, counts[1] / 2
        if result != Result.RESET or not idle:
            return
        if idle >= YOUNG_AGE_MAX_MS:
            self._failed_age, self._failed_at = min(self._failed_age, REUSE_AGE_SHARE * idle), now
        for unsafe, risk in enumerate((RESET_RISK, RESET_RISK_UNSAFE)):
            bucket = self._risky_bucket(risk)
            if bucket is not None:
                self._young[unsafe] = (2.0 ** (bucket - 1), now + YOUNG_MEMORY_MS)

    def _risky_bucket(self, risk: float) -> int | None:
        """The first row of idle ages with a reset rate so far above that of new connections."""
        new_resets, new_uses = self._counts[0]
        acceptable = new_resets / max(1.0, new_uses) + risk
        for bucket, (resets, uses) in enumerate(self._counts):
            if bucket and resets >= RESETS_MIN and resets / uses > acceptable:
                return bucket
        return None


class ConnectHistory(Protocol):
    """What an endpoint keeps of its connects."""

    kind: int
    failed_connects: int  # since a success
    connect_failed_at: float


class ConnectionTables:
    """Full connection tables reject new connections while older ones serve; a crashed endpoint serves on none."""

    def __init__(self) -> None:
        self._failed_shares: dict[int, float] = {}  # by kind: share of recent connects that full tables failed

    def is_crowded(self, kind: int) -> bool:
        """Do full tables fail many connects to endpoints of this kind?"""
        return self._failed_shares.get(kind, 0.0) > FULL_TABLES_SHARE

    def ended(self, now: float, endpoint: ConnectHistory, sent: float, idle: float, result: Result) -> None:
        """How a call ended; ``idle``: its connection's age in the pool, 0 for a new one."""
        failed_by_tables = 0
        if result == Result.CONNECT_FAILED:
            endpoint.failed_connects, endpoint.connect_failed_at = endpoint.failed_connects + 1, now
        elif result == Result.OK and sent >= endpoint.connect_failed_at:
            older = idle and sent - idle <= endpoint.connect_failed_at
            failed_by_tables, endpoint.failed_connects = endpoint.failed_connects if older else 0, 0
        if failed_by_tables or not idle:
            share = self._failed_shares.get(endpoint.kind, 0.0)
            self._failed_shares[endpoint.kind] = min(1.0, share + (failed_by_tables - share) * FULL_TABLES_WEIGHT)
