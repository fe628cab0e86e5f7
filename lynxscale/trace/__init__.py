"""Traces: what the relay saw and decided, in compact files, and the tools that read them.

``fields`` and ``records`` turn values into bytes; ``frames`` gathers the records of one turn of the loop; ``v1`` and
``v2`` are the two containers; ``reader`` opens either. ``recorder`` is the daemon's port and ``rotation`` its files.
The format is specified to the byte in docs/design/trace.md. Nothing here is imported by a daemon without a trace.
"""
