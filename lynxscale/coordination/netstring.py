"""Netstrings (https://cr.yp.to/proto/netstrings.txt): ``LENGTH:BYTES,`` frames for the internal protocol."""

from __future__ import annotations

from lynxscale.coordination.exceptions import NetstringError

MAX_LENGTH_DIGITS = 8
MAX_PAYLOAD_BYTES = 64 * 1024 * 1024


def encode(payload: bytes) -> bytes:
    """Encode a payload as one netstring."""
    return b"%d:%b," % (len(payload), payload)


class Decoder:
    """Splits a byte stream of netstrings into payloads."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def partial_bytes(self) -> int:
        """The bytes of the frame that is not complete yet."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[bytes]:
        """Return the payloads completed by ``data``. Raises NetstringError, after which the stream is unusable."""
        self._buffer += data
        payloads = []
        while (payload := self._next()) is not None:
            payloads.append(payload)
        return payloads

    def _next(self) -> bytes | None:
        """Take the first payload from the buffer; None if it is incomplete."""
        colon = self._buffer.find(b":", 0, MAX_LENGTH_DIGITS + 1)
        if colon < 0:
            if len(self._buffer) > MAX_LENGTH_DIGITS:
                raise NetstringError("no length prefix within the first bytes")
            return None
        digits = bytes(self._buffer[:colon])
        if not digits.isdigit() or int(digits) > MAX_PAYLOAD_BYTES:
            raise NetstringError(f"invalid length {digits!r}")
        end = colon + 1 + int(digits)
        if len(self._buffer) <= end:
            return None
        if self._buffer[end] != ord(","):
            raise NetstringError("no comma after the payload")
        payload = bytes(self._buffer[colon + 1 : end])
        del self._buffer[: end + 1]
        return payload
