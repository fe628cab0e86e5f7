"""The users' bench wire on standard input and output: framing and translation, no decisions."""

from __future__ import annotations

import json
import struct
import sys
from collections.abc import Callable
from typing import Any, BinaryIO

from lynxscale.scheduling import settings_reader as reader
from lynxscale.scheduling.actions import (
    Attempt,
    Cancel,
    CloseIdle,
    Fail,
    FetchList,
    Note,
    Probe,
    Refuse,
    SendToPeer,
    SetTimer,
    Subscribe,
)
from lynxscale.scheduling.events import (
    HealthChecked,
    Lifecycle,
    Member,
    MembershipKind,
    MembershipUpdate,
    Message,
    Outcome,
    PeerMessage,
    ResponseStarted,
    Result,
    TimerDue,
    Withdrawn,
)
from lynxscale.scheduling.scheduler import Scheduler
from lynxscale.scheduling.settings import Settings

BATCH_HEAD = struct.Struct("<IId")
REPLY_HEAD = struct.Struct("<II")
EVENT_SIZE = 48
ACTION_SIZE = 24
LINE = struct.Struct("<BIBdHfB")
CODE_NODE = struct.Struct("<HH")
REPORT = struct.Struct("<B4f")

HELLO = struct.Struct("<QII")
CENSUS = struct.Struct("<II")
REGISTRY = struct.Struct("<HBI")
CALL = struct.Struct("<IIHdQBfd")
VERDICT = struct.Struct("<IBIHdBI")
HEADERS = struct.Struct("<IBId")
PROBED = struct.Struct("<dIH")
PEER = struct.Struct("<HII")
U32 = struct.Struct("<I")

HINT, AGAIN, WRITE, INHERITED = 1, 2, 4, 16
EVERY_PEER = 0xFFFFFFFF
MAX_TABLE = 15


class WireError(Exception):
    """The other side sent something that is not on the wire's terms."""


def settings_from(text: bytes) -> Settings:
    """The settings of one instance, from the wire's JSON."""
    try:
        return reader.settings_from(json.loads(text))
    except reader.SettingsError as error:
        raise WireError(str(error)) from error
    except ValueError as error:
        raise WireError("the settings are not JSON") from error


# Events ------------------------------------------------------------------------------------


def _tail(frame: bytes, start: int, offset: int, size: int) -> bytes:
    if start + offset + size > len(frame):
        raise WireError("an offset points outside the tail")
    return frame[start + offset : start + offset + size]


def _report(frame: bytes, at: int) -> tuple[float, ...]:
    count, *values = REPORT.unpack_from(frame, at)
    if count > len(values):
        raise WireError("a load report has more than four values")
    return tuple(values[:count])


def _enum(kind: type, value: int, what: str) -> Any:
    try:
        return kind(value)
    except ValueError:
        raise WireError(f"unknown {what} {value}") from None


def _lines(frame: bytes, at: int, tail: int) -> list[Member]:
    offset, count = CENSUS.unpack_from(frame, at + 4)
    raw = _tail(frame, tail, offset, count * LINE.size)
    return [
        Member(endpoint, _enum(Lifecycle, life, "lifecycle"), dest, zone, kind, share)
        for life, endpoint, zone, _since, dest, share, kind in LINE.iter_unpack(raw)
    ]


def _message(frame: bytes, at: int, _tail_at: int) -> Message:
    txn, billing, band, expires, key, attrs, dest, hint = CALL.unpack_from(frame, at + 4)
    return Message(
        id=txn,
        destination=int(dest),
        cls=band,
        tenant=billing,
        expires=expires,
        key=key,
        marked_retry=bool(attrs & AGAIN),
        write=bool(attrs & WRITE),
        inherited=bool(attrs & INHERITED),
        work_hint=hint if attrs & HINT else None,
    )


