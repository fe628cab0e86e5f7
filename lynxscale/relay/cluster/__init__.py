"""A cluster of relays: membership, failure detection and leases; see ``docs/design/cluster.md``.

Every relay is a node. It runs two state machines, which have no I/O and no clock and return ``instructions``:

- failure detection (SWIM): ``failure_detector`` on top of ``probing`` and ``detector_state``; ``suspicion`` and
  ``dissemination`` hold one rule each. Its result, the ``membership_table``, is fast but may be wrong, so it can only
  make a node act more cautiously.
- view agreement (Paxos with leases): ``view_change`` on top of ``proposer``, ``acceptor``, ``leases`` and
  ``agreement_state``; ``proposal`` and ``flapping`` are parts of their state. Only the agreed view and a lease allow a
  node to act on behalf of others.

``core`` joins the two. ``messages`` and ``frame`` define what they send, ``timing`` their intervals. ``driver`` owns
the sockets and executes instructions, ``durable_state`` writes the files that survive a crash, ``settings`` lists what
the configuration files of all nodes have to agree on, and ``component`` makes a relay component of these modules. The
cluster is off, and its modules are not imported, if the platform runs the relay.
"""
