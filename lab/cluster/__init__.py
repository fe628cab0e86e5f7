"""Fault injection, simulation and model checking of a cluster of relays.

On real processes: ``nodes`` starts, stops and pauses relays, ``links`` degrades the network between them, one direction
at a time, ``faults`` draws a schedule of faults from a seed, ``play`` runs it, and ``judge`` checks what the nodes
reported against the guarantees of views and leases, without using the program's own code.

In one process, on the state machines of the relay: ``simulate`` runs whole nodes on a simulated network, ``explore``
takes random walks through the view agreement, ``check`` searches small scenarios of it exhaustively, and ``mistakes``
has the faulty variants that these have to detect.
"""
