"""Many relays together: what each tells of its traffic in its log, and the counts over all of their logs."""
