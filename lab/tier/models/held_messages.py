"""Writes that take time: their begin and their end are two steps, and messages wait for the writes that they depend on.

A design for slow disks (``docs/design/slow-disks.md``), which the program does not implement yet. The acceptor's state
in memory changes as a write begins, so a promise restricts from then on; what the write allows leaves the member only
when it has ended.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable
from dataclasses import dataclass, field
from enum import Enum

from lab.tier.simulated_files import SimulatedFiles
from lynxscale.coordination.acceptor import Acceptor
from lynxscale.coordination.messages import EpochRecord, LeaseGrant, LeaseRequest, Message, encode

Sent = list[tuple[str, Message]]
"""Messages with the addresses of their receivers."""


class HoldRule(Enum):
    """Which messages wait for the writes that are under way. All rules but ``DEPENDENT`` are mistakes."""

    DEPENDENT = "dependent"
    """Those that depend on such a write: all but heartbeats and grants for a record that is stored."""
    GRANTS_LEAVE = "grants leave"
    """All but heartbeats and grants, also those for a record that is being written."""
    ALL_LEAVE = "all leave"
    """None."""


@dataclass
class PendingWrite:
    """A write that has begun. ``content``: that of the disk once it has ended; ``held``: the messages that wait."""

    content: dict[str, bytes]
    record: EpochRecord
    held: Sent = field(default_factory=list)


class WriteQueue:
    """The writes of one process, in order. ``stored_content`` and ``stored_record``: what has been written."""

    def __init__(self, files: SimulatedFiles, acceptor: Acceptor, rule: HoldRule) -> None:
        self.pending: deque[PendingWrite] = deque()
        self.stored_content = files.content()
        self.stored_record = acceptor.record
        self._files = files
        self._acceptor = acceptor
        self._rule = rule

    def run(self, handler: Callable[[], None], sent: Sent) -> None:
        """Call a handler, which may begin a write; take those messages out of ``sent`` that have to wait."""
        already_sent = len(sent)
        before = self._files.content()
        handler()
        after = self._files.content()
        if after != before:
            self.pending.append(PendingWrite(after, self._acceptor.record))
        if self.pending:
            new = sent[already_sent:]
            sent[already_sent:] = [entry for entry in new if self._may_leave(entry[1])]
            self.pending[-1].held += [entry for entry in new if not self._may_leave(entry[1])]

    def end_first(self) -> Sent:
        """End the oldest write; return the messages that waited for it."""
        write = self.pending.popleft()
        self.stored_content, self.stored_record = write.content, write.record
        return write.held

    def key(self) -> Hashable:
        """Equal for queues with equal behaviour from here on."""
        writes = tuple(
            (_content_key(write.content), tuple((to, encode(message)) for to, message in write.held))
            for write in self.pending
        )
        return _content_key(self.stored_content), writes

    def _may_leave(self, message: Message) -> bool:
        if self._rule is HoldRule.ALL_LEAVE:
            return True
        record_is_stored = self._acceptor.record == self.stored_record
        independent = isinstance(message, LeaseGrant | LeaseRequest)
        return independent and (record_is_stored or self._rule is HoldRule.GRANTS_LEAVE)


def _content_key(content: dict[str, bytes]) -> Hashable:
    return tuple(sorted(content.items()))
