"""The laboratory of the cluster: relays as processes, a breakable link for each direction, faults by seed, a judge.

``nodes`` starts and harms the processes, ``links`` the ways between them, ``faults`` draws what happens when, ``play``
runs it and records, ``judge`` holds the record against what is promised and knows nothing of the program;
``simulate`` plays the state machines that run in service, in one process.
"""
