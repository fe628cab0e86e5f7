"""Names taken out of a trace, the same way in every file, by a keyed hash.

Tenants, ids, endpoints, addresses, relays and destinations become HMAC-SHA256 of the key and the name (RFC 2104),
shortened to 64 bits (destinations 48). Without the key no list of guesses can be tried. Classes, kinds, zones and
reason codes stay, as the numbers and times do. What this version cannot read may hold a name, and is left out.
"""

from __future__ import annotations

import hashlib
import hmac
from pathlib import Path
from typing import Any

import orjson

from lynxscale.trace import records as r
from lynxscale.trace.exceptions import InvalidKeyError
from lynxscale.trace.frames import Frame

KEY_LEAST = 16  # bytes: guards against a key that could be guessed
CACHE_MOST = 1 << 16


def read_key(path: str | Path) -> bytes:
    """A key: the file's bytes, without white space round them.

    Raises InvalidKeyError, OSError.
    """
    key = Path(path).read_bytes().strip()
    if len(key) < KEY_LEAST:
        raise InvalidKeyError(f"{path}: want a key of at least {KEY_LEAST} bytes, not {len(key)}")
    return key


class Anonymiser:
    """Frames in, frames out, one by one: nothing is remembered, so that the order of files does not matter."""

    def __init__(self, key: bytes) -> None:
        self._key = key
        self._cache: dict[tuple[str, str], str] = {}
        self.left_out = 0  # records and fields of unknown types

    def frames(self, frame: Frame) -> list[Frame]:
        """The frame without names, in as many parts as the records that are left out leave of it."""
        parts: list[Frame] = []
        run: list = []
        source = self._source(frame.source)
        for place, (number, values) in enumerate([*frame.records, (0, b"")]):
            if type(values) is not bytes:
                run.append((number, self._values(number, values)))
            elif run:
                parts.append(Frame(source, frame.time, frame.seq + place - len(run), frame.offset, run))
                run = []
        self.left_out += sum(type(values) is bytes for _, values in frame.records)
        return parts

    def hashed(self, what: str, text: str) -> str:
        """16 hexadecimal digits for a name."""
        if not text:
            return ""
        known = self._cache.get((what, text))
        if known is None:
            data = f"{what}\0{text}".encode("utf-8", "surrogatepass")
            known = hmac.new(self._key, data, hashlib.sha256).hexdigest()[:16]
            if len(self._cache) >= CACHE_MOST:
                self._cache.clear()
            self._cache[what, text] = known
        return known

    def _name(self, what: str, text: str) -> str:
        return f"{what}-{self.hashed(what, text)}" if text else ""

    def _source(self, source: str) -> str:
        relay, slash, process = source.rpartition("/")
        return f"{self._name('relay', relay)}{slash}{process}"

    def _dest(self, dest: int) -> int:
        return int(self.hashed("destination", str(dest))[:12], 16)

    def _handle(self, what: str, handle: r.Handle) -> r.Handle:
        return (handle[0], self._name(what, handle[1]))

    def _msg(self, msg: r.Msg) -> r.Msg:
        # A message that no record names has neither id nor destination.
        dest = self._dest(msg.dest) if msg.id else 0
        return r.Msg(msg.number, self.hashed("id", msg.id), msg.cls, self._handle("tenant", msg.tenant), dest)

    def _values(self, number: int, values: list) -> list:
        fields = r.BY_NUMBER[number].fields
        if len(values) > len(fields):
            self.left_out += 1
        return [self._value(number, name, kind, value) for (name, kind), value in zip(fields, values, strict=False)]

    def _value(self, number: int, name: str, kind: str, value: Any) -> Any:
        if kind == "M":
            return self._msg(value)
        if kind == "e":
            return self._handle("endpoint", value)
        if kind == "n":
            return self._handle("tenant", value)
        if kind == "L":
            return [
                row._replace(
                    endpoint=self._handle("endpoint", row.endpoint),
                    dest=self._dest(row.dest),
                    address=self._name("address", row.address),
                )
                for row in value
            ]
        if number == r.START and name == "relay":
            return self._name("relay", value)
        if number == r.START and name == "settings":
            return self._settings(value)
        if number == r.VERDICT and name in ("unit", "digest"):
            return self._name(name, value)
        if number == r.OUT_NOTE or (number == r.VERDICT and name == "reasons"):
            return ""  # free text may name anything
        return value

    def _settings(self, text: str) -> str:
        if not text:
            return ""
        try:
            table = orjson.loads(text)
            for tenant in table.get("tenants", []):
                tenant["name"] = self._name("tenant", tenant["name"])
        except (ValueError, KeyError, TypeError, AttributeError):
            return ""  # in no form that is known: it may name anything
        return orjson.dumps(table).decode()
