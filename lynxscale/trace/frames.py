"""Frames: the records of one turn of one relay's loop, as bytes and back.

A frame's payload is the number of its source, its time and first record's sequence number (each from the base of
the container), and records: a type, a length, fields. Names, anchors and messages that the reader cannot know yet
go before the records that need them; they are context and have no sequence number.
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

FRAME_MOST = 1 << 24  # bytes of a payload: guards against a flipped length by which a reader would take all memory
FLOATS_MOST = 1 << 16


class Frame(NamedTuple):
    """What one turn gave. ``offset`` is Unix time less ``time``, in µs; None where no anchor is known."""

    source: str  # relay/process
    time: int  # µs on that process's monotonic clock
    seq: int  # of the first record, counted from the process's start
    offset: int | None
    records: list[tuple[int, Any]]
    names: dict[int, dict[int, Any]] | None = None  # where a record's type is unknown: all that it may refer to

    @property
    def unix(self) -> int:
        """Unix time in µs; the monotonic time where there is no anchor."""
        return self.time + (self.offset or 0)


# Writing ---------------------------------------------------------------------------------------------


class Encoder:
    """Makes payloads. What it has named since ``reset`` is not named again."""

    def __init__(self) -> None:
        self._sources: dict[str, int] = {}
        self.reset()

    def reset(self) -> None:
        """What comes next may be read by itself."""
        self._known: dict[int, list[dict[int, Any]]] = {}  # by source and table, messages last
        self._anchors: dict[int, int] = {}
        self.fresh: list[r.Msg] = []  # messages named since then
        self.told_context = False  # of types that a block's summary tells of

    def payload(self, frame: Frame, base_time: int = 0, base_seq: int = 0) -> bytes:
        """A frame's bytes.

        Raises ValueError where a value does not fit its field.
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
            self.name(r.SOURCE, (source, name), {})
        if offset is not None and self._anchors.get(source) != offset:
            self._anchors[source] = offset
            part = bytearray()
            put_int(part, offset)
            self._context(r.ANCHOR, part)
        self.known = known
        if names is not None:
            for table, rows in names.items():
                for row in rows.values():
                    self.message(row) if table < 0 else self.name(table, row, known[table])
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

    def _context(self, number: int, part: bytearray) -> None:
        self.head.append(number)
        put_uint(self.head, len(part))
        self.head += part

    def name(self, table: int, handle: r.Handle, known: dict[int, Any]) -> None:
        """Tell a handle's text, if it has one and this is not known."""
        number, text = handle
        if text and known.get(number, ("", ""))[1] != text:
            known[number] = handle
            part = bytearray([table])
            put_uint(part, number)
            put_text(part, text)
            self._context(r.NAME, part)

    def message(self, msg: r.Msg) -> None:
        """Tell a message's id and what it is, if it has an id and this is not known."""
        if msg.id and self.known[-1].get(msg.number) != msg:
            self.known[-1][msg.number] = msg
            self.name(r.CLASS, msg.cls, self.known[r.CLASS])
            self.name(r.TENANT, msg.tenant, self.known[r.TENANT])
            part = bytearray()
            put_uint(part, msg.number)
            put_text(part, msg.id)
            put_uint(part, msg.cls[0])
            put_uint(part, msg.tenant[0])
            put_uint(part, msg.dest)
            self._context(r.MSG, part)
            self.fresh.append(msg)


def _put_members(encoder: Encoder, out: bytearray, rows: Any) -> None:
    put_uint(out, len(rows))
    known = encoder.known
    for row in rows:
        for table, handle in ((r.ENDPOINT, row.endpoint), (r.ZONE, row.zone), (r.KIND, row.kind)):
            encoder.name(table, handle, known[table])
        put_uint(out, row.endpoint[0])
        put_uint(out, row.lifecycle)
        put_uint(out, row.dest)
        put_uint(out, row.zone[0])
        put_uint(out, row.kind[0])
        put_float(out, row.weight)
        put_text(out, row.address)


# How a field of each kind is written, as source: a record's fields are one function, made once. The daemon writes
# five records a message, and a call a field took half of the time. ``v`` is the value, ``n`` a number to write.
_UINT = "if 0 <= n < 128: out.append(n)\nelse: put_uint(out, n)"
_PUT = {
    "u": f"n = v\n{_UINT}",
    "i": "put_int(out, v)",
    "t": "put_text(out, v)",
    "b": "out.append(1 if v else 0)",
    "x": "if v: put_ms(out, v)\nelse: out.append(0)",
    "a": "put_ms(out, v, time)",
    "f": "put_float(out, v)",
    "F": f"n = len(v)\n{_UINT}\nif n: out += PACK[n](*v) if n < 5 else pack(f'<{{n}}d', *v)",
    "L": "put_members(encoder, out, v)",
    "M": f"n = v[0]\nif known[-1].get(n) is not v: encoder.message(v)\n{_UINT}",
} | {
    kind: f"n = v[0]\nif known[{table}].get(n) is not v: encoder.name({table}, v, known[{table}])\n{_UINT}"
    for kind, table in r.TABLE_OF.items()
}


