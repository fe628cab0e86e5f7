"""Types shared by the decision module and whatever drives it: settings, events, actions.

No logic lives here. All times are in milliseconds; an absent setting is ``None``.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum


class Effect(IntEnum):
    """What repeating a message of a class does."""

    IDEMPOTENT = 0
    KEYED = 1
    UNSAFE = 2


class Result(IntEnum):
    """How an attempt ended."""

    OK = 1
    ERROR = 2
    FULL = 3
    TIMEOUT = 4
    CONNECT_FAILED = 5
    RESET = 6
    CANCELLED = 7
    MOOT = 8


class ListKind(IntEnum):
    """What a piece of membership news is."""

    FAILED = 0
    DELTA = 1
    CACHED = 2
    FULL = 3


class Lifecycle(IntEnum):
    """Where an endpoint stands in the list."""

    GONE = 0
    READY = 1
    DRAINING = 2


@dataclass(slots=True)
class MessageClass:
    name: str
    aim_ms: float
    deadline_ms: float
    worth: float
    late_worth: float
    effect: Effect
    group: str = "all"
    memory_span_ms: float | None = None
    ordered: bool = False
    aim_stretch: float | None = None


@dataclass(slots=True)
class Tenant:
    name: str
    quota_per_s: float | None = None
    share: float | None = None


@dataclass(slots=True)
class Settings:
    """What an instance is told at its start."""

    slots: int
    senders: int
    me: int
    classes: list[MessageClass]
    tenants: list[Tenant] = field(default_factory=list)
    most_held: int | None = None
    attempts_cap: int | None = None
    may_cancel: bool = False
    idle_close_ms: float | None = None
    max_retry_after_ms: float | None = None
    may_advise_retry: bool = False
    may_probe: bool = False
    second_copies: bool = False
    connect_timeout_ms: float | None = None
    marks_again: bool = False
    asks_for_members: bool = False
    kinds: list[str] = field(default_factory=list)
    zones: list[str] = field(default_factory=list)
    report_columns: list[str] = field(default_factory=list)
    ask_within_ms: float | None = None
    per_call: list[int] = field(default_factory=list)
    routes_apart: list[bool] = field(default_factory=list)
    route_fee: list[float] = field(default_factory=list)
    handshake_price: float | None = None
    zone: int = 0  # this instance's, by its place among the zones
    waste_price: float = 0.0  # of a call that is done for nothing
    cross_price: float = 0.0  # of a call to another zone, in points for a message
    probe_price: float | None = None
    refused_price: float | None = None
    over_share_worth: float | None = None
    late_halves: bool = False
    report_left: int | None = None
    report_limit: int | None = None
    weights: str = "off"
    drain_grace_ms: float | None = None
    cold_share: float | None = None
    ramp_time_ms: float | None = None
    tip_multiple: float | None = None
    tip_after_ms: float | None = None
    key_rest_ms: float | None = None


# Events ------------------------------------------------------------------------------------


@dataclass(slots=True)
class Member:
    """One line of a list of endpoints."""

    endpoint: int
    lifecycle: Lifecycle
    destination: int
    zone: int
    kind: int
    weight: float


@dataclass(slots=True)
class Membership:
    kind: ListKind
    version: int
    members: list[Member]


@dataclass(slots=True)
class Message:
    """A new message; it may be delivered until ``expires`` on the clock."""

    id: int
    destination: int
    cls: int
    tenant: int
    expires: float
    key: int = 0
    again: bool = False
    write: bool = False
    inherited: bool = False
    work_hint: float | None = None
    # Of an earlier life of this sender, which took the message and kept a record of it:
    attempts: int = 0  # made so far
    maybe_at: float = 0.0  # when the first of them that may have run was sent; 0: none


@dataclass(slots=True)
class Outcome:
    id: int
    attempt: int
    endpoint: int
    result: Result
    spent: float
    finished: bool
    wait: float = 0.0
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class TimerDue:
    mark: int


@dataclass(slots=True)
class Withdrawn:
    id: int


@dataclass(slots=True)
class AnswerBegun:
    id: int
    attempt: int
    endpoint: int
    spent: float


@dataclass(slots=True)
class Probed:
    endpoint: int
    result: int
    spent: float
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class PeerSaid:
    author: int
    payload: bytes


# Actions -----------------------------------------------------------------------------------


@dataclass(slots=True)
class Attempt:
    """``fresh``: on a new connection. The simulator's wire has no word for that; there it is any."""

    id: int
    endpoint: int
    timeout: float
    fresh: bool = False


@dataclass(slots=True)
class Cancel:
    id: int
    attempt: int


@dataclass(slots=True)
class Refuse:
    """End the message undelivered; the client may safely come again."""

    id: int
    retry_after: float


@dataclass(slots=True)
class Fail:
    id: int


@dataclass(slots=True)
class SetTimer:
    mark: int
    at: float


@dataclass(slots=True)
class Subscribe:
    active: bool


@dataclass(slots=True)
class FetchList:
    pass


@dataclass(slots=True)
class CloseIdle:
    endpoint: int


@dataclass(slots=True)
class Probe:
    endpoint: int


@dataclass(slots=True)
class TellPeer:
    """Bytes for one peer, or for all where ``peer`` is ``None``."""

    peer: int | None
    payload: bytes


@dataclass(slots=True)
class Note:
    """A line for the operators' log."""

    text: str
