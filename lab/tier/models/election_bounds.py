"""Bounds of the model of election and lease, and the events that happen before each search."""

from __future__ import annotations

from dataclasses import dataclass

from lab.model_checker import Event
from lab.tier.models.held_messages import HoldRule

ADDRESSES = ("a:1", "b:1", "c:1")


@dataclass(frozen=True)
class ElectionBounds:
    """How often each event may happen. Events of a member are counted for each member."""

    candidacies: tuple[int, ...] = (1, 1, 0)
    lease_requests: tuple[int, ...] = (1, 1, 0)
    restarts: tuple[int, ...] = (0, 0, 0)
    time_steps: int = 2
    partitions: int = 0
    plans: int = 0
    """Rounds in which a primary replaces ``REPLACED`` by ``SPARE``, or settles that change."""
    initial_events: tuple[Event, ...] = ()  # applied before the search begins
    slow_writes: HoldRule | None = None
    """Writes that begin after the initial events take time; messages wait for them by this rule."""
    slow_events: tuple[Event, ...] = ()  # applied after the initial events, while writes take time


PROMISES_RECEIVED = (  # a has prepared, both others have promised, and the record of a is in flight
    ("becomes candidate", "a:1"),
    ("receives", ("a:1", "b:1")),
    ("receives", ("a:1", "c:1")),
    ("receives", ("b:1", "a:1")),
    ("receives", ("c:1", "a:1")),
)
LEASE_HELD = (  # a is primary of epoch 1, and b has granted its lease
    ("becomes candidate", "a:1"),
    ("receives", ("a:1", "b:1")),
    ("receives", ("b:1", "a:1")),
    ("receives", ("a:1", "a:1")),
    ("receives", ("a:1", "b:1")),
    ("receives", ("a:1", "a:1")),
    ("receives", ("b:1", "a:1")),
    ("requests its lease", "a:1"),
    ("receives", ("a:1", "b:1")),
    ("receives", ("b:1", "a:1")),
)
LATE_GRANT = (  # as LEASE_HELD, but the grant takes a time step to arrive, and another step passes
    *LEASE_HELD[:-1],
    ("time passes", ""),
    ("receives", ("b:1", "a:1")),
    ("time passes", ""),
)
PLANNING = (  # as LEASE_HELD, but c has heard nothing; then a asks c for its next epoch
    *LEASE_HELD,
    ("drops", ("a:1", "c:1")),
    ("plans", "a:1"),
    ("receives", ("a:1", "c:1")),
    ("receives", ("c:1", "a:1")),
)
REPLACED_BY_THE_SPARE = (  # a and c have decided that d replaces b, and c has accepted the record that settles this
    *PLANNING,
    ("receives", ("a:1", "a:1")),
    ("receives", ("a:1", "a:1")),
    ("receives", ("a:1", "c:1")),
    ("receives", ("c:1", "a:1")),
    ("plans", "a:1"),
    ("receives", ("a:1", "c:1")),
    ("receives", ("c:1", "a:1")),
    ("receives", ("a:1", "c:1")),
    ("drops", ("a:1", "b:1")),
    ("drops", ("a:1", "d:1")),
)
ACCEPTED_BY_THE_SPARE = (  # only a and d have accepted that d replaces b; time passes, and a asks for its lease again
    *LEASE_HELD,
    ("drops", ("a:1", "c:1")),
    ("plans", "a:1"),
    ("receives", ("a:1", "b:1")),
    ("receives", ("b:1", "a:1")),
    ("receives", ("a:1", "a:1")),
    ("receives", ("a:1", "a:1")),
    ("receives", ("a:1", "d:1")),
    ("time passes", ""),
    ("requests its lease", "a:1"),
    ("drops", ("a:1", "b:1")),
    ("drops", ("a:1", "c:1")),
)
ELECTED_BY_ALL = (  # b is primary of epoch 1, which all have accepted; its lease has ended
    ("becomes candidate", "b:1"),
    ("receives", ("b:1", "a:1")),
    ("receives", ("b:1", "c:1")),
    ("receives", ("a:1", "b:1")),
    ("receives", ("b:1", "b:1")),
    ("receives", ("b:1", "a:1")),
    ("receives", ("b:1", "c:1")),
    ("receives", ("b:1", "b:1")),
    ("receives", ("a:1", "b:1")),
    ("time passes", ""),
    ("time passes", ""),
)
SUCCEEDED = (  # as ELECTED_BY_ALL; a and b have accepted epoch 2 of a, and c has promised it
    *ELECTED_BY_ALL,
    ("becomes candidate", "a:1"),
    ("receives", ("a:1", "c:1")),
    ("receives", ("c:1", "a:1")),
    ("receives", ("a:1", "a:1")),
    ("receives", ("a:1", "b:1")),
    ("receives", ("a:1", "b:1")),
    ("receives", ("a:1", "a:1")),
    ("receives", ("b:1", "a:1")),
    ("receives", ("b:1", "a:1")),
)
ACCEPT_BEING_WRITTEN = (  # c writes epoch 2 of a while a asks it for its lease
    ("receives", ("a:1", "c:1")),
    ("time passes", ""),
    ("requests its lease", "a:1"),
    ("receives", ("a:1", "c:1")),
)
PROMISE_LOST = (  # b restarts before it has stored its promise to a, and what it may have granted before has ended
    ("becomes candidate", "a:1"),
    ("ends a write", "a:1"),
    ("receives", ("a:1", "b:1")),
    ("restarts", "b:1"),
    ("time passes", ""),
    ("time passes", ""),
)


