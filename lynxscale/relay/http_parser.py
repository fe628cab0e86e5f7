"""Incremental HTTP/1.1 parsers (RFC 9110, RFC 9112) with limits on everything that they buffer, and serializers.

A parser that is fed bytes returns the messages that they complete. Input that is not HTTP/1.1 within the limits sets
the parser's ``fault``; it then ignores all further input. Messages that were complete before the fault are returned.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from lynxscale.relay.exceptions import HttpParseError
from lynxscale.runtime.exceptions import InvalidRequestError
from lynxscale.runtime.request_target import origin_target

MAX_HEAD_BYTES = 16 * 1024
MAX_BODY_BYTES = 64 * 1024
MAX_LIST_BYTES = 1024 * 1024  # body of a complete endpoint list from discovery
MAX_SKIPPED_BYTES = 1024 * 1024  # bodies over MAX_BODY_BYTES, up to this size, are read and discarded
MAX_HEADERS = 100
MAX_CHUNK_LINE_BYTES = 1024  # a chunk's size line or a trailer line
MAX_BLANK_LINES = 4
MAX_INTERIM_RESPONSES = 16  # 1xx responses before the final one
MAX_PIPELINED = 16  # messages completed by one read; well-behaved peers have one call per connection in progress

TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
FORBIDDEN_IN_VALUE = re.compile(rb"[\0\r\n]")  # another parser may treat these as the end of the line
HEX = re.compile(rb"[0-9A-Fa-f]{1,8}")  # int() would also accept signs, 0x and underscores
STATUS_LINE = re.compile(r"HTTP/1\.[01] ([1-5][0-9][0-9])(?:\s.*)?")
FRAMING = frozenset(("content-length", "transfer-encoding"))

REASON_PHRASES = {
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    411: "Length Required",
    413: "Content Too Large",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    501: "Not Implemented",
    503: "Service Unavailable",
    505: "HTTP Version Not Supported",
}


@dataclass(slots=True)
class Request:
    """A complete request. Header names are in lower case; ``close``: close the connection after the response."""

    method: str
    target: str
    headers: dict[str, str]
    close: bool
    body: bytes = b""
    too_large: bool = False  # the body exceeded the limit and was discarded


@dataclass(slots=True)
class Response:
    """A complete response. Header names are in lower case; ``close``: the connection closes after it."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    close: bool = False
    body: bytes = b""


def _headers(lines: list[bytes], single_headers: frozenset[str]) -> dict[str, str]:
    if len(lines) > MAX_HEADERS:
        raise HttpParseError(431, "too many header lines")
    headers: dict[str, str] = {}
    for line in lines:
        name, colon, value = line.partition(b":")
        if not colon or not TOKEN.fullmatch(name) or FORBIDDEN_IN_VALUE.search(value):
            raise HttpParseError(400, "a header line is malformed")
        key, text = name.decode("latin-1").lower(), value.strip(b" \t").decode("latin-1")
        if key in headers:
            if key in single_headers:
                # Guards against request smuggling: another parser may use the other value.
                raise HttpParseError(400, f"{key} is there twice")
            text = f"{headers[key]}, {text}"
        headers[key] = text
    return headers


def _length(headers: dict[str, str]) -> int | None:
    text = headers.get("content-length")
    if text is None:
        return None
    if not (text.isascii() and text.isdigit()) or len(text) > 18:
        raise HttpParseError(400, "the content length is not a number")
    return int(text)


def _wants_close(version: str, headers: dict[str, str]) -> bool:
    tokens = {token.strip().lower() for token in headers.get("connection", "").split(",")}
    return "close" in tokens or (version == "HTTP/1.0" and "keep-alive" not in tokens)


