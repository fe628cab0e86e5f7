"""What a member does while it is primary: heartbeats, its lease, replication, and who votes and copies."""

from __future__ import annotations

import logging
from collections.abc import Callable

from lynxscale.coordination.acceptor import Acceptor, Proposal
from lynxscale.coordination.lease import LEASE_S, LeaderLease
from lynxscale.coordination.membership_plan import PeerView, PlanInput, can_remove, plan_next_record
from lynxscale.coordination.messages import (
    DigestReply,
    DigestRequest,
    EpochRecord,
    Join,
    LeaseGrant,
    LeaseRelease,
    LeaseRequest,
    LeaveApproved,
    Message,
    ReplicateAck,
    SnapshotProgress,
    TakeOver,
    address_of,
)
from lynxscale.coordination.ports import Clock, Network
from lynxscale.coordination.proposer import Proposer
from lynxscale.coordination.replication import Replicator
from lynxscale.coordination.store import Store

log = logging.getLogger(__name__)

TICK_S = 0.05
HEARTBEAT_S = 0.08
UNRESPONSIVE_AFTER_S = 0.32  # a member unheard so long is not waited for
MEMBERSHIP_KNOWN_AFTER_S = 0.6  # a lead so old has heard of everybody who is there
GONE_AFTER_S = 3.0  # a machine unheard for so long is gone, as far as a retirement goes


