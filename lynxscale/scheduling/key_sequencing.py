"""Key sequencing: messages of an ordered class with the same key are delivered one at a time, in arrival order."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lynxscale.scheduling.context import SchedulerContext
    from lynxscale.scheduling.message_queue import MessageQueue
    from lynxscale.scheduling.model import PendingMessage

PAUSE_MARGIN_MS = 1.0  # added to the pause of a key, so that it has ended when the timer fires


class KeySequencer:
    """Queues the first message of each key. A key pauses after an attempt whose outcome is in doubt."""

    def __init__(self, context: SchedulerContext, queue: MessageQueue) -> None:
        self._context, self._queue = context, queue
        self._sequences: dict[int, deque[PendingMessage]] = {}  # key: messages
        self._paused_until: dict[int, float] = {}  # key: end of the pause

    def add(self, message: PendingMessage) -> bool:
        """Append the message to the sequence of its key. Returns whether it may be queued now."""
        sequence = self._sequences.get(message.key)
        if sequence is None:
            sequence = self._sequences[message.key] = deque()
        sequence.append(message)
        return sequence[0] is message and message.key not in self._paused_until

    def remove(self, message: PendingMessage) -> None:
        """Remove an ended message and queue the next one of its key, after a pause if an attempt ended in doubt."""
        sequence = self._sequences[message.key]
        was_first = sequence[0] is message
        sequence.remove(message)
        if not was_first:
            return
        pause = self._context.settings.key_rest_ms or 0.0
        until = message.in_doubt_at + pause if message.in_doubt_at else 0.0
        if until >= self._context.now:
            self._paused_until[message.key] = until
            self._context.timers.schedule(until + PAUSE_MARGIN_MS, self._queue_next, message.key)
        elif message.key not in self._paused_until:
            self._queue_next(message.key)

    def _queue_next(self, key: int) -> None:
        if self._paused_until.get(key, 0.0) > self._context.now:
            return
        self._paused_until.pop(key, None)
        sequence = self._sequences.get(key)
        if not sequence:
            self._sequences.pop(key, None)
            return
        first = sequence[0]
        if not first.queued and first.attempt is None and not first.ended:
            self._queue.add(first)
