"""The control plane: configuration, list of endpoints, budgets and conversations, on a replicated group of members."""
