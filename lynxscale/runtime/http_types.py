"""Values that HTTP servers and clients share."""

from __future__ import annotations

from attrs import field, frozen

Headers = tuple[tuple[bytes, bytes], ...]

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


@frozen
class Head:
    """Header fields, names in lower case, in the order received."""

    fields: Headers

    def get(self, name: bytes) -> bytes | None:
        """The first field of that name."""
        for one, value in self.fields:
            if one == name:
                return value
        return None

    def text(self, name: bytes, default: str = "") -> str:
        """The field as text."""
        value = self.get(name)
        return default if value is None else value.decode("latin-1")

    def number(self, name: bytes) -> float | None:
        """The field as a number, None where it is none."""
        try:
            return float(self.get(name))
        except (TypeError, ValueError):
            return None

    def end_to_end(self) -> Headers:
        """The fields that do not concern one connection alone (RFC 9110, section 7.6.1)."""
        named = frozenset(word.strip().lower() for word in (self.get(b"connection") or b"").split(b","))
        return tuple(entry for entry in self.fields if entry[0] not in HOP_BY_HOP and entry[0] not in named)


@frozen
class Request:
    """A whole request."""

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
    """A whole answer."""

    status: int
    head: Head = Head(())
    body: bytes = field(default=b"", repr=False)
