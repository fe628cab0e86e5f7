"""Mutations of the tier, each of which the laboratory must detect: ``python -m lab.tier.mutations``.

Each patches one class or module, and names what has to detect it: the random histories, or the search of a small model
in every order. Where a mutation goes undetected, the checker or the faults are too weak.
"""

from lab.tier.mutations.catalogue import ALL, UNDETECTED
from lab.tier.mutations.detectors import Mutation, detect

__all__ = ["ALL", "UNDETECTED", "Mutation", "detect"]
