"""Frames: the records of one turn of one relay's loop, as bytes and back.

A frame's payload is the number of its source, its time and first record's sequence number (each from the base of
the container), and records: a type, a length, fields. Names, anchors and messages that the reader cannot know yet
go before the records that need them; they are context and have no sequence number.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from lynxscale.trace import records as r
from lynxscale.trace.fields import (
    Cut,
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
        self._known: dict[int, dict[tuple[int, int], Any]] = {}
        self._anchors: dict[int, int] = {}
        self.fresh: list[r.Msg] = []  # messages named since then

    def payload(self, frame: Frame, base_time: int = 0, base_seq: int = 0) -> bytes:
        """A frame's bytes.

        Raises ValueError where a value does not fit its field.
        """
        source = self._sources.setdefault(frame.source, len(self._sources))
        out, body = bytearray(), bytearray()
        put_uint(out, source)
        put_int(out, frame.time - base_time)
        put_int(out, frame.seq - base_seq)
        self._head, self._time = out, frame.time
        known = self._known.get(source)
        if known is None:
            known = self._known[source] = {}
            self._name(r.SOURCE, (source, frame.source))
        self._names = known
        if frame.offset is not None and self._anchors.get(source) != frame.offset:
            self._anchors[source] = frame.offset
            self._context(r.ANCHOR, lambda part: put_int(part, frame.offset))
        if frame.names is not None:
            for table, rows in frame.names.items():
                for row in rows.values():
                    self._message(row) if table < 0 else self._handle(table, row)
        part = bytearray()
        for number, values in frame.records:
            if type(values) is bytes:
                part += values
            else:
                for put, value in zip(PUTS[number], values, strict=False):
                    put(self, part, value)
                if len(values) > len(PUTS[number]):
                    part += values[-1]
            put_uint(body, number)
            put_uint(body, len(part))
            body += part
            part.clear()
        return bytes(out + body)

    def _context(self, number: int, fill: Callable[[bytearray], None]) -> None:
        part = bytearray()
        fill(part)
        self._head.append(number)
        put_uint(self._head, len(part))
        self._head += part

    def _name(self, table: int, handle: r.Handle) -> None:
        part = bytearray([table])
        put_uint(part, handle[0])
        put_text(part, handle[1])
        self._head.append(r.NAME)
        put_uint(self._head, len(part))
        self._head += part

    def _handle(self, table: int, handle: r.Handle) -> int:
        number, text = handle
        key = (table, number)
        if text and self._names.get(key) != text:
            self._names[key] = text
            self._name(table, handle)
        return number

    def _message(self, msg: r.Msg) -> int:
        key = (-1, msg[0])
        if msg[1] and self._names.get(key) != msg:
            self._names[key] = msg
            cls, tenant = self._handle(r.CLASS, msg[2]), self._handle(r.TENANT, msg[3])
            part = bytearray()
            put_uint(part, msg[0])
            put_text(part, msg[1])
            put_uint(part, cls)
            put_uint(part, tenant)
            put_uint(part, msg[4])
            self._head.append(r.MSG)
            put_uint(self._head, len(part))
            self._head += part
            self.fresh.append(msg)
        return msg[0]


def _put_floats(_encoder: Encoder, out: bytearray, values: Any) -> None:
    put_uint(out, len(values))
    for value in values:
        put_float(out, value)


def _put_members(encoder: Encoder, out: bytearray, rows: Any) -> None:
    put_uint(out, len(rows))
    for row in rows:
        put_uint(out, encoder._handle(r.ENDPOINT, row[0]))
        put_uint(out, row[1])
        put_uint(out, row[2])
        put_uint(out, encoder._handle(r.ZONE, row[3]))
        put_uint(out, encoder._handle(r.KIND, row[4]))
        put_float(out, row[5])
        put_text(out, row[6])


def _put_table(table: int) -> Callable:
    return lambda encoder, out, value: put_uint(out, encoder._handle(table, value))


_PUT: dict[str, Callable] = {
    "u": lambda _e, out, value: put_uint(out, value),
    "i": lambda _e, out, value: put_int(out, value),
    "t": lambda _e, out, value: put_text(out, value),
    "b": lambda _e, out, value: out.append(1 if value else 0),
    "x": lambda _e, out, value: put_ms(out, value),
    "a": lambda e, out, value: put_ms(out, value, e._time),
    "f": lambda _e, out, value: put_float(out, value),
    "F": _put_floats,
    "L": _put_members,
    "M": lambda e, out, value: put_uint(out, e._message(value)),
} | {kind: _put_table(table) for kind, table in r.TABLE_OF.items()}
PUTS = {one.number: tuple(_PUT[kind] for _, kind in one.fields) for one in r.TYPES}


# Reading ---------------------------------------------------------------------------------------------


class Decoder:
    """Takes payloads apart; keeps the names that they tell until ``reset``."""

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
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

        Raises Cut where they are none.
        """
        source, self._time, seq, at = self.head(payload, base_time, base_seq)
        names = self._names = self._tables.setdefault(source, {table: {} for table in range(-1, len(r.TABLES))})
        found: list[tuple[int, Any]] = []
        strange = False
        size = len(payload)
        while at < size:
            number, at = get_uint(payload, at)
            length, at = get_uint(payload, at)
            end = at + length
            if end > size:
                raise Cut("a record is cut short")
            gets = GETS.get(number)
            if gets is not None:
                values: list = []
                for get in gets:
                    if at >= end:
                        break  # written before that field was there
                    value, at = get(self, payload, at)
                    values.append(value)
                if at > end:
                    raise Cut("a record's fields are longer than it is")
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
        origin = names[r.SOURCE].get(source, (source, f"unknown/{source}"))[1]
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
        names[-1][number] = r.Msg(number, id_, names[r.CLASS].get(cls) or (cls, ""),
                                  names[r.TENANT].get(tenant) or (tenant, ""), dest)


