"""Coordination of many nodes: leases, primary-backup replication, ring membership and distribution by a tree.

Every class here is a state machine without I/O. It takes messages and timers and acts through the ports of
``ports``, so the same classes run on sockets and files and on a simulated network, clock and disk. Nothing in
this package knows of HTTP or of agent programs.

- Members: ``member`` dispatches messages to its parts. ``voter``, ``acceptor`` and ``vote_deference`` answer
  candidates; ``election``, ``pre_vote``, ``eligibility``, ``candidacy``, ``proposer`` and ``proposal`` are a member's
  own candidacy; ``leadership``, ``lease``, ``peer_table`` and ``membership_plan`` the primary; ``follower``,
  ``joining`` and ``graceful_leave`` the others.
- Replication: ``replication`` (commits), ``replica_progress`` (catch-up of one replica) with ``send_window`` and
  ``snapshot_stream``.
- Storage: ``store`` with ``recovery``, ``compaction``, ``digest_history``, ``recent_batches``, ``version_files``.
- Distribution: ``distribution_tree`` and ``topic_publisher``; ``heartbeat_ring`` and ``relay_roster`` for membership.
- ``messages`` are what all of these send, framed by ``netstring``; ``primary_calls`` are requests to the primary.
"""
