"""Stand-in of a service's endpoints, as PROTOCOL describes them: raw sockets, a thread for each connection.

A server answers 421 where another instance is expected, 503 with ``Lynxscale-Not-Executed`` while it is full, and
otherwise runs the request and signs its answer. It serves one request at a time on a connection.
"""

from __future__ import annotations

import contextlib
import random
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from review.harness import Record

READ_BYTES = 65536
HEAD_END = b"\r\n\r\n"


@dataclass(frozen=True)
class Received:
    """A request as a server received it; names of headers are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def id(self) -> str:
        """Its ``Lynxscale-Request-Id``."""
        return self.headers.get("lynxscale-request-id", "")


class Runs:
    """How often each request was run, over all servers. ``repeated`` is set once a request has run again."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.count: dict[str, int] = {}
        self.repeated = threading.Event()

    def add(self, request_id: str) -> int:
        """Count a run; the number of runs of the request so far."""
        with self._lock:
            self.count[request_id] = self.count.get(request_id, 0) + 1
            if self.count[request_id] > 1:
                self.repeated.set()
            return self.count[request_id]


class Server:
    """One endpoint. ``full()``: whether it is full now; ``extra_share``: how many answers come once more, late.

    An answer too many comes where the next answer on its connection is due. With ``events``, answers are streams of so
    many events, and ``received`` has the requests that it ran.
    """

    def __init__(
        self,
        instance: str,
        address: str,
        record: Record,
        runs: Runs,
        work_s: float,
        full: Callable[[], bool] = lambda: False,
        extra_share: float = 0.0,
        events: int = 0,
    ) -> None:
        self.instance = instance
        self.address = address
        self._record = record
        self._runs = runs
        self._work_s = work_s
        self._full = full
        self._extra_share = extra_share
        self._events = events
        self.received: list[Received] = []
        self._random = random.Random(instance)
        host, _, port = address.rpartition(":")
        self._listener = socket.create_server((host, int(port)), backlog=256)
        self._open = True
        threading.Thread(target=self._accept, daemon=True).start()

    def listed(self, service: str, zone: str, slots: int) -> dict[str, object]:
        """Its entry in the platform's list."""
        return {
            "backend": service,
            "address": self.address,
            "zone": zone,
            "generation": "v1",
            "slots": slots,
            "state": "ready",
            "cold-remaining-ms": 0,
            "id": self.instance,
        }

    def close(self) -> None:
        """Stop listening."""
        self._open = False
        self._listener.close()

    def _accept(self) -> None:
        while self._open:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        late = b""  # an earlier answer that comes once more where the next one is due
        with connection, contextlib.suppress(OSError):
            buffer = bytearray()
            while (request := read_request(connection, buffer)) is not None:
                if late:
                    self._record.note(f"{self.instance}: an earlier answer comes once more before that to {request.id}")
                    connection.sendall(late)
                answer = self._answer(request)
                connection.sendall(answer)
                late = answer if self._random.random() < self._extra_share else b""

    def _answer(self, request: Received) -> bytes:
        expected = request.headers.get("lynxscale-expect-instance", self.instance)
        if expected != self.instance:
            return response("421 Misdirected Request", request.id, [])
        if self._full():
            self._record.note(f"{self.instance}: {request.id} is turned away, full (503, Lynxscale-Not-Executed)")
            return response("503 Service Unavailable", request.id, ["Lynxscale-Not-Executed: 1"])
        self.received.append(request)
        times = self._runs.add(request.id)
        self._record.note(f"{self.instance}: {request.id} is run{'' if times == 1 else f', for the {times}. time'}")
        time.sleep(self._work_s)
        signature = f"Lynxscale-Response-Signature: {self.instance}.{request.id}"
        if not self._events:
            return response("200 OK", request.id, [signature], b"run by " + self.instance.encode())
        fields = [signature, "Content-Type: text/event-stream", "Versions: 1"]
        return chunked("200 OK", request.id, fields, stream(request.id, self._events))


def response(status: str, request_id: str, fields: list[str], body: bytes = b"") -> bytes:
    """An HTTP/1.1 answer with a length."""
    lines = [f"HTTP/1.1 {status}", f"Lynxscale-Request-Id: {request_id}", *fields, f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode() + HEAD_END + body


def chunked(status: str, request_id: str, fields: list[str], body: bytes) -> bytes:
    """An HTTP/1.1 answer in chunks."""
    lines = [f"HTTP/1.1 {status}", f"Lynxscale-Request-Id: {request_id}", *fields, "Transfer-Encoding: chunked"]
    return "\r\n".join(lines).encode() + HEAD_END + f"{len(body):x}\r\n".encode() + body + b"\r\n0\r\n\r\n"


def stream(request_id: str, events: int) -> bytes:
    """The events of a stream."""
    return b"".join(f"id: {n}\ndata: {request_id} says {n}\n\n".encode() for n in range(1, events + 1))


def output(request_id: str, events: int) -> bytes:
    """What a later turn finds of a stream: the data of each event with a line feed behind."""
    return b"".join(f"{request_id} says {n}\n".encode() for n in range(1, events + 1))


def read_request(connection: socket.socket, buffer: bytearray) -> Received | None:
    """The next request on a connection, None once it has ended. Bodies have a length."""
    while HEAD_END not in buffer:
        if not _receive(connection, buffer):
            return None
    head, _, rest = bytes(buffer).partition(HEAD_END)
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    buffer[:] = rest
    while len(buffer) < length:
        if not _receive(connection, buffer):
            return None
    body = bytes(buffer[:length])
    del buffer[:length]
    return Received(method, target, headers, body)


def _receive(connection: socket.socket, buffer: bytearray) -> bool:
    data = connection.recv(READ_BYTES)
    buffer += data
    return bool(data)
