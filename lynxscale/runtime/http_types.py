"""HTTP messages as plain values, shared by the server and the client."""

from __future__ import annotations

from math import isfinite

from attrs import field, frozen

Headers = tuple[tuple[bytes, bytes], ...]
"""Header fields as pairs of name and value."""

HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
"""Fields that apply to a single connection and are not forwarded by an intermediary (RFC 9110, section 7.6.1)."""


@frozen
class Head:
    """Header fields, names in lower case, in the order received."""

    fields: Headers

    def get(self, name: bytes) -> bytes | None:
        """Return the value of the first field of that name, None if there is none."""
        for field_name, value in self.fields:
            if field_name == name:
                return value
        return None

    def text(self, name: bytes, default: str = "") -> str:
        """Return the field as text, ``default`` if it is missing."""
        value = self.get(name)
        return default if value is None else value.decode("latin-1")

    def number(self, name: bytes) -> float | None:
        """Return the field as a finite number, None if it is missing or none."""
        value = self.get(name)
        try:
            number = None if value is None else float(value)
        except ValueError:
            return None
        return number if number is not None and isfinite(number) else None

    def end_to_end(self) -> Headers:
        """Return the fields that an intermediary forwards: neither hop-by-hop nor named in ``Connection``."""
        named = frozenset(option.strip().lower() for option in (self.get(b"connection") or b"").split(b","))
        return tuple(entry for entry in self.fields if entry[0] not in HOP_BY_HOP and entry[0] not in named)


@frozen
class Request:
    """A complete HTTP request; the server hands on requests whose ``target`` is not in absolute form."""

    method: str
    target: str
    head: Head
    body: bytes = field(default=b"", repr=False)

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


@frozen
class Response:
    """A complete HTTP response."""

    status: int
    head: Head = Head(())
    body: bytes = field(default=b"", repr=False)
