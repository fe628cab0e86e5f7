"""The journal: what was taken on, each try before it goes, each end; docs/design/journal.md.

``format`` and ``old`` read and write bytes, ``recover`` and ``plan`` decide, none of them with I/O; ``port`` has the
file operations and ``log`` the journal itself.
"""

from lynxscale.relay.journal.format import Entry
from lynxscale.relay.journal.log import Journal, JournalFull

__all__ = ["Entry", "Journal", "JournalFull"]
