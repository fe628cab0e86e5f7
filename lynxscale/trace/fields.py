"""The fields that records are made of, as bytes: docs/design/trace.md, "Fields".

Numbers are LEB128 varints, seven bits a byte, the least first; signed ones are zigzag coded (as in Protocol Buffers'
encoding guide). ``MalformedDataError`` is raised where the bytes end inside a field or a field is out of its bounds.
"""

from __future__ import annotations

import struct

from lynxscale.trace.exceptions import MalformedDataError

F64 = struct.Struct("<d")
TEXT_MOST = 1 << 24
VARINT_MOST = 10  # bytes of one number: 64 bits and more, guards against a run of set bits


def put_uint(out: bytearray, value: int) -> None:
    """Append an unsigned number. Raises ValueError for a negative one."""
    if value < 0x4000:
        if value > 0x7F:
            out.append(value & 0x7F | 0x80)
            out.append(value >> 7)
            return
        if value < 0:  # guards against a loop without end
            raise ValueError(f"want a number of at least 0, not {value}")
    elif value < 0x10000000:  # times in µs, mostly: without a loop
        if value < 0x200000:
            out += bytes((value & 0x7F | 0x80, value >> 7 & 0x7F | 0x80, value >> 14))
        else:
            out += bytes((value & 0x7F | 0x80, value >> 7 & 0x7F | 0x80, value >> 14 & 0x7F | 0x80, value >> 21))
        return
    while value > 0x7F:
        out.append(value & 0x7F | 0x80)
        value >>= 7
    out.append(value)


def get_uint(data: bytes, at: int) -> tuple[int, int]:
    """The number at an offset, and the offset behind it."""
    try:
        byte = data[at]
        if byte < 0x80:
            return byte, at + 1
        value, shift = byte & 0x7F, 7
        for behind in range(at + 1, at + VARINT_MOST):
            byte = data[behind]
            value |= (byte & 0x7F) << shift
            if byte < 0x80:
                return value, behind + 1
            shift += 7
    except IndexError:
        raise MalformedDataError("a number is cut short") from None
    raise MalformedDataError("a number is too long")


def put_int(out: bytearray, value: int) -> None:
    """Append a signed number, zigzag coded."""
    put_uint(out, value << 1 if value >= 0 else (-value << 1) - 1)


def get_int(data: bytes, at: int) -> tuple[int, int]:
    """The signed number at an offset, and the offset behind it."""
    value, at = get_uint(data, at)
    return (value >> 1) ^ -(value & 1), at


def put_text(out: bytearray, text: str) -> None:
    """Twice the length, then UTF-8; one more where it is lower-case hexadecimal, which is packed."""
    if len(text) > 3 and not len(text) & 1:
        try:
            packed = bytes.fromhex(text)
        except ValueError:
            packed = b""
        if packed.hex() == text:
            put_uint(out, len(packed) << 1 | 1)
            out += packed
            return
    data = text.encode("utf-8", "surrogatepass")
    put_uint(out, len(data) << 1)
    out += data


def get_text(data: bytes, at: int) -> tuple[str, int]:
    """The text at an offset, and the offset behind it."""
    size, at = get_uint(data, at)
    packed, size = size & 1, size >> 1
    raw = data[at : at + size]
    if size > TEXT_MOST or len(raw) < size:
        raise MalformedDataError("a text is cut short")
    try:
        return (raw.hex() if packed else raw.decode("utf-8", "surrogatepass")), at + size
    except UnicodeDecodeError:
        raise MalformedDataError("a text is not UTF-8") from None


def put_float(out: bytearray, value: float) -> None:
    """Append a number as the eight bytes of its IEEE 754 form."""
    out += F64.pack(value)


def get_float(data: bytes, at: int) -> tuple[float, int]:
    """The eight-byte number at an offset, and the offset behind it."""
    try:
        return F64.unpack_from(data, at)[0], at + 8
    except struct.error:
        raise MalformedDataError("a number is cut short") from None


def put_ms(out: bytearray, value: float, zero: int = 0) -> None:
    """Milliseconds, exactly: as whole µs from ``zero`` where that gives the same number, else all its bits.

    The relay makes its milliseconds of whole µs by dividing, so the short form is the usual one. A number's lowest
    bit tells which it is.
    """
    micros = round(value * 1000) if -1e15 < value < 1e15 else 0
    if micros / 1000 == value and not (micros == 0 and str(value) == "-0.0"):
        micros -= zero
        put_uint(out, (micros << 1 if micros >= 0 else (-micros << 1) - 1) << 1)
    else:
        out.append(1)
        out += F64.pack(value)


def get_ms(data: bytes, at: int, zero: int = 0) -> tuple[float, int]:
    """The milliseconds at an offset, as ``put_ms`` stored them from ``zero``, and the offset behind them."""
    value, at = get_uint(data, at)
    if value & 1:
        return get_float(data, at)
    value >>= 1
    return (((value >> 1) ^ -(value & 1)) + zero) / 1000, at
