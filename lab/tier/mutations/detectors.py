"""Mutations and their detectors: random histories, or the exhaustive search of a small model."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass
from unittest.mock import patch

from lab.model_checker import InvariantViolation, TooManyStatesError
from lab.tier.histories import History
from lab.tier.models.catalogue import MODELS

MAX_HISTORIES = 1000
MAX_STATES = 60_000
MAX_REPORT_LENGTH = 160

Patches = list[tuple[object, str, object]]
"""For each patch: the owner, the name of its attribute, and the replacement."""
Detector = Callable[[int], str]
"""``detect(max_histories)`` describes what was found; empty if nothing was found."""


def by_histories() -> Detector:
    """Detect by the first seed whose history breaks a rule or ends early."""

    def detect(max_histories: int) -> str:
        for seed in range(1, max_histories + 1):
            try:
                broken_rules = History(seed).play()
            except (AssertionError, KeyError, IndexError) as error:  # exceptions that mutated tiers raise
                return f"seed {seed}, ended: {type(error).__name__}"
            if broken_rules:
                return f"seed {seed}, {sorted(broken_rules)}"
        return ""

    return detect


def by_search(name: str, bounds_indexes: tuple[int, ...] | None = None, depth_first: bool = False) -> Detector:
    """Detect by the search of a model, within the bounds of these indexes or all bounds."""

    def detect(max_histories: int) -> str:
        model = next(model for model in MODELS if model.name == name)
        for index, bounds in enumerate(model.all_bounds):
            if bounds_indexes is not None and index not in bounds_indexes:
                continue
            try:
                model.search(bounds, MAX_STATES, depth_first)
            except InvariantViolation as violation:
                return f"{name}: {str(violation)[:MAX_REPORT_LENGTH]}"
            except TooManyStatesError:
                continue
        return ""

    return detect


@dataclass(frozen=True)
class Mutation:
    """A fault that is patched into the program: ``patches()`` returns its patches, ``detect`` has to find it."""

    patches: Callable[[], Patches]
    detect: Detector

    @property
    def name(self) -> str:
        """The name of the function that creates the patches."""
        return self.patches.__name__


def detect(mutation: Mutation, max_histories: int = MAX_HISTORIES) -> str:
    """How a mutation is detected; empty if it is not. ``max_histories`` limits a detection by histories."""
    with ExitStack() as stack:
        for owner, name, value in mutation.patches():
            stack.enter_context(patch.object(owner, name, value))
        return mutation.detect(max_histories)
