"""Peer connections, calls, tries and probes.

A call carries one try, or, where a kind of endpoint takes several messages in one call, all that the module orders to
that endpoint in one turn. Each try has its own time and its own outcome; the call's connection is theirs together.
"""

from __future__ import annotations

import re
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import structlog
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from lynxscale.relay import bundle
from lynxscale.relay import http_parser as http
from lynxscale.relay.deadlines import Deadline, Deadlines, Loop
from lynxscale.relay.net import connection as link
from lynxscale.relay.net.connection import Broken, Link
from lynxscale.relay.slot_table import Slots
from lynxscale.scheduling.events import HealthChecked, Result

if TYPE_CHECKING:
    from lynxscale.relay.core import Held, Relay

log = structlog.get_logger()

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
class Call:
    """What goes to one endpoint at once. ``link``: what it was written to."""

    endpoint: int
    fresh: bool = False
    tries: list[Try] = field(default_factory=list)
    size: int = 0  # bytes of its body
    link: Link | None = None


@dataclass(slots=True, eq=False)
class Try:
    """One attempt, from its order to its outcome. ``held`` is None for a probe."""

    number: int
    attempt: int
    call: Call
    held: Held | None
    begun: int
    ends: int
    place: int = 0
    deadline: Deadline | None = None
    recorded: bool = False
    done: bool = False

    @property
    def endpoint(self) -> int:
        return self.call.endpoint


