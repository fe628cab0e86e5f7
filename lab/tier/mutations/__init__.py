"""Mutations of the tier, each of which the laboratory must detect: ``python -m lab.tier.mutations``.

Each mutation patches one class or module, and is detected either by random histories or by the exhaustive search of a
small model. An undetected mutation shows that the checker or the injected faults are too weak.
"""

from lab.tier.mutations.catalogue import ALL, UNDETECTED
from lab.tier.mutations.detectors import Mutation, detect

__all__ = ["ALL", "UNDETECTED", "Mutation", "detect"]
