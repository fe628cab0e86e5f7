"""Settings of one scheduler. ``settings_reader`` reads them from the operators' nested object.

Times are milliseconds; a setting that is absent is ``None``. The field names are formats: a trace's start record and
``lynxscale conf --json`` hold the settings by field name. Most are the operators' own keys, so they keep their words:
``aim_ms`` is the latency target, ``worth`` the value of a delivery, ``cold_share``, ``ramp_time_ms`` and ``tip_*``
describe the slow start of a destination after an outage.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum


class Effect(IntEnum):
    """What executing a message of a class twice does."""

    IDEMPOTENT = 0  # nothing
    KEYED = 1  # nothing, within the time for which the destination remembers its idempotency key
    UNSAFE = 2  # harm: it must not happen


@dataclass(slots=True)
class MessageClass:
    """Messages of the same urgency, value and effect."""

    name: str
    aim_ms: float  # latency target
    deadline_ms: float
    worth: float  # value of a delivery within the latency target
    late_worth: float  # share of that value which a delivery at the deadline still has
    effect: Effect
    group: str = "all"  # the endpoints that share idempotency keys: "all" or "zone"
    memory_span_ms: float | None = None  # for which the destination remembers an idempotency key
    ordered: bool = False  # messages with one key are delivered one at a time, in sequence
    aim_stretch: float | None = None  # ms added to the latency target for each unit of a message's work hint


@dataclass(slots=True)
class Tenant:
    """A customer organisation and its quota in messages a second, over all nodes."""

    name: str
    quota_per_s: float | None = None
    share: float | None = None


@dataclass(slots=True)
class Settings:
    """What an instance is configured with at its start.

    The caller may lower or raise ``slots`` later on: it is read at every use.
    """

    slots: int  # concurrent calls of this node
    senders: int  # nodes of the fleet that send to the same destinations
    me: int  # this node's index
    classes: list[MessageClass]
    tenants: list[Tenant] = field(default_factory=list)
    most_held: int | None = None  # pending messages, from close to which on the least valuable are shed
    attempts_cap: int | None = None  # attempts for each message
    may_cancel: bool = False  # attempts may be cancelled, and so restarted
    idle_close_ms: float | None = None  # the far end closes connections idle for longer
    max_retry_after_ms: float | None = None
    may_advise_retry: bool = False  # rejections may carry a Retry-After above 0
    may_probe: bool = False  # health checks are allowed
    second_copies: bool = False  # hedged requests are allowed
    connect_timeout_ms: float | None = None
    marks_again: bool = False  # clients mark their retries
    asks_for_members: bool = False  # this node asks service discovery; otherwise updates are pushed
    kinds: list[str] = field(default_factory=list)
    zones: list[str] = field(default_factory=list)
    report_columns: list[str] = field(default_factory=list)
    ask_within_ms: float | None = None  # service discovery has to be asked so soon after a failure
    per_call: list[int] = field(default_factory=list)  # by kind: messages that one call may carry
    routes_apart: list[bool] = field(default_factory=list)  # by kind: each endpoint has its own limit
    route_fee: list[float] = field(default_factory=list)  # by zone: price of a message where endpoints are apart
    handshake_price: float | None = None
    zone: int = 0  # this instance's, as an index into ``zones``
    waste_price: float = 0.0  # of a call that is executed for nothing
    cross_price: float = 0.0  # of a call to another zone, in points for a message
    probe_price: float | None = None
    refused_price: float | None = None
    over_share_worth: float | None = None  # share of its value that a message above its tenant's quota has
    late_halves: bool = False  # late, the value halves each latency target; otherwise it sinks linearly
    report_left: int | None = None  # column of load reports: the share of the allowance left
    report_limit: int | None = None  # column of load reports: the rate limit in calls a second
    weights: str = "off"  # how exact the weights of members are: "nominal", "rough" or "off"
    drain_grace_ms: float | None = None
    cold_share: float | None = None  # share of its capacity that a destination has right after an outage
    ramp_time_ms: float | None = None  # until it has all of it again
    tip_multiple: float | None = None  # load above so many times its rate ...
    tip_after_ms: float | None = None  # ... for so long makes a destination fail
    key_rest_ms: float | None = None  # pause of a key after an attempt whose end is in doubt
