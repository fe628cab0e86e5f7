"""Builds the configuration of a relay that runs without the platform from the lynxscale settings file.

The directives are converted to the JSON object that the platform would provide, so that one reader checks both.
"""

from __future__ import annotations

import resource
from collections.abc import Callable
from pathlib import Path
from typing import Any

from lynxscale.relay.conf.lexer import Fault
from lynxscale.relay.conf.platform import Config, PlatformError, address, seed
from lynxscale.relay.conf.settings import Conf
from lynxscale.scheduling.exceptions import SettingsError
from lynxscale.scheduling.settings_reader import settings_from


def platform_settings(conf: Conf) -> dict[str, Any]:
    """The settings object in the platform's format, with the values of these directives."""
    limits, names, relay = conf.limits, conf.names, conf.relay
    return {
        "allowed": {
            "attempts_cap": limits.tries,
            "cancel": limits.cancel,
            "idle_close_ms": limits.idle_close / 1000,
            "dial_timeout_ms": limits.dial / 1000,
            "max_retry_after_ms": limits.retry_after_most / 1000,
            "retry_after": limits.retry_after_most > 0,
            "most_held": limits.held,
            "probes": limits.probes,
        },
        "balancers": relay.relays,
        "me": relay.place,
        "kinds": [row["name"] for row in names.kind],
        "zones": [row["name"] for row in names.zone],
        "membership_mode": "ask" if relay.discovery else "told",
        "family_info": {
            "max_calls": limits.slots,
            "per_call": [row.get("per_call", 1) for row in names.kind],
            "routes_apart": [row.get("apart", False) for row in names.kind],
            "route_fee": [row.get("fee", 0.0) for row in names.zone],
            "late": "halving" if limits.late == "halving" else "lost",
        },
        "grades": [_grade(row) for row in names.cls],
        "load_info": {"columns": list(names.report), "source": "inline" if names.report else "none"},
        "weight_source": "nominal",
        "obligations": {
            "cold_share": limits.cold_share,
            "ramp_time_ms": limits.warm_up / 1000,
            "tip_multiple": limits.tip_multiple,
            "tip_after_ms": limits.tip_after / 1000,
            "drain_grace_ms": limits.drain_grace / 1000,
        },
        "orgs": [_org(row) for row in names.tenant],
    }


def _grade(row: dict) -> dict[str, Any]:
    grade = {
        "name": row["name"],
        "effect": row["effect"],
        "goal_time_ms": row["aim"] / 1000,
        "deadline_ms": row["deadline"] / 1000,
        "value": row.get("worth", 1.0),
        "late_worth": row.get("late_worth", 0.0),
        "group": "all",
    }
    return grade | ({"memory_span_ms": row["span"] / 1000} if "span" in row else {})


def _org(row: dict) -> dict[str, Any]:
    org = {"name": row["name"]}
    return (
        org
        | ({"quota_per_s": row["quota"]} if "quota" in row else {})
        | ({"share": row["share"]} if "share" in row else {})
    )


def faults(conf: Conf, location_of: Callable[[str, str], tuple[str, int]]) -> list[Fault]:
    """The faults across sections with which a relay cannot run.

    ``location_of`` returns the file and line of a section's directive, or of the section if the directive is absent, or
    line 0 if both are.
    """
    if conf.relay.listen is None:
        return []
    found = []
    for wanted, given in (
        ("one class or more in names", conf.names.cls),
        ("files in members, or discovery in relay", conf.members.files or conf.relay.discovery),
        ("file or http in finals", conf.finals.file or conf.finals.http),
    ):
        if not given:
            found.append(Fault(*location_of("relay", ""), "relay", f"want {wanted}"))
    if conf.relay.place >= conf.relay.relays:
        found.append(Fault(*location_of("relay", "place"), "place", "want a number below relays"))
    if conf.cluster.name is not None and conf.relay.name not in [row["name"] for row in conf.cluster.member]:
        found.append(
            Fault(
                *location_of("cluster", "member"),
                "member",
                f"want a line for {conf.relay.name} too, this relay's own name",
            )
        )
    if not found:
        try:
            settings_from(platform_settings(conf))
        except SettingsError as error:
            found.append(Fault(*location_of("", ""), "settings", str(error)))
    return found


def load(conf: Conf) -> Config:
    """The relay's configuration. Raises PlatformError if the state folder is not writable."""
    relay = conf.relay
    state = Path(relay.state)
    try:
        state.mkdir(parents=True, exist_ok=True)
        (state / ".probe").touch()
        (state / ".probe").unlink()
    except OSError as error:
        raise PlatformError(f"state: {state} is not writable: {error.strerror}") from error
    descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return Config(
        name=relay.name,
        listen=address(relay.listen, "listen"),
        discovery=address(relay.discovery, "discovery") if relay.discovery else None,
        state=state,
        seed=seed(relay.seed),
        sockets=relay.sockets if descriptors == resource.RLIM_INFINITY else min(relay.sockets, descriptors),
        disk_bytes=relay.disk,
        known={},
        settings=settings_from(platform_settings(conf)),
        by_platform=False,
        admin=address(relay.admin_addr, "admin-addr") if relay.admin_addr else None,
    )
