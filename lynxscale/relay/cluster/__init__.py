"""Many relays as one cluster: who is there, who has failed, and who may act; ``docs/design/cluster.md``.

Every relay is a node. What a node believes of the others (``membership_table``, kept by ``failure_detector``) is
quick and may be wrong: it only makes the node more careful. What a node may do on behalf of others follows from the
agreed view and a lease (``view_change``). These, ``messages`` and ``core``, which joins them, have no I/O and no clock:
they return ``instructions``. ``driver`` has the sockets and carries instructions out, ``durable_state`` the files that
must outlast a crash, ``component`` makes a relay component of them. Off, and not imported, where the platform runs the
relay.
"""
