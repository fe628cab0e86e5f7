"""The configuration as a register: the changes and reads of operators, checked for linearizability."""

from __future__ import annotations

from collections.abc import Iterator

from attrs import frozen

from lab.linearizability import Operation, is_linearizable

READ, CHANGE = "read", "change"


@frozen
class RegisterCall:
    """One request with its result. ``change``: the number of the change that was sent or read; 0 is the first.

    For a change, ``base`` and ``generation`` are its versions; ``accepted`` is None if its response was not definite.
    """

    kind: str
    change: int
    base: int = 0
    generation: int = 0
    accepted: bool | None = None


@frozen
class RegisterState:
    """The ``change`` and ``generation`` in force, and all changes applied so far."""

    change: int
    generation: int
    applied: frozenset[int]


INITIAL_STATE = RegisterState(0, 1, frozenset((0,)))


def step(state: RegisterState, call: RegisterCall) -> Iterator[RegisterState]:
    """The possible states of a single register after a call with its observed result."""
    if call.kind == READ:
        if call.change == state.change:
            yield state
        return
    applies = call.change not in state.applied and call.base == state.generation < call.generation
    if applies and call.accepted is not False:
        yield RegisterState(call.change, call.generation, state.applied | {call.change})
    elif not applies and call.accepted is not True:
        yield state
    elif call.accepted and call.change in state.applied:
        yield state  # a retry of a change that was applied before


def responses_are_linearizable(operations: list[Operation[RegisterCall]]) -> bool:
    """Whether a single register could have given these responses. Raises TooManyOrdersError."""
    return is_linearizable(operations, INITIAL_STATE, step)
