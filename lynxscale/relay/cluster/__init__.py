"""Many relays as one cluster: who is there, who has failed, and who may act; ``docs/design/cluster.md``.

Every relay is a node. Two state machines have no I/O and no clock and return ``instructions``:

- failure detection (SWIM): ``failure_detector`` on top of ``probing`` and ``detector_state``; ``suspicion`` and
  ``dissemination`` are one rule each. Its result, the ``membership_table``, is quick and may be wrong: it only makes a
  node more careful.
- view agreement (Paxos with leases): ``view_change`` on top of ``proposer``, ``acceptor``, ``leases`` and
  ``agreement_state``; ``proposal`` and ``flapping`` are parts of their state. What a node may do on behalf of others
  follows from the agreed view and a lease.

``core`` joins the two, ``messages`` and ``frame`` have what they send, ``timing`` their intervals. ``driver`` has the
sockets and carries instructions out, ``durable_state`` the files that must outlast a crash, ``settings`` what all files
have to agree on; ``component`` makes a relay component of them. Off, and not imported, where the platform runs the
relay.
"""
