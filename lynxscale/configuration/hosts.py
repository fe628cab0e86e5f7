"""Comparison of hosts: of the ``Host`` field of a request, and of a route."""

from __future__ import annotations


def normalized_host(host: str) -> str:
    """Return a host in lower case and without its port (RFC 9110, sections 4.2.3 and 7.2)."""
    host = host.strip().lower()
    if ":" not in host:
        return host
    name, separator, port = host.rpartition(":")
    return name if separator and not port.endswith("]") else name + separator + port
