"""What became of a submitted change."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum


class CommitOutcome(Enum):
    """The result that a submitter is notified of, exactly once per submission."""

    COMMITTED = "committed"
    """Stored by every replica that counts; no later primary can lack it."""

    NOT_LEADER = "not_leader"
    """Never submitted, as this member is not the established primary. Safe to retry at the primary."""

    UNKNOWN = "unknown"
    """The lead ended first: a later primary may or may not have the change. Retry only what is idempotent."""

    @property
    def committed(self) -> bool:
        """Is the change known to be committed?"""
        return self is CommitOutcome.COMMITTED


CommitCallback = Callable[[CommitOutcome], None]
