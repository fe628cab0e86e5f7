"""All models, each with bounds whose search takes seconds and bounds whose search takes minutes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from lab.model_checker import StateMachine
from lab.tier.models import admission, calls, election, operators, transfer


class Scope(Enum):
    """How long a search may take."""

    QUICK = "quick"
    WIDE = "wide"


@dataclass(frozen=True)
class Model:
    """A model: ``make(bounds)`` creates its state machine; ``quick`` has the indexes of the quick bounds."""

    name: str
    make: Callable[[object], StateMachine]
    all_bounds: tuple
    quick: tuple[int, ...]

    def bounds(self, scope: Scope) -> list:
        """The bounds that are searched in a scope."""
        indexes = self.quick if scope is Scope.QUICK else range(len(self.all_bounds))
        return [self.all_bounds[index] for index in indexes]


MODELS = (
    Model("election", election.Election, election.BOUNDS, (1, 5)),
    Model("admission", admission.Admission, admission.BOUNDS, (0,)),
    Model("transfer", transfer.SnapshotTransfer, transfer.BOUNDS, (0, 1, 3)),
    Model("operators", operators.Operators, operators.BOUNDS, (0, 2)),
    Model("calls", calls.OneConnection, calls.BOUNDS, (0,)),
)
