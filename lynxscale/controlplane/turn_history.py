"""Retained turns of conversations, as records of the replicated store. Each turn names the previous turn."""

from __future__ import annotations

import msgspec

from lynxscale.controlplane.exceptions import SupersededRunError, TurnNotFoundError
from lynxscale.controlplane.retention import RetentionTracker
from lynxscale.controlplane.running_turns import RunningTurns
from lynxscale.coordination.messages import FinishTurn, Put, TurnAdmitted, put_value

TURN_PREFIX = "turn/"
RETENTION_MARGIN_S = 30.0  # clients count retention from the end of the response, which follows the record
MAX_CHAIN_TURNS = 10_000  # guards against a cycle of records


class TurnRecord(msgspec.Struct):
    """A retained turn: its input and output, and the id of the previous turn, empty for none.

    ``run_id``: the run that generated the output; unset if its relay's program did not state it.

    ``msgspec.field`` gives the stored names; data folders of earlier versions contain them.
    """

    content: bytes
    previous: str = ""
    retention_s: float = msgspec.field(default=0.0, name="keep_s")
    run_id: str | msgspec.UnsetType = msgspec.UNSET


class StoredRun(msgspec.Struct):
    """The run of a ``TurnRecord``, without its content."""

    run_id: str | msgspec.UnsetType = msgspec.UNSET


class TurnHistory:
    """Records turns and composes histories.

    ``values`` are the store's entries in memory. Methods return changes as puts and apply none.
    """

    def __init__(self, values: dict[str, msgspec.Raw], retention: RetentionTracker, running: RunningTurns) -> None:
        self._values = values
        self._retention = retention
        self._running = running

    def compose(self, last: str, cached: str, cached_run: str | msgspec.UnsetType) -> TurnAdmitted:
        """Return the contents of the chain of turns up to ``last``, oldest first; nothing if ``last`` is empty.

        If turn ``cached`` is part of the chain and stored by run ``cached_run``, only the turns after it are returned,
        as the relay has the rest. A turn is retained for as long as any that continues from it, so no turn before a
        retained one is missing. Raises TurnNotFoundError.
        """
        contents: list[bytes] = []
        turn = last
        while turn:
            raw = self._values.get(turn_key(turn))
            if raw is None or len(contents) > MAX_CHAIN_TURNS:
                raise TurnNotFoundError(turn)
            if turn == cached and msgspec.json.decode(raw, type=StoredRun).run_id == cached_run:
                break
            record = msgspec.json.decode(raw, type=TurnRecord)
            contents.append(record.content)
            turn = record.previous
        return TurnAdmitted(b"".join(reversed(contents)), turn)

    def record(self, request: FinishTurn) -> tuple[Put, ...]:
        """Return the puts that retain a completed turn; none if it need not be retained.

        Raises SupersededRunError, and TurnNotFoundError if the previous turn is gone: nobody could continue from this
        one.
        """
        if request.content is None:
            return ()
        retention_s = request.retention_s + RETENTION_MARGIN_S
        record = TurnRecord(request.content, request.previous, retention_s, request.run_id)
        key = turn_key(request.request)
        self._check_run(key, request)
        if request.previous and turn_key(request.previous) not in self._values:
            raise TurnNotFoundError(request.previous)
        self._retention.retain(key, record.retention_s, turn_key(request.previous))
        return (put_value(key, record),)

    def _check_run(self, key: str, request: FinishTurn) -> None:
        """Raise SupersededRunError if the turn is retained with another content, or another run of it may be.

        A client has the response of the run that was admitted last. The end of an earlier one may arrive late, from a
        relay that was frozen. What another turn continues is never replaced: its client has that response.
        """
        stored = self._values.get(key)
        if stored is not None:
            retained = msgspec.json.decode(stored, type=TurnRecord)
            if (retained.content, retained.previous) == (request.content, request.previous):
                return
            if self._retention.has_children(key) or self._running.is_continued(request.request):
                raise SupersededRunError(request.request)
        latest_run = self._running.latest_run(request.request)
        run_id = request.run_id if isinstance(request.run_id, str) else None
        if run_id != latest_run and (stored is not None or latest_run is not None):
            raise SupersededRunError(request.request)


def turn_key(turn: str) -> str:
    """Return the key of a turn in the store; empty for no turn."""
    return TURN_PREFIX + turn if turn else ""
