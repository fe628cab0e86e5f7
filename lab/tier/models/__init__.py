"""Small machines of the tier, each searched in every order of what may happen: ``python -m lab.tier.models``."""