def _compiled(one: r.Type) -> Callable:
    """The function that writes one type's record: its known fields, as many as there are, then what is behind them."""
    lines = ["def put(encoder, out, values, known, time):", "    count = len(values)"]
    if one.number in r.CONTEXT:
        lines.append("    encoder.told_context = True")
    for place, (_name, kind) in enumerate(one.fields):
        lines += [f"    if count == {place}: return", f"    v = values[{place}]"]
        lines += [f"    {line}" for line in _PUT[kind].split("\n")]
    lines.append(f"    if count > {len(one.fields)}: out += values[-1]")
    space: dict[str, Any] = {
        "put_uint": put_uint,
        "put_int": put_int,
        "put_text": put_text,
        "put_ms": put_ms,
        "put_float": put_float,
        "put_members": _put_members,
        "pack": struct.pack,
        "PACK": [struct.Struct(f"<{count}d").pack for count in range(5)],
    }
    exec("\n".join(lines), space)  # the text is made of the constants above alone
    return space["put"]


PUT_RECORD = {one.number: _compiled(one) for one in r.TYPES}


# Reading ---------------------------------------------------------------------------------------------


class Decoder:
    """Takes payloads apart; keeps the names that they tell until ``reset``."""

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Forget all names: what comes next was written to be read by itself."""
        self._tables: dict[int, dict[int, dict[int, Any]]] = {}
        self._anchors: dict[int, int] = {}
        self._names: dict[int, dict[int, Any]] = {}
        self._time = 0

    def head(self, payload: bytes, base_time: int = 0, base_seq: int = 0) -> tuple[int, int, int, int]:
        """Source, time, sequence number and the offset of what follows."""
        source, at = get_uint(payload, 0)
        time, at = get_int(payload, at)
        seq, at = get_int(payload, at)
        return source, time + base_time, seq + base_seq, at

    def frame(self, payload: bytes, base_time: int = 0, base_seq: int = 0) -> Frame:
        """The frame in these bytes.

        Raises MalformedDataError where they are none.
        """
        source, self._time, seq, at = self.head(payload, base_time, base_seq)
        names = self._names = self._tables.setdefault(source, {table: {} for table in range(-1, len(r.TABLES))})
        found: list[tuple[int, Any]] = []
        strange = False
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
                self._name(payload, at, source)
            elif number == r.MSG:
                self._message(payload, at)
            elif number == r.ANCHOR:
                self._anchors[source] = get_int(payload, at)[0]
            else:
                strange = True
                found.append((number, payload[at:end]))
            at = end
        if source not in names[r.SOURCE]:
            raise MalformedDataError("its relay is not named, as what was before it is damaged")
        origin = names[r.SOURCE][source][1]
        kept = {table: dict(rows) for table, rows in names.items() if table != r.SOURCE} if strange else None
        return Frame(origin, self._time, seq, self._anchors.get(source), found, kept)

    def _name(self, payload: bytes, at: int, source: int) -> None:
        table, at = get_uint(payload, at)
        number, at = get_uint(payload, at)
        text, at = get_text(payload, at)
        if table < len(r.TABLES):
            self._names[table][number] = (number, text)

    def _message(self, payload: bytes, at: int) -> None:
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
    if count > FLOATS_MOST:
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


# How a field of each kind is read, as source: as with writing, one function a type. ``n`` is a number read.
_NUMBER = "n = data[at]\nif n < 128: at += 1\nelse: n, at = get_uint(data, at)"
_GET = {
    "u": f"{_NUMBER}\nadd(n)",
    "i": "n, at = get_int(data, at)\nadd(n)",
    "t": "n, at = get_text(data, at)\nadd(n)",
    "b": f"{_NUMBER}\nadd(n != 0)",
    "x": "if data[at]: n, at = get_ms(data, at)\nelse: n = 0.0; at += 1\nadd(n)",
    "a": "n, at = get_ms(data, at, time)\nadd(n)",
    "f": "n, at = get_float(data, at)\nadd(n)",
    "F": f"{_NUMBER}\nif n: n, at = get_floats(data, at, n)\nelse: n = ()\nadd(n)",
    "L": "n, at = get_members(data, at, names)\nadd(n)",
    "M": f"{_NUMBER}\nadd(names[-1].get(n) or Msg(n, '', UNKNOWN, UNKNOWN, 0))",
} | {kind: f"{_NUMBER}\nadd(names[{table}].get(n) or (n, ''))" for kind, table in r.TABLE_OF.items()}


def _compiled_get(one: r.Type) -> Callable:
    """The function that reads one type's fields up to ``end``: fewer than are known where it was written before."""
    lines = ["def get(data, at, end, names, time):", "    values = []", "    add = values.append"]
    for _name, kind in one.fields:
        lines.append("    if at >= end: return values, at")
        lines += [f"    {line}" for line in _GET[kind].split("\n")]
    lines.append("    return values, at")
    space: dict[str, Any] = {
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
    exec("\n".join(lines), space)  # the text is made of the constants above alone
    return space["get"]


GET_RECORD = {one.number: _compiled_get(one) for one in r.TYPES}
