"""Intervals, timeouts and limits of failure detection and view changes, scaled from the configured probe period."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DetectorTiming:
    """µs, unless they are counts. Probe period and timeout stretch with the node's health score."""

    probe_period: int = 500_000  # one probe in each
    probe_timeout: int = 120_000  # until a probe goes again, and by way of others
    suspect_ping_interval: int = 250_000  # between pings of a node that is suspected
    indirect_probes: int = 3  # asked for an indirect probe
    suspicion_min: int = 1_500_000  # of a suspicion that enough others share
    suspicion_max: int = 4_500_000  # of one that nobody shares
    suspicion_confirmations: int = 3  # others that are enough
    health_score_max: int = 4  # by how many periods at most a node stretches its own
    pause_threshold: int = 700_000  # a turn that comes so much late: the process stood still
    unreachable_ping_interval: int = 2_000_000  # between pings of nodes that are failed, left or not heard of yet
    exchange_interval: int = 30_000_000  # between exchanges of full state, at 32 nodes; longer with more
    unreachable_exchange_interval: int = 10_000_000  # the same with a node that is failed or not heard of yet
    initial_exchange_interval: int = 500_000  # while nobody has answered
    retransmit_multiplier: int = 4  # times log2 of the nodes: how often one update is sent
    gossip_interval: int = 100_000  # between two gossip rounds that do not wait for a probe
    gossip_fanout: int = 2


@dataclass(frozen=True, slots=True)
class ViewTiming:
    """µs, unless they are counts."""

    lease: int = 2_500_000
    clock_drift: float = 0.02  # by which clocks may go apart; what is granted is held so much longer
    stable_for: int = 300_000  # for which a change must be wanted before it is proposed
    rank_delay: int = 400_000  # added for each node of lower rank, so that proposers take turns
    retry_interval: int = 200_000
    proposal_timeout: int = 6_000_000  # of a proposal that gets no new answer
    # The same while enough nodes are reachable to decide it: three times what a bad disk's sync takes.
    extended_proposal_timeout: int = 30_000_000
    backoff: int = 1_000_000  # after one that failed, at least
    answer_validity: int = 3_000_000  # for which an answer to a probe shows that a node is there
    flap_backoff: int = 2_000_000  # after a second removal of a node within a while, doubled by each further one
    flap_backoff_max: int = 60_000_000
    flap_window: int = 600_000_000
    committee_size: int = 7  # members that are asked for leases, in larger views
    max_added: int = 12  # in one change: it has to fit a datagram


def detector_timing(probe: int) -> DetectorTiming:
    """The detector's times, scaled to the configured probe period (µs)."""
    usual = DetectorTiming()
    scale = probe / usual.probe_period
    return DetectorTiming(
        probe,
        **{
            name: max(1, int(getattr(usual, name) * scale))
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
    usual = ViewTiming()
    scale = probe / DetectorTiming().probe_period
    return ViewTiming(
        **{
            name: max(1, int(getattr(usual, name) * scale))
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
