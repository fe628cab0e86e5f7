"""The configuration as a register: what operators asked for and read, and whether one copy could have answered so."""

from __future__ import annotations

from collections.abc import Iterator

from attrs import frozen

from lab.linearizability import Operation, is_linearizable

READ, CHANGE = "read", "change"


@frozen
class RegisterCall:
    """One request with its result. ``order``: which order's configuration was sent, or was read; 0 is the first one.

    ``base`` and ``generation``: of a change. ``accepted``: its result, None where it got no definite answer.
    """

    kind: str
    order: int
    base: int = 0
    generation: int = 0
    accepted: bool | None = None


@frozen
class RegisterState:
    """``order`` and ``generation`` in force, and all orders that were ever in force."""

    order: int
    generation: int
    applied: frozenset[int]


FIRST = RegisterState(0, 1, frozenset((0,)))


def step(state: RegisterState, call: RegisterCall) -> Iterator[RegisterState]:
    """The states that a single copy may be in after the call, with the result that it had."""
    if call.kind == READ:
        if call.order == state.order:
            yield state
        return
    applies = call.order not in state.applied and call.base == state.generation < call.generation
    if applies and call.accepted is not False:
        yield RegisterState(call.order, call.generation, state.applied | {call.order})
    elif not applies and call.accepted is not True:
        yield state
    elif call.accepted and call.order in state.applied:
        yield state  # it was taken before


def answers_are_linearizable(operations: list[Operation[RegisterCall]]) -> bool:
    """Could one copy have answered so? Raises TooManyOrdersError."""
    return is_linearizable(operations, FIRST, step)
