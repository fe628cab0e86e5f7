"""Upgrades: two processes of one relay, the one that serves and its successor; ``docs/design/operation.md``.

``succession`` decides who accepts clients and who owns which messages, without I/O; ``handover`` carries it out.
``board`` is the shared memory of the two, ``journal_folders`` says whose folder is whose, ``journal_follower`` reads
the other's journal, ``learned_file`` passes on what the scheduler has learned.
"""
