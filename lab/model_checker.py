"""Every order of what may happen to a small machine: one search for all laboratories.

``search`` goes from state to state as a model tells. ``explore`` is for machines that are plain objects: each state is
reached by doing its events anew from the start, so nothing needs to be copied, and states with equal keys are one.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable, Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol, TypeVar

import msgspec

State = TypeVar("State", bound=Hashable)
Event = tuple


class InvariantViolation(AssertionError):
    """Something promised did not hold."""


class TooManyStatesError(RuntimeError):
    """The bounds of a model are too wide to be searched."""


def search(
    first: State,
    nexts: Callable[[State], Iterable[tuple[Event, State]]],
    judge: Callable[[State], State],
    told: Callable[[list[Event]], str],
    most: int,
    depth_first: bool = False,
) -> int:
    """The number of states. ``judge`` gives the state as it counts, or raises InvariantViolation.

    ``told`` makes a path of events readable. Raises InvariantViolation with the path to the state, TooManyStatesError
    where there are more than ``most`` states.
    """
    seen: set[State] = {first}
    waiting: deque[tuple[State, tuple | None]] = deque([(first, None)])
    while waiting:
        state, way = waiting.pop() if depth_first else waiting.popleft()
        for event, after in nexts(state):
            try:
                met = judge(after)
            except InvariantViolation as breach:
                raise InvariantViolation(f"{breach}; by {told(_events((event, way)))}") from breach
            if met not in seen:
                seen.add(met)
                if len(seen) > most:
                    raise TooManyStatesError(f"more than {most} states")
                waiting.append((met, (event, way)))
    return len(seen)


def _events(way: tuple | None) -> list[Event]:
    events = []
    while way is not None:
        event, way = way
        events.append(event)
    return events[::-1]


class StateMachine(Protocol):
    """A machine that can be searched. Its events and keys must follow from what was done alone."""

    def events(self) -> list[Event]:
        """What may happen next."""

    def do(self, event: Event) -> None:
        """Let it happen."""

    def key(self) -> Hashable:
        """Equal where all that may follow is equal."""

    def judge(self) -> None:
        """Raises InvariantViolation."""


@dataclass(frozen=True)
class Path:
    """A state by its key, and one way to it."""

    key: Hashable
    events: tuple[Event, ...] = field(compare=False)


def explore(make: Callable[[], StateMachine], most: int = 200_000, depth_first: bool = False) -> int:
    """The number of states of a machine. Raises InvariantViolation, TooManyStatesError."""

    def reached(events: tuple[Event, ...]) -> StateMachine:
        machine = make()
        for event in events:
            machine.do(event)
        return machine

    def nexts(path: Path) -> Iterator[tuple[Event, Path]]:
        for event in reached(path.events).events():
            yield event, Path(None, (*path.events, event))

    def judge(path: Path) -> Path:
        machine = reached(path.events)
        machine.judge()
        return Path(machine.key(), path.events)

    def told(events: list[Event]) -> str:
        return "; ".join(" ".join(str(word) for word in event) for event in events)

    return search(judge(Path(None, ())), nexts, judge, told, most, depth_first)


def frozen(value: object, left_out: frozenset[str] = frozenset()) -> Hashable:
    """A value that is equal for equal content, for keys; attributes of these names do not count."""
    if isinstance(value, dict):
        return tuple(sorted((frozen(key, left_out), frozen(one, left_out)) for key, one in value.items()))
    if isinstance(value, (set, frozenset)):
        return frozenset(frozen(one, left_out) for one in value)
    if isinstance(value, (list, tuple, deque)):
        return tuple(frozen(one, left_out) for one in value)
    if isinstance(value, (str, bytes, int, float, bool, Enum, type(None))):
        return value
    if isinstance(value, msgspec.Raw):
        return bytes(value)
    if isinstance(value, msgspec.Struct):
        return msgspec.json.encode(value)
    attributes = vars(value) if hasattr(value, "__dict__") else {name: getattr(value, name) for name in value.__slots__}
    kept = {name: one for name, one in attributes.items() if name not in left_out and not callable(one)}
    return (type(value).__name__, frozen(kept, left_out))
