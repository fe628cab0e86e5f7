"""Transfers messages between processes of a relay: at a restart, and at an upgrade while both processes run."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

import structlog

from lynxscale.relay.exceptions import JournalFullError
from lynxscale.relay.journal import Entry
from lynxscale.relay.message import PendingMessage
from lynxscale.scheduling.events import Message, Withdrawn

if TYPE_CHECKING:
    from lynxscale.relay.core import Relay

log = structlog.get_logger()


class Recovery:
    """Takes over open messages from other processes of this relay, and releases messages to them."""

    def __init__(self, relay: Relay) -> None:
        self._relay = relay

    def replay(self, entries: Iterable[Entry]) -> None:
        """Take over the messages that an earlier process left open in this journal."""
        messages = [self._restore(entry) for entry in entries]
        self._relay.journal.assign_numbers({message.number: message.entry for message in messages})
        self._resume(messages)

    def adopt(self, entries: Iterable[Entry], on_journaled: Callable[[], None]) -> int:
        """Take over the open messages of another process's journal; the number of messages that were new here.

        ``on_journaled`` is called once this journal contains them all, before anything is sent. Raises JournalFullError
        or OSError if there is no space: then nothing is taken over, and messages that this journal contains already
        are recovered from it at the next start.
        """
        relay = self._relay
        messages: list[PendingMessage] = []
        try:
            for entry in entries:
                if entry.id not in relay.by_id:
                    message = self._restore(entry)
                    messages.append(message)
                    relay.journal.adopt(message.number, entry)
            on_journaled()
        except (JournalFullError, OSError):
            for message in messages:
                relay.write_journal(relay.journal.discard_adopted, message.number)
                relay.pending.remove(message.number)
                del relay.by_id[message.entry.id]
            raise
        self._resume(messages)
        return len(messages)

    def release(self) -> list[int]:
        """Release all messages without an attempt in flight to another process; returns their numbers in the journal.

        Nothing is written: the messages stay open in this journal until the other process has journaled them.
        """
        relay = self._relay
        numbers = []
        for message in [one for one in relay.pending.items() if _can_be_released(one)]:
            relay.put(Withdrawn(message.number))
            relay.deadlines.cancel(message.backstop)
            numbers.append(relay.journal.release(message.number))
            relay.pending.remove(message.number)
            del relay.by_id[message.entry.id]
            relay.released.add(message.entry.id)
        return numbers

    def _restore(self, entry: Entry) -> PendingMessage:
        relay = self._relay
        cls, tenant = relay.class_number(entry.class_name), relay.tenant_number(entry.tenant)
        if cls is None and entry.outcome is None:
            # The settings no longer define the class, so the message cannot be scheduled.
            entry.outcome = ("undeliverable", 0)
        now = relay.loop.now()
        message = PendingMessage(entry, cls=cls or 0, tenant=tenant or 0, attempts=entry.attempts, accepted_at=now)
        relay.register(message)
        return message

    def _resume(self, messages: list[PendingMessage]) -> None:
        """Resume messages of another process, which this journal contains."""
        relay = self._relay
        now, unix = relay.loop.now(), relay.unix_now()
        notices = 0
        for message in messages:
            entry = message.entry
            if relay.trace is not None:
                left = entry.expires - unix
                relay.trace.message(now, message.number, entry, message.cls, message.tenant, left, entry.attempts)
            if entry.outcome is not None:
                message.ended = True
                notices += 1
                relay.notices.enqueue(message.number, entry.id, *entry.outcome)
                continue
            relay.arm_backstop(message)
            relay.put(self._message_event(message, now, unix))
        if messages:
            relay.counters.add("taken", "replayed", len(messages))
            log.info("replayed", open=len(messages), notices=notices)

    def _message_event(self, message: PendingMessage, now: int, unix: int) -> Message:
        entry = message.entry
        return Message(
            message.number,
            entry.dest,
            message.cls,
            message.tenant,
            self._relay.end_times.end_time(message, now) / 1000,
            inherited=True,
            attempts=entry.attempts,
            maybe_executed_at=(now + min(entry.may_have_run) - unix) / 1000 if entry.may_have_run else 0.0,
        )


def _can_be_released(message: PendingMessage) -> bool:
    return not (message.in_flight or message.ended or message.admission_callbacks is not None)
