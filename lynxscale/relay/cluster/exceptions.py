"""Exceptions of the relay cluster."""

from __future__ import annotations

from lynxscale.relay.exceptions import RelayError


class ClusterError(RelayError):
    """Base class of the cluster's exceptions."""


class FrameError(ClusterError, ValueError):
    """A frame is malformed or not meant for this node. ``reason``: one word, by which it is counted."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class ForeignStateError(ClusterError):
    """The state folder belongs to another node; the message names both."""
