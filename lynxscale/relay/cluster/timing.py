"""Intervals, timeouts and limits of failure detection and view changes, scaled from the configured probe period."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DetectorTiming:
    """Times in µs, and counts. Probe period and probe timeout are extended with the node's health score."""

    probe_period: int = 500_000  # one probe is started in each
    probe_timeout: int = 120_000  # until a probe is retried directly and indirectly
    suspect_ping_interval: int = 250_000  # between pings of a suspected node
    indirect_probes: int = 3  # number of helpers for one probe
    suspicion_min: int = 1_500_000  # timeout of a suspicion with enough confirmations
    suspicion_max: int = 4_500_000  # timeout of a suspicion without confirmations
    suspicion_confirmations: int = 3  # number at which the timeout is down to suspicion_min
    health_score_max: int = 4  # probe period and timeout are multiplied by 1 + health score
    pause_threshold: int = 700_000  # a tick that is later than this shows that the process was paused
    unreachable_ping_interval: int = 2_000_000  # between pings of nodes that are failed, left or unknown
    exchange_interval: int = 30_000_000  # between exchanges of full state with up to 32 nodes; longer with more
    unreachable_exchange_interval: int = 10_000_000  # between exchanges with nodes that are failed, left or unknown
    initial_exchange_interval: int = 500_000  # between exchanges until the first answer
    retransmit_multiplier: int = 4  # an update is sent this number times log2(nodes + 1)
    gossip_interval: int = 100_000  # least time between gossip rounds besides the probes
    gossip_fanout: int = 2


@dataclass(frozen=True, slots=True)
class ViewTiming:
    """Times in µs, counts and a ratio."""

    lease: int = 2_500_000
    clock_drift: float = 0.02  # relative rate error of clocks; grantors honour a lease longer by this ratio
    stable_for: int = 300_000  # time that a change must be wanted before it is proposed
    rank_delay: int = 400_000  # proposal delay for each possible proposer ranked ahead, to avoid competing proposals
    retry_interval: int = 200_000
    proposal_timeout: int = 6_000_000  # after the last new answer to a proposal
    # Used instead while a quorum is reachable: three times the duration of a sync on a bad disk.
    extended_proposal_timeout: int = 30_000_000
    backoff: int = 1_000_000  # least delay after a failed proposal
    answer_validity: int = 3_000_000  # time for which an answer to a probe shows a node to be reachable
    flap_backoff: int = 2_000_000  # after a second removal of a node within flap_window; doubles with each further one
    flap_backoff_max: int = 60_000_000
    flap_window: int = 600_000_000
    committee_size: int = 7  # members that grant leases, if a view has more
    max_added: int = 12  # nodes in one change, which has to fit in a datagram


def detector_timing(probe: int) -> DetectorTiming:
    """The detector's times, scaled to the configured probe period (µs)."""
    default = DetectorTiming()
    scale = probe / default.probe_period
    return DetectorTiming(
        probe,
        **{
            name: max(1, int(getattr(default, name) * scale))
            for name in (
                "probe_timeout",
                "suspect_ping_interval",
                "suspicion_min",
                "suspicion_max",
                "pause_threshold",
                "unreachable_ping_interval",
                "initial_exchange_interval",
                "gossip_interval",
            )
        },
    )


def view_timing(probe: int) -> ViewTiming:
    """View agreement's times, scaled to the configured probe period (µs)."""
    default = ViewTiming()
    scale = probe / DetectorTiming().probe_period
    return ViewTiming(
        **{
            name: max(1, int(getattr(default, name) * scale))
            for name in (
                "lease",
                "stable_for",
                "rank_delay",
                "retry_interval",
                "proposal_timeout",
                "backoff",
                "answer_validity",
                "flap_backoff",
            )
        }
    )
