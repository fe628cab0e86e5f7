"""Syntax and comparison of hosts: of the ``Host`` field of a request, and of a route.

A host is a name, an IPv4 address or an IPv6 address in brackets, with a port or without (RFC 9110, section 7.2, and
RFC 3986, section 3.2.2). It may be empty, as the ``Host`` field is for a target without an authority. Hosts are
compared without their case and port; percent-encoded characters and a final dot are compared as they are written. A
name in another script than ASCII has to be written as in the ``Host`` field, that is as an A-label (RFC 5890, section
2.3.2.1).
"""

from __future__ import annotations

import re
from ipaddress import AddressValueError, IPv6Address

HOST_AND_PORT = re.compile(
    r"""
    (?: \[ (?P<address>[0-9a-f:.]+) \]
      | (?P<name> (?: [a-z0-9\-._~!$&'()*+,;=] | %[0-9a-f]{2} )+ )
    )
    (?: : [0-9]* )?
    """,
    re.VERBOSE,
)
"""A host that is not empty, in lower case."""


def normalized_host(host: str) -> str | None:
    """Return the form in which a host is compared, None if no valid request can contain it.

    Two hosts are the same if their forms are. The form of a form is the form itself.
    """
    host = host.strip()
    if not host:
        return host
    parts = HOST_AND_PORT.fullmatch(host.lower()) if host.isascii() else None
    if parts is None:
        return None
    return parts["name"] if parts["address"] is None else _normalized_address(parts["address"])


def _normalized_address(address: str) -> str | None:
    """Return an IPv6 address in brackets and in its shortest form (RFC 5952), None if it is invalid."""
    try:
        return f"[{IPv6Address(address).compressed}]"
    except AddressValueError:
        return None
