"""The upstream group: discovery's list of peers, watched for changes."""

from __future__ import annotations

import math
from collections.abc import Callable
from itertools import count

import orjson
import structlog
from twisted.python.failure import Failure

from gannetshift import interface as api
from lynxscale import http
from lynxscale.conf.platform import Address, PlatformError, address
from lynxscale.counters import Counters
from lynxscale.deadlines import Deadlines
from lynxscale.net import link
from lynxscale.net.link import Caller

log = structlog.get_logger()

PATH = "/catalog/members"
FIRST_WAIT_MS = 1  # a new watch is answered at once: what was missed comes first
WAIT_MS = 10_000  # of each further call; short enough to notice a discovery that says nothing
SLACK_MS = 1500  # beyond the wait, until a call counts as failed; discovery itself gives up sooner
LEFT_MS = 60_000  # a destination whose last endpoint left so long ago is one that no list knows
LIFECYCLES = {
    "ready": api.Lifecycle.READY, "draining": api.Lifecycle.DRAINING, "gone": api.Lifecycle.GONE,
}


class Group:
    def __init__(self, reactor, deadlines: Deadlines, where: Address, settings: api.Settings,
                 put: Callable[[object], None], counters: Counters,
                 on_gone: Callable[[int], None]) -> None:
        self._reactor, self._deadlines = reactor, deadlines
        self._caller = Caller(reactor, deadlines, where, "group")
        self._put, self._counters, self._on_gone = put, counters, on_gone
        self._kinds = {name: place for place, name in enumerate(settings.kinds)}
        self._zones = {name: place for place, name in enumerate(settings.zones)}
        # Of what is listed now. Guards against tables that grow with every endpoint that ever was: one that
        # has left is forgotten, and gets a new number should it come again.
        self._numbers: dict[str, int] = {}  # instanceId to the module's number
        self._names: dict[int, str] = {}
        self._addresses: dict[int, Address] = {}
        self._cells: dict[int, int] = {}  # the destination of each
        self._left: dict[int, int] = {}  # destinations with nobody listed, and since when
        self._next_number = count(1).__next__
        self.told = False  # discovery has answered in this process's life
        self._version = 0
        self._asked = False  # the module waits for the answer to its order
        self._watching = False
        self._moved = False  # the versions so far are another address's; the next answer must be whole

    def knows(self, cell: int) -> bool:
        """Does a list name this destination, or did one until lately?"""
        if cell in self._left and self._deadlines.now() - self._left[cell] > LEFT_MS * 1000:
            del self._left[cell]
        return cell in self._left or cell in self._cells.values()

    def name_of(self, endpoint: int) -> tuple[str, str] | None:
        """Its instanceId and address, while it is listed."""
        name, at = self._names.get(endpoint), self._addresses.get(endpoint)
        return (name, "{}:{}".format(*at)) if name is not None and at is not None else None

    def address_of(self, endpoint: int) -> Address | None:
        return self._addresses.get(endpoint)

    # Orders of the module ------------------------------------------------------------------------

    def begin(self, known: dict) -> None:
        """The list as this relay last held it."""
        rows = known.get("instances")
        members = self._members(rows if isinstance(rows, list) else [], True)
        self._version = known.get("generation", 0)
        self._put(api.Membership(api.ListKind.CACHED, self._version, members))

    def watch(self, active: bool) -> None:
        self._watching = active
        if active and self._moved:
            self.fetch()
        elif active:
            self._asked = True
            self._call(f"{PATH}?after={self._version}&wait_ms={FIRST_WAIT_MS}", FIRST_WAIT_MS)
        else:
            self._caller.drop(link.CANCELLED)

    def fetch(self) -> None:
        self._asked = True
        self._call(PATH, 0)

    def move(self, where: Address) -> None:
        """Discovery is at another address from now on: the whole list from there, then the watch."""
        self._caller.close(link.MOVED)
        self._caller = Caller(self._reactor, self._deadlines, where, "group")
        self._moved = True
        self.watch(True)

    def stop(self) -> None:
        self._watching = False
        self._caller.close(link.STOPPING)

    # Calls ---------------------------------------------------------------------------------------

    def _call(self, target: str, wait_ms: int) -> None:
        data = http.request("GET", target, self._caller.host)
        answer = self._caller.call(data, (wait_ms + SLACK_MS) * 1000)
        answer.addCallbacks(self._answered, self._failed)

    def _failed(self, _failure: Failure | None) -> None:
        self._watching = self._asked = False
        self._counters.add("group", "failed")
        self._put(api.Membership(api.ListKind.FAILED, self._version, []))  # the module asks again

    def _answered(self, response: http.Response) -> None:
        try:
            if response.status != 200:
                raise ValueError(f"status {response.status}")
            table = orjson.loads(response.body)
            version, whole, rows = table["generation"], table["reset"], table["instances"]
            if not (isinstance(version, int) and isinstance(whole, bool) and isinstance(rows, list)):
                raise ValueError("the answer's form is not a list's")
            if self._moved and not whole:
                raise ValueError("changes, where the whole list was asked for")
            members = self._members(rows, whole)
        except (ValueError, KeyError, TypeError) as error:
            log.warning("list_unread", error=str(error))
            self._failed(None)
            return
        self._counters.add("group", "answers")
        self._moved = False
        self.told = True
        if self._watching:
            # At once: the watch goes on only if the next call follows closely.
            self._call(f"{PATH}?after={version}&wait_ms={WAIT_MS}", WAIT_MS)
        self._version = version
        if self._asked or members or whole:
            self._asked = False
            kind = api.ListKind.FULL if whole else api.ListKind.DELTA
            self._put(api.Membership(kind, version, members))

    # Lists ---------------------------------------------------------------------------------------

    def _members(self, rows: list, whole: bool) -> list[api.Member]:
        members, named = [], set()
        for row in rows:
            try:
                members.append(self._member(row))
                named.add(members[-1].endpoint)
            except (KeyError, TypeError, ValueError, PlatformError) as error:
                # Guards against one line of no use taking the whole list with it.
                log.warning("list_line_unread", row=repr(row), error=str(error))
                self._counters.add("group", "bad_lines")
                name = row.get("instanceId") if isinstance(row, dict) else None
                named.add(self._numbers.get(name) if isinstance(name, str) else None)
        gone = [member.endpoint for member in members if member.lifecycle == api.Lifecycle.GONE]
        if whole:
            gone += [number for number in self._addresses if number not in named]
        if gone:
            self._forget(set(gone))
        return members

    def _forget(self, gone: set[int]) -> None:
        self._numbers = {name: number for name, number in self._numbers.items() if number not in gone}
        for number in gone:
            self._names.pop(number, None)
            self._addresses.pop(number, None)
            cell = self._cells.pop(number, None)
            if cell is not None and cell not in self._cells.values():
                self._left[cell] = self._deadlines.now()
            self._on_gone(number)

    def _member(self, row: dict) -> api.Member:
        name = row["instanceId"]
        life = LIFECYCLES[row["lifecycle"]]
        if not isinstance(name, str):
            raise ValueError("instanceId is not a text")
        weight, cell = float(row.get("weight", 0.0)), row.get("cell", 0)
        if not (math.isfinite(weight) and isinstance(cell, int) and 0 <= cell < 1 << 31):
            raise ValueError("weight or cell is out of range")
        number = self._numbers.get(name)
        if life == api.Lifecycle.GONE and number is None:
            raise ValueError("it was not listed")
        if life != api.Lifecycle.GONE:
            at = address(row["hostPort"], "hostPort")
            if number is None:
                number = self._numbers[name] = self._next_number()
            self._names[number], self._addresses[number], self._cells[number] = name, at, cell
        return api.Member(
            number, life, cell, self._zones.get(row.get("zone"), 0),
            self._kinds.get(row.get("machineType"), 0), weight,
        )