def _get_floats(_decoder: Decoder, data: bytes, at: int) -> tuple[tuple[float, ...], int]:
    count, at = get_uint(data, at)
    if count > FLOATS_MOST:
        raise Cut("too many numbers")
    values = []
    for _ in range(count):
        value, at = get_float(data, at)
        values.append(value)
    return tuple(values), at


def _get_members(decoder: Decoder, data: bytes, at: int) -> tuple[list[r.Member], int]:
    names = decoder._names
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
        rows.append(r.Member(
            names[r.ENDPOINT].get(endpoint) or (endpoint, ""), lifecycle, dest, names[r.ZONE].get(zone) or (zone, ""),
            names[r.KIND].get(kind) or (kind, ""), weight, address,
        ))
    return rows, at


def _get_table(table: int) -> Callable:
    def get(decoder: Decoder, data: bytes, at: int) -> tuple[r.Handle, int]:
        number, at = get_uint(data, at)
        return decoder._names[table].get(number) or (number, ""), at

    return get


def _get_msg(decoder: Decoder, data: bytes, at: int) -> tuple[r.Msg, int]:
    number, at = get_uint(data, at)
    return decoder._names[-1].get(number) or r.Msg(number, "", r.UNKNOWN, r.UNKNOWN, 0), at


def _get_flag(_decoder: Decoder, data: bytes, at: int) -> tuple[bool, int]:
    value, at = get_uint(data, at)
    return value != 0, at


_GET: dict[str, Callable] = {
    "u": lambda _d, data, at: get_uint(data, at),
    "i": lambda _d, data, at: get_int(data, at),
    "t": lambda _d, data, at: get_text(data, at),
    "b": _get_flag,
    "x": lambda _d, data, at: get_ms(data, at),
    "a": lambda d, data, at: get_ms(data, at, d._time),
    "f": lambda _d, data, at: get_float(data, at),
    "F": _get_floats,
    "L": _get_members,
    "M": _get_msg,
} | {kind: _get_table(table) for kind, table in r.TABLE_OF.items()}
GETS = {one.number: tuple(_GET[kind] for _, kind in one.fields) for one in r.TYPES}


def messages(frame: Frame) -> Iterator[r.Msg]:
    """Every message that a frame's records name, with its repeats."""
    for number, values in frame.records:
        one = r.BY_NUMBER.get(number)
        if one is not None and one.fields and one.fields[0][1] == "M" and values:
            yield values[0]
