"""Choice of an endpoint: by affinity where a prompt may be cached, else by load; the own zone first."""

from __future__ import annotations

import zlib

from attrs import frozen

from lynxscale.coordination.ports import Clock
from lynxscale.dataplane.endpoints import READY, EndpointState
from lynxscale.dataplane.queue import PlaceQueue
from lynxscale.discovery.endpoint import Endpoint
from lynxscale.runtime.http_client import Dial

OUTLIER_TROUBLE = 0.25  # share of wrong tries beyond which an endpoint is left out
MEMORY_SHARE = 0.8  # of an endpoint's memory that requests may come to hold together
USUAL_WEIGHT = 0.05  # of the newest request in the usual one
CROWDED_SHARE = 0.75  # of the slots: beyond that affinity gives way to load
LOAD_FACTOR, LOAD_SLACK = 1.25, 1.0  # an endpoint takes new programs up to this multiple of the mean load, and so many
NEAR_SLACK = 0.5  # requests above the mean at which the own zone still goes first
MOST_REMEMBERED = 20_000  # programs whose last endpoint is remembered
NEW_CONNECTION_LOAD = 0.5  # requests that an endpoint with a kept connection may be more loaded
OTHER_ZONE_LOAD = 0.25  # of the slots that an endpoint of the own zone may be more loaded


@frozen
class Demand:
    """What a request asks of an endpoint.

    ``key`` names what its prompt shares with others, empty for none; ``tokens``: the most that it may come to hold;
    ``memory``: tokens that an endpoint can hold, 0 for no engine.
    """

    key: str
    tokens: int
    memory: int


class Balancer:
    """All endpoints, by service, and the queue of requests that wait for a place."""

    def __init__(self, zone: str, clock: Clock, dial: Dial) -> None:
        self.zone = zone
        self.known = False
        self.states: dict[str, EndpointState] = {}
        self._by_service: dict[str, list[EndpointState]] = {}
        self._clock = clock
        self._dial = dial
        self._usual_tokens = 0.0
        self._last: dict[str, str] = {}
        self.queue = PlaceQueue(clock, self._has_place)

    def take_list(self, endpoints: list[Endpoint]) -> None:
        """A new list; endpoints that are not on it any more are gone."""
        self.known = True
        listed = {endpoint.id: endpoint for endpoint in endpoints}
        for name in [name for name in self.states if name not in listed]:
            self.states.pop(name).gone()
        for name, endpoint in listed.items():
            state = self.states.get(name)
            if state is None:
                self.states[name] = EndpointState(endpoint, self._clock, self._dial)
            elif endpoint.state != READY:
                state.gone()
        self._by_service = {}
        for state in self.states.values():
            self._by_service.setdefault(state.endpoint.backend, []).append(state)
        self.queue.wake_all()

    def choose(self, service: str, demand: Demand, tried: set[str]) -> EndpointState | None:
        """The endpoint for a request, None where it has to wait."""
        now = self._clock.now()
        able = [one for one in self._by_service.get(service, ()) if one.may_send(now)]
        able = [one for one in able if one.endpoint.id not in tried] or able
        if not able:
            return None
        able = self._without_outliers(service, able)
        if demand.memory:
            self._usual_tokens += (demand.tokens - self._usual_tokens) * USUAL_WEIGHT
            able = [one for one in able if self._has_memory(one, demand)]
        if not able:
            return None
        if not demand.key:
            return min(able, key=self._cost)
        chosen = self._cached_at(demand.key, able) or self._spread(demand.key, able)
        self._remember(demand.key, chosen)
        return chosen

    def _has_memory(self, state: EndpointState, demand: Demand) -> bool:
        """Would the request fit beside those that run there? What does not is preempted and read again."""
        if not state.in_flight:
            return True
        return state.memory_load(self._usual_tokens) + demand.tokens <= MEMORY_SHARE * demand.memory

    def _without_outliers(self, service: str, able: list[EndpointState]) -> list[EndpointState]:
        """Leave out endpoints whose tries often go wrong, as long as half of the service's remain."""
        sound = [one for one in able if one.trouble < OUTLIER_TROUBLE]
        ready = sum(one.ready for one in self._by_service[service])
        return sound if 2 * len(sound) >= ready else able

    def _cached_at(self, key: str, able: list[EndpointState]) -> EndpointState | None:
        """Where the key's last request went, unless that endpoint is crowded."""
        last = self._last.get(key)
        for one in able:
            if one.endpoint.id == last and one.load < CROWDED_SHARE * one.slots:
                return one
        return None

    def _spread(self, key: str, able: list[EndpointState]) -> EndpointState:
        """Rendezvous hashing with bounded loads: the own zone first, as long as it bears no more than its part."""
        mean = sum(one.load for one in able) / len(able)
        bound = LOAD_FACTOR * mean + LOAD_SLACK
        roomy = [one for one in able if one.load <= bound]
        near = [one for one in roomy if one.endpoint.zone == self.zone and one.load <= mean + NEAR_SLACK]
        if not roomy:
            return min(able, key=self._cost)
        return max(near or roomy, key=lambda one: rendezvous(key, one.endpoint.id))

    def _remember(self, key: str, state: EndpointState) -> None:
        self._last.pop(key, None)
        self._last[key] = state.endpoint.id
        if len(self._last) > MOST_REMEMBERED:
            del self._last[next(iter(self._last))]

    def _has_place(self, service: str) -> bool:
        now = self._clock.now()
        return any(one.may_send(now) for one in self._by_service.get(service, ()))

    def _cost(self, state: EndpointState) -> float:
        away = OTHER_ZONE_LOAD if state.endpoint.zone != self.zone else 0.0
        pace = max(state.recent_ms, 1.0)
        fresh = 0.0 if state.has_idle else NEW_CONNECTION_LOAD
        return ((state.load + 1.0 + fresh) / state.slots + away) * pace**0.5


def rendezvous(key: str, name: str) -> int:
    """The weight of a name for a key: every relay gives the same order (highest random weight)."""
    return zlib.crc32(name.encode(), zlib.crc32(key.encode())) * 2654435761 & 0xFFFFFFFF
