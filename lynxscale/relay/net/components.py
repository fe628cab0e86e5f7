"""Discovery, notices and the operators' door as parts of a relay."""

from __future__ import annotations

import time
from collections.abc import Collection
from pathlib import Path
from typing import TYPE_CHECKING

from twisted.internet.error import CannotListenError

from lynxscale.relay.components import Host, Part
from lynxscale.relay.conf import platform
from lynxscale.relay.conf.platform import Config
from lynxscale.relay.conf.table import Conf
from lynxscale.relay.upstream.group import DISCOVERY

if TYPE_CHECKING:
    from lynxscale.relay.net.notices import Notices
    from lynxscale.relay.outcome_log import FinalsFile


class DiscoveryPart(Part):
    def __init__(self, host: Host) -> None:
        from lynxscale.relay.net.discovery import Discovery

        self._where, self._known = host.conf.discovery, host.conf.known
        self._discovery = Discovery(
            host.reactor,
            host.deadlines,
            self._where,
            host.group,
            host.counters,
            host.teller,
            pushed=not host.conf.settings.asks_for_members,
            grace_ms=host.conf.settings.drain_grace_ms,
        )
        host.group.add(DISCOVERY, self._discovery)
        self.stop = self._discovery.stop

    def start(self) -> None:
        self._discovery.begin(self._known)

    def reload(self, conf: Config, own: Conf) -> Collection[str]:
        if conf.discovery != self._where:
            self._where = conf.discovery
            self._discovery.move(conf.discovery)
        return ("discovery",)


class NoticesPart(Part):
    """Notices to the platform or to an address, or a file of lines."""

    def __init__(self, host: Host) -> None:
        self._where = host.conf.discovery
        self._notices = host.relay.notices = self._made(host)
        self.stop = self._notices.stop

    def _made(self, host: Host) -> Notices | FinalsFile:
        done, finals = host.relay.notified, host.own.finals
        if not host.conf.by_platform and finals.file is not None:
            from lynxscale.relay.outcome_log import FinalsFile

            return FinalsFile(
                Path(finals.file), finals.size, finals.files, host.deadlines, done, host.counters, time.time
            )
        from lynxscale.relay.net.notices import Notices

        if host.conf.by_platform:
            return Notices(host.reactor, host.deadlines, self._where, done, host.counters)
        return Notices(
            host.reactor, host.deadlines, platform.address(finals.http, "http"), done, host.counters, finals.path
        )

    def reload(self, conf: Config, own: Conf) -> Collection[str]:
        if conf.by_platform and conf.discovery != self._where:
            self._where = conf.discovery
            self._notices.move(conf.discovery)
        return ()


class DoorPart(Part):
    def __init__(self, host: Host) -> None:
        from lynxscale.relay.net import admin_server as door

        self.sockets = door.MOST + 2
        self._reactor, self._where = host.reactor, host.conf.admin
        self._door = door.Door(host.deadlines, host.counters, host.lifecycle, host.drain, host.resume, host.calls)
        self.stop = self._door.stop

    def start(self) -> None:
        try:
            self._door.listen(self._reactor, self._where)
        except CannotListenError as error:
            raise platform.PlatformError(f"admin_addr (NODE_ADMIN_ADDR): {error}") from error


discovery, notices, door = DiscoveryPart, NoticesPart, DoorPart
