"""What nodes said from outside, held against what is promised of views and leases. It knows nothing of the program.

A node says at its door which view it has, and how long it may act yet. What it said was true at some moment between the
question and the answer; only what is so for every such moment is called a breach.

Judged as it comes: an hour of sixteen nodes is a million answers of 30 kB each, of which only what counts is kept.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from lab.cluster.nodes import Seen

Life = tuple[str, int, str]


@dataclass
class Verdict:
    """``table``: by node, how often it said what it is; ``breaches`` in words."""

    table: dict[str, Counter] = field(default_factory=dict)
    views: dict[int, str] = field(default_factory=dict)  # members by number
    breaches: list[str] = field(default_factory=list)
    removals: Counter = field(default_factory=Counter)  # lives that a view has gone on without, by node

    @property
    def looks(self) -> int:
        return sum(row.total() for row in self.table.values())


def lives_of(view: dict) -> frozenset[Life]:
    return frozenset((one["name"], one["life"], one["boot"]) for one in view["members"])


class Judge:
    """``saw`` is told each answer; those of one node in the order in which they were heard."""

    def __init__(self) -> None:
        self._found = Verdict()
        self._digests: dict[int, tuple[str, str]] = {}  # by number: digest, and who said so
        self._members: dict[int, frozenset[Life]] = {}
        self._acted: dict[int, tuple[float, str]] = {}  # by number: the earliest moment by which someone surely acted
        self._newest: dict[tuple[str, str], int] = {}
        self._held: dict[tuple[Life, int], float] = {}  # by life and number: until when it might act, as it said

    def saw(self, seen: Seen) -> None:
        found, status, view = self._found, seen.status, seen.status["view"]
        found.table.setdefault(seen.node, Counter())[status["standing"]] += 1
        if status["split"]:
            self._breach(f"{seen.node} met a contradiction: {status['split']}")
        if view is None:
            return
        number, process = view["number"], (seen.node, status["boot"])
        digest, by = self._digests.setdefault(number, (view["digest"], seen.node))
        if digest != view["digest"]:
            self._breach(f"view {number} is {view['digest']} at {seen.node} and {digest} at {by}")
        if number not in self._members:
            self._members[number] = lives_of(view)
            found.views[number] = " ".join(sorted(f"{name}/{life}" for name, life, _ in self._members[number]))
        newest = self._newest.get(process, 0)
        if number < newest:
            self._breach(f"{seen.node} went from view {newest} back to {number}")
        self._newest[process] = max(number, newest)
        if status["lease_ms"]:
            self._acted[number] = min(self._acted.get(number, (seen.heard, seen.node)), (seen.heard, seen.node))
            life = (seen.node, status["life"], status["boot"])
            until = seen.asked + status["lease_ms"] / 1000
            self._held[life, number] = max(until, self._held.get((life, number), until))

    def verdict(self, left: Iterable[str] = ()) -> Verdict:
        """``left``: boots of processes that were told to stop, and so may give up what they hold at once."""
        found, left = replace(self._found, breaches=[*self._found.breaches], removals=Counter()), frozenset(left)
        for (life, number), until in self._held.items():
            if life[2] not in left:
                found.breaches += self._held_too_long(life, number, until)
        for number in sorted(self._members):
            for name, _, _ in self._members.get(number - 1, frozenset()) - self._members[number]:
                found.removals[name] += 1
        return found

    def _breach(self, words: str) -> None:
        """Once: a node says it at each answer."""
        if words not in self._found.breaches:
            self._found.breaches.append(words)

    def _held_too_long(self, life: Life, number: int, until: float) -> list[str]:
        """Might a node act at a moment when another surely acted in a later view without it?"""
        name, count, _ = life
        words = [f"{name} acts in view {number}, which it is not in"] if life not in self._members[number] else []
        for later, (moment, by) in sorted(self._acted.items()):
            if later > number and life not in self._members[later] and until > moment:
                return [
                    *words,
                    f"{name} (life {count}) may act in view {number} until {until:.3f}, and {by} acted in "
                    f"view {later}, which is without it, by {moment:.3f}",
                ]
        return words
