"""Test laboratory of the serving tier: its production classes on a simulated network, clock and disk."""
