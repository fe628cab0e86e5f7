"""The relay's write-ahead journal of open messages, attempts and outcomes. See docs/design/journal.md.

``records`` and ``layout`` encode and decode bytes; ``legacy_format`` reads the single file that older relays wrote.
``recovery`` and ``cleaning_plan`` make decisions without I/O. ``storage`` holds the file operations,
``manifest_store`` reads and writes the two files of the manifest, and ``journal`` ties them together.
"""

from lynxscale.relay.journal.journal import Journal
from lynxscale.relay.journal.records import Entry

__all__ = ["Entry", "Journal"]