class _Parser:
    """Parses a head, then a body; subclasses parse the first line and choose the body's framing.

    ``_step`` is the parser's state: a method that consumes bytes from the buffer and returns a complete message, True
    if it made progress, or None if it needs more bytes.
    """

    def __init__(self, single_headers: frozenset[str] = FRAMING) -> None:
        self._single_headers = single_headers  # headers that must not be repeated
        self._data = bytearray()
        self._scanned = 0  # bytes of the buffer already searched for the end of the head
        self._needed = 0  # length of the body or chunk that is being read
        self._skip_left = 0  # bytes still to discard of a body over the limit
        self._blank_lines = 0
        self.first_line: str | None = None  # the first line of the message that is being parsed
        self.message: Any = None  # the message whose head has been parsed and whose body is being read
        self.fault: HttpParseError | None = None  # the error that stopped the parser
        self._step: Callable[[], Any] = self._read_head

    def feed(self, data: bytes) -> list:
        """Parse more bytes and return the messages that they complete, including those before a ``fault``."""
        if self.fault is not None:
            return []
        self._data += data
        done = []
        try:
            while (message := self._step()) is not None:
                if message is not True:
                    done.append(message)
                    if len(done) > MAX_PIPELINED:
                        raise HttpParseError(429, "too many at once")
        except HttpParseError as error:
            self.fault = error
            self._data.clear()
        return done

    def discard_buffer(self) -> None:
        """Free the buffer immediately instead of at garbage collection; nothing more is parsed."""
        self._data = bytearray()

    @property
    def buffered(self) -> int:
        """The number of buffered bytes of an incomplete message."""
        return len(self._data)

    @property
    def idle(self) -> bool:
        """True if no message has been started."""
        return self.message is None and not self._data

    def _read_head(self) -> Any:
        # RFC 9112 asks to ignore empty lines before the first line; their number is limited here.
        while self._data[:2] == b"\r\n":
            del self._data[:2]
            self._blank_lines += 1
            if self._blank_lines > MAX_BLANK_LINES:
                raise HttpParseError(400, "nothing but empty lines")
        line = self._data.find(b"\n", 0, MAX_HEAD_BYTES) if self.first_line is None else -1
        if line >= 0:
            self.first_line = self._data[:line].rstrip(b"\r").decode("latin-1")
        end = self._data.find(b"\r\n\r\n", max(0, self._scanned - 3))
        if end < 0:
            self._scanned = len(self._data)
            if self._scanned > MAX_HEAD_BYTES:
                raise HttpParseError(431, "the head is too long")
            return None
        if end > MAX_HEAD_BYTES:
            raise HttpParseError(431, "the head is too long")
        first_line, *lines = bytes(self._data[:end]).split(b"\r\n")
        del self._data[: end + 4]
        self._scanned = 0
        self.message = self._begin(first_line.decode("latin-1"), _headers(lines, self._single_headers))
        return True

    def _begin(self, first_line: str, headers: dict[str, str]) -> Any:
        """Create the message from its head, and set ``_step`` to the method that reads the body."""
        raise NotImplementedError

    def _finish(self) -> Any:
        message, self.message, self.first_line, self._blank_lines = self.message, None, None, 0
        self._step = self._read_head
        return message

    def _read_fixed_body(self) -> Any:
        if len(self._data) < self._needed:
            return None
        self.message.body = bytes(self._data[: self._needed])
        del self._data[: self._needed]
        return self._finish()

    def _skip_body(self) -> Any:
        skipped = min(self._skip_left, len(self._data))
        del self._data[:skipped]
        self._skip_left -= skipped
        return None if self._skip_left else self._finish()


class RequestParser(_Parser):
    """Parses requests with a Content-Length.

    A body over MAX_BODY_BYTES, up to MAX_SKIPPED_BYTES, is discarded and the request marked as too large.
    """

    expects_continue = False

    def _begin(self, first_line: str, headers: dict[str, str]) -> Request:
        fields = first_line.split(" ")
        if len(fields) != 3 or not fields[0].isalpha() or not fields[1]:
            raise HttpParseError(400, "the request line is malformed")
        method, target, version = fields
        if version not in ("HTTP/1.1", "HTTP/1.0"):
            raise HttpParseError(505 if version.startswith("HTTP/") else 400, "not HTTP/1.1")
        if "transfer-encoding" in headers and "content-length" in headers:
            # Guards against request smuggling: the body could hide a request, so nothing after the head is parsed.
            raise HttpParseError(400, "both Content-Length and Transfer-Encoding")
        if "transfer-encoding" in headers:
            raise HttpParseError(411, "a body needs a Content-Length")
        length = _length(headers) or 0
        if length > MAX_SKIPPED_BYTES:
            raise HttpParseError(413, "the body is too long")  # too much to read only to discard it
        try:
            target = origin_target(method, target).target
        except InvalidRequestError as error:
            raise HttpParseError(error.status, str(error)) from error
        message = Request(method, target, headers, _wants_close(version, headers))
        if length > MAX_BODY_BYTES:
            # Read to its end before the 413: closing with unread bytes would reset the connection and lose the 413.
            message.too_large, self._skip_left, self._step = True, length, self._skip_body
        else:
            self._needed, self._step = length, self._read_fixed_body
        self.expects_continue = headers.get("expect", "").lower() == "100-continue"
        return message


