"""Statistics of many relays: the traffic that each reports in its log, and sums over all of their logs."""
