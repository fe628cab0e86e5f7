"""The journal: a write-ahead log of accepted messages, their attempts and their ends; docs/design/journal.md.

``format`` and ``old`` encode and decode bytes, ``recover`` and ``plan`` decide, none of them with I/O; ``port`` has the
file operations and ``log`` the journal itself.
"""

from lynxscale.relay.exceptions import JournalFullError
from lynxscale.relay.journal.format import Entry
from lynxscale.relay.journal.log import Journal

__all__ = ["Entry", "Journal", "JournalFullError"]
