"""Reads the users' settings, a nested object, into ``Settings``; messages name the setting at fault."""

from __future__ import annotations

from typing import Any

from lynxscale.scheduling.settings import Effect, MessageClass, Settings, Tenant

EFFECTS = {
    "idempotent": Effect.IDEMPOTENT,
    "deduplicated": Effect.KEYED,
    "at_most_once": Effect.UNSAFE,
}


COUNT_MOST = 1_000_000  # of slots, messages held, senders: numbers of messages have 20 bits for their place


class SettingsError(ValueError):
    """A setting is missing or not of use."""


def _number(
    table: dict, path: str, name: str, needed: bool = False, least: float = 0.0, most: float = float("inf")
) -> float | None:
    value = table.get(name)
    if value is None:
        if needed:
            raise SettingsError(f"setting {path}{name} is missing")
        return None
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value < float("inf"):
        raise SettingsError(f"setting {path}{name} is not a number of use: {value!r}")
    if not least <= value <= most:
        raise SettingsError(f"setting {path}{name} is not a number of use: {value!r}, want {_span(least, most)}")
    return float(value)


def _span(least: float, most: float) -> str:
    return f"{least:g} at least" if most == float("inf") else f"{least:g} to {most:g}"


def _count(table: dict, path: str, name: str, needed: bool = False) -> int | None:
    """A number of things, of which there has to be one."""
    value = _number(table, path, name, needed, 1, COUNT_MOST)
    return None if value is None else int(value)


def _part(table: dict, name: str, kind: type) -> Any:
    value = table.get(name)
    if value is None:
        return kind()
    if not isinstance(value, kind):
        raise SettingsError(f"setting {name} has the wrong form")
    return value


def _message_class(row: Any, place: int) -> MessageClass:
    path = f"grades[{place}]."
    if not isinstance(row, dict):
        raise SettingsError(f"setting grades[{place}] has the wrong form")
    effect = row.get("effect")
    if effect not in EFFECTS:
        raise SettingsError(f"setting {path}effect is missing or unknown: {effect!r}")
    keyed = EFFECTS[effect] == Effect.KEYED
    return MessageClass(
        name=str(row.get("name", place)),
        aim_ms=_number(row, path, "goal_time_ms", needed=True),
        deadline_ms=_number(row, path, "deadline_ms", needed=True, least=1),
        worth=_number(row, path, "value", needed=True),
        late_worth=_number(row, path, "late_worth") or 0.0,
        effect=EFFECTS[effect],
        group=str(row.get("group", "all")),
        memory_span_ms=_number(row, path, "memory_span_ms", needed=keyed, least=1 if keyed else 0),
        ordered=bool(row.get("serial_by_key", False)),
        aim_stretch=_number(row, path, "aim_stretch"),
    )


def _tenant(row: Any, place: int) -> Tenant:
    path = f"orgs[{place}]."
    if not isinstance(row, dict):
        raise SettingsError(f"setting orgs[{place}] has the wrong form")
    return Tenant(
        name=str(row.get("name", place)),
        quota_per_s=_number(row, path, "quota_per_s"),
        share=_number(row, path, "share"),
    )


def _numbers(table: dict, name: str) -> list:
    values = _part(table, name, list)
    if not all(isinstance(v, (int, float)) for v in values):
        raise SettingsError(f"setting family_info.{name} has the wrong form")
    return values


def _once(rows: list, setting: str) -> list:
    """What clients name must be told apart by its name."""
    names = [row.name for row in rows]
    for place, name in enumerate(names):
        if name in names[:place]:
            raise SettingsError(f"setting {setting}[{place}].name is there twice: {name!r}")
    return rows


def _names(table: dict, name: str) -> list[str]:
    values = _part(table, name, list)
    if not all(isinstance(v, str) for v in values):
        raise SettingsError(f"setting {name} has the wrong form")
    return values


def settings_from(conf: Any) -> Settings:
    """The settings of one instance, from the users' nested object."""
    if not isinstance(conf, dict):
        raise SettingsError("the settings are not a JSON object")
    allowed, rules = _part(conf, "allowed", dict), _part(conf, "obligations", dict)
    info, prices = _part(conf, "family_info", dict), _part(conf, "prices", dict)
    columns = _part(_part(conf, "load_info", dict), "columns", list)
    grades = _part(conf, "grades", list)
    if not grades:
        raise SettingsError("setting grades is missing")
    cap = _number(allowed, "allowed.", "attempts_cap")  # 0 for none
    per_call = [int(v) for v in _numbers(info, "per_call")]
    if any(not 1 <= v <= COUNT_MOST for v in per_call):
        raise SettingsError(f"setting family_info.per_call is not of use: {per_call}, want 1 at least of each kind")
    return Settings(
        slots=_count(info, "family_info.", "max_calls", needed=True),
        senders=_count(conf, "", "balancers", needed=True),
        me=int(_number(conf, "", "me") or 0),
        classes=_once([_message_class(row, place) for place, row in enumerate(grades)], "grades"),
        tenants=_once([_tenant(row, place) for place, row in enumerate(_part(conf, "orgs", list))], "orgs"),
        most_held=_count(allowed, "allowed.", "most_held"),
        attempts_cap=None if cap is None else int(cap),
        may_cancel=bool(allowed.get("cancel", False)),
        idle_close_ms=_number(allowed, "allowed.", "idle_close_ms"),
        max_retry_after_ms=_number(allowed, "allowed.", "max_retry_after_ms"),
        may_advise_retry=bool(allowed.get("retry_after", False)),
        may_probe=bool(allowed.get("probes", False)),
        second_copies=bool(allowed.get("second_copies", False)),
        connect_timeout_ms=_number(allowed, "allowed.", "dial_timeout_ms"),
        marks_again=bool(_part(conf, "clients", dict).get("marks_retry", False)),
        kinds=_names(conf, "kinds"),
        zones=_names(conf, "zones"),
        report_columns=_names(_part(conf, "load_info", dict), "columns"),
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
