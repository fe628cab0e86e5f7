"""Model of admission, replacement and graceful leave: the membership plans of a primary while members fail.

Members become unreachable and return, lose their disks, join, catch up, are asked to stop or to be drained, and leave
once this is allowed. The primary applies its plan step by step, and another member may become primary.

Invariants, provided that all unreachable members return and no more disks are lost than tolerated: a majority of the
voters and an up-to-date in-sync replica remain. Only voters are in the in-sync set.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass

import msgspec

from lab.model_checker import Event, InvariantViolation
from lynxscale.coordination.membership_plan import PlanInput, can_remove, plan_next_record
from lynxscale.coordination.messages import EpochRecord
from lynxscale.coordination.peer_table import PeerView
from lynxscale.coordination.quorum import DecidedRecord, Quorum, quorum_of

UNREACHABLE_S = 0.3


@dataclass(frozen=True)
class AdmissionBounds:
    """How often each event may happen. ``tolerated``: how many members may be lost at a time."""

    founders: int = 3
    newcomers: int = 1
    tolerated: int = 1
    disk_losses: int = 1
    outages: int = 1
    stops: int = 1
    retirements: int = 0


@dataclass
class ModelMember:
    """State of one member. ``permanently_lost``: it has left, or lost its disk; ``up_to_date``: it has caught up."""

    present: bool = True
    permanently_lost: bool = False
    up_to_date: bool = False
    leaving: bool = False
    retiring: bool = False


class Admission:
    """The state machine of the model."""

    def __init__(self, bounds: AdmissionBounds) -> None:
        self.bounds = bounds
        self.names = [f"m{number}:1#0" for number in range(bounds.founders + bounds.newcomers)]
        voters = tuple(self.names[: max(3, 2 * bounds.tolerated + 1)])
        self.record = EpochRecord(1, voters[0], voters, voters, voters)
        self._known_decided = True  # the primary has decided the record itself
        self.members = {name: ModelMember(up_to_date=True) for name in self.names[: bounds.founders]}
        for name in self.names[len(voters) : bounds.founders]:
            self.members[name].up_to_date = False
        self._remaining_faults = {
            "loses its disk": bounds.disk_losses,
            "becomes unreachable": bounds.outages,
            "is asked to stop": bounds.stops,
            "is to be drained": bounds.retirements,
        }

    @property
    def primary(self) -> str:
        """The id of the primary, which plans changes of the membership."""
        return self.record.primary

    def events(self) -> list[Event]:
        """Part of StateMachine."""
        possible_events: list[Event] = []
        for name in self.names:
            possible_events += [(name, action) for action in self._member_events(name)]
        if self._primary_has_majority and self._plan() is not None:
            possible_events.append((self.primary, "decides"))
        possible_events += [(name, "takes over") for name in self._possible_successors()]
        return possible_events

    def _member_events(self, name: str) -> list[str]:
        member = self.members.get(name)
        if member is None:
            return ["joins"]
        if member.permanently_lost:
            return []
        possible_events = [
            action
            for action, remaining in self._remaining_faults.items()
            if remaining and self._is_allowed(name, action)
        ]
        if not member.present:
            possible_events.append("returns")
        elif not member.up_to_date and name in self.record.voters and self._primary_has_majority:
            possible_events.append("has caught up")
        asked_to_leave = member.leaving and member.present and name != self.primary
        if asked_to_leave and self._primary_has_majority and self._may_leave(name):
            possible_events.append("leaves")
        return possible_events

    def _may_leave(self, name: str) -> bool:
        """Does the primary approve the leave? Not before a change of the voters is settled."""
        settled = self._known_decided and not quorum_of(self.record).is_joint
        return settled and can_remove(self._plan_input(), name)

    def _is_allowed(self, name: str, action: str) -> bool:
        member = self.members[name]
        if action in ("loses its disk", "becomes unreachable"):
            return member.present and len(self._lost_voters() - {name}) < self.bounds.tolerated
        if action == "is to be drained":
            remaining = [
                other_name
                for other_name, other in self.members.items()
                if other_name != name and self._remains_member(other)
            ]
            return not member.retiring and len(remaining) >= max(3, 2 * self.bounds.tolerated + 1)
        return not member.leaving

    @staticmethod
    def _remains_member(member: ModelMember) -> bool:
        return member.present and not (member.permanently_lost or member.leaving or member.retiring)

    def _lost_voters(self) -> set[str]:
        """Voters and in-sync members that are unreachable or permanently lost."""
        named = {*quorum_of(self.record).members, *self.record.in_sync}
        return {
            other_name
            for other_name in named
            if self.members[other_name].permanently_lost or not self.members[other_name].present
        }

    @property
    def _primary_has_majority(self) -> bool:
        member = self.members[self.primary]
        present = {
            other_name for other_name, other in self.members.items() if other.present and not other.permanently_lost
        }
        return member.present and not member.permanently_lost and self._quorum.is_reached(present)

    @property
    def _quorum(self) -> Quorum:
        """The quorum that the primary's next round needs."""
        return quorum_of(DecidedRecord(self.record) if self._known_decided else self.record)

    def _possible_successors(self) -> list[str]:
        present = {
            other_name for other_name, other in self.members.items() if other.present and not other.permanently_lost
        }
        if not quorum_of(self.record).is_reached(present):
            return []
        voters = set(self.record.voters) & set(self.record.in_sync) & present
        return sorted(voters - {self.primary})

    def apply(self, event: Event) -> None:
        """Part of StateMachine."""
        name, action = event
        if action == "joins":
            self.members[name] = ModelMember()
            return
        member = self.members[name]
        if action in self._remaining_faults:
            self._remaining_faults[action] -= 1
        if action == "loses its disk":
            member.permanently_lost, member.present, member.up_to_date = True, False, False
        elif action == "becomes unreachable":
            member.present = False
        elif action == "returns":
            member.present = True
            # A returning member lacks the writes committed meanwhile; nothing is committed without an in-sync member.
            member.up_to_date = member.up_to_date and name in self.record.in_sync
        elif action == "is asked to stop":
            member.leaving = True
        elif action == "is to be drained":
            member.retiring = True
        elif action == "has caught up":
            member.up_to_date = True
        elif action == "leaves":
            member.permanently_lost, member.present = True, False
        elif action == "takes over":
            self.record = msgspec.structs.replace(self.record, primary=name)
            self._known_decided = False
        else:
            self.record = self._plan()
            self._known_decided = True
            for other_name, other in self.members.items():
                other.up_to_date = other.up_to_date and other_name in self.record.in_sync

    def _plan(self) -> EpochRecord | None:
        planned = plan_next_record(self._plan_input(), self.record.epoch)
        changes = planned.in_sync != self.record.in_sync or quorum_of(planned) != quorum_of(self.record)
        return planned if changes or not self._known_decided else None

    def _plan_input(self) -> PlanInput:
        peers = {
            peer: PeerView(0.0 if member.present else -100.0, peer, member.leaving)
            for peer, member in self.members.items()
            if peer != self.primary
        }
        return PlanInput(
            base=self.record,
            base_quorum=self._quorum,
            primary=self.primary,
            now=0.0,
            unresponsive_after=UNREACHABLE_S,
            tolerated=self.bounds.tolerated,
            peers=peers,
            caught_up={peer for peer, member in self.members.items() if member.up_to_date},
            lagging=set(),
            behind={peer for peer in self.record.in_sync if not self.members[peer].up_to_date},
            retiring={peer for peer, member in self.members.items() if member.retiring},
        )

    def key(self) -> Hashable:
        """Part of StateMachine. States that differ only in their epoch are equal."""
        members = tuple(
            (name, member.present, member.permanently_lost, member.up_to_date, member.leaving, member.retiring)
            for name, member in sorted(self.members.items())
        )
        return (
            self.record.primary,
            self.record.in_sync,
            quorum_of(self.record),
            self._known_decided,
            members,
            tuple(self._remaining_faults.values()),
        )

    def check(self) -> None:
        """Part of StateMachine. Raises InvariantViolation."""
        record = self.record
        if not set(record.in_sync) <= set(record.voters):
            raise InvariantViolation(f"an in-sync member is not a voter: {record}")
        intact = {voter for voter in record.voters if not self.members[voter].permanently_lost}
        intact.update(voter for voter in quorum_of(record).members if not self.members[voter].permanently_lost)
        if not quorum_of(record).is_reached(intact):
            raise InvariantViolation(f"no quorum is left of {quorum_of(record)}")
        if not any(voter in intact and self.members[voter].up_to_date for voter in record.in_sync):
            raise InvariantViolation(f"no up-to-date replica is left of {record.in_sync}")


BOUNDS = (
    AdmissionBounds(),
    AdmissionBounds(newcomers=2, stops=2),
    AdmissionBounds(founders=4, newcomers=1, disk_losses=1, stops=2),
    AdmissionBounds(founders=4, newcomers=1, disk_losses=1, stops=1, retirements=1),
    AdmissionBounds(founders=5, newcomers=1, tolerated=2, disk_losses=2, outages=1, stops=1),
)
