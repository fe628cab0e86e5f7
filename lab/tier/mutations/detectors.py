"""What a mistake is, and who has to detect it: the drawn histories, or the search of a small machine in every order."""

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

Patches = list[tuple[type, str, Callable]]
Detector = Callable[[int], str]  # how many histories may be played, to what was found; empty for nothing


def by_histories() -> Detector:
    """The first seed whose history breaks a rule, and the rules."""

    def detect(most: int) -> str:
        for seed in range(1, most + 1):
            try:
                broken = History(seed).play()
            except (AssertionError, KeyError, IndexError) as error:
                return f"seed {seed}, ended: {type(error).__name__}"
            if broken:
                return f"seed {seed}, {sorted(broken)}"
        return ""

    return detect


def by_search(name: str, places: tuple[int, ...] | None = None, depth_first: bool = False) -> Detector:
    """The breach that a search of a small machine meets, within the bounds at these places or all."""

    def detect(most: int) -> str:
        model = next(model for model in MODELS if model.name == name)
        for place, bounds in enumerate(model.all_bounds):
            if places is not None and place not in places:
                continue
            try:
                explore(lambda b=bounds: model.make(b), MAX_STATES, depth_first)
            except InvariantViolation as breach:
                return f"{name}: {str(breach)[:160]}"
            except TooManyStatesError:
                continue
        return ""

    return detect


@dataclass(frozen=True)
class Mutation:
    """What is put in, and who has to detect it."""

    put_in: Callable[[], Patches]
    detect: Detector

    @property
    def name(self) -> str:
        """What it is called."""
        return self.put_in.__name__


def detect(mistake: Mutation, most: int = MAX_HISTORIES) -> str:
    """How a mistake shows, within so many histories where these have to detect it; empty where it does not."""
    with ExitStack() as stack:
        for owner, name, value in mistake.put_in():
            stack.enter_context(patch.object(owner, name, value))
        return mistake.detect(most)
