"""The relay's write-ahead journal of open messages, attempts and outcomes; docs/design/journal.md.

``records`` and ``layout`` encode and decode bytes, ``legacy_format`` reads the single file of older relays;
``recovery`` and ``cleaning_plan`` decide, without I/O. ``storage`` has the file operations, ``manifest_store`` the
manifest's two files, and ``journal`` the journal itself.
"""

from lynxscale.relay.journal.journal import Journal
from lynxscale.relay.journal.records import Entry

__all__ = ["Entry", "Journal"]
