"""Incremental HTTP/1.1 parsers with bounds on all that they keep."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

HEAD_MOST = 16 * 1024
BODY_MOST = 64 * 1024
LIST_MOST = 1024 * 1024  # discovery's whole list
SKIP_MOST = 1024 * 1024  # of a body over the bound, read past to keep the connection
HEADERS_MOST = 100
LINE_MOST = 1024  # a chunk's size line
BLANKS_MOST = 4
INTERIM_MOST = 16  # 1xx answers in front of one answer
AT_ONCE_MOST = 16  # messages in one reading: each party has one call on a connection at a time

TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
UNFIT = re.compile(rb"[\0\r\n]")  # in a header's value: another reader may take it for a line's end
HEX = re.compile(rb"[0-9A-Fa-f]{1,8}")  # Python's own reading takes signs, 0x and underscores besides
STATUS_LINE = re.compile(r"HTTP/1\.[01] ([1-5][0-9][0-9])(?:\s.*)?")
FRAMING = frozenset(("content-length", "transfer-encoding"))

REASONS = {
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


class BadHttp(Exception):
    """The other side's bytes are not HTTP/1.1 within the bounds; ``status`` is the fitting answer."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass(slots=True)
class Request:
    method: str
    target: str
    headers: dict[str, str]
    close: bool
    body: bytes = b""
    too_large: bool = False  # its body was read and thrown away


@dataclass(slots=True)
class Response:
    status: int
    headers: dict[str, str] = field(default_factory=dict)
    close: bool = False
    body: bytes = b""


def _headers(lines: list[bytes], once: frozenset[str]) -> dict[str, str]:
    if len(lines) > HEADERS_MOST:
        raise BadHttp(431, "too many header lines")
    headers: dict[str, str] = {}
    for line in lines:
        name, colon, value = line.partition(b":")
        if not colon or not TOKEN.fullmatch(name) or UNFIT.search(value):
            raise BadHttp(400, "a header line is malformed")
        key, text = name.decode("latin-1").lower(), value.strip(b" \t").decode("latin-1")
        if key in headers:
            if key in once:
                # Guards against smuggling: another reader may take the other one.
                raise BadHttp(400, f"{key} is there twice")
            text = f"{headers[key]}, {text}"
        headers[key] = text
    return headers


def _length(headers: dict[str, str]) -> int | None:
    text = headers.get("content-length")
    if text is None:
        return None
    if not (text.isascii() and text.isdigit()) or len(text) > 18:
        raise BadHttp(400, "the content length is not a number")
    return int(text)


def _closes(version: str, headers: dict[str, str]) -> bool:
    tokens = {token.strip().lower() for token in headers.get("connection", "").split(",")}
    return "close" in tokens or (version == "HTTP/1.0" and "keep-alive" not in tokens)


class _Parser:
    """Head, then a body of known length; subclasses read the first line and choose the body's form."""

    def __init__(self, once: frozenset[str] = FRAMING) -> None:
        self._once = once  # headers that may be there once only
        self._data = bytearray()
        self._scanned = 0
        self._skip = 0
        self._blanks = 0
        self.first: str | None = None  # the first line of the message that is being read
        self.item = None  # the message whose head has been read
        self.fault: BadHttp | None = None  # why nothing more can be read
        self._step = self._head

    def feed(self, data: bytes) -> list:
        """The messages that are complete with these bytes; they count whatever ``fault`` follows them."""
        if self.fault is not None:
            return []
        self._data += data
        done = []
        try:
            while (item := self._step()) is not None:
                if item is not True:
                    done.append(item)
                    if len(done) > AT_ONCE_MOST:
                        raise BadHttp(429, "too many at once")
        except BadHttp as error:
            self.fault = error
            self._data.clear()
        return done

    def forget(self) -> None:
        """Nothing more is read: what is kept is given back now, not when a collection finds it."""
        self._data = bytearray()

    @property
    def kept(self) -> int:
        """Bytes of a message that has not come whole."""
        return len(self._data)

    @property
    def idle(self) -> bool:
        """Between messages, with nothing of the next one read."""
        return self.item is None and not self._data

    def _head(self):
        # An empty line or two before a first line is let pass, as RFC 9112 asks; no endless row of them.
        while self._data[:2] == b"\r\n":
            del self._data[:2]
            self._blanks += 1
            if self._blanks > BLANKS_MOST:
                raise BadHttp(400, "nothing but empty lines")
        line = self._data.find(b"\n", 0, HEAD_MOST) if self.first is None else -1
        if line >= 0:
            self.first = self._data[:line].rstrip(b"\r").decode("latin-1")
        end = self._data.find(b"\r\n\r\n", max(0, self._scanned - 3))
        if end < 0:
            self._scanned = len(self._data)
            if self._scanned > HEAD_MOST:
                raise BadHttp(431, "the head is too long")
            return None
        if end > HEAD_MOST:
            raise BadHttp(431, "the head is too long")
        first, *lines = bytes(self._data[:end]).split(b"\r\n")
        del self._data[: end + 4]
        self._scanned = 0
        self.item = self._begin(first.decode("latin-1"), _headers(lines, self._once))
        return True

    def _begin(self, first: str, headers: dict[str, str]):
        raise NotImplementedError

    def _finish(self):
        item, self.item, self.first, self._blanks = self.item, None, None, 0
        self._step = self._head
        return item

    def _fixed(self):
        if len(self._data) < self._need:
            return None
        self.item.body = bytes(self._data[: self._need])
        del self._data[: self._need]
        return self._finish()

    def _skipping(self):
        gone = min(self._skip, len(self._data))
        del self._data[:gone]
        self._skip -= gone
        return None if self._skip else self._finish()


