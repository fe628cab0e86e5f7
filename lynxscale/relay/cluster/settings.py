"""Settings that the configuration files of all nodes have to agree on, as comparable values and as digests.

The probe period is part of each frame's key (``frame.cluster_key``). Frames of a node with another period are rejected,
since both ends of a lease have to count the same time. The other settings may differ for a while, as files are changed
one after the other; the nodes exchange a digest of each group and log the groups that differ.
"""

from __future__ import annotations

from collections.abc import Iterator
from hashlib import blake2b
from typing import Any, NamedTuple

from lynxscale.relay.conf.settings import Conf

SHARED_LIMITS = ("tries", "cold_share", "warm_up", "tip_multiple", "tip_after", "late", "retry_after_most")


class Setting(NamedTuple):
    """One setting. ``group``: the settings that share a digest; ``directive``: its name in the configuration file."""

    group: str
    directive: str
    value: Any


def shared_settings(product: Conf) -> Iterator[Setting]:
    """All settings that have to be the same in every file, in the order of the file's sections."""
    yield Setting("relays", "relays", product.relay.relays)
    for attribute, directive, group in (
        ("cls", "class", "classes"),
        ("tenant", "tenant", "tenants"),
        ("kind", "kind", "kinds"),
        ("zone", "zone", "zones"),
    ):
        for row in getattr(product.names, attribute):
            yield Setting(group, f"{directive} {row['name']}", row)
    for key in SHARED_LIMITS:
        yield Setting("limits", key.replace("_", "-"), getattr(product.limits, key))
    for row in product.cluster.member:
        yield Setting("members", f"member {row['name']}", row.get("zone"))


def digests(product: Conf) -> dict[str, int]:
    """A digest for each group; two nodes have equal digests if their settings in that group are equal."""
    texts: dict[str, list[str]] = {}
    for setting in shared_settings(product):
        value = sorted(setting.value.items()) if isinstance(setting.value, dict) else setting.value
        texts.setdefault(setting.group, []).append(f"{setting.directive} {value!r}")
    # Rows of a group are referred to by their position, so their order counts, but members are referred to by name.
    return {
        group: int.from_bytes(
            blake2b("\n".join(sorted(rows) if group == "members" else rows).encode(), digest_size=4).digest()
        )
        for group, rows in texts.items()
    }
