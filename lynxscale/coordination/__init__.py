"""Coordination of many nodes: leases, primary-backup replication, ring membership and distribution by a tree.

Every class here is a state machine without I/O. It takes messages and timers and acts through the ports of
``ports``, so the same classes run on sockets and files and on a simulated network, clock and disk. Nothing in
this package knows of HTTP or of agent programs.
"""