class RequestParser(_Parser):
    """Requests with a Content-Length; a body somewhat over the bound is read past and marked."""

    expects_continue = False

    def _begin(self, first: str, headers: dict[str, str]) -> Request:
        parts = first.split(" ")
        if len(parts) != 3 or not parts[0].isalpha() or not parts[1]:
            raise BadHttp(400, "the request line is malformed")
        method, target, version = parts
        if version not in ("HTTP/1.1", "HTTP/1.0"):
            raise BadHttp(505 if version.startswith("HTTP/") else 400, "not HTTP/1.1")
        if "transfer-encoding" in headers and "content-length" in headers:
            # Guards against a request hidden in the body: nothing that follows is read.
            raise BadHttp(400, "both Content-Length and Transfer-Encoding")
        if "transfer-encoding" in headers:
            raise BadHttp(411, "a body needs a Content-Length")
        length = _length(headers) or 0
        if length > SKIP_MOST:
            raise BadHttp(413, "the body is too long")  # guards against reading past it for nothing
        item = Request(method, target, headers, _closes(version, headers))
        if length > BODY_MOST:
            # Guards against an answer lost to a reset: the sender hears 413 after its last byte.
            item.too_large, self._skip, self._step = True, length, self._skipping
        else:
            self._need, self._step = length, self._fixed
        self.expects_continue = headers.get("expect", "").lower() == "100-continue"
        return item


class ResponseParser(_Parser):
    """Answers with a length, in chunks, or up to the end of the connection."""

    def __init__(self, most: int = BODY_MOST) -> None:
        super().__init__()
        self._most, self._interims = most, 0

    @property
    def said_ok(self) -> bool:
        """The answer's first line says 200, whatever becomes of the rest."""
        match = STATUS_LINE.fullmatch(self.first or "")
        return match is not None and match[1] == "200"

    def _begin(self, first: str, headers: dict[str, str]) -> Response:
        match = STATUS_LINE.fullmatch(first)
        if match is None:
            raise BadHttp(400, "the status line is malformed")
        item = Response(int(match[1]), headers, _closes(first[:8], headers))
        if "transfer-encoding" in headers and (
            "content-length" in headers or headers["transfer-encoding"].lower() != "chunked"
        ):
            raise BadHttp(400, "the body's form is not clear")
        length = _length(headers)
        self._body = bytearray()
        if item.status < 200:
            self._step = self._interim
        elif item.status in (204, 304):
            self._need, self._step = 0, self._fixed
        elif "transfer-encoding" in headers:
            self._step = self._chunk_size
        elif length is None:
            item.close, self._step = True, self._until_end
        elif length > self._most:
            raise BadHttp(413, "the answer is too long")
        else:
            self._need, self._step = length, self._fixed
        return item

    def _interim(self):
        self._interims += 1
        if self._interims > INTERIM_MOST or self.item.status == 101:
            raise BadHttp(400, "no answer behind the interim ones")
        self._finish()
        return True

    def _until_end(self):
        if len(self._data) > self._most:
            raise BadHttp(413, "the answer is too long")
        return None

    def _line(self) -> bytes | None:
        end = self._data.find(b"\r\n")
        if end < 0 or end > LINE_MOST:
            if len(self._data) > LINE_MOST:
                raise BadHttp(400, "a chunk's line is too long")
            return None
        line = bytes(self._data[:end])
        del self._data[: end + 2]
        return line

    def _chunk_size(self):
        line = self._line()
        if line is None:
            return None
        digits = line.partition(b";")[0].rstrip(b" \t")
        if not HEX.fullmatch(digits):
            raise BadHttp(400, "a chunk's size is malformed")
        size = int(digits, 16)
        if len(self._body) + size > self._most:
            raise BadHttp(413, "the answer is too long")
        self._need = size
        self._step = self._chunk if size else self._trailer
        return True

    def _chunk(self):
        if len(self._data) < self._need + 2:
            return None
        if self._data[self._need : self._need + 2] != b"\r\n":
            raise BadHttp(400, "a chunk does not end where it says")
        self._body += self._data[: self._need]
        del self._data[: self._need + 2]
        self._step = self._chunk_size
        return True

    def _trailer(self):
        line = self._line()
        if line is None:
            return None
        if line:
            return True
        self.item.body = bytes(self._body)
        return self._finish()

    def end(self) -> Response | None:
        """The far end has closed: the answer that this completes. What it cuts short is none."""
        if self.fault is not None or self._step != self._until_end:
            return None
        self.item.body = bytes(self._data)
        return self._finish()


def answer(
    status: int, *, body: bytes = b"", kind: str = "text/plain", close: bool = False, retry_after_ms: float = 0.0
) -> bytes:
    """A whole answer to a client."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}", f"Content-Length: {len(body)}"]
    if body:
        lines.append(f"Content-Type: {kind}")
    if retry_after_ms > 0:
        lines.append(f"Retry-After: {retry_after_ms / 1000:.3f}")
    if close:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def request(method: str, target: str, host: str, headers: tuple[tuple[str, str], ...] = (), body: bytes = b"") -> bytes:
    """A whole request to a peer or to discovery."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
