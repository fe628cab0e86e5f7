"""The users' bench wire on standard input and output: framing and translation, no decisions."""

from __future__ import annotations

import json
import struct
import sys
from collections.abc import Callable
from typing import Any, BinaryIO

from gannetshift import interface as api
from gannetshift.brain import Sender

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

EFFECTS = {
    "idempotent": api.Effect.IDEMPOTENT,
    "deduplicated": api.Effect.KEYED,
    "at_most_once": api.Effect.UNSAFE,
}
HINT, AGAIN, WRITE, INHERITED = 1, 2, 4, 16
EVERY_PEER = 0xFFFFFFFF
MAX_TABLE = 15


class WireError(Exception):
    """The other side sent something that is not on the wire's terms."""


# Settings ----------------------------------------------------------------------------------


def _number(table: dict, path: str, name: str, needed: bool = False) -> float | None:
    value = table.get(name)
    if value is None:
        if needed:
            raise WireError(f"setting {path}{name} is missing")
        return None
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value < float("inf"):
        raise WireError(f"setting {path}{name} is not a number of use: {value!r}")
    return float(value)


def _part(table: dict, name: str, kind: type) -> Any:
    value = table.get(name)
    if value is None:
        return kind()
    if not isinstance(value, kind):
        raise WireError(f"setting {name} has the wrong form")
    return value


def _message_class(row: Any, place: int) -> api.MessageClass:
    path = f"grades[{place}]."
    if not isinstance(row, dict):
        raise WireError(f"setting grades[{place}] has the wrong form")
    effect = row.get("effect")
    if effect not in EFFECTS:
        raise WireError(f"setting {path}effect is missing or unknown: {effect!r}")
    worth = _number(row, path, "value", needed=True)
    return api.MessageClass(
        name=str(row.get("name", place)),
        aim_ms=_number(row, path, "goal_time_ms", needed=True),
        deadline_ms=_number(row, path, "deadline_ms", needed=True),
        worth=worth,
        late_worth=_number(row, path, "late_worth") or 0.0,
        effect=EFFECTS[effect],
        group=str(row.get("group", "all")),
        memory_span_ms=_number(row, path, "memory_span_ms"),
        ordered=bool(row.get("serial_by_key", False)),
        aim_stretch=_number(row, path, "aim_stretch"),
    )


def _tenant(row: dict, place: int) -> api.Tenant:
    path = f"orgs[{place}]."
    return api.Tenant(
        name=str(row.get("name", place)),
        quota_per_s=_number(row, path, "quota_per_s"),
        share=_number(row, path, "share"),
    )


def _numbers(table: dict, name: str) -> list:
    values = _part(table, name, list)
    if not all(isinstance(v, (int, float)) for v in values):
        raise WireError(f"setting family_info.{name} has the wrong form")
    return values


def settings_from(text: bytes) -> api.Settings:
    """The settings of one instance, from the wire's JSON."""
    try:
        conf = json.loads(text)
    except ValueError as error:
        raise WireError("the settings are not JSON") from error
    if not isinstance(conf, dict):
        raise WireError("the settings are not a JSON object")
    allowed, rules = _part(conf, "allowed", dict), _part(conf, "obligations", dict)
    info, prices = _part(conf, "family_info", dict), _part(conf, "prices", dict)
    columns = _part(_part(conf, "load_info", dict), "columns", list)
    grades = _part(conf, "grades", list)
    if not grades:
        raise WireError("setting grades is missing")
    slots = _number(info, "family_info.", "max_calls", needed=True)
    if slots < 1:
        raise WireError("setting family_info.max_calls is not a number of use: below 1")
    held, cap = _number(allowed, "allowed.", "most_held"), _number(allowed, "allowed.", "attempts_cap")
    return api.Settings(
        slots=int(slots),
        senders=int(_number(conf, "", "balancers", needed=True)),
        me=int(_number(conf, "", "me") or 0),
        classes=[_message_class(row, place) for place, row in enumerate(grades)],
        tenants=[_tenant(row, place) for place, row in enumerate(_part(conf, "orgs", list))],
        most_held=None if held is None else int(held),
        attempts_cap=None if cap is None else int(cap),
        may_cancel=bool(allowed.get("cancel", False)),
        idle_close_ms=_number(allowed, "allowed.", "idle_close_ms"),
        max_retry_after_ms=_number(allowed, "allowed.", "max_retry_after_ms"),
        may_advise_retry=bool(allowed.get("retry_after", False)),
        may_probe=bool(allowed.get("probes", False)),
        second_copies=bool(allowed.get("second_copies", False)),
        connect_timeout_ms=_number(allowed, "allowed.", "dial_timeout_ms"),
        marks_again=bool(_part(conf, "clients", dict).get("marks_retry", False)),
        asks_for_members=conf.get("membership_mode") == "ask",
        ask_within_ms=_number(rules, "obligations.", "ask_within_ms"),
        per_call=[int(v) for v in _numbers(info, "per_call")],
        routes_apart=[bool(v) for v in _numbers(info, "routes_apart")],
        route_fee=[float(v) for v in _numbers(info, "route_fee")],
        handshake_price=_number(prices, "prices.", "handshake"),
        probe_price=_number(prices, "prices.", "probe"),
        refused_price=_number(info, "family_info.", "turned_away_price"),
        over_share_worth=_number(conf, "", "over_share_worth"),
        late_halves=info.get("late") == "halving",
        report_left=columns.index("x0") if "x0" in columns else None,
        report_limit=columns.index("x1") if "x1" in columns else None,
        weights=str(conf.get("weight_source", "off")),
        drain_grace_ms=_number(rules, "obligations.", "drain_grace_ms"),
        cold_share=_number(rules, "obligations.", "cold_share"),
        ramp_time_ms=_number(rules, "obligations.", "ramp_time_ms"),
        tip_multiple=_number(rules, "obligations.", "tip_multiple"),
        tip_after_ms=_number(rules, "obligations.", "tip_after_ms"),
        key_rest_ms=_number(rules, "obligations.", "key_rest_ms"),
    )


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


