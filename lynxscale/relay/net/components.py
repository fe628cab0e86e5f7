"""Components for discovery, notices and the admin server."""

from __future__ import annotations

import time
from collections.abc import Collection
from pathlib import Path
from typing import TYPE_CHECKING

from twisted.internet.error import CannotListenError

from lynxscale.relay.components import Component, ComponentContext
from lynxscale.relay.conf import platform
from lynxscale.relay.conf.platform import Config
from lynxscale.relay.conf.settings import Conf
from lynxscale.relay.upstream.group import DISCOVERY

if TYPE_CHECKING:
    from lynxscale.relay.net.notices import Notices
    from lynxscale.relay.outcome_log import OutcomeLog


class DiscoveryComponent(Component):
    """Updates the group's endpoint list from the discovery service."""

    def __init__(self, context: ComponentContext) -> None:
        from lynxscale.relay.net.discovery import Discovery

        self._address, self._known = context.conf.discovery, context.conf.known
        self._discovery = Discovery(
            context.reactor,
            context.deadlines,
            self._address,
            context.group,
            context.counters,
            context.reporter,
            pushed=not context.conf.settings.asks_for_members,
            grace_ms=context.conf.settings.drain_grace_ms,
        )
        context.group.add(DISCOVERY, self._discovery)

    def start(self) -> None:
        """Start with the endpoint list of the last run."""
        self._discovery.begin(self._known)

    def reload(self, conf: Config, product: Conf) -> Collection[str]:
        """Switch to the service's new address, if it has changed."""
        if conf.discovery != self._address:
            self._address = conf.discovery
            self._discovery.move(conf.discovery)
        return ("discovery",)

    def stop(self) -> None:
        """Close the connection."""
        self._discovery.stop()


class NoticesComponent(Component):
    """Reports final outcomes: as notices to the platform or to an HTTP address, or as lines in a file."""

    def __init__(self, context: ComponentContext) -> None:
        self._address = context.conf.discovery
        self._notices = context.relay.notices = self._create(context)

    def _create(self, context: ComponentContext) -> Notices | OutcomeLog:
        acknowledged, finals = context.relay.notified, context.product.finals
        if not context.conf.by_platform and finals.file is not None:
            from lynxscale.relay.outcome_log import OutcomeLog

            return OutcomeLog(
                Path(finals.file),
                finals.size,
                finals.files,
                context.deadlines,
                acknowledged,
                context.counters,
                time.time,
            )
        from lynxscale.relay.net.notices import Notices

        if context.conf.by_platform:
            return Notices(context.reactor, context.deadlines, self._address, acknowledged, context.counters)
        return Notices(
            context.reactor,
            context.deadlines,
            platform.address(finals.http, "http"),
            acknowledged,
            context.counters,
            finals.path,
        )

    def reload(self, conf: Config, product: Conf) -> Collection[str]:
        """Switch to the platform's new address, if it has changed."""
        if conf.by_platform and conf.discovery != self._address:
            self._address = conf.discovery
            self._notices.move(conf.discovery)
        return ()

    def stop(self) -> None:
        """Close the connection. Unacknowledged notices stay in the journal."""
        self._notices.stop()


class AdminServerComponent(Component):
    """The operators' HTTP listener."""

    def __init__(self, context: ComponentContext) -> None:
        from lynxscale.relay.net.admin_server import MAX_CONNECTIONS, AdminServer

        self.sockets = MAX_CONNECTIONS + 2
        self._reactor, self._address = context.reactor, context.conf.admin
        self._server = AdminServer(
            context.deadlines, context.counters, context.lifecycle, context.drain, context.resume, context.calls
        )

    def start(self) -> None:
        """Listen. Raises PlatformError if the address cannot be bound."""
        try:
            self._server.listen(self._reactor, self._address)
        except CannotListenError as error:
            raise platform.PlatformError(f"admin_addr (NODE_ADMIN_ADDR): {error}") from error

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop()
