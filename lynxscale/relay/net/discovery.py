"""Client of the discovery service: fetches endpoint lists, parses them, and watches for changes by long polling."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable
from typing import Any

import orjson
import structlog
from twisted.python.failure import Failure

from lynxscale.relay.conf.lexer import Fault
from lynxscale.relay.conf.platform import Address, PlatformError, address
from lynxscale.relay.counters import Counters
from lynxscale.relay.deadlines import Deadlines
from lynxscale.relay.exceptions import CallFailedError, CallTimedOutError
from lynxscale.relay.http_parser import Response, request_bytes
from lynxscale.relay.net.close_reason import CloseReason
from lynxscale.relay.net.serial_client import SerialClient
from lynxscale.relay.upstream.group import DISCOVERY, Group
from lynxscale.relay.upstream.model import (
    MAX_DESTINATIONS,
    CandidateList,
    Endpoint,
    ListChanges,
    ListOutcome,
    ListVerdict,
    run_to_end,
)
from lynxscale.relay.upstream.validation import compare
from lynxscale.relay.upstream.verdict_reporter import VerdictReporter
from lynxscale.scheduling.events import Lifecycle, MembershipKind

log = structlog.get_logger()

PATH = "/catalog/members"
LONG_POLL_WAIT_MS = 10_000  # wait time of each long poll; short enough to detect an unresponsive service
# A watch counts as broken if it has no response within the wait time and this slack. An overloaded service responds,
# or rejects with 503, within 2 s; after 2 s every change also counts as reported to the relay. A short grace period of
# draining endpoints reduces the slack, so that a new call can complete before that period ends.
WATCH_SLACK_MS, MAX_NEW_CALL_MS = 2000, 700
# For an agent on this machine, whose calls are cheap. An unresponsive agent is polled often, because changes that it
# has received count as reported to the relay from the moment at which it responds again.
PUSHED_WAIT_MS, PUSHED_SLACK_MS, PUSHED_RETRY_MS = 1000, 500, 250
UNRESPONSIVE_WAIT_MS, UNRESPONSIVE_SLACK_MS = 50, 200
COMPLETE_LIST_TIMEOUT_MS = 5000  # the complete list is sent without a wait; an overloaded service rejects sooner
LIFECYCLES = {"ready": Lifecycle.READY, "draining": Lifecycle.DRAINING}
GONE = "gone"

Change = tuple[str, Endpoint | None]  # an endpoint's id and its entry, None if the endpoint was removed


class Discovery:
    """Calls the service at ``address`` and passes the lists that it returns to the group.

    ``pushed``: the service is an agent on this machine, which is watched without an order of the scheduler.
    ``grace_ms``: the grace period of draining endpoints.
    """

    def __init__(
        self,
        reactor: Any,
        deadlines: Deadlines,
        address: Address,
        group: Group,
        counters: Counters,
        reporter: VerdictReporter,
        pushed: bool = False,
        grace_ms: float | None = None,
    ) -> None:
        self._reactor, self._deadlines = reactor, deadlines
        self._client = SerialClient(reactor, deadlines, address, "group")
        self._group, self._counters, self._reporter = group, counters, reporter
        self._pushed = pushed
        self._slack_ms = (
            WATCH_SLACK_MS
            if grace_ms is None
            else min(WATCH_SLACK_MS, int(WATCH_SLACK_MS + grace_ms) - MAX_NEW_CALL_MS)
        )
        self._unanswered = 0  # number of calls in a row without a valid response in time
        self._version = 0
        self._fetching = False  # the scheduler ordered this call and waits for its response
        self._watching = self._stopped = False
        self._address_changed = False  # since the last response: the next one must be a complete list

    def begin(self, known: dict) -> None:
        """Start with the endpoint list of the last run, given in the form of a response."""
        rows = known.get("instances")
        changes = self._changes(rows if isinstance(rows, list) else [])
        self._version = known.get("generation", 0)
        self._group.update(DISCOVERY, MembershipKind.CACHED, self._version, changes)
        if self._pushed:
            self.watch(True)

    def watch(self, active: bool) -> None:
        """Subscribe to changes by long polling, or unsubscribe."""
        self._watching = active
        if active and self._address_changed:
            self.fetch()
        elif active:
            self._fetching = not self._pushed
            self._poll()
        else:
            self._client.drop(CloseReason.CANCELLED)

    def fetch(self) -> None:
        """Request the complete list once."""
        self._fetching = True
        self._call(PATH, 0)

    def move(self, address: Address) -> None:
        """Switch to another address of the service: request the complete list there, then watch for changes."""
        self._client.close(CloseReason.ADDRESS_CHANGED)
        self._client = SerialClient(self._reactor, self._deadlines, address, "group")
        self._address_changed = True
        self.watch(True)

    def stop(self) -> None:
        """Close the connection."""
        self._watching, self._stopped = False, True
        self._client.close(CloseReason.STOPPING)

    # Calls ---------------------------------------------------------------------------------------

    def _call(self, target: str, wait_ms: int) -> None:
        data = request_bytes("GET", target, self._client.host)
        self._counters.add("group", "asked")
        slack_ms = self._slack_ms if wait_ms else COMPLETE_LIST_TIMEOUT_MS
        if self._pushed:
            slack_ms = UNRESPONSIVE_SLACK_MS if self._unanswered else PUSHED_SLACK_MS
        response = self._client.call(data, (wait_ms + slack_ms) * 1000)
        response.addCallbacks(self._answered, self._failed)

    def _poll(self) -> None:
        wait_ms = LONG_POLL_WAIT_MS
        if self._pushed:
            wait_ms = UNRESPONSIVE_WAIT_MS if self._unanswered else PUSHED_WAIT_MS
        self._call(f"{PATH}?after={self._version}&wait_ms={wait_ms}", wait_ms)

    def _failed(self, failure: Failure | None) -> None:
        error = None if failure is None else failure.value
        timed_out = isinstance(error, CallTimedOutError)
        malformed = isinstance(error, CallFailedError) and error.malformed  # truncated or invalid response
        self._unanswered += timed_out or malformed
        first = self._unanswered == 1
        if (
            (timed_out or malformed)
            and self._watching
            and not self._address_changed
            and (first or (timed_out and self._pushed))
        ):
            # Reopen a watch that got no response: changes that it misses soon count as reported to the relay, even if
            # the scheduler orders the next call later. A second failure in a row points to the service itself: then
            # only an agent on this machine, whose calls are cheap, is polled without an order of the scheduler.
            self._counters.add("group", "silent")
            if first:
                log.warning("watch_timed_out", version=self._version)
            self._poll()
            return
        retry = self._watching and self._pushed
        self._watching = self._fetching = False
        self._counters.add("group", "failed")
        if retry:
            # The agent is unresponsive or not started yet: keep polling, independently of the scheduler.
            self._deadlines.after(PUSHED_RETRY_MS * 1000, self._retry)
        else:
            self._group.failed(self._version)

    def _retry(self) -> None:
        if not self._watching and not self._stopped:
            self.watch(True)

    def _answered(self, response: Response) -> None:
        try:
            version, complete, changes = self._parse(response)
        except (ValueError, KeyError, TypeError) as error:
            self._report(
                ListOutcome.REJECTED, 0, response.body, [Fault(DISCOVERY, 0, "answer", str(error))], ListChanges()
            )
            self._failed(None)
            return
        self._counters.add("group", "answers")
        self._address_changed, self._unanswered = False, 0
        self._version = version
        if self._watching:
            self._poll()  # immediately, as the watch continues only if the next call follows closely
        fetching, self._fetching = self._fetching, False
        if fetching or changes or complete:
            self._report_differences(version, complete, changes, response.body)
            kind = MembershipKind.FULL if complete else MembershipKind.DELTA
            self._group.update(DISCOVERY, kind, version, changes, fetching)
        else:
            self._group.has_list = True

    def _parse(self, response: Response) -> tuple[int, bool, list[Change]]:
        """The version, whether the list is complete, and its entries. Raises ValueError, KeyError or TypeError."""
        if response.status != 200:
            raise ValueError(f"status {response.status}")
        table = orjson.loads(response.body)
        version, complete, rows = table["generation"], table["reset"], table["instances"]
        if not (isinstance(version, int) and isinstance(complete, bool) and isinstance(rows, list)):
            raise ValueError("generation, reset or instances has the wrong type")
        if self._address_changed and not complete:
            raise ValueError("want the complete list, not changes")
        return version, complete, self._changes(rows)

    def _report_differences(self, version: int, complete: bool, changes: list[Change], body: bytes) -> None:
        known = self._group.list_of(DISCOVERY)
        new = {id_: entry for id_, entry in changes if entry is not None}
        old = known if complete else {id_: known[id_] for id_, _ in changes if id_ in known}
        differences = run_to_end(compare(old, new))
        if differences:
            self._report(ListOutcome.APPLIED, version, body, [], differences)

    def _report(
        self, outcome: ListOutcome, version: int, body: bytes, reasons: list[Fault], changes: ListChanges
    ) -> None:
        candidate = CandidateList(DISCOVERY, version, hashlib.sha256(body).hexdigest(), {}, {})
        self._reporter.report(DISCOVERY, ListVerdict(candidate, outcome, reasons, changes))

    # Lists ---------------------------------------------------------------------------------------

    def _changes(self, rows: Iterable) -> list[Change]:
        found: list[Change] = []
        for row in rows:
            try:
                found.append(_change_of(row))
            except (KeyError, TypeError, ValueError, PlatformError) as error:
                # An invalid entry does not invalidate the list: a known endpoint with its id keeps its entry.
                log.warning("list_entry_invalid", row=repr(row), error=str(error))
                self._counters.add("group", "bad_lines")
                name = row.get("instanceId") if isinstance(row, dict) else None
                known = self._group.list_of(DISCOVERY).get(name) if isinstance(name, str) else None
                if known is not None:
                    found.append((known.id, known))
        return found


def _change_of(row: dict) -> Change:
    name, lifecycle = row["instanceId"], row["lifecycle"]
    if not isinstance(name, str):
        raise ValueError("instanceId is not a text")
    if lifecycle == GONE:
        return name, None
    weight, destination = float(row.get("weight", 0.0)), row.get("cell", 0)
    if not (math.isfinite(weight) and isinstance(destination, int) and 0 <= destination < MAX_DESTINATIONS):
        raise ValueError("weight or cell is out of range")
    zone, kind = row.get("zone"), row.get("machineType")
    return name, Endpoint(
        name,
        address(row["hostPort"], "hostPort"),
        destination,
        zone if isinstance(zone, str) else "",
        kind if isinstance(kind, str) else "",
        LIFECYCLES[lifecycle],
        weight,
    )
