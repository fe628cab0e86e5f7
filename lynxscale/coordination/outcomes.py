"""The outcome of a submitted change."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum


class CommitOutcome(Enum):
    """The outcome of a submission; its callback is called with it exactly once."""

    COMMITTED = "committed"
    """Stored by every in-sync replica; every later primary has the change."""

    NOT_LEADER = "not_leader"
    """Never submitted, as this member is not the established primary. Safe to retry at the primary."""

    UNKNOWN = "unknown"
    """The member stopped leading first: a later primary may or may not have the change. Retry only if idempotent."""

    @property
    def committed(self) -> bool:
        """Is the change known to be committed?"""
        return self is CommitOutcome.COMMITTED


CommitCallback = Callable[[CommitOutcome], None]
