"""Stand-ins with threads of their own, for tests: HTTP servers, a discovery service, a client connection."""

from __future__ import annotations

import contextlib
import json
import socket
import threading
import time

WAIT_TIMEOUT_S = 20.0


def until(condition, description: str, every: float = 0.005):
    """Poll a condition every ``every`` seconds and return its first true value. AssertionError after the timeout."""
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while time.monotonic() < deadline:
        if value := condition():
            return value
        time.sleep(every)
    raise AssertionError(f"not seen in time: {description}")


def hold_port(port: int = 0) -> socket.socket:
    """Reserve a port: a socket that is bound and doesn't listen.

    A process that sets SO_REUSEADDR, as relays do, can listen on the port, and the system assigns it to nobody else.
    The UDP port of that number stays free as long as all processes reserve their port on TCP first.
    """
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind(("127.0.0.1", port))
    return reserved


def port_of(reserved: socket.socket) -> int:
    return reserved.getsockname()[1]


def read_http(stream) -> tuple[str, dict[str, str], bytes] | None:
    """Read one request or response from a buffered stream; None at its end."""
    first = stream.readline().decode().strip()
    if not first:
        return None
    headers = {}
    while line := stream.readline().decode().strip():
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return first, headers, stream.read(int(headers.get("content-length", 0)))


class Server:
    """An HTTP server; ``act(call)`` returns the bytes of a response, None to close, or b'' for no response."""

    def __init__(self, act) -> None:
        self.act, self.calls, self.opened, self.open = act, [], 0, set()
        self.socket = socket.create_server(("127.0.0.1", 0))
        self.at = f"127.0.0.1:{self.socket.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self.socket.accept()
            except OSError:
                return
            self.opened += 1
            self.open.add(connection)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection) -> None:
        stream = connection.makefile("rb")
        try:
            while call := read_http(stream):
                self.calls.append((time.monotonic(), call))
                answer = self.act(call)
                if answer is None:
                    break
                connection.sendall(answer)
        except OSError:
            pass
        self.open.discard(connection)
        with contextlib.suppress(OSError):
            stream.close()
            connection.close()

    def close(self) -> None:
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)  # wakes the thread that accepts
        self.socket.close()
        for connection in list(self.open):
            connection.close()


def reply(status: int, body: bytes = b"", *more: str) -> bytes:
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *more]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Discovery(Server):
    """A discovery service: serves the member list and watches of it, and stores notices of final statuses."""

    def __init__(self) -> None:
        self.version, self.rows, self.changed = 1, [], []
        self.notices: dict[str, dict] = {}
        self.refusals = 0  # number of notices that are answered 503 first
        self.unreadable = ""  # notices that contain this text are answered 400
        self.failing = False
        super().__init__(self._act)

    def _act(self, call):
        first, _, body = call
        if first.startswith("POST /v2/finals"):
            if self.refusals:
                self.refusals -= 1
                return reply(503)
            if self.unreadable and self.unreadable.encode() in body:
                return reply(400)
            for line in body.splitlines():
                row = json.loads(line)
                self.notices[row["id"]] = row
            return reply(204)
        if self.failing:
            return reply(503)
        query = dict(part.split("=") for part in first.split()[1].partition("?")[2].split("&") if part)
        if "after" not in query:
            return self._list(True, self.rows)
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        while time.monotonic() < end and int(query["after"]) >= self.version:
            time.sleep(0.005)
        return self._list(False, self.changed if int(query["after"]) < self.version else [])

    def _list(self, whole: bool, rows: list) -> bytes:
        return reply(200, json.dumps({"generation": self.version, "reset": whole, "instances": rows}).encode())

    def change(self, *rows: dict) -> None:
        self.changed = list(rows)
        self.version += 1


def row(name: str, at: str, cell: int, life: str = "ready") -> dict:
    return {
        "instanceId": name,
        "hostPort": at,
        "zone": "a",
        "machineType": "club",
        "cell": cell,
        "lifecycle": life,
        "weight": 20.0,
        "startedAtMs": 0,
    }


def settings(**allowed) -> dict:
    def grade(name, effect):
        return {
            "name": name,
            "effect": effect,
            "goal_time_ms": 3000.0,
            "deadline_ms": 16000.0,
            "value": 1.0,
            "late_worth": 0.4,
            "memory_span_ms": 7500.0,
            "group": "all",
        }

    return {
        "allowed": {
            "attempts_cap": 12,
            "cancel": True,
            "idle_close_ms": 15000.0,
            "dial_timeout_ms": 1500.0,
            "max_retry_after_ms": 3000.0,
            "retry_after": True,
            "most_held": 100,
        }
        | allowed,
        "balancers": 2,
        "me": 0,
        "kinds": ["club"],
        "zones": ["a"],
        "membership_mode": "ask",
        "family_info": {"max_calls": 16, "per_call": [1], "routes_apart": [False]},
        "grades": [grade("safe", "idempotent"), grade("keyed", "deduplicated"), grade("once", "at_most_once")],
        "load_info": {"columns": ["x0", "x1"], "source": "inline"},
        "weight_source": "nominal",
        "obligations": {
            "cold_share": 0.21,
            "ramp_time_ms": 9200.0,
            "tip_multiple": 2.0,
            "tip_after_ms": 3000.0,
            "ask_within_ms": 10000.0,
        },
        "orgs": [{"name": "acme"}],
    }


class Client:
    """A client connection."""

    def __init__(self, port: int) -> None:
        self.socket = socket.create_connection(("127.0.0.1", port), timeout=WAIT_TIMEOUT_S)
        self.stream = self.socket.makefile("rb")

    def ask(self, data: bytes):
        """Send a request; its response as status, headers and body, or None where the connection ends."""
        self.socket.sendall(data)
        got = read_http(self.stream)
        return got and (int(got[0].split()[1]), got[1], got[2])

    def hand_in(
        self, id: str, cls: str = "safe", left: float = 16.0, body: bytes = b"hello", dest: int = 1, **more: str
    ):
        return self.ask(message(id, cls, left, body, dest, **more))

    def close(self) -> None:
        self.stream.close()
        self.socket.close()


def message(
    id: str, cls: str = "safe", left: float = 16.0, body: bytes = b"hello", dest: int = 1, **more: str
) -> bytes:
    headers = {
        "Req-Id": id,
        "Req-Kind": cls,
        "Req-Owner": "acme",
        "Req-Deadline": f"{left:.3f}",
        "X-Envelope": f"dest={dest}",
        "Content-Length": str(len(body)),
    }
    headers |= {name.replace("_", "-"): value for name, value in more.items()}
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"POST /api HTTP/1.1\r\nHost: x\r\n{lines}\r\n".encode() + body
