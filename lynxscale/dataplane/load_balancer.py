"""Choice of an endpoint: by prefix-cache affinity where a prompt may be cached, else by load; the own zone first.

Affinity and bounded loads: Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with bounded loads"; the hash is
highest random weight (Thaler and Ravishankar), so that relays agree without a message.
"""

from __future__ import annotations

import zlib

from attrs import frozen

from lynxscale.coordination.ports import Clock
from lynxscale.dataplane.endpoint_state import READY, EndpointState
from lynxscale.dataplane.slot_queue import SlotQueue
from lynxscale.discovery.endpoint import Endpoint
from lynxscale.runtime.http_client import Dial

EJECTION_FAILURE_RATE = 0.25  # beyond it an endpoint is ejected as an outlier
KV_CACHE_SHARE = 0.8  # of an endpoint's KV cache that its requests may come to hold together
TYPICAL_TOKENS_WEIGHT = 0.05  # of the newest request in the moving average
AFFINITY_LOAD_SHARE = 0.75  # of the slots: beyond it affinity gives way to load
LOAD_BOUND_FACTOR, LOAD_BOUND_SLACK = 1.25, 1.0  # load bound for new programs: factor x mean load + slack, in requests
OWN_ZONE_SLACK = 0.5  # requests above the mean load up to which the own zone is preferred
MAX_REMEMBERED_KEYS = 20_000  # affinity keys whose last endpoint is remembered
NEW_CONNECTION_COST = 0.5  # in requests of load
OTHER_ZONE_COST = 0.25  # in slots
HASH_MULTIPLIER = 2654435761  # Knuth's multiplicative hash, 2^32 / golden ratio


@frozen
class EndpointDemand:
    """What a request requires of an endpoint.

    ``affinity_key`` names what its prompt shares with others, empty for none; ``max_tokens``: the most that it may come
    to hold in the KV cache; ``kv_cache_tokens``: capacity of an endpoint's KV cache, 0 for no engine.
    """

    affinity_key: str
    max_tokens: int
    kv_cache_tokens: int


