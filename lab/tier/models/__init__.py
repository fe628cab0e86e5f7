"""Small models of the tier, searched exhaustively in every order of events: ``python -m lab.tier.models``."""
