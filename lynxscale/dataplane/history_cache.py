"""A relay's cache of conversation histories, so that the primary sends only the turns that the relay lacks.

A history is valid for as long as the primary retains its last turn as it was stored by the same run. A client that
did not get the end of a turn may send the turn again under its id, so that another run of it is stored.
"""

from __future__ import annotations

from attrs import frozen

DEFAULT_MAX_BYTES = 4_000_000


@frozen
class CachedHistory:
    """The inputs and outputs of a chain of turns, concatenated, and the session and the run of its last turn."""

    session: str
    run_id: str
    content: bytes


class HistoryCache:
    """Histories by the id of their last turn; the least recently used are evicted beyond ``max_bytes`` of content."""

    def __init__(self, max_bytes: int = DEFAULT_MAX_BYTES) -> None:
        self._max_bytes = max_bytes
        self._bytes = 0
        self._histories: dict[str, CachedHistory] = {}  # by the id of the last turn, most recently used last
        self._newest_turn: dict[str, str] = {}  # turn id by session

    def best_match(self, session: str, previous_turn: str) -> str:
        """Return the cached turn that is most likely part of the chain up to ``previous_turn``; empty for none."""
        if not previous_turn:
            return ""
        return previous_turn if previous_turn in self._histories else self._newest_turn.get(session, "")

    def get(self, turn: str) -> CachedHistory | None:
        """Return the history up to and including a turn, None if it is not cached."""
        found = self._histories.pop(turn, None)
        if found is None:
            return None
        self._histories[turn] = found
        return found

    def put(self, session: str, turn: str, run_id: str, content: bytes) -> None:
        """Add the history that ends with a durable turn."""
        self._evict(turn)
        self._histories[turn] = CachedHistory(session, run_id, content)
        self._newest_turn[session] = turn
        self._bytes += len(content)
        while self._bytes > self._max_bytes:
            self._evict(next(iter(self._histories)))

    def _evict(self, turn: str) -> None:
        evicted = self._histories.pop(turn, None)
        if evicted is None:
            return
        self._bytes -= len(evicted.content)
        if self._newest_turn.get(evicted.session) == turn:
            del self._newest_turn[evicted.session]
