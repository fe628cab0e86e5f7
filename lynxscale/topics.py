"""What the control plane publishes to relays: names of topics, and the shape of an endpoint."""

from __future__ import annotations

import msgspec

CONFIG, ENDPOINTS, MEMBERS = "config", "endpoints", "members"


class Endpoint(msgspec.Struct, frozen=True, order=True):
    """One endpoint of the platform's list."""

    id: str
    backend: str
    address: str
    zone: str
    slots: int
    state: str
