"""Settings of one scheduler. ``settings_reader`` reads them from the operators' nested object.

Times are milliseconds; an absent setting is ``None``. The field names are stored formats: a trace's start record and
``lynxscale conf --json`` contain the settings by field name. Most of them are keys of the operators' settings file:
``aim_ms`` is the latency target, ``worth`` the value of a delivery, ``cold_share``, ``ramp_time_ms`` and ``tip_*``
describe the slow start of a destination after an outage.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum


class Effect(IntEnum):
    """Effect of executing a message of a class more than once."""

    IDEMPOTENT = 0  # a repetition is harmless
    KEYED = 1  # a repetition is harmless while the destination remembers the idempotency key (``memory_span_ms``)
    UNSAFE = 2  # a repetition is harmful: at-most-once delivery


@dataclass(slots=True)
class MessageClass:
    """A class of messages with the same latency target, deadline, value and effect."""

    name: str
    aim_ms: float  # latency target
    deadline_ms: float
    worth: float  # value of a delivery within the latency target
    late_worth: float  # share of that value that remains for a delivery at the deadline
    effect: Effect
    group: str = "all"  # scope in which endpoints share idempotency keys: "all" or "zone"
    memory_span_ms: float | None = None  # how long the destination remembers an idempotency key
    ordered: bool = False  # messages with the same key are delivered one at a time, in sequence
    aim_stretch: float | None = None  # ms added to the latency target per unit of a message's work hint


@dataclass(slots=True)
class Tenant:
    """A customer organisation and its quota in messages a second, summed over all nodes."""

    name: str
    quota_per_s: float | None = None
    share: float | None = None


@dataclass(slots=True)
class Settings:
    """Settings with which a scheduler starts.

    The caller may change ``slots`` at any time: the scheduler reads it at every use. The limits that
    ``ConcurrencyLimits`` derives from it at the start keep their initial values.
    """

    slots: int  # maximum of concurrent calls of this node
    senders: int  # number of nodes that send to the same destinations
    me: int  # index of this node
    classes: list[MessageClass]
    tenants: list[Tenant] = field(default_factory=list)
    most_held: int | None = None  # maximum of pending messages; load shedding starts shortly below it
    attempts_cap: int | None = None  # maximum of attempts per message
    may_cancel: bool = False  # attempts may be cancelled and restarted
    idle_close_ms: float | None = None  # idle time after which the remote end closes a connection
    max_retry_after_ms: float | None = None
    may_advise_retry: bool = False  # rejections may have a Retry-After above 0
    may_probe: bool = False  # health checks are allowed
    second_copies: bool = False  # hedged requests are allowed
    connect_timeout_ms: float | None = None
    marks_again: bool = False  # clients mark retries (``Message.marked_retry``)
    asks_for_members: bool = False  # this node queries service discovery; otherwise discovery pushes updates
    kinds: list[str] = field(default_factory=list)
    zones: list[str] = field(default_factory=list)
    report_columns: list[str] = field(default_factory=list)
    ask_within_ms: float | None = None  # maximum delay until service discovery is queried again after a failure
    per_call: list[int] = field(default_factory=list)  # indexed by kind: maximum of messages in one call
    routes_apart: list[bool] = field(default_factory=list)  # indexed by kind: each endpoint has its own rate limit
    route_fee: list[float] = field(default_factory=list)  # indexed by zone: price per message with ``routes_apart``
    handshake_price: float | None = None
    zone: int = 0  # zone of this node, an index into ``zones``
    waste_price: float = 0.0  # price of a call whose result is not used
    cross_price: float = 0.0  # price of a call to another zone, on the scale of message values
    probe_price: float | None = None
    refused_price: float | None = None
    over_share_worth: float | None = None  # factor of the value of messages above their tenant's quota
    late_halves: bool = False  # after its target a message's value halves every ``aim_ms``; otherwise it falls linearly
    report_left: int | None = None  # load report column with the remaining share of the allowance
    report_limit: int | None = None  # load report column with the rate limit in calls a second
    weights: str = "off"  # accuracy of members' weights: "nominal", "rough" or "off" (not used)
    drain_grace_ms: float | None = None
    cold_share: float | None = None  # share of its capacity that a destination has directly after an outage
    ramp_time_ms: float | None = None  # time from the end of an outage until the full capacity is back
    tip_multiple: float | None = None  # a destination fails under a load above this multiple of its rate
    tip_after_ms: float | None = None  # duration of such an overload after which the destination fails
    key_rest_ms: float | None = None  # pause of an ordered key after an attempt whose outcome is in doubt
