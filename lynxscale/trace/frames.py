"""Encodes and decodes frames: the records of one turn of the event loop of one relay.

A payload holds the number of its source, its time and the sequence number of its first record (both relative to the
base of the container), then records of a type, a length and fields. Names, clock anchors and message descriptions
precede the first record that refers to them; these are context records and have no sequence number.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from typing import Any, NamedTuple

from lynxscale.trace import records as r
from lynxscale.trace.exceptions import MalformedDataError
from lynxscale.trace.fields import (
    get_float,
    get_int,
    get_ms,
    get_text,
    get_uint,
    put_float,
    put_int,
    put_ms,
    put_text,
    put_uint,
)

MAX_PAYLOAD_BYTES = 1 << 24  # keeps a corrupted length from exhausting the memory of a reader
MAX_FLOATS = 1 << 16


class Frame(NamedTuple):
    """The records of one turn. ``offset`` is Unix time minus ``time``, in µs; None if no anchor is known."""

    source: str  # relay/process
    time: int  # µs on the monotonic clock of the process
    seq: int  # sequence number of the first record, counted from the start of the process
    offset: int | None
    records: list[tuple[int, Any]]
    names: dict[int, dict[int, Any]] | None = None  # if a record type is unknown: every name that it may refer to

    @property
    def unix(self) -> int:
        """Unix time in µs; the monotonic time if there is no anchor."""
        return self.time + (self.offset or 0)


# Writing ---------------------------------------------------------------------------------------------


class Encoder:
    """Encodes payloads. A name is written only once between two calls of ``reset``."""

    def __init__(self) -> None:
        self._sources: dict[str, int] = {}
        self.reset()

    def reset(self) -> None:
        """Forget the written names, so that the following payloads can be decoded on their own."""
        # Written names, by source and table; the last table holds messages.
        self._known: dict[int, list[dict[int, Any]]] = {}
        self._anchors: dict[int, int] = {}
        self.new_messages: list[r.Msg] = []  # messages described for the first time; the caller may clear the list
        self.has_context = False  # whether a record of a type in ``records.CONTEXT`` was encoded

    def payload(self, frame: Frame, base_time: int = 0, base_seq: int = 0) -> bytes:
        """Encode a frame.

        Raises ValueError if a value does not fit its field.
        """
        name, time, seq, offset, records, names = frame
        source = self._sources.get(name)
        if source is None:
            source = self._sources[name] = len(self._sources)
        self.head = out = bytearray()
        put_uint(out, source)
        put_int(out, time - base_time)
        put_int(out, seq - base_seq)
        known = self._known.get(source)
        if known is None:
            known = self._known[source] = [{} for _ in range(len(r.TABLES) + 1)]
            self.write_name(r.SOURCE, (source, name), {})
        if offset is not None and self._anchors.get(source) != offset:
            self._anchors[source] = offset
            fields = bytearray()
            put_int(fields, offset)
            self._write_context(r.ANCHOR, fields)
        self.known = known
        if names is not None:
            for table, rows in names.items():
                for row in rows.values():
                    self.write_message(row) if table < 0 else self.write_name(table, row, known[table])
        body = bytearray()
        for number, values in records:
            if number < 0x80:
                body.append(number)
            else:
                put_uint(body, number)
            body.append(0)
            start = len(body)
            put = PUT_RECORD.get(number) if type(values) is list else None
            if put is None:
                body += values
            else:
                put(self, body, values, known, time)
            size = len(body) - start
            if size < 0x80:
                body[start - 1] = size
            else:
                length = bytearray()
                put_uint(length, size)
                body[start - 1 : start] = length
        return bytes(out + body)

    def _write_context(self, number: int, fields: bytearray) -> None:
        self.head.append(number)
        put_uint(self.head, len(fields))
        self.head += fields

    def write_name(self, table: int, handle: r.Handle, known: dict[int, Any]) -> None:
        """Write the name of a handle, if it has one that was not written yet."""
        number, text = handle
        if text and known.get(number, ("", ""))[1] != text:
            known[number] = handle
            fields = bytearray([table])
            put_uint(fields, number)
            put_text(fields, text)
            self._write_context(r.NAME, fields)

    def write_message(self, msg: r.Msg) -> None:
        """Write the description of a message, if it has an id and was not described yet."""
        if msg.id and self.known[-1].get(msg.number) != msg:
            self.known[-1][msg.number] = msg
            self.write_name(r.CLASS, msg.cls, self.known[r.CLASS])
            self.write_name(r.TENANT, msg.tenant, self.known[r.TENANT])
            fields = bytearray()
            put_uint(fields, msg.number)
            put_text(fields, msg.id)
            put_uint(fields, msg.cls[0])
            put_uint(fields, msg.tenant[0])
            put_uint(fields, msg.dest)
            self._write_context(r.MSG, fields)
            self.new_messages.append(msg)


def _put_members(encoder: Encoder, out: bytearray, rows: Any) -> None:
    put_uint(out, len(rows))
    known = encoder.known
    for row in rows:
        for table, handle in ((r.ENDPOINT, row.endpoint), (r.ZONE, row.zone), (r.KIND, row.kind)):
            encoder.write_name(table, handle, known[table])
        put_uint(out, row.endpoint[0])
        put_uint(out, row.lifecycle)
        put_uint(out, row.dest)
        put_uint(out, row.zone[0])
        put_uint(out, row.kind[0])
        put_float(out, row.weight)
        put_text(out, row.address)


# Source text that writes a field, by kind of field. One function per record type is compiled from it at import: the
# daemon writes five records a message, and one call per field doubled the cost. ``v`` is the value, ``n`` a number.
_PUT_UINT = "if 0 <= n < 128: out.append(n)\nelse: put_uint(out, n)"
_PUT = {
    "u": f"n = v\n{_PUT_UINT}",
    "i": "put_int(out, v)",
    "t": "put_text(out, v)",
    "b": "out.append(1 if v else 0)",
    "x": "if v: put_ms(out, v)\nelse: out.append(0)",
    "a": "put_ms(out, v, time)",
    "f": "put_float(out, v)",
    "F": f"n = len(v)\n{_PUT_UINT}\nif n: out += PACK[n](*v) if n < 5 else pack(f'<{{n}}d', *v)",
    "L": "put_members(encoder, out, v)",
    "M": f"n = v[0]\nif known[-1].get(n) is not v: encoder.write_message(v)\n{_PUT_UINT}",
} | {
    kind: f"n = v[0]\nif known[{table}].get(n) is not v: encoder.write_name({table}, v, known[{table}])\n{_PUT_UINT}"
    for kind, table in r.TABLE_OF.items()
}


def _compile_writer(record_type: r.Type) -> Callable:
    """Compile the function that writes the fields of one record type, and then any unknown bytes after them."""
    lines = ["def put(encoder, out, values, known, time):", "    count = len(values)"]
    if record_type.number in r.CONTEXT:
        lines.append("    encoder.has_context = True")
    for index, (_name, kind) in enumerate(record_type.fields):
        lines += [f"    if count == {index}: return", f"    v = values[{index}]"]
        lines += [f"    {line}" for line in _PUT[kind].split("\n")]
    lines.append(f"    if count > {len(record_type.fields)}: out += values[-1]")
    namespace: dict[str, Any] = {
        "put_uint": put_uint,
        "put_int": put_int,
        "put_text": put_text,
        "put_ms": put_ms,
        "put_float": put_float,
        "put_members": _put_members,
        "pack": struct.pack,
        "PACK": [struct.Struct(f"<{count}d").pack for count in range(5)],
    }
    exec("\n".join(lines), namespace)  # built only from the constants above
    return namespace["put"]


PUT_RECORD = {one.number: _compile_writer(one) for one in r.TYPES}


# Reading ---------------------------------------------------------------------------------------------


class Decoder:
    """Decodes payloads, and keeps the names in them until ``reset``."""

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Forget all names; the following payloads do not depend on earlier ones."""
        self._tables: dict[int, dict[int, dict[int, Any]]] = {}
        self._anchors: dict[int, int] = {}
        self._names: dict[int, dict[int, Any]] = {}
        self._time = 0

    def head(self, payload: bytes, base_time: int = 0, base_seq: int = 0) -> tuple[int, int, int, int]:
        """Return the number of the source, the time, the sequence number and the offset of the first record."""
        source, at = get_uint(payload, 0)
        time, at = get_int(payload, at)
        seq, at = get_int(payload, at)
        return source, time + base_time, seq + base_seq, at

    def frame(self, payload: bytes, base_time: int = 0, base_seq: int = 0) -> Frame:
        """Decode a frame.

        Raises MalformedDataError if the payload is invalid.
        """
        source, self._time, seq, at = self.head(payload, base_time, base_seq)
        names = self._names = self._tables.setdefault(source, {table: {} for table in range(-1, len(r.TABLES))})
        found: list[tuple[int, Any]] = []
        has_unknown = False
        size = len(payload)
        time = self._time
        while at < size:
            number = payload[at]
            if number < 0x80:
                at += 1
            else:
                number, at = get_uint(payload, at)
            length, at = get_uint(payload, at)
            end = at + length
            if end > size:
                raise MalformedDataError("a record is cut short")
            get = GET_RECORD.get(number)
            if get is not None:
                try:
                    values, at = get(payload, at, end, names, time)
                except IndexError:
                    raise MalformedDataError("a record is cut short") from None
                if at > end:
                    raise MalformedDataError("a record's fields are longer than it is")
                if at < end:
                    values.append(payload[at:end])
                found.append((number, values))
            elif number == r.NAME:
                self._read_name(payload, at, source)
            elif number == r.MSG:
                self._read_message(payload, at)
            elif number == r.ANCHOR:
                self._anchors[source] = get_int(payload, at)[0]
            else:
                has_unknown = True
                found.append((number, payload[at:end]))
            at = end
        if source not in names[r.SOURCE]:
            raise MalformedDataError("its relay is not named, because the frames before it are damaged")
        origin = names[r.SOURCE][source][1]
        tables = {table: dict(rows) for table, rows in names.items() if table != r.SOURCE} if has_unknown else None
        return Frame(origin, self._time, seq, self._anchors.get(source), found, tables)

    def _read_name(self, payload: bytes, at: int, source: int) -> None:
        table, at = get_uint(payload, at)
        number, at = get_uint(payload, at)
        text, at = get_text(payload, at)
        if table < len(r.TABLES):
            self._names[table][number] = (number, text)

    def _read_message(self, payload: bytes, at: int) -> None:
        number, at = get_uint(payload, at)
        id_, at = get_text(payload, at)
        cls, at = get_uint(payload, at)
        tenant, at = get_uint(payload, at)
        dest, at = get_uint(payload, at)
        names = self._names
        names[-1][number] = r.Msg(
            number, id_, names[r.CLASS].get(cls) or (cls, ""), names[r.TENANT].get(tenant) or (tenant, ""), dest
        )


