"""The serving tier on a simulated network, clock and disk: the very classes that the programs run."""