class ResponseParser(_Parser):
    """Parses responses framed by Content-Length, by chunked encoding or by the end of the connection."""

    def __init__(self, max_body: int = MAX_BODY_BYTES) -> None:
        super().__init__()
        self._max_body, self._interim_count = max_body, 0
        self._body = bytearray()  # the chunks received so far

    @property
    def status_ok(self) -> bool:
        """True if the status line says 200, even if the rest is malformed or missing."""
        match = STATUS_LINE.fullmatch(self.first_line or "")
        return match is not None and match[1] == "200"

    def _begin(self, first_line: str, headers: dict[str, str]) -> Response:
        match = STATUS_LINE.fullmatch(first_line)
        if match is None:
            raise HttpParseError(400, "malformed status line")
        message = Response(int(match[1]), headers, _wants_close(first_line[:8], headers))
        if "transfer-encoding" in headers and (
            "content-length" in headers or headers["transfer-encoding"].lower() != "chunked"
        ):
            raise HttpParseError(
                400, "unsupported Transfer-Encoding, or both Content-Length and Transfer-Encoding are set"
            )
        length = _length(headers)
        self._body = bytearray()
        if message.status < 200:
            self._step = self._skip_interim
        elif message.status in (204, 304):
            self._needed, self._step = 0, self._read_fixed_body
        elif "transfer-encoding" in headers:
            self._step = self._read_chunk_size
        elif length is None:
            message.close, self._step = True, self._read_until_end
        elif length > self._max_body:
            raise HttpParseError(413, "the response is too long")
        else:
            self._needed, self._step = length, self._read_fixed_body
        return message

    def _skip_interim(self) -> Any:
        self._interim_count += 1
        if self._interim_count > MAX_INTERIM_RESPONSES or self.message.status == 101:
            raise HttpParseError(400, "too many interim responses, or an upgrade of the protocol")
        self._finish()
        return True

    def _read_until_end(self) -> Any:
        if len(self._data) > self._max_body:
            raise HttpParseError(413, "the response is too long")
        return None

    def _take_line(self) -> bytes | None:
        end = self._data.find(b"\r\n")
        if end < 0 or end > MAX_CHUNK_LINE_BYTES:
            if len(self._data) > MAX_CHUNK_LINE_BYTES:
                raise HttpParseError(400, "a chunk size line or trailer line is too long")
            return None
        line = bytes(self._data[:end])
        del self._data[: end + 2]
        return line

    def _read_chunk_size(self) -> Any:
        line = self._take_line()
        if line is None:
            return None
        digits = line.partition(b";")[0].rstrip(b" \t")
        if not HEX.fullmatch(digits):
            raise HttpParseError(400, "malformed chunk size")
        size = int(digits, 16)
        if len(self._body) + size > self._max_body:
            raise HttpParseError(413, "the response is too long")
        self._needed = size
        self._step = self._read_chunk if size else self._read_trailer
        return True

    def _read_chunk(self) -> Any:
        if len(self._data) < self._needed + 2:
            return None
        if self._data[self._needed : self._needed + 2] != b"\r\n":
            raise HttpParseError(400, "a chunk does not have the length of its size line")
        self._body += self._data[: self._needed]
        del self._data[: self._needed + 2]
        self._step = self._read_chunk_size
        return True

    def _read_trailer(self) -> Any:
        line = self._take_line()
        if line is None:
            return None
        if line:
            return True
        self.message.body = bytes(self._body)
        return self._finish()

    def end(self) -> Response | None:
        """Handle the end of the connection: the response that it completes, or None if it is truncated."""
        if self.fault is not None or self._step != self._read_until_end:
            return None
        self.message.body = bytes(self._data)
        return self._finish()


def response_bytes(
    status: int,
    *,
    body: bytes = b"",
    content_type: str = "text/plain",
    close: bool = False,
    retry_after_ms: float = 0.0,
    to_head: bool = False,
) -> bytes:
    """Serialize a response to a client; ``content_type`` is sent only with a body.

    ``to_head``: whether it answers a HEAD request, so that it has the fields, but no body (RFC 9110, section 9.3.2).
    """
    lines = [f"HTTP/1.1 {status} {REASON_PHRASES.get(status, 'Unknown')}", f"Content-Length: {len(body)}"]
    if body:
        lines.append(f"Content-Type: {content_type}")
    if retry_after_ms > 0:
        lines.append(f"Retry-After: {retry_after_ms / 1000:.3f}")
    if close:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + (b"" if to_head else body)


def request_bytes(
    method: str, target: str, host: str, headers: tuple[tuple[str, str], ...] = (), body: bytes = b""
) -> bytes:
    """Serialize a request to a peer or to discovery."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
