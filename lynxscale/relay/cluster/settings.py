"""The settings that the files of one cluster's relays have to agree on, as comparable values and digests.

Times of the protocol are part of each frame's key (``frame.key_of``): who has others is not heard at all, since a lease
is counted by both ends. All else may differ for a while, as files are changed one after the other; the nodes exchange
a digest of each group and tell which ones differ.
"""

from __future__ import annotations

from collections.abc import Iterator
from hashlib import blake2b
from typing import Any, NamedTuple

from lynxscale.relay.conf.settings import Conf

LIMITS = ("tries", "cold_share", "warm_up", "tip_multiple", "tip_after", "late", "retry_after_most")


class Setting(NamedTuple):
    """``group``: the unit that nodes exchange a digest of; ``directive``: its name in the file."""

    group: str
    directive: str
    value: Any


def of(product: Conf) -> Iterator[Setting]:
    """All that has to be the same in every file, in the order of the file's sections."""
    yield Setting("relays", "relays", product.relay.relays)
    for what, directive, group in (
        ("cls", "class", "classes"),
        ("tenant", "tenant", "tenants"),
        ("kind", "kind", "kinds"),
        ("zone", "zone", "zones"),
    ):
        for row in getattr(product.names, what):
            yield Setting(group, f"{directive} {row['name']}", row)
    for key in LIMITS:
        yield Setting("limits", key.replace("_", "-"), getattr(product.limits, key))
    for row in product.cluster.member:
        yield Setting("members", f"member {row['name']}", row.get("zone"))


def digests(product: Conf) -> dict[str, int]:
    """One number a group; equal where the settings are."""
    texts: dict[str, list[str]] = {}
    for setting in of(product):
        value = sorted(setting.value.items()) if isinstance(setting.value, dict) else setting.value
        texts.setdefault(setting.group, []).append(f"{setting.directive} {value!r}")
    # The order of names counts for the groups whose places stand for them; members stand by their names.
    return {
        group: int.from_bytes(
            blake2b("\n".join(sorted(rows) if group == "members" else rows).encode(), digest_size=4).digest()
        )
        for group, rows in texts.items()
    }
