"""Carries out an upgrade: watches the other process, accepts clients once it stops, and adopts its open messages."""

from __future__ import annotations

from collections.abc import Callable

import structlog

from lynxscale.relay.core import Relay
from lynxscale.relay.counters import Counters
from lynxscale.relay.deadlines import Deadlines
from lynxscale.relay.exceptions import JournalFormatError, JournalFullError
from lynxscale.relay.upgrade.board import Stage
from lynxscale.relay.upgrade.journal_folders import (
    RELEASED_SIZE,
    Claim,
    InheritedJournal,
    alive,
    append_released,
    folder_of,
    read_released,
)
from lynxscale.relay.upgrade.journal_follower import JournalFollower
from lynxscale.relay.upgrade.learned_file import load, save
from lynxscale.relay.upgrade.succession import Succession, SuccessionAction
from lynxscale.scheduling.learned_state import export, restore

log = structlog.get_logger()

# Time between two checks of the other process, while there is one and otherwise.
CHECK_INTERVAL_US, IDLE_CHECK_INTERVAL_US = 10_000, 100_000
MAX_ADOPTED_PER_TURN = 32  # messages that an ended process left, adopted in one turn of the event loop
MAX_RELEASED_PER_CHECK = 128  # released messages adopted in one turn; more, as they wait to be sent
RETRY_INTERVAL_US = 200_000  # delay before a failed adoption is retried


