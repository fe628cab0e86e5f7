"""Connection reuse: detects idle connections that are likely dead, and endpoints with full connection tables.

A middlebox or the remote end may drop a connection without a notice; data sent on such a connection is lost. Both
detectors learn from the results of calls. No I/O, no clock; times are milliseconds.
"""

from __future__ import annotations

import math
from typing import Protocol

from lynxscale.scheduling.events import Result

INF = math.inf
REUSE_AGE_SHARE = 0.5  # connections are reused up to this share of the idle age at which one failed
AGE_MEMORY_MS = 30_000.0  # lifetime of that limit
YOUNG_AGE_MAX_MS = 2000.0  # a reset of a younger connection may be due to its endpoint: only reset rates count
RESET_RISK = 0.35  # an idle age is too old if its reset rate exceeds that of new connections by this much
RESET_RISK_UNSAFE = 0.03  # RESET_RISK for messages that must not be executed twice
RESETS_MIN = 3  # resets from which a reset rate is significant
USES_MAX = 100  # uses and resets of a bucket are halved at this count of uses, so that old ones count less
YOUNG_MEMORY_MS = 10_000.0  # lifetime of a limit learned from reset rates
FULL_TABLES_SHARE = 0.05  # tables count as crowded above this share of connects that failed because of full tables
FULL_TABLES_WEIGHT = 0.02  # weight of the newest connect in the moving average of that share
AGE_BUCKETS = 13  # buckets of idle ages, each twice as wide as the one before; the first is for new connections
INFORMATIVE_RESULTS = (Result.OK, Result.FULL, Result.ERROR, Result.RESET)


class ConnectionReuse:
    """Learns the idle age from which connections are not reused.

    A missing response is not evidence, because a stalled endpoint looks the same. A single reset of a young connection
    is not evidence either, because connections are also reset when their endpoint stops; a higher reset rate than on
    new connections is. After a crash the limit costs additional handshakes for a while.
    """

    def __init__(self) -> None:
        self._failed_age = INF  # idle age from which connections fail
        self._failed_at = -INF  # when a connection last failed at such an age
        self._young = [(INF, 0.0), (INF, 0.0)]  # (limit from reset rates, its expiry); second: unsafe messages
        self._counts = [[0.0, 0.0] for _ in range(AGE_BUCKETS)]  # [resets, uses] per bucket

    def max_idle(self, now: float, unsafe: bool) -> float:
        """Return the idle age in ms from which a connection is not reused."""
        if now - self._failed_at > AGE_MEMORY_MS:
            self._failed_age = INF
        age, until = self._young[unsafe]
        return min(self._failed_age, age) if until > now else self._failed_age

    def ended(self, now: float, idle: float, result: Result) -> None:
        """Record the result of a call; ``idle``: its connection's idle time before the call, 0 for a new one."""
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
        """Return the first bucket whose reset rate exceeds that of new connections by more than ``risk``."""
        new_resets, new_uses = self._counts[0]
        acceptable = new_resets / max(1.0, new_uses) + risk
        for bucket, (resets, uses) in enumerate(self._counts):
            if bucket and resets >= RESETS_MIN and resets / uses > acceptable:
                return bucket
        return None


class ConnectHistory(Protocol):
    """An endpoint's record of failed connects."""

    kind: int
    failed_connects: int  # since the last success
    connect_failed_at: float


class ConnectionTables:
    """Detects full connection tables: new connections fail while older ones still work, unlike after a crash."""

    def __init__(self) -> None:
        self._failed_shares: dict[int, float] = {}  # kind: recent share of connects failed by full tables

    def is_crowded(self, kind: int) -> bool:
        """Do full tables fail many connects to endpoints of this kind?"""
        return self._failed_shares.get(kind, 0.0) > FULL_TABLES_SHARE

    def ended(self, now: float, endpoint: ConnectHistory, sent: float, idle: float, result: Result) -> None:
        """Record the result of a call; ``idle``: its connection's idle time before the call, 0 for a new one."""
        failed_by_tables = 0
        if result == Result.CONNECT_FAILED:
            endpoint.failed_connects, endpoint.connect_failed_at = endpoint.failed_connects + 1, now
        elif result == Result.OK and sent >= endpoint.connect_failed_at:
            older = idle and sent - idle <= endpoint.connect_failed_at
            failed_by_tables, endpoint.failed_connects = endpoint.failed_connects if older else 0, 0
        if failed_by_tables or not idle:
            share = self._failed_shares.get(endpoint.kind, 0.0)
            self._failed_shares[endpoint.kind] = min(1.0, share + (failed_by_tables - share) * FULL_TABLES_WEIGHT)
