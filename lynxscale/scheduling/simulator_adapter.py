"""Runs schedulers for the simulator, which exchanges binary frames over standard input and output.

A request frame has fixed-size event records for any number of instances, followed by a tail with variable-size data;
the reply frame has action records and a tail. Records are little-endian; offsets are relative to the tail. This module
decodes and encodes frames and makes no decisions.
"""

from __future__ import annotations

import json
import struct
import sys
from collections.abc import Callable
from typing import Any, BinaryIO, NamedTuple

from lynxscale.scheduling.actions import (
    Action,
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
    Event,
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
from lynxscale.scheduling.exceptions import SettingsError, WireError
from lynxscale.scheduling.scheduler import Scheduler
from lynxscale.scheduling.settings import Settings
from lynxscale.scheduling.settings_reader import settings_from as settings_from_object

BATCH_HEAD = struct.Struct("<IId")  # frame size in bytes, number of records, time in ms
REPLY_HEAD = struct.Struct("<II")  # number of records, frame size in bytes
EVENT_SIZE = 48  # bytes of a record, padded
ACTION_SIZE = 24
MEMBER = struct.Struct("<BIBdHfB")
RECORD_HEAD = struct.Struct("<HH")
LOAD_REPORT = struct.Struct("<B4f")

START = struct.Struct("<QII")
MEMBER_TABLE = struct.Struct("<II")
MEMBERSHIP = struct.Struct("<HBI")
MESSAGE = struct.Struct("<IIHdQBfd")
OUTCOME = struct.Struct("<IBIHdBI")
RESPONSE_STARTED = struct.Struct("<IBId")
HEALTH_CHECK = struct.Struct("<dIH")
PEER_MESSAGE = struct.Struct("<HII")
U32 = struct.Struct("<I")

FLAG_WORK_HINT, FLAG_MARKED_RETRY, FLAG_WRITE, FLAG_INHERITED = 1, 2, 4, 16
ALL_PEERS = 0xFFFFFFFF
TABLE_MAX = 15


def settings_from(text: bytes) -> Settings:
    """Read the settings of an instance from JSON. Raises WireError."""
    try:
        return settings_from_object(json.loads(text))
    except SettingsError as error:
        raise WireError(str(error)) from error
    except ValueError as error:
        raise WireError("the settings are not JSON") from error


# Events ------------------------------------------------------------------------------------


def _tail(frame: bytes, start: int, offset: int, size: int) -> bytes:
    if start + offset + size > len(frame):
        raise WireError("an offset points outside the tail")
    return frame[start + offset : start + offset + size]


def _load_report(frame: bytes, at: int) -> tuple[float, ...]:
    count, *values = LOAD_REPORT.unpack_from(frame, at)
    if count > len(values):
        raise WireError("a load report has more than four values")
    return tuple(values[:count])


def _enum(kind: type, value: int, what: str) -> Any:
    try:
        return kind(value)
    except ValueError:
        raise WireError(f"unknown {what} {value}") from None


def _members(frame: bytes, at: int, tail: int) -> list[Member]:
    offset, count = MEMBER_TABLE.unpack_from(frame, at + 4)
    raw = _tail(frame, tail, offset, count * MEMBER.size)
    return [
        Member(endpoint, _enum(Lifecycle, lifecycle, "lifecycle"), destination, zone, kind, weight)
        for lifecycle, endpoint, zone, _since, destination, weight, kind in MEMBER.iter_unpack(raw)
    ]


def _message(frame: bytes, at: int, _tail_start: int) -> Message:
    message_id, tenant, cls, expires, key, flags, destination, work_hint = MESSAGE.unpack_from(frame, at + 4)
    return Message(
        id=message_id,
        destination=int(destination),
        cls=cls,
        tenant=tenant,
        expires=expires,
        key=key,
        marked_retry=bool(flags & FLAG_MARKED_RETRY),
        write=bool(flags & FLAG_WRITE),
        inherited=bool(flags & FLAG_INHERITED),
        work_hint=work_hint if flags & FLAG_WORK_HINT else None,
    )


def _outcome(frame: bytes, at: int, _tail_start: int) -> Outcome:
    message_id, attempt, endpoint, code, spent, finished, wait = OUTCOME.unpack_from(frame, at + 4)
    result = _enum(Result, code, "outcome")
    return Outcome(message_id, attempt, endpoint, result, spent, bool(finished), wait, _load_report(frame, at + 28))


def _withdrawn(frame: bytes, at: int, _tail_start: int) -> Withdrawn:
    return Withdrawn(U32.unpack_from(frame, at + 4)[0])


def _timer_due(frame: bytes, at: int, _tail_start: int) -> TimerDue:
    return TimerDue(U32.unpack_from(frame, at + 4)[0])


def _response_started(frame: bytes, at: int, _tail_start: int) -> ResponseStarted:
    return ResponseStarted(*RESPONSE_STARTED.unpack_from(frame, at + 4))


def _health_checked(frame: bytes, at: int, _tail_start: int) -> HealthChecked:
    spent, endpoint, outcome = HEALTH_CHECK.unpack_from(frame, at + 4)
    return HealthChecked(endpoint, outcome, spent, _load_report(frame, at + 18))


def _peer_message(frame: bytes, at: int, tail: int) -> PeerMessage:
    author, offset, size = PEER_MESSAGE.unpack_from(frame, at + 4)
    return PeerMessage(author, _tail(frame, tail, offset, size))


EVENT_WITHDRAWN = 256
EVENT_HEALTH_CHECK = 257
EVENT_START = 258
EVENT_RESPONSE_STARTED = 259
EVENT_MEMBER_TABLE = 260
EVENT_PEER_MESSAGE = 261
EVENT_TIMER_DUE = 262
EVENT_MEMBERSHIP = 263
EVENT_MESSAGE = 264
EVENT_KILLED = 265
EVENT_OUTCOME = 266
READERS: dict[int, Callable[[bytes, int, int], Event]] = {
    EVENT_WITHDRAWN: _withdrawn,
    EVENT_HEALTH_CHECK: _health_checked,
    EVENT_RESPONSE_STARTED: _response_started,
    EVENT_PEER_MESSAGE: _peer_message,
    EVENT_TIMER_DUE: _timer_due,
    EVENT_MESSAGE: _message,
    EVENT_OUTCOME: _outcome,
}


# Actions -----------------------------------------------------------------------------------


class Record(NamedTuple):
    """An encoded action: its record without padding, and its bytes in the tail."""

    head: bytes
    tail: bytes = b""


def _attempt(node: int, action: Attempt, _tail_size: int) -> Record:
    return Record(struct.pack("<HHIId", 257, node, action.id, action.endpoint, action.timeout))


def _set_timer(node: int, action: SetTimer, _tail_size: int) -> Record:
    return Record(struct.pack("<HHId", 262, node, action.timer_id, action.at))


def _refuse(node: int, action: Refuse, _tail_size: int) -> Record:
    return Record(struct.pack("<HHId", 256, node, action.id, action.retry_after))


def _fail(node: int, action: Fail, _tail_size: int) -> Record:
    return Record(struct.pack("<HHI", 258, node, action.id))


def _cancel(node: int, action: Cancel, _tail_size: int) -> Record:
    return Record(struct.pack("<HHIB", 267, node, action.id, action.attempt))


def _note(node: int, action: Note, tail_size: int) -> Record:
    text = action.text.encode()
    return Record(struct.pack("<HHII", 261, node, tail_size, len(text)), text)


def _subscribe(node: int, action: Subscribe, _tail_size: int) -> Record:
    return Record(struct.pack("<HHB", 266, node, action.active))


def _fetch_list(node: int, _action: FetchList, _tail_size: int) -> Record:
    return Record(struct.pack("<HH", 265, node))


def _close_idle(node: int, action: CloseIdle, _tail_size: int) -> Record:
    return Record(struct.pack("<HHI", 264, node, action.endpoint))


def _probe(node: int, action: Probe, _tail_size: int) -> Record:
    return Record(struct.pack("<HHI", 260, node, action.endpoint))


def _send_to_peer(node: int, action: SendToPeer, tail_size: int) -> Record:
    peer = ALL_PEERS if action.peer is None else action.peer
    head = struct.pack("<HHIII", 263, node, peer, tail_size, len(action.payload))
    return Record(head, action.payload)


ENCODERS: dict[type, Callable[[int, Any, int], Record]] = {
    Attempt: _attempt,
    SetTimer: _set_timer,
    Refuse: _refuse,
    Fail: _fail,
    Cancel: _cancel,
    Note: _note,
    Subscribe: _subscribe,
    FetchList: _fetch_list,
    CloseIdle: _close_idle,
    Probe: _probe,
    SendToPeer: _send_to_peer,
}


def encode(node: int, action: Action, tail_size: int) -> Record:
    """Encode an action; ``tail_size`` is the size of the reply's tail so far, in bytes.

    Raises
    ------
    TypeError
        The object is not an action.
    """
    encoder = ENCODERS.get(type(action))
    if encoder is None:
        raise TypeError(f"not an action: {action!r}")
    return encoder(node, action, tail_size)


def encode_failure(node: int, reason: str, tail_size: int) -> Record:
    """Encode the record that reports the failure of an instance."""
    text = reason.encode()
    return Record(struct.pack("<HHII", 259, node, tail_size, len(text)), text)


def frame_reply(records: list[Record]) -> bytes:
    """Build the reply frame from encoded actions."""
    body = b"".join(record.head.ljust(ACTION_SIZE, b"\0") for record in records)
    tail = b"".join(record.tail for record in records)
    return REPLY_HEAD.pack(len(records), REPLY_HEAD.size + len(body) + len(tail)) + body + tail


# Hosting -----------------------------------------------------------------------------------


class Host:
    """Hosts instances by number. They share member tables and no other state."""

    def __init__(self) -> None:
        self.schedulers: dict[int, Scheduler] = {}
        self.tables: dict[int, list[Member]] = {}  # member tables by number, shared by all instances

    def reply(self, frame: bytes) -> bytes:
        """Process a complete request frame and return the reply frame. Raises WireError."""
        _size, count, now = BATCH_HEAD.unpack_from(frame)
        tail = BATCH_HEAD.size + count * EVENT_SIZE
        if tail > len(frame):
            raise WireError("the frame is too short for its records")
        events_by_node: dict[int, list[Event]] = {}
        failure_reasons: dict[int, str] = {}
        for at in range(BATCH_HEAD.size, tail, EVENT_SIZE):
            self._read_record(frame, at, tail, events_by_node, failure_reasons)
        records: list[Record] = []
        tail_size = 0
        for node, events in events_by_node.items():
            for record in self._step(node, now, events, tail_size, failure_reasons):
                records.append(record)
                tail_size += len(record.tail)
        return frame_reply(records)

    def _read_record(
        self, frame: bytes, at: int, tail: int, events_by_node: dict[int, list[Event]], failure_reasons: dict[int, str]
    ) -> None:
        code, node = RECORD_HEAD.unpack_from(frame, at)
        if code == EVENT_MEMBER_TABLE:
            if node > TABLE_MAX:
                raise WireError(f"member table number {node} is out of range")
            self.tables[node] = _members(frame, at, tail)
            return
        if code == EVENT_START:
            events_by_node[node] = []
            self._start(node, frame, at, tail, failure_reasons)
            return
        if code not in READERS and code not in (EVENT_MEMBERSHIP, EVENT_KILLED):
            raise WireError(f"unknown record code {code}")
        if node not in self.schedulers:
            if node in failure_reasons:
                return
            raise WireError(f"event {code} for instance {node}, which was never started")
        if code == EVENT_KILLED:
            del self.schedulers[node]
            events_by_node.pop(node, None)
        elif code == EVENT_MEMBERSHIP:
            events_by_node.setdefault(node, []).append(self._membership(frame, at))
        else:
            events_by_node.setdefault(node, []).append(READERS[code](frame, at, tail))

    def _start(self, node: int, frame: bytes, at: int, tail: int, failure_reasons: dict[int, str]) -> None:
        seed, offset, size = START.unpack_from(frame, at + 4)
        settings = settings_from(_tail(frame, tail, offset, size))
        try:
            self.schedulers[node] = Scheduler(settings, seed)
        except Exception as error:  # an exception in one instance must not stop the others
            failure_reasons[node] = f"{type(error).__name__}: {error}"

    def _membership(self, frame: bytes, at: int) -> MembershipUpdate:
        table, kind_code, version = MEMBERSHIP.unpack_from(frame, at + 4)
        kind = _enum(MembershipKind, kind_code, "membership kind")
        if kind is MembershipKind.FAILED:
            return MembershipUpdate(kind, version, [])
        if table not in self.tables:
            raise WireError(f"member table number {table} was never sent")
        return MembershipUpdate(kind, version, self.tables[table])

    def _step(
        self, node: int, now: float, events: list[Event], tail_size: int, failure_reasons: dict[int, str]
    ) -> list[Record]:
        if node not in failure_reasons:
            records: list[Record] = []
            offset = tail_size
            try:
                for action in self.schedulers[node].step(now, events):
                    record = encode(node, action, offset)
                    records.append(record)
                    offset += len(record.tail)
                return records
            except Exception as error:  # an exception in one instance must not stop the others
                failure_reasons[node] = f"{type(error).__name__}: {error}"
        return [encode_failure(node, failure_reasons[node], tail_size)]


def _read_exactly(source: BinaryIO, size: int) -> bytes:
    data = source.read(size)
    if len(data) != size:
        raise WireError("the input ends inside a frame")
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer request frames until the input ends. Raises WireError and struct.error."""
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
    """Serve the simulator on standard input and output.

    Returns the exit code: 2 for invalid input, 1 if interrupted or if the output is closed.
    """
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
