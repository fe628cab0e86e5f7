"""Suspicion timeout, after which a suspected node counts as failed (Lifeguard, section IV.B)."""

from __future__ import annotations

import math

from lynxscale.relay.cluster.membership_table import MemberRecord
from lynxscale.relay.cluster.timing import DetectorTiming


def suspicion_deadline(record: MemberRecord, reachable: int, health_score: int, timing: DetectorTiming) -> int:
    """Time (µs) at which a suspected node counts as failed: the more nodes suspect it, the sooner.

    Parameters
    ----------
    record
        The suspected node's record.
    reachable
        Nodes that are alive or suspected, this one included.
    health_score
        This node's own score; the worse it is, the longer the timeout.
    timing
        Bounds of the timeout, and the number of confirmations at which it is shortest.
    """
    required = max(0, min(timing.suspicion_confirmations, reachable - 2))
    scale = max(1.0, math.log10(max(1, reachable)))
    shortest, longest = timing.suspicion_min * scale, timing.suspicion_max * scale
    confirmations = max(0, len(record.suspected_by) - 1)
    progress = math.log(confirmations + 1) / math.log(required + 1) if required else 0.0
    duration = max(shortest, longest - (longest - shortest) * progress)
    return record.since + int(duration * (1 + health_score / 2))
