"""The linearizability checker, and the configuration as a register."""

from collections.abc import Iterator
from math import inf

import pytest

from lab.linearizability import MAX_STATES, Operation, TooManyOrdersError, is_linearizable
from lab.tier.register_history import CHANGE, READ, RegisterCall, responses_are_linearizable


def register(state: int, call: tuple[str, int]) -> Iterator[int]:
    """A register of a number: ("write", n), and ("read", n) with its result."""
    kind, number = call
    if kind == "write":
        yield number
    elif number == state:
        yield state


def write(number: int, begun: float, ended: float = inf) -> Operation:
    return Operation(("write", number), begun, ended)


def read(number: int, begun: float, ended: float) -> Operation:
    return Operation(("read", number), begun, ended)


@pytest.mark.parametrize(
    ("operations", "possible"),
    [
        ([], True),
        ([write(1, 0, 1), read(1, 2, 3)], True),
        ([write(1, 0, 1), read(0, 2, 3)], False),
        ([write(1, 0, 4), read(0, 1, 2), read(1, 2.5, 3)], True),
        ([write(1, 0, 4), read(1, 1, 2), read(0, 2.5, 3)], False),
        ([write(1, 0), read(0, 1, 2), read(1, 3, 4)], True),
        ([write(1, 0), read(0, 1, 2), read(0, 3, 4)], True),
        ([write(1, 0), read(1, 1, 2), read(0, 3, 4)], False),
        ([write(1, 0, 2), write(2, 1, 3), read(1, 4, 5), read(2, 6, 7)], False),
        ([write(1, 0, 2), write(2, 1, 3), read(1, 4, 5), read(1, 6, 7)], True),
    ],
)
def test_orders_that_a_single_copy_could_have_executed(operations, possible):
    assert is_linearizable(operations, 0, register) == possible


def test_a_search_that_is_too_wide_is_told():
    operations = [write(number, 0, 100) for number in range(18)] + [read(-1, 0, 100)]
    assert MAX_STATES < 2**18
    with pytest.raises(TooManyOrdersError):
        is_linearizable(operations, 0, register)


def change(
    order: int, base: int, generation: int, accepted: bool | None, begun: float, ended: float = inf
) -> Operation:
    return Operation(RegisterCall(CHANGE, order, base, generation, accepted), begun, ended)


def seen(order: int, begun: float, ended: float) -> Operation:
    return Operation(RegisterCall(READ, order), begun, ended)


@pytest.mark.parametrize(
    ("operations", "possible"),
    [
        ([change(1, 1, 2, True, 0, 1), seen(1, 2, 3)], True),
        ([change(1, 1, 2, True, 0, 1), change(1, 1, 2, True, 2, 3)], True),  # a repeated request
        ([change(1, 1, 2, True, 0, 1), change(2, 1, 2, True, 2, 3)], False),  # two on one version
        ([change(1, 1, 2, True, 0, 1), change(2, 1, 2, False, 2, 3)], True),
        ([change(1, 1, 2, False, 0, 1)], False),  # rejected although its base was in force
        ([change(1, 1, 2, None, 0), seen(1, 1, 2), seen(0, 3, 4)], False),  # shown, then lost
        ([change(1, 1, 2, None, 0), seen(0, 1, 2), seen(1, 3, 4)], True),
        ([change(1, 1, 2, True, 0, 1), seen(0, 2, 3)], False),  # an older state
        ([change(1, 1, 2, True, 0, 1), change(2, 2, 3, True, 2, 3), change(1, 1, 2, True, 4, 5), seen(2, 6, 7)], True),
    ],
)
def test_answers_on_the_configuration_that_one_copy_could_have_given(operations, possible):
    assert responses_are_linearizable(operations) == possible
