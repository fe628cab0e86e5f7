"""Errors of the cluster of relays."""

from __future__ import annotations

from lynxscale.relay.exceptions import RelayError


class ClusterError(RelayError):
    """Base of the cluster's errors."""


class FrameError(ClusterError, ValueError):
    """A frame is malformed or not meant for this node. ``reason``: the name of the counter it is counted by."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class ForeignStateError(ClusterError):
    """The state folder belongs to another node; the text names both."""
