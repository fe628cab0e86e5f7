"""Stand-ins that a test cranks by hand, each in threads of its own: servers, a directory, one client connection."""

from __future__ import annotations

import contextlib
import json
import socket
import threading
import time

PATIENCE = 20.0


def until(condition, what: str, every: float = 0.005):
    """Wait for a condition and return what it gave; looked at each so many seconds."""
    end = time.monotonic() + PATIENCE
    while time.monotonic() < end:
        if value := condition():
            return value
        time.sleep(every)
    raise AssertionError(f"not seen in time: {what}")


def hold_port(port: int = 0) -> socket.socket:
    """A port of the system's, bound and not listened on: whoever sets SO_REUSEADDR, as relays do, can listen there, and
    the system gives it to nobody else meanwhile. On UDP it is free as long as all take theirs on TCP first."""
    held = socket.socket()
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    held.bind(("127.0.0.1", port))
    return held


def port_of(held: socket.socket) -> int:
    return held.getsockname()[1]


def read_http(stream) -> tuple[str, dict[str, str], bytes] | None:
    """One request or answer from a buffered stream; None at its end."""
    first = stream.readline().decode().strip()
    if not first:
        return None
    headers = {}
    while line := stream.readline().decode().strip():
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return first, headers, stream.read(int(headers.get("content-length", 0)))


class Server:
    """Accepts connections; ``act(call)`` gives an answer's bytes, or None to close, or b'' for silence."""

    def __init__(self, act) -> None:
        self.act, self.calls, self.opened, self.open = act, [], 0, set()
        self.socket = socket.create_server(("127.0.0.1", 0))
        self.at = f"127.0.0.1:{self.socket.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                link, _ = self.socket.accept()
            except OSError:
                return
            self.opened += 1
            self.open.add(link)
            threading.Thread(target=self._serve, args=(link,), daemon=True).start()

    def _serve(self, link) -> None:
        stream = link.makefile("rb")
        try:
            while call := read_http(stream):
                self.calls.append((time.monotonic(), call))
                answer = self.act(call)
                if answer is None:
                    break
                link.sendall(answer)
        except OSError:
            pass
        self.open.discard(link)
        with contextlib.suppress(OSError):
            stream.close()
            link.close()

    def close(self) -> None:
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)  # wakes the thread that accepts
        self.socket.close()
        for link in list(self.open):
            link.close()


def reply(status: int, body: bytes = b"", *more: str) -> bytes:
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *more]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Discovery(Server):
    """Holds a list, answers a watch when it changes, and keeps the notices."""

    def __init__(self) -> None:
        self.version, self.rows, self.changed = 1, [], []
        self.notices: dict[str, dict] = {}
        self.refusals = 0  # so many notices are answered 503 first
        self.unreadable = ""  # a notice with this text in it is answered 400
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
    """One client connection."""

    def __init__(self, port: int) -> None:
        self.socket = socket.create_connection(("127.0.0.1", port), timeout=PATIENCE)
        self.stream = self.socket.makefile("rb")

    def ask(self, data: bytes):
        """The answer to these bytes: status, headers and body; None where the connection ends."""
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
