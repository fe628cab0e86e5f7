"""Checks the statuses that nodes report against the guarantees of views and leases, without using their code.

A node's admin server reports its current view, and for how long the node may still act. The answer was true at some
time between the request and the response; only what is a violation at every such time is reported as a breach.

Answers are checked as they arrive and not stored: an hour of sixteen nodes gives a million answers of 30 kB each.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from lab.cluster.nodes import StatusObservation

Incarnation = tuple[str, int, str]


@dataclass
class Verdict:
    """``table``: by node, how often it reported each standing; ``breaches``: a text for each violation."""

    table: dict[str, Counter] = field(default_factory=dict)
    views: dict[int, str] = field(default_factory=dict)  # by view number: its members
    breaches: list[str] = field(default_factory=list)
    removals: Counter = field(default_factory=Counter)  # by node: incarnations that a later view excludes

    @property
    def observations(self) -> int:
        return sum(row.total() for row in self.table.values())


def incarnations_of(view: dict) -> frozenset[Incarnation]:
    return frozenset((one["name"], one["life"], one["boot"]) for one in view["members"])


class ViewChecker:
    """Takes each answer by ``observe``; answers of one node must come in the order in which they arrived."""

    def __init__(self) -> None:
        self._verdict = Verdict()
        # By view number: its digest, and the node that reported it.
        self._digest_by_view: dict[int, tuple[str, str]] = {}
        self._members_by_view: dict[int, frozenset[Incarnation]] = {}
        # By view number: the earliest time by which a node certainly held a lease, and that node.
        self._acted_by_view: dict[int, tuple[float, str]] = {}
        self._newest_by_process: dict[tuple[str, str], int] = {}
        # By incarnation and view number: the latest end of a lease.
        self._lease_ends: dict[tuple[Incarnation, int], float] = {}

    def observe(self, observation: StatusObservation) -> None:
        found, status, view = self._verdict, observation.status, observation.status["view"]
        found.table.setdefault(observation.node, Counter())[status["standing"]] += 1
        if status["split"]:
            self._add_breach(f"{observation.node} reports two conflicting views: {status['split']}")
        if view is None:
            return
        number, process = view["number"], (observation.node, status["boot"])
        digest, by = self._digest_by_view.setdefault(number, (view["digest"], observation.node))
        if digest != view["digest"]:
            self._add_breach(f"view {number} is {view['digest']} at {observation.node} and {digest} at {by}")
        if number not in self._members_by_view:
            self._members_by_view[number] = incarnations_of(view)
            found.views[number] = " ".join(
                sorted(f"{name}/{incarnation}" for name, incarnation, _ in self._members_by_view[number])
            )
        newest = self._newest_by_process.get(process, 0)
        if number < newest:
            self._add_breach(f"{observation.node} went from view {newest} back to {number}")
        self._newest_by_process[process] = max(number, newest)
        if status["lease_ms"]:
            self._acted_by_view[number] = min(
                self._acted_by_view.get(number, (observation.answered_at, observation.node)),
                (observation.answered_at, observation.node),
            )
            incarnation = (observation.node, status["life"], status["boot"])
            until = observation.asked_at + status["lease_ms"] / 1000
            self._lease_ends[incarnation, number] = max(until, self._lease_ends.get((incarnation, number), until))

    def verdict(self, stopped_boots: Iterable[str] = ()) -> Verdict:
        """``stopped_boots``: boot ids of processes that were asked to stop, and so may give up a lease early."""
        found, stopped_boots = (
            replace(self._verdict, breaches=[*self._verdict.breaches], removals=Counter()),
            frozenset(stopped_boots),
        )
        for (incarnation, number), until in self._lease_ends.items():
            if incarnation[2] not in stopped_boots:
                found.breaches += self._lease_breaches(incarnation, number, until)
        for number in sorted(self._members_by_view):
            for name, _, _ in self._members_by_view.get(number - 1, frozenset()) - self._members_by_view[number]:
                found.removals[name] += 1
        return found

    def _add_breach(self, text: str) -> None:
        """Add a breach once: a node may report it with each answer."""
        if text not in self._verdict.breaches:
            self._verdict.breaches.append(text)

    def _lease_breaches(self, incarnation: Incarnation, number: int, until: float) -> list[str]:
        """Breaches by a node that might act after another certainly acted in a later view that excludes it."""
        name, generation, _ = incarnation
        texts = (
            [f"{name} acts in view {number}, which it is not in"]
            if incarnation not in self._members_by_view[number]
            else []
        )
        for later, (acted_at, by) in sorted(self._acted_by_view.items()):
            if later > number and incarnation not in self._members_by_view[later] and until > acted_at:
                return [
                    *texts,
                    f"{name} (life {generation}) may act in view {number} until {until:.3f}, and {by} acted in "
                    f"view {later}, which excludes it, by {acted_at:.3f}",
                ]
        return texts
