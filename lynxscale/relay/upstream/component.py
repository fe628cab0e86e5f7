"""Watched files of endpoints as a part of a relay."""

from __future__ import annotations

from collections.abc import Collection

from lynxscale.relay.components import Host, Part
from lynxscale.relay.conf.platform import Config
from lynxscale.relay.conf.table import Conf
from lynxscale.relay.upstream.group import FILES
from lynxscale.relay.upstream.rules import rules_of
from lynxscale.relay.upstream.state import Lists
from lynxscale.relay.upstream.watch import Watch


class WatchPart(Part):
    def __init__(self, host: Host) -> None:
        members, settings = host.own.members, host.conf.settings
        self._watch = Watch(
            host.reactor,
            host.deadlines,
            members,
            rules_of(members, settings.kinds, settings.zones),
            host.group,
            Lists(host.conf.state),
            host.teller,
            host.counters,
        )
        host.group.add(FILES, self._watch)
        self.start, self.stop = self._watch.start, self._watch.stop

    def reload(self, conf: Config, own: Conf) -> Collection[str]:
        self._watch.poke()
        return ()


attach = WatchPart