def _get_floats(data: bytes, at: int, count: int) -> tuple[tuple[float, ...], int]:
    if count > MAX_FLOATS:
        raise MalformedDataError("too many numbers")
    try:
        return struct.unpack_from(f"<{count}d", data, at), at + 8 * count
    except struct.error:
        raise MalformedDataError("a number is cut short") from None


def _get_members(data: bytes, at: int, names: dict[int, dict[int, Any]]) -> tuple[list[r.Member], int]:
    count, at = get_uint(data, at)
    rows = []
    for _ in range(count):
        endpoint, at = get_uint(data, at)
        lifecycle, at = get_uint(data, at)
        dest, at = get_uint(data, at)
        zone, at = get_uint(data, at)
        kind, at = get_uint(data, at)
        weight, at = get_float(data, at)
        address, at = get_text(data, at)
        rows.append(
            r.Member(
                names[r.ENDPOINT].get(endpoint) or (endpoint, ""),
                lifecycle,
                dest,
                names[r.ZONE].get(zone) or (zone, ""),
                names[r.KIND].get(kind) or (kind, ""),
                weight,
                address,
            )
        )
    return rows, at


# Source text that reads a field, by kind of field; compiled into one function per record type. ``n`` is the value read.
_GET_UINT = "n = data[at]\nif n < 128: at += 1\nelse: n, at = get_uint(data, at)"
_GET = {
    "u": f"{_GET_UINT}\nadd(n)",
    "i": "n, at = get_int(data, at)\nadd(n)",
    "t": "n, at = get_text(data, at)\nadd(n)",
    "b": f"{_GET_UINT}\nadd(n != 0)",
    "x": "if data[at]: n, at = get_ms(data, at)\nelse: n = 0.0; at += 1\nadd(n)",
    "a": "n, at = get_ms(data, at, time)\nadd(n)",
    "f": "n, at = get_float(data, at)\nadd(n)",
    "F": f"{_GET_UINT}\nif n: n, at = get_floats(data, at, n)\nelse: n = ()\nadd(n)",
    "L": "n, at = get_members(data, at, names)\nadd(n)",
    "M": f"{_GET_UINT}\nadd(names[-1].get(n) or Msg(n, '', UNKNOWN, UNKNOWN, 0))",
} | {kind: f"{_GET_UINT}\nadd(names[{table}].get(n) or (n, ''))" for kind, table in r.TABLE_OF.items()}


def _compile_reader(record_type: r.Type) -> Callable:
    """Compile the function that reads the fields of one record type, up to ``end``.

    A record of an earlier version may have fewer fields than this version knows.
    """
    lines = ["def get(data, at, end, names, time):", "    values = []", "    add = values.append"]
    for _name, kind in record_type.fields:
        lines.append("    if at >= end: return values, at")
        lines += [f"    {line}" for line in _GET[kind].split("\n")]
    lines.append("    return values, at")
    namespace: dict[str, Any] = {
        "get_uint": get_uint,
        "get_int": get_int,
        "get_text": get_text,
        "get_ms": get_ms,
        "get_float": get_float,
        "get_floats": _get_floats,
        "get_members": _get_members,
        "Msg": r.Msg,
        "UNKNOWN": r.UNKNOWN,
    }
    exec("\n".join(lines), namespace)  # built only from the constants above
    return namespace["get"]


GET_RECORD = {one.number: _compile_reader(one) for one in r.TYPES}
