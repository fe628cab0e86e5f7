"""The upstream group: discovery's list of peers, watched for changes."""

from __future__ import annotations

import logging
from collections.abc import Callable

import orjson
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from gannetshift import interface as api
from lynxscale import http
from lynxscale.config import Address, ConfigError, address
from lynxscale.counters import Counters
from lynxscale.deadlines import Deadline, Deadlines, Loop
from lynxscale.net import link
from lynxscale.net.link import Link

log = logging.getLogger("lynxscale")

PATH = "/catalog/members"
FIRST_WAIT_MS = 1  # a new watch is answered at once: what was missed comes first
WAIT_MS = 10_000  # of each further call; short enough to notice a discovery that says nothing
DIAL_MS = 2000
SLACK_MS = 2500  # beyond the wait, until a call counts as failed
LIFECYCLES = {
    "ready": api.Lifecycle.READY, "draining": api.Lifecycle.DRAINING, "gone": api.Lifecycle.GONE,
}


class Group:
    def __init__(self, reactor, loop: Loop, deadlines: Deadlines, where: Address, settings: api.Settings,
                 put: Callable[[object], None], counters: Counters) -> None:
        self._reactor, self._loop, self._deadlines, self._where = reactor, loop, deadlines, where
        self._put, self._counters = put, counters
        self._kinds = {name: place for place, name in enumerate(settings.kinds)}
        self._zones = {name: place for place, name in enumerate(settings.zones)}
        self._numbers: dict[str, int] = {}  # instanceId to the module's number, for the process's life
        self._addresses: dict[int, Address] = {}
        self._version = 0
        self._link: Link | None = None
        self._round = 0  # what belongs to an earlier round is not heard any more
        self._deadline: Deadline | None = None
        self._asked = False  # the module waits for the answer to its order
        self._watching = False

    def address_of(self, endpoint: int) -> Address | None:
        return self._addresses.get(endpoint)

    # Orders of the module ------------------------------------------------------------------------

    def begin(self, known: dict) -> None:
        """The list as this relay last held it."""
        members = self._members(known.get("instances", []))
        self._version = known.get("generation", 0)
        self._put(api.Membership(api.ListKind.CACHED, self._version, members))

    def watch(self, active: bool) -> None:
        self._drop(link.CANCELLED)
        self._watching = active
        if active:
            self._asked = True
            self._call(f"{PATH}?after={self._version}&wait_ms={FIRST_WAIT_MS}", FIRST_WAIT_MS)

    def fetch(self) -> None:
        self._drop(link.CANCELLED)
        self._asked = True
        self._call(PATH, 0)

    def stop(self) -> None:
        self._watching = False
        self._drop(link.STOPPING)

    # Calls ---------------------------------------------------------------------------------------

    def _drop(self, reason: str) -> None:
        self._round += 1
        self._deadlines.cancel(self._deadline)
        if self._link is not None and self._link.busy:
            self._link.forsake()
            self._link.drop(reason)

    def _call(self, target: str, wait_ms: int) -> None:
        self._round += 1
        data = http.request("GET", target, "{}:{}".format(*self._where))
        self._deadline = self._deadlines.after((wait_ms + SLACK_MS) * 1000, self._late, self._round)
        ready = self._link
        if ready is not None and ready.up and not ready.stale():
            self._send(ready, data, self._round)
            return
        if ready is not None:
            ready.drop(link.FAR_CLOSED)
        dialled: Deferred = link.dial(
            self._reactor, self._deadlines, DIAL_MS * 1000, self._where, lambda: Link("group")
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

    def _late(self, number: int) -> None:
        if number == self._round:
            self._drop(link.TIMED_OUT)
            self._failed(None, self._round)

    def _failed(self, _failure: Failure | None, number: int) -> None:
        if number != self._round:
            return
        self._round += 1
        self._deadlines.cancel(self._deadline)
        self._watching = self._asked = False
        self._counters.add("group", "failed")
        self._put(api.Membership(api.ListKind.FAILED, self._version, []))  # the module asks again

    def _answered(self, response: http.Response, number: int) -> None:
        if number != self._round:
            return
        self._deadlines.cancel(self._deadline)
        try:
            if response.status != 200:
                raise ValueError(f"status {response.status}")
            table = orjson.loads(response.body)
            members = self._members(table["instances"])
            version, whole = int(table["generation"]), bool(table["reset"])
        except (ValueError, KeyError, TypeError) as error:
            log.warning("discovery: %s", error)
            self._failed(None, number)
            return
        self._counters.add("group", "answers")
        if self._watching:
            # At once: the watch goes on only if the next call follows closely.
            self._call(f"{PATH}?after={version}&wait_ms={WAIT_MS}", WAIT_MS)
        self._version = version
        if self._asked or members or whole:
            self._asked = False
            kind = api.ListKind.FULL if whole else api.ListKind.DELTA
            self._put(api.Membership(kind, version, members))

    # Lists ---------------------------------------------------------------------------------------

    def _members(self, rows: list) -> list[api.Member]:
        members = []
        for row in rows:
            try:
                members.append(self._member(row))
            except (KeyError, TypeError, ValueError, ConfigError) as error:
                # Guards against one line of no use taking the whole list with it.
                log.warning("discovery: a line of no use: %r: %s", row, error)
                self._counters.add("group", "bad_lines")
        return members

    def _member(self, row: dict) -> api.Member:
        name = row["instanceId"]
        life = LIFECYCLES[row["lifecycle"]]
        if not isinstance(name, str):
            raise ValueError("instanceId is not a text")
        number = self._numbers.setdefault(name, len(self._numbers) + 1)
        if life != api.Lifecycle.GONE:
            self._addresses[number] = address(row["hostPort"], "hostPort")
        return api.Member(
            number, life, int(row.get("cell", 0)), self._zones.get(row.get("zone"), 0),
            self._kinds.get(row.get("machineType"), 0), float(row.get("weight", 0.0)),
        )
