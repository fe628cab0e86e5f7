"""Texts of conversations that a relay has served: what it holds need not come from the primary again.

A kept turn never changes, so a text that was durable once stays true for as long as the primary knows its turn.
"""

from __future__ import annotations

from attrs import frozen

MOST_BYTES = 4_000_000


@frozen
class HeldText:
    """The text of a chain up to and with one turn, and the session of that turn."""

    session: str
    content: bytes


class ConversationTexts:
    """Each text is all inputs and outputs of a chain up to and with its turn. The ones unused for longest go first."""

    def __init__(self, most_bytes: int = MOST_BYTES) -> None:
        self._most_bytes = most_bytes
        self._bytes = 0
        self._texts: dict[str, HeldText] = {}  # by turn, the latest used last
        self._latest: dict[str, str] = {}  # the newest turn of a session

    def held(self, session: str, previous: str) -> str:
        """The turn to tell that is held, for one that goes on from ``previous``; empty for none."""
        if not previous:
            return ""
        return previous if previous in self._texts else self._latest.get(session, "")

    def text(self, turn: str) -> bytes | None:
        """The text up to and with a turn, None where it is not held any more."""
        found = self._texts.pop(turn, None)
        if found is None:
            return None
        self._texts[turn] = found
        return found.content

    def keep(self, session: str, turn: str, content: bytes) -> None:
        """A turn has ended and is durable."""
        self._forget(turn)
        self._texts[turn] = HeldText(session, content)
        self._latest[session] = turn
        self._bytes += len(content)
        while self._bytes > self._most_bytes:
            self._forget(next(iter(self._texts)))

    def _forget(self, turn: str) -> None:
        gone = self._texts.pop(turn, None)
        if gone is None:
            return
        self._bytes -= len(gone.content)
        if self._latest.get(gone.session) == turn:
            del self._latest[gone.session]