class Handover:
    """Carries out the decisions of ``Succession``.

    ``accept`` starts accepting clients, and ``limit_sockets`` limits this process to a share of the file descriptors.
    ``name_of`` gives an endpoint's id and address by its number, ``number_of`` the reverse.
    """

    def __init__(
        self,
        claim: Claim,
        relay: Relay,
        deadlines: Deadlines,
        counters: Counters,
        accept: Callable[[], None],
        limit_sockets: Callable[[float], None],
        name_of: Callable[[int], tuple[str, str] | None],
        number_of: Callable[[str, str], int | None],
    ) -> None:
        self._claim, self._relay, self._deadlines, self._counters = claim, relay, deadlines, counters
        self._accept, self._limit_sockets = accept, limit_sockets
        self._name_of, self._number_of = name_of, number_of
        self._succession = Succession(claim.is_successor)
        self._predecessor = claim.predecessor
        self._slots = relay.settings.slots
        self._other: tuple[Stage, bool] = (Stage.NONE, False)  # the other process's stage, and whether it runs
        self._follower: JournalFollower | None = None  # reads the other process's journal
        self._inherited: InheritedJournal | None = None  # the predecessor's journal, while it runs
        self._released_offset, self._successor = 0, -1
        if claim.half is not None:
            relay.attach_board(self)

    @property
    def waiting(self) -> bool:
        """Whether another process still accepts the clients."""
        return self._succession.waiting

    def begin(self) -> None:
        """Start the checks, once this process is ready to accept clients or accepts them."""
        claim = self._claim
        for generation in list(claim.earlier):  # a copy, as ``_adopt`` may remove from the list
            if generation != self._predecessor:
                self._adopt(generation)
        if not claim.is_successor:
            if not claim.earlier:
                claim.release_start_lock()
        else:
            # Done before publishing READY, because reading the complete journal may take a while.
            self._follower = JournalFollower(folder_of(claim.state, self._predecessor))
            self._follower.poll()
        if claim.half is not None:
            claim.half.set_stage(Stage.READY if self.waiting else Stage.SERVING)
            self._check()

    def stopped_accepting(self) -> None:
        """Publish that this process no longer accepts clients, and store the learned state for its successor."""
        if self._claim.half is None:
            return
        if self._other[1]:
            self._follower = JournalFollower(folder_of(self._claim.state, self._successor))
            self.save_learned()
        self._claim.half.set_stage(Stage.HANDED_OVER)

    def has_successor(self) -> bool:
        """Whether another process is ready to accept the clients."""
        if self._claim.half is None:
            return False
        self._read_board()
        return self._succession.has_successor(*self._other)

    def release(self) -> None:
        """Release waiting messages to the successor.

        If the folder has no space to record that, the successor adopts them when this process ends.
        """
        uids = self._relay.recovery.release()
        if uids:
            try:
                append_released(self._claim.path, uids)
            except OSError as error:
                log.warning("not_released", left=len(uids), error=str(error))
            self._counters.add("handover", "released", len(uids))

    # BoardPort, for the core ---------------------------------------------------------------------

    def publish_wait(self, key: int, until: int, now: int) -> None:
        """Publish that a peer asked this process to wait."""
        self._claim.half.publish_wait(key, until, now)

    def wait_until(self, key: int) -> int:
        """Return the time until which the other process was asked to wait for ``key``, or 0."""
        return self._claim.other.wait_until(key) if self._other[0] is not Stage.NONE else 0

    def owns(self, id_: str) -> bool:
        """Whether the message is open in the other process's journal."""
        return self._follower is not None and self._follower.contains(id_)

    # Checks ---------------------------------------------------------------------------------------

    def _read_board(self) -> int:
        """Read the other process's half; returns how many attempts it has in flight."""
        claim = self._claim
        published = claim.other.read()
        stage, generation, _inode, in_flight = published if published is not None else (Stage.NONE, -1, 0, 0)
        expected = generation == self._predecessor if self._predecessor >= 0 else generation > claim.generation
        if not expected:
            stage = Stage.NONE
        elif self._predecessor < 0:
            self._successor = generation
        is_running = (stage is not Stage.NONE or self._succession.has_predecessor) and alive(
            claim.state, generation if expected else self._predecessor
        )
        self._other = (stage if is_running else Stage.NONE, is_running)
        return in_flight if is_running else 0

    def _check(self) -> None:
        in_flight = self._read_board()
        claim = self._claim
        claim.half.set_in_flight(self._relay.in_flight)
        # Both processes share the slots; the other's count is at most one check interval old.
        self._relay.settings.slots = max(1, self._slots - in_flight)
        for action in self._succession.advance(*self._other):
            log.info("handover", order=action.value, generation=claim.generation, other=self._other[0].name.lower())
            if action is SuccessionAction.ACCEPT:
                claim.half.set_stage(Stage.SERVING)
                self._load_learned()
                self._accept()
            elif action is SuccessionAction.ADOPT:
                self._adopt(self._predecessor)
            else:
                self._limit_sockets(0.5 if action is SuccessionAction.SHARE else 1.0)
        if self._predecessor >= 0 and self._other[0] is Stage.HANDED_OVER:
            self._adopt_released()
        self._deadlines.after(CHECK_INTERVAL_US if self._succession.shared else IDLE_CHECK_INTERVAL_US, self._check)

    def _adopt_released(self) -> None:
        """Adopt messages that the predecessor has released while it still runs."""
        path = folder_of(self._claim.state, self._predecessor)
        uids, next_offset = read_released(path, self._released_offset)
        if not uids or self._follower is None or not self._follower.poll():
            return
        if self._inherited is None:
            self._inherited = InheritedJournal(self._claim.state, self._predecessor)
        entries = self._follower.entries
        remaining = [(uid, entries[uid]) for uid in uids if uid in entries]
        if self._adopt_entries(self._inherited, remaining[:MAX_RELEASED_PER_CHECK]):
            # The rest is adopted at the next check, to keep the turn short.
            done = (
                len(uids)
                if len(remaining) <= MAX_RELEASED_PER_CHECK
                else uids.index(remaining[MAX_RELEASED_PER_CHECK][0])
            )
            self._released_offset += done * RELEASED_SIZE

    # Adoption ----------------------------------------------------------------------------

    def _adopt(self, generation: int) -> None:
        inherited = InheritedJournal(self._claim.state, generation)
        if not inherited.lock():
            self._deadlines.after(CHECK_INTERVAL_US, self._adopt, generation)
            return
        try:
            entries = inherited.read()
        except (OSError, JournalFormatError) as error:
            # The folder is kept for the operators' tools, because its unreadable messages must not be lost.
            log.error("not_taken_over", folder=inherited.path.name, error=str(error))
            self._counters.add("handover", "unreadable")
            inherited.abandon()
            self._finished(generation)
            return
        for gap in inherited.gaps:
            log.error("journal_damaged", folder=inherited.path.name, gap=str(gap))
        log.info("taking_over", folder=inherited.path.name, open=len(entries))
        self._adopt_slice(inherited, generation, list(entries.items()))

    def _adopt_slice(self, inherited: InheritedJournal, generation: int, remaining: list) -> None:
        chunk = remaining[:MAX_ADOPTED_PER_TURN]
        if chunk and not self._adopt_entries(inherited, chunk):
            self._deadlines.after(RETRY_INTERVAL_US, self._adopt_slice, inherited, generation, remaining)
            return
        if len(remaining) > MAX_ADOPTED_PER_TURN:
            self._deadlines.after(0, self._adopt_slice, inherited, generation, remaining[MAX_ADOPTED_PER_TURN:])
            return
        inherited.remove()
        log.info("taken_over", folder=inherited.path.name)
        self._finished(generation)

    def _finished(self, generation: int) -> None:
        """Note that a generation is done with; after the last one the next successor may start."""
        self._claim.earlier.remove(generation)
        if generation == self._predecessor:
            self._predecessor = -1
            self._follower = None if self._follower is None else self._follower.close()
            if self._inherited is not None:
                self._inherited.close()
        if not self._claim.earlier:
            self._claim.release_start_lock()

    def _adopt_entries(self, inherited: InheritedJournal, chunk: list) -> bool:
        """Adopt messages into this process's journal; returns False if that failed, usually for lack of space."""
        try:
            new = self._relay.recovery.adopt(
                [entry for _uid, entry in chunk], lambda: inherited.mark_taken([uid for uid, _ in chunk])
            )
        except (JournalFullError, OSError) as error:
            log.warning("taking_over_waits", folder=inherited.path.name, left=len(chunk), error=str(error))
            return False
        self._counters.add("handover", "taken_over", new)
        return True

    # Learned state -------------------------------------------------------------------------------

    def save_learned(self) -> None:
        """Store the scheduler's learned state for the successor."""
        save(self._claim.state, export(self._relay.scheduler), self._name_of, self._relay.loop.now())

    def _load_learned(self) -> None:
        if self._relay.trace is not None and self._relay.trace.decisions:
            return  # a replay of the trace starts from a scheduler without learned state
        learned = load(self._claim.state, self._number_of, self._relay.loop.now())
        if learned is None:
            return
        try:
            lanes = restore(self._relay.scheduler, learned, self._relay.loop.now() / 1000)
        except ValueError as error:
            log.warning("nothing_learned", error=str(error))
            return
        log.info("learned", lanes=lanes)
