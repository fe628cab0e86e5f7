"""An explicit-state model checker: visits every state that a small model can reach, and checks its invariants.

``search`` takes a function that gives the successors of a state. ``explore`` takes state machines that are plain
objects: each state is reached by replaying its events from the start, so nothing needs to be copied, and states with
equal keys count as one.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable, Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol, TypeVar

import msgspec

State = TypeVar("State", bound=Hashable)
Event = tuple[Any, ...]
"""The name of the event, then its subject and arguments; each model documents its own."""
MAX_STATES = 200_000


class InvariantViolation(AssertionError):
    """An invariant did not hold; the text says which, and by what path of events."""


class TooManyStatesError(RuntimeError):
    """The bounds of a model are too wide for a search."""


@dataclass(slots=True)
class _Trace:
    """The path to a state, as a linked list from its last event."""

    event: Event
    before: _Trace | None

    def events(self) -> list[Event]:
        """All events, the first one first."""
        found = []
        trace: _Trace | None = self
        while trace is not None:
            found.append(trace.event)
            trace = trace.before
        return found[::-1]


def search(
    first: State,
    successors: Callable[[State], Iterable[tuple[Event, State]]],
    check: Callable[[State], State],
    describe: Callable[[list[Event]], str],
    max_states: int,
    depth_first: bool = False,
) -> int:
    """The number of states reached from ``first``.

    ``check`` returns the state in its canonical form, or raises InvariantViolation; ``describe`` renders a path.
    Raises InvariantViolation with the path, TooManyStatesError where there are more than ``max_states``.
    """
    seen: set[State] = {first}
    frontier: deque[tuple[State, _Trace | None]] = deque([(first, None)])
    while frontier:
        state, before = frontier.pop() if depth_first else frontier.popleft()
        for event, successor in successors(state):
            try:
                reached = check(successor)
            except InvariantViolation as violation:
                raise InvariantViolation(f"{violation}; by {describe(_Trace(event, before).events())}") from violation
            if reached not in seen:
                seen.add(reached)
                if len(seen) > max_states:
                    raise TooManyStatesError(f"more than {max_states} states")
                frontier.append((reached, _Trace(event, before)))
    return len(seen)


class StateMachine(Protocol):
    """A machine that can be searched. Its events and keys must depend only on the events applied."""

    def events(self) -> list[Event]:
        """The events that are possible now."""

    def apply(self, event: Event) -> None:
        """Let an event happen."""

    def key(self) -> Hashable:
        """Equal for states with equal behaviour from here on."""

    def check(self) -> None:
        """Raises InvariantViolation."""


@dataclass(frozen=True)
class Path:
    """A state by its key, and one path to it."""

    key: Hashable
    events: tuple[Event, ...] = field(compare=False)


def explore(make: Callable[[], StateMachine], max_states: int = MAX_STATES, depth_first: bool = False) -> int:
    """The number of states of a machine. Raises InvariantViolation, TooManyStatesError."""

    def reach(events: tuple[Event, ...]) -> StateMachine:
        machine = make()
        for event in events:
            machine.apply(event)
        return machine

    def successors(path: Path) -> Iterator[tuple[Event, Path]]:
        for event in reach(path.events).events():
            yield event, Path(None, (*path.events, event))

    def check(path: Path) -> Path:
        machine = reach(path.events)
        machine.check()
        return Path(machine.key(), path.events)

    return search(check(Path(None, ())), successors, check, describe_events, max_states, depth_first)


def describe_events(events: list[Event]) -> str:
    """A path as text."""
    return "; ".join(" ".join(str(word) for word in event) for event in events)


def frozen(value: object, omitted: frozenset[str] = frozenset()) -> Hashable:
    """A hashable value that is equal for equal content, for keys. Attributes named in ``omitted`` are left out."""
    if isinstance(value, dict):
        return tuple(sorted((frozen(key, omitted), frozen(one, omitted)) for key, one in value.items()))
    if isinstance(value, (set, frozenset)):
        return frozenset(frozen(one, omitted) for one in value)
    if isinstance(value, (list, tuple, deque)):
        return tuple(frozen(one, omitted) for one in value)
    if isinstance(value, (str, bytes, int, float, bool, Enum, type(None))):
        return value
    if isinstance(value, msgspec.Raw):
        return bytes(value)
    if isinstance(value, msgspec.Struct):
        return msgspec.json.encode(value)
    return (type(value).__name__, frozen(_attributes(value, omitted), omitted))


def _attributes(value: object, omitted: frozenset[str]) -> dict[str, object]:
    """The attributes of an object that are data."""
    attributes = vars(value) if hasattr(value, "__dict__") else {name: getattr(value, name) for name in value.__slots__}
    return {name: one for name, one in attributes.items() if name not in omitted and not callable(one)}
