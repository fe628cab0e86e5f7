"""A relay's cache of conversations that it has served: what it holds need not come from the primary again.

A kept turn never changes, so a history that was durable once stays true for as long as the primary knows its turn.
"""

from __future__ import annotations

from attrs import frozen

MOST_BYTES = 4_000_000


@frozen
class CachedHistory:
    """All inputs and outputs of a chain up to and with one turn, and the session of that turn."""

    session: str
    content: bytes


class HistoryCache:
    """Histories by their last turn. Those unused for longest go first, where there are more than so many bytes."""

    def __init__(self, most_bytes: int = MOST_BYTES) -> None:
        self._most_bytes = most_bytes
        self._bytes = 0
        self._histories: dict[str, CachedHistory] = {}  # by turn, the latest used last
        self._latest: dict[str, str] = {}  # the newest turn of a session

    def best_for(self, session: str, previous: str) -> str:
        """The cached turn that is likeliest in the chain of one that goes on from ``previous``; empty for none."""
        if not previous:
            return ""
        return previous if previous in self._histories else self._latest.get(session, "")

    def get(self, turn: str) -> bytes | None:
        """The history up to and with a turn, None where it is not cached any more."""
        found = self._histories.pop(turn, None)
        if found is None:
            return None
        self._histories[turn] = found
        return found.content

    def put(self, session: str, turn: str, content: bytes) -> None:
        """A turn has ended and is durable."""
        self._forget(turn)
        self._histories[turn] = CachedHistory(session, content)
        self._latest[session] = turn
        self._bytes += len(content)
        while self._bytes > self._most_bytes:
            self._forget(next(iter(self._histories)))

    def _forget(self, turn: str) -> None:
        gone = self._histories.pop(turn, None)
        if gone is None:
            return
        self._bytes -= len(gone.content)
        if self._latest.get(gone.session) == turn:
            del self._latest[gone.session]
