"""Coordination of many nodes: leases, primary-backup replication, ring membership and distribution by a tree.

Every class here is a state machine without I/O. It takes messages and timers and acts through the ports of
``ports``, so the same classes run on sockets and files and on a simulated network, clock and disk. Nothing in
this package knows of HTTP or of agent programs.

- Members: ``member`` dispatches to ``election``, ``acceptor``, ``proposer``, ``leadership``, ``follower``,
  ``membership_plan`` and ``graceful_leave``.
- Replication: ``replication`` (commits), ``replica_progress`` (catch-up of one replica) with ``send_window`` and
  ``snapshot_stream``.
- Storage: ``store`` with ``recovery``, ``compaction``, ``digest_history``, ``recent_batches``, ``version_files``.
- Distribution: ``distribution_tree`` and ``topic_publisher``; ``heartbeat_ring`` and ``relay_roster`` for membership.
- ``messages`` are what all of these send, framed by ``netstring``; ``primary_calls`` are requests to the primary.
"""
