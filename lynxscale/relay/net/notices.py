"""Notices to the platform: each is sent again until it is answered with 204."""

from __future__ import annotations

from collections.abc import Callable

import orjson
import structlog
from twisted.python.failure import Failure

from lynxscale.relay import http_parser as http
from lynxscale.relay.conf.platform import Address
from lynxscale.relay.counters import Counters
from lynxscale.relay.deadlines import Deadline, Deadlines
from lynxscale.relay.net import connection as link
from lynxscale.relay.net.connection import Caller, Late

log = structlog.get_logger()

PATH = "/v2/finals"
BATCH = 100
# An answer comes at once, so that silence tells of a connection that has died unseen: what is owed goes again on a
# new one while its end is still in time. Longer from one silence to the next, as the platform may just be slow.
FIRST_WAIT_MS, MOST_WAIT_MS = 200, 1000
FIRST_REST_MS, MOST_REST_MS = 20, 500
IDLE_MS = 4000  # the platform may close an idle connection; ours goes first


class Notices:
    def __init__(
        self,
        reactor,
        deadlines: Deadlines,
        where: Address,
        on_done: Callable[[int], None],
        counters: Counters,
        path: str = PATH,
    ) -> None:
        self._reactor, self._deadlines, self._path = reactor, deadlines, path
        self._caller = Caller(reactor, deadlines, where, "notices")
        self._on_done, self._counters = on_done, counters
        self._owed: dict[int, bytes] = {}  # by message, oldest first
        self._batch: list[int] = []  # on its way
        self._most = BATCH
        self._idle: Deadline | None = None
        self._rest, self._wait = FIRST_REST_MS, FIRST_WAIT_MS
        self._planned = False

    def __len__(self) -> int:
        return len(self._owed)

    def owe(self, number: int, id: str, status: str, again_ms: int) -> None:
        notice: dict = {"id": id, "status": status}
        if again_ms > 0:
            notice["again_ms"] = again_ms
        self._owed[number] = orjson.dumps(notice) + b"\n"
        self._plan(0)

    def move(self, where: Address) -> None:
        """The platform listens elsewhere from now on. What was on its way may not be heard: it goes again."""
        self._caller.close(link.MOVED)
        self._deadlines.cancel(self._idle)
        self._caller = Caller(self._reactor, self._deadlines, where, "notices")
        self._batch, self._rest = [], FIRST_REST_MS
        if self._owed:
            self._plan(0)

    def stop(self) -> None:
        self._caller.close(link.STOPPING)

    def _plan(self, micros: int) -> None:
        if not self._planned and not self._batch:
            self._planned = True
            self._deadlines.after(micros, self._go)

    def _go(self) -> None:
        self._planned = False
        if self._batch or not self._owed:
            return
        self._batch = list(self._owed)[: self._most]
        body = b"".join(self._owed[number] for number in self._batch)
        kind = ("Content-Type", "application/x-ndjson")
        data = http.request("POST", self._path, self._caller.host, (kind,), body)
        self._deadlines.cancel(self._idle)
        answer = self._caller.call(data, self._wait * 1000)
        answer.addCallbacks(self._answered, self._failed)

    def _answered(self, response: http.Response) -> None:
        done, self._batch = self._batch, []
        self._wait = FIRST_WAIT_MS
        if response.status != 204:
            self._unheard(response.status, done)
            return
        self._rest = FIRST_REST_MS
        for number in done:
            self._owed.pop(number)
            self._counters.add("notices", "delivered")
            self._on_done(number)
        if self._owed:
            self._plan(0)
        else:
            self._most = BATCH
            self._idle = self._deadlines.after(IDLE_MS * 1000, self._caller.close_idle, link.IDLE)

    def _unheard(self, status: int, batch: list[int]) -> None:
        log.warning("notices_unheard", status=status, notices=len(batch))
        if status == 400:
            # Guards against one that cannot be read holding up all others: singly, and it goes last.
            self._most = 1
            if len(batch) == 1:
                self._owed[batch[0]] = self._owed.pop(batch[0])
        self._again()

    def _failed(self, failure: Failure) -> None:
        self._batch = []
        if failure.check(Late):
            self._wait = min(self._wait * 2, MOST_WAIT_MS)
        self._again()

    def _again(self) -> None:
        self._counters.add("notices", "sent_again")
        self._plan(self._rest * 1000)
        self._rest = min(self._rest * 2, MOST_REST_MS)
