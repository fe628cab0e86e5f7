"""Statistics of a fleet of relays: traffic that each relay reports in its log, and sums over the logs of all."""
