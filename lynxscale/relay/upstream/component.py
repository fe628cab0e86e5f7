"""The relay component that watches endpoint list files."""

from __future__ import annotations

from collections.abc import Collection

from lynxscale.relay.components import Component, ComponentContext
from lynxscale.relay.conf.platform import Config
from lynxscale.relay.conf.settings import Conf
from lynxscale.relay.upstream.file_watch import FileWatch
from lynxscale.relay.upstream.group import FILES
from lynxscale.relay.upstream.list_store import ListStore
from lynxscale.relay.upstream.rules import rules_of


class WatchComponent(Component):
    """Keeps the group's endpoint lists up to date from watched files."""

    def __init__(self, context: ComponentContext) -> None:
        members, settings = context.product.members, context.conf.settings
        self._watch = FileWatch(
            context.reactor,
            context.deadlines,
            members,
            rules_of(members, settings.kinds, settings.zones),
            context.group,
            ListStore(context.conf.state),
            context.reporter,
            context.counters,
        )
        context.group.add(FILES, self._watch)

    def start(self) -> None:
        """Restore the last good lists and begin watching the files."""
        self._watch.start()

    def stop(self) -> None:
        """Stop watching the files."""
        self._watch.stop()

    def reload(self, conf: Config, product: Conf) -> Collection[str]:
        """Scan the files soon, without waiting for the poll interval."""
        self._watch.rescan()
        return ()
