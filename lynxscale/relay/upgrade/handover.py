"""Drives an upgrade: looks at the other process, takes clients when it lets go, and takes over what it left."""

from __future__ import annotations

from collections.abc import Callable

import structlog

from lynxscale.relay.core import Relay
from lynxscale.relay.counters import Counters
from lynxscale.relay.deadlines import Deadlines
from lynxscale.relay.journal import JournalFull
from lynxscale.relay.journal.format import Refused
from lynxscale.relay.upgrade.board import Stage
from lynxscale.relay.upgrade.folders import RELEASED_SIZE, Claim, Estate, alive, folder_of, release, released
from lynxscale.relay.upgrade.follow import Follower
from lynxscale.relay.upgrade.kept import keep, kept
from lynxscale.relay.upgrade.succession import Order, Succession
from lynxscale.scheduling.learned_state import export, restore

log = structlog.get_logger()

LOOK_EVERY, REST = 10_000, 100_000  # µs between two looks while another process is there, and else
SLICE = 32  # messages taken over in one turn
MOST_RELEASED = 128  # the same of those that were let go of: they wait for their first try
AGAIN_EVERY = 200_000  # µs until another attempt where there was no room


class Handover:
    """``accept``: take clients from now on; ``share``: keep to a part of the descriptors."""

    def __init__(
        self,
        claim: Claim,
        relay: Relay,
        deadlines: Deadlines,
        counters: Counters,
        accept: Callable[[], None],
        share: Callable[[float], None],
        name_of: Callable[[int], tuple[str, str] | None],
        number_of: Callable[[str, str], int | None],
    ) -> None:
        self._claim, self._relay, self._deadlines, self._counters = claim, relay, deadlines, counters
        self._accept, self._share = accept, share
        self._name_of, self._number_of = name_of, number_of
        self._succession = Succession(claim.heir)
        self._predecessor = claim.predecessor
        self._slots = relay.settings.slots
        self._other: tuple[Stage, bool] = (Stage.NONE, False)
        self._follower: Follower | None = None  # of the other process's journal
        self._estate: Estate | None = None  # of the predecessor, while it lives
        self._released_at, self._heir = 0, -1
        if claim.half is not None:
            relay.attach_board(self)

    @property
    def waiting(self) -> bool:
        """Another process takes the clients yet."""
        return self._succession.waiting

    def begin(self) -> None:
        """Ready to take clients, or taking them."""
        claim = self._claim
        for generation in list(claim.earlier):  # what is read and given in one go leaves it at once
            if generation != self._predecessor:
                self._adopt(generation)
        if not claim.heir:
            if not claim.earlier:
                claim.settled()
        else:
            # Before the yes: to read it all may take a while.
            self._follower = Follower(folder_of(claim.state, self._predecessor))
            self._follower.look()
        if claim.half is not None:
            claim.half.enter(Stage.READY if self.waiting else Stage.SERVING)
            self._look()

    def let_go(self) -> None:
        """This process takes no more clients."""
        if self._claim.half is None:
            return
        if self._other[1]:
            self._follower = Follower(folder_of(self._claim.state, self._heir))
            self.keep()
        self._claim.half.enter(Stage.HANDING)

    def has_heir(self) -> bool:
        """Is another process ready to take the clients?"""
        if self._claim.half is None:
            return False
        self._read()
        return self._succession.has_heir(*self._other)

    def release(self) -> None:
        """Let the heir have what waits; nothing where the folder has no room to say so."""
        numbers = self._relay.recovery.release()
        if numbers:
            try:
                release(self._claim.path, numbers)
            except OSError as error:
                log.warning("not_released", left=len(numbers), error=str(error))  # its own at this process's end
            self._counters.add("handover", "released", len(numbers))

    # The board, for the core ---------------------------------------------------------------------

    def publish_wait(self, key: int, until: int, now: int) -> None:
        self._claim.half.tell(key, until, now)

    def wait_until(self, key: int) -> int:
        return self._claim.other.wait_until(key) if self._other[0] is not Stage.NONE else 0

    def owns(self, id_: str) -> bool:
        """Is a message of this id pending in the other process?"""
        return self._follower is not None and self._follower.holds(id_)

    # Looks ---------------------------------------------------------------------------------------

    def _read(self) -> int:
        """Look at the other's half; how many tries it has out."""
        claim = self._claim
        told = claim.other.read()
        stage, generation, _inode, out = told if told is not None else (Stage.NONE, -1, 0, 0)
        wanted = generation == self._predecessor if self._predecessor >= 0 else generation > claim.generation
        if not wanted:
            stage = Stage.NONE
        elif self._predecessor < 0:
            self._heir = generation
        there = (stage is not Stage.NONE or self._succession.predecessor) and alive(
            claim.state, generation if wanted else self._predecessor
        )
        self._other = (stage if there else Stage.NONE, there)
        return out if there else 0

    def _look(self) -> None:
        out = self._read()
        claim = self._claim
        claim.half.out(self._relay.in_flight)
        # Both together fill the slots; the other's are as old as a look at most.
        self._relay.settings.slots = max(1, self._slots - out)
        for order in self._succession.look(*self._other):
            log.info("handover", order=order.value, generation=claim.generation, other=self._other[0].name.lower())
            if order is Order.ACCEPT:
                claim.half.enter(Stage.SERVING)
                self._learn()
                self._accept()
            elif order is Order.ADOPT:
                self._adopt(self._predecessor)
            else:
                self._share(0.5 if order is Order.SHARE else 1.0)
        if self._predecessor >= 0 and self._other[0] is Stage.HANDING:
            self._take_released()
        self._deadlines.after(LOOK_EVERY if self._succession.shared else REST, self._look)

    def _take_released(self) -> None:
        """The predecessor lives, and has let go of some."""
        path = folder_of(self._claim.state, self._predecessor)
        numbers, at = released(path, self._released_at)
        if not numbers or self._follower is None or not self._follower.look():
            return
        if self._estate is None:
            self._estate = Estate(self._claim.state, self._predecessor)
        entries = self._follower.entries
        left = [(number, entries[number]) for number in numbers if number in entries]
        if self._give(self._estate, left[:MOST_RELEASED]):
            # The rest at the next look: a turn must stay short.
            done = len(numbers) if len(left) <= MOST_RELEASED else numbers.index(left[MOST_RELEASED][0])
            self._released_at += done * RELEASED_SIZE

    # What others left ----------------------------------------------------------------------------

    def _adopt(self, generation: int) -> None:
        estate = Estate(self._claim.state, generation)
        if not estate.take():
            self._deadlines.after(LOOK_EVERY, self._adopt, generation)
            return
        try:
            entries = estate.read()
        except (OSError, Refused) as error:
            # It stays as it is, for the operators' tools: what cannot be read must not be thrown away.
            log.error("not_taken_over", folder=estate.path.name, error=str(error))
            self._counters.add("handover", "unreadable")
            estate.leave()
            self._over(generation)
            return
        for gap in estate.gaps:
            log.error("journal_damaged", folder=estate.path.name, gap=str(gap))
        log.info("taking_over", folder=estate.path.name, open=len(entries))
        self._slice(estate, generation, list(entries.items()))

    def _slice(self, estate: Estate, generation: int, left: list) -> None:
        part = left[:SLICE]
        if part and not self._give(estate, part):
            self._deadlines.after(AGAIN_EVERY, self._slice, estate, generation, left)
            return
        if len(left) > SLICE:
            self._deadlines.after(0, self._slice, estate, generation, left[SLICE:])
            return
        estate.remove()
        log.info("taken_over", folder=estate.path.name)
        self._over(generation)

    def _over(self, generation: int) -> None:
        """Nothing more is to be had of that one: with the last of them the next successor may come."""
        self._claim.earlier.remove(generation)
        if generation == self._predecessor:
            self._predecessor = -1
            self._follower = None if self._follower is None else self._follower.close()
            if self._estate is not None:
                self._estate.close()
        if not self._claim.earlier:
            self._claim.settled()

    def _give(self, estate: Estate, part: list) -> bool:
        """These are this process's from now on; False where there is no room to keep them."""
        try:
            new = self._relay.recovery.adopt(
                [entry for _uid, entry in part], lambda: estate.mark([uid for uid, _ in part])
            )
        except (JournalFull, OSError) as error:
            log.warning("taking_over_waits", folder=estate.path.name, left=len(part), error=str(error))
            return False
        self._counters.add("handover", "taken_over", new)
        return True

    # What was learned ----------------------------------------------------------------------------

    def keep(self) -> None:
        """Keep what the module has learned for the heir."""
        keep(self._claim.state, export(self._relay.scheduler), self._name_of, self._relay.loop.now())

    def _learn(self) -> None:
        if self._relay.trace is not None and self._relay.trace.decisions:
            return  # a replay begins from a sender that knows nothing
        told = kept(self._claim.state, self._number_of, self._relay.loop.now())
        if told is None:
            return
        try:
            lanes = restore(self._relay.scheduler, told, self._relay.loop.now() / 1000)
        except ValueError as error:
            log.warning("nothing_learned", error=str(error))
            return
        log.info("learned", lanes=lanes)
