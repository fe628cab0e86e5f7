"""Watched files of endpoints as a part of a relay."""

from __future__ import annotations

from collections.abc import Collection

from lynxscale.relay.components import Component, ComponentContext
from lynxscale.relay.conf.platform import Config
from lynxscale.relay.conf.table import Conf
from lynxscale.relay.upstream.group import FILES
from lynxscale.relay.upstream.rules import rules_of
from lynxscale.relay.upstream.state import Lists
from lynxscale.relay.upstream.watch import Watch


class WatchComponent(Component):
    def __init__(self, context: ComponentContext) -> None:
        members, settings = context.product.members, context.conf.settings
        self._watch = Watch(
            context.reactor,
            context.deadlines,
            members,
            rules_of(members, settings.kinds, settings.zones),
            context.group,
            Lists(context.conf.state),
            context.teller,
            context.counters,
        )
        context.group.add(FILES, self._watch)
        self.start, self.stop = self._watch.start, self._watch.stop

    def reload(self, conf: Config, product: Conf) -> Collection[str]:
        self._watch.poke()
        return ()
