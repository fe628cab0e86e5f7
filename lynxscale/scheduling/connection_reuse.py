"""What is known of connections: from which idle age on kept ones fail, and whether tables at endpoints are full.

No I/O, no clock; times are milliseconds.
"""

from __future__ import annotations

import math
from typing import Protocol

from lynxscale.scheduling.events import Result

INF = math.inf
SHARE, MEMORY_MS = 0.5, 30_000.0  # of the idle age that failed: older connections are not reused; for so long
LEAST_MS = 2000.0  # idle for less, one that fails was likely reset with its endpoint: counted
RISK, RISK_UNSAFE = 0.35, 0.03  # more resets than on new connections: too old for reuse, and for what must not
SEEN, COUNT, YOUNG_MS = 3, 100, 10_000.0  # run twice; resets needed, most counted, memory
CROWDED, WEIGHT = 0.05, 0.02  # of connects that full tables failed: too many; smoothing
ROWS = 13  # by doubled idle ages, new connections first


class Reuse:
    """Connections dropped unseen (by a box on the way or the far end): what is sent on one is lost.

    Silence does not count, as a stall looks alike. One that failed while it was young is no sign alone, as
    connections end with their endpoint, too: more resets than on new connections are. Hurts after a crash:
    handshakes for a while.
    """

    def __init__(self) -> None:
        self.age, self.age_at = INF, -INF  # idle age from which connections fail, and when one failed
        self.young = [(INF, 0.0), (INF, 0.0)]  # such ages learned by count, until when; second: unsafe
        self.rows = [[0.0, 0.0] for _ in range(ROWS)]  # resets, uses

    def most(self, now: float, unsafe: bool) -> float:
        """The idle age from which a connection is not used again."""
        if now - self.age_at > MEMORY_MS:
            self.age = INF
        age, until = self.young[unsafe]
        return min(self.age, age) if until > now else self.age

    def ended(self, now: float, idle: float, result: Result) -> None:
        """How a call ended; ``idle``: its connection's age in the pool, 0 for a new one."""
        if result not in (Result.OK, Result.FULL, Result.ERROR, Result.RESET):
            return
        row = self.rows[min(ROWS - 1, 1 + int(math.log2(max(1.0, idle)))) if idle else 0]
        row[0], row[1] = row[0] + (result == Result.RESET), row[1] + 1
        if row[1] >= COUNT:
            row[0], row[1] = row[0] / 2, row[1] / 2
        if result != Result.RESET or not idle:
            return
        if idle >= LEAST_MS:
            self.age, self.age_at = min(self.age, SHARE * idle), now
        new = self.rows[0][0] / max(1.0, self.rows[0][1])
        for unsafe, risk in enumerate((RISK, RISK_UNSAFE)):
            bad = (
                place
                for place, (resets, uses) in enumerate(self.rows)
                if place and resets >= SEEN and resets / uses > new + risk
            )
            if (place := next(bad, None)) is not None:
                self.young[unsafe] = (2.0 ** (place - 1), now + YOUNG_MS)


class Connects(Protocol):
    """What an endpoint keeps of its connects."""

    kind: int
    unconnected: int  # failed since a success
    unconnected_at: float


class Tables:
    """Full tables refuse new connections while older ones serve; one that is gone serves on none."""

    def __init__(self) -> None:
        self.shares: dict[int, float] = {}  # by kind: share of connects of late that full tables failed

    def crowded(self, kind: int) -> bool:
        return self.shares.get(kind, 0.0) > CROWDED

    def ended(self, now: float, endpoint: Connects, sent: float, idle: float, result: Result) -> None:
        """How a call ended; ``idle``: its connection's age in the pool, 0 for a new one."""
        full = 0
        if result == Result.CONNECT_FAILED:
            endpoint.unconnected, endpoint.unconnected_at = endpoint.unconnected + 1, now
        elif result == Result.OK and sent >= endpoint.unconnected_at:
            older = idle and sent - idle <= endpoint.unconnected_at
            full, endpoint.unconnected = endpoint.unconnected if older else 0, 0
        if full or not idle:
            share = self.shares.get(endpoint.kind, 0.0)
            self.shares[endpoint.kind] = min(1.0, share + (full - share) * WEIGHT)
