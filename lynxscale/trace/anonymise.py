"""Replaces the names in a trace by keyed hashes, consistently over all files.

Tenants, ids, endpoints, addresses, relays and destinations become HMAC-SHA256 of the key and the name (RFC 2104),
shortened to 64 bits (destinations: 48). Without the key, guessed names cannot be tested. Classes, kinds, zones, reason
codes, numbers and times stay. Records and fields of unknown types are dropped, because they may hold a name.
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

MIN_KEY_BYTES = 16  # a shorter key could be guessed
MAX_CACHED_NAMES = 1 << 16


def read_key(path: str | Path) -> bytes:
    """Read a key: the bytes of the file without surrounding white space.

    Raises InvalidKeyError if the key is too short, OSError if the file cannot be read.
    """
    key = Path(path).read_bytes().strip()
    if len(key) < MIN_KEY_BYTES:
        raise InvalidKeyError(f"{path}: want a key of at least {MIN_KEY_BYTES} bytes, not {len(key)}")
    return key


class Anonymiser:
    """Anonymises frames one by one. It keeps no state but a cache, so the order of files does not matter."""

    def __init__(self, key: bytes) -> None:
        self._key = key
        self._cache: dict[tuple[str, str], str] = {}
        self.skipped = 0  # dropped records and fields of unknown types

    def frames(self, frame: Frame) -> list[Frame]:
        """Return the anonymised frame, split where records were dropped, so that sequence numbers stay right."""
        parts: list[Frame] = []
        run: list = []
        source = self._source(frame.source)
        for index, (number, values) in enumerate([*frame.records, (0, b"")]):
            if type(values) is not bytes:
                run.append((number, self._values(number, values)))
            elif run:
                parts.append(Frame(source, frame.time, frame.seq + index - len(run), frame.offset, run))
                run = []
        self.skipped += sum(type(values) is bytes for _, values in frame.records)
        return parts

    def hashed(self, category: str, text: str) -> str:
        """Return the 16 hexadecimal digits that replace a name of this category."""
        if not text:
            return ""
        digest = self._cache.get((category, text))
        if digest is None:
            data = f"{category}\0{text}".encode("utf-8", "surrogatepass")
            digest = hmac.new(self._key, data, hashlib.sha256).hexdigest()[:16]
            if len(self._cache) >= MAX_CACHED_NAMES:
                self._cache.clear()
            self._cache[category, text] = digest
        return digest

    def _name(self, category: str, text: str) -> str:
        return f"{category}-{self.hashed(category, text)}" if text else ""

    def _source(self, source: str) -> str:
        relay, slash, process = source.rpartition("/")
        return f"{self._name('relay', relay)}{slash}{process}"

    def _dest(self, dest: int) -> int:
        return int(self.hashed("destination", str(dest))[:12], 16)

    def _handle(self, category: str, handle: r.Handle) -> r.Handle:
        return (handle[0], self._name(category, handle[1]))

    def _msg(self, msg: r.Msg) -> r.Msg:
        # The trace holds neither the id nor the destination of a message without a MSG record.
        dest = self._dest(msg.dest) if msg.id else 0
        return r.Msg(msg.number, self.hashed("id", msg.id), msg.cls, self._handle("tenant", msg.tenant), dest)

    def _values(self, number: int, values: list) -> list:
        fields = r.BY_NUMBER[number].fields
        if len(values) > len(fields):
            self.skipped += 1
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
            return ""  # free text may hold any name
        return value

    def _settings(self, text: str) -> str:
        if not text:
            return ""
        try:
            table = orjson.loads(text)
            for tenant in table.get("tenants", []):
                tenant["name"] = self._name("tenant", tenant["name"])
        except (ValueError, KeyError, TypeError, AttributeError):
            return ""  # of an unknown form, which may hold any name
        return orjson.dumps(table).decode()
