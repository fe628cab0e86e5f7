"""A member's candidacy: from a won pre-vote, or a request to take over, until its own epoch is decided."""

from __future__ import annotations

import logging

from lynxscale.coordination.disk_failure import DiskFailureHandler
from lynxscale.coordination.election import ElectionCampaign
from lynxscale.coordination.eligibility import CandidacyDecision, decide_candidacy
from lynxscale.coordination.lease import LEASE_S
from lynxscale.coordination.member_context import MemberContext
from lynxscale.coordination.member_role import MemberRole, RoleChange
from lynxscale.coordination.messages import EpochRecord, PrepareRejected, TakeOver, address_of
from lynxscale.coordination.proposal import Proposal
from lynxscale.coordination.proposer import Proposer

log = logging.getLogger(__name__)


class Candidacy:
    """Runs one member's candidacies. ``tolerated``: number of machines that may be lost at the same time."""

    def __init__(
        self,
        context: MemberContext,
        campaign: ElectionCampaign,
        proposer: Proposer,
        disk: DiskFailureHandler,
        tolerated: int,
    ) -> None:
        self._acceptor = context.acceptor
        self._store = context.store
        self._network = context.network
        self._role = context.role
        self._tracker = context.tracker
        self._campaign = campaign
        self._proposer = proposer
        self._disk = disk
        self._tolerated = tolerated

    @property
    def eligible(self) -> bool:
        """May this member become a candidate? Only a backup that is a voter with a complete in-sync replica may."""
        record, member = self._acceptor.record, self._acceptor.member
        complete = self._store.intact and member in record.in_sync and member in record.voters
        return complete and self._role.current is MemberRole.BACKUP

    def on_pre_vote_won(self, more_complete: str) -> None:
        """A majority would promise. ``more_complete``: an in-sync voter to take over instead, empty for none."""
        if more_complete:
            self._yield_to(self._acceptor.record, more_complete)
        else:
            self._start()

    def on_take_over(self, message: TakeOver) -> None:
        """The primary, or a candidate with a less complete replica, asks this member to become a candidate."""
        if message.epoch == self._acceptor.record.epoch and self.eligible:
            self._tracker.forget()
            self._start()

    def on_prepare_rejected(self, message: PrepareRejected) -> None:
        """A voter rejected the prepare; give up once a majority can no longer promise."""
        if self._proposer.on_prepare_rejected(message) and self._role.current is MemberRole.CANDIDATE:
            self._give_up(message.lease_left)

    def choose_record(self, proposal: Proposal) -> EpochRecord | None:
        """The record to propose once a majority has promised; None to give up the round."""
        decision = CandidacyDecision()
        if self._role.current is MemberRole.CANDIDATE:
            position = self._store.durable_position
            decision = decide_candidacy(self._acceptor.member, position, proposal, self._tolerated)
        if decision.more_complete:
            self._yield_to(proposal.base, decision.more_complete)
        elif decision.record is None:
            self._acceptor.adopt(proposal.base)
            self._role.follow(is_voter=self._acceptor.member in proposal.base.voters)
        return decision.record

    def check_timeout(self) -> None:
        """Called periodically: a candidate whose round has timed out becomes a backup again."""
        if self._role.current is MemberRole.CANDIDATE and self._proposer.timed_out:
            self._role.apply(RoleChange.ROUND_TIMED_OUT)
            self._campaign.postpone(0.0)

    def _start(self) -> None:
        self._role.apply(RoleChange.STARTED_CANDIDACY)
        self._campaign.defer_to(self._acceptor.member)
        try:
            rejected = self._proposer.propose()
        except OSError as error:
            self._disk.on_failure(error)
            return
        if rejected is not None:
            self._give_up(rejected.lease_left)

    def _give_up(self, lease_left_s: float) -> None:
        self._role.apply(RoleChange.PREPARE_REJECTED)
        self._campaign.postpone(min(lease_left_s, LEASE_S))

    def _yield_to(self, base: EpochRecord, more_complete: str) -> None:
        log.warning("event=candidacy_yielded member=%s", more_complete)
        self._role.apply(RoleChange.YIELDED_TO_REPLICA)
        self._campaign.postpone(LEASE_S)
        self._network.send(address_of(more_complete), TakeOver(base.epoch))
