"""Encoding of single fields; docs/design/trace.md, "Fields".

Numbers are LEB128 varints: seven bits a byte, least significant first. Signed numbers are zigzag coded, as in Protocol
Buffers. The ``get_`` functions return the value and the offset after it, and raise ``MalformedDataError`` where the
bytes end inside a field or a field exceeds its bounds.
"""

from __future__ import annotations

import struct

from lynxscale.trace.exceptions import MalformedDataError

F64 = struct.Struct("<d")
MAX_TEXT_BYTES = 1 << 24
MAX_VARINT_BYTES = 10  # enough for 64 bits; bounds the parse of a run of bytes with the continuation bit set


def put_uint(out: bytearray, value: int) -> None:
    """Append an unsigned number. Raises ValueError if it is negative."""
    if value < 0x4000:
        if value > 0x7F:
            out.append(value & 0x7F | 0x80)
            out.append(value >> 7)
            return
        if value < 0:  # the loop below would not end
            raise ValueError(f"want a number of at least 0, not {value}")
    elif value < 0x10000000:  # mostly times in µs: encoded without a loop
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
    """Read an unsigned number."""
    try:
        byte = data[at]
        if byte < 0x80:
            return byte, at + 1
        value, shift = byte & 0x7F, 7
        for position in range(at + 1, at + MAX_VARINT_BYTES):
            byte = data[position]
            value |= (byte & 0x7F) << shift
            if byte < 0x80:
                return value, position + 1
            shift += 7
    except IndexError:
        raise MalformedDataError("a number is cut short") from None
    raise MalformedDataError("a number is too long")


def put_int(out: bytearray, value: int) -> None:
    """Append a signed number, zigzag coded."""
    put_uint(out, value << 1 if value >= 0 else (-value << 1) - 1)


def get_int(data: bytes, at: int) -> tuple[int, int]:
    """Read a signed number."""
    value, at = get_uint(data, at)
    return (value >> 1) ^ -(value & 1), at


def put_text(out: bytearray, text: str) -> None:
    """Append a text: its length in bytes times two, then UTF-8.

    Lower-case hexadecimal is packed into half as many bytes, and marked by the lowest bit of the length field.
    """
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
    """Read a text."""
    size, at = get_uint(data, at)
    packed, size = size & 1, size >> 1
    raw = data[at : at + size]
    if size > MAX_TEXT_BYTES or len(raw) < size:
        raise MalformedDataError("a text is cut short")
    try:
        return (raw.hex() if packed else raw.decode("utf-8", "surrogatepass")), at + size
    except UnicodeDecodeError:
        raise MalformedDataError("a text is not UTF-8") from None


def put_float(out: bytearray, value: float) -> None:
    """Append a number as an IEEE 754 double."""
    out += F64.pack(value)


def get_float(data: bytes, at: int) -> tuple[float, int]:
    """Read an IEEE 754 double."""
    try:
        return F64.unpack_from(data, at)[0], at + 8
    except struct.error:
        raise MalformedDataError("a number is cut short") from None


def put_ms(out: bytearray, value: float, base_us: int = 0) -> None:
    """Append milliseconds without loss: as whole µs relative to ``base_us`` if that is exact, otherwise as a double.

    The relay computes milliseconds by dividing whole µs, so the short form is the usual one. The lowest bit of the
    first byte tells the two forms apart.
    """
    micros = round(value * 1000) if -1e15 < value < 1e15 else 0
    if micros / 1000 == value and not (micros == 0 and str(value) == "-0.0"):
        micros -= base_us
        put_uint(out, (micros << 1 if micros >= 0 else (-micros << 1) - 1) << 1)
    else:
        out.append(1)
        out += F64.pack(value)


def get_ms(data: bytes, at: int, base_us: int = 0) -> tuple[float, int]:
    """Read milliseconds that ``put_ms`` stored relative to ``base_us``."""
    value, at = get_uint(data, at)
    if value & 1:
        return get_float(data, at)
    value >>= 1
    return (((value >> 1) ^ -(value & 1)) + base_us) / 1000, at
