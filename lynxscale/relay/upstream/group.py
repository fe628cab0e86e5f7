"""The upstream group of a running relay: merges the lists of one or two sources into the list in force.

Each destination is owned by the first source, in the order of precedence, that lists it. Endpoints that another source
lists for the same destination, or under an id that the owner's list has, are ignored, so that two generations of a peer
are never mixed.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

from lynxscale.relay.deadlines import Deadlines
from lynxscale.relay.upstream.endpoint_table import EndpointTable
from lynxscale.relay.upstream.model import ENTRIES_PER_SLICE, Endpoint, SlicedWork
from lynxscale.relay.upstream.slow_start import SlowStart
from lynxscale.scheduling.events import Lifecycle, Member, MembershipKind, MembershipUpdate
from lynxscale.scheduling.settings import Settings

FILES, DISCOVERY = "files", "discovery"
SOURCES = (FILES, DISCOVERY)
MAX_MEMBERS_PER_UPDATE = 64  # members in one scheduler event; bounds how long its step blocks the event loop


class Source(Protocol):
    """A source of lists. It passes changes to ``Group.update`` and complete lists to ``Group.replace``."""

    def watch(self, active: bool) -> None:
        """Start or stop reporting changes."""

    def fetch(self) -> None:
        """Report the complete list once."""


class Group:
    """The list in force, as used by the core, the peers and the clients.

    ``put`` passes events to the scheduler, and ``on_removed`` is called with the number of each removed endpoint.
    ``order`` lists the sources by precedence. ``slow_start`` is the time in µs over which a weight is raised.
    """

    def __init__(
        self,
        settings: Settings,
        deadlines: Deadlines,
        put: Callable[[object], None],
        on_removed: Callable[[int], None],
        order: Iterable[str] = SOURCES,
        slow_start: int = 0,
    ) -> None:
        self._deadlines, self._put, self._on_removed = deadlines, put, on_removed
        self._slow_start = SlowStart(slow_start)
        self.table = EndpointTable(settings.kinds, settings.zones, self._slow_start)
        # As in the scheduler, a kind that is not in the settings counts as the first one.
        self._per_call = dict(zip(settings.kinds, settings.per_call, strict=False))
        self._default_per_call = settings.per_call[0] if settings.per_call else 1
        self._separate_routes = dict(zip(settings.kinds, settings.routes_apart, strict=False))
        self._default_separate_routes = any(settings.routes_apart[:1])
        self._order = tuple(order)
        self._lists: dict[str, dict[str, Endpoint]] = {}
        self._endpoint_counts: dict[str, dict[int, int]] = {}  # listed endpoints by source and destination
        self._sources: dict[str, Source] = {}
        self.has_list = False  # True once any source has reported its list
        self._slow_start_scheduled = False  # a timer for the next step is set

    def add(self, name: str, source: Source) -> None:
        """Add a source; ``name`` is one of those in the order of precedence."""
        self._sources[name] = source
        self._lists[name], self._endpoint_counts[name] = {}, {}

    # Queries -----------------------------------------------------------------------------

    def has_destination(self, destination: int) -> bool:
        """Whether the list in force has this destination, or had it until recently."""
        return self.table.has_destination(destination, self._deadlines.now())

    def name_of(self, endpoint: int) -> tuple[str, str] | None:
        """The id and address of an endpoint, while it is listed."""
        entry = self.table.entry(endpoint)
        return (entry.id, "{}:{}".format(*entry.address)) if entry is not None else None

    def number_of(self, id_: str, address: str) -> int | None:
        """The scheduler's number of an endpoint, while it is listed at that address."""
        number = self.table.number(id_)
        return number if number is not None and self.name_of(number) == (id_, address) else None

    def per_call(self, endpoint: int) -> int:
        """How many messages one call to an endpoint may carry."""
        entry = self.table.entry(endpoint)
        return self._per_call.get(entry.kind, self._default_per_call) if entry is not None else 1

    def route_of(self, endpoint: int) -> str | None:
        """The id of an endpoint that has its own limit and waits; None if those of its destination apply."""
        entry = self.table.entry(endpoint)
        return (
            entry.id
            if entry is not None and self._separate_routes.get(entry.kind, self._default_separate_routes)
            else None
        )

    def accepts_new(self, endpoint: int) -> bool:
        """Whether new requests may be sent to an endpoint: it is listed and not draining."""
        entry = self.table.entry(endpoint)
        return entry is not None and entry.lifecycle == Lifecycle.READY

    def address_of(self, endpoint: int) -> tuple[str, int] | None:
        """The address of an endpoint, while it is listed."""
        entry = self.table.entry(endpoint)
        return entry.address if entry is not None else None

    def watch(self, active: bool) -> None:
        """Start or stop the reporting of changes by all sources."""
        for source in self._sources.values():
            source.watch(active)

    def fetch(self) -> None:
        """Make all sources report their complete list once."""
        for source in self._sources.values():
            source.fetch()

    # Reports of the sources ------------------------------------------------------------------------

    def list_of(self, name: str) -> Mapping[str, Endpoint]:
        """The list of a source."""
        return self._lists[name]

    def failed(self, version: int) -> None:
        """Report that a source could not be queried; the scheduler requests the list again."""
        self._put(MembershipUpdate(MembershipKind.FAILED, version, []))

    def update(
        self,
        name: str,
        kind: MembershipKind,
        version: int,
        changes: Iterable[tuple[str, Endpoint | None]],
        always: bool = False,
    ) -> None:
        """Apply changes to a source's list, each an id and its endpoint, or None if it is removed.

        With kind FULL or CACHED, ``changes`` is the source's complete list. ``always``: the scheduler waits for an
        update and gets one even if nothing has changed.
        """
        changes = list(changes)
        if kind != MembershipKind.CACHED:
            self.has_list = True
        if kind != MembershipKind.DELTA:
            reported = {id_ for id_, _entry in changes}
            changes += [(id_, None) for id_ in self._lists[name] if id_ not in reported]
        members = self._apply(self._apply_to_source(name, changes))
        if kind != MembershipKind.DELTA and len(self._sources) == 1:
            self._put(MembershipUpdate(kind, version, self.table.members()))
            return
        if kind == MembershipKind.FULL:
            kind = MembershipKind.DELTA  # the changes do not contain the other source's endpoints
        for at in range(0, len(members), MAX_MEMBERS_PER_UPDATE):
            self._put(MembershipUpdate(kind, version, members[at : at + MAX_MEMBERS_PER_UPDATE]))
        if not members and (always or kind == MembershipKind.CACHED):
            self._put(MembershipUpdate(kind, version, []))

    def replace(
        self, name: str, version: int, old: Mapping[str, Endpoint], new: Mapping[str, Endpoint]
    ) -> SlicedWork[None]:
        """Replace the entries ``old`` of a source's list by ``new``, in slices; drains and removals go first."""
        self.has_list = True
        other_changes, drains_and_removals = [], []
        for index, (id_, entry) in enumerate(new.items()):
            if not index % ENTRIES_PER_SLICE:
                yield
            before = old.get(id_)
            if before is entry or before == entry:
                continue
            (drains_and_removals if entry.lifecycle == Lifecycle.DRAINING else other_changes).append((id_, entry))
        for index, id_ in enumerate(old):
            if not index % ENTRIES_PER_SLICE:
                yield
            if id_ not in new:
                drains_and_removals.append((id_, None))
        for changes in (drains_and_removals, other_changes):
            while changes:
                chunk = changes[-MAX_MEMBERS_PER_UPDATE:]
                del changes[-MAX_MEMBERS_PER_UPDATE:]  # in chunks, because freeing the complete list blocks for long
                members = self._apply(self._apply_to_source(name, chunk))
                if members:
                    self._put(MembershipUpdate(MembershipKind.DELTA, version, members))
                yield

    # Precedence ----------------------------------------------------------------------------------

    def _owner(self, destination: int) -> str | None:
        for name in self._order:
            if destination in self._endpoint_counts.get(name, ()):
                return name
        return None

    def _entry_in_force(self, id_: str) -> Endpoint | None:
        """The entry in force for an id."""
        for name in self._order:
            entry = self._lists.get(name, {}).get(id_)
            if entry is not None and self._owner(entry.destination) == name:
                return entry
        return None

    def _apply_to_source(
        self, name: str, changes: list[tuple[str, Endpoint | None]]
    ) -> list[tuple[str, Endpoint | None]]:
        """Apply changes to a source's list, and return the resulting changes of the list in force."""
        entries, counts = self._lists[name], self._endpoint_counts[name]
        if len(self._sources) == 1:
            for id_, entry in changes:
                self._set_entry(entries, counts, id_, entry)
            return changes
        touched = {id_: None for id_, _entry in changes}
        before = {}
        for id_, entry in changes:
            for one in (entries.get(id_), entry):
                if one is not None and one.destination not in before:
                    before[one.destination] = self._owner(one.destination)
        for id_, entry in changes:
            self._set_entry(entries, counts, id_, entry)
        reassigned = {number for number, owner in before.items() if self._owner(number) != owner}
        if reassigned:
            # The owner of a destination has changed: evaluate again every entry that any source lists for it.
            for rows in self._lists.values():
                touched.update((id_, None) for id_, entry in rows.items() if entry.destination in reassigned)
        return [(id_, self._entry_in_force(id_)) for id_ in touched]

    @staticmethod
    def _set_entry(entries: dict[str, Endpoint], counts: dict[int, int], id_: str, entry: Endpoint | None) -> None:
        before = entries.pop(id_, None)
        if before is not None:
            counts[before.destination] -= 1
            if not counts[before.destination]:
                del counts[before.destination]
        if entry is not None:
            entries[id_] = entry
            counts[entry.destination] = counts.get(entry.destination, 0) + 1

    def _apply(self, changes: list[tuple[str, Endpoint | None]]) -> list[Member]:
        members, removed = self.table.apply(changes, self._deadlines.now())
        for number in removed:
            self._on_removed(number)
        if len(self._slow_start) and not self._slow_start_scheduled:
            self._slow_start_scheduled = True
            self._deadlines.after(self._slow_start.step_interval, self._advance_slow_start)
        return members

    def _advance_slow_start(self) -> None:
        members = self.table.advance_slow_start(self._deadlines.now())
        for at in range(0, len(members), MAX_MEMBERS_PER_UPDATE):
            self._put(MembershipUpdate(MembershipKind.DELTA, 0, members[at : at + MAX_MEMBERS_PER_UPDATE]))
        self._slow_start_scheduled = len(self._slow_start) > 0
        if self._slow_start_scheduled:
            self._deadlines.after(self._slow_start.step_interval, self._advance_slow_start)
