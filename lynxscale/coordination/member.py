"""A control member: a voter and a replica, and the primary of the epochs that name it.

``ControlMember`` creates the components, dispatches each message to the component that handles it, and owns the
``Leadership`` while it is primary:

- ``member_role``: the role, and the table of role changes
- ``voter``: replies to candidates and to the primary, based on the ``acceptor``'s durable state
- ``election``, ``candidacy`` and ``proposer``: when to become a candidate, the candidacy, and its Paxos rounds
- ``leadership``: the duties of the primary
- ``follower``: stores what the primary replicates
- ``joining`` and ``graceful_leave``: joining and leaving the group
- ``disk_failure``: reaction to failed writes
- ``file_scrub``: verifies and repairs the member's files while it runs
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from random import Random
from typing import Any

from lynxscale.coordination.acceptor import Acceptor
from lynxscale.coordination.acceptor_state import AcceptorStateFile
from lynxscale.coordination.candidacy import Candidacy
from lynxscale.coordination.disk_failure import DISK_FAILURE_COOLDOWN_S, DiskFailureHandler
from lynxscale.coordination.election import ElectionCampaign
from lynxscale.coordination.file_scrub import StorageScrub
from lynxscale.coordination.follower import Follower
from lynxscale.coordination.graceful_leave import GracefulLeave
from lynxscale.coordination.joining import JoinProtocol
from lynxscale.coordination.leadership import TICK_S, Leadership
from lynxscale.coordination.lease import LEASE_S, NEVER
from lynxscale.coordination.member_context import MemberContext
from lynxscale.coordination.member_role import MemberRole, RoleChange, RoleState
from lynxscale.coordination.membership_plan import voters_wanted
from lynxscale.coordination.messages import (
    Accept,
    Accepted,
    CandidacyAnnounced,
    DigestReply,
    DigestRequest,
    EpochRecord,
    Join,
    LeaseGrant,
    LeaseRelease,
    LeaseRequest,
    LeaveApproved,
    Message,
    Position,
    Prepare,
    PrepareRejected,
    PreVote,
    PreVoteReply,
    Promise,
    Put,
    Redirect,
    Replicate,
    ReplicateAck,
    SnapshotChunk,
    SnapshotProbe,
    SnapshotProgress,
    TakeOver,
)
from lynxscale.coordination.outcomes import CommitCallback, CommitOutcome
from lynxscale.coordination.ports import Clock, Files, Network
from lynxscale.coordination.primary_tracker import PrimaryTracker
from lynxscale.coordination.proposal import Proposal
from lynxscale.coordination.proposer import Proposer
from lynxscale.coordination.quorum import DecidedRecord
from lynxscale.coordination.store import Store
from lynxscale.coordination.voter import Voter

log = logging.getLogger(__name__)

WATERMARK_INTERVAL_S = 1.0  # interval between two writes of the watermark

MessageHandler = Callable[[Any], None]  # accepts only messages of the class that it is registered for


@dataclass(frozen=True, slots=True)
class MemberSettings:
    """The configuration of a member.

    ``node``: the name of its machine. ``contacts``: internal addresses of members to announce itself to.
    ``tolerated``: number of machines that may be lost at the same time.
    """

    node: str
    contacts: tuple[str, ...]
    tolerated: int


class ControlMember:
    """One member of the group that replicates the control state.

    ``on_leadership_change(leads)`` is called when this member becomes primary or stops being primary.

    ``contacts`` and ``retiring`` (names of machines that are being retired) may be set at any time.
    """

    def __init__(
        self,
        settings: MemberSettings,
        state_file: AcceptorStateFile,
        clock: Clock,
        network: Network,
        files: Files,
        random: Random,
        on_leadership_change: Callable[[bool], None],
    ) -> None:
        self.settings = settings
        self.member_id = state_file.state.member
        self.contacts = settings.contacts
        self.retiring: frozenset[str] = frozenset()
        self.acceptor = Acceptor(state_file, clock, LEASE_S)
        self.store = Store(files, self._defer_write)
        self.leadership: Leadership | None = None
        self._clock = clock
        self._network = network
        self._on_leadership_change = on_leadership_change
        self._graceful_leave = GracefulLeave()
        self._disk = DiskFailureHandler(clock, self._step_down)
        role = MemberRole.BACKUP if self.member_id in self.record.voters else MemberRole.JOINING
        self._role = RoleState(role, self._epoch, self._on_role_change)
        tracker = PrimaryTracker(self.acceptor, self._role, clock, self.leads)
        self._tracker = tracker
        context = MemberContext(
            settings.node, self.acceptor, self.store, clock, network, self._role, tracker, self._graceful_leave
        )
        position = self._replica_position
        self._proposer = Proposer(self.acceptor, clock, network, position, self._choose_record, self._on_epoch_decided)
        self._campaign = ElectionCampaign(
            self.acceptor, clock, network, random, position, self._eligible, self._on_pre_vote_won
        )
        self._candidacy = Candidacy(context, self._campaign, self._proposer, self._disk, settings.tolerated)
        self._voter = Voter(context, self._campaign)
        self._joining = JoinProtocol(context, lambda: self.contacts)
        self._follower = Follower(self.member_id, self.store, network, self._accepts_writes_of, self._recorded_primary)
        self._scrub = StorageScrub(files, self.acceptor, self.store, self._memory_is_at_position)
        self._handlers = self._message_handlers()
        self._watermark_at = NEVER
        self._start()

    def _start(self) -> None:
        # A restarted primary does not hold its lease any more but is still its recorded holder, so the voters do not
        # make it wait: it may become a candidate immediately.
        may_stand_at_once = self.record.epoch == 0 or self.record.primary == self.member_id
        self._campaign.postpone(0.0 if may_stand_at_once else LEASE_S)
        self._clock.call_later(TICK_S, self._on_tick)
        if not self.store.intact:
            log.error("event=storage_incomplete damage=%s", ",".join(self.store.damage))

    # Process interface ---------------------------------------------------------------------------------

    @property
    def role(self) -> MemberRole:
        """This member's current role."""
        return self._role.current

    @property
    def record(self) -> EpochRecord:
        """The latest epoch record that this member accepted or adopted; it may be undecided."""
        return self.acceptor.record

    @property
    def min_members(self) -> int:
        """The number of members that the group needs to survive the tolerated losses."""
        return voters_wanted(self.settings.tolerated)

    def leads(self) -> bool:
        """Is this the established primary, with a valid lease and all earlier commits?"""
        return self.leadership is not None and self.leadership.established

    def primary(self) -> str:
        """The primary's internal address, empty if no heartbeat arrived within ``LEASE_S``."""
        return self._tracker.address()

    def submit(self, puts: tuple[Put, ...], on_outcome: CommitCallback) -> None:
        """Submit a change of the state; ``on_outcome(outcome)`` is called once its outcome is known."""
        leadership = self.leadership
        if leadership is not None and leadership.established:
            leadership.replicator.submit(puts, on_outcome)
        else:
            on_outcome(CommitOutcome.NOT_LEADER)

    def barrier(self, on_outcome: CommitCallback) -> None:
        """Report ``COMMITTED`` once everything submitted before is committed, if the lease is still valid then."""
        leadership = self.leadership
        if leadership is not None and leadership.established:
            leadership.replicator.barrier(
                lambda outcome: on_outcome(outcome if self.leads() else CommitOutcome.UNKNOWN)
            )
        else:
            on_outcome(CommitOutcome.NOT_LEADER)

    def leave(self, on_approved: Callable[[], None]) -> None:
        """Leave before the process stops. ``on_approved()`` is called once nothing depends on this member."""
        self._graceful_leave.request(on_approved)
        self._campaign.leaving = True
        self._transfer_leadership()
        self._joining.announce()

    # Messages ------------------------------------------------------------------------------------------

    def receive(self, message: Message) -> bool:
        """Handle a message between members; False for messages of other types."""
        handler = self._handlers.get(type(message))
        if handler is None:
            return False
        self._disk.guard(handler, message)
        return True

    def _message_handlers(self) -> dict[type[Message], MessageHandler]:
        """The component that handles each type of message."""
        return {
            PreVote: self._campaign.on_pre_vote,
            PreVoteReply: self._campaign.on_reply,
            CandidacyAnnounced: self._campaign.on_candidacy_announced,
            Prepare: self._voter.on_prepare,
            Promise: self._proposer.on_promise,
            PrepareRejected: self._candidacy.on_prepare_rejected,
            Accept: self._voter.on_accept,
            Accepted: self._proposer.on_accepted,
            LeaseRequest: self._voter.on_lease_request,
            LeaseRelease: self._voter.on_lease_release,
            TakeOver: self._candidacy.on_take_over,
            Join: self._on_join,
            LeaveApproved: self._joining.on_leave_approved,
            Redirect: self._joining.on_redirect,
            Replicate: self._follower.on_replicate,
            SnapshotChunk: self._follower.on_snapshot_chunk,
            SnapshotProbe: self._follower.on_snapshot_probe,
            DigestRequest: self._follower.on_digest_request,
            LeaseGrant: self._forward_to_leadership,
            SnapshotProgress: self._forward_to_leadership,
            ReplicateAck: self._forward_to_leadership,
            DigestReply: self._forward_to_leadership,
        }

    def _forward_to_leadership(self, message: LeaseGrant | SnapshotProgress | ReplicateAck | DigestReply) -> None:
        """Forward a response to the primary, unless it belongs to another epoch."""
        if self.leadership is not None and message.epoch == self.record.epoch:
            self.leadership.receive(message)

    def _on_join(self, message: Join) -> None:
        if self.leadership is not None:
            self.leadership.on_join(message)
        else:
            self._joining.redirect(message)

    # Callbacks of the components -----------------------------------------------------------------------

    def _epoch(self) -> int:
        return self.record.epoch

    def _replica_position(self) -> Position:
        return self.store.durable_position

    def _memory_is_at_position(self) -> bool:
        return self.leadership is None or self.leadership.replicator.memory_is_at_position()

    def _recorded_primary(self) -> str:
        return self.record.primary

    def _retiring_nodes(self) -> frozenset[str]:
        return self.retiring

    def _eligible(self) -> bool:
        return self._candidacy.eligible

    def _on_pre_vote_won(self, more_complete: str) -> None:
        self._candidacy.on_pre_vote_won(more_complete)

    def _accepts_writes_of(self, epoch: int) -> bool:
        """May a primary of that epoch still write to this replica? False once a later epoch was promised."""
        current = epoch == self.record.epoch and self.acceptor.state.promised <= epoch
        return current and self.role is not MemberRole.PRIMARY

    def _choose_record(self, proposal: Proposal) -> EpochRecord | None:
        """The record to propose: a primary's next plan, or a candidate's record that names itself primary."""
        if self.leadership is not None and proposal.base.primary == self.member_id:
            return self.leadership.plan(proposal)
        return self._candidacy.choose_record(proposal)

    def _on_epoch_decided(self, decided: DecidedRecord, positions: Mapping[str, Position]) -> None:
        record = decided.record
        if self.role is MemberRole.CANDIDATE:
            self._role.apply(RoleChange.EPOCH_DECIDED)
        if self.leadership is not None:
            sizes = len(record.in_sync), len(record.voters)
            log.info("event=epoch epoch=%d in_sync=%d voters=%d", record.epoch, *sizes)
            self.leadership.begin_epoch(decided, positions)

    # Time ----------------------------------------------------------------------------------------------

    def _on_tick(self) -> None:
        self._clock.call_later(TICK_S, self._on_tick)
        self._disk.guard(self._do_periodic_work, self._clock.now())

    def _do_periodic_work(self, now: float) -> None:
        if self.leadership is not None:
            self._tick_primary(self.leadership)
        else:
            self._candidacy.check_timeout()
        self._joining.announce_if_due()
        if now - self._watermark_at >= WATERMARK_INTERVAL_S:
            self._watermark_at = now
            self.store.save_watermark()
        self._scrub.tick(now)

    def _tick_primary(self, leadership: Leadership) -> None:
        if leadership.lost:
            log.warning("event=lease_lost epoch=%d", self.record.epoch)
            leadership.release_lease()
            self._role.apply(RoleChange.LEASE_EXPIRED)
            return
        if self.settings.node in self.retiring or self._graceful_leave.requested:
            self._transfer_leadership()
        if self.leadership is not None:
            self.leadership.tick()

    # Leadership ----------------------------------------------------------------------------------------

    def _on_role_change(self, before: MemberRole, after: MemberRole) -> None:
        if after is not MemberRole.CANDIDATE:
            self._proposer.cancel()
        if after is MemberRole.PRIMARY:
            self._start_leading()
        elif before is MemberRole.PRIMARY:
            self._stop_leading()

    def _start_leading(self) -> None:
        self.leadership = Leadership(
            self.settings.node,
            self.acceptor,
            self.store,
            self._clock,
            self._network,
            self._proposer,
            self.settings.tolerated,
            self._retiring_nodes,
            self._disk.on_failure,
        )
        self._on_leadership_change(True)

    def _stop_leading(self) -> None:
        self._campaign.postpone(LEASE_S)
        leadership, self.leadership = self.leadership, None
        if leadership is not None:
            leadership.end()
        self._on_leadership_change(False)

    def _transfer_leadership(self) -> None:
        """As primary, let another in-sync member take over, and become its backup."""
        if self.leadership is not None and self.leadership.transfer_leadership():
            self._role.apply(RoleChange.TRANSFERRED_LEADERSHIP)

    # Disk failures -------------------------------------------------------------------------------------

    def _defer_write(self, step: Callable[[], None]) -> None:
        """Run one step of a long write in a later iteration of the event loop, so that other work is not delayed."""
        self._clock.call_later(0.0, lambda: self._run_write_step(step))

    def _run_write_step(self, step: Callable[[], None]) -> None:
        try:
            step()
        except OSError as error:
            self._follower.discard_transfer()
            self._disk.on_failure(error)

    def _step_down(self) -> None:
        if self.leadership is not None:
            self.leadership.transfer_leadership()
        if self._role.is_any_of(MemberRole.PRIMARY, MemberRole.CANDIDATE):
            self._role.apply(RoleChange.DISK_FAILED)
        self._campaign.postpone_at_least(DISK_FAILURE_COOLDOWN_S)
