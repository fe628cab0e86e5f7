"""The configuration of a relay: the route table in use, and whether a newer one may be in force."""

from __future__ import annotations

import attrs

from lynxscale.configuration.model import Route
from lynxscale.coordination.distribution_tree import Subscriber
from lynxscale.dataplane.routing import RouteTable
from lynxscale.discovery.topics import CONFIGURATION_TOPIC


class RelayConfiguration:
    """``table``: the route table in use, None until there is one.

    ``error``: why the newest version received cannot be used, empty if it can.
    """

    def __init__(self, tree: Subscriber) -> None:
        self.table: RouteTable | None = None
        self.error = ""
        self._tree = tree

    @property
    def version(self) -> int:
        """The version of the route table, 0 if there is none."""
        return self.table.generation if self.table else 0

    @property
    def received_version(self) -> int:
        """The newest version received, 0 for none; the table is older if the relay cannot use that version."""
        topic = self._tree.publisher.topics.get(CONFIGURATION_TOPIC)
        return topic.version.number if topic else 0

    @property
    def outdated(self) -> bool:
        """Whether the table counts as outdated: no primary confirmed it lately, or the relay cannot use a newer one.

        This bounds the age of the table and is no proof: a primary may have acknowledged a newer version just now.
        """
        return self._tree.isolated or self.received_version > self.version


@attrs.frozen
class RouteMatch:
    """The route of a request, and the table that contains it.

    ``stated_version``: the version that the primary compares with the newest before it admits a turn; None if the table
    is known to be as new as the newest configuration was when the request arrived.
    """

    route: Route
    table: RouteTable
    stated_version: int | None