def _lines(frame: bytes, at: int, tail: int) -> list[api.Member]:
    offset, count = CENSUS.unpack_from(frame, at + 4)
    raw = _tail(frame, tail, offset, count * LINE.size)
    return [
        api.Member(endpoint, _enum(api.Lifecycle, life, "lifecycle"), dest, zone, kind, share)
        for life, endpoint, zone, _since, dest, share, kind in LINE.iter_unpack(raw)
    ]


def _message(frame: bytes, at: int, _tail_at: int) -> api.Message:
    txn, billing, band, expires, key, attrs, dest, hint = CALL.unpack_from(frame, at + 4)
    return api.Message(
        id=txn,
        destination=int(dest),
        cls=band,
        tenant=billing,
        expires=expires,
        key=key,
        again=bool(attrs & AGAIN),
        write=bool(attrs & WRITE),
        inherited=bool(attrs & INHERITED),
        work_hint=hint if attrs & HINT else None,
    )


def _outcome(frame: bytes, at: int, _tail_at: int) -> api.Outcome:
    txn, leg, endpoint, code, spent, finished, wait = VERDICT.unpack_from(frame, at + 4)
    result = _enum(api.Result, code, "outcome")
    return api.Outcome(txn, leg, endpoint, result, spent, bool(finished), wait, _report(frame, at + 28))


def _withdrawn(frame: bytes, at: int, _tail_at: int) -> api.Withdrawn:
    return api.Withdrawn(U32.unpack_from(frame, at + 4)[0])


def _due(frame: bytes, at: int, _tail_at: int) -> api.TimerDue:
    return api.TimerDue(U32.unpack_from(frame, at + 4)[0])


def _begun(frame: bytes, at: int, _tail_at: int) -> api.AnswerBegun:
    return api.AnswerBegun(*HEADERS.unpack_from(frame, at + 4))


def _probed(frame: bytes, at: int, _tail_at: int) -> api.Probed:
    spent, endpoint, outcome = PROBED.unpack_from(frame, at + 4)
    return api.Probed(endpoint, outcome, spent, _report(frame, at + 18))


def _peer(frame: bytes, at: int, tail: int) -> api.PeerSaid:
    author, offset, size = PEER.unpack_from(frame, at + 4)
    return api.PeerSaid(author, _tail(frame, tail, offset, size))


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
    if kind is api.Attempt:
        return struct.pack("<HHIId", 257, node, action.id, action.endpoint, action.timeout), b""
    if kind is api.SetTimer:
        return struct.pack("<HHId", 262, node, action.mark, action.at), b""
    if kind is api.Refuse:
        return struct.pack("<HHId", 256, node, action.id, action.retry_after), b""
    if kind is api.Fail:
        return struct.pack("<HHI", 258, node, action.id), b""
    if kind is api.Cancel:
        return struct.pack("<HHIB", 267, node, action.id, action.attempt), b""
    if kind is api.Note:
        text = action.text.encode()
        return struct.pack("<HHII", 261, node, tail_at, len(text)), text
    if kind is api.Subscribe:
        return struct.pack("<HHB", 266, node, action.active), b""
    if kind is api.FetchList:
        return struct.pack("<HH", 265, node), b""
    if kind is api.CloseIdle:
        return struct.pack("<HHI", 264, node, action.endpoint), b""
    if kind is api.Probe:
        return struct.pack("<HHI", 260, node, action.endpoint), b""
    if kind is api.TellPeer:
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
        self.senders: dict[int, Sender] = {}
        self.tables: dict[int, list[api.Member]] = {}

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
                self.senders[node] = Sender(settings, seed)
            except Exception as error:
                broken[node] = f"{type(error).__name__}: {error}"
            return
        if code not in READERS and code not in (E_REGISTRY, E_KILLED):
            raise WireError(f"unknown record code {code}")
        if node not in self.senders:
            if node in broken:
                return
            raise WireError(f"event {code} for instance {node}, which was never started")
        if code == E_KILLED:
            del self.senders[node]
            pending.pop(node, None)
        elif code == E_REGISTRY:
            pending.setdefault(node, []).append(self._membership(frame, at))
        else:
            pending.setdefault(node, []).append(READERS[code](frame, at, tail))

    def _membership(self, frame: bytes, at: int) -> api.Membership:
        table, how, version = REGISTRY.unpack_from(frame, at + 4)
        kind = _enum(api.ListKind, how, "kind of list")
        if kind is api.ListKind.FAILED:
            return api.Membership(kind, version, [])
        if table not in self.tables:
            raise WireError(f"list number {table} was never sent")
        return api.Membership(kind, version, self.tables[table])

    def _act(self, node: int, now: float, events: list, used: int, broken: dict) -> list:
        if node not in broken:
            try:
                records = []
                for action in self.senders[node].step(now, events):
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
        print(f"gannetshift: {error}", file=sys.stderr)
        return 2
    except (BrokenPipeError, KeyboardInterrupt):
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
