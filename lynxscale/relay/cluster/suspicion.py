"""How long a suspicion lasts before the node counts as failed (Lifeguard, section IV.B)."""

from __future__ import annotations

import math

from lynxscale.relay.cluster.membership_table import MemberRecord
from lynxscale.relay.cluster.timing import DetectorTiming


def suspicion_deadline(record: MemberRecord, reachable: int, health_score: int, timing: DetectorTiming) -> int:
    """Time (µs) at which a suspicion becomes a failure: the sooner, the more nodes share it.

    Parameters
    ----------
    record
        The suspected node's.
    reachable
        Nodes that are alive or suspected, this one included.
    health_score
        This node's own; the worse it is, the longer it waits.
    timing
        Bounds of a suspicion and the number of confirmations that shorten it fully.
    """
    required = max(0, min(timing.suspicion_confirmations, reachable - 2))
    scale = max(1.0, math.log10(max(1, reachable)))
    shortest, longest = timing.suspicion_min * scale, timing.suspicion_max * scale
    confirmations = max(0, len(record.suspected_by) - 1)
    progress = math.log(confirmations + 1) / math.log(required + 1) if required else 0.0
    duration = max(shortest, longest - (longest - shortest) * progress)
    return record.since + int(duration * (1 + health_score / 2))
