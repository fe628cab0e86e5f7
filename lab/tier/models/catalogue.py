"""All models, each with bounds whose search takes seconds and bounds whose search takes minutes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from lab.model_checker import StateMachine, explore
from lab.tier.models import admission, calls, election, election_bounds, operators, transfer, voter_changes
from lab.tier.models.held_messages import HoldRule

Search = Callable[[Any, int, bool], int]


class Scope(Enum):
    """How long a search may take."""

    QUICK = "quick"
    WIDE = "wide"


@dataclass(frozen=True)
class Model:
    """A model. ``quick`` has the indexes of the quick bounds.

    ``search(bounds, max_states, depth_first)``: the number of states. Raises InvariantViolation, TooManyStatesError.
    """

    name: str
    search: Search
    all_bounds: tuple
    quick: tuple[int, ...]

    def bounds(self, scope: Scope) -> list:
        """The bounds that are searched in a scope."""
        indexes = self.quick if scope is Scope.QUICK else range(len(self.all_bounds))
        return [self.all_bounds[index] for index in indexes]


def machine(make: Callable[[Any], StateMachine]) -> Search:
    """Searches a model whose bounds make a state machine."""
    return lambda bounds, max_states, depth_first: explore(lambda: make(bounds), max_states, depth_first)


MODELS = (
    Model("election", machine(election.Election), election_bounds.BOUNDS, (1, 5, 8, 9)),
    Model("slow writes", machine(election.Election), election_bounds.slow_write_bounds(HoldRule.DEPENDENT), (0,)),
    Model("voter changes", voter_changes.search_voter_changes, voter_changes.BOUNDS, (0,)),
    Model("admission", machine(admission.Admission), admission.BOUNDS, (0,)),
    Model("transfer", machine(transfer.SnapshotTransfer), transfer.BOUNDS, (0, 1, 3)),
    Model("operators", machine(operators.Operators), operators.BOUNDS, (0, 2)),
    Model("calls", machine(calls.OneConnection), calls.BOUNDS, (0,)),
)
