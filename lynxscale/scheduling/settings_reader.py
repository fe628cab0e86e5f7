"""Reads the operators' nested settings object into ``Settings``. Error messages name the invalid setting."""

from __future__ import annotations

from typing import Any, TypeVar

from lynxscale.scheduling.exceptions import SettingsError
from lynxscale.scheduling.settings import Effect, MessageClass, Settings, Tenant

EFFECTS = {
    "idempotent": Effect.IDEMPOTENT,
    "deduplicated": Effect.KEYED,
    "at_most_once": Effect.UNSAFE,
}

COUNT_MAX = 1_000_000  # for slots, pending messages and nodes: the slot field of a message number has 20 bits
INF = float("inf")
T = TypeVar("T")


def _required(value: T | None, setting: str) -> T:
    if value is None:
        raise SettingsError(f"setting {setting} is missing")
    return value


def _number(table: dict, path: str, name: str, minimum: float = 0.0, maximum: float = INF) -> float | None:
    """Return a number from ``minimum`` to ``maximum``, or ``None`` if the setting is absent."""
    value = table.get(name)
    if value is None:
        return None
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value < INF:
        raise SettingsError(f"setting {path}{name} is not a valid number: {value!r}")
    if not minimum <= value <= maximum:
        raise SettingsError(f"setting {path}{name} is not a valid number: {value!r}, want {_range(minimum, maximum)}")
    return float(value)


def _range(minimum: float, maximum: float) -> str:
    return f"{minimum:g} or more" if maximum == INF else f"{minimum:g} to {maximum:g}"


def _required_number(table: dict, path: str, name: str, minimum: float = 0.0) -> float:
    return _required(_number(table, path, name, minimum), f"{path}{name}")


def _count(table: dict, path: str, name: str) -> int | None:
    """Return an integer from 1 to ``COUNT_MAX``, or ``None`` if the setting is absent."""
    value = _number(table, path, name, 1, COUNT_MAX)
    return None if value is None else int(value)


def _required_count(table: dict, path: str, name: str) -> int:
    return _required(_count(table, path, name), f"{path}{name}")


def _section(table: dict, name: str, kind: type) -> Any:
    """Return the object or list with this name, or an empty one if it is absent."""
    value = table.get(name)
    if value is None:
        return kind()
    if not isinstance(value, kind):
        raise SettingsError(f"setting {name} has the wrong type")
    return value


def _memory_span(row: dict, path: str, keyed: bool) -> float | None:
    if keyed:
        return _required_number(row, path, "memory_span_ms", minimum=1)
    return _number(row, path, "memory_span_ms")


def _message_class(row: Any, index: int) -> MessageClass:
    path = f"grades[{index}]."
    if not isinstance(row, dict):
        raise SettingsError(f"setting grades[{index}] has the wrong type")
    effect = row.get("effect")
    if effect not in EFFECTS:
        raise SettingsError(f"setting {path}effect is missing or unknown: {effect!r}")
    keyed = EFFECTS[effect] == Effect.KEYED
    return MessageClass(
        name=str(row.get("name", index)),
        aim_ms=_required_number(row, path, "goal_time_ms"),
        deadline_ms=_required_number(row, path, "deadline_ms", minimum=1),
        worth=_required_number(row, path, "value"),
        late_worth=_number(row, path, "late_worth") or 0.0,
        effect=EFFECTS[effect],
        group=str(row.get("group", "all")),
        memory_span_ms=_memory_span(row, path, keyed),
        ordered=bool(row.get("serial_by_key", False)),
        aim_stretch=_number(row, path, "aim_stretch"),
    )


def _tenant(row: Any, index: int) -> Tenant:
    path = f"orgs[{index}]."
    if not isinstance(row, dict):
        raise SettingsError(f"setting orgs[{index}] has the wrong type")
    return Tenant(
        name=str(row.get("name", index)),
        quota_per_s=_number(row, path, "quota_per_s"),
        share=_number(row, path, "share"),
    )


def _numbers(table: dict, name: str) -> list:
    values = _section(table, name, list)
    if not all(isinstance(v, (int, float)) for v in values):
        raise SettingsError(f"setting family_info.{name} has the wrong type")
    return values


def _unique(rows: list, setting: str) -> list:
    """Check that names are unique, because clients refer to these rows by name."""
    names = [row.name for row in rows]
    for index, name in enumerate(names):
        if name in names[:index]:
            raise SettingsError(f"setting {setting}[{index}].name is a duplicate: {name!r}")
    return rows


def _names(table: dict, name: str) -> list[str]:
    values = _section(table, name, list)
    if not all(isinstance(v, str) for v in values):
        raise SettingsError(f"setting {name} has the wrong type")
    return values


def settings_from(conf: Any) -> Settings:
    """Read the settings of one scheduler from the operators' nested object.

    Raises
    ------
    SettingsError
        A setting is missing or invalid.
    """
    if not isinstance(conf, dict):
        raise SettingsError("the settings are not a JSON object")
    allowed, rules = _section(conf, "allowed", dict), _section(conf, "obligations", dict)
    info, prices = _section(conf, "family_info", dict), _section(conf, "prices", dict)
    columns = _section(_section(conf, "load_info", dict), "columns", list)
    grades = _section(conf, "grades", list)
    if not grades:
        raise SettingsError("setting grades is missing")
    attempts_cap = _number(allowed, "allowed.", "attempts_cap")  # 0: no limit
    per_call = [int(v) for v in _numbers(info, "per_call")]
    if any(not 1 <= v <= COUNT_MAX for v in per_call):
        raise SettingsError(
            f"setting family_info.per_call has an invalid count: {per_call}, want 1 or more of each kind"
        )
    return Settings(
        slots=_required_count(info, "family_info.", "max_calls"),
        senders=_required_count(conf, "", "balancers"),
        me=int(_number(conf, "", "me") or 0),
        classes=_unique([_message_class(row, index) for index, row in enumerate(grades)], "grades"),
        tenants=_unique([_tenant(row, index) for index, row in enumerate(_section(conf, "orgs", list))], "orgs"),
        most_held=_count(allowed, "allowed.", "most_held"),
        attempts_cap=None if attempts_cap is None else int(attempts_cap),
        may_cancel=bool(allowed.get("cancel", False)),
        idle_close_ms=_number(allowed, "allowed.", "idle_close_ms"),
        max_retry_after_ms=_number(allowed, "allowed.", "max_retry_after_ms"),
        may_advise_retry=bool(allowed.get("retry_after", False)),
        may_probe=bool(allowed.get("probes", False)),
        second_copies=bool(allowed.get("second_copies", False)),
        connect_timeout_ms=_number(allowed, "allowed.", "dial_timeout_ms"),
        marks_again=bool(_section(conf, "clients", dict).get("marks_retry", False)),
        kinds=_names(conf, "kinds"),
        zones=_names(conf, "zones"),
        report_columns=_names(_section(conf, "load_info", dict), "columns"),
        asks_for_members=conf.get("membership_mode") == "ask",
        ask_within_ms=_number(rules, "obligations.", "ask_within_ms"),
        per_call=per_call,
        routes_apart=[bool(v) for v in _numbers(info, "routes_apart")],
        route_fee=[float(v) for v in _numbers(info, "route_fee")],
        handshake_price=_number(prices, "prices.", "handshake"),
        zone=int(_number(conf, "", "zone") or 0),
        waste_price=_number(prices, "prices.", "waste") or 0.0,
        cross_price=_number(prices, "prices.", "cross_zone") or 0.0,
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
