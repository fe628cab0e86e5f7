"""The optional parts of a relay around its core, each behind the same small interface.

The daemon starts, reloads and stops components alike and knows none of them by name. A component's module is imported
only where the settings switch it on.
"""

from __future__ import annotations

import importlib
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import structlog

from lynxscale.relay.conf.platform import Config
from lynxscale.relay.conf.settings import Conf

if TYPE_CHECKING:
    from lynxscale.relay.core import Relay
    from lynxscale.relay.counters import Counters
    from lynxscale.relay.deadlines import Deadlines, Loop
    from lynxscale.relay.lifecycle import Lifecycle
    from lynxscale.relay.upstream.group import Group
    from lynxscale.relay.upstream.verdict_reporter import VerdictReporter

log = structlog.get_logger()

# An admin call: its HTTP method, and what gives its status and body by the text of the query.
AdminCall = tuple[str, Callable[[str], tuple[int, dict]]]


class Component:
    """One component of a relay; a subclass overrides what it needs.

    ``sockets``: file descriptors that it reserves, beside those of clients and peers.
    """

    sockets = 0

    def start(self) -> None:
        """Begin. No client is served yet, and no message of an earlier process is recovered yet.

        Raises OSError or CannotListenError where the machine is at fault, PlatformError where a setting is.
        """

    def reload(self, conf: Config, product: Conf) -> Collection[str]:
        """Apply new settings, already validated; called at every SIGHUP, also where nothing differs.

        Returns the keys and sections that are in force from now on without a restart.
        """
        return ()

    def stop(self) -> None:
        """Release everything; the process ends in this turn of the loop."""

    def counters(self) -> Mapping[str, Mapping[str, int]]:
        """Groups of counters beside those that it adds to the relay's own table."""
        return {}


@dataclass(frozen=True, slots=True)
class ComponentContext:
    """What a component may use of the relay.

    ``conf`` is the configuration in force, ``product`` the settings file of lynxscale itself. ``calls`` are further
    calls of the admin server by path, to which components add their own.
    """

    conf: Config
    product: Conf
    reactor: Any
    loop: Loop
    deadlines: Deadlines
    counters: Counters
    relay: Relay
    group: Group
    reporter: VerdictReporter
    lifecycle: Lifecycle
    drain: Callable[[], None]
    resume: Callable[[], bool]
    calls: dict[str, AdminCall] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ComponentSpec:
    """One kind of component and when it is enabled.

    ``factory`` is ``module:class``, called with a ComponentContext. ``standalone_only``: the platform does not provide
    what it needs, so it stays disabled there.
    """

    factory: str
    enabled: Callable[[Config, Conf], bool]
    standalone_only: bool = False

    def load(self) -> Callable[[ComponentContext], Component]:
        """Import its module and return its factory."""
        module, _, name = self.factory.partition(":")
        return getattr(importlib.import_module(module), name)


# In the order in which they start; they stop in reverse.
COMPONENTS = (
    ComponentSpec("lynxscale.trace.component:TraceComponent", lambda conf, product: product.trace.folder is not None),
    ComponentSpec("lynxscale.relay.net.components:NoticesComponent", lambda conf, product: True),
    ComponentSpec(
        "lynxscale.relay.upstream.component:WatchComponent", lambda conf, product: bool(product.members.files)
    ),
    ComponentSpec(
        "lynxscale.relay.net.components:DiscoveryComponent", lambda conf, product: conf.discovery is not None
    ),
    ComponentSpec("lynxscale.relay.net.components:AdminServerComponent", lambda conf, product: conf.admin is not None),
    ComponentSpec(
        "lynxscale.relay.cluster.component:ClusterComponent",
        lambda conf, product: product.cluster.name is not None,
        standalone_only=True,
    ),
)


def build_components(context: ComponentContext) -> list[Component]:
    """The components that the settings enable, in the order in which they start."""
    components = []
    for spec in COMPONENTS:
        if not spec.enabled(context.conf, context.product):
            continue
        if spec.standalone_only and context.conf.by_platform:
            module = spec.factory.partition(":")[0]
            log.warning("component_disabled", component=module, reason="the platform runs this relay")
        else:
            components.append(spec.load()(context))
    return components
