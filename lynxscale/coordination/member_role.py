"""The role of a control member, and the changes between roles.

The theory in short (``docs/design/control-safety.md`` gives the argument and the tests):

Epochs. Each epoch has one record: its primary, the replicas that hold every acknowledged write, and the voters. It is
decided by single-decree Paxos over a register (CASPaxos, arXiv:1802.07000): a majority of the voters promises the
epoch, then a majority of the old and of the new voters accepts the record. Two majorities share a voter, so no two
records are decided under one epoch, and a later one builds on an earlier one.

Leader lease. A primary acts only while it holds a lease that a majority of the voters granted. A voter promises no
other candidate's epoch while a lease that it granted may run, and the holder counts a shorter lease, from when it
asked; so a primary stops before another can begin.

Primary-backup replication. A batch is committed once every in-sync replica has stored it. Only an in-sync voter with
complete files is eligible, so a new primary holds all that was ever committed.

Roles are a matter of these rules, not the other way round: a voter promises and grants in each of them.

=========  ========================  ==========  =====================================================================
from       change                    to          when
=========  ========================  ==========  =====================================================================
any        FOLLOWS_AS_VOTER          BACKUP      a primary's heartbeat, or the record found, names this member a voter
any        FOLLOWS_WITHOUT_VOTE      JOINING     the same, and it does not
BACKUP     STARTED_CANDIDACY         CANDIDATE   a majority would promise, or the primary asked it to take over
CANDIDATE  EPOCH_DECIDED             PRIMARY     a majority accepted the record that names this member primary
CANDIDATE  PREPARE_REJECTED          BACKUP      a voter promised a higher epoch, or is bound by another's lease
CANDIDATE  ROUND_TIMED_OUT           BACKUP      too few answers in time
any        YIELDED_TO_REPLICA        BACKUP      an in-sync voter's replica is more complete
PRIMARY    PROMISED_OTHER            BACKUP      the own voter promised another candidate's epoch
PRIMARY    SAW_LATER_EPOCH           BACKUP      a redirect names a later epoch
PRIMARY    TRANSFERRED_LEADERSHIP    BACKUP      it gave its lease back and asked a successor to take over
PRIMARY    LEASE_EXPIRED             BACKUP      no majority granted a heartbeat in time
PRIMARY,   DISK_FAILED               BACKUP      it can promise and store nothing
CANDIDATE
=========  ========================  ==========  =====================================================================

A member that is about to stop keeps its role until its leave is approved (``graceful_leave``).

The sources are what the callers check, not this module: a change is applied from any role.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from enum import Enum, auto

log = logging.getLogger(__name__)


class MemberRole(Enum):
    """What a member is to the group. The values stand in the status page and in log lines."""

    JOINING = "joining"
    """No vote yet."""

    BACKUP = "backup"
    """Votes, and stores what the primary replicates."""

    CANDIDATE = "candidate"
    """Asks the voters for an epoch of its own."""

    PRIMARY = "primary"
    """Its epoch was decided; it leads while its lease is valid."""


class RoleChange(Enum):
    """Why a member changes its role; see the table at the top."""

    FOLLOWS_AS_VOTER = auto()
    FOLLOWS_WITHOUT_VOTE = auto()
    STARTED_CANDIDACY = auto()
    EPOCH_DECIDED = auto()
    PREPARE_REJECTED = auto()
    ROUND_TIMED_OUT = auto()
    YIELDED_TO_REPLICA = auto()
    PROMISED_OTHER = auto()
    SAW_LATER_EPOCH = auto()
    TRANSFERRED_LEADERSHIP = auto()
    LEASE_EXPIRED = auto()
    DISK_FAILED = auto()


ROLE_AFTER: dict[RoleChange, MemberRole] = {
    RoleChange.FOLLOWS_AS_VOTER: MemberRole.BACKUP,
    RoleChange.FOLLOWS_WITHOUT_VOTE: MemberRole.JOINING,
    RoleChange.STARTED_CANDIDACY: MemberRole.CANDIDATE,
    RoleChange.EPOCH_DECIDED: MemberRole.PRIMARY,
    RoleChange.PREPARE_REJECTED: MemberRole.BACKUP,
    RoleChange.ROUND_TIMED_OUT: MemberRole.BACKUP,
    RoleChange.YIELDED_TO_REPLICA: MemberRole.BACKUP,
    RoleChange.PROMISED_OTHER: MemberRole.BACKUP,
    RoleChange.SAW_LATER_EPOCH: MemberRole.BACKUP,
    RoleChange.TRANSFERRED_LEADERSHIP: MemberRole.BACKUP,
    RoleChange.LEASE_EXPIRED: MemberRole.BACKUP,
    RoleChange.DISK_FAILED: MemberRole.BACKUP,
}

RoleListener = Callable[[MemberRole, MemberRole], None]


class RoleState:
    """A member's role: the one place that changes it. ``on_change(before, after)`` is called for each real change."""

    def __init__(self, role: MemberRole, epoch: Callable[[], int], on_change: RoleListener) -> None:
        self._role = role
        self._epoch = epoch
        self._on_change = on_change

    @property
    def current(self) -> MemberRole:
        """The role now."""
        return self._role

    def is_any_of(self, *roles: MemberRole) -> bool:
        """Is the current role one of these?"""
        return self._role in roles

    def apply(self, change: RoleChange) -> None:
        """Change the role; nothing happens where it stays the same."""
        before, self._role = self._role, ROLE_AFTER[change]
        if before is self._role:
            return
        log.info("event=state state=%s epoch=%d", self._role.value, self._epoch())
        self._on_change(before, self._role)

    def follow(self, is_voter: bool) -> None:
        """Follow the primary of a record, with a vote or without."""
        self.apply(RoleChange.FOLLOWS_AS_VOTER if is_voter else RoleChange.FOLLOWS_WITHOUT_VOTE)
