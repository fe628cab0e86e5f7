"""Quorums of epoch records: which voters a round and a lease need a majority of.

A record that changes the voters is decided by majorities of both the previous and the new voters, and until its
proposer knows that it is decided, whatever rests on it needs both majorities again (joint consensus; Ongaro,
"Consensus: Bridging Theory and Practice", 2014, section 4.3). ``docs/design/voter-changes.md`` has the argument.
"""

from __future__ import annotations

from collections.abc import Mapping, Set
from dataclasses import dataclass

from lynxscale.coordination.messages import EpochRecord


@dataclass(frozen=True, slots=True)
class DecidedRecord:
    """A record that is known to be decided, because this process has counted the voters that accepted it.

    Records that were merely accepted, or found in a message, are plain ``EpochRecord``.
    """

    record: EpochRecord


@dataclass(frozen=True, slots=True)
class Quorum:
    """A majority of each of these sets of voters. If there are two, the first is that of the previous voters."""

    voter_sets: tuple[tuple[str, ...], ...]

    @property
    def members(self) -> tuple[str, ...]:
        """The members of all sets, each once."""
        return tuple(dict.fromkeys(member for voters in self.voter_sets for member in voters))

    @property
    def is_joint(self) -> bool:
        """Are majorities of two different sets needed?"""
        return len(self.voter_sets) > 1

    @property
    def decided_voters(self) -> tuple[str, ...]:
        """The voters of the latest record known to be decided: the next record is proposed as their successor."""
        return self.voter_sets[0]

    def is_reached(self, members: Set[str]) -> bool:
        """Do ``members`` include a majority of each set?"""
        return all(is_majority(voters, members) for voters in self.voter_sets)

    def reached_at(self, times: Mapping[str, float]) -> float | None:
        """When the quorum is reached, if each member counts from its time on; None if too few members have a time."""
        reached = [_majority_at(voters, times) for voters in self.voter_sets]
        known = [time for time in reached if time is not None]
        return max(known) if len(known) == len(reached) else None


def quorum_of(record: EpochRecord | DecidedRecord) -> Quorum:
    """The quorum that a round based on the record needs, and a lease of its primary."""
    if isinstance(record, DecidedRecord):
        return Quorum((record.record.voters,))
    previous = record.previous_voters or record.voters
    if set(previous) == set(record.voters):
        return Quorum((record.voters,))
    return Quorum((previous, record.voters))


def is_majority(voters: tuple[str, ...], members: Set[str]) -> bool:
    """Do ``members`` include more than half of the voters? Members without a vote are ignored."""
    return 2 * len(members & set(voters)) > len(voters)


def _majority_at(voters: tuple[str, ...], times: Mapping[str, float]) -> float | None:
    counted = sorted(times[voter] for voter in voters if voter in times)
    needed = len(voters) // 2 + 1
    return counted[needed - 1] if len(counted) >= needed else None
