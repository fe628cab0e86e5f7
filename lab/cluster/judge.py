"""What nodes said from outside, held against what is promised of views and leases. It knows nothing of the program.

A node says at its door which view it has, and how long it may act yet. What it said was true at some moment between the
question and the answer; only what is so for every such moment is called a breach.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from lab.cluster.nodes import Seen

Life = tuple[str, int, str]


@dataclass
class Verdict:
    """``table``: by node, how often it said what it is; ``breaches`` in words."""

    table: dict[str, Counter] = field(default_factory=dict)
    views: dict[int, str] = field(default_factory=dict)  # members by number
    breaches: list[str] = field(default_factory=list)
    removals: Counter = field(default_factory=Counter)  # lives that a view has gone on without, by node


def lives_of(view: dict) -> frozenset[Life]:
    return frozenset((one["name"], one["life"], one["boot"]) for one in view["members"])


def judge(history: Iterable[Seen], left: Iterable[str] = ()) -> Verdict:
    """``left``: boots of processes that were told to stop, and so may give up what they hold at once."""
    found, left = Verdict(), frozenset(left)
    digests: dict[int, tuple[str, str]] = {}  # by number: digest, and who said so
    members: dict[int, frozenset[Life]] = {}
    acted: dict[int, tuple[float, str]] = {}  # by number: the earliest moment by which someone surely acted in it
    newest: dict[tuple[str, str], int] = {}
    history = sorted(history, key=lambda seen: seen.heard)
    for seen in history:
        status, view = seen.status, seen.status["view"]
        found.table.setdefault(seen.node, Counter())[status["standing"]] += 1
        if status["split"]:
            found.breaches.append(f"{seen.node} met a contradiction: {status['split']}")
        if view is None:
            continue
        number, process = view["number"], (seen.node, status["boot"])
        digest, by = digests.setdefault(number, (view["digest"], seen.node))
        if digest != view["digest"]:
            found.breaches.append(f"view {number} is {view['digest']} at {seen.node} and {digest} at {by}")
        members.setdefault(number, lives_of(view))
        found.views[number] = " ".join(sorted(f"{name}/{life}" for name, life, _ in members[number]))
        if number < newest.get(process, 0):
            found.breaches.append(f"{seen.node} went from view {newest[process]} back to {number}")
        newest[process] = max(number, newest.get(process, 0))
        if status["lease_ms"] and number not in acted:
            acted[number] = seen.heard, seen.node
    for seen in history:
        _held_too_long(seen, members, acted, left, found)
    for number in sorted(members):
        if number - 1 in members:
            for name, _, _ in members[number - 1] - members[number]:
                found.removals[name] += 1
    return found


def _held_too_long(seen: Seen, members: dict, acted: dict, left: frozenset[str], found: Verdict) -> None:
    """Might a node act at a moment when another surely acted in a later view without it?"""
    status, view = seen.status, seen.status["view"]
    if view is None or not status["lease_ms"] or status["boot"] in left:
        return
    life = (seen.node, status["life"], status["boot"])
    if life not in members[view["number"]]:
        found.breaches.append(f"{seen.node} acts in view {view['number']}, which it is not in")
    until = seen.asked + status["lease_ms"] / 1000
    for number, (moment, by) in acted.items():
        if number > view["number"] and life not in members[number] and until > moment:
            found.breaches.append(f"{seen.node} (life {life[1]}) may act in view {view['number']} until {until:.3f}, "
                                  f"and {by} acted in view {number}, which is without it, by {moment:.3f}")
            return
