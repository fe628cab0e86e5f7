"""Discovery as a source of lists: calls, its answers' form, and the watch for changes."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable

import orjson
import structlog
from twisted.python.failure import Failure

from lynxscale.relay import http_parser as http
from lynxscale.relay.conf.lexer import Fault
from lynxscale.relay.conf.platform import Address, PlatformError, address
from lynxscale.relay.counters import Counters
from lynxscale.relay.deadlines import Deadlines
from lynxscale.relay.net import connection as link
from lynxscale.relay.net.connection import Broken, Caller, Late
from lynxscale.relay.upstream.decide import compare
from lynxscale.relay.upstream.group import DISCOVERY, Group
from lynxscale.relay.upstream.model import DESTINATION_MOST, Candidate, Changes, Entry, Outcome, Verdict, finish
from lynxscale.relay.upstream.validation import Teller
from lynxscale.scheduling.events import Lifecycle, MembershipKind

log = structlog.get_logger()

PATH = "/catalog/members"
WAIT_MS = 10_000  # of each call, the first one, too; short enough to notice a discovery that says nothing
# Beyond the wait, until a watch counts as broken: 2 s, by which one that is overbooked has answered or given up with
# 503, and after which all that it has to tell counts as told. A grace for drains shorter than what a new call may take
# shortens it.
SLACK_MS, NEW_CALL_MS = 2000, 700
# Of an agent on this machine, where calls cost nothing: what is silent is asked again soon. What it gets while it is
# silent counts from the moment at which it speaks again, so it is asked often until then.
PUSHED_WAIT_MS, PUSHED_SLACK_MS, PUSHED_AGAIN_MS = 1000, 500, 250
SILENT_WAIT_MS, SILENT_SLACK_MS = 50, 200
WHOLE_MS = 5000  # for the whole list, which waits for nothing: one that is overbooked gives up sooner
LIFECYCLES = {"ready": Lifecycle.READY, "draining": Lifecycle.DRAINING}
GONE = "gone"


class Discovery:
    """Calls the directory at ``where`` and tells the group what it answers."""

    def __init__(
        self,
        reactor,
        deadlines: Deadlines,
        where: Address,
        group: Group,
        counters: Counters,
        teller: Teller,
        pushed: bool = False,
        grace_ms: float | None = None,
    ) -> None:
        self._reactor, self._deadlines = reactor, deadlines
        self._caller = Caller(reactor, deadlines, where, "group")
        self._group, self._counters, self._teller = group, counters, teller
        self._pushed = pushed  # to an agent on this machine, which is asked without the module's order
        self._slack = SLACK_MS if grace_ms is None else min(SLACK_MS, int(SLACK_MS + grace_ms) - NEW_CALL_MS)
        self._silent = 0  # calls in a row that had no answer in their time
        self._version = 0
        self._asked = False  # the module waits for the answer to its order
        self._watching = self._stopped = False
        self._moved = False  # the versions so far are another address's; the next answer must be whole

    def begin(self, known: dict) -> None:
        """The list as this relay last held it."""
        rows = known.get("instances")
        changes = self._changes(rows if isinstance(rows, list) else [])
        self._version = known.get("generation", 0)
        self._group.take(DISCOVERY, MembershipKind.CACHED, self._version, changes)
        if self._pushed:
            self.watch(True)

    def watch(self, active: bool) -> None:
        self._watching = active
        if active and self._moved:
            self.fetch()
        elif active:
            self._asked = not self._pushed
            self._go_on()
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
        self._watching, self._stopped = False, True
        self._caller.close(link.STOPPING)

    # Calls ---------------------------------------------------------------------------------------

    def _call(self, target: str, wait_ms: int) -> None:
        data = http.request("GET", target, self._caller.host)
        self._counters.add("group", "asked")
        slack = self._slack if wait_ms else WHOLE_MS
        if self._pushed:
            slack = SILENT_SLACK_MS if self._silent else PUSHED_SLACK_MS
        answer = self._caller.call(data, (wait_ms + slack) * 1000)
        answer.addCallbacks(self._answered, self._failed)

    def _go_on(self) -> None:
        wait = WAIT_MS
        if self._pushed:
            wait = SILENT_WAIT_MS if self._silent else PUSHED_WAIT_MS
        self._call(f"{PATH}?after={self._version}&wait_ms={wait}", wait)

    def _failed(self, failure: Failure | None) -> None:
        broken = failure.value if failure is not None and failure.check(Broken) else None
        late = isinstance(broken, Late)
        stopped = broken is not None and broken.spoilt  # half an answer, or none
        self._silent += late or stopped
        first = self._silent == 1
        if (late or stopped) and self._watching and not self._moved and (first or (late and self._pushed)):
            # Guards against a watch that has fallen silent: what it misses counts as told soon, whatever the module's
            # turn to ask is. A second silence in a row is discovery's own, and where calls cost it left to the module.
            self._counters.add("group", "silent")
            if first:
                log.warning("watch_silent", version=self._version)
            self._go_on()
            return
        again = self._watching and self._pushed
        self._watching = self._asked = False
        self._counters.add("group", "failed")
        if again:
            # Silent, or not there yet: it is asked on, whatever the module knows.
            self._deadlines.after(PUSHED_AGAIN_MS * 1000, self._again)
        else:
            self._group.failed(self._version)

    def _again(self) -> None:
        if not self._watching and not self._stopped:
            self.watch(True)

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
            changes = self._changes(rows)
        except (ValueError, KeyError, TypeError) as error:
            self._tell(Outcome.REJECTED, 0, response.body, [Fault(DISCOVERY, 0, "answer", str(error))], Changes())
            self._failed(None)
            return
        self._counters.add("group", "answers")
        self._moved, self._silent = False, 0
        self._version = version
        if self._watching:
            self._go_on()  # at once: the watch goes on only if the next call follows closely
        asked, self._asked = self._asked, False
        if asked or changes or whole:
            known = self._group.list_of(DISCOVERY)
            new = {id_: entry for id_, entry in changes if entry is not None}
            found = finish(compare(known if whole else {id_: known[id_] for id_, _ in changes if id_ in known}, new))
            if found:
                self._tell(Outcome.APPLIED, version, response.body, [], found)
            kind = MembershipKind.FULL if whole else MembershipKind.DELTA
            self._group.take(DISCOVERY, kind, version, changes, asked)
        else:
            self._group.told = True

    def _tell(self, outcome: Outcome, version: int, body: bytes, reasons: list[Fault], changes: Changes) -> None:
        candidate = Candidate(DISCOVERY, version, hashlib.sha256(body).hexdigest(), {}, {})
        self._teller.verdict(DISCOVERY, Verdict(candidate, outcome, reasons, changes))

    # Lists ---------------------------------------------------------------------------------------

    def _changes(self, rows: Iterable) -> list[tuple[str, Entry | None]]:
        found: list[tuple[str, Entry | None]] = []
        for row in rows:
            try:
                found.append(_entry(row))
            except (KeyError, TypeError, ValueError, PlatformError) as error:
                # Guards against one line of no use taking the whole list with it: what is known under its id stays.
                log.warning("list_line_unread", row=repr(row), error=str(error))
                self._counters.add("group", "bad_lines")
                name = row.get("instanceId") if isinstance(row, dict) else None
                known = self._group.list_of(DISCOVERY).get(name) if isinstance(name, str) else None
                if known is not None:
                    found.append((known.id, known))
        return found


def _entry(row: dict) -> tuple[str, Entry | None]:
    name, life = row["instanceId"], row["lifecycle"]
    if not isinstance(name, str):
        raise ValueError("instanceId is not a text")
    if life == GONE:
        return name, None
    weight, cell = float(row.get("weight", 0.0)), row.get("cell", 0)
    if not (math.isfinite(weight) and isinstance(cell, int) and 0 <= cell < DESTINATION_MOST):
        raise ValueError("weight or cell is out of range")
    zone, kind = row.get("zone"), row.get("machineType")
    return name, Entry(
        name,
        address(row["hostPort"], "hostPort"),
        cell,
        zone if isinstance(zone, str) else "",
        kind if isinstance(kind, str) else "",
        LIFECYCLES[life],
        weight,
    )
