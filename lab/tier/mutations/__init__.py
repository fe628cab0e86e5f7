"""Mistakes put in on purpose, each of which the laboratory must detect: ``python -m lab.tier.mutations``.

Each is a patch of one class or module, and names who has to detect it: the drawn histories or the search of a small
machine in every order. Where a mistake stays unfound, the checker or the faults are too weak.
"""

from lab.tier.mutations.catalogue import ALL, UNFOUND
from lab.tier.mutations.detectors import Mutation, detect

__all__ = ["ALL", "UNFOUND", "Mutation", "detect"]
