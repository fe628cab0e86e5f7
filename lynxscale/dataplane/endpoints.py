"""What a relay knows of each endpoint from its own calls: window, restart time, load and rest after trouble."""

from __future__ import annotations

import math

from lynxscale.coordination.ports import Clock
from lynxscale.discovery.endpoint import Endpoint
from lynxscale.runtime.http_client import ClientConnection, Dial
from lynxscale.scheduling.restart_timeout import INF, TrySample

WINDOW_SHARE = 0.75  # of the slots, at most (design)
SICK_SHARE = 0.5  # of the slots, while an endpoint is failing or slow (design)
RESTART_COST = 1.0  # of a restart, in median latencies: the cut call may run on
RESTART_EARNED, RESTART_BANK = 0.1, 3.0  # restarts earned by a success, and saved up at most
REFUSAL_REST_S = 0.05
FAILURE_REST_S, MOST_REST_S = 0.2, 2.0
FAILING_STREAK = 2  # failures in a row that make an endpoint failing: a lone error is chance
TROUBLE_WEIGHT, TROUBLE_HALVES_S = 0.2, 3.0  # of the newest try in the share that went wrong; how it fades
CUT_TROUBLE = 0.5  # a cut at τ tells less than a failure
LOAD_KEEPS_S = 1.0  # a told load counts ever less until it is so old
RECENT_WEIGHT = 0.2
SLOW_MULTIPLE = 3.0  # recent latencies of so many medians: slow
READY = "ready"
MOST_IDLE = 24


class EndpointState:
    """One endpoint, and the connections to it."""

    def __init__(self, endpoint: Endpoint, clock: Clock, dial: Dial) -> None:
        self.endpoint = endpoint
        self.ready = endpoint.state == READY
        self.in_flight = 0
        self.tokens_in_flight = 0
        self.window = 1
        self.sample = TrySample()
        self.recent_ms = 0.0
        self.restarts = 1.0
        self.rest_until = -INF
        self._failures = 0
        self._trouble = 0.0
        self._trouble_at = clock.now()
        self._clock = clock
        self._dial = dial
        self._idle: list[ClientConnection] = []
        self._told_others = 0.0
        self._told_at = -INF

    @property
    def slots(self) -> int:
        """Requests that it works on at once."""
        return max(1, self.endpoint.slots)

    @property
    def failing(self) -> bool:
        """Has it failed several times in a row?"""
        return self._failures >= FAILING_STREAK

    @property
    def trouble(self) -> float:
        """The share of late tries that went wrong, 0 to 1; it fades, so that the endpoint is tried again."""
        age = self._clock.now() - self._trouble_at
        return self._trouble * 0.5 ** (age / TROUBLE_HALVES_S)

    def _judge(self, went_wrong: float) -> None:
        self._trouble = self.trouble + (went_wrong - self.trouble) * TROUBLE_WEIGHT
        self._trouble_at = self._clock.now()

    @property
    def slow(self) -> bool:
        """Does it take much longer than usual?"""
        return self.sample.median > 0 and self.recent_ms > SLOW_MULTIPLE * self.sample.median

    @property
    def limit(self) -> int:
        """Calls in flight that may be made now."""
        share = SICK_SHARE if self.failing or self.slow else WINDOW_SHARE
        return max(1, min(self.window, math.floor(share * self.slots)))

    @property
    def load(self) -> float:
        """Requests there, own ones and by its last word those of others."""
        age = self._clock.now() - self._told_at
        return self.in_flight + self._told_others * max(0.0, 1.0 - age / LOAD_KEEPS_S)

    def memory_load(self, usual_tokens: float) -> float:
        """Tokens that the requests there may come to hold, others' estimated by this relay's usual request."""
        return self.tokens_in_flight + max(0.0, self.load - self.in_flight) * usual_tokens

    def may_send(self, now: float) -> bool:
        """Does the window let another call through?"""
        return self.ready and now >= self.rest_until and self.in_flight < self.limit

    def told_load(self, running: int, waiting: int) -> None:
        """The endpoint's own word of its load, this relay's call included."""
        self._told_others = max(0.0, running + waiting - self.in_flight)
        self._told_at = self._clock.now()

    @property
    def has_idle(self) -> bool:
        """Is there a kept connection?"""
        return any(connection.reusable for connection in self._idle)

    # Outcomes --------------------------------------------------------------------------------------

    def succeeded(self, latency_ms: float) -> None:
        """A try finished."""
        self._observe(latency_ms)
        self.recent_ms += (latency_ms - self.recent_ms) * (RECENT_WEIGHT if self.recent_ms else 1.0)
        self.window = min(self.window + 1, max(1, math.floor(WINDOW_SHARE * self.slots)))
        self.restarts = min(RESTART_BANK, self.restarts + RESTART_EARNED)
        self._failures = 0
        self._judge(0.0)

    def errored(self) -> None:
        """It answered, with an error of its own."""
        self._judge(1.0)

    def refused(self) -> None:
        """It was full, and did not run the request."""
        self._observe(INF)
        self.window = max(1, self.window // 2)
        self.rest_until = self._clock.now() + REFUSAL_REST_S

    def failed(self) -> None:
        """An error, a reset, or no connection."""
        self._observe(INF)
        self._judge(1.0)
        self._failures += 1
        rest = FAILURE_REST_S * 2 ** min(self._failures - 1, 4)
        if self.failing:
            self.rest_until = self._clock.now() + min(rest, MOST_REST_S)

    def timed_out(self) -> None:
        """No answer in all the time that was left."""
        self.window = max(1, self.window // 2)
        self.failed()

    def cut(self, latency_ms: float) -> None:
        """The relay's own cut at τ: a try that lasted longer."""
        self._judge(CUT_TROUBLE)
        self.restarts -= 1.0
        self._observe(INF)

    def gone(self) -> None:
        """Another endpoint has its address, or it is leaving."""
        self.ready = False
        self.close_idle()

    def _observe(self, latency_ms: float) -> None:
        self.sample.add(self._clock.now() * 1000.0, latency_ms, RESTART_COST)

    # Connections -------------------------------------------------------------------------------------

    def connection(self) -> ClientConnection:
        """A kept connection, else a new one."""
        while self._idle:
            connection = self._idle.pop()
            if connection.reusable:
                return connection
            connection.close()
        connection = ClientConnection(self.endpoint.address, self._clock, self._keep)
        self._dial(self.endpoint.address, connection)
        return connection

    def close_idle(self) -> None:
        """Close all kept connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    def _keep(self, connection: ClientConnection) -> None:
        if self.ready and len(self._idle) < MOST_IDLE:
            self._idle.append(connection)
        else:
            self._clock.call_later(0.0, connection.close)
