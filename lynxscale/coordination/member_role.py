"""The role of a control member, and the changes between roles.

Summary of the safety argument (``docs/design/control-safety.md`` has the full argument and the tests):

Epochs. Each epoch has one record: its primary, the replicas that hold every acknowledged write, and the voters. It is
decided by single-decree Paxos over a register (CASPaxos, arXiv:1802.07000): a quorum of the voters promises the epoch,
then a quorum accepts the record. While a change of the voters may be undecided, a quorum is a majority of the previous
and a majority of the new voters. So at most one record is decided per epoch, and each decided record is derived from
the one decided before it (proof in ``docs/design/voter-changes.md``).

Leader lease. A primary acts only while it holds a lease that a quorum of the voters granted. While a lease that it
granted may run, a voter promises no epoch to another candidate. The holder assumes a shorter lease that starts when it
sent the request, so a primary stops before another can begin.

Primary-backup replication. A batch is committed once every in-sync replica has stored it. Only an in-sync voter with
complete files is eligible, so a new primary holds everything that was ever committed.

Safety follows from these rules alone, not from the roles: a voter promises and grants in every role.

=========  ========================  ==========  =====================================================================
from       change                    to          when
=========  ========================  ==========  =====================================================================
any        FOLLOWS_AS_VOTER          BACKUP      a heartbeat, or a record found by a round, names this member a voter
any        FOLLOWS_WITHOUT_VOTE      JOINING     a heartbeat, or a record found by a round, does not name it a voter
BACKUP     STARTED_CANDIDACY         CANDIDATE   a quorum would promise, or the primary asked it to take over
CANDIDATE  EPOCH_DECIDED             PRIMARY     a quorum accepted the record that names this member primary
CANDIDATE  PREPARE_REJECTED          BACKUP      a voter promised a higher epoch, or is bound by another's lease
CANDIDATE  ROUND_TIMED_OUT           BACKUP      too few replies in time
any        YIELDED_TO_REPLICA        BACKUP      an in-sync voter's replica is more complete
PRIMARY    PROMISED_OTHER            BACKUP      its own acceptor promised another candidate's epoch
PRIMARY    SAW_LATER_EPOCH           BACKUP      a redirect names a later epoch
PRIMARY    TRANSFERRED_LEADERSHIP    BACKUP      it released its lease and asked a successor to take over
PRIMARY    LEASE_EXPIRED             BACKUP      no quorum granted a heartbeat in time
PRIMARY,   DISK_FAILED               BACKUP      a write failed: it can store neither promises nor batches
CANDIDATE
=========  ========================  ==========  =====================================================================

A leaving member keeps its role until its leave is approved (``graceful_leave``).

The callers ensure the role in the first column; this module applies a change from any role.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from enum import Enum, auto

log = logging.getLogger(__name__)


class MemberRole(Enum):
    """A member's role in the group. The values appear on the status page and in log lines."""

    JOINING = "joining"
    """Not a voter yet."""

    BACKUP = "backup"
    """Votes, and stores the batches that the primary replicates."""

    CANDIDATE = "candidate"
    """Asks the voters to promise it an epoch."""

    PRIMARY = "primary"
    """Primary of the decided epoch; leads while its lease is valid."""


class RoleChange(Enum):
    """Why a member changes its role; see the table in the module docstring."""

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
    """Holds a member's role. ``on_change(before, after)`` is called when ``apply`` changes it to another role."""

    def __init__(self, role: MemberRole, epoch: Callable[[], int], on_change: RoleListener) -> None:
        self._role = role
        self._epoch = epoch
        self._on_change = on_change

    @property
    def current(self) -> MemberRole:
        """The current role."""
        return self._role

    def is_any_of(self, *roles: MemberRole) -> bool:
        """Is the current role one of these?"""
        return self._role in roles

    def apply(self, change: RoleChange) -> None:
        """Change the role; no effect if the member already has it."""
        before, self._role = self._role, ROLE_AFTER[change]
        if before is self._role:
            return
        log.info("event=state state=%s epoch=%d", self._role.value, self._epoch())
        self._on_change(before, self._role)

    def follow(self, is_voter: bool) -> None:
        """Follow the primary of a record, as a voter or without a vote."""
        self.apply(RoleChange.FOLLOWS_AS_VOTER if is_voter else RoleChange.FOLLOWS_WITHOUT_VOTE)
