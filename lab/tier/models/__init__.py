"""Small models of the tier, each searched in every order of its events: ``python -m lab.tier.models``."""