def _outcome(frame: bytes, at: int, _tail_at: int) -> Outcome:
    txn, leg, endpoint, code, spent, finished, wait = VERDICT.unpack_from(frame, at + 4)
    result = _enum(Result, code, "outcome")
    return Outcome(txn, leg, endpoint, result, spent, bool(finished), wait, _report(frame, at + 28))


def _withdrawn(frame: bytes, at: int, _tail_at: int) -> Withdrawn:
    return Withdrawn(U32.unpack_from(frame, at + 4)[0])


def _due(frame: bytes, at: int, _tail_at: int) -> TimerDue:
    return TimerDue(U32.unpack_from(frame, at + 4)[0])


def _begun(frame: bytes, at: int, _tail_at: int) -> ResponseStarted:
    return ResponseStarted(*HEADERS.unpack_from(frame, at + 4))


def _probed(frame: bytes, at: int, _tail_at: int) -> HealthChecked:
    spent, endpoint, outcome = PROBED.unpack_from(frame, at + 4)
    return HealthChecked(endpoint, outcome, spent, _report(frame, at + 18))


def _peer(frame: bytes, at: int, tail: int) -> PeerMessage:
    author, offset, size = PEER.unpack_from(frame, at + 4)
    return PeerMessage(author, _tail(frame, tail, offset, size))


E_GONE, E_PROBED, E_HELLO, E_HEADERS, E_CENSUS, E_PEER = 256, 257, 258, 259, 260, 261
E_DUE, E_REGISTRY, E_CALL, E_KILLED, E_VERDICT = 262, 263, 264, 265, 266
READERS: dict[int, Callable[[bytes, int, int], Any]] = {
    E_GONE: _withdrawn,
    E_PROBED: _probed,
    E_HEADERS: _begun,
    E_PEER: _peer,
    E_DUE: _due,
    E_CALL: _message,
    E_VERDICT: _outcome,
}


# Actions -----------------------------------------------------------------------------------


def encode(node: int, action: Any, tail_at: int) -> tuple[bytes, bytes]:
    """One action as its record (unpadded) and what it adds to the tail."""
    kind = type(action)
    if kind is Attempt:
        return struct.pack("<HHIId", 257, node, action.id, action.endpoint, action.timeout), b""
    if kind is SetTimer:
        return struct.pack("<HHId", 262, node, action.timer_id, action.at), b""
    if kind is Refuse:
        return struct.pack("<HHId", 256, node, action.id, action.retry_after), b""
    if kind is Fail:
        return struct.pack("<HHI", 258, node, action.id), b""
    if kind is Cancel:
        return struct.pack("<HHIB", 267, node, action.id, action.attempt), b""
    if kind is Note:
        text = action.text.encode()
        return struct.pack("<HHII", 261, node, tail_at, len(text)), text
    if kind is Subscribe:
        return struct.pack("<HHB", 266, node, action.active), b""
    if kind is FetchList:
        return struct.pack("<HH", 265, node), b""
    if kind is CloseIdle:
        return struct.pack("<HHI", 264, node, action.endpoint), b""
    if kind is Probe:
        return struct.pack("<HHI", 260, node, action.endpoint), b""
    if kind is SendToPeer:
        peer = EVERY_PEER if action.peer is None else action.peer
        return struct.pack("<HHIII", 263, node, peer, tail_at, len(action.payload)), action.payload
    raise TypeError(f"no such action: {action!r}")


def encode_broken(node: int, reason: str, tail_at: int) -> tuple[bytes, bytes]:
    text = reason.encode()
    return struct.pack("<HHII", 259, node, tail_at, len(text)), text


def frame_reply(records: list[tuple[bytes, bytes]]) -> bytes:
    body = b"".join(head.ljust(ACTION_SIZE, b"\0") for head, _ in records)
    tail = b"".join(extra for _, extra in records)
    return REPLY_HEAD.pack(len(records), REPLY_HEAD.size + len(body) + len(tail)) + body + tail


# Hosting -----------------------------------------------------------------------------------


