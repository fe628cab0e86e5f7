"""What a mistake is, and who has to find it: the drawn histories, or the search of a small machine in every order."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass
from unittest.mock import patch

from lab.explorer import Breach, TooManyStates, explore
from lab.tier.histories import History
from lab.tier.orders.catalogue import MODELS

MOST_HISTORIES = 1000
MOST_STATES = 60_000

Patches = list[tuple[type, str, Callable]]
Finder = Callable[[int], str]  # how many histories may be played, to what was found; empty for nothing


def by_histories() -> Finder:
    """The first seed whose history breaks a rule, and the rules."""

    def find(most: int) -> str:
        for seed in range(1, most + 1):
            try:
                broken = History(seed).play()
            except (AssertionError, KeyError, IndexError) as error:
                return f"seed {seed}, ended: {type(error).__name__}"
            if broken:
                return f"seed {seed}, {sorted(broken)}"
        return ""

    return find


def by_search(name: str, places: tuple[int, ...] | None = None, depth_first: bool = False) -> Finder:
    """The breach that a search of a small machine meets, within the bounds at these places or all."""

    def find(most: int) -> str:
        model = next(model for model in MODELS if model.name == name)
        for place, bounds in enumerate(model.all_bounds):
            if places is not None and place not in places:
                continue
            try:
                explore(lambda b=bounds: model.make(b), MOST_STATES, depth_first)
            except Breach as breach:
                return f"{name}: {str(breach)[:160]}"
            except TooManyStates:
                continue
        return ""

    return find


@dataclass(frozen=True)
class Mistake:
    """What is put in, and who has to find it."""

    put_in: Callable[[], Patches]
    find: Finder

    @property
    def name(self) -> str:
        """What it is called."""
        return self.put_in.__name__


def find(mistake: Mistake, most: int = MOST_HISTORIES) -> str:
    """How a mistake shows, within so many histories where these have to find it; empty where it does not."""
    with ExitStack() as stack:
        for owner, name, value in mistake.put_in():
            stack.enter_context(patch.object(owner, name, value))
        return mistake.find(most)
