"""Mistakes put in on purpose, each of which the laboratory must find: ``python -m lab.tier.mistakes``.

Each is a patch of one class or module, and names who has to find it: the drawn histories or the search of a small
machine in every order. Where a mistake stays unfound, the checker or the faults are too weak.
"""

from lab.tier.mistakes.catalogue import ALL, UNFOUND
from lab.tier.mistakes.finders import Mistake, find

__all__ = ["ALL", "UNFOUND", "Mistake", "find"]
