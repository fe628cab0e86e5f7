"""Syntax of the fields by which a route matches requests: a route that no valid request can match is a mistake.

Relays do not check it: a version that an earlier program acknowledged stays readable.
"""

from __future__ import annotations

import re
from functools import lru_cache

from lynxscale.configuration.hosts import normalized_host

WILDCARD = "*"
PATH_PREFIX = re.compile(r"""/(?:[!"$->@-~]*/)?""")
"""A prefix of visible ASCII characters but ``#`` and ``?``, which end a path (RFC 9112, section 3.2.1)."""
CACHED_HOSTS = 256  # the routes of a configuration have few hosts

normalized_route_host = lru_cache(CACHED_HOSTS)(normalized_host)
"""``normalized_host`` for hosts of routes, which repeat."""


@lru_cache(CACHED_HOSTS)
def host_violation(host: str) -> str:
    """Return what is wanted in place of a route's host, empty if it is right."""
    if not host.isascii():
        return "a host in ASCII, as in the Host field: a name of another script in its form that begins with xn--"
    if WILDCARD in host:
        return "the host of one site, as there are no wildcards"
    if normalized_host(host) is None:
        return "a name, an IPv4 address, or an IPv6 address in brackets, with a port or without"
    return ""


def path_prefix_violation(path_prefix: str) -> str:
    """Return what is wanted in place of a route's path prefix, empty if it is right."""
    if PATH_PREFIX.fullmatch(path_prefix):
        return ""
    if not (path_prefix.startswith("/") and path_prefix.endswith("/")):
        return "a path that begins and ends with a slash"
    return "a path without ? and #, and with spaces and characters that are not ASCII percent-encoded"
