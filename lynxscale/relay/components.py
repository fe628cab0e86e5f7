"""The optional components of a relay around its core, all behind one interface.

The daemon starts, reloads and stops every component through that interface. A component's module is imported only if
the settings enable it.
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

# An admin call: its HTTP method, and a function from the query string to the response's status and body.
AdminCall = tuple[str, Callable[[str], tuple[int, dict]]]


class Component:
    """Base class of the components; a subclass overrides the methods that it needs.

    ``sockets``: the number of file descriptors that it reserves, in addition to those of clients and peers.
    """

    sockets = 0

    def start(self) -> None:
        """Start, before any client is served and before messages of an earlier process are recovered.

        Raises OSError or CannotListenError if the operating system refuses, PlatformError if a setting is invalid.
        """

    def reload(self, conf: Config, product: Conf) -> Collection[str]:
        """Apply new settings, which are already validated; called at every SIGHUP, even if nothing has changed.

        Returns the keys and sections that are now in force without a restart.
        """
        return ()

    def stop(self) -> None:
        """Release all resources; the process exits in this turn of the loop."""

    def counters(self) -> Mapping[str, Mapping[str, int]]:
        """Groups of counters in addition to those that the component adds to the relay's table."""
        return {}


@dataclass(frozen=True, slots=True)
class ComponentContext:
    """The objects of the relay that a component may use.

    ``conf`` is the relay's configuration in force, ``product`` the contents of the lynxscale settings file. ``calls``
    holds additional calls of the admin server by path; components add theirs to it.
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
    """Names the class of a component and says when the component is enabled.

    ``factory`` is ``module:class``, called with a ComponentContext. ``standalone_only``: the component needs something
    that the platform does not provide, so it stays disabled in a relay that the platform runs.
    """

    factory: str
    enabled: Callable[[Config, Conf], bool]
    standalone_only: bool = False

    def load(self) -> Callable[[ComponentContext], Component]:
        """Import the component's module and return its factory."""
        module, _, name = self.factory.partition(":")
        return getattr(importlib.import_module(module), name)


# In start order; components stop in reverse order.
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
    """Create the components that the settings enable, in start order."""
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
