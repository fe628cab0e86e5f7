"""The operator's configuration as the control plane stores, updates and compares it: the JSON object as it was sent.

``lynxscale.configuration.model`` defines the fields of its entries.
"""

from __future__ import annotations

from typing import Any, NotRequired, TypedDict


class Configuration(TypedDict):
    """A complete configuration. ``generation`` is its version."""

    generation: int
    routes: list[dict[str, Any]]
    services: list[dict[str, Any]]
    limits: NotRequired[dict[str, Any]]
