"""Mutations of storage and replication: batches, snapshots, the members that hold them."""

from __future__ import annotations

from bisect import bisect_right

from lab.tier.models import admission
from lab.tier.mutations.detectors import Patches
from lynxscale.coordination import membership_plan
from lynxscale.coordination.follower import Follower
from lynxscale.coordination.membership_plan import PlanInput
from lynxscale.coordination.messages import Batch, Put, Replicate, SnapshotChunk, SnapshotProgress
from lynxscale.coordination.replica_progress import ReplicaProgress, ReplicaState
from lynxscale.coordination.replication import Replicator
from lynxscale.coordination.store import Store


def acknowledged_before_stored() -> Patches:
    """A batch counts as committed as soon as the primary has written it."""
    return [(Replicator, "awaited", property(lambda self: set()))]


def single_replica_commits() -> Patches:
    """The primary acknowledges alone, and members that are silent are not waited for."""

    def check(self: Replicator) -> None:
        self._required, self._min_replicas = {self.member}, 1
        original(self)

    original = Replicator._check_commit
    return [(Replicator, "_check_commit", check)]


def gaps_in_batches_are_accepted() -> Patches:
    """A copy takes a batch although it lacks the one before."""

    def on_replicate(self: Follower, message: Replicate) -> None:
        if self._accepts_writes_of(message.epoch) and message.batch.position > self._store.position:
            self._store.save(message.batch)
            self._store.apply(message.batch.puts)
            self._acknowledge(message.epoch)

    return [(Follower, "on_replicate", on_replicate)]


def snapshot_lacks_the_last_batch() -> Patches:
    """A version is written whole before its batch is applied (seen on a bench day)."""

    def save(self: Store, batch: Batch) -> None:
        original(self, batch)
        writer = self._versions.create_snapshot(self.position, [Put(*entry) for entry in self.values.items()])
        while not writer.step():
            pass
        self._versions.remove_superseded(self.position)

    original = Store.save
    return [(Store, "save", save)]


def corrupt_files_count_as_intact() -> Patches:
    """Files with a gap count for as far as they lead (seen: eight of twelve acknowledged values gone)."""
    return [(Store, "intact", property(lambda self: True))]


def uncommitted_writes_are_not_undone() -> Patches:
    """What was submitted and never stored stays in the memory of a former primary (seen in an incident)."""
    return [(Store, "undo_of", lambda self, puts: ())]


def leaving_member_stops_at_once() -> Patches:
    """A member that is asked to stop waits for nothing (seen: no primary ever again)."""
    return [(admission, "can_remove", lambda plan, member: True)]


def single_replica_is_left() -> Patches:
    """Copies leave until a single one counts."""
    return [(PlanInput, "replicas_wanted", property(lambda self: 1))]


def replaced_voter_stays_in_sync() -> Patches:
    """A voter is replaced although its copy goes on to count."""

    def replaced(plan: PlanInput, member: str, successor: str | None) -> membership_plan.MembershipChange:
        voters = [successor if one == member else one for one in plan.base.voters]
        return membership_plan.MembershipChange(plan.base.in_sync, tuple(one for one in voters if one is not None))

    return [(membership_plan, "_without_voter", replaced)]


def replica_counts_before_it_confirmed() -> Patches:
    """A voter is in sync as soon as it is heard of."""

    def commits_without(self: Replicator) -> set[str]:
        lacking = original.fget(self)
        return {one for one in lacking if self.replicas[one].known and self.replicas[one].stored >= self.committed}

    original = Replicator.awaited
    return [
        (Replicator, "caught_up", lambda self, member: member in self.replicas),
        (Replicator, "behind", lambda self: set()),
        (Replicator, "awaited", property(commits_without)),
    ]


def snapshot_mixes_two_positions() -> Patches:
    """A transfer goes on at another position, and its parts are taken whatever they belong behind."""

    def on_snapshot_chunk(self: Follower, message: SnapshotChunk) -> None:
        if not self._accepts_writes_of(message.epoch) or self._transfer.installing:
            return
        if not message.after_key:
            self._transfer = type(self._transfer)(message.position)
        transfer = self._transfer
        transfer.table.apply(message.puts)
        transfer.position, transfer.last_key = message.position, message.last_key
        self._report_progress(message.epoch, 0)
        if message.final:
            self._install(message.epoch)

    def resume(self: ReplicaProgress, message: SnapshotProgress) -> None:
        original(self, message)
        snapshot = self._snapshot
        if message.last_key and self.state is ReplicaState.SNAPSHOT:
            self._sent, snapshot.last_key = self._store.position, message.last_key
            snapshot._cursor = bisect_right(snapshot._keys, message.last_key)

    original = ReplicaProgress._resume
    return [(Follower, "on_snapshot_chunk", on_snapshot_chunk), (ReplicaProgress, "_resume", resume)]


def batches_between_chunks_are_lost() -> Patches:
    """A batch that comes between two parts moves the transfer on without its changes."""

    def on_replicate(self: Follower, message: Replicate) -> None:
        transfer = self._transfer
        if (
            self._accepts_writes_of(message.epoch)
            and message.batch.previous == transfer.position
            and not transfer.installing
        ):
            transfer.position = message.batch.position
        else:
            original(self, message)

    original = Follower.on_replicate
    return [(Follower, "on_replicate", on_replicate)]
