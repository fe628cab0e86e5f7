"""Mutations of storage, replication and the membership: batches, snapshots and in-sync members."""

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
    """The primary commits alone, without waiting for any other member."""

    def check(self: Replicator) -> None:
        self._required, self._min_replicas = {self.member}, 1
        original(self)

    original = Replicator._check_commit
    return [(Replicator, "_check_commit", check)]


def gaps_in_batches_are_accepted() -> Patches:
    """A follower accepts a batch although it lacks the previous one."""

    def on_replicate(self: Follower, message: Replicate) -> None:
        if self._accepts_writes_of(message.epoch) and message.batch.position > self._store.position:
            self._store.save(message.batch)
            self._store.apply(message.batch.puts)
            self._acknowledge(message.epoch)

    return [(Follower, "on_replicate", on_replicate)]


def snapshot_lacks_the_last_batch() -> Patches:
    """A snapshot is written before the last batch is applied (a fault found in a benchmark)."""

    def save(self: Store, batch: Batch) -> None:
        original(self, batch)
        writer = self._versions.create_snapshot(self.position, [Put(*entry) for entry in self.values.items()])
        while not writer.step():
            pass
        self._versions.remove_superseded(self.position)

    original = Store.save
    return [(Store, "save", save)]


def corrupt_files_count_as_intact() -> Patches:
    """Damaged files are used up to their first gap (a fault that lost eight of twelve acknowledged values)."""
    return [(Store, "intact", property(lambda self: True))]


def uncommitted_writes_are_not_undone() -> Patches:
    """Submitted writes that were never stored remain in the memory of a former primary (a fault from an incident)."""
    return [(Store, "undo_of", lambda self, puts: ())]


def leaving_member_stops_at_once() -> Patches:
    """A member that is asked to stop leaves immediately (a fault after which there was never a primary again)."""
    return [(admission, "can_remove", lambda plan, member: True)]


def single_replica_is_left() -> Patches:
    """Members may leave until a single in-sync replica remains."""
    return [(PlanInput, "replicas_wanted", property(lambda self: 1))]


def replaced_voter_stays_in_sync() -> Patches:
    """A voter is replaced but stays in the in-sync set."""

    def replaced(plan: PlanInput, member: str, successor: str | None) -> membership_plan.MembershipChange:
        voters = [successor if one == member else one for one in plan.base.voters]
        return membership_plan.MembershipChange(plan.base.in_sync, tuple(one for one in voters if one is not None))

    return [(membership_plan, "_without_voter", replaced)]


def replica_counts_before_it_confirmed() -> Patches:
    """A voter counts as in sync as soon as it is known, before it has confirmed that it caught up."""

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
    """A snapshot transfer resumes at another position, and the follower accepts chunks of different positions."""

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
    """A batch between two chunks advances the position of the transfer, but its changes are not applied."""

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
