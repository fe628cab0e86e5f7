"""A control member: witness, replica and, in its epoch, primary.

States: JOINING (no vote yet), BACKUP, CANDIDATE (asks the witnesses for an epoch of its own), PRIMARY (holds a lease
from a majority of the witnesses and stops before it ends) and LEAVING. ``_become`` is the one place of change.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from random import Random

from lynxscale.coordination import messages as m
from lynxscale.coordination.epochs import Proposal, Witness, majority
from lynxscale.coordination.ports import Clock, Files, Network, Timer
from lynxscale.coordination.replication import Replicator
from lynxscale.coordination.store import Store
from lynxscale.coordination.voters import FOUNDERS, PeerView, PlanInput, plan_record

log = logging.getLogger(__name__)

TICK_S = 0.05
HEARTBEAT_S = 0.08
LEASE_S = 0.4
LEASE_MARGIN = 0.85  # the holder's share of a lease: its clock may run slower than the witnesses'
ROUND_TIMEOUT_S = 0.25  # for the answers to a prepare or an accept
RANK_DELAY_S = 0.07  # between the in-sync members' candidacies, so that they seldom meet
JOIN_EVERY_S = 0.25
SILENT_AFTER_S = 0.32  # a member unheard so long is not waited for
DISK_ASIDE_S = 1.0  # a member whose disk failed does not stand for so long
PRESENT_S = 3.0  # a machine unheard for so long is none that could be emptied
KEEP_ROUNDS = 16  # heartbeats whose grants are still counted


class State(Enum):
    """Where a member stands."""

    JOINING = "joining"
    BACKUP = "backup"
    CANDIDATE = "candidate"
    PRIMARY = "primary"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class MemberSettings:
    """Who a member is.

    ``member``: own id; ``node``: its machine's name; ``contacts``: internal addresses to join by; ``tolerated``:
    machines that may be lost at once.
    """

    member: str
    node: str
    contacts: tuple[str, ...]
    tolerated: int
    founding: m.EpochRecord


class ControlMember:
    """One member of the group that holds the control state."""

    def __init__(
        self,
        settings: MemberSettings,
        clock: Clock,
        network: Network,
        files: Files,
        random: Random,
        on_lead: Callable[[bool], None],
    ) -> None:
        self.settings = settings
        self.me = settings.member
        self.contacts = settings.contacts
        self.witness = Witness(self.me, settings.founding, clock, files, LEASE_S)
        self.state = State.BACKUP if self.me in self.witness.record.witnesses else State.JOINING
        self.store = Store(files)
        self.retiring: frozenset[str] = frozenset()
        self.peers: dict[str, PeerView] = {}
        self.replicator: Replicator | None = None
        self._clock = clock
        self._network = network
        self._random = random
        self._on_lead = on_lead
        self._proposal: Proposal | None = None
        self._proposal_at = self._heartbeat_at = self._join_at = -1e9
        self._highest_denied = self._open_epoch = 0
        self._disk_failed_at = -1e9
        self._lease_until = self._lead_at = -1e9
        self._round = 0
        self._round_sent: dict[int, float] = {}
        self._round_granted: dict[int, set[str]] = {}
        self._primary_heard_at = clock.now()
        # A primary whose process ended holds no lease any more: it may stand at once, and the others let it.
        free = self.record.epoch == 0 or self.record.primary == self.me
        self._candidate_at = clock.now() + self._candidacy_delay(0.0 if free else LEASE_S)
        self._state_parts: dict[int, m.StatePart] = {}
        self._timer: Timer = clock.call_later(TICK_S, self._tick)

    # What others ask -----------------------------------------------------------------------------

    @property
    def record(self) -> m.EpochRecord:
        """The record of epochs known here."""
        return self.witness.record

    def leads(self) -> bool:
        """Is this the primary, with its lease running and all that earlier primaries committed at hand?"""
        held = self.state is State.PRIMARY and self._clock.now() < self._lease_until
        return held and self.replicator.committed.epoch > 0

    def primary(self) -> str:
        """The primary's internal address, empty where none was heard of lately."""
        if self.leads():
            return m.address_of(self.me)
        recent = self._clock.now() - self._primary_heard_at < LEASE_S
        other = self.record.primary != self.me
        return m.address_of(self.record.primary) if recent and other and self.state is not State.PRIMARY else ""

    def submit(self, puts: tuple[m.Put, ...], done: Callable[[bool], None]) -> None:
        """Change the state as primary; ``done`` as in Replicator.submit."""
        if self.leads():
            self.replicator.submit(puts, done)
        else:
            done(False)

    def barrier(self, done: Callable[[bool], None]) -> None:
        """``done(True)`` once everything submitted before is committed and the lease still runs."""
        if self.leads():
            self.replicator.barrier(lambda committed: done(committed and self.leads()))
        else:
            done(False)

    @property
    def least_members(self) -> int:
        """With fewer the group could not bear the tolerated losses."""
        return max(FOUNDERS, 2 * self.settings.tolerated + 1)

    def present_nodes(self) -> set[str]:
        """Machines that the primary hears of."""
        oldest = self._clock.now() - PRESENT_S
        return {self.settings.node} | {peer.node for peer in self.peers.values() if peer.heard_at > oldest}

    def is_empty(self, node: str) -> bool:
        """As primary: does no copy that counts stand on the machine, and are there enough without it?"""
        own = self.settings.node == node
        there = {one for one, peer in self.peers.items() if peer.node == node}
        counted = {*self.record.in_sync, *self.record.witnesses}
        enough = len(self.record.in_sync) > self.settings.tolerated
        return not own and not there & counted and enough and self._proposal is None

    def scrub(self) -> None:
        """As primary, compare the copies with the own one; a copy that differs is sent anew."""
        if self.leads() and self.replicator.idle:
            others = tuple(one for one in self.record.in_sync if one != self.me)
            self._send_all(others, m.DigestRequest(self.record.epoch, self.store.position))

    def leave(self) -> None:
        """Hand over what this member holds; it takes no part any more."""
        if self.state is State.PRIMARY:
            self._hand_over()
        self._become(State.LEAVING)
        self._announce(leaving=True)

    def yield_lead(self) -> None:
        """As primary, let another in-sync member take over, and stay as its backup."""
        if self.state is State.PRIMARY and self._hand_over():
            self._become(State.BACKUP)

    def stop(self) -> None:
        """No more timers."""
        self._timer.cancel()

    # Messages ------------------------------------------------------------------------------------

    def receive(self, message: m.Message) -> bool:
        """Handle a message of the members; False where it is of another kind."""
        handler = self._HANDLERS.get(type(message))
        if handler is None:
            return False
        try:
            handler(self, message)
        except OSError as error:
            self._on_disk_failure(error)
        return True

    def _on_prepare(self, message: m.Prepare) -> None:
        answer = self.witness.prepare(message)
        if isinstance(answer, m.Promise) and message.candidate != self.me and self.state is State.PRIMARY:
            self._become(State.BACKUP)
        self._network.send(m.address_of(message.candidate), answer)

    def _on_accept(self, message: m.Accept) -> None:
        answer = self.witness.accept(message.record)
        if answer is not None:
            self._network.send(m.address_of(message.record.primary), answer)

    def _on_promise(self, message: m.Promise) -> None:
        proposal = self._proposal
        if proposal is None or not proposal.promise(message):
            if proposal is not None and proposal.record is None:
                self._ask_new_voters(proposal)
            return
        record = self._choose(proposal)
        if record is None:
            self._proposal = None
            return
        proposal.record = record
        self._open_epoch = 0
        if self.state is State.PRIMARY:
            self.replicator.require_also(set(proposal.base.in_sync) | set(record.in_sync))
        self._send_all(proposal.voters, m.Accept(record))

    def _ask_new_voters(self, proposal: Proposal) -> None:
        base = proposal.base
        if base is not None and not set(base.witnesses) <= set(self.record.witnesses):
            missing = [one for one in base.witnesses if one not in proposal.promised]
            self._send_all(tuple(missing), m.Prepare(proposal.epoch, self.me))

    def _choose(self, proposal: Proposal) -> m.EpochRecord | None:
        """The record to propose: as primary the planned one, as candidate oneself, if in sync."""
        base = proposal.base
        if self.state is State.PRIMARY:
            if base.primary != self.me:
                self._become(State.BACKUP)
                return None
            return plan_record(self._plan_input(base), proposal.epoch)
        if self.me not in base.in_sync:
            self.witness.learn(base)
            self._become(State.BACKUP)
            return None
        present = tuple(one for one in base.in_sync if one in proposal.promised or one == self.me)
        enough = len(present) > self.settings.tolerated
        return m.EpochRecord(proposal.epoch, self.me, present if enough else base.in_sync, base.witnesses)

    def _on_deny(self, message: m.Deny) -> None:
        if self._proposal is None or message.epoch != self._proposal.epoch or self._proposal.record is not None:
            return
        self._highest_denied = max(self._highest_denied, message.promised)
        if self.state is State.CANDIDATE:
            wait = message.lease_left + self._random.uniform(0.01, 0.1)
            self._candidate_at = min(max(self._candidate_at, self._clock.now() + wait), self._clock.now() + LEASE_S)

    def _on_accepted(self, message: m.Accepted) -> None:
        proposal = self._proposal
        if proposal is None or not proposal.accept(message):
            return
        self._proposal = None
        record = proposal.record
        self.witness.learn(record)
        if self.state is State.PRIMARY:
            self._begin_epoch(record)
        elif self.state is State.CANDIDATE:
            self._become(State.PRIMARY)
            self._begin_epoch(record)

    def _begin_epoch(self, record: m.EpochRecord) -> None:
        counts = len(record.in_sync), len(record.witnesses)
        log.info("event=epoch epoch=%d in_sync=%d witnesses=%d", record.epoch, *counts)
        self._round_sent, self._round_granted = {}, {}
        self._heartbeat()
        self.replicator.begin(record)
        self.replicator.forget(set(record.witnesses))

    def _on_lease_request(self, message: m.LeaseRequest) -> None:
        record = message.record
        if record.epoch < self.record.epoch:
            self._network.send(m.address_of(record.primary), m.Redirect(self.primary(), self.record.epoch))
            return
        self.witness.learn(record)
        if record.primary == self.me:
            return
        if self.state in (State.PRIMARY, State.CANDIDATE):
            self._become(State.BACKUP)
        if self.state in (State.BACKUP, State.JOINING):
            self._become(State.BACKUP if self.me in record.witnesses else State.JOINING)
        self._primary_heard_at = self._clock.now()
        self._candidate_at = self._clock.now() + self._candidacy_delay(LEASE_S)
        granted = self.state is not State.LEAVING and self.witness.grant(message)
        promised = self.witness.state.promised
        answer = m.LeaseGrant(
            record.epoch, message.round, self.me, self.settings.node, granted, promised, self.store.position
        )
        self._network.send(m.address_of(record.primary), answer)

    def _on_lease_grant(self, message: m.LeaseGrant) -> None:
        if self.state is not State.PRIMARY or message.epoch != self.record.epoch:
            return
        self._hear(message.member, message.node)
        if message.granted:
            self.peers[message.member].leaving = False
            self._count_grant(message.round, message.member)
        elif message.promised > self.record.epoch and message.member in self.record.witnesses:
            self._pass_promise(message.promised)
        self.replicator.on_position(message.member, message.position)

    def _pass_promise(self, promised: int) -> None:
        """A witness that promised a candidate's epoch, of which nothing came, is bound until a later one is decided."""
        self._highest_denied = max(self._highest_denied, promised)
        if self._proposal is None and self._clock.now() < self._lease_until:
            self._propose()

    def _count_grant(self, number: int, member: str) -> None:
        granted = self._round_granted.get(number)
        if granted is None:
            return
        granted.add(member)
        if majority(self.record.witnesses, granted):
            self._lease_until = max(self._lease_until, self._round_sent[number] + LEASE_S * LEASE_MARGIN)

    def _on_lease_release(self, message: m.LeaseRelease) -> None:
        self.witness.release(message.epoch)

    def _on_take_over(self, message: m.TakeOver) -> None:
        if message.epoch == self.record.epoch and self.state is State.BACKUP:
            self._candidate_at = self._clock.now()
            self._primary_heard_at = -1e9
            self._stand()

    def _on_join(self, message: m.Join) -> None:
        if self.state is not State.PRIMARY:
            if address := self.primary():
                self._network.send(m.address_of(message.member), m.Redirect(address, self.record.epoch))
            return
        self._hear(message.member, message.node)
        self.peers[message.member].leaving = message.leaving
        self._consider_plan()

    def _on_redirect(self, message: m.Redirect) -> None:
        if message.epoch > self.record.epoch and self.state is State.PRIMARY:
            self._become(State.BACKUP)
        if self.state is State.JOINING and message.primary:
            self._network.send(message.primary, m.Join(self.me, self.settings.node))

    def _on_replicate(self, message: m.Replicate) -> None:
        if not self._follows(message.epoch):
            return
        if message.batch.previous == self.store.position:
            self._save(message.batch)
        self._tell_position(message.epoch)

    def _save(self, batch: m.Batch) -> None:
        try:
            self.store.save(batch)
        except OSError as error:
            self._on_disk_failure(error)
            return
        self.store.apply(batch.puts)
        self.store.fold_if_due()

    def _on_state_part(self, message: m.StatePart) -> None:
        if not self._follows(message.epoch):
            return
        if message.part == 0:
            self._state_parts = {}
        self._state_parts[message.part] = message
        parts = self._state_parts.values()
        if len(parts) < message.parts or any(part.position != message.position for part in parts):
            return
        puts = tuple(put for number in sorted(self._state_parts) for put in self._state_parts[number].puts)
        self._state_parts = {}
        try:
            self.store.install(message.position, puts)
        except OSError as error:
            self._on_disk_failure(error)
        self._tell_position(message.epoch)

    def _follows(self, epoch: int) -> bool:
        """May a primary of that epoch still write here? Not once a later one was promised."""
        current = epoch == self.record.epoch and self.witness.state.promised <= epoch
        return current and self.state not in (State.PRIMARY, State.LEAVING)

    def _tell_position(self, epoch: int) -> None:
        answer = m.Stored(epoch, self.me, self.store.position)
        self._network.send(m.address_of(self.record.primary), answer)

    def _on_stored(self, message: m.Stored) -> None:
        if self.state is State.PRIMARY and message.epoch == self.record.epoch:
            self._hear(message.member)
            self.replicator.on_position(message.member, message.position)

    def _on_digest_request(self, message: m.DigestRequest) -> None:
        if self._follows(message.epoch) and message.position == self.store.position:
            answer = m.DigestReply(message.epoch, self.me, self.store.position, self.store.checksum())
            self._network.send(m.address_of(self.record.primary), answer)

    def _on_digest_reply(self, message: m.DigestReply) -> None:
        if self.state is not State.PRIMARY or message.epoch != self.record.epoch:
            return
        same_place = message.position == self.store.position and self.replicator.idle
        if same_place and message.checksum != self.store.checksum():
            log.error("event=copy_differs member=%s", message.member)
            self.replicator.repair(message.member)

    _HANDLERS = {
        m.Prepare: _on_prepare,
        m.Accept: _on_accept,
        m.Promise: _on_promise,
        m.Deny: _on_deny,
        m.Accepted: _on_accepted,
        m.LeaseRequest: _on_lease_request,
        m.LeaseGrant: _on_lease_grant,
        m.LeaseRelease: _on_lease_release,
        m.TakeOver: _on_take_over,
        m.Join: _on_join,
        m.Redirect: _on_redirect,
        m.Replicate: _on_replicate,
        m.StatePart: _on_state_part,
        m.Stored: _on_stored,
        m.DigestRequest: _on_digest_request,
        m.DigestReply: _on_digest_reply,
    }

    # Time ----------------------------------------------------------------------------------------

    def _tick(self) -> None:
        self._timer = self._clock.call_later(TICK_S, self._tick)
        now = self._clock.now()
        if self.state is State.PRIMARY:
            self._tick_primary(now)
        elif self.state in (State.BACKUP, State.CANDIDATE):
            self._tick_backup(now)
        if self.state is State.JOINING or (self.state is State.BACKUP and now - self._primary_heard_at > LEASE_S):
            self._tick_joining(now)

    def _tick_primary(self, now: float) -> None:
        if now >= max(self._lease_until, self._lead_at + LEASE_S):
            log.warning("event=lease_lost epoch=%d", self.record.epoch)
            self._become(State.BACKUP)
            return
        if now - self._heartbeat_at >= HEARTBEAT_S - TICK_S / 2:
            self._heartbeat()
        if self._proposal is not None and now - self._proposal_at > ROUND_TIMEOUT_S:
            self._propose()
        self._consider_plan()

    def _tick_backup(self, now: float) -> None:
        timed_out = self.state is State.CANDIDATE and now - self._proposal_at > ROUND_TIMEOUT_S
        if (
            timed_out
            and now >= self._candidate_at
            or self.state is State.BACKUP
            and now >= self._candidate_at
            and self._may_stand()
        ):
            self._stand()

    def _may_stand(self) -> bool:
        return self.me in self.record.in_sync and self.me in self.record.witnesses

    def _tick_joining(self, now: float) -> None:
        if now - self._join_at >= JOIN_EVERY_S:
            self._join_at = now
            self._announce(leaving=False)

    def _announce(self, leaving: bool) -> None:
        known = [m.address_of(one) for one in (self.record.primary, *self.record.witnesses) if one]
        own = m.address_of(self.me)
        for address in dict.fromkeys([*known, *self.contacts]):
            if address != own:
                self._network.send(address, m.Join(self.me, self.settings.node, leaving))

    def _candidacy_delay(self, after: float) -> float:
        in_sync = self.record.in_sync
        rank = in_sync.index(self.me) if self.me in in_sync else len(in_sync)
        return after + rank * RANK_DELAY_S + self._random.uniform(0.0, RANK_DELAY_S / 2)

    def _stand(self) -> None:
        self._become(State.CANDIDATE)
        self._propose()
        self._candidate_at = self._clock.now() + self._candidacy_delay(ROUND_TIMEOUT_S)

    def _propose(self) -> None:
        lowest = max(self.record.epoch, self._highest_denied) + 1
        # An epoch for which no record was sent may be tried again: a cut-off candidate must not climb for ever.
        epoch = self._open_epoch if self._open_epoch >= lowest else max(lowest, self.witness.state.promised + 1)
        self._open_epoch = epoch
        self._proposal = Proposal(epoch, self.me, self.record.witnesses)
        self._proposal_at = self._clock.now()
        self._send_all(self.record.witnesses, m.Prepare(epoch, self.me))

    def _heartbeat(self) -> None:
        now = self._clock.now()
        self._round += 1
        self._heartbeat_at = now
        self._round_sent[self._round] = now
        self._round_granted[self._round] = set()
        self._round_sent.pop(self._round - KEEP_ROUNDS, None)
        self._round_granted.pop(self._round - KEEP_ROUNDS, None)
        request = m.LeaseRequest(self.record, self._round)
        others = dict.fromkeys((*self.record.witnesses, *self.peers))
        self._send_all(tuple(one for one in others if one != self.me), request)
        if self.witness.grant(request):
            self._count_grant(self._round, self.me)

    def _send_all(self, members: tuple[str, ...], message: m.Message) -> None:
        for one in members:
            self._network.send(m.address_of(one), message)

    # Members -------------------------------------------------------------------------------------

    def _hear(self, member: str, node: str = "") -> None:
        peer = self.peers.setdefault(member, PeerView())
        peer.heard_at = self._clock.now()
        peer.node = node or peer.node

    def _plan_input(self, base: m.EpochRecord) -> PlanInput:
        return PlanInput(
            base=base,
            me=self.me,
            now=self._clock.now(),
            silent_after=SILENT_AFTER_S,
            tolerated=self.settings.tolerated,
            peers=self.peers,
            caught_up={one for one in self.peers if self.replicator.caught_up(one)},
            lagging=self.replicator.lagging(),
            retiring={one for one in self.peers if self.peers[one].node in self.retiring},
        )

    def _consider_plan(self) -> None:
        holds_lease = self.state is State.PRIMARY and self._clock.now() < self._lease_until
        if self._proposal is not None or not holds_lease:
            return
        if self.settings.node in self.retiring:
            self.yield_lead()
            return
        record = self.record
        planned = plan_record(self._plan_input(record), record.epoch)
        if (planned.in_sync, planned.witnesses) != (record.in_sync, record.witnesses):
            self._propose()

    def _hand_over(self) -> bool:
        ready = [one for one in self.record.in_sync if one != self.me and self.replicator.caught_up(one)]
        ready = [one for one in ready if self._clock.now() - self.peers[one].heard_at < SILENT_AFTER_S]
        if not ready:
            return False
        self._lease_until = -1e9
        self.witness.release(self.record.epoch)
        self._send_all(self.record.witnesses, m.LeaseRelease(self.record.epoch))
        self._network.send(m.address_of(ready[0]), m.TakeOver(self.record.epoch))
        return True

    # The one change of state -----------------------------------------------------------------------

    def _become(self, state: State) -> None:
        before, self.state = self.state, state
        if before is state:
            return
        log.info("event=state state=%s epoch=%d", state.value, self.record.epoch)
        if state is not State.CANDIDATE:
            self._proposal = None
        if state is State.PRIMARY:
            self._start_leading()
        elif before is State.PRIMARY:
            self._stop_leading()

    def _start_leading(self) -> None:
        now = self._lead_at = self._clock.now()
        self.peers = {one: PeerView(heard_at=now) for one in self.record.witnesses if one != self.me}
        self._lease_until = -1e9
        self.replicator = Replicator(
            self.me,
            self.store,
            self._clock,
            self._network,
            self.settings.tolerated + 1,
            self._on_disk_failure,
        )
        self._on_lead(True)

    def _stop_leading(self) -> None:
        self._lease_until = -1e9
        self._candidate_at = self._clock.now() + self._candidacy_delay(LEASE_S)
        replicator, self.replicator = self.replicator, None
        replicator.abandon()
        self._on_lead(False)

    def _on_disk_failure(self, error: OSError) -> None:
        """This member can promise and store nothing: it stands aside for a while."""
        now = self._clock.now()
        if now - self._disk_failed_at > DISK_ASIDE_S:
            log.error("event=disk_failed error=%s", error)
            self._disk_failed_at = now
        if self.state is State.PRIMARY:
            self._hand_over()
        if self.state in (State.PRIMARY, State.CANDIDATE):
            self._become(State.BACKUP)
        self._candidate_at = max(self._candidate_at, now + DISK_ASIDE_S)
