"""Checks the delivery rules by what clients and partners observed, without trusting the relay's own records."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from lab.partner import Call

MAX_DRAIN_S = 2.0  # from the write of a list that drains an endpoint to the last call that starts there


@dataclass(slots=True)
class SentMessage:
    """A message that a client sent, and the response."""

    cls: str
    status: int = 0  # 0: the connection ended without an answer


@dataclass
class RuleReport:
    """``table``: counts of message outcomes by class; ``breaches``: a text for each violation of a rule."""

    table: dict[str, Counter] = field(default_factory=dict)
    breaches: list[str] = field(default_factory=list)


def check_rules(
    sent: Mapping[str, SentMessage],
    calls: Iterable[Call],
    finals: Mapping[str, list[str]],
    once: Iterable[str] = ("pago-premio",),
    keyed: Iterable[str] = ("inscripcion",),
    drained: Mapping[str, float] | None = None,
) -> RuleReport:
    """Check the messages sent against the calls that partners received and the final statuses.

    ``finals``: the final statuses reported for each id; ``drained``: by endpoint, when a list drained it (monotonic
    seconds). Messages of the classes ``once`` and ``keyed`` must not take effect twice.
    """
    report, drained = RuleReport(), drained or {}
    effects, served = Counter(), set()
    for call in calls:
        effects[call.id] += call.effect
        if call.status == 200:
            served.add(call.id)
        if call.id not in sent:
            report.breaches.append(f"{call.endpoint} was called for {call.id}, which no client sent")
        late = call.at - drained.get(call.endpoint, call.at)
        if late > MAX_DRAIN_S:
            report.breaches.append(f"{call.endpoint} was called {late:.2f} s after its drain")
    for id_, message in sent.items():
        row = report.table.setdefault(message.cls, Counter())
        statuses = finals.get(id_, [])
        row["handed in"] += 1
        if effects[id_] > 1:
            row["twice"] += 1
            if message.cls in once or message.cls in keyed:
                report.breaches.append(f"{id_} ({message.cls}) took effect {effects[id_]} times")
        if message.status != 202:
            row["rejected"] += 1
            if message.status and effects[id_]:
                report.breaches.append(f"{id_} ({message.cls}) was answered {message.status} and took effect")
            continue
        row["taken"] += 1
        if len(set(statuses)) > 1:
            report.breaches.append(f"{id_} ({message.cls}) ended as {' and '.join(sorted(set(statuses)))}")
        if message.cls in once and effects[id_] and "deferred" in statuses:
            report.breaches.append(f"{id_} ({message.cls}) took effect, and its client was told to retry")
        if statuses:
            row[statuses[0]] += 1
        elif id_ in served:
            row["delivered"] += 1
        else:
            row["lost"] += 1
            report.breaches.append(f"{id_} ({message.cls}) was taken and has no end")
    return report
