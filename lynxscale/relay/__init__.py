"""The relay: accepts messages from clients and delivers each to an endpoint, without loss and without duplicates."""
