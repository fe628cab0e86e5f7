"""What the control plane publishes to relays: names of topics, and the list of endpoints in parts.

The topic ``ENDPOINTS`` tells into how many parts the list is cut; each part is a topic of its own, so a change costs
one part on every link of the tree and not the whole list.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable

import msgspec

CONFIG, ENDPOINTS, MEMBERS = "config", "endpoints", "members"
PART_PREFIX = "endpoints/"
ENDPOINTS_A_PART = 100


class Endpoint(msgspec.Struct, frozen=True, order=True):
    """One endpoint of the platform's list."""

    id: str
    backend: str
    address: str
    zone: str
    slots: int
    state: str


def part_count(endpoints: int) -> int:
    """Parts for so many endpoints: a power of two, so that it seldom changes."""
    count = 1
    while count * ENDPOINTS_A_PART < endpoints:
        count *= 2
    return count


def part_name(count: int, number: int) -> str:
    """The topic of one of ``count`` parts."""
    return f"{PART_PREFIX}{count}/{number}"


def split(endpoints: Iterable[Endpoint], count: int) -> dict[str, list[Endpoint]]:
    """The parts by topic; an endpoint's part follows from its id."""
    parts: dict[str, list[Endpoint]] = {part_name(count, number): [] for number in range(count)}
    for endpoint in endpoints:
        parts[part_name(count, zlib.crc32(endpoint.id.encode()) % count)].append(endpoint)
    return parts


def is_foreign_part(name: str, count: int) -> bool:
    """Is it the topic of a part, and of another number of parts?"""
    return name.startswith(PART_PREFIX) and not name.startswith(f"{PART_PREFIX}{count}/")
