"""Upgrades: handover from the serving process of a relay to its successor. See docs/design/operation.md.

``succession`` decides, without I/O, which process accepts clients and owns which messages; ``handover`` carries the
decisions out. ``board`` is the processes' shared memory, ``journal_folders`` assigns journal folders to processes,
``journal_follower`` reads the other process's journal, and ``learned_file`` passes on the scheduler's learned state.
"""
