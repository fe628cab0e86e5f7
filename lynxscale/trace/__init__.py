"""Compact binary traces of what the relay saw and decided, and the tools that read them.

``fields`` encodes single values and ``records`` lists the record types; ``frames`` encodes the records of one turn of
the event loop. ``head`` and ``v2`` hold the containers of versions 1 and 2; ``reader`` opens either. ``recorder``
implements the trace port of the daemon, and ``rotation`` manages its files. docs/design/trace.md specifies the format
byte by byte. A daemon without a trace imports none of these modules.
"""