class LoadBalancer:
    """All endpoints, by service, and the queue of requests that wait for a slot."""

    def __init__(self, zone: str, clock: Clock, dial: Dial) -> None:
        self.zone = zone
        self.has_endpoint_list = False
        self.states: dict[str, EndpointState] = {}  # by endpoint id
        self._by_service: dict[str, list[EndpointState]] = {}
        self._clock = clock
        self._dial = dial
        self._typical_tokens = 0.0
        self._last_endpoint: dict[str, str] = {}  # endpoint id by affinity key, the most recently used last
        self.queue = SlotQueue(clock, self._has_free_slot)

    def update_endpoints(self, endpoints: list[Endpoint]) -> None:
        """Replace the list; endpoints that are not on it any more get no further requests."""
        self.has_endpoint_list = True
        listed = {endpoint.id: endpoint for endpoint in endpoints}
        for endpoint_id in [endpoint_id for endpoint_id in self.states if endpoint_id not in listed]:
            self.states.pop(endpoint_id).mark_unavailable()
        for endpoint in listed.values():
            self._update_endpoint(endpoint)
        self._by_service = {}
        for state in self.states.values():
            self._by_service.setdefault(state.endpoint.backend, []).append(state)
        self.queue.notify_all()

    def _update_endpoint(self, endpoint: Endpoint) -> None:
        """Take an endpoint's listed state; one that has become ready starts afresh, as a new one does.

        What counts is the change in the list: an endpoint that is listed as ready all along, and was found to have
        lost its address to another, stays unavailable.
        """
        known = self.states.get(endpoint.id)
        if known is None or (endpoint.state == READY and known.endpoint.state != READY):
            self.states[endpoint.id] = EndpointState(endpoint, self._clock, self._dial)
        elif endpoint.state != READY:
            known.endpoint = endpoint
            known.mark_unavailable()

    def choose(self, service: str, demand: EndpointDemand, attempted: set[str]) -> EndpointState | None:
        """The endpoint for a request, None where it has to wait.

        Endpoints whose ids are in ``attempted`` are chosen only where no other can take the request.
        """
        now = self._clock.now()
        candidates = [state for state in self._by_service.get(service, ()) if state.may_send(now)]
        candidates = [state for state in candidates if state.endpoint.id not in attempted] or candidates
        if not candidates:
            return None
        candidates = self._eject_outliers(service, candidates)
        if demand.kv_cache_tokens:
            self._typical_tokens += (demand.max_tokens - self._typical_tokens) * TYPICAL_TOKENS_WEIGHT
            candidates = [state for state in candidates if self._fits_kv_cache(state, demand)]
        if not candidates:
            return None
        if not demand.affinity_key:
            return min(candidates, key=self._cost)
        chosen = self._by_affinity(demand.affinity_key, candidates) or self._by_hash(demand.affinity_key, candidates)
        self._remember(demand.affinity_key, chosen)
        return chosen

    def _eject_outliers(self, service: str, candidates: list[EndpointState]) -> list[EndpointState]:
        """Leave out endpoints with a high failure rate, as long as half of the service's remain."""
        healthy = [state for state in candidates if state.failure_rate.current < EJECTION_FAILURE_RATE]
        ready = sum(state.ready for state in self._by_service[service])
        return healthy if 2 * len(healthy) >= ready else candidates

    def _fits_kv_cache(self, state: EndpointState, demand: EndpointDemand) -> bool:
        """Would the request fit beside those in flight there? What does not is preempted and its prefill repeated."""
        if not state.in_flight:
            return True
        load = state.kv_cache_load(self._typical_tokens)
        return load + demand.max_tokens <= KV_CACHE_SHARE * demand.kv_cache_tokens

    def _by_affinity(self, key: str, candidates: list[EndpointState]) -> EndpointState | None:
        """Where the key's last request went, unless that endpoint is overloaded."""
        last = self._last_endpoint.get(key)
        for state in candidates:
            if state.endpoint.id == last and state.load < AFFINITY_LOAD_SHARE * state.slots:
                return state
        return None

    def _by_hash(self, key: str, candidates: list[EndpointState]) -> EndpointState:
        """Rendezvous hashing with bounded loads; the own zone first while its load is near the mean."""
        mean = sum(state.load for state in candidates) / len(candidates)
        bound = LOAD_BOUND_FACTOR * mean + LOAD_BOUND_SLACK
        within_bound = [state for state in candidates if state.load <= bound]
        if not within_bound:
            return min(candidates, key=self._cost)
        near_mean = mean + OWN_ZONE_SLACK
        own_zone = [state for state in within_bound if state.endpoint.zone == self.zone and state.load <= near_mean]
        return max(own_zone or within_bound, key=lambda state: rendezvous_weight(key, state.endpoint.id))

    def _remember(self, key: str, state: EndpointState) -> None:
        self._last_endpoint.pop(key, None)
        self._last_endpoint[key] = state.endpoint.id
        if len(self._last_endpoint) > MAX_REMEMBERED_KEYS:
            del self._last_endpoint[next(iter(self._last_endpoint))]

    def _has_free_slot(self, service: str) -> bool:
        now = self._clock.now()
        return any(state.may_send(now) for state in self._by_service.get(service, ()))

    def _cost(self, state: EndpointState) -> float:
        """Expected load there, weighted by the square root of the recent latency."""
        zone_cost = OTHER_ZONE_COST if state.endpoint.zone != self.zone else 0.0
        latency_ms = max(state.recent_latency_ms, 1.0)
        connection_cost = 0.0 if state.connections.has_idle else NEW_CONNECTION_COST
        return ((state.load + 1.0 + connection_cost) / state.slots + zone_cost) * latency_ms**0.5


def rendezvous_weight(key: str, name: str) -> int:
    """The weight of a name for a key, 32 bits: every relay computes the same (highest random weight)."""
    return zlib.crc32(name.encode(), zlib.crc32(key.encode())) * HASH_MULTIPLIER & 0xFFFFFFFF
