"""What a sender has learned of its destinations, as plain values: for the process that goes on in its place.

Without it a new process meets each limit, wait and outage anew, and is one that had seen a destination fail. Numbers of
endpoints are the sender's own; who carries the values over puts names in their place. Times are milliseconds on a clock
that both processes share. No I/O.
"""

from __future__ import annotations

import math
from typing import Any

from lynxscale.scheduling.scheduler import FAILING, OK, WARMING, Health, Lane, Sender

LANE = ("window", "restarts", "lost_restarts", "tau", "median", "recent", "limit", "wait_until")
HEALTH = (
    "state",
    "streak",
    "hard",
    "bad_at",
    "last_ok",
    "count",
    "count_at",
    "warm_from",
    "next_try",
    "base",
    "first_bad",
)
SHARE = ("cut", "level", "boost", "cut_at", "refused_at", "heard_at")
ENDPOINT = ("rest_until", "unconnected", "unconnected_at", "answered", "pace")
SAMPLE = 40  # finished and unfinished tries of each lane that go along: enough for a time-out
STATES = (OK, FAILING, WARMING)


def export(sender: Sender) -> dict[str, Any]:
    """All that is worth telling: a JSON object; infinities are None."""
    lanes, endpoints = [], []
    for dest in sender.dests.values():
        for lane in dest.lanes:
            if not lane.tries and not lane.wait_until and not lane.health.streak:
                continue  # never called
            lanes.append(
                [
                    dest.number,
                    [one.number for one in lane.endpoints],
                    _told(lane, LANE),
                    _told(lane.health, HEALTH),
                    _told(lane.share, SHARE),
                    [[round(at), _finite(took)] for at, took in list(lane.tries)[-SAMPLE:]],
                ]
            )
            for one in lane.endpoints:
                own = [_told(health, HEALTH) for health in one.healths if health is not lane.health]
                endpoints.append([one.number, _told(one, ENDPOINT), own])
    return {"lanes": lanes, "endpoints": endpoints, "classes": sender.class_mean, "rest": sender.rest}


def take(sender: Sender, told: dict[str, Any], now: float) -> int:
    """Go on from there; how many lanes are known now. Raises ValueError where the values are none of ``export``."""
    lanes = 0
    try:
        for number, values, own in told["endpoints"]:
            one = sender.endpoints.get(number)
            if one is None:
                continue
            _take(one, ENDPOINT, values)
            for health, values_ in zip((h for h in one.healths if h is not one.lane.health), own, strict=False):
                _health(health, values_, now)
        for dest, numbers, values, health, share, sample in told["lanes"]:
            lane = next((sender.endpoints[number].lane for number in numbers if number in sender.endpoints), None)
            if lane is None or lane.dest.number != dest:
                continue
            lanes += 1
            _lane(lane, values, sample)
            _health(lane.health, health, now)
            _take(lane.share, SHARE, share)
            lane.share.told(lane.limit or lane.weight())
            lane.share.tokens, lane.share.at = 0.0, now  # what may go at once the other one has used
        if len(told["classes"]) == len(sender.class_mean):
            sender.class_mean = [[float(mean), int(count)] for mean, count in told["classes"]]
        sender.rest = float(told["rest"])
    except (KeyError, TypeError, IndexError, AttributeError) as error:
        raise ValueError(f"not what a sender tells of itself: {error!r}") from error
    return lanes


def _lane(lane: Lane, values: list, sample: list) -> None:
    _take(lane, LANE, values)
    lane.window = max(1, int(lane.window))
    lane.tries.extend((float(at), math.inf if took is None else float(took)) for at, took in sample)
    lane.fresh = len(lane.tries)


def _health(health: Health, values: list, now: float) -> None:
    if values[0] not in STATES:
        raise ValueError(f"no state: {values[0]!r}")
    health.state = values[0]
    _take(health, HEALTH[1:], values[1:])
    health.tokens, health.tokens_at = 0.0, now


def _told(one: object, names: tuple[str, ...]) -> list:
    return [value if isinstance(value := getattr(one, name), str) else _finite(value) for name in names]


def _finite(value: float) -> float | None:
    return round(value, 3) if math.isfinite(value) else None


def _take(one: object, names: tuple[str, ...], values: list) -> None:
    for name, value in zip(names, values, strict=True):
        if value is not None:  # an infinity: as it begins
            setattr(one, name, value + 0)


__all__ = ["export", "take"]
