"""Messages of one key in an ordered class are delivered one at a time, in the order of their arrival."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lynxscale.scheduling.context import SchedulerContext
    from lynxscale.scheduling.message_queue import MessageQueue
    from lynxscale.scheduling.model import PendingMessage

PAUSE_MARGIN_MS = 1.0  # after the pause of a key


class KeySequencer:
    """Queues the first message of each key; the key pauses after an attempt that ended in doubt."""

    def __init__(self, context: SchedulerContext, queue: MessageQueue) -> None:
        self._context, self._queue = context, queue
        self._sequences: dict[int, deque[PendingMessage]] = {}  # by key
        self._paused_until: dict[int, float] = {}  # by key

    def add(self, message: PendingMessage) -> bool:
        """Append the message to those of its key. Is it the next to go?"""
        sequence = self._sequences.get(message.key)
        if sequence is None:
            sequence = self._sequences[message.key] = deque()
        sequence.append(message)
        return sequence[0] is message and message.key not in self._paused_until

    def remove(self, message: PendingMessage) -> None:
        """The message has ended: queue the next of its key, after a pause if an attempt ended in doubt."""
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
