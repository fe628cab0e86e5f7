"""A group of control members on simulated machines, without relays or endpoints."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import msgspec

from lab.tier.world import World
from lynxscale.coordination.acceptor_state import AcceptorStateFile, MemberIdentity
from lynxscale.coordination.member import ControlMember, MemberSettings
from lynxscale.coordination.messages import put_value

SHUTDOWN_DELAY_S = 0.05
"""Time between the release of a leaving member and the end of its process."""


class ControlGroup:
    """``size`` founders, and members started later. ``tolerated``: how many members may be lost at a time."""

    def __init__(self, world: World, size: int = 3, tolerated: int = 1) -> None:
        self.world = world
        self.tolerated = tolerated
        self.seeds = tuple(f"10.0.0.{number}:7000" for number in range(1, size + 1))
        self.members: dict[str, ControlMember] = {}
        self.retiring: frozenset[str] = frozenset()

    def start_all(self) -> None:
        """Start all founders for the first time."""
        for address in self.seeds:
            self.start(address, bootstrap=True)

    def start(self, address: str, bootstrap: bool = False) -> ControlMember:
        """Start a member's process on a machine."""
        machine = self.world.machine(address)
        identity = MemberIdentity(address, bootstrap, self.seeds)
        random = Random(self.world.random.random())
        settings = MemberSettings(f"node-{address}", self.seeds, self.tolerated)
        stored_state = AcceptorStateFile(identity, machine.files, random)
        member = ControlMember(
            settings, stored_state, machine.clock(), machine.network(), machine.files, random, lambda leading: None
        )
        member.retiring = self.retiring
        machine.receive = member.receive
        self.members[address] = member
        return member

    def leave(self, address: str, then: Callable[[], object] = lambda: None, within: float = 7.0) -> None:
        """Ask a process to stop. It ends once released, or after ``within`` seconds; then ``then()`` is called."""
        member = self.members[address]

        def end() -> None:
            if self.members.get(address) is member:
                self.kill(address)
                then()

        member.leave(lambda: self.world.call_at(self.world.time + SHUTDOWN_DELAY_S, end))
        self.world.call_at(self.world.time + within, end)

    def kill(self, address: str, power: bool = False, wipe: bool = False) -> None:
        """Kill a process; ``power``: its machine loses power too, ``wipe``: the machine loses its disk."""
        self.members.pop(address, None)
        self.world.machine(address).kill(power, wipe)

    def leaders(self) -> list[ControlMember]:
        """Members that act as primary now."""
        return [member for member in self.members.values() if member.leads()]

    def wait_for_leader(self, within: float = 5.0) -> ControlMember:
        """Run until there is a primary, and return it. Raises AssertionError if there is none in time."""
        assert self.world.run_until(lambda: bool(self.leaders()), within), "no primary in time"
        return self.leaders()[0]

    def put(self, key: str, value: object, within: float = 5.0) -> bool:
        """Write through the primary, with retries while the outcome is unknown. Returns whether it commits in time."""
        end = self.world.time + within
        while self.world.time < end:
            outcome: list[bool] = []
            self.submit(self.wait_for_leader(within), key, value, outcome.append)
            self.world.run_until(lambda: bool(outcome), end - self.world.time)  # noqa: B023
            if outcome == [True]:
                return True
        return False

    @staticmethod
    def submit(member: ControlMember, key: str, value: object, on_done: Callable[[bool], None]) -> None:
        """Submit a write to a member; ``on_done(committed)`` is called with its outcome."""
        member.submit((put_value(key, value),), lambda outcome: on_done(outcome.committed))

    def value(self, key: str) -> object:
        """The value of a key at the primary, None if the key does not exist."""
        raw = self.wait_for_leader().store.values.get(key)
        return None if raw is None else msgspec.json.decode(raw)
