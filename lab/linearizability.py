"""A linearizability checker: is there an order of the operations that a single copy could have executed them in?

The search is that of Wing and Gong, "Testing and verifying concurrent objects" (1993): the first operation of such an
order is one that was called before any other had returned; states that were searched already, with the same operations
left, are not searched again (Lowe, "Testing for linearizability", 2017).
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable, Sequence
from math import inf
from typing import Generic, TypeVar

from attrs import frozen

State = TypeVar("State", bound=Hashable)
Call = TypeVar("Call")

MAX_STATES = 200_000


class TooManyOrdersError(RuntimeError):
    """The search exceeded MAX_STATES."""


@frozen
class Operation(Generic[Call]):
    """One call, as its caller saw it, with its result. Times in seconds.

    ``returned_at``: ``inf`` where no definite answer came: it may take effect at any time after the call, or never.
    """

    call: Call
    called_at: float
    returned_at: float = inf

    @property
    def definite(self) -> bool:
        """Whether it returned."""
        return self.returned_at < inf


def is_linearizable(
    operations: Sequence[Operation[Call]], initial: State, step: Callable[[State, Call], Iterable[State]]
) -> bool:
    """Whether such an order exists. ``step(state, call)``: the states that the call may lead to, given its result.

    Raises TooManyOrdersError.
    """
    seen: set[tuple[frozenset[int], State]] = set()
    pending: list[tuple[frozenset[int], State]] = [(frozenset(range(len(operations))), initial)]
    while pending:
        left, state = pending.pop()
        if not any(operations[index].definite for index in left):
            return True
        first_return = min(operations[index].returned_at for index in left)
        for index in left:
            operation = operations[index]
            if operation.called_at > first_return:
                continue
            for following in step(state, operation.call):
                reached = (left - {index}, following)
                if reached not in seen:
                    seen.add(reached)
                    pending.append(reached)
        if len(seen) > MAX_STATES:
            raise TooManyOrdersError(f"more than {MAX_STATES} states of {len(operations)} operations")
    return False
