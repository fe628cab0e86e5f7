"""Sends attempts and health checks to peers.

A call carries one attempt or, if the endpoint's kind accepts several messages per call, the attempts that the scheduler
orders for that endpoint in one turn. Each attempt has its own timeout and outcome; the attempts of a call share its
connection.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import structlog
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from lynxscale.relay import bundle
from lynxscale.relay.deadlines import Deadlines, Loop
from lynxscale.relay.exceptions import CallFailedError
from lynxscale.relay.http_parser import MAX_BODY_BYTES, Response, request_bytes
from lynxscale.relay.net.calls import Attempt, Call
from lynxscale.relay.net.close_reason import CloseReason
from lynxscale.relay.net.connection import RECHECK_DELAY_MS, Address, OutboundConnection, dial, unread_byte
from lynxscale.relay.net.connection_pool import ConnectionPool
from lynxscale.relay.net.peer_responses import (
    GONE_STATUS,
    RESULT_BY_STATUS,
    UNREADABLE_BUNDLE_STATUSES,
    load_report,
    parse_seconds_as_ms,
)
from lynxscale.relay.slot_table import SlotTable
from lynxscale.scheduling.events import HealthChecked, Result

if TYPE_CHECKING:
    from lynxscale.relay.core import Relay
    from lynxscale.relay.message import PendingMessage

log = structlog.get_logger()

IDLE_TIMEOUT_FRACTION = 0.9  # idle connections are closed after this fraction of the peer's idle timeout
DEFAULT_IDLE_TIMEOUT_MS = 15_000.0  # if the settings do not set it
DEFAULT_CONNECT_TIMEOUT_MS = 1500.0  # if the settings do not set it
HEALTH_CHECK_TIMEOUT_MS = 1500.0
MESSAGE_PATH, HEALTH_CHECK_PATH = "/events", "/_load"


class Peers:
    """Implements PeersPort over HTTP connections.

    Functions of an endpoint: ``address_of`` returns its address, or None once it is not listed; ``per_call`` the number
    of messages that it accepts per call; ``route_of`` its route if Retry-After applies to that instead of the
    destination, otherwise None; ``accepts_new`` whether it may get new messages. Times are µs on the loop's clock.
    """

    def __init__(
        self,
        reactor: Any,
        loop: Loop,
        deadlines: Deadlines,
        relay: Relay,
        address_of: Callable[[int], Address | None],
        max_connections: int,
        per_call: Callable[[int], int] = lambda _endpoint: 1,
        route_of: Callable[[int], str | None] = lambda _endpoint: None,
        accepts_new: Callable[[int], bool] = lambda _endpoint: True,
    ) -> None:
        self._reactor, self._loop, self._deadlines, self._relay = reactor, loop, deadlines, relay
        self._address_of, self._per_call = address_of, per_call
        self._route_of, self._accepts_new = route_of, accepts_new
        settings = relay.settings
        self._hedges = settings.second_copies
        self._connect_timeout = int((settings.connect_timeout_ms or DEFAULT_CONNECT_TIMEOUT_MS) * 1000)
        self._report_columns = settings.report_columns
        self._joinable: dict[int, Call] = {}  # the call of this turn to which attempts can be added, by endpoint
        self._unsent: list[Call] = []
        self._attempts: SlotTable = SlotTable()
        self._by_key: dict[tuple[int, int], Attempt] = {}  # attempts in flight by message number and attempt index
        idle_timeout = int((settings.idle_close_ms or DEFAULT_IDLE_TIMEOUT_MS) * IDLE_TIMEOUT_FRACTION * 1000)
        self._pool = ConnectionPool(deadlines, address_of, idle_timeout, max_connections)

    # Actions of the scheduler --------------------------------------------------------------------

    def start(self, number: int, index: int, message: PendingMessage, endpoint: int, timeout: int, fresh: bool) -> None:
        """Begin an attempt; ``timeout`` is in µs, ``fresh`` requires a new connection."""
        now = self._loop.now()
        limit = self._per_call(endpoint)
        call = self._joinable.get(endpoint) if limit > 1 else None
        size = bundle.encoded_size(message.entry.id, message.entry.key, message.entry.body)
        if call is None or len(call.attempts) >= limit or call.size + size > MAX_BODY_BYTES:
            call = Call(endpoint)
            if limit > 1:
                self._joinable[endpoint] = call
                self._unsent.append(call)
        call.fresh |= fresh
        call.size += size
        attempt = self._add(Attempt(number, index, call, message, now, now + max(0, timeout)))
        self._by_key[number, index] = attempt
        if limit == 1:
            self._begin(call)

    def is_in_flight(self, number: int, index: int) -> bool:
        """Is this attempt in flight? If so, its outcome follows, at the latest after its timeout."""
        return (number, index) in self._by_key

    def flush(self) -> None:
        """Send the bundled calls of this turn; all its actions have been issued."""
        calls, self._unsent = self._unsent, []
        self._joinable.clear()
        for call in calls:
            self._begin(call)

    def check_health(self, endpoint: int) -> None:
        """Begin a health check, whose result is passed to the scheduler."""
        now = self._loop.now()
        call = Call(endpoint)
        self._add(Attempt(0, 0, call, None, now, now + int(HEALTH_CHECK_TIMEOUT_MS * 1000)))
        self._begin(call)

    def cancel(self, number: int, index: int) -> None:
        """Cancel an attempt."""
        if (attempt := self._by_key.get((number, index))) is None:
            return
        if (
            attempt.call.connection is not None
            and not self._hedges
            and not all(
                self._relay.may_repeat(other.message) for other in attempt.call.open_attempts() if other is not attempt
            )
        ):
            # Closing the connection would also cancel the call's other attempts, which may have been executed and must
            # not be repeated. The call's response or timeout ends this attempt, too.
            self._relay.counters.add("tries", "not_cut")
            return
        # The connection is closed before another attempt can be sent, to prevent a duplicate.
        self._timed_out(attempt.slot, Result.CANCELLED, CloseReason.CANCELLED)

    def close_idle(self, endpoint: int, reason: str = CloseReason.EVICTED) -> None:
        """Close the idle connections to an endpoint."""
        self._pool.close_idle(endpoint, reason)

    def stop(self) -> None:
        """Close all idle connections, as the process exits."""
        self._pool.close_all_idle(CloseReason.STOPPING)

    def limit(self, max_connections: int) -> None:
        """Set the number of connections above which idle ones are closed."""
        self._pool.max_connections = max_connections

    def connection_count(self) -> int:
        """The number of open connections, including idle ones."""
        return len(self._pool)

    # Calls ---------------------------------------------------------------------------------------

    def _add(self, attempt: Attempt) -> Attempt:
        attempt.slot = self._attempts.add(attempt)
        attempt.call.attempts.append(attempt)
        attempt.deadline = self._deadlines.at(attempt.timeout_at, self._timed_out, attempt.slot)
        return attempt

    def _begin(self, call: Call) -> None:
        if not call.open_attempts():
            return  # every attempt was cancelled in the turn that ordered the call
        address = self._address_of(call.endpoint)
        if address is None:
            self._end_all(call, Result.CONNECT_FAILED)
            return
        connection = None if call.fresh else self._pool.take(call.endpoint, address)
        if connection is not None:
            self._write(call, connection)
            return
        self._relay.counters.add("connections", "peer_opened")
        connecting = dial(self._reactor, self._deadlines, self._connect_timeout, address, self._create)
        connecting.addCallbacks(
            self._connected, self._connect_failed, callbackArgs=(call, address), errbackArgs=(call,)
        )

    def _create(self) -> OutboundConnection:
        return OutboundConnection("peer", self._deadlines, self._pool.lost)

    def _connected(self, connection: OutboundConnection, call: Call, address: Address) -> None:
        self._pool.add(connection, call.endpoint, address)
        if call.open_attempts():
            self._write(call, connection)
        else:
            # The call's attempts ended while the connection was being established; the next call can use it.
            self._pool.release(connection)

    def _connect_failed(self, _failure: Failure, call: Call) -> None:
        self._end_all(call, Result.CONNECT_FAILED)

    def _write(self, call: Call, connection: OutboundConnection) -> None:
        host = "{}:{}".format(*connection.remote[1])
        if call.attempts[0].message is None:
            data = request_bytes("GET", HEALTH_CHECK_PATH, host)
        else:
            sendable = [attempt for attempt in call.open_attempts() if self._prepare(attempt)]
            # Longest timeout first: a peer that derives a call's deadline from its first message then gets the one in
            # the Req-Deadline header, up to which the relay waits for the response.
            sendable.sort(key=lambda attempt: -attempt.timeout_at)
            if not sendable:
                self._pool.release(connection)
                return
            data = self._request(sendable, host)
        call.connection = connection
        bundled = len(call.attempts) > 1 and len(call.open_attempts()) > 1
        response: Deferred = connection.call(data)
        response.addCallbacks(
            self._answered,
            self._call_failed,
            callbackArgs=(call, connection, bundled),
            errbackArgs=(call, bundled),
        )

    def _prepare(self, attempt: Attempt) -> bool:
        """Journal an attempt that is about to be sent; if it must not be sent, end it and return False."""
        if not self._accepts_new(attempt.endpoint):
            # The endpoint began to drain or was removed while the connection was being established.
            self._relay.counters.add("tries", "left_the_list")
            self._end(attempt, Result.MOOT)
            return False
        if (wait_ms := self._relay.backpressure.wait_ms(self._backpressure_key(attempt))) > 0:
            # A Retry-After was received after this attempt was ordered, by this or another process of this relay.
            self._end(attempt, Result.FULL, wait_ms=wait_ms)
            return False
        if not self._relay.record_attempt(attempt.number):
            self._end(attempt, Result.MOOT)
            return False
        attempt.recorded = True
        return True

    def _request(self, sendable: list[Attempt], host: str) -> bytes:
        now = self._loop.now()
        longest = max(0, *(attempt.timeout_at - now for attempt in sendable))
        deadline = ("Req-Deadline", f"{longest / 1e6:.3f}")
        if len(sendable) > 1:
            self._relay.counters.add("tries", "bundles")
            entries = [attempt.message.entry for attempt in sendable]
            body = bundle.encode_request((entry.id, entry.key, entry.body) for entry in entries)
            return request_bytes("POST", bundle.PATH, host, (deadline,), body)
        entry = sendable[0].message.entry
        headers = [("Req-Id", entry.id), deadline]
        if entry.key:
            headers.append(("Idempotency-Key", entry.key))
        return request_bytes("POST", MESSAGE_PATH, host, tuple(headers), entry.body)

    # Timeouts and cancellation -------------------------------------------------------------------

    def _timed_out(
        self,
        slot: int,
        result: Result = Result.TIMEOUT,
        reason: str = CloseReason.TIMED_OUT,
        rechecked: bool = False,
    ) -> None:
        if (attempt := self._attempts.get(slot)) is None:
            return
        connection = attempt.call.connection
        if connection is not None and not rechecked and unread_byte(connection.transport):
            # The response may have arrived without the loop having read it yet: check again once.
            self._deadlines.cancel(attempt.deadline)
            attempt.deadline = self._deadlines.after(
                RECHECK_DELAY_MS * 1000, self._timed_out, slot, result, reason, True
            )
            return
        self._give_up(attempt, result, reason)

    def _give_up(self, attempt: Attempt, result: Result, reason: str) -> None:
        call = attempt.call
        connection = call.connection
        if connection is None:
            # The attempt was not sent, so not executed. The connection is still opened, for a later attempt.
            self._end(attempt, Result.CONNECT_FAILED if result == Result.TIMEOUT else Result.MOOT)
            return
        others = [other for other in call.open_attempts() if other is not attempt]
        if others and (result == Result.TIMEOUT or self._hedges):
            # The other attempts still need the response. This one is repeated only if a duplicate is safe.
            self._end(attempt, result)
            return
        connection.ignore_response()
        connection.drop(reason)
        self._end(attempt, Result.OK if connection.status_ok and len(call.attempts) == 1 else result)
        for other in others:
            self._end(other, Result.RESET)

    # Responses -----------------------------------------------------------------------------------

    def _call_failed(self, failure: Failure, call: Call, bundled: bool) -> None:
        """Handle a call without a complete response: a success if the status line says 200, otherwise an error."""
        failure.trap(CallFailedError)
        error = failure.value
        assert isinstance(error, CallFailedError)
        if error.status_ok and not bundled:
            result = Result.OK
        elif not error.written:
            result = Result.CONNECT_FAILED
        else:
            result = Result.ERROR if error.malformed or error.status_ok else Result.RESET
        if error.malformed:
            self._relay.counters.add("tries", "spoilt")
        self._end_all(call, result)

    def _answered(self, response: Response, call: Call, connection: OutboundConnection, bundled: bool) -> None:
        if connection.up:
            self._pool.release(connection)
        status, headers = response.status, response.headers
        result = RESULT_BY_STATUS.get(status, Result.ERROR)
        wait_ms = 0.0
        if result == Result.FULL and "x-no-slot" in headers:
            result = Result.MOOT
            self._relay.counters.add("tries", "no_slot")
        elif result == Result.FULL or bundled:
            wait_ms = parse_seconds_as_ms(headers.get("retry-after"))
        if wait_ms and call.attempts[0].message is not None:
            key = self._backpressure_key(call.attempts[0])
            self._relay.backpressure.received(key, wait_ms)
            self._withdraw_unwritten(key)
        report = load_report(headers, self._report_columns)
        if bundled and status == 200:
            self._end_each(call, response.body, wait_ms, report)
            return
        if bundled and status in UNREADABLE_BUNDLE_STATUSES:
            # None of the messages was executed, but an immediate retry of the same bundle would fail again.
            log.error("bundle_not_read", endpoint=call.endpoint, status=status, messages=len(call.attempts))
            result = Result.FULL
        wait_ms = wait_ms if result == Result.FULL else 0.0
        self._end_all(call, result, final=status == GONE_STATUS, wait_ms=wait_ms, report=report)

    def _end_each(self, call: Call, body: bytes, wait_ms: float, report: tuple[float, ...]) -> None:
        """End each attempt of a bundle with its outcome in the response."""
        by_id = {attempt.message.entry.id: attempt for attempt in call.attempts if attempt.recorded}
        outcomes, well_formed = bundle.parse_response(body, list(by_id))
        if not well_formed:
            self._relay.counters.add("tries", "spoilt")
            log.warning("bundle_answer", endpoint=call.endpoint, messages=len(by_id), text=repr(body[:200]))
        for id_, attempt in by_id.items():
            result, final = outcomes[id_]
            if attempt.done:
                if result == Result.OK:
                    # The attempt had timed out or been cancelled, but the peer has delivered the message.
                    self._relay.delivered_late(attempt.number)
            else:
                attempt_wait_ms = wait_ms if result == Result.FULL else 0.0
                self._end(attempt, result, final=final, wait_ms=attempt_wait_ms, report=report)

    def _backpressure_key(self, attempt: Attempt) -> int:
        """The key for Retry-After: the destination, or a negative number for a route with its own limit."""
        route = self._route_of(attempt.endpoint)
        return attempt.message.entry.dest if route is None else -1 - zlib.crc32(route.encode())

    def _withdraw_unwritten(self, key: int) -> None:
        """End attempts that were ordered before a Retry-After was received and are not written yet."""
        for attempt in list(self._by_key.values()):
            if attempt.call.connection is None and not attempt.done and self._backpressure_key(attempt) == key:
                self._end(attempt, Result.MOOT)

    # Outcomes ------------------------------------------------------------------------------------

    def _end_all(
        self,
        call: Call,
        result: Result,
        *,
        final: bool = False,
        wait_ms: float = 0.0,
        report: tuple[float, ...] = (),
    ) -> None:
        for attempt in call.open_attempts():
            self._end(attempt, result, final=final, wait_ms=wait_ms, report=report)

    def _end(
        self,
        attempt: Attempt,
        result: Result,
        *,
        final: bool = False,
        wait_ms: float = 0.0,
        report: tuple[float, ...] = (),
    ) -> None:
        """Pass the attempt's outcome to the core. ``final``: its message needs no further attempt."""
        if attempt.done:
            return
        attempt.done = True
        self._deadlines.cancel(attempt.deadline)
        self._attempts.remove(attempt.slot)
        elapsed = self._loop.now() - attempt.started
        if attempt.message is None:
            self._relay.counters.add("probes", result.name.lower())
            self._relay.put(HealthChecked(attempt.endpoint, int(result), elapsed / 1000, report))
            return
        self._by_key.pop((attempt.number, attempt.index))
        self._relay.attempt_ended(
            attempt.number,
            attempt.index,
            attempt.endpoint,
            result,
            elapsed,
            attempt.recorded,
            final=final,
            wait_ms=wait_ms,
            report=report,
        )
