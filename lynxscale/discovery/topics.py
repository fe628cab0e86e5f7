"""Topics that the control plane publishes to relays, and how the endpoint list is sharded over several of them.

``ENDPOINTS_TOPIC`` holds the number of shards. Each shard is a topic of its own, so a change of one endpoint costs one
shard on every link of the distribution tree and not the complete list.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable

from lynxscale.discovery.endpoint import Endpoint

CONFIGURATION_TOPIC = "config"
ENDPOINTS_TOPIC = "endpoints"
MEMBERS_TOPIC = "members"
ENDPOINT_SHARD_PREFIX = "endpoints/"
MAX_ENDPOINTS_PER_SHARD = 100  # on average, as endpoints are assigned by hash


def shard_count(endpoints: int) -> int:
    """Return the number of shards for a list of that length: a power of two, so that it seldom changes."""
    count = 1
    while count * MAX_ENDPOINTS_PER_SHARD < endpoints:
        count *= 2
    return count


def shard_topic(count: int, index: int) -> str:
    """Return the topic name of shard ``index`` of ``count``."""
    return f"{ENDPOINT_SHARD_PREFIX}{count}/{index}"


def shard_endpoints(endpoints: Iterable[Endpoint], count: int) -> dict[str, list[Endpoint]]:
    """Return the shards by topic name; an endpoint's shard follows from its id."""
    shards: dict[str, list[Endpoint]] = {shard_topic(count, index): [] for index in range(count)}
    for endpoint in endpoints:
        index = zlib.crc32(endpoint.id.encode()) % count
        shards[shard_topic(count, index)].append(endpoint)
    return shards


def is_stale_shard_topic(topic: str, count: int) -> bool:
    """Whether the topic is a shard of the endpoint list, but of another number of shards than ``count``."""
    return topic.startswith(ENDPOINT_SHARD_PREFIX) and not topic.startswith(f"{ENDPOINT_SHARD_PREFIX}{count}/")
