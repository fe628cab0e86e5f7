"""Service discovery, shared by both planes: the platform's endpoint list, and the topics that relays subscribe to."""
