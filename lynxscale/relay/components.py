"""What a relay is put together from round its core: parts behind one small port, attached as the settings say.

The daemon starts, reloads and stops them in one way and knows none of them. A part's module is imported only
where it is switched on.
"""

from __future__ import annotations

import importlib
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import structlog

from lynxscale.relay.conf.platform import Config
from lynxscale.relay.conf.table import Conf

if TYPE_CHECKING:
    from lynxscale.relay.core import Relay
    from lynxscale.relay.counters import Counters
    from lynxscale.relay.deadlines import Deadlines, Loop
    from lynxscale.relay.lifecycle import Lifecycle
    from lynxscale.relay.upstream.group import Group
    from lynxscale.relay.upstream.validation import Teller

log = structlog.get_logger()


class Part:
    """One part of a relay; what it does not need it leaves as it is here.

    ``sockets``: descriptors that it keeps for itself, beside those of clients and peers.
    """

    sockets = 0

    def start(self) -> None:
        """Begin. Nothing is served yet, and no message of an earlier process is taken over yet.

        Raises OSError or CannotListenError where the machine is in the way, PlatformError where a setting is.
        """

    def reload(self, conf: Config, own: Conf) -> Collection[str]:
        """New settings, checked; called at every SIGHUP, also where nothing differs.

        Returns the keys and sections that hold from now on without a restart.
        """
        return ()

    def stop(self) -> None:
        """The process ends in this turn."""

    def counters(self) -> Mapping[str, Mapping[str, int]]:
        """Groups of figures beside those that it counts in the relay's own table."""
        return {}


@dataclass(frozen=True, slots=True)
class Host:
    """What a part may use of the relay."""

    conf: Config
    own: Conf
    reactor: Any
    loop: Loop
    deadlines: Deadlines
    counters: Counters
    relay: Relay
    group: Group
    teller: Teller
    lifecycle: Lifecycle
    drain: Callable[[], None]
    resume: Callable[[], bool]
    # More calls of the operators' door, where there is one: path to method and what answers, status and body, by the
    # query's text.
    calls: dict[str, tuple[str, Callable[[str], tuple[int, dict]]]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Kind:
    """``attach`` is ``module:function``; the function takes a Host and returns a Part. ``own_only``: the platform does
    not give what it needs, so there it is left off."""

    attach: str
    wanted: Callable[[Config, Conf], bool]
    own_only: bool = False


# In the order in which they start; they stop the other way round.
KINDS = (
    Kind("lynxscale.trace.component:attach", lambda conf, own: own.trace.folder is not None),
    Kind("lynxscale.relay.net.components:notices", lambda conf, own: True),
    Kind("lynxscale.relay.upstream.component:attach", lambda conf, own: bool(own.members.files)),
    Kind("lynxscale.relay.net.components:discovery", lambda conf, own: conf.discovery is not None),
    Kind("lynxscale.relay.net.components:door", lambda conf, own: conf.admin is not None),
    Kind("lynxscale.relay.cluster.component:attach", lambda conf, own: own.cluster.name is not None, own_only=True),
)


def attach(host: Host) -> list[Part]:
    """The parts that the settings switch on, in the order in which they start."""
    found = []
    for kind in KINDS:
        if not kind.wanted(host.conf, host.own):
            continue
        module, _, name = kind.attach.partition(":")
        if kind.own_only and host.conf.by_platform:
            log.warning("part_left_off", part=module, reason="the platform runs this relay")
        else:
            found.append(getattr(importlib.import_module(module), name)(host))
    return found
