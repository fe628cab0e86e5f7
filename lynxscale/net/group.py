"""The upstream group: discovery's list of peers, watched for changes."""

from __future__ import annotations

import logging
from collections.abc import Callable

import orjson
from twisted.python.failure import Failure

from gannetshift import interface as api
from lynxscale import http
from lynxscale.config import Address, ConfigError, address
from lynxscale.counters import Counters
from lynxscale.deadlines import Deadlines
from lynxscale.net import link
from lynxscale.net.link import Caller

log = logging.getLogger("lynxscale")

PATH = "/catalog/members"
FIRST_WAIT_MS = 1  # a new watch is answered at once: what was missed comes first
WAIT_MS = 10_000  # of each further call; short enough to notice a discovery that says nothing
SLACK_MS = 1500  # beyond the wait, until a call counts as failed; discovery itself gives up sooner
LIFECYCLES = {
    "ready": api.Lifecycle.READY, "draining": api.Lifecycle.DRAINING, "gone": api.Lifecycle.GONE,
}


class Group:
    def __init__(self, reactor, deadlines: Deadlines, where: Address, settings: api.Settings,
                 put: Callable[[object], None], counters: Counters) -> None:
        self._reactor, self._deadlines = reactor, deadlines
        self._caller = Caller(reactor, deadlines, where, "group")
        self._put, self._counters = put, counters
        self._kinds = {name: place for place, name in enumerate(settings.kinds)}
        self._zones = {name: place for place, name in enumerate(settings.zones)}
        self._numbers: dict[str, int] = {}  # instanceId to the module's number, for the process's life
        self._addresses: dict[int, Address] = {}
        self._version = 0
        self._asked = False  # the module waits for the answer to its order
        self._watching = False
        self._moved = False  # the versions so far are another address's; the next answer must be whole

    def address_of(self, endpoint: int) -> Address | None:
        return self._addresses.get(endpoint)

    # Orders of the module ------------------------------------------------------------------------

    def begin(self, known: dict) -> None:
        """The list as this relay last held it."""
        members = self._members(known.get("instances", []))
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
            members = self._members(table["instances"])
            version, whole = int(table["generation"]), bool(table["reset"])
            if self._moved and not whole:
                raise ValueError("changes, where the whole list was asked for")
        except (ValueError, KeyError, TypeError) as error:
            log.warning("discovery: %s", error)
            self._failed(None)
            return
        self._counters.add("group", "answers")
        self._moved = False
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
