"""A control member: acceptor, replica and, in its epoch, primary.

States: JOINING (no vote yet), BACKUP, CANDIDATE (asks the voters for an epoch of its own) and PRIMARY (holds a lease
from a majority of the voters and stops before it ends). ``_become`` is the one place of change. A member that is
about to stop keeps its state until it is released (``graceful_leave.py``).
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from random import Random

from lynxscale.coordination.acceptor import Acceptor, Proposal
from lynxscale.coordination.acceptor_state import AcceptorStateFile
from lynxscale.coordination.election import ElectionCampaign
from lynxscale.coordination.eligibility import CandidacyDecision, decide_candidacy
from lynxscale.coordination.follower import Follower
from lynxscale.coordination.graceful_leave import GracefulLeave
from lynxscale.coordination.leadership import TICK_S, Leadership
from lynxscale.coordination.lease import LEASE_S
from lynxscale.coordination.membership_plan import MIN_VOTERS
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
    address_of,
)
from lynxscale.coordination.outcomes import CommitCallback, CommitOutcome
from lynxscale.coordination.ports import Clock, Files, Network
from lynxscale.coordination.proposer import Proposer
from lynxscale.coordination.store import Store

log = logging.getLogger(__name__)

JOIN_INTERVAL_S = 0.25
DISK_FAILURE_COOLDOWN_S = 1.0  # a member whose disk failed does not stand for so long
LEAVE_INTERVAL_S = 0.1  # a member that is about to stop tells so
WATERMARK_INTERVAL_S = 1.0  # the position is noted apart from the versions


class State(Enum):
    """Where a member stands."""

    JOINING = "joining"
    BACKUP = "backup"
    CANDIDATE = "candidate"
    PRIMARY = "primary"


@dataclass(frozen=True, slots=True)
class MemberSettings:
    """Who a member is.

    ``node``: its machine's name; ``contacts``: internal addresses to join by; ``tolerated``: machines that may be lost
    at once.
    """

    node: str
    contacts: tuple[str, ...]
    tolerated: int


class ControlMember:
    """One member of the group that holds the control state. ``on_lead(leading)`` is told of its leads."""

    def __init__(
        self,
        settings: MemberSettings,
        register: AcceptorStateFile,
        clock: Clock,
        network: Network,
        files: Files,
        random: Random,
        on_lead: Callable[[bool], None],
    ) -> None:
        self.settings = settings
        self.me = register.state.member
        self.contacts = settings.contacts
        self.acceptor = Acceptor(register, clock, LEASE_S)
        self.state = State.BACKUP if self.me in self.acceptor.record.voters else State.JOINING
        self.store = Store(files, self._defer)
        self.departure = GracefulLeave()
        self.retiring: frozenset[str] = frozenset()
        self.leadership: Leadership | None = None
        self._clock = clock
        self._network = network
        self._random = random
        self._on_lead = on_lead
        self._proposer = Proposer(self.acceptor, clock, network, self._held, self._choose, self._decided)
        self._follower = Follower(self.me, self.store, network, self._follows, self._recorded_primary)
        self._campaign = ElectionCampaign(
            self.acceptor, clock, network, random, self._held, self._eligible, self._on_pre_vote_won
        )
        self._handlers = self._message_handlers()
        self._join_at = self._disk_failed_at = self._mark_at = -1e9
        self._primary_heard_at = clock.now()
        # A primary whose process ended holds no lease any more: it may stand at once, and the others let it.
        free = self.record.epoch == 0 or self.record.primary == self.me
        self._campaign.wait(0.0 if free else LEASE_S)
        clock.call_later(TICK_S, self._tick)
        if not self.store.intact:
            log.error("event=files_missing damage=%s", ",".join(self.store.damage))

    # What the process asks ---------------------------------------------------------------------------

    @property
    def record(self) -> EpochRecord:
        """The record of epochs known here."""
        return self.acceptor.record

    @property
    def min_members(self) -> int:
        """With fewer the group could not bear the tolerated losses."""
        return max(MIN_VOTERS, 2 * self.settings.tolerated + 1)

    def leads(self) -> bool:
        """Is this the primary, with its lease running and all that earlier primaries committed at hand?"""
        return self.leadership is not None and self.leadership.established

    def primary(self) -> str:
        """The primary's internal address, empty where none was heard of lately."""
        if self.leads():
            return address_of(self.me)
        recent = self._clock.now() - self._primary_heard_at < LEASE_S
        other = self.record.primary != self.me and self.state is not State.PRIMARY
        return address_of(self.record.primary) if recent and other else ""

    def submit(self, puts: tuple[Put, ...], on_outcome: CommitCallback) -> None:
        """Change the state as primary; ``on_outcome(outcome)`` once it is known what became of the change."""
        if self.leads():
            self.leadership.replicator.submit(puts, on_outcome)
        else:
            on_outcome(CommitOutcome.NOT_LEADER)

    def barrier(self, on_outcome: CommitCallback) -> None:
        """``COMMITTED`` once everything submitted before is committed and the lease still runs."""
        if self.leads():
            self.leadership.replicator.barrier(
                lambda outcome: on_outcome(outcome if self.leads() else CommitOutcome.UNKNOWN)
            )
        else:
            on_outcome(CommitOutcome.NOT_LEADER)

    def leave(self, on_release: Callable[[], None]) -> None:
        """The process is to stop. It votes and copies on; ``on_release()`` once nothing depends on it any more."""
        self.departure.begin(on_release)
        self._campaign.leaving = True
        self.step_down_in_favour()
        self._announce()

    def step_down_in_favour(self) -> None:
        """As primary, let another in-sync member take over, and stay as its backup."""
        if self.leadership is not None and self.leadership.transfer_leadership():
            self._become(State.BACKUP)

    # Messages ------------------------------------------------------------------------------------

    def receive(self, message: Message) -> bool:
        """Handle a message of the members; False where it is of another kind."""
        handler = self._handlers.get(type(message))
        if handler is None:
            return False
        try:
            handler(message)
        except OSError as error:
            self._on_disk_failure(error)
        return True

    def _on_prepare(self, message: Prepare) -> None:
        answer = self.acceptor.prepare(message, self._held())
        if isinstance(answer, Promise):
            self._campaign.support(message.candidate)
            if message.candidate != self.me and self.state is State.PRIMARY:
                self._become(State.BACKUP)
        self._network.send(address_of(message.candidate), answer)

    def _on_prepare_rejected(self, message: PrepareRejected) -> None:
        if self._proposer.on_prepare_rejected(message) and self.state is State.CANDIDATE:
            self._wait_for_lease(message.lease_left)

    def _wait_for_lease(self, lease_left: float) -> None:
        self._become(State.BACKUP)
        self._campaign.wait(min(lease_left, LEASE_S))

    def _on_accept(self, message: Accept) -> None:
        answer = self.acceptor.accept(message.record)
        if answer is not None:
            self._campaign.support(message.record.primary)
            self._network.send(address_of(message.record.primary), answer)

    def _on_lease_request(self, message: LeaseRequest) -> None:
        record = message.record
        if record.epoch < self.record.epoch:
            self._network.send(address_of(record.primary), Redirect(self.primary(), self.record.epoch))
            return
        self.acceptor.learn(record)
        if record.primary == self.me:
            return
        self._become(State.BACKUP if self.me in record.voters else State.JOINING)
        self._primary_heard_at = self._clock.now()
        self._campaign.on_primary_heartbeat()
        granted = self.acceptor.grant(message)
        promised = self.acceptor.state.promised
        answer = LeaseGrant(
            record.epoch,
            message.round,
            self.me,
            self.settings.node,
            granted,
            promised,
            self._held(),
            self.departure.leaving,
        )
        self._network.send(address_of(record.primary), answer)

    def _on_lease_release(self, message: LeaseRelease) -> None:
        if message.epoch != self.record.epoch:
            return
        self.acceptor.release(message.epoch)
        if message.successor:
            self._campaign.support(message.successor)
        else:
            self._campaign.wait(0.0)

    def _on_take_over(self, message: TakeOver) -> None:
        if message.epoch == self.record.epoch and self.state is State.BACKUP and self._eligible():
            self._primary_heard_at = -1e9
            self._start_candidacy()

    def _on_join(self, message: Join) -> None:
        if self.leadership is not None:
            self.leadership.on_join(message)
        elif address := self.primary():
            self._network.send(address_of(message.member), Redirect(address, self.record.epoch))

    def _on_leave_approved(self, message: LeaveApproved) -> None:
        if message.epoch >= self.record.epoch and self.leadership is None:
            self.departure.release()

    def _on_redirect(self, message: Redirect) -> None:
        if message.epoch > self.record.epoch and self.state is State.PRIMARY:
            self._become(State.BACKUP)
        if self.state is State.JOINING and message.primary:
            self._network.send(message.primary, Join(self.me, self.settings.node, self.departure.leaving))

    def _message_handlers(self) -> dict[type[Message], Callable[[Message], None]]:
        """Whose business each message is: this member's own, or one of its parts'."""
        return {
            PreVote: self._campaign.on_pre_vote,
            PreVoteReply: self._campaign.on_reply,
            CandidacyAnnounced: self._campaign.on_candidacy_announced,
            Prepare: self._on_prepare,
            Promise: self._proposer.on_promise,
            PrepareRejected: self._on_prepare_rejected,
            Accept: self._on_accept,
            Accepted: self._proposer.on_accepted,
            LeaseRequest: self._on_lease_request,
            LeaseRelease: self._on_lease_release,
            TakeOver: self._on_take_over,
            Join: self._on_join,
            LeaveApproved: self._on_leave_approved,
            Redirect: self._on_redirect,
            Replicate: self._follower.on_replicate,
            SnapshotChunk: self._follower.on_state_part,
            SnapshotProbe: self._follower.on_transfer_ask,
            DigestRequest: self._follower.on_digest_request,
            LeaseGrant: self._forward_to_leadership,
            SnapshotProgress: self._forward_to_leadership,
            ReplicateAck: self._forward_to_leadership,
            DigestReply: self._forward_to_leadership,
        }

    def _forward_to_leadership(self, message: LeaseGrant | SnapshotProgress | ReplicateAck | DigestReply) -> None:
        """An answer to a primary, of this lead's present epoch."""
        if self.leadership is not None and message.epoch == self.record.epoch:
            self.leadership.receive(message)

    def _follows(self, epoch: int) -> bool:
        """May a primary of that epoch still write here? Not once a later one was promised."""
        current = epoch == self.record.epoch and self.acceptor.state.promised <= epoch
        return current and self.state is not State.PRIMARY

    # Rounds of the register ----------------------------------------------------------------------

    def _choose(self, proposal: Proposal) -> EpochRecord | None:
        """The record to propose: as primary the planned one, as candidate oneself, if in sync."""
        base = proposal.base
        if self.leadership is not None and base.primary == self.me:
            return self.leadership.plan(proposal)
        decided = CandidacyDecision()
        if self.state is State.CANDIDATE:
            decided = decide_candidacy(self.me, self._held(), proposal, self.settings.tolerated)
        if decided.further:
            self._yield_to(base, decided.further)
        elif decided.record is None:
            self.acceptor.learn(base)
            self._become(State.BACKUP if self.me in base.voters else State.JOINING)
        return decided.record

    def _yield_to(self, base: EpochRecord, further: str) -> None:
        log.warning("event=stands_aside member=%s", further)
        self._become(State.BACKUP)
        self._campaign.wait(LEASE_S)
        self._network.send(address_of(further), TakeOver(base.epoch))

    def _held(self) -> Position:
        return self.store.durable_position

    def _recorded_primary(self) -> str:
        return self.record.primary

    def _decided(self, record: EpochRecord) -> None:
        if self.state is State.CANDIDATE:
            self._become(State.PRIMARY)
        if self.leadership is not None:
            counts = len(record.in_sync), len(record.voters)
            log.info("event=epoch epoch=%d in_sync=%d voters=%d", record.epoch, *counts)
            self.leadership.begin_epoch(record)

    # Time ----------------------------------------------------------------------------------------

    def _tick(self) -> None:
        self._clock.call_later(TICK_S, self._tick)
        try:
            self._run_periodic_work()
        except OSError as error:
            self._on_disk_failure(error)

    def _run_periodic_work(self) -> None:
        now = self._clock.now()
        if self.leadership is not None:
            self._tick_primary()
        elif self.state is State.CANDIDATE and self._proposer.timed_out:
            self._become(State.BACKUP)
            self._campaign.wait(0.0)
        # Also as a candidate: others may have replaced this member meanwhile, and only a primary's heartbeat tells.
        waits = self.state in (State.BACKUP, State.CANDIDATE)
        unheard = waits and now - self._primary_heard_at > LEASE_S
        calls = self.state is State.JOINING or unheard
        every = LEAVE_INTERVAL_S if self.departure.pending else JOIN_INTERVAL_S
        if (calls or self.departure.pending) and now - self._join_at >= every:
            self._announce()
        if now - self._mark_at >= WATERMARK_INTERVAL_S:
            self._mark_at = now
            self.store.save_watermark()

    def _tick_primary(self) -> None:
        if self.leadership.lost:
            log.warning("event=lease_lost epoch=%d", self.record.epoch)
            self.leadership.release()
            self._become(State.BACKUP)
            return
        if self.settings.node in self.retiring or self.departure.leaving:
            self.step_down_in_favour()
        if self.leadership is not None:
            self.leadership.tick()

    def _eligible(self) -> bool:
        eligible = self.store.intact and self.me in self.record.in_sync and self.me in self.record.voters
        return eligible and self.state is State.BACKUP

    def _on_pre_vote_won(self, further: str) -> None:
        """A majority would promise; a member whose copy reaches further is to stand instead."""
        if further:
            self._yield_to(self.record, further)
        else:
            self._start_candidacy()

    def _start_candidacy(self) -> None:
        self._become(State.CANDIDATE)
        self._campaign.support(self.me)
        try:
            denied = self._proposer.propose()
        except OSError as error:
            self._on_disk_failure(error)
            return
        if denied is not None:
            self._wait_for_lease(denied.lease_left)

    def _announce(self) -> None:
        self._join_at = self._clock.now()
        primary = self.primary()
        if primary and not self.departure.pending:
            self._network.send(primary, Join(self.me, self.settings.node, False))
            return
        known = [address_of(one) for one in (self.record.primary, *self.record.voters) if one]
        own = address_of(self.me)
        for address in dict.fromkeys([*known, *self.contacts]):
            if address != own:
                self._network.send(address, Join(self.me, self.settings.node, self.departure.leaving))

    # The one change of state -----------------------------------------------------------------------

    def _become(self, state: State) -> None:
        before, self.state = self.state, state
        if before is state:
            return
        log.info("event=state state=%s epoch=%d", state.value, self.record.epoch)
        if state is not State.CANDIDATE:
            self._proposer.cancel()
        if state is State.PRIMARY:
            self._start_leading()
        elif before is State.PRIMARY:
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
            self._on_disk_failure,
        )
        self._on_lead(True)

    def _stop_leading(self) -> None:
        self._campaign.wait(LEASE_S)
        leadership, self.leadership = self.leadership, None
        leadership.end()
        self._on_lead(False)

    def _retiring_nodes(self) -> frozenset[str]:
        return self.retiring

    def _defer(self, step: Callable[[], None]) -> None:
        """Make a step of what is written once other work has had its turn."""
        self._clock.call_later(0.0, lambda: self._write_step(step))

    def _write_step(self, step: Callable[[], None]) -> None:
        try:
            step()
        except OSError as error:
            self._follower.abandon_transfer()
            self._on_disk_failure(error)

    def _on_disk_failure(self, error: OSError) -> None:
        """This member can promise and store nothing: it stands aside for a while."""
        now = self._clock.now()
        if now - self._disk_failed_at > DISK_FAILURE_COOLDOWN_S:
            log.error("event=disk_failed error=%s", error)
            self._disk_failed_at = now
        if self.leadership is not None:
            self.leadership.transfer_leadership()
        if self.state in (State.PRIMARY, State.CANDIDATE):
            self._become(State.BACKUP)
        self._campaign.wait_at_least(DISK_FAILURE_COOLDOWN_S)
