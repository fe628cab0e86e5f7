"""The record types of a trace and their fields; docs/design/trace.md, "Records".

A record in memory is ``(type, values)``, with ``values`` a list in the order of the fields of the type. An object that
the relay numbers is a handle: ``(number, text)``, or a ``Msg`` for a message. A record of an unknown type is
``(type, bytes)``; unknown fields after the known ones are kept as one bytes object at the end of the list.
"""

from __future__ import annotations

from typing import Any, NamedTuple

Handle = tuple[int, str]

# Tables of names, by number.
SOURCE, CLASS, TENANT, ENDPOINT, KIND, ZONE, REASON = range(7)
TABLES = ("source", "class", "tenant", "endpoint", "kind", "zone", "reason")

# Context records: without a sequence number, written before the first record of a block that refers to them.
NAME, ANCHOR, MSG = 1, 2, 3


class Msg(NamedTuple):
    """The description of a message; every record of the message carries it."""

    number: int  # unique in its process
    id: str
    cls: Handle
    tenant: Handle
    dest: int


class Member(NamedTuple):
    """An endpoint in a membership list."""

    endpoint: Handle
    lifecycle: int  # 0 gone, 1 ready, 2 draining
    dest: int
    zone: Handle
    kind: Handle
    weight: float
    address: str


UNKNOWN = (0, "")


class Type(NamedTuple):
    """A record type.

    Kinds of field: u unsigned integer, i signed integer, t text, b boolean, x milliseconds, a milliseconds on the clock
    of the scheduler, f float, F floats, L members, M message; c e n r k z are handles of the tables in ``TABLE_OF``.
    """

    number: int
    name: str
    level: str
    fields: tuple[tuple[str, str], ...]

    def row(self, values: list) -> dict[str, Any]:
        """Return the values by field name."""
        return dict(zip((name for name, _ in self.fields), values, strict=False))


def _type(number: int, name: str, level: str, fields: str) -> Type:
    pairs = tuple((name, kind) for name, _, kind in (field.partition(":") for field in fields.split()))
    return Type(number, name, level, pairs)


TYPES = (
    _type(8, "start", "ends", "relay:t process:t version:t level:t sample:f classes:t seed:t settings:t policy:t"),
    _type(9, "stop", "ends", "open:u"),
    _type(10, "dropped", "ends", "records:u bytes:u first:i last:i reason:r"),
    _type(11, "message", "ends", "msg:M left:u size:u tries:u"),
    _type(12, "admit", "ends", "msg:M verdict:r again:x"),
    _type(13, "end", "ends", "msg:M status:r again:x"),
    _type(14, "list", "ends", "kind:u version:u members:u"),
    _type(
        15,
        "verdict",
        "ends",
        "source:t unit:t version:u digest:t outcome:t added:u drained:u resumed:u gone:u "
        "reweighted:u moved:u reasons:t",
    ),
    _type(16, "try_start", "tries", "msg:M attempt:u endpoint:e timeout:u fresh:b"),
    _type(17, "try_end", "tries", "msg:M attempt:u endpoint:e result:r latency:u wait:x over:b report:F"),
    _type(18, "probe_start", "tries", "endpoint:e"),
    _type(19, "probe_end", "tries", "endpoint:e result:r latency:u report:F"),
    _type(20, "members", "tries", "rows:L"),
    _type(21, "notice", "tries", "msg:M status:r again:u"),
    _type(22, "notice_heard", "tries", "msg:M"),
    _type(32, "step", "decisions", "events:u actions:u failed:b"),
    _type(33, "in_message", "decisions", "msg:M expires:a attempts:u maybe:x inherited:b"),
    _type(34, "in_outcome", "decisions", "msg:M attempt:u endpoint:e result:u spent:x finished:b wait:x report:F"),
    _type(35, "in_timer", "decisions", "mark:u"),
    _type(36, "in_withdrawn", "decisions", "msg:M"),
    _type(37, "in_probed", "decisions", "endpoint:e result:u spent:x report:F"),
    _type(38, "in_list", "decisions", "kind:u version:u rows:L"),
    _type(48, "out_attempt", "decisions", "msg:M endpoint:e timeout:x fresh:b"),
    _type(49, "out_cancel", "decisions", "msg:M attempt:u"),
    _type(50, "out_refuse", "decisions", "msg:M again:x"),
    _type(51, "out_fail", "decisions", "msg:M"),
    _type(52, "out_timer", "decisions", "mark:u at:a"),
    _type(53, "out_subscribe", "decisions", "active:b"),
    _type(54, "out_fetch", "decisions", ""),
    _type(55, "out_close_idle", "decisions", "endpoint:e"),
    _type(56, "out_probe", "decisions", "endpoint:e"),
    _type(57, "out_note", "decisions", "text:t"),
)
BY_NUMBER = {one.number: one for one in TYPES}
BY_NAME = {one.name: one for one in TYPES}
LEVELS = ("ends", "tries", "decisions")

START, STOP, DROPPED, MESSAGE, ADMIT, END, LIST, VERDICT = 8, 9, 10, 11, 12, 13, 14, 15
TRY_START, TRY_END, PROBE_START, PROBE_END, MEMBERS, NOTICE, NOTICE_HEARD = 16, 17, 18, 19, 20, 21, 22
STEP, IN_MESSAGE, IN_OUTCOME, IN_TIMER, IN_WITHDRAWN, IN_PROBED, IN_LIST = 32, 33, 34, 35, 36, 37, 38
OUT_ATTEMPT, OUT_CANCEL, OUT_REFUSE, OUT_FAIL, OUT_TIMER, OUT_SUBSCRIBE, OUT_FETCH = 48, 49, 50, 51, 52, 53, 54
OUT_CLOSE_IDLE, OUT_PROBE, OUT_NOTE = 55, 56, 57

CONTEXT = (START, STOP, DROPPED, LIST, VERDICT)  # about no single message; kept by every selection

TABLE_OF = {"c": CLASS, "e": ENDPOINT, "n": TENANT, "r": REASON, "k": KIND, "z": ZONE}

# The reason codes of the relay. A code's index is its number in every process.
REASONS = (
    "taken",
    "rejected",
    "no_room",
    "disk_full",
    "delivered",
    "over",
    "undeliverable",
    "deferred",
    "ok",
    "error",
    "full",
    "timeout",
    "connect_failed",
    "reset",
    "cancelled",
    "moot",
    "memory",
    "disk",
    "again",
)
REASON_OF: dict[str, Handle] = {text: (place, text) for place, text in enumerate(REASONS)}


def reason(text: str) -> Handle:
    """The handle of a reason code; the number of a code outside ``REASONS`` is derived from its text."""
    known = REASON_OF.get(text)
    if known is None:
        import zlib

        known = REASON_OF[text] = (len(REASONS) + zlib.crc32(text.encode()), text)
    return known
