"""Chooses an endpoint by prefix-cache affinity if the prompt may be cached, otherwise by load; prefers the local zone.

Affinity follows Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with bounded loads". Keys are hashed by highest
random weight (Thaler and Ravishankar), so that relays agree on an endpoint without communication.
"""

from __future__ import annotations

import zlib

from attrs import frozen

from lynxscale.coordination.ports import Clock
from lynxscale.dataplane.connection_pool import IdleConnections
from lynxscale.dataplane.endpoint_state import READY, EndpointState
from lynxscale.dataplane.slot_queue import SlotQueue
from lynxscale.discovery.endpoint import Endpoint
from lynxscale.runtime.http_client import Dial
from lynxscale.scheduling.restart_timeout import INF

EJECTION_FAILURE_RATE = 0.25  # an endpoint at or above it is ejected as an outlier
MAX_KV_CACHE_SHARE = 0.8  # share of an endpoint's KV cache that its requests may fill
TYPICAL_TOKENS_WEIGHT = 0.05  # weight of the newest request in the moving average
MAX_AFFINITY_LOAD_SHARE = 0.75  # share of the slots; an endpoint with more load is not chosen by affinity
LOAD_BOUND_FACTOR, LOAD_BOUND_SLACK = 1.25, 1.0  # load bound for new keys, in requests: factor x mean load + slack
LOCAL_ZONE_LOAD_SLACK = 0.5  # in requests above the mean load, up to which the local zone is preferred
MAX_AFFINITY_KEYS = 20_000  # keys whose last endpoint is recorded
NEW_CONNECTION_COST = 0.5  # in requests
OTHER_ZONE_COST = 0.25  # as a share of the slots
HASH_MULTIPLIER = 2654435761  # Knuth's multiplicative hash, 2^32 / golden ratio


@frozen
class EndpointDemand:
    """What a request requires of an endpoint.

    ``affinity_key``: shared by requests with a common prompt prefix, empty for no affinity; ``max_tokens``: the most
    that the request may hold in the KV cache; ``kv_cache_tokens``: capacity of an endpoint's KV cache, 0 if the service
    has no model engine.
    """

    affinity_key: str
    max_tokens: int
    kv_cache_tokens: int


class LoadBalancer:
    """Chooses among the endpoints of each service; ``queue`` holds the requests that wait for a slot."""

    def __init__(self, zone: str, clock: Clock, dial: Dial, max_idle_connections: float = INF) -> None:
        """``max_idle_connections``: to all endpoints together."""
        self.zone = zone
        self._idle_connections = IdleConnections(max_idle_connections)
        self.has_endpoint_list = False
        self.states: dict[str, EndpointState] = {}  # by endpoint id
        self._by_service: dict[str, list[EndpointState]] = {}
        self._clock = clock
        self._dial = dial
        self._typical_tokens = 0.0
        self._last_endpoint: dict[str, str] = {}  # endpoint id by affinity key, most recently used last
        self.queue = SlotQueue(clock, self._has_free_slot)

    def update_endpoints(self, endpoints: list[Endpoint]) -> None:
        """Replace the endpoint list; endpoints that are no longer listed get no further requests."""
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
        """Apply an endpoint's listed state; one that becomes ready gets a new ``EndpointState``, like a new endpoint.

        Only a change in the list counts: an endpoint that was found to have lost its address to another one stays
        unavailable while the list continues to show it as ready.
        """
        known = self.states.get(endpoint.id)
        if known is None or (endpoint.state == READY and known.endpoint.state != READY):
            self.states[endpoint.id] = EndpointState(endpoint, self._clock, self._dial, self._idle_connections)
        elif endpoint.state != READY:
            known.endpoint = endpoint
            known.mark_unavailable()

    def choose(self, service: str, demand: EndpointDemand, attempted: set[str]) -> EndpointState | None:
        """Return the endpoint for a request, None if it has to wait.

        Endpoints whose ids are in ``attempted`` are chosen only if no other can accept the request.
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
        self._record_affinity(demand.affinity_key, chosen)
        return chosen

    def _eject_outliers(self, service: str, candidates: list[EndpointState]) -> list[EndpointState]:
        """Exclude endpoints with a high failure rate, as long as half of the service's ready endpoints remain."""
        healthy = [state for state in candidates if state.failure_rate.current < EJECTION_FAILURE_RATE]
        ready = sum(state.ready for state in self._by_service[service])
        return healthy if 2 * len(healthy) >= ready else candidates

    def _fits_kv_cache(self, state: EndpointState, demand: EndpointDemand) -> bool:
        """Whether the KV cache can hold the request too; otherwise the engine preempts one and repeats its prefill."""
        if not state.in_flight:
            return True
        load = state.kv_cache_load(self._typical_tokens)
        return load + demand.max_tokens <= MAX_KV_CACHE_SHARE * demand.kv_cache_tokens

    def _by_affinity(self, key: str, candidates: list[EndpointState]) -> EndpointState | None:
        """Return the endpoint that got the key's last request, None if it is no candidate or overloaded."""
        last = self._last_endpoint.get(key)
        for state in candidates:
            if state.endpoint.id == last and state.load < MAX_AFFINITY_LOAD_SHARE * state.slots:
                return state
        return None

    def _by_hash(self, key: str, candidates: list[EndpointState]) -> EndpointState:
        """Choose by rendezvous hashing with bounded loads; prefer the local zone while its load is near the mean."""
        mean = sum(state.load for state in candidates) / len(candidates)
        bound = LOAD_BOUND_FACTOR * mean + LOAD_BOUND_SLACK
        within_bound = [state for state in candidates if state.load <= bound]
        if not within_bound:
            return min(candidates, key=self._cost)
        near_mean = mean + LOCAL_ZONE_LOAD_SLACK
        local_zone = [state for state in within_bound if state.endpoint.zone == self.zone and state.load <= near_mean]
        return max(local_zone or within_bound, key=lambda state: rendezvous_weight(key, state.endpoint.id))

    def _record_affinity(self, key: str, state: EndpointState) -> None:
        self._last_endpoint.pop(key, None)
        self._last_endpoint[key] = state.endpoint.id
        if len(self._last_endpoint) > MAX_AFFINITY_KEYS:
            del self._last_endpoint[next(iter(self._last_endpoint))]

    def _has_free_slot(self, service: str) -> bool:
        now = self._clock.now()
        return any(state.may_send(now) for state in self._by_service.get(service, ()))

    def _cost(self, state: EndpointState) -> float:
        """Return the expected load of an endpoint, weighted by the square root of its recent latency."""
        zone_cost = OTHER_ZONE_COST if state.endpoint.zone != self.zone else 0.0
        latency_ms = max(state.recent_latency_ms, 1.0)
        connection_cost = 0.0 if state.connections.has_idle else NEW_CONNECTION_COST
        return ((state.load + 1.0 + connection_cost) / state.slots + zone_cost) * latency_ms**0.5


def rendezvous_weight(key: str, name: str) -> int:
    """Return the 32-bit weight of a name for a key (highest random weight); every relay computes the same."""
    return zlib.crc32(name.encode(), zlib.crc32(key.encode())) * HASH_MULTIPLIER & 0xFFFFFFFF
