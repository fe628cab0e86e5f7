"""The record of an endpoint, as the platform lists it and the control plane publishes it."""

from __future__ import annotations

import msgspec


class Endpoint(msgspec.Struct, frozen=True, order=True):
    """An endpoint of the platform's list. The field names are those of the platform's API and of the topics.

    ``backend`` is the name of its service, ``address`` is ``host:port``, ``slots`` is the number of requests that it
    executes concurrently, and ``state`` is its lifecycle state at the platform, such as ``ready`` or ``draining``.
    """

    id: str
    backend: str
    address: str
    zone: str
    slots: int
    state: str