class Peers:
    def __init__(
        self,
        reactor,
        loop: Loop,
        deadlines: Deadlines,
        relay: Relay,
        address_of: Callable[[int], tuple[str, int] | None],
        idle_most: int,
        per_call: Callable[[int], int] = lambda _endpoint: 1,
        route_of: Callable[[int], str | None] = lambda _endpoint: None,
        takes: Callable[[int], bool] = lambda _endpoint: True,
    ) -> None:
        self._reactor, self._loop, self._deadlines, self._relay = reactor, loop, deadlines, relay
        self._address_of, self._idle_most, self._per_call = address_of, idle_most, per_call
        self._route_of, self._takes = route_of, takes
        settings = relay.settings
        self._copies = settings.second_copies
        self._joining: dict[int, Call] = {}  # by endpoint: this turn's call that more may join
        self._calls: list[Call] = []
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
        most = self._per_call(endpoint)
        call = self._joining.get(endpoint) if most > 1 else None
        size = bundle.size_of(held.entry.id, held.entry.key, held.entry.body)
        if call is None or len(call.tries) >= most or call.size + size > http.BODY_MOST:
            call = Call(endpoint)
            if most > 1:
                self._joining[endpoint] = call
                self._calls.append(call)
        call.fresh |= fresh
        call.size += size
        work = self._add(Try(number, attempt, call, held, now, now + max(0, timeout)))
        self._by_key[number, attempt] = work
        if most == 1:
            self._begin(call)

    def knows(self, number: int, attempt: int) -> bool:
        """Is this try under way? Then its outcome comes, by its time-out at the latest."""
        return (number, attempt) in self._by_key

    def turned(self) -> None:
        """All orders of this turn are in: what goes to one endpoint together goes now."""
        calls, self._calls = self._calls, []
        self._joining.clear()
        for call in calls:
            self._begin(call)

    def probe(self, endpoint: int) -> None:
        now = self._loop.now()
        call = Call(endpoint)
        self._add(Try(0, 0, call, None, now, now + int(PROBE_MS * 1000)))
        self._begin(call)

    def cancel(self, number: int, attempt: int) -> None:
        if (work := self._by_key.get((number, attempt))) is None:
            return
        if (
            work.call.link is not None
            and not self._copies
            and not all(self._relay.repeatable(one.held) for one in self._left(work.call) if one is not work)
        ):
            # Guards the others of its call: cut along they may have run, and must not go again. The call's answer, or
            # its time-out, is the end of this one too.
            self._relay.counters.add("tries", "not_cut")
            return
        # Guards against a second copy: the connection is closed before another try can be written.
        self._late(work.place, Result.CANCELLED, link.CANCELLED)

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

    # A call --------------------------------------------------------------------------------------

    def _add(self, work: Try) -> Try:
        work.place = self._tries.add(work)
        work.call.tries.append(work)
        work.deadline = self._deadlines.at(work.ends, self._late, work.place)
        return work

    def _begin(self, call: Call) -> None:
        if not self._left(call):
            return  # given up in the turn that ordered it
        address = self._address_of(call.endpoint)
        if address is None:
            self._all(call, Result.CONNECT_FAILED)
            return
        ready = None if call.fresh else self._take_idle(call.endpoint, address)
        if ready is not None:
            self._write(call, ready)
            return
        self._relay.counters.add("connections", "peer_opened")
        dialled = link.dial(self._reactor, self._deadlines, self._dial_for, address, self._make)
        dialled.addCallbacks(self._connected, self._failed, (call, address), None, (call,))

    @staticmethod
    def _left(call: Call) -> list[Try]:
        """Those of its tries that have no outcome."""
        return [work for work in call.tries if not work.done]

    def _all(self, call: Call, result: Result, **more) -> None:
        for work in self._left(call):
            self._end(work, result, **more)

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

    def _connected(self, ready: Link, call: Call, address: tuple[str, int]) -> None:
        ready.home = (call.endpoint, address)
        ready.place = self._links.add(ready)
        if self._left(call):
            self._write(call, ready)
        else:
            self._pool(ready)  # it was given up meanwhile; the next one finds it open

    def _failed(self, _failure: Failure, call: Call) -> None:
        self._all(call, Result.CONNECT_FAILED)

    def _write(self, call: Call, ready: Link) -> None:
        host = "{}:{}".format(*ready.home[1])
        if call.tries[0].held is None:
            data = http.request("GET", "/_load", host)
        else:
            going = [work for work in self._left(call) if self._goes(work)]
            # The longest first: a partner that takes a call's time from its first message sees the one that is told in
            # the head, to which the answer is waited for.
            going.sort(key=lambda work: -work.ends)
            if not going:
                self._pool(ready)
                return
            data = self._request(going, host)
        call.link = ready
        together = len(call.tries) > 1 and len(self._left(call)) > 1
        answer: Deferred = ready.call(data)
        answer.addCallbacks(self._answered, self._broke, (call, ready, together), None, (call, together))

    def _goes(self, work: Try) -> bool:
        """May it be written now? It is on record then."""
        if not self._takes(work.endpoint):
            # Guards against a list that came while the connection was coming up: what drains gets nothing new.
            self._relay.counters.add("tries", "left_the_list")
            self._end(work, Result.MOOT)
            return False
        if (wait := self._relay.held_back(self._wait_key(work))) > 0:
            # Told after this try was ordered, to it or to another process of this relay: it binds all.
            self._end(work, Result.FULL, wait=wait)
            return False
        if not self._relay.going(work.number):
            self._end(work, Result.MOOT)
            return False
        work.recorded = True
        return True

    def _request(self, going: list[Try], host: str) -> bytes:
        now = self._loop.now()
        waits = ("Req-Deadline", f"{max(0, *(work.ends - now for work in going)) / 1e6:.3f}")
        if len(going) > 1:
            self._relay.counters.add("tries", "bundles")
            entries = [work.held.entry for work in going]
            body = bundle.body((entry.id, entry.key, entry.body) for entry in entries)
            return http.request("POST", bundle.PATH, host, (waits,), body)
        entry = going[0].held.entry
        headers = [("Req-Id", entry.id), waits]
        if entry.key:
            headers.append(("Idempotency-Key", entry.key))
        return http.request("POST", "/events", host, tuple(headers), entry.body)

    def _late(
        self, place: int, result: Result = Result.TIMEOUT, reason: str = link.TIMED_OUT, looked: bool = False
    ) -> None:
        if (work := self._tries.get(place)) is None:
            return
        used = work.call.link
        if used is not None and not looked and link.unread(used.transport):
            # Guards against an answer that came by this very instant: the loop reads it first, once.
            self._deadlines.cancel(work.deadline)
            work.deadline = self._deadlines.after(link.CROSSED_MS * 1000, self._late, place, result, reason, True)
            return
        self._give_up(work, result, reason)

    def _give_up(self, work: Try, result: Result, reason: str) -> None:
        call = work.call
        used = call.link
        if used is None:
            # Not written: it never ran. A dial goes on, its connection serves a later try.
            self._end(work, Result.CONNECT_FAILED if result == Result.TIMEOUT else Result.MOOT)
            return
        others = [one for one in self._left(call) if one is not work]
        if others and (result == Result.TIMEOUT or self._copies):
            # The others' answer is still of use, and no second copy of this one goes that may not.
            self._end(work, result)
            return
        used.forsake()
        used.drop(reason)
        self._end(work, Result.OK if used.said_ok and len(call.tries) == 1 else result)
        for one in others:
            self._end(one, Result.RESET)

    def _broke(self, failure: Failure, call: Call, together: bool) -> None:
        """No whole answer: true all the same where its first line says 200, else the tries may have run."""
        failure.trap(Broken)
        broken = failure.value
        if broken.said_ok and not together:
            result = Result.OK
        elif not broken.written:
            result = Result.CONNECT_FAILED
        else:
            result = Result.ERROR if broken.spoilt or broken.said_ok else Result.RESET
        if broken.spoilt:
            self._relay.counters.add("tries", "spoilt")
        self._all(call, result)

    def _answered(self, response: http.Response, call: Call, used: Link, together: bool) -> None:
        if used.up:
            self._pool(used)
        status, headers = response.status, response.headers
        result = Result.OK if status == 200 else NEVER_RAN_STATUS.get(status, Result.ERROR)
        wait = 0.0
        if result == Result.FULL and "x-no-slot" in headers:
            result = Result.MOOT
            self._relay.counters.add("tries", "no_slot")
        elif result == Result.FULL or together:
            wait = seconds(headers.get("retry-after"))
        if wait and call.tries[0].held is not None:
            key = self._wait_key(call.tries[0])
            self._relay.told_wait(key, wait)
            self._hold_back(key)
        report = self._report(headers)
        if together and status == 200:
            self._each(call, response.body, wait, report)
        else:
            if together and status in (400, 413):
                # It could not be read, so none of it ran; it is no use to send the same again at once.
                log.error("bundle_not_read", endpoint=call.endpoint, status=status, messages=len(call.tries))
                result = Result.FULL
            self._all(call, result, over=status == 410, wait=wait if result == Result.FULL else 0.0, report=report)

    def _each(self, call: Call, body: bytes, wait: float, report: tuple[float, ...]) -> None:
        """An answer that tells how each message ended."""
        ids = {work.held.entry.id: work for work in call.tries if work.recorded}
        found, good = bundle.ends(body, list(ids))
        if not good:
            self._relay.counters.add("tries", "spoilt")
            log.warning("bundle_answer", endpoint=call.endpoint, messages=len(ids), text=repr(body[:200]))
        for id_, work in ids.items():
            result, over = found[id_]
            if work.done:
                if result == Result.OK:
                    self._relay.ran(work.number)  # after its time, or while another copy was thought better
            else:
                self._end(work, result, over=over, wait=wait if result == Result.FULL else 0.0, report=report)

    def _wait_key(self, work: Try) -> int:
        """What a told wait binds: the destination, or the endpoint where each is a route of its own."""
        route = self._route_of(work.endpoint)
        return work.held.entry.dest if route is None else -1 - zlib.crc32(route.encode())

    def _hold_back(self, key: int) -> None:
        """Guards against a try that was ordered before the wait was told and would be written in it."""
        for work in list(self._by_key.values()):
            if work.call.link is None and not work.done and self._wait_key(work) == key:
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

    def _end(
        self, work: Try, result: Result, *, over: bool = False, wait: float = 0.0, report: tuple[float, ...] = ()
    ) -> None:
        if work.done:
            return
        work.done = True
        self._deadlines.cancel(work.deadline)
        self._tries.remove(work.place)
        spent = self._loop.now() - work.begun
        if work.held is None:
            self._relay.counters.add("probes", result.name.lower())
            self._relay.put(HealthChecked(work.endpoint, int(result), spent / 1000, report))
            return
        self._by_key.pop((work.number, work.attempt))
        self._relay.outcome(
            work.number,
            work.attempt,
            work.endpoint,
            result,
            spent,
            work.recorded,
            over=over,
            wait_ms=wait,
            report=report,
        )

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
