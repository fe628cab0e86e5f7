"""Renders records: as JSON objects, and as a text history of one message."""

from __future__ import annotations

from collections.abc import Iterator
from datetime import UTC, datetime
from typing import Any

from lynxscale.trace import records as r
from lynxscale.trace.frames import Frame


def iso(unix: int) -> str:
    """Format Unix µs as ISO 8601 in UTC."""
    try:
        return datetime.fromtimestamp(unix / 1e6, UTC).strftime("%Y-%m-%dT%H:%M:%S") + f".{unix % 1_000_000:06d}Z"
    except (OverflowError, ValueError, OSError):
        return f"{unix}us"


def objects(frame: Frame) -> Iterator[dict[str, Any]]:
    """Yield one JSON-ready object per record; docs/design/trace.md, "As JSON"."""
    relay, _, process = frame.source.rpartition("/")
    stem = {"time": iso(frame.unix), "unix": frame.unix, "mono": frame.time, "relay": relay, "process": process}
    for index, (number, values) in enumerate(frame.records):
        one = r.BY_NUMBER.get(number)
        row = stem | {"seq": frame.seq + index, "type": one.name if one else f"type_{number}"}
        if one is None:
            yield row | {"bytes": len(values)}
            continue
        for (name, kind), value in zip(one.fields, values, strict=False):
            row |= _as_json(name, kind, value)
        yield row


def _as_json(name: str, kind: str, value: Any) -> dict[str, Any]:
    if kind == "M":
        return {
            "id": value.id,
            "number": value.number,
            "class": value.cls[1],
            "tenant": value.tenant[1],
            "dest": value.dest,
        }
    if kind in r.TABLE_OF:
        return {name: value[1] or f"#{value[0]}"}
    if kind == "L":
        return {
            name: [
                {
                    "endpoint": row.endpoint[1] or f"#{row.endpoint[0]}",
                    "lifecycle": LIFECYCLES[row.lifecycle],
                    "dest": row.dest,
                    "zone": row.zone[1],
                    "kind": row.kind[1],
                    "weight": row.weight,
                    "address": row.address,
                }
                for row in value
            ]
        }
    return {name: value}


LIFECYCLES = {0: "gone", 1: "ready", 2: "draining"}


def _ms(micros: float) -> str:
    return f"{micros / 1000:.1f} ms"


def message_history(frame: Frame, id_: str, start: int) -> Iterator[str]:
    """Yield a line for each record of a message, with times relative to ``start`` (Unix µs)."""
    relay = frame.source.rpartition("/")[0]
    for number, values in frame.records:
        if type(values) is not list or not values or not isinstance(values[0], r.Msg) or values[0].id != id_:
            continue
        text = _describe(number, r.BY_NUMBER[number].row(values))
        if text:
            yield f"{iso(frame.unix)}  {(frame.unix - start) / 1000:+10.1f} ms  {relay}  {text}"


def _describe(number: int, row: dict[str, Any]) -> str:
    msg = row["msg"]
    again = f", retry after {row.get('again', 0):g} ms" if row.get("again") else ""
    where = (row.get("endpoint") or (0, ""))[1] or f"#{(row.get('endpoint') or (0, ''))[0]}"
    if number == r.MESSAGE:
        earlier = f", {row['tries']} tries by an earlier process" if row.get("tries") else ""
        return (
            f"in: {msg.cls[1]} of {msg.tenant[1] or 'no tenant'} for destination {msg.dest}, {row['size']} bytes, "
            f"{_ms(row['left'])} left{earlier}"
        )
    if number == r.ADMIT:
        return f"answered: {row['verdict'][1]}{again}"
    if number == r.TRY_START:
        fresh = " on a new connection" if row["fresh"] else ""
        return f"attempt {row['attempt']} starts at {where}, for {_ms(row['timeout'])}{fresh}"
    if number == r.TRY_END:
        wait = f", asked to wait {row['wait']:g} ms" if row.get("wait") else ""
        report = f", report {' '.join(f'{v:g}' for v in row['report'])}" if row.get("report") else ""
        return f"attempt {row['attempt']} at {where}: {row['result'][1]} after {_ms(row['latency'])}{wait}{report}"
    if number == r.END:
        return f"end: {row['status'][1]}{again}"
    if number == r.NOTICE:
        return f"notice queued: {row['status'][1]}{again}"
    if number == r.NOTICE_HEARD:
        return "notice acknowledged by the platform"
    if number == r.IN_MESSAGE:
        return "the scheduler receives it"
    if number == r.OUT_ATTEMPT:
        return f"the scheduler orders an attempt at {where}"
    if number == r.OUT_CANCEL:
        return f"the scheduler cancels attempt {row['attempt']}"
    if number == r.OUT_REFUSE:
        return f"the scheduler refuses it{again}"
    if number == r.OUT_FAIL:
        return "the scheduler fails it"
    if number == r.IN_WITHDRAWN:
        return "the scheduler learns that it was withdrawn"
    return ""
