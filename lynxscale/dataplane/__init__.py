"""The data plane: relays that take requests from clients and pass them to endpoints."""
