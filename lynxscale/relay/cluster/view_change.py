"""Views of one node: numbered lists of who belongs, each agreed by a majority of the one before. No I/O, no clock.

Each number is one decision of Paxos (Lamport 1998; single decree) among the members of the view before it, and names
what goes and what comes. View 1 is decided by all the nodes that the file names, as a node without memory cannot know
whether there ever was one. What a node promises is on disk before it is said (``Persist``), so that a vote outlives a
restart; a node whose memory is lost, or older than what others have heard from it, does not vote until a view that was
decided without it has taken it in by its new life.

A member may act while it holds a lease of a majority (Gray, Cheriton 1989). It counts from the moment at which it
asked, by the asker's clock; who grants it accepts no view without the asker until it has run out, by its own clock and
a margin for clocks that differ. Who has accepted any step grants nothing more in this view, and after a new view, as
after a start, nobody's removal is accepted for as long as what was granted before may hold: so no view without a node
begins while that node may still act, also where it has not heard of the views between.

Who promises tells how long such leases still hold, and grants no more of them; the proposer asks for acceptance once
that is over at so many that they decide. So nobody stands with an accepted step, granting nothing, while others wait.

Standing of a node, and what leads from one to the other:

    forming    no view yet: not all nodes have been heard, or all are being asked
    joining    there is a view, and this life is not in it
    cut_off    in the view, without a lease: no majority answers
    member     in the view, with a lease: it may act

Times are µs on a clock that goes on while the machine sleeps.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from lynxscale.relay.cluster.membership_table import Identity, Sight, State
from lynxscale.relay.cluster.messages import (
    NONE,
    Accept,
    Accepted,
    Ballot,
    Decided,
    Kept,
    LeaseAsk,
    LeaseBack,
    LeaseGrant,
    Prepare,
    Promise,
    Refuse,
    Step,
    View,
    Word,
    after,
    committee_of,
    quorum,
    removed,
)

# What is asked of the driver ------------------------------------------------------------------------


class Say(NamedTuple):
    to: str
    word: Word


class Persist(NamedTuple):
    """Keep this on disk; once it is there, and only then, say those. Orders are carried out one after the other."""

    kept: Kept
    then: tuple[Say, ...]


class Fetch(NamedTuple):
    """That node knows a later view: exchange with it."""

    frm: str


class Outvoted(NamedTuple):
    """A view has gone on without this life: a later one is to begin."""

    view: int


class Note(NamedTuple):
    """For the log, once a change."""

    event: str
    fields: dict


Order = Say | Persist | Fetch | Outvoted | Note


class Standing(Enum):
    FORMING = "forming"
    JOINING = "joining"
    CUT_OFF = "cut_off"
    MEMBER = "member"


@dataclass(frozen=True, slots=True)
class Terms:
    """µs, unless they are counts."""

    lease: int = 2_500_000
    margin: float = 0.02  # by which clocks may go apart; what is granted is held so much longer
    settle: int = 300_000  # for which something must be wanted before it is proposed
    turn: int = 400_000  # for which each node further down the list waits longer
    resend: int = 200_000
    give_up: int = 6_000_000  # of a proposal that gets no new answer
    patience: int = 30_000_000  # the same while enough are there to decide it: three times what a bad disk's sync takes
    rest: int = 1_000_000  # after one that failed, at least
    fresh: int = 3_000_000  # for which an answer to a probe shows that a node is there
    hold_off: int = 2_000_000  # after a second removal of a node within a while, doubled by each further one
    hold_off_most: int = 60_000_000
    hold_off_for: int = 600_000_000
    committee: int = 7  # members that are asked for leases, in larger views
    come_most: int = 12  # in one step: it has to fit a datagram


@dataclass(slots=True)
class _Proposal:
    number: int
    ballot: Ballot
    step: Step
    bound: bool  # somebody has accepted that step before
    moved: int  # when it last came on: began, or had an answer that is new
    resend_at: int
    hold_at: int  # when those who have answered are told next that it goes on
    promises: dict[str, tuple[Ballot, Step | None]] = field(default_factory=dict)
    ready: dict[str, int] = field(default_factory=dict)  # when each that has promised can accept
    accepts: set[str] = field(default_factory=set)
    refused: set[str] = field(default_factory=set)
    asking: bool = True  # for promises; else to accept


class Views:
    """One node's. ``sight`` is the detector's, looked at and never changed; ``answered`` tells when a node last
    answered a probe of ours; ``others`` the numbers of the views that others say they have."""

    def __init__(
        self,
        me: Identity,
        names: Iterable[str],
        seed: str,
        now: int,
        kept: Kept | None,
        sight: Sight,
        answered: Mapping[str, int],
        terms: Terms | None = None,
    ) -> None:
        self.me, self.names, self.terms = me, frozenset(names) | {me.name}, terms or Terms()
        self.kept = kept or Kept()
        self.standing = Standing.FORMING
        self.others: dict[str, int] = {}
        self.marks: dict[str, int] = dict(self.kept.heard)  # the highest that was heard of each
        self.checked: set[str] = set()  # who has told what it remembers of us
        self.forgotten: set[str] = set()  # names that an operator has given up
        self.split = ""  # views that contradict ours, in words
        self.leaving = False
        self._sight, self._answered = sight, answered
        self._chance = random.Random(f"{seed} {me.name} views")
        # Nothing is accepted that removes a node until then: what this or an earlier process has granted, or nodes
        # that have not heard of this view were granted in the one before, may hold until then.
        self._quiet_until = now + self._held(self.terms.lease)
        self._granted: dict[Identity, int] = {}  # until when, by our clock
        self._withheld: dict[Identity, int] = {}  # who gets no more, until when
        self._asked: dict[int, int] = {}  # token, when
        self._grants: dict[str, int] = {}  # who, and when we had asked
        self._token = self._chance.randrange(1 << 30)
        self._ask_at = now
        self._hurry_until = 0
        self._wanted: tuple[Step, int] | None = None  # and since when
        self._proposal: _Proposal | None = None
        self._round = 0
        self._rest_until = now
        self._failures = 0
        self._removals: dict[str, list[int]] = {}
        self._look_at = self._check_at = now
        self._jot_at = 0  # when what was heard of marks is written at the latest; 0: it is
        self._fetch_at: dict[str, int] = {}
        self._out: list[Order] = []

    # What others ask -----------------------------------------------------------------------------

    @property
    def view(self) -> View | None:
        return self.kept.view

    @property
    def number(self) -> int:
        return self.kept.view.number if self.kept.view is not None else 0

    def lease_until(self, now: int) -> int:
        """Until when this node may act, if nothing more is granted; 0 where it may not."""
        view = self.kept.view
        if view is None or self.split or self.leaving or self.me not in view.members:
            return 0
        if self.kept.accepted is not None and self.me in removed(view, self.kept.accepted):
            return 0
        committee = committee_of(view, self.terms.committee)
        times = sorted((now if name == self.me.name else self._grants.get(name, 0) for name in committee), reverse=True)
        asked = times[len(committee) // 2]
        return asked + self.terms.lease if asked else 0

    def may_act(self, now: int) -> bool:
        """Has it a lease? ``now`` has to be read right before the act."""
        return now < self.lease_until(now)

    def due(self) -> int:
        """When ``tick`` is wanted next, at the latest."""
        times = [self._look_at, self._ask_at]
        proposal = self._proposal
        if proposal is not None:
            times.append(proposal.resend_at)
            if proposal.asking and (ready := self._ready_at()) is not None:
                times.append(ready)
        return min(times)

    @property
    def proposing(self) -> bool:
        return self._proposal is not None

    def reach(self, now: int) -> list[str]:
        """Members of the committee that have granted a lease lately, this node with them."""
        return sorted(name for name, asked in self._grants.items() if now < asked + self.terms.lease)

    # Events --------------------------------------------------------------------------------------

    def changed(self, now: int) -> None:
        """The sight has changed: look soon."""
        self._look_at = min(self._look_at, now)

    def tick(self, now: int) -> list[Order]:
        """The time has come to look."""
        if now >= self._look_at:
            self._look(now)
            idle = self._wanted is None and self._proposal is None and self.standing is Standing.MEMBER
            self._look_at = now + (REST_EVERY if idle else LOOK_EVERY)
            if self._jot_at and now >= self._jot_at:
                self._keep(self.kept)
        if now >= self._ask_at:
            self._ask(now)
            self._ask_at = now + self._ask_again(now)
        proposal = self._proposal
        if proposal is not None:
            if now - proposal.moved > self._patience(now):
                self._give_up(now, "no majority answers")
            elif not self._accept_when_ready(now) and now >= proposal.resend_at:
                self._press(now)
        return self._done(now)

    def press(self, now: int) -> list[Order]:
        """Go on with the proposal under way, whether or not its time has come."""
        if self._proposal is not None and not self._accept_when_ready(now):
            self._press(now)
        return self._done(now)

    def heard(self, now: int, frm: str, who: Identity, word: Word) -> list[Order]:
        """A word of another node; ``who`` is the process that sent it."""
        if frm in self.names:
            HANDLERS[type(word)](self, now, frm, who, word)
        return self._done(now)

    def behind(self, now: int, frm: str, number: int, mark: int) -> list[Order]:
        """A frame of another node told the number of its view, and its mark."""
        if frm not in self.names:
            return []
        self._heard_mark(now, frm, mark)
        self.others[frm] = number
        if number > self.number:
            self._fetch(now, frm)
        return self._done(now)

    def exchanged(self, now: int, frm: str, view: View | None, marks: Mapping[str, int]) -> list[Order]:
        """The whole of what another node has: its view, and the marks that it knows of."""
        if frm not in self.names:
            return []
        for name, mark in marks.items():
            if name != self.me.name and name in self.names:
                self._heard_mark(now, name, mark)
        if marks.get(self.me.name, 0) > self.kept.mark:
            self._went_back(marks[self.me.name])
        if view is not None:
            self._learn(now, view, frm)
        self.checked.add(frm)
        return self._done(now)

    def renew(self, now: int, me: Identity) -> list[Order]:
        """A new life of this process. What was granted to the one before is not its own."""
        self.me = me
        self._grants.clear()
        self._asked.clear()
        return self._done(now)

    def rename(self, now: int, names: Iterable[str]) -> list[Order]:
        """Another configuration."""
        self.names = frozenset(names) | {self.me.name}
        for table in (self.others, self.marks):
            for name in set(table) - self.names:
                del table[name]
        return self._done(now)

    def forget(self, now: int, name: str) -> str:
        """An operator says that a machine is gone for good; why it cannot be, or an empty text."""
        view = self.kept.view
        if name == self.me.name:
            return "that is this node itself"
        if view is None or name not in view.names:
            return f"{name} is not in the view"
        if self._sight.state(name) is State.ALIVE:
            return f"{name} is alive; stop it first"
        self.forgotten.add(name)
        self._look_at = now
        return ""

    def leave(self, now: int) -> list[Order]:
        """This process ends and acts no more: what it was granted is free."""
        view = self.kept.view
        held = self.me in view.members if view is not None else False
        self.leaving = True
        if held:
            for name in committee_of(view, self.terms.committee) - {self.me.name}:
                self._say(name, LeaseBack(view.number))
        return self._done(now)

    # Memory --------------------------------------------------------------------------------------

    def _heard_mark(self, now: int, name: str, mark: int) -> None:
        if mark > self.marks.get(name, 0):
            self.marks[name] = mark
            # Known after a restart of ours too: with our next vote, or soon without one. Not at once, as each vote of
            # each node would cost all others a write.
            self._jot_at = self._jot_at or now + JOT_AFTER

    def _say(self, to: str, word: Word) -> None:
        self._out.append(Say(to, word))

    def _keep(self, kept: Kept, *then: Say) -> None:
        """Say those once this is on disk. A word to ourselves is heard in the same way."""
        self._jot_at = 0
        self.kept = kept._replace(mark=kept.mark + bool(then), heard=tuple(sorted(self.marks.items())))
        self._out.append(Persist(self.kept, then))

    def _went_back(self, mark: int) -> None:
        """Others have heard more from this node than it remembers."""
        if self.kept.votes:
            self._out.append(Note("forgot", {"mark": self.kept.mark, "heard": mark}))
        self._keep(self.kept._replace(mark=mark, votes=False))
        self._proposal = None

    def votes(self, now: int) -> bool:
        """Does it remember all that it has promised, as far as others can tell?"""
        if not self.kept.votes or self.split:
            return False
        view = self.kept.view
        if view is None:
            return self.names <= self.checked | {self.me.name}
        if self.me.name not in view.names:
            return False
        return self.me in view.members or quorum(view, frozenset(view.names))(self.checked | {self.me.name})

    # Learning ------------------------------------------------------------------------------------

    def _learn(self, now: int, view: View, frm: str) -> None:
        """A view that was decided, from somebody who has it."""
        ours = self.kept.view
        if ours is not None and view.lineage != ours.lineage:
            self._contradicted(
                f"{frm} is in a cluster that began apart: lineage {view.lineage:x}, ours {ours.lineage:x}"
            )
        elif view.number == self.number and ours is not None and view.digest != ours.digest:
            self._contradicted(f"{frm} has another view {view.number}: {view.digest:x}, ours {ours.digest:x}")
        elif view.number > self.number:
            self._install(now, view)

    def _contradicted(self, what: str) -> None:
        if not self.split:
            self.split = what
            self._out.append(Note("split", {"what": what}))

    def _install(self, now: int, view: View) -> None:
        ours = self.kept.view
        # Who knows of no view may have forgotten one: it votes once a view has it by this very life.
        votes = self.me in view.members or (self.kept.votes and ours is not None)
        if ours is not None:
            there = set(view.members)
            for one in ours.members:
                if one not in there and one.name not in view.names:
                    self._removals.setdefault(one.name, []).append(now)
        self._keep(Kept(view, mark=self.kept.mark, votes=votes))
        self._grants.clear()
        self._asked.clear()
        self._granted.clear()
        self._withheld.clear()
        self._quiet_until = now + self._held(self.terms.lease)
        self._proposal = self._wanted = None
        self._failures = 0
        self._ask_at = self._look_at = now
        self._hurry_until = now + 2 * self.terms.lease
        self.forgotten &= set(view.names)
        before = set(ours.members) if ours is not None else set()
        self._out.append(
            Note(
                "view",
                {
                    "number": view.number,
                    "digest": f"{view.digest:x}",
                    "members": " ".join(view.names),
                    "come": " ".join(f"{one.name}/{one.life}" for one in view.members if one not in before),
                    "gone": " ".join(f"{one.name}/{one.life}" for one in sorted(before - set(view.members))),
                },
            )
        )

    # Leases --------------------------------------------------------------------------------------

    def _held(self, lease: int) -> int:
        """For how long one who grants keeps to it."""
        return int(lease * (1 + self.terms.margin))

    def _ask(self, now: int) -> None:
        view = self.kept.view
        if view is None or self.leaving or self.split or self.me not in view.members:
            return
        if now < self._withheld.get(self.me, 0):
            return
        self._token += 1
        self._asked = {token: at for token, at in self._asked.items() if now - at < self.terms.lease}
        self._asked[self._token] = now
        for name in sorted(committee_of(view, self.terms.committee) - {self.me.name}):
            if now - self._grants.get(name, 0) > self.terms.resend:
                self._say(name, LeaseAsk(view.number, view.digest, self._token))

    def _ask_again(self, now: int) -> int:
        """µs until the next asking. Guards a healthy member on a bad network: while asks or grants are lost they go
        again soon; who has been without a lease for long has no hurry."""
        lease, until = self.terms.lease, self.lease_until(now)
        if until > now:
            self._hurry_until = now + 2 * lease
        return self.terms.resend if until - now < 2 * lease // 3 and now < self._hurry_until else lease // 4

    def _on_ask(self, now: int, frm: str, who: Identity, word: LeaseAsk) -> None:
        view = self.kept.view
        if view is None or (word.number, word.digest) != (view.number, view.digest) or who not in view.members:
            if view is not None and word.number < view.number:
                self._say(frm, Refuse(word.number, NONE, 0, "behind"))  # its head tells what there is to fetch
            return
        if self.split or self.kept.accepted is not None or now < self._withheld.get(who, 0):
            return  # the next view may be decided already, and count on no more leases in this one
        self._granted[who] = now + self._held(self.terms.lease)
        self._say(frm, LeaseGrant(word.number, word.token))

    def _on_grant(self, now: int, frm: str, who: Identity, word: LeaseGrant) -> None:
        asked = self._asked.get(word.token)
        if asked is not None and word.number == self.number:
            self._grants[frm] = max(asked, self._grants.get(frm, 0))

    def _on_back(self, now: int, frm: str, who: Identity, word: LeaseBack) -> None:
        self._granted.pop(who, None)

    # What is wanted ------------------------------------------------------------------------------

    def _look(self, now: int) -> None:
        """Is another view wanted, and is it ours to propose?"""
        votes = self.votes(now)
        if not votes and self.kept.votes and now >= self._check_at:
            self._check_at = now + self.terms.settle
            unchecked = [
                name
                for name in sorted(self.names - self.checked - {self.me.name})
                if self._sight.state(name) is State.ALIVE
            ]
            for name in self._chance.sample(unchecked, min(len(unchecked), 3)):
                self._out.append(Fetch(name))
        step = None
        if votes and not (self.leaving or self._proposal):
            # What has been accepted is brought to its end first: until then nobody grants leases here.
            step = self.kept.accepted or self._step(now)
        if step is None:
            if self._proposal is None:
                self._wanted = None
            return
        if self._wanted is None or self._wanted[0] != step:
            self._wanted = step, now
        since = now - self._wanted[1]
        if since >= self.terms.settle + self._rank() * self.terms.turn and now >= self._rest_until:
            self._propose(now, step)

    def _rank(self) -> int:
        """Our place among those who could propose: they take turns."""
        view = self.kept.view
        names = self.names if view is None else view.names
        there = sorted(name for name in names if name == self.me.name or self._sight.state(name) is State.ALIVE)
        return there.index(self.me.name) if self.me.name in there else len(there)

    def _present(self, name: str) -> Identity | None:
        """The life of a node that is believed to be there; None where none is."""
        if name == self.me.name:
            return self.me
        known = self._sight.get(name)
        return known.rumour.who if known is not None and known.rumour.state is State.ALIVE else None

    def _step(self, now: int) -> Step | None:
        view = self.kept.view
        if view is None:
            return self._first(now)
        gone, come = [], []
        for one in view.members:
            if one.name == self.me.name:
                continue
            known = self._sight.get(one.name)
            over = one.name in self.forgotten or (
                known is not None
                and known.rumour.who[1:] >= one[1:]
                and known.rumour.state in (State.FAILED, State.LEFT)
            )
            if over:
                gone.append(one.name)
        for name in sorted(self.names - set(gone)):
            present, listed = self._present(name), view.life_of(name)
            if present is None or present == listed or (listed is not None and present[1:] < listed[1:]):
                continue
            if listed is None and now < self._held_off_until(name):
                continue
            if name != self.me.name and not self._lately(name, now):
                continue
            come.append(present)
        # Most of those who are in it stay: what follows is decided by people who know what came before.
        room = (len(view.members) - 1) // 2
        step = Step(tuple(gone[:room]), tuple(come[: self.terms.come_most]))
        return step if step.gone or step.come else None

    def _first(self, now: int) -> Step | None:
        """View 1, once all that the file names are there and none of them knows of a view."""
        present = [self._present(name) for name in sorted(self.names)]
        if None in present or any(self.others.get(name, 1) for name in self.names - {self.me.name}):
            return None
        return (
            Step((), tuple(present[: self.terms.come_most]), 1 + self._chance.getrandbits(62))
            if self._wanted is None
            else self._wanted[0]._replace(come=tuple(present[: self.terms.come_most]))
        )

    def _lately(self, name: str, now: int) -> bool:
        answered = self._answered.get(name)
        return answered is not None and now - answered < max(self.terms.fresh, len(self.names) * self.terms.fresh // 6)

    def _held_off_until(self, name: str) -> int:
        """Guards against a node that comes and goes: each removal keeps it out for twice as long as the one before."""
        terms = self.terms
        times = self._removals.get(name, [])
        if not times:
            return 0
        recent = [at for at in times if times[-1] - at < terms.hold_off_for]
        self._removals[name] = recent
        if len(recent) < 2:
            return 0
        return recent[-1] + min(terms.hold_off_most, terms.hold_off << (len(recent) - 2))

    # Proposing -----------------------------------------------------------------------------------

    def _acceptors(self) -> frozenset[str]:
        view = self.kept.view
        return self.names if view is None else frozenset(view.names)

    def _decides(self, names: Iterable[str]) -> bool:
        """The first view needs all: who has no memory cannot know what it has forgotten."""
        view = self.kept.view
        if view is None:
            return self.names <= set(names)
        return quorum(view, committee_of(view, self.terms.committee))(names)

    def propose(self, now: int, step: Step) -> list[Order]:
        """Try to have that decided."""
        self._propose(now, step)
        return self._done(now)

    def ask(self, now: int) -> list[Order]:
        """Ask for leases."""
        self._ask(now)
        return self._done(now)

    def _propose(self, now: int, step: Step, bound: bool = False) -> None:
        self._round = max(self._round, self.kept.promised.round) + 1
        ballot = Ballot(self._round, self.me.name, self.me.boot)
        self._proposal = _Proposal(
            self.number + 1, ballot, step, bound or step == self.kept.accepted, now, now, now + self.terms.rest // 3
        )
        self._press(now)

    def _press(self, now: int) -> None:
        """Ask whoever has not answered so far."""
        proposal = self._proposal
        proposal.resend_at = now + self.terms.resend
        view = self.kept.view
        base = view.digest if view is not None else 0
        kind, answered = (Prepare, proposal.promises) if proposal.asking else (Accept, proposal.accepts)
        word = kind(proposal.number, base, proposal.ballot.round, proposal.step, proposal.bound)
        asked = self._acceptors() - set(answered)
        if now >= proposal.hold_at:
            # Guards against those who have answered and would propose themselves while slower disks still write.
            proposal.hold_at = now + self.terms.rest // 3
            asked = self._acceptors()
        for name in sorted(asked - {self.me.name}):
            self._say(name, word)
        if self.me.name in asked and self.me.name not in answered:
            HANDLERS[kind](self, now, self.me.name, self.me, word)

    def _ready_at(self) -> int | None:
        """When so many of those who have promised can accept that they decide; None: too few have promised."""
        ready = self._proposal.ready
        names: list[str] = []
        for name, at in sorted(ready.items(), key=lambda row: row[1]):
            names.append(name)
            if self._decides(names):
                return at
        return None

    def _accept_when_ready(self, now: int) -> bool:
        """Ask for acceptance, if the time for it has come."""
        proposal = self._proposal
        at = self._ready_at() if proposal.asking else None
        if at is None or now < at:
            return False
        proposal.asking, proposal.moved = False, now
        proposal.refused.clear()
        self._press(now)
        return True

    def _patience(self, now: int) -> int:
        """µs for which the proposal may go without a new answer. Guards those whose disks are slow: begun anew it would
        cost them another write, and never be voted on."""
        there = {
            name
            for name in self._acceptors() - self._proposal.refused
            if name == self.me.name or (self._sight.state(name) is State.ALIVE and self._lately(name, now))
        }
        return self.terms.patience if self._decides(there) else self.terms.give_up

    def _give_up(self, now: int, why: str) -> None:
        self._failures += 1
        rest = self.terms.rest * (1 + min(self._failures, 4)) * self._chance.uniform(0.5, 1.5)
        self._out.append(Note("proposal_failed", {"number": self._proposal.number, "why": why}))
        self._proposal = self._wanted = None
        self._rest_until = now + int(rest)

    def _on_prepare(self, now: int, frm: str, who: Identity, word: Prepare) -> None:
        ballot, kept = Ballot(word.round, frm, who.boot), self.kept
        if not self._fit(now, frm, ballot, word):
            return
        wait = self._wait(now, word)
        if wait is None:
            self._refuse(frm, word.number, ballot, "alive")
            return
        if frm != self.me.name:
            # Guards a proposer that waits for leases to run out, or for the slower disks of others, against those whose
            # turn would come meanwhile.
            self._rest_until = max(self._rest_until, now + wait + self.terms.rest)
        promise = Say(frm, Promise(word.number, ballot, kept.ballot, kept.accepted, wait))
        if ballot == kept.promised:
            self._out.append(Persist(kept, (promise,)))  # said once more; behind what may still be on its way to disk
        else:
            self._keep(kept._replace(promised=ballot), promise)

    def _wait(self, now: int, word: Prepare | Accept) -> int | None:
        """µs for which what was granted forbids to accept this; None: a life that would go answers us.

        Those lives are granted no more: else one that has to go would be renewed for ever.
        """
        wait = 0
        for one in removed(self.kept.view, word.step):
            if not word.bound and one.name not in self.forgotten and self._is_there(one, now):
                return None
            until = self.lease_until(now) if one == self.me else self._granted.get(one, 0)
            wait = max(wait, until - now, self._quiet_until - now)
            self._withheld[one] = now + 2 * self._held(self.terms.lease)
        return wait

    def _fit(self, now: int, frm: str, ballot: Ballot, word: Prepare | Accept) -> bool:
        """Can it be voted on here? If not, the asker is told why."""
        view, why = self.kept.view, ""
        if word.number > self.number + 1:
            self._fetch(now, frm)
            return False
        if word.number <= self.number:
            why = "behind"
        elif word.base != (view.digest if view is not None else 0):
            why = "other_base"
        elif not self.votes(now):
            why = "cannot_vote"
        elif ballot < self.kept.promised:
            why = "promised"
        if why:
            self._refuse(frm, word.number, ballot, why)
        return not why

    def _refuse(self, frm: str, number: int, ballot: Ballot, why: str) -> None:
        self._say(frm, Refuse(number, ballot, self.kept.promised.round, why))

    def _on_promise(self, now: int, frm: str, who: Identity, word: Promise) -> None:
        proposal = self._proposal
        if not self._ours(word) or not proposal.asking:
            return
        if frm not in proposal.promises:
            proposal.moved = now
        proposal.promises[frm] = (word.ballot, word.step)
        proposal.ready[frm] = now + self._held(word.wait)
        if not self._decides(proposal.promises):
            return
        _, step = max(proposal.promises.values(), key=lambda row: row[0])
        if step is not None and step != proposal.step:
            self._propose(now, step, bound=True)  # it may be decided already: ours has to wait
            return
        proposal.bound = proposal.bound or step is not None
        self._accept_when_ready(now)

    def _on_accept(self, now: int, frm: str, who: Identity, word: Accept) -> None:
        ballot, kept = Ballot(word.round, frm, who.boot), self.kept
        if not self._fit(now, frm, ballot, word):
            return
        if frm != self.me.name:
            # Guards a proposer that waits for a slow disk, here or elsewhere: it asks again until it has its answer,
            # and a proposal of ours meanwhile would have it begin anew.
            self._rest_until = max(self._rest_until, now + self.terms.rest)
        accepted = Say(frm, Accepted(word.number, ballot))
        if ballot == kept.ballot:
            self._out.append(Persist(kept, (accepted,)))
            return
        wait = self._wait(now, word)
        if wait is None:
            self._refuse(frm, word.number, ballot, "alive")
        elif wait:
            self._refuse(frm, word.number, ballot, "lease")
        else:
            self._keep(kept._replace(promised=ballot, ballot=ballot, accepted=word.step), accepted)

    def _is_there(self, who: Identity, now: int) -> bool:
        """Guards a node against those whose own way to it is bad: this very life answers us."""
        known = self._sight.get(who.name)
        return (
            known is not None
            and known.rumour.who == who
            and known.rumour.state is State.ALIVE
            and self._lately(who.name, now)
        )

    def _on_accepted(self, now: int, frm: str, who: Identity, word: Accepted) -> None:
        proposal = self._proposal
        if not self._ours(word) or proposal.asking:
            return
        if frm not in proposal.accepts:
            proposal.moved = now
        proposal.accepts.add(frm)
        if not self._decides(proposal.accepts):
            return
        view = self.kept.view
        base = view.digest if view is not None else 0
        told = (set(self._acceptors()) | {one.name for one in proposal.step.come}) - {self.me.name}
        for name in sorted(told):
            self._say(name, Decided(proposal.number, base, proposal.step))
        self._install(now, after(view, proposal.step))

    def _on_refuse(self, now: int, frm: str, who: Identity, word: Refuse) -> None:
        proposal = self._proposal
        if not self._ours(word):
            return
        self._round = max(self._round, word.promised)
        if word.why != "lease":
            proposal.refused.add(frm)
        if not self._decides(self._acceptors() - proposal.refused):
            self._give_up(now, f"{word.why}, says {frm}")
        elif word.why == "promised":
            self._give_up(now, f"{frm} has promised another")

    def _ours(self, word: Promise | Accepted | Refuse) -> bool:
        proposal = self._proposal
        return proposal is not None and (word.number, word.to) == (proposal.number, proposal.ballot)

    def _on_decided(self, now: int, frm: str, who: Identity, word: Decided) -> None:
        view = self.kept.view
        if word.number == self.number + 1 and word.base == (view.digest if view is not None else 0):
            self._install(now, after(view, word.step))
        elif word.number > self.number:
            self._fetch(now, frm)

    def _fetch(self, now: int, frm: str) -> None:
        """It has a view that we don't have; asked for in whole, again and again until it is here."""
        if now >= self._fetch_at.get(frm, now):
            self._fetch_at[frm] = now + self.terms.settle
            self._out.append(Fetch(frm))

    # Standing ------------------------------------------------------------------------------------

    def _standing(self, now: int) -> Standing:
        view = self.kept.view
        if view is None:
            return Standing.FORMING
        if self.me in view.members:
            return Standing.MEMBER if self.may_act(now) else Standing.CUT_OFF
        return Standing.JOINING

    def _done(self, now: int) -> list[Order]:
        standing = self._standing(now)
        if standing is not self.standing:
            before, self.standing = self.standing, standing
            if before in (Standing.MEMBER, Standing.CUT_OFF) and standing is Standing.JOINING:
                self._out.append(Outvoted(self.number))
            self._out.append(Note("standing", {"now": standing.value, "before": before.value, "view": self.number}))
        out, self._out = self._out, []
        return out


LOOK_EVERY, REST_EVERY = 100_000, 500_000  # µs; the second while nothing is wanted
JOT_AFTER = 5_000_000
HANDLERS: dict[type, Callable] = {
    Prepare: Views._on_prepare,
    Promise: Views._on_promise,
    Accept: Views._on_accept,
    Accepted: Views._on_accepted,
    Refuse: Views._on_refuse,
    Decided: Views._on_decided,
    LeaseAsk: Views._on_ask,
    LeaseGrant: Views._on_grant,
    LeaseBack: Views._on_back,
}
