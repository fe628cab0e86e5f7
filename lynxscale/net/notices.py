"""Notices to the platform: each is sent again until it is answered with 204."""

from __future__ import annotations

import logging
from collections.abc import Callable

import orjson
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from lynxscale import http
from lynxscale.config import Address
from lynxscale.counters import Counters
from lynxscale.deadlines import Deadline, Deadlines
from lynxscale.net import link
from lynxscale.net.link import Link

log = logging.getLogger("lynxscale")

PATH = "/v2/finals"
BATCH = 100
TIMEOUT_MS = 1000
FIRST_REST_MS, MOST_REST_MS = 20, 500
IDLE_MS = 4000  # the platform may close an idle connection; ours goes first


class Notices:
    def __init__(self, reactor, deadlines: Deadlines, where: Address,
                 on_done: Callable[[int], None], counters: Counters) -> None:
        self._reactor, self._deadlines, self._where = reactor, deadlines, where
        self._on_done, self._counters = on_done, counters
        self._owed: dict[int, bytes] = {}  # by message, oldest first
        self._batch: list[int] = []  # on its way
        self._most = BATCH
        self._link: Link | None = None
        self._round = 0
        self._deadline: Deadline | None = None
        self._idle: Deadline | None = None
        self._rest = FIRST_REST_MS
        self._planned = False

    def __len__(self) -> int:
        return len(self._owed)

    def owe(self, number: int, id: str, status: str, again_ms: int) -> None:
        notice: dict = {"id": id, "status": status}
        if again_ms > 0:
            notice["again_ms"] = again_ms
        self._owed[number] = orjson.dumps(notice) + b"\n"
        self._plan(0)

    def stop(self) -> None:
        self._end_round(link.STOPPING)

    def _plan(self, micros: int) -> None:
        if not self._planned and not self._batch:
            self._planned = True
            self._deadlines.after(micros, self._go)

    def _go(self) -> None:
        self._planned = False
        if self._batch or not self._owed:
            return
        self._round += 1
        self._batch = list(self._owed)[: self._most]
        body = b"".join(self._owed[number] for number in self._batch)
        data = http.request("POST", PATH, "{}:{}".format(*self._where),
                            (("Content-Type", "application/x-ndjson"),), body)
        self._deadlines.cancel(self._idle)
        self._deadline = self._deadlines.after(TIMEOUT_MS * 1000, self._late, self._round)
        ready = self._link
        if ready is not None and ready.up and not ready.stale():
            self._send(ready, data, self._round)
            return
        dialled: Deferred = link.dial(
            self._reactor, self._deadlines, TIMEOUT_MS * 1000, self._where, lambda: Link("notices")
        )
        dialled.addCallbacks(self._connected, self._failed, (data, self._round), None, (self._round,))

    def _connected(self, ready: Link, data: bytes, number: int) -> None:
        if number != self._round:
            ready.drop(link.CANCELLED)
            return
        self._link = ready
        self._send(ready, data, number)

    def _send(self, ready: Link, data: bytes, number: int) -> None:
        answer = ready.call(data)
        answer.addCallbacks(self._answered, self._failed, (number,), None, (number,))

    def _answered(self, response: http.Response, number: int) -> None:
        if number != self._round:
            return
        if response.status != 204:
            log.warning("notices: status %d for %d of them", response.status, len(self._batch))
            if len(self._batch) == 1:
                # Guards against one that cannot be read holding up all behind it.
                self._owed[self._batch[0]] = self._owed.pop(self._batch[0])
            self._most = 1 if response.status == 400 else self._most
            self._failed(None, number)
            return
        done, self._batch = self._batch, []
        self._deadlines.cancel(self._deadline)
        self._rest = FIRST_REST_MS
        if self._most < BATCH and not any(n not in done for n in self._owed):
            self._most = BATCH
        for gone in done:
            self._owed.pop(gone)
            self._counters.add("notices", "delivered")
            self._on_done(gone)
        if self._owed:
            self._plan(0)
        else:
            self._idle = self._deadlines.after(IDLE_MS * 1000, self._close_idle)

    def _close_idle(self) -> None:
        if self._link is not None and not self._link.busy:
            self._link.drop(link.IDLE)

    def _late(self, number: int) -> None:
        if number == self._round:
            self._end_round(link.TIMED_OUT)
            self._again()

    def _failed(self, _failure: Failure | None, number: int) -> None:
        if number == self._round:
            self._end_round(link.MALFORMED)
            self._again()

    def _end_round(self, reason: str) -> None:
        self._round += 1
        self._deadlines.cancel(self._deadline)
        if self._link is not None and self._link.busy:
            self._link.forsake()
            self._link.drop(reason)
        self._batch = []

    def _again(self) -> None:
        self._counters.add("notices", "sent_again")
        self._plan(self._rest * 1000)
        self._rest = min(self._rest * 2, MOST_REST_MS)
