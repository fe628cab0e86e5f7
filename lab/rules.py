"""The rules, judged from what clients and partners saw, never from the relay's own word."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from lab.partner import Call

DRAIN_WITHIN = 2.0  # seconds from a file's word to the last first byte of a call


@dataclass(slots=True)
class Sent:
    """What a client handed in and heard."""

    cls: str
    status: int = 0  # 0: the connection ended without an answer


@dataclass
class Judged:
    """By class: counts of what became of its messages; and every breach of a rule, in words."""

    table: dict[str, Counter] = field(default_factory=dict)
    breaches: list[str] = field(default_factory=list)


def judge(
    sent: Mapping[str, Sent],
    calls: Iterable[Call],
    finals: Mapping[str, list[str]],
    once: Iterable[str] = ("pago-premio",),
    keyed: Iterable[str] = ("inscripcion",),
    drained: Mapping[str, float] | None = None,
) -> Judged:
    """Hold what was sent against what partners did and what was told in the end.

    ``finals``: the statuses told of each id; ``drained``: endpoints and since when (monotonic) a file says so.
    """
    found, drained = Judged(), drained or {}
    effects, served = Counter(), set()
    for call in calls:
        effects[call.id] += call.effect
        if call.status == 200:
            served.add(call.id)
        if call.id not in sent:
            found.breaches.append(f"{call.endpoint} was called for {call.id}, which nobody handed in")
        late = call.at - drained.get(call.endpoint, call.at)
        if late > DRAIN_WITHIN:
            found.breaches.append(f"{call.endpoint} was called {late:.2f} s after its drain")
    for id_, one in sent.items():
        row = found.table.setdefault(one.cls, Counter())
        told = finals.get(id_, [])
        row["handed in"] += 1
        if effects[id_] > 1:
            row["twice"] += 1
            if one.cls in once or one.cls in keyed:
                found.breaches.append(f"{id_} ({one.cls}) took effect {effects[id_]} times")
        if one.status != 202:
            row["rejected"] += 1
            if one.status and effects[id_]:
                found.breaches.append(f"{id_} ({one.cls}) was answered {one.status} and took effect")
            continue
        row["taken"] += 1
        if len(set(told)) > 1:
            found.breaches.append(f"{id_} ({one.cls}) ended as {' and '.join(sorted(set(told)))}")
        if one.cls in once and effects[id_] and "deferred" in told:
            found.breaches.append(f"{id_} ({one.cls}) took effect, and its client was told to come again")
        if told:
            row[told[0]] += 1
        elif id_ in served:
            row["delivered"] += 1
        else:
            row["lost"] += 1
            found.breaches.append(f"{id_} ({one.cls}) was taken and has no end")
    return found
