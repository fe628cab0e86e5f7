"""Peer connections, tries and probes."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from gannetshift import interface as api
from gannetshift.interface import Result
from lynxscale import http
from lynxscale.deadlines import Deadline, Deadlines, Loop
from lynxscale.net import link
from lynxscale.net.link import Broken, Link
from lynxscale.slots import Slots

if TYPE_CHECKING:
    from lynxscale.relay import Held, Relay

IDLE_SHARE = 0.9  # of the time after which a peer closes an idle connection: ours goes first
IDLE_MS = 15_000.0  # where the settings tell none
DIAL_MS, PROBE_MS = 1500.0, 1500.0
NEVER_RAN_STATUS = {429: Result.FULL, 503: Result.FULL, 504: Result.MOOT, 410: Result.MOOT}


NUMBER = re.compile(r"[0-9]{1,9}(?:\.[0-9]{1,9})?")  # Python's own reading takes nan, inf, signs and 1_0
LONGEST_WAIT_MS = 3_600_000.0  # guards against a wait by which a destination would never be called again


def seconds(text: str | None) -> float:
    """Seconds with decimals as milliseconds; 0 where absent or malformed."""
    value = float(text) if text and NUMBER.fullmatch(text) else 0.0
    return min(value * 1000, LONGEST_WAIT_MS)


@dataclass(slots=True, eq=False)
class Try:
    """One attempt, from its order to its outcome. ``held`` is None for a probe."""

    number: int
    attempt: int
    endpoint: int
    held: Held | None
    begun: int
    ends: int
    place: int = 0
    deadline: Deadline | None = None
    link: Link | None = None
    recorded: bool = False
    done: bool = False


class Peers:
    def __init__(self, reactor, loop: Loop, deadlines: Deadlines, relay: Relay,
                 address_of: Callable[[int], tuple[str, int] | None], idle_most: int) -> None:
        self._reactor, self._loop, self._deadlines, self._relay = reactor, loop, deadlines, relay
        self._address_of, self._idle_most = address_of, idle_most
        settings = relay.settings
        self._idle_for = int((settings.idle_close_ms or IDLE_MS) * IDLE_SHARE * 1000)
        self._dial_for = int((settings.connect_timeout_ms or DIAL_MS) * 1000)
        self._columns = settings.report_columns
        self._tries: Slots = Slots()
        self._by_key: dict[tuple[int, int], Try] = {}
        self._idle: dict[int, list[Link]] = {}  # by endpoint, the one used last at the end
        self._links: Slots = Slots()
        self._sweep_at: Deadline | None = None

    # Orders of the module ------------------------------------------------------------------------

    def start(self, number: int, attempt: int, held: Held, endpoint: int, timeout: int, fresh: bool) -> None:
        now = self._loop.now()
        self._begin(Try(number, attempt, endpoint, held, now, now + max(0, timeout)), fresh)

    def probe(self, endpoint: int) -> None:
        now = self._loop.now()
        self._begin(Try(0, 0, endpoint, None, now, now + int(PROBE_MS * 1000)))

    def cancel(self, number: int, attempt: int) -> None:
        if (work := self._by_key.get((number, attempt))) is not None:
            # Guards against a second copy: the connection is closed before another try can be written.
            self._give_up(work, Result.CANCELLED, link.CANCELLED)

    def close_idle(self, endpoint: int, reason: str = link.CROWDED) -> None:
        for idle in self._idle.pop(endpoint, []):
            idle.drop(reason)

    def stop(self) -> None:
        for endpoint in list(self._idle):
            for idle in self._idle.pop(endpoint):
                idle.drop(link.STOPPING)

    def bound(self, most: int) -> None:
        """Hold so many connections at most from now on, before idle ones go."""
        self._idle_most = most

    def connections(self) -> int:
        """How many are held, idle ones too."""
        return len(self._links)

    # A try ---------------------------------------------------------------------------------------

    def _begin(self, work: Try, fresh: bool = False) -> None:
        work.place = self._tries.add(work)
        if work.held is not None:
            self._by_key[work.number, work.attempt] = work
        address = self._address_of(work.endpoint)
        if address is None:
            self._end(work, Result.CONNECT_FAILED)
            return
        work.deadline = self._deadlines.at(work.ends, self._late, work.place)
        ready = None if fresh else self._take_idle(work.endpoint, address)
        if ready is not None:
            self._write(work, ready)
            return
        self._relay.counters.add("connections", "peer_opened")
        dialled = link.dial(self._reactor, self._deadlines, self._dial_for, address,
                            self._make)
        dialled.addCallbacks(self._connected, self._failed, (work, address), None, (work,))

    def _make(self) -> Link:
        return Link("peer", self._deadlines, self._lost)

    def _take_idle(self, endpoint: int, address: tuple[str, int]) -> Link | None:
        links = self._idle.get(endpoint)
        while links:
            ready = links.pop()
            if not ready.up:
                continue
            if ready.home[1] != address:
                ready.drop(link.MOVED)
            elif ready.stale():
                ready.drop(link.FAR_CLOSED)
            else:
                return ready
        return None

    def _connected(self, ready: Link, work: Try, address: tuple[str, int]) -> None:
        ready.home = (work.endpoint, address)
        ready.place = self._links.add(ready)
        if work.done:
            self._pool(ready)  # its try was given up meanwhile; the next one finds it open
        else:
            self._write(work, ready)

    def _failed(self, _failure: Failure, work: Try) -> None:
        self._end(work, Result.CONNECT_FAILED)

    def _write(self, work: Try, ready: Link) -> None:
        now = self._loop.now()
        host = "{}:{}".format(*ready.home[1])
        if work.held is None:
            data = http.request("GET", "/_load", host)
        else:
            if (wait := self._relay.held_back(work.held.entry.dest)) > 0:
                # Told to another process of this relay after this try was ordered: it binds both.
                self._end(work, Result.FULL, wait=wait)
                self._pool(ready)
                return
            if not self._relay.going(work.number):
                self._end(work, Result.MOOT)
                self._pool(ready)
                return
            work.recorded = True
            entry = work.held.entry
            headers = [("Req-Id", entry.id), ("Req-Deadline", f"{max(0, work.ends - now) / 1e6:.3f}")]
            if entry.key:
                headers.append(("Idempotency-Key", entry.key))
            data = http.request("POST", "/events", host, tuple(headers), entry.body)
        work.link = ready
        answer: Deferred = ready.call(data)
        answer.addCallbacks(self._answered, self._broke, (work, ready), None, (work,))

    def _late(self, place: int) -> None:
        if (work := self._tries.get(place)) is not None:
            self._give_up(work, Result.TIMEOUT, link.TIMED_OUT)

    def _give_up(self, work: Try, result: Result, reason: str) -> None:
        used = work.link
        if used is None:
            # Not written: it never ran. A dial goes on, its connection serves a later try.
            self._end(work, Result.CONNECT_FAILED if result == Result.TIMEOUT else Result.MOOT)
            return
        used.forsake()
        used.drop(reason)
        self._end(work, Result.OK if used.said_ok else result)

    def _broke(self, failure: Failure, work: Try) -> None:
        """No whole answer: true all the same where its first line says 200, else the try may have run."""
        failure.trap(Broken)
        broken = failure.value
        if broken.said_ok:
            result = Result.OK
        elif not broken.written:
            result = Result.CONNECT_FAILED
        else:
            result = Result.ERROR if broken.spoilt else Result.RESET
        if broken.spoilt:
            self._relay.counters.add("tries", "spoilt")
        self._end(work, result)

    def _answered(self, response: http.Response, work: Try, used: Link) -> None:
        if used.up:
            self._pool(used)
        status, headers = response.status, response.headers
        result = Result.OK if status == 200 else NEVER_RAN_STATUS.get(status, Result.ERROR)
        wait = 0.0
        if result == Result.FULL:
            if "x-no-slot" in headers:
                result = Result.MOOT
                self._relay.counters.add("tries", "no_slot")
            else:
                wait = seconds(headers.get("retry-after"))
        if wait and work.held is not None:
            self._hold_back(work.held.entry.dest)
        self._end(work, result, over=status == 410, wait=wait, report=self._report(headers))

    def _hold_back(self, dest: int) -> None:
        """Guards against a try that was ordered before the wait was told and would be written in it."""
        for work in list(self._by_key.values()):
            if work.link is None and work.held.entry.dest == dest:
                self._end(work, Result.MOOT)

    def _report(self, headers: dict[str, str]) -> tuple[float, ...]:
        text = headers.get("srv-load")
        if not text:
            return ()
        told = dict(part.strip().partition("=")[::2] for part in text.split(","))
        fields = [told.get(name, "") for name in self._columns]
        if not all(NUMBER.fullmatch(field) for field in fields):
            return ()  # not the fields that the settings name, or no numbers
        return tuple(float(field) for field in fields)

    def _end(self, work: Try, result: Result, *, over: bool = False, wait: float = 0.0,
             report: tuple[float, ...] = ()) -> None:
        if work.done:
            return
        work.done = True
        self._deadlines.cancel(work.deadline)
        self._tries.remove(work.place)
        spent = self._loop.now() - work.begun
        if work.held is None:
            self._relay.counters.add("probes", result.name.lower())
            self._relay.put(api.Probed(work.endpoint, int(result), spent / 1000, report))
            return
        self._by_key.pop((work.number, work.attempt))
        self._relay.outcome(work.number, work.attempt, work.endpoint, result, spent, work.recorded,
                            over=over, wait_ms=wait, report=report)

    # Idle connections ----------------------------------------------------------------------------

    def _pool(self, ready: Link) -> None:
        if not ready.up:
            return
        if self._address_of(ready.home[0]) is None:
            ready.drop(link.GONE)  # its endpoint has left the list
            return
        ready.since = self._loop.now()
        self._idle.setdefault(ready.home[0], []).append(ready)
        if len(self._links) > self._idle_most:
            self._drop_oldest()
        if self._sweep_at is None:
            self._sweep_at = self._deadlines.after(self._idle_for, self._sweep)

    def _drop_oldest(self) -> None:
        """Guards against the descriptor limit: beyond the budget the longest idle connection goes."""
        first = min((links[0] for links in self._idle.values() if links), key=lambda one: one.since)
        self._idle[first.home[0]].remove(first)
        first.drop(link.CROWDED)

    def _sweep(self) -> None:
        """Close what has been idle for long, before the peer does and a call is lost on it."""
        self._sweep_at, now, oldest = None, self._loop.now(), None
        for links in self._idle.values():
            while links and (not links[0].up or links[0].since + self._idle_for <= now):
                links.pop(0).drop(link.IDLE)
            if links and (oldest is None or links[0].since < oldest):
                oldest = links[0].since
        if oldest is not None:
            self._sweep_at = self._deadlines.at(oldest + self._idle_for, self._sweep)

    def _lost(self, gone: Link) -> None:
        self._links.remove(gone.place)
        links = self._idle.get(gone.home[0], [])
        if gone in links:
            links.remove(gone)
            if not links:
                del self._idle[gone.home[0]]
