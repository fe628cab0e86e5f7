"""Drives an upgrade: looks at the other process, takes clients when it lets go, and takes over what it left."""

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

# µs between two looks at the other process, while there is one and else:
CHECK_INTERVAL_US, IDLE_CHECK_INTERVAL_US = 10_000, 100_000
MAX_ADOPTED_PER_TURN = 32  # messages adopted in one turn
MAX_RELEASED_PER_CHECK = 128  # the same of released ones: they wait for their first attempt
RETRY_INTERVAL_US = 200_000  # µs, where there was no space


class Handover:
    """Carries out the succession. ``accept``: accept clients; ``limit_sockets``: keep to a share of the descriptors."""

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
        self._other: tuple[Stage, bool] = (Stage.NONE, False)
        self._follower: JournalFollower | None = None  # of the other process's journal
        self._inherited: InheritedJournal | None = None  # of the predecessor, while it lives
        self._released_at, self._successor = 0, -1
        if claim.half is not None:
            relay.attach_board(self)

    @property
    def waiting(self) -> bool:
        """Another process still accepts the clients."""
        return self._succession.waiting

    def begin(self) -> None:
        """The process is ready to accept clients, or accepts them."""
        claim = self._claim
        for generation in list(claim.earlier):  # what is adopted at once is removed from the list
            if generation != self._predecessor:
                self._adopt(generation)
        if not claim.is_successor:
            if not claim.earlier:
                claim.release_start_lock()
        else:
            # Before it says that it is ready: reading all of it may take a while.
            self._follower = JournalFollower(folder_of(claim.state, self._predecessor))
            self._follower.poll()
        if claim.half is not None:
            claim.half.set_stage(Stage.READY if self.waiting else Stage.SERVING)
            self._check()

    def stopped_accepting(self) -> None:
        """This process accepts no more clients."""
        if self._claim.half is None:
            return
        if self._other[1]:
            self._follower = JournalFollower(folder_of(self._claim.state, self._successor))
            self.save_learned()
        self._claim.half.set_stage(Stage.HANDED_OVER)

    def has_successor(self) -> bool:
        """Is another process ready to accept the clients?"""
        if self._claim.half is None:
            return False
        self._read_board()
        return self._succession.has_successor(*self._other)

    def release(self) -> None:
        """Release waiting messages to the successor; where the folder has no space for it, at this process's end."""
        numbers = self._relay.recovery.release()
        if numbers:
            try:
                append_released(self._claim.path, numbers)
            except OSError as error:
                log.warning("not_released", left=len(numbers), error=str(error))  # adopted at this process's end
            self._counters.add("handover", "released", len(numbers))

    # The board, for the core ---------------------------------------------------------------------

    def publish_wait(self, key: int, until: int, now: int) -> None:
        """Part of BoardPort."""
        self._claim.half.publish_wait(key, until, now)

    def wait_until(self, key: int) -> int:
        """Part of BoardPort."""
        return self._claim.other.wait_until(key) if self._other[0] is not Stage.NONE else 0

    def owns(self, id_: str) -> bool:
        """Part of BoardPort."""
        return self._follower is not None and self._follower.contains(id_)

    # Checks ---------------------------------------------------------------------------------------

    def _read_board(self) -> int:
        """Read the other's half; how many attempts it has in flight."""
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
        # Both together fill the slots; the other's number is as old as a check at most.
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
        """The predecessor still runs, and has released some."""
        path = folder_of(self._claim.state, self._predecessor)
        numbers, at = read_released(path, self._released_at)
        if not numbers or self._follower is None or not self._follower.poll():
            return
        if self._inherited is None:
            self._inherited = InheritedJournal(self._claim.state, self._predecessor)
        entries = self._follower.entries
        left = [(number, entries[number]) for number in numbers if number in entries]
        if self._adopt_entries(self._inherited, left[:MAX_RELEASED_PER_CHECK]):
            # The rest at the next check: a turn must stay short.
            done = (
                len(numbers) if len(left) <= MAX_RELEASED_PER_CHECK else numbers.index(left[MAX_RELEASED_PER_CHECK][0])
            )
            self._released_at += done * RELEASED_SIZE

    # Adoption ----------------------------------------------------------------------------

    def _adopt(self, generation: int) -> None:
        inherited = InheritedJournal(self._claim.state, generation)
        if not inherited.lock():
            self._deadlines.after(CHECK_INTERVAL_US, self._adopt, generation)
            return
        try:
            entries = inherited.read()
        except (OSError, JournalFormatError) as error:
            # It stays as it is, for the operators' tools: what cannot be read must not be removed.
            log.error("not_taken_over", folder=inherited.path.name, error=str(error))
            self._counters.add("handover", "unreadable")
            inherited.abandon()
            self._finished(generation)
            return
        for gap in inherited.gaps:
            log.error("journal_damaged", folder=inherited.path.name, gap=str(gap))
        log.info("taking_over", folder=inherited.path.name, open=len(entries))
        self._adopt_slice(inherited, generation, list(entries.items()))

    def _adopt_slice(self, inherited: InheritedJournal, generation: int, left: list) -> None:
        chunk = left[:MAX_ADOPTED_PER_TURN]
        if chunk and not self._adopt_entries(inherited, chunk):
            self._deadlines.after(RETRY_INTERVAL_US, self._adopt_slice, inherited, generation, left)
            return
        if len(left) > MAX_ADOPTED_PER_TURN:
            self._deadlines.after(0, self._adopt_slice, inherited, generation, left[MAX_ADOPTED_PER_TURN:])
            return
        inherited.remove()
        log.info("taken_over", folder=inherited.path.name)
        self._finished(generation)

    def _finished(self, generation: int) -> None:
        """That generation is adopted: with the last of them the next successor may start."""
        self._claim.earlier.remove(generation)
        if generation == self._predecessor:
            self._predecessor = -1
            self._follower = None if self._follower is None else self._follower.close()
            if self._inherited is not None:
                self._inherited.close()
        if not self._claim.earlier:
            self._claim.release_start_lock()

    def _adopt_entries(self, inherited: InheritedJournal, chunk: list) -> bool:
        """These are this process's from now on; False where there is no space for them."""
        try:
            new = self._relay.recovery.adopt(
                [entry for _uid, entry in chunk], lambda: inherited.mark_taken([uid for uid, _ in chunk])
            )
        except (JournalFullError, OSError) as error:
            log.warning("taking_over_waits", folder=inherited.path.name, left=len(chunk), error=str(error))
            return False
        self._counters.add("handover", "taken_over", new)
        return True

    # What was learned ----------------------------------------------------------------------------

    def save_learned(self) -> None:
        """Store what the scheduler has learned, for the successor."""
        save(self._claim.state, export(self._relay.scheduler), self._name_of, self._relay.loop.now())

    def _load_learned(self) -> None:
        if self._relay.trace is not None and self._relay.trace.decisions:
            return  # a replay begins from a scheduler that has learned nothing
        learned = load(self._claim.state, self._number_of, self._relay.loop.now())
        if learned is None:
            return
        try:
            lanes = restore(self._relay.scheduler, learned, self._relay.loop.now() / 1000)
        except ValueError as error:
            log.warning("nothing_learned", error=str(error))
            return
        log.info("learned", lanes=lanes)
