"""Cluster coordination: leases, primary-backup replication, ring membership and a distribution tree.

Every class here is a state machine without I/O. It handles messages and timers and acts through the interfaces
in ``ports``, so the same classes run on real sockets and files and on a simulated network, clock and disk. This
package does not depend on HTTP or on agent programs.

- Members: ``member`` dispatches messages to its components. ``voter``, ``acceptor`` and ``vote_deference`` answer
  candidates; ``election``, ``pre_vote``, ``eligibility``, ``candidacy``, ``proposer`` and ``proposal`` implement a
  member's own candidacy; ``leadership``, ``lease``, ``peer_table`` and ``membership_plan`` the primary's duties;
  ``follower``, ``joining`` and ``graceful_leave`` those of the other members.
- Replication: ``replication`` (commits), ``replica_progress`` (catch-up of one replica) with ``send_window`` and
  ``snapshot_stream``.
- Storage: ``store`` with ``recovery``, ``compaction``, ``digest_history``, ``recent_batches``, ``version_files``.
- Distribution: ``distribution_tree`` and ``topic_publisher``; ``heartbeat_ring`` and ``relay_roster`` for membership.
- Protocol: ``messages`` defines all messages, ``netstring`` their framing, ``primary_calls`` requests to the primary.
"""
