"""Model of admission, replacement and graceful leave: the plans of a primary against faults of the members meanwhile.

Members become unreachable and return, lose their disks, join, catch up, are asked to stop or to be drained, and leave
once they may; the primary applies its plan step by step, and another member may become primary.

Invariants: with every unreachable member back, and no more disks lost than tolerated, a majority of the voters and a
copy that counts, on a voter, are there; a copy counts only on a voter that has caught up.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass

from lab.model_checker import Event, InvariantViolation
from lynxscale.coordination.membership_plan import PlanInput, can_remove, plan_next_record
from lynxscale.coordination.messages import EpochRecord
from lynxscale.coordination.peer_table import PeerView
from lynxscale.coordination.quorum import is_majority

UNREACHABLE_S = 0.3


@dataclass(frozen=True)
class AdmissionBounds:
    """``newcomers`` may appear, ``losses`` disks be lost, and so on; ``tolerated`` at once."""

    founders: int = 3
    newcomers: int = 1
    tolerated: int = 1
    losses: int = 1
    outages: int = 1
    stops: int = 1
    retirements: int = 0


@dataclass
class MemberView:
    """State of one member. ``gone``: its process ended for good, or its disk was lost; ``holds``: it has caught up."""

    present: bool = True
    gone: bool = False
    holds: bool = False
    leaving: bool = False
    retiring: bool = False


class Admission:
    """The state machine that is searched."""

    def __init__(self, bounds: AdmissionBounds) -> None:
        self.bounds = bounds
        self.names = [f"m{number}:1#0" for number in range(bounds.founders + bounds.newcomers)]
        voters = tuple(self.names[: max(3, 2 * bounds.tolerated + 1)])
        self.record = EpochRecord(1, voters[0], voters, voters)
        self.members = {name: MemberView(holds=True) for name in self.names[: bounds.founders]}
        for name in self.names[len(voters) : bounds.founders]:
            self.members[name].holds = False
        self._left = {
            "loses its disk": bounds.losses,
            "becomes unreachable": bounds.outages,
            "is asked to stop": bounds.stops,
            "is to be drained": bounds.retirements,
        }

    @property
    def primary(self) -> str:
        """The member that plans."""
        return self.record.primary

    def events(self) -> list[Event]:
        """Part of StateMachine."""
        found: list[Event] = []
        for name in self.names:
            found += [(name, what) for what in self._may(name)]
        if self._leads and self._plan() is not None:
            found.append((self.primary, "decides"))
        found += [(name, "takes over") for name in self._heirs()]
        return found

    def _may(self, name: str) -> list[str]:
        member = self.members.get(name)
        if member is None:
            return ["joins"]
        if member.gone:
            return []
        found = [what for what, left in self._left.items() if left and self._allowed(name, what)]
        if not member.present:
            found.append("returns")
        elif not member.holds and name in self.record.voters and self._leads:
            found.append("has caught up")
        asked = member.leaving and member.present and name != self.primary
        if asked and self._leads and can_remove(self._input(), name):
            found.append("leaves")
        return found

    def _allowed(self, name: str, what: str) -> bool:
        member = self.members[name]
        if what in ("loses its disk", "becomes unreachable"):
            return member.present and len(self._lost_voters() - {name}) < self.bounds.tolerated
        if what == "is to be drained":
            remaining = [one for one, other in self.members.items() if one != name and self._stays(other)]
            return not member.retiring and len(remaining) >= max(3, 2 * self.bounds.tolerated + 1)
        return not member.leaving

    @staticmethod
    def _stays(member: MemberView) -> bool:
        return member.present and not (member.gone or member.leaving or member.retiring)

    def _lost_voters(self) -> set[str]:
        """Members that are not there, or came back and have not caught up: the operators count them as lost."""
        named = {*self.record.voters, *self.record.in_sync}
        return {one for one in named if self.members[one].gone or not self.members[one].present}

    @property
    def _leads(self) -> bool:
        member = self.members[self.primary]
        present = {one for one, other in self.members.items() if other.present and not other.gone}
        return member.present and not member.gone and is_majority(self.record.voters, present)

    def _heirs(self) -> list[str]:
        present = {one for one, other in self.members.items() if other.present and not other.gone}
        if not is_majority(self.record.voters, present):
            return []
        voters = set(self.record.voters) & set(self.record.in_sync) & present
        return sorted(voters - {self.primary})

    def apply(self, event: Event) -> None:
        """Part of StateMachine."""
        name, what = event
        if what == "joins":
            self.members[name] = MemberView()
            return
        member = self.members[name]
        if what in self._left:
            self._left[what] -= 1
        if what == "loses its disk":
            member.gone, member.present, member.holds = True, False, False
        elif what == "becomes unreachable":
            member.present = False
        elif what == "returns":
            member.present = True
            # What was committed meanwhile it lacks, unless nothing could be without it.
            member.holds = member.holds and name in self.record.in_sync
        elif what == "is asked to stop":
            member.leaving = True
        elif what == "is to be drained":
            member.retiring = True
        elif what == "has caught up":
            member.holds = True
        elif what == "leaves":
            member.gone, member.present = True, False
        elif what == "takes over":
            self.record = EpochRecord(self.record.epoch, name, self.record.in_sync, self.record.voters)
        else:
            self.record = self._plan()
            for one, other in self.members.items():
                other.holds = other.holds and one in self.record.in_sync

    def _plan(self) -> EpochRecord | None:
        planned = plan_next_record(self._input(), self.record.epoch)
        return planned if planned != self.record else None

    def _input(self) -> PlanInput:
        peers = {
            one: PeerView(0.0 if member.present else -100.0, one, member.leaving)
            for one, member in self.members.items()
            if one != self.primary
        }
        return PlanInput(
            base=self.record,
            primary=self.primary,
            now=0.0,
            unresponsive_after=UNREACHABLE_S,
            tolerated=self.bounds.tolerated,
            peers=peers,
            caught_up={one for one, member in self.members.items() if member.holds},
            lagging=set(),
            behind={one for one in self.record.in_sync if not self.members[one].holds},
            retiring={one for one, member in self.members.items() if member.retiring},
        )

    def key(self) -> Hashable:
        """Part of StateMachine. Epochs do not count."""
        members = tuple(
            (name, one.present, one.gone, one.holds, one.leaving, one.retiring)
            for name, one in sorted(self.members.items())
        )
        return self.record.primary, self.record.in_sync, self.record.voters, members, tuple(self._left.values())

    def check(self) -> None:
        """Part of StateMachine. Raises InvariantViolation."""
        record = self.record
        if not set(record.in_sync) <= set(record.voters):
            raise InvariantViolation(f"a copy counts that is no voter's: {record}")
        whole = {one for one in record.voters if not self.members[one].gone}
        if not is_majority(record.voters, whole):
            raise InvariantViolation(f"no majority is left of {record.voters}")
        if not any(one in whole and self.members[one].holds for one in record.in_sync):
            raise InvariantViolation(f"no copy is left of {record.in_sync}")


BOUNDS = (
    AdmissionBounds(),
    AdmissionBounds(newcomers=2, stops=2),
    AdmissionBounds(founders=4, newcomers=1, losses=1, stops=2),
    AdmissionBounds(founders=4, newcomers=1, losses=1, stops=1, retirements=1),
    AdmissionBounds(founders=5, newcomers=1, tolerated=2, losses=2, outages=1, stops=1),
)
