"""What a mutation is, and what has to detect it: random histories, or the search of a small model in every order."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass
from unittest.mock import patch

from lab.model_checker import InvariantViolation, TooManyStatesError, explore
from lab.tier.histories import History
from lab.tier.models.catalogue import MODELS

MAX_HISTORIES = 1000
MAX_STATES = 60_000
MAX_REPORT_LENGTH = 160

Patches = list[tuple[object, str, object]]
"""Owner, attribute and what replaces it."""
Detector = Callable[[int], str]
"""``detect(max_histories)``: what was found, empty for nothing."""


def by_histories() -> Detector:
    """Detects by the first seed whose history breaks a rule."""

    def detect(max_histories: int) -> str:
        for seed in range(1, max_histories + 1):
            try:
                broken = History(seed).play()
            except (AssertionError, KeyError, IndexError) as error:  # what a mutated tier is seen to raise
                return f"seed {seed}, ended: {type(error).__name__}"
            if broken:
                return f"seed {seed}, {sorted(broken)}"
        return ""

    return detect


def by_search(name: str, bounds_indexes: tuple[int, ...] | None = None, depth_first: bool = False) -> Detector:
    """Detects by the search of the model of that name, within those of its bounds or all."""

    def detect(max_histories: int) -> str:
        model = next(model for model in MODELS if model.name == name)
        for index, bounds in enumerate(model.all_bounds):
            if bounds_indexes is not None and index not in bounds_indexes:
                continue
            try:
                explore(lambda b=bounds: model.make(b), MAX_STATES, depth_first)
            except InvariantViolation as violation:
                return f"{name}: {str(violation)[:MAX_REPORT_LENGTH]}"
            except TooManyStatesError:
                continue
        return ""

    return detect


@dataclass(frozen=True)
class Mutation:
    """``patches()`` gives what is replaced; ``detect`` has to find it."""

    patches: Callable[[], Patches]
    detect: Detector

    @property
    def name(self) -> str:
        """The name of the function that makes the patches."""
        return self.patches.__name__


def detect(mutation: Mutation, max_histories: int = MAX_HISTORIES) -> str:
    """How a mutation shows, within so many histories where these have to detect it; empty where it does not."""
    with ExitStack() as stack:
        for owner, name, value in mutation.patches():
            stack.enter_context(patch.object(owner, name, value))
        return mutation.detect(max_histories)