class Leadership:
    """One lead of one member, from the decision of its first epoch to its end.

    ``retiring()``: names of the machines that are to be emptied.
    """

    def __init__(
        self,
        node: str,
        acceptor: Acceptor,
        store: Store,
        clock: Clock,
        network: Network,
        proposer: Proposer,
        tolerated: int,
        retiring: Callable[[], frozenset[str]],
        on_disk_failure: Callable[[OSError], None],
    ) -> None:
        self.me = acceptor.member
        self.replicator = Replicator(self.me, store, clock, network, tolerated + 1, on_disk_failure)
        self.lease = LeaderLease(clock)
        self._node = node
        self._acceptor = acceptor
        self._store = store
        self._clock = clock
        self._network = network
        self._proposer = proposer
        self._tolerated = tolerated
        self._retiring = retiring
        self._begun_at = clock.now()
        self._heartbeat_at = -1e9
        others = dict.fromkeys((*acceptor.record.voters, *acceptor.record.in_sync))
        self._peers = {one: PeerView(heard_at=self._begun_at) for one in others if one != self.me}

    # State -------------------------------------------------------------------------------------------

    @property
    def established(self) -> bool:
        """Does the lease run, and is all that earlier primaries committed known to be so?"""
        return self.lease.held and self.replicator.committed.epoch > 0

    @property
    def lost(self) -> bool:
        """Has the lease ended, or did it never come about in a lease's time?"""
        return self._clock.now() >= max(self.lease.until, self._begun_at + LEASE_S)

    @property
    def peers(self) -> dict[str, PeerView]:
        """The other members that were heard of in this lead."""
        return self._peers

    @property
    def settled(self) -> bool:
        """Has this lead lasted long enough to have heard of every member that is there?"""
        return self._clock.now() - self._begun_at > MEMBERSHIP_KNOWN_AFTER_S

    def live_nodes(self) -> set[str]:
        """Machines that are heard of, and to stay."""
        return self._nodes_heard(UNRESPONSIVE_AFTER_S) - self._retiring()

    def possibly_live_nodes(self) -> set[str] | None:
        """Machines that may be there, also where they are silent just now; None where this lead cannot tell yet."""
        if self._clock.now() - self._begun_at < GONE_AFTER_S:
            return None
        return self._nodes_heard(GONE_AFTER_S) - self._retiring()

    def _nodes_heard(self, within_s: float) -> set[str]:
        oldest = self._clock.now() - within_s
        heard = {peer.node for peer in self._peers.values() if peer.heard_at > oldest and not peer.leaving}
        return (heard | {self._node}) - {""}

    def is_vacated(self, node: str) -> bool:
        """Does no copy that counts stand on the machine, and are there enough without it?

        Not before this lead has heard which members are on the machine.
        """
        record = self._acceptor.record
        counted = {*record.in_sync, *record.voters}
        unknown = any(not self._peers[one].node for one in counted if one != self.me and one in self._peers)
        there = {one for one, peer in self._peers.items() if peer.node == node}
        enough = len(record.in_sync) > self._tolerated
        known = self.settled and not unknown and not self._proposer.active
        return known and node != self._node and not there & counted and enough

    # What happens ------------------------------------------------------------------------------------

    def begin_epoch(self, record: EpochRecord) -> None:
        """A record with this member as primary was decided."""
        self.lease.discard_rounds()
        self.heartbeat()
        self.replicator.begin(record)
        self.replicator.retain_only(set(record.voters))

    def end(self) -> None:
        """Another may lead from now on."""
        self.lease.drop()
        self.replicator.abort()

    def tick(self) -> None:
        """Called every ``TICK_S``."""
        if self._clock.now() - self._heartbeat_at >= HEARTBEAT_S - TICK_S / 2:
            self.heartbeat()
        self.replicator.tick()
        if self._proposer.active and self._proposer.timed_out:
            self._proposer.propose()
        self.consider_plan()
        self._approve_leaving()

    def heartbeat(self) -> None:
        """Ask for the lease anew, and let everybody know of the record."""
        self._heartbeat_at = self._clock.now()
        record = self._acceptor.record
        request = LeaseRequest(record, self.lease.begin_round())
        oldest = self._heartbeat_at - GONE_AFTER_S
        heard = [one for one, peer in self._peers.items() if peer.heard_at > oldest]
        self._send_all((*record.voters, *heard), request)
        if self._acceptor.grant(request):
            self.lease.grant(request.round, self.me, record.voters)

    def receive(self, message: LeaseGrant | SnapshotProgress | ReplicateAck | DigestReply) -> None:
        """Handle an answer of another member to this epoch."""
        if isinstance(message, LeaseGrant):
            self.on_lease_grant(message)
        elif isinstance(message, SnapshotProgress):
            self.on_snapshot_progress(message)
        elif isinstance(message, ReplicateAck):
            self.on_replicate_ack(message)
        else:
            self.on_digest_reply(message)

    def on_lease_grant(self, message: LeaseGrant) -> None:
        """A member has answered a heartbeat."""
        record = self._acceptor.record
        self._mark_alive(message.member, message.node).leaving = message.leaving
        if message.granted:
            self.lease.grant(message.round, message.member, record.voters)
        elif message.promised > record.epoch and message.member in record.voters:
            self._overtake_promise(message.promised)
        self.replicator.on_position(message.member, message.position)

    def on_join(self, message: Join) -> None:
        """A member tells that it is there, or about to go."""
        self._mark_alive(message.member, message.node).leaving = message.leaving
        self.consider_plan()
        self._approve_leaving()

    def on_snapshot_progress(self, message: SnapshotProgress) -> None:
        """A member tells how far a transfer of the whole state has come."""
        self._mark_alive(message.member)
        self.replicator.on_progress(message)

    def on_replicate_ack(self, message: ReplicateAck) -> None:
        """A member tells what it has stored."""
        self._mark_alive(message.member)
        self.replicator.on_position(message.member, message.position)

    def on_digest_reply(self, message: DigestReply) -> None:
        """A copy's checksum: one that differs is sent anew."""
        own = self._store.checksum_at(message.position)
        if own is not None and message.checksum != own:
            log.error("event=copy_differs member=%s", message.member)
            self.replicator.repair(message.member)

    def scrub(self) -> None:
        """Compare the copies with the own one, at what was committed last."""
        record = self._acceptor.record
        if self.established:
            self._send_all(record.in_sync, DigestRequest(record.epoch, self.replicator.committed))

    # Who votes and copies ------------------------------------------------------------------------------

    def plan(self, proposal: Proposal) -> EpochRecord:
        """The record that a round of this primary proposes; until it is decided, more copies are needed."""
        record = plan_next_record(self._plan_input(proposal.base), proposal.epoch)
        self.replicator.require_also(set(proposal.base.in_sync) | set(record.in_sync))
        return record

    def consider_plan(self) -> None:
        """Propose a new epoch where other members should vote or copy."""
        young = not self.established and self._clock.now() - self._begun_at < UNRESPONSIVE_AFTER_S
        if self._proposer.active or not self.lease.held or young:
            return
        record = self._acceptor.record
        planned = plan_next_record(self._plan_input(record), record.epoch)
        if (planned.in_sync, planned.voters) != (record.in_sync, record.voters):
            self._proposer.propose()

    def transfer_leadership(self) -> bool:
        """Give the lease back and let an in-sync member stand; False where there is none."""
        record = self._acceptor.record
        oldest = self._clock.now() - UNRESPONSIVE_AFTER_S
        others = [one for one in record.in_sync if one != self.me and self._peers[one].heard_at > oldest]
        plan = self._plan_input(record)
        ready = [one for one in others if self.replicator.caught_up(one) and not plan.departing(one)]
        if not ready:
            return False
        self.release(ready[0])
        self._network.send(address_of(ready[0]), TakeOver(record.epoch))
        return True

    def release(self, successor: str = "") -> None:
        """Give the lease back, or tell that it has ended, so that nobody waits for it."""
        record = self._acceptor.record
        self.lease.drop()
        self._acceptor.release(record.epoch)
        self._send_all(record.voters, LeaseRelease(record.epoch, successor))

    def _plan_input(self, base: EpochRecord) -> PlanInput:
        retiring = self._retiring()
        return PlanInput(
            base=base,
            me=self.me,
            now=self._clock.now(),
            unresponsive_after=UNRESPONSIVE_AFTER_S,
            tolerated=self._tolerated,
            peers=self._peers,
            caught_up={one for one in self._peers if self.replicator.caught_up(one)},
            lagging=self.replicator.lagging(),
            behind=self.replicator.behind(),
            retiring={one for one, peer in self._peers.items() if peer.node in retiring},
        )

    def _approve_leaving(self) -> None:
        """Tell members that are about to go once nothing depends on them any more."""
        if self._proposer.active or not self.established:
            return
        record = self._acceptor.record
        plan = self._plan_input(record)
        for one, peer in self._peers.items():
            in_record = one in record.voters
            if peer.leaving and can_remove(plan, one) and (self.settled or not in_record):
                self._network.send(address_of(one), LeaveApproved(record.epoch))

    def _overtake_promise(self, promised: int) -> None:
        """A voter that promised a candidate's epoch, of which nothing came, is bound until a later one is decided."""
        self._proposer.note_higher_promise(promised)
        if not self._proposer.active and self.lease.held:
            self._proposer.propose()

    def _mark_alive(self, member: str, node: str = "") -> PeerView:
        peer = self._peers.setdefault(member, PeerView())
        peer.heard_at = self._clock.now()
        peer.node = node or peer.node
        return peer

    def _send_all(self, members: tuple[str, ...], message: Message) -> None:
        for one in dict.fromkeys(members):
            if one != self.me:
                self._network.send(address_of(one), message)
