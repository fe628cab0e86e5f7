"""Incremental HTTP/1.1 parsers with bounds on all that they keep."""

from __future__ import annotations

from dataclasses import dataclass, field

HEAD_MOST = 16 * 1024
BODY_MOST = 64 * 1024
ANSWER_MOST = 8 * 1024 * 1024  # discovery's whole list
HEADERS_MOST = 100
LINE_MOST = 1024  # a chunk's size line

REASONS = {
    200: "OK", 202: "Accepted", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
    408: "Request Timeout", 411: "Length Required", 413: "Content Too Large", 429: "Too Many Requests",
    431: "Request Header Fields Too Large", 501: "Not Implemented", 503: "Service Unavailable",
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


def _headers(lines: list[bytes]) -> dict[str, str]:
    if len(lines) > HEADERS_MOST:
        raise BadHttp(431, "too many header lines")
    headers: dict[str, str] = {}
    for line in lines:
        name, colon, value = line.partition(b":")
        if not colon or not name or name != name.strip() or line[:1] in b" \t":
            raise BadHttp(400, "a header line is malformed")
        key, text = name.decode("latin-1").lower(), value.strip(b" \t").decode("latin-1")
        if key == "content-length" and headers.get(key, text) != text:
            raise BadHttp(400, "two content lengths")  # guards against smuggling by differing lengths
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

    def __init__(self) -> None:
        self._data = bytearray()
        self._scanned = 0
        self._skip = 0
        self.item = None  # the message whose head has been read
        self._step = self._head

    def feed(self, data: bytes) -> list:
        """The messages that are complete with these bytes; raises BadHttp."""
        self._data += data
        done = []
        while (item := self._step()) is not None:
            if item is not True:
                done.append(item)
        return done

    @property
    def idle(self) -> bool:
        """Between messages, with nothing of the next one read."""
        return self.item is None and not self._data

    def _head(self):
        # Empty lines before a first line are let pass, as RFC 9112 asks.
        while self._data[:2] == b"\r\n":
            del self._data[:2]
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
        self.item = self._begin(first.decode("latin-1"), _headers(lines))
        return True

    def _begin(self, first: str, headers: dict[str, str]):
        raise NotImplementedError

    def _finish(self):
        item, self.item = self.item, None
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
    """Requests with a Content-Length; a body over the bound is read past and marked."""

    expects_continue = False

    def _begin(self, first: str, headers: dict[str, str]) -> Request:
        parts = first.split(" ")
        if len(parts) != 3 or not parts[0].isalpha() or not parts[1]:
            raise BadHttp(400, "the request line is malformed")
        method, target, version = parts
        if version not in ("HTTP/1.1", "HTTP/1.0"):
            raise BadHttp(505 if version.startswith("HTTP/") else 400, "not HTTP/1.1")
        if "transfer-encoding" in headers:
            raise BadHttp(411, "a body needs a Content-Length")
        length = _length(headers) or 0
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

    def _begin(self, first: str, headers: dict[str, str]) -> Response:
        version, _, rest = first.partition(" ")
        code = rest[:3]
        proper = len(code) == 3 and code.isascii() and code.isdigit()
        if version not in ("HTTP/1.1", "HTTP/1.0") or not proper:
            raise BadHttp(400, "the status line is malformed")
        item = Response(int(code), headers, _closes(version, headers))
        length = _length(headers)
        self._body = bytearray()
        if item.status < 200:
            self._step = self._interim
        elif item.status in (204, 304):
            self._need, self._step = 0, self._fixed
        elif headers.get("transfer-encoding", "").lower() == "chunked":
            self._step = self._chunk_size
        elif length is None:
            item.close, self._step = True, self._until_end
        elif length > ANSWER_MOST:
            raise BadHttp(413, "the answer is too long")
        else:
            self._need, self._step = length, self._fixed
        return item

    def _interim(self):
        self._finish()
        return True

    def _until_end(self):
        if len(self._data) > ANSWER_MOST:
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
        try:
            size = int(line.partition(b";")[0].strip(), 16)
        except ValueError:
            raise BadHttp(400, "a chunk's size is malformed") from None
        if size < 0 or len(self._body) + size > ANSWER_MOST:
            raise BadHttp(413, "the answer is too long")
        self._need = size
        self._step = self._chunk if size else self._trailer
        return True

    def _chunk(self):
        if len(self._data) < self._need + 2:
            return None
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
        """The connection has ended: the answer that it completes or, with its head read, cuts short."""
        if self.item is None or self.item.status < 200:
            return None
        if self._step == self._until_end:
            self.item.body = bytes(self._data)
        self.item.close = True
        return self._finish()


def answer(status: int, *, body: bytes = b"", kind: str = "text/plain", close: bool = False,
           retry_after_ms: float = 0.0) -> bytes:
    """A whole answer to a client."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}", f"Content-Length: {len(body)}"]
    if body:
        lines.append(f"Content-Type: {kind}")
    if retry_after_ms > 0:
        lines.append(f"Retry-After: {retry_after_ms / 1000:.3f}")
    if close:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def request(method: str, target: str, host: str, headers: tuple[tuple[str, str], ...] = (),
            body: bytes = b"") -> bytes:
    """A whole request to a peer or to discovery."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
