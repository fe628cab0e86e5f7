"""Topics that the control plane publishes to relays, and the sharding of the endpoint list.

``ENDPOINTS_TOPIC`` holds the number of shards. Each shard is a separate topic, so that a change of one endpoint sends
one shard over every link of the distribution tree instead of the complete list.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable

from lynxscale.discovery.endpoint import Endpoint

CONFIGURATION_TOPIC = "config"
ENDPOINTS_TOPIC = "endpoints"
MEMBERS_TOPIC = "members"
ENDPOINT_SHARD_PREFIX = "endpoints/"
MAX_ENDPOINTS_PER_SHARD = 100  # on average, as endpoints are assigned to shards by hash


def shard_count(endpoints: int) -> int:
    """Return the number of shards for a list of that length: a power of two, so that it rarely changes."""
    count = 1
    while count * MAX_ENDPOINTS_PER_SHARD < endpoints:
        count *= 2
    return count


def shard_topic(count: int, index: int) -> str:
    """Return the topic name of shard ``index`` of ``count``."""
    return f"{ENDPOINT_SHARD_PREFIX}{count}/{index}"


def shard_endpoints(endpoints: Iterable[Endpoint], count: int) -> dict[str, list[Endpoint]]:
    """Return the shards by topic name; the hash of an endpoint's id determines its shard."""
    shards: dict[str, list[Endpoint]] = {shard_topic(count, index): [] for index in range(count)}
    for endpoint in endpoints:
        index = zlib.crc32(endpoint.id.encode()) % count
        shards[shard_topic(count, index)].append(endpoint)
    return shards


def is_stale_shard_topic(topic: str, count: int) -> bool:
    """Whether the topic is a shard of an endpoint list with a number of shards other than ``count``."""
    return topic.startswith(ENDPOINT_SHARD_PREFIX) and not topic.startswith(f"{ENDPOINT_SHARD_PREFIX}{count}/")