class Host:
    """Instances by number; they share nothing but this table."""

    def __init__(self) -> None:
        self.schedulers: dict[int, Scheduler] = {}
        self.tables: dict[int, list[Member]] = {}

    def reply(self, frame: bytes) -> bytes:
        """The reply to one whole batch."""
        _size, count, now = BATCH_HEAD.unpack_from(frame)
        tail = BATCH_HEAD.size + count * EVENT_SIZE
        if tail > len(frame):
            raise WireError("the frame is too short for its records")
        pending: dict[int, list] = {}
        broken: dict[int, str] = {}
        for at in range(BATCH_HEAD.size, tail, EVENT_SIZE):
            self._read(frame, at, tail, pending, broken)
        records: list[tuple[bytes, bytes]] = []
        used = 0
        for node, events in pending.items():
            for record in self._act(node, now, events, used, broken):
                records.append(record)
                used += len(record[1])
        return frame_reply(records)

    def _read(self, frame: bytes, at: int, tail: int, pending: dict, broken: dict) -> None:
        code, node = CODE_NODE.unpack_from(frame, at)
        if code == E_CENSUS:
            if node > MAX_TABLE:
                raise WireError(f"list number {node} is out of range")
            self.tables[node] = _lines(frame, at, tail)
            return
        if code == E_HELLO:
            seed, offset, size = HELLO.unpack_from(frame, at + 4)
            settings = settings_from(_tail(frame, tail, offset, size))
            pending[node] = []
            try:
                self.schedulers[node] = Scheduler(settings, seed)
            except Exception as error:
                broken[node] = f"{type(error).__name__}: {error}"
            return
        if code not in READERS and code not in (E_REGISTRY, E_KILLED):
            raise WireError(f"unknown record code {code}")
        if node not in self.schedulers:
            if node in broken:
                return
            raise WireError(f"event {code} for instance {node}, which was never started")
        if code == E_KILLED:
            del self.schedulers[node]
            pending.pop(node, None)
        elif code == E_REGISTRY:
            pending.setdefault(node, []).append(self._membership(frame, at))
        else:
            pending.setdefault(node, []).append(READERS[code](frame, at, tail))

    def _membership(self, frame: bytes, at: int) -> MembershipUpdate:
        table, how, version = REGISTRY.unpack_from(frame, at + 4)
        kind = _enum(MembershipKind, how, "kind of list")
        if kind is MembershipKind.FAILED:
            return MembershipUpdate(kind, version, [])
        if table not in self.tables:
            raise WireError(f"list number {table} was never sent")
        return MembershipUpdate(kind, version, self.tables[table])

    def _act(self, node: int, now: float, events: list, used: int, broken: dict) -> list:
        if node not in broken:
            try:
                records = []
                for action in self.schedulers[node].step(now, events):
                    records.append(encode(node, action, used))
                    used += len(records[-1][1])
                return records
            except Exception as error:
                broken[node] = f"{type(error).__name__}: {error}"
        return [encode_broken(node, broken[node], used)]


def _read_exactly(source: BinaryIO, size: int) -> bytes:
    data = source.read(size)
    if len(data) != size:
        raise WireError("the input ends inside a frame")
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends."""
    host = Host()
    while True:
        head = source.read(BATCH_HEAD.size)
        if not head:
            return
        if len(head) != BATCH_HEAD.size:
            raise WireError("the input ends inside a frame")
        size, count, _now = BATCH_HEAD.unpack(head)
        if size < BATCH_HEAD.size + count * EVENT_SIZE:
            raise WireError(f"frame length {size} is impossible for {count} records")
        sink.write(host.reply(head + _read_exactly(source, size - BATCH_HEAD.size)))
        sink.flush()


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (WireError, struct.error) as error:
        print(f"lynxscale.scheduling: {error}", file=sys.stderr)
        return 2
    except (BrokenPipeError, KeyboardInterrupt):
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
