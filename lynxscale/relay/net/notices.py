"""Sends notices of final outcomes to the platform until each is acknowledged with status 204."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import orjson
import structlog
from twisted.python.failure import Failure

from lynxscale.relay.conf.platform import Address
from lynxscale.relay.counters import Counters
from lynxscale.relay.deadlines import Deadline, Deadlines
from lynxscale.relay.exceptions import CallTimedOutError
from lynxscale.relay.http_parser import Response, request_bytes
from lynxscale.relay.net.close_reason import CloseReason
from lynxscale.relay.net.serial_client import SerialClient

log = structlog.get_logger()

PATH = "/v2/finals"
MAX_BATCH = 100  # notices per call
# The platform normally responds immediately, so a timeout suggests a dead connection: notices are resent on a new one,
# early enough for the outcome to arrive in time. The timeout doubles with each timeout in a row, as the platform may
# only be slow.
INITIAL_TIMEOUT_MS, MAX_TIMEOUT_MS = 200, 1000
INITIAL_BACKOFF_MS, MAX_BACKOFF_MS = 20, 500
IDLE_TIMEOUT_MS = 4000  # close an idle connection before the platform does


class Notices:
    """Sends notices in batches, one call at a time.

    ``on_acknowledged`` is called with the number of each message whose notice is acknowledged.
    """

    def __init__(
        self,
        reactor: Any,
        deadlines: Deadlines,
        address: Address,
        on_acknowledged: Callable[[int], None],
        counters: Counters,
        path: str = PATH,
    ) -> None:
        self._reactor, self._deadlines, self._path = reactor, deadlines, path
        self._client = SerialClient(reactor, deadlines, address, "notices")
        self._on_acknowledged, self._counters = on_acknowledged, counters
        self._pending: dict[int, bytes] = {}  # encoded notices by message number, oldest first
        self._batch: list[int] = []  # message numbers of the call in flight
        self._batch_limit = MAX_BATCH
        self._idle: Deadline | None = None
        self._backoff_ms, self._timeout_ms = INITIAL_BACKOFF_MS, INITIAL_TIMEOUT_MS
        self._scheduled = False

    def __len__(self) -> int:
        return len(self._pending)

    def enqueue(self, number: int, id: str, status: str, again_ms: int) -> None:
        """Queue a notice of a message's outcome. ``again_ms``: the time after which to submit it again, or 0."""
        notice: dict = {"id": id, "status": status}
        if again_ms > 0:
            notice["again_ms"] = again_ms
        self._pending[number] = orjson.dumps(notice) + b"\n"
        self._schedule(0)

    def move(self, address: Address) -> None:
        """Switch to another address of the platform. A batch in flight is resent there."""
        self._client.close(CloseReason.ADDRESS_CHANGED)
        self._deadlines.cancel(self._idle)
        self._client = SerialClient(self._reactor, self._deadlines, address, "notices")
        self._batch, self._backoff_ms = [], INITIAL_BACKOFF_MS
        if self._pending:
            self._schedule(0)

    def stop(self) -> None:
        """Close the connection. Unacknowledged notices stay in the journal."""
        self._client.close(CloseReason.STOPPING)

    def _schedule(self, delay: int) -> None:
        if not self._scheduled and not self._batch:
            self._scheduled = True
            self._deadlines.after(delay, self._send_batch)

    def _send_batch(self) -> None:
        self._scheduled = False
        if self._batch or not self._pending:
            return
        self._batch = list(self._pending)[: self._batch_limit]
        body = b"".join(self._pending[number] for number in self._batch)
        content_type = ("Content-Type", "application/x-ndjson")
        data = request_bytes("POST", self._path, self._client.host, (content_type,), body)
        self._deadlines.cancel(self._idle)
        response = self._client.call(data, self._timeout_ms * 1000)
        response.addCallbacks(self._answered, self._failed)

    def _answered(self, response: Response) -> None:
        batch, self._batch = self._batch, []
        self._timeout_ms = INITIAL_TIMEOUT_MS
        if response.status != 204:
            self._not_acknowledged(response.status, batch)
            return
        self._backoff_ms = INITIAL_BACKOFF_MS
        for number in batch:
            self._pending.pop(number)
            self._counters.add("notices", "delivered")
            self._on_acknowledged(number)
        if self._pending:
            self._schedule(0)
        else:
            self._batch_limit = MAX_BATCH
            self._idle = self._deadlines.after(IDLE_TIMEOUT_MS * 1000, self._client.close_idle, CloseReason.IDLE)

    def _not_acknowledged(self, status: int, batch: list[int]) -> None:
        log.warning("notices_not_acknowledged", status=status, notices=len(batch))
        if status == 400:
            # One of the notices is invalid: send them one by one, and move an invalid one to the end of the queue.
            self._batch_limit = 1
            if len(batch) == 1:
                self._pending[batch[0]] = self._pending.pop(batch[0])
        self._retry()

    def _failed(self, failure: Failure) -> None:
        self._batch = []
        if failure.check(CallTimedOutError):
            self._timeout_ms = min(self._timeout_ms * 2, MAX_TIMEOUT_MS)
        self._retry()

    def _retry(self) -> None:
        self._counters.add("notices", "sent_again")
        self._schedule(self._backoff_ms * 1000)
        self._backoff_ms = min(self._backoff_ms * 2, MAX_BACKOFF_MS)
