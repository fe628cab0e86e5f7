"""Majority quorums: any two majorities share a voter."""

from __future__ import annotations

from collections.abc import Set


def is_majority(voters: tuple[str, ...], members: Set[str]) -> bool:
    """Do ``members`` include more than half of the voters? Members without a vote are ignored."""
    return 2 * len(members & set(voters)) > len(voters)
