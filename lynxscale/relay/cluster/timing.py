"""Intervals, timeouts and limits of failure detection and view changes, scaled from the configured probe period."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DetectorTiming:
    """Times in µs, and counts. Probe period and probe timeout are extended with the node's health score."""

    probe_period: int = 500_000  # time between the starts of two probes
    probe_timeout: int = 120_000  # time until an unanswered probe is retried, directly and indirectly
    suspect_ping_interval: int = 250_000  # time between pings of a suspected node
    indirect_probes: int = 3  # number of helpers for one probe
    suspicion_min: int = 1_500_000  # timeout of a suspicion with enough confirmations
    suspicion_max: int = 4_500_000  # timeout of a suspicion without confirmations
    suspicion_confirmations: int = 3  # number of confirmations that shortens the timeout to suspicion_min
    health_score_max: int = 4  # probe period and timeout are multiplied by 1 + health score
    pause_threshold: int = 700_000  # a tick that is later than this shows that the process was paused
    unreachable_ping_interval: int = 2_000_000  # time between pings of nodes that are failed, left or unknown
    exchange_interval: int = 30_000_000  # time between exchanges of full state; longer with more than 32 nodes
    unreachable_exchange_interval: int = 10_000_000  # time between exchanges with failed, left or unknown nodes
    initial_exchange_interval: int = 500_000  # time between exchanges until another node has answered
    retransmit_multiplier: int = 4  # an update is sent this number times log2(nodes + 1)
    gossip_interval: int = 100_000  # minimum time between sending rounds of Gossip frames
    gossip_fanout: int = 2  # number of nodes that one round is sent to


@dataclass(frozen=True, slots=True)
class ViewTiming:
    """Times in µs, counts and a ratio."""

    lease: int = 2_500_000  # duration, from the time of the request
    clock_drift: float = 0.02  # relative rate error of clocks; grantors honour a lease longer by this ratio
    stable_for: int = 300_000  # time that a change must be wanted before it is proposed
    rank_delay: int = 400_000  # proposal delay for each possible proposer ranked ahead, to avoid competing proposals
    retry_interval: int = 200_000  # time between repetitions of an unanswered proposal or lease request
    proposal_timeout: int = 6_000_000  # a proposal fails after this time without a new answer
    # Proposal timeout while a quorum is reachable: three times the duration of a sync on a bad disk.
    extended_proposal_timeout: int = 30_000_000
    backoff: int = 1_000_000  # minimum delay after a failed proposal
    answer_validity: int = 3_000_000  # time for which an answer to a probe shows a node to be reachable
    flap_backoff: int = 2_000_000  # delay after a second removal within flap_window; doubles with each further one
    flap_backoff_max: int = 60_000_000
    flap_window: int = 600_000_000
    committee_size: int = 7  # number of members that grant leases in a larger view
    max_added: int = 12  # nodes that one change adds; it has to fit in a datagram


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
