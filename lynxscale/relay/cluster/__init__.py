"""Many relays as one cluster: who is there, who has failed, and who may act; ``docs/design/cluster.md``.

Every relay is a node. What a node believes of the others (``sight``, kept by ``detector``) is quick and may be wrong,
and only makes it more careful; what it may do for others follows from ``views``. These three have no I/O and no clock.
``driver`` has the sockets, ``stable`` the file that must not be forgotten, ``part`` fits them into a relay. Off, and
not imported, where the platform runs the relay.
"""
