"""The duties of the primary: heartbeats, its lease, replication, and the membership of the group."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping

from lynxscale.coordination.acceptor import Acceptor
from lynxscale.coordination.lease import LEASE_S, NEVER, LeaderLease
from lynxscale.coordination.membership_plan import PlanInput, can_remove, plan_next_record
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
    Position,
    ReplicateAck,
    SnapshotProgress,
    TakeOver,
    address_of,
)
from lynxscale.coordination.peer_table import PeerTable, PeerView
from lynxscale.coordination.ports import Clock, Network
from lynxscale.coordination.proposal import Proposal
from lynxscale.coordination.proposer import Proposer
from lynxscale.coordination.quorum import DecidedRecord, Quorum, quorum_of
from lynxscale.coordination.replication import Replicator
from lynxscale.coordination.store import Store

log = logging.getLogger(__name__)

TICK_S = 0.05  # interval between two calls of ``tick``
HEARTBEAT_S = 0.08
UNRESPONSIVE_AFTER_S = 0.32  # time without a message after which a member counts as unresponsive
MEMBERSHIP_KNOWN_AFTER_S = 0.6  # time in which every live member sends a new primary a message
GONE_AFTER_S = 3.0  # time without a message after which a machine counts as gone


class Leadership:
    """One member's time as primary, from the decision of its first epoch until it steps down.

    ``node``: the name of the primary's machine. ``tolerated``: number of machines that may be lost at the same time.
    ``retiring()``: names of the machines that are being retired.
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
        self.member_id = acceptor.member
        self.replicator = Replicator(self.member_id, store, clock, network, tolerated + 1, on_disk_failure)
        self.lease = LeaderLease(clock)
        self._node = node
        self._acceptor = acceptor
        self._store = store
        self._clock = clock
        self._network = network
        self._proposer = proposer
        self._tolerated = tolerated
        self._retiring = retiring
        self._started_at = clock.now()
        self._heartbeat_at = NEVER
        self._peers = PeerTable(self.member_id, (*acceptor.record.voters, *acceptor.record.in_sync), clock)

    # State -------------------------------------------------------------------------------------------

    @property
    def established(self) -> bool:
        """Is the lease valid, and has this primary committed a batch of its own, which covers all earlier commits?"""
        return self.lease.valid and self.replicator.committed.epoch > 0

    @property
    def lost(self) -> bool:
        """Has the lease expired, or was none granted within ``LEASE_S`` of the start?"""
        return self._clock.now() >= max(self.lease.expires_at, self._started_at + LEASE_S)

    @property
    def peers(self) -> dict[str, PeerView]:
        """The other members that this primary expects or has received messages from."""
        return self._peers.views

    @property
    def membership_known(self) -> bool:
        """Has this member been primary long enough to have received a message from every live member?"""
        return self._age_s > MEMBERSHIP_KNOWN_AFTER_S

    @property
    def _age_s(self) -> float:
        return self._clock.now() - self._started_at

    def live_nodes(self) -> set[str]:
        """Machines whose members are responsive and neither leaving nor being retired."""
        return self._nodes_within(UNRESPONSIVE_AFTER_S)

    def possibly_live_nodes(self) -> set[str] | None:
        """Machines that are live, or may be although unresponsive; None until ``GONE_AFTER_S`` as primary."""
        return None if self._age_s < GONE_AFTER_S else self._nodes_within(GONE_AFTER_S)

    def _nodes_within(self, seconds: float) -> set[str]:
        own = {self._node} - {""}
        return (self._peers.nodes_within(seconds) | own) - self._retiring()

    def is_vacated(self, node: str) -> bool:
        """Is no voter and no in-sync replica on the machine, and are there enough in-sync replicas without it?

        False until this primary knows which members are on the machine.
        """
        record = self._acceptor.record
        counted = {*record.in_sync, *record.voters}
        unknown = any(not self.peers[member].node for member in counted if member in self.peers)
        known = self.membership_known and not unknown and self._settled
        vacated = node != self._node and not self._peers.members_on(node) & counted
        return known and vacated and len(record.in_sync) > self._tolerated

    # Events ------------------------------------------------------------------------------------------

    def begin_epoch(self, decided: DecidedRecord, positions: Mapping[str, Position]) -> None:
        """A record with this member as primary was decided. ``positions``: the replica positions in the promises."""
        record = decided.record
        self.lease.discard_rounds()
        self.heartbeat()
        self.replicator.begin(record, positions)
        self.replicator.retain_only(set(record.voters))
        if quorum_of(record).is_joint:
            self.consider_plan()

    def end(self) -> None:
        """Stop acting as primary; another member may lead from now on."""
        self.lease.relinquish()
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
        """Ask the voters to renew the lease, and announce the record to all members that are not gone."""
        self._heartbeat_at = self._clock.now()
        record = self._acceptor.record
        request = LeaseRequest(record, self.lease.begin_round())
        quorum = quorum_of(self._proposer.known_record)
        self._send_all((*quorum.members, *self._peers.heard_within(GONE_AFTER_S)), request)
        if self._acceptor.grant(request):
            self.lease.on_grant(request.round, self.member_id, quorum)

    def receive(self, message: LeaseGrant | SnapshotProgress | ReplicateAck | DigestReply) -> None:
        """Handle another member's response to this epoch's primary."""
        if isinstance(message, LeaseGrant):
            self.on_lease_grant(message)
        elif isinstance(message, SnapshotProgress):
            self.on_snapshot_progress(message)
        elif isinstance(message, ReplicateAck):
            self.on_replicate_ack(message)
        else:
            self.on_digest_reply(message)

    def on_lease_grant(self, message: LeaseGrant) -> None:
        """Handle a member's response to a heartbeat."""
        record = self._acceptor.record
        self._peers.mark_announced(message.member, message.node, message.leaving)
        if message.granted:
            self.lease.on_grant(message.round, message.member, quorum_of(self._proposer.known_record))
        elif message.promised > record.epoch and message.member in quorum_of(record).members:
            self._supersede_promise(message.promised)
        self.replicator.on_position(message.member, message.position)

    def on_join(self, message: Join) -> None:
        """Handle a member that announces that it joins or leaves."""
        self._peers.mark_announced(message.member, message.node, message.leaving)
        self.consider_plan()
        self._approve_leaving()

    def on_snapshot_progress(self, message: SnapshotProgress) -> None:
        """Handle a report of how much of a snapshot a member has received."""
        self._peers.mark_heard(message.member)
        self.replicator.on_progress(message)

    def on_replicate_ack(self, message: ReplicateAck) -> None:
        """Handle a member's acknowledgement of the position that it has stored."""
        self._peers.mark_heard(message.member)
        self.replicator.on_position(message.member, message.position)

    def on_digest_reply(self, message: DigestReply) -> None:
        """Compare a replica's checksum; a replica whose state differs is sent a snapshot."""
        own = self._store.checksum_at(message.position)
        if own is not None and message.checksum != own:
            log.error("event=replica_differs member=%s", message.member)
            self.replicator.repair(message.member)

    def scrub(self) -> None:
        """Ask the in-sync replicas for their checksums at the last committed position."""
        record = self._acceptor.record
        if self.established:
            self._send_all(record.in_sync, DigestRequest(record.epoch, self.replicator.committed))

    # Membership ----------------------------------------------------------------------------------------

    def plan(self, proposal: Proposal) -> EpochRecord:
        """The record that this primary proposes in a round.

        Until it is decided, a commit needs the in-sync replicas of both the base and this record.
        """
        record = plan_next_record(self._plan_input(proposal.base, proposal.base_quorum), proposal.epoch)
        self.replicator.require_also((*proposal.base.in_sync, *record.in_sync))
        return record

    def consider_plan(self) -> None:
        """Propose a new epoch if the voters or the in-sync set should change, or to settle a change of the voters."""
        young = not self.established and self._age_s < UNRESPONSIVE_AFTER_S
        if self._proposer.active or not self.lease.valid or young:
            return
        record, known = self._acceptor.record, self._proposer.known_record
        planned = plan_next_record(self._plan_input(record, quorum_of(known)), record.epoch)
        changes = planned.in_sync != record.in_sync or quorum_of(planned) != quorum_of(record)
        if changes or not isinstance(known, DecidedRecord):
            self._proposer.propose()

    @property
    def _settled(self) -> bool:
        """Is the record decided, no round in progress, and is a majority of its voters enough for the next round?

        Only then may a member that it leaves out stop.
        """
        decided = isinstance(self._proposer.known_record, DecidedRecord)
        return decided and not self._proposer.active and not quorum_of(self._acceptor.record).is_joint

    def transfer_leadership(self) -> bool:
        """Release the lease and ask an in-sync member to take over; False if none is ready."""
        record = self._acceptor.record
        plan = self._plan_input(record, quorum_of(record))
        live = set(self._peers.heard_within(UNRESPONSIVE_AFTER_S))
        ready = [
            member
            for member in record.in_sync
            if member in live and self.replicator.caught_up(member) and not plan.departing(member)
        ]
        if not ready:
            return False
        self.release_lease(successor=ready[0])
        self._network.send(address_of(ready[0]), TakeOver(record.epoch))
        return True

    def release_lease(self, successor: str = "") -> None:
        """Release the lease, or announce that it has expired, so that no voter waits for its end."""
        record = self._acceptor.record
        self.lease.relinquish()
        self._acceptor.release(record.epoch)
        self._send_all(quorum_of(record).members, LeaseRelease(record.epoch, successor))

    def _plan_input(self, base: EpochRecord, base_quorum: Quorum) -> PlanInput:
        retiring = self._retiring()
        return PlanInput(
            base=base,
            base_quorum=base_quorum,
            primary=self.member_id,
            now=self._clock.now(),
            unresponsive_after=UNRESPONSIVE_AFTER_S,
            tolerated=self._tolerated,
            peers=self.peers,
            caught_up={member for member in self.peers if self.replicator.caught_up(member)},
            lagging=self.replicator.lagging(),
            behind=self.replicator.behind(),
            retiring={member for member, peer in self.peers.items() if peer.node in retiring},
        )

    def _approve_leaving(self) -> None:
        """Approve the leave of members that nothing depends on any more."""
        if not self._settled or not self.established:
            return
        record = self._acceptor.record
        plan = self._plan_input(record, quorum_of(record))
        for member, peer in self.peers.items():
            known = self.membership_known or member not in record.voters
            if peer.leaving and can_remove(plan, member) and known:
                self._network.send(address_of(member), LeaveApproved(record.epoch))

    def _supersede_promise(self, promised: int) -> None:
        """Propose a later epoch: a voter bound by a promise for an undecided epoch grants no lease until then."""
        self._proposer.note_higher_promise(promised)
        if not self._proposer.active and self.lease.valid:
            self._proposer.propose()

    def _send_all(self, members: tuple[str, ...], message: Message) -> None:
        for member in dict.fromkeys(members):
            if member != self.member_id:
                self._network.send(address_of(member), message)
