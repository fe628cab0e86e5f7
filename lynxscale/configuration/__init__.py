"""The operator's configuration: its one definition, which the control plane checks by and relays read by."""