def slow_write_bounds(rule: HoldRule) -> tuple[ElectionBounds, ...]:
    """Return the bounds of the model with writes that take time."""
    return (
        ElectionBounds(
            candidacies=(1, 0, 1),
            lease_requests=(0, 0, 0),
            restarts=(0, 1, 0),
            slow_writes=rule,
            slow_events=PROMISE_LOST,
        ),
        ElectionBounds(
            candidacies=(1, 2, 0),
            lease_requests=(1, 0, 0),
            restarts=(0, 0, 1),
            time_steps=4,
            initial_events=SUCCEEDED,
            slow_writes=rule,
            slow_events=ACCEPT_BEING_WRITTEN,
        ),
        ElectionBounds(candidacies=(1, 1, 0), lease_requests=(0, 0, 0), time_steps=0, slow_writes=rule),
    )


BOUNDS = (
    ElectionBounds(candidacies=(1, 1, 0), lease_requests=(0, 0, 0), time_steps=0),
    ElectionBounds(candidacies=(2, 0, 0), lease_requests=(0, 0, 0), restarts=(1, 0, 0), time_steps=0),
    ElectionBounds(candidacies=(1, 1, 0), lease_requests=(1, 0, 0), time_steps=1),
    ElectionBounds(candidacies=(1, 1, 0), lease_requests=(1, 0, 0), restarts=(0, 0, 1), time_steps=1),
    ElectionBounds(
        candidacies=(2, 0, 0),
        lease_requests=(0, 0, 0),
        restarts=(1, 0, 0),
        time_steps=2,
        partitions=1,
        initial_events=PROMISES_RECEIVED,
    ),
    ElectionBounds(candidacies=(1, 1, 0), lease_requests=(1, 0, 0), time_steps=1, initial_events=LEASE_HELD),
    ElectionBounds(
        candidacies=(1, 1, 0), lease_requests=(2, 0, 0), restarts=(0, 1, 0), time_steps=1, initial_events=LEASE_HELD
    ),
    ElectionBounds(candidacies=(0, 1, 0), lease_requests=(0, 0, 0), time_steps=1, initial_events=LATE_GRANT),
    ElectionBounds(
        candidacies=(1, 0, 1),
        lease_requests=(1, 0, 1),
        time_steps=1,
        partitions=3,
        plans=2,
        initial_events=REPLACED_BY_THE_SPARE,
    ),
    ElectionBounds(
        candidacies=(1, 1, 0),
        lease_requests=(2, 0, 0),
        time_steps=2,
        partitions=3,
        plans=1,
        initial_events=ACCEPTED_BY_THE_SPARE,
    ),
)
