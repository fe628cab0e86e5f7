"""The record of one endpoint, as the platform lists it and as the control plane publishes it."""

from __future__ import annotations

import msgspec


class Endpoint(msgspec.Struct, frozen=True, order=True):
    """One endpoint of the platform's list; its field names are those of the platform's answer and of the topics.

    ``backend`` names the service that it runs, ``address`` is ``host:port``, ``slots`` is the number of requests that
    it runs at once, and ``state`` is the platform's word for its lifecycle, such as ``ready`` or ``draining``.
    """

    id: str
    backend: str
    address: str
    zone: str
    slots: int
    state: str
