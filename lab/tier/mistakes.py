"""Mistakes put in on purpose, each of which the histories must find: ``python -m lab.tier.mistakes``.

Each is a patch of one class. Where a mistake stays unfound, the checker or the faults are too weak.
"""

from __future__ import annotations

import logging
import sys
from collections.abc import Callable
from contextlib import ExitStack
from unittest.mock import patch

from lab.tier.histories import History
from lynxscale.controlplane import operator_api
from lynxscale.controlplane.ledger import Ledger, Turn
from lynxscale.coordination import messages as m
from lynxscale.coordination import register
from lynxscale.coordination.epochs import Witness
from lynxscale.coordination.follower import Follower
from lynxscale.coordination.leadership import Leadership
from lynxscale.coordination.lease import HeldLease
from lynxscale.coordination.replication import Replicator
from lynxscale.coordination.store import Store
from lynxscale.coordination.tree import Publisher
from lynxscale.dataplane.attempt import Attempt, Outcome
from lynxscale.dataplane.forwarding import ForwardedRequest
from lynxscale.dataplane.turns import Turn as RelayTurn

MOST_HISTORIES = 1000

Patches = list[tuple[type, str, Callable]]


def acknowledged_before_stored() -> Patches:
    """A batch counts as committed as soon as the primary has written it."""
    return [(Replicator, "lacking", property(lambda self: set()))]


def one_copy_is_enough() -> Patches:
    """The primary acknowledges alone, and members that are silent are not waited for."""

    def check(self: Replicator) -> None:
        self._must_store, self._least_copies = {self.member}, 1
        original(self)

    original = Replicator._check_commit
    return [(Replicator, "_check_commit", check)]


def lease_is_never_checked() -> Patches:
    """A primary acts although its lease has ended."""

    return [(HeldLease, "held", property(lambda self: True)), (Leadership, "lost", property(lambda self: False))]


def promise_while_another_holds_a_lease() -> Patches:
    """A witness does not wait for the lease that it granted."""
    return [(Witness, "lease_left", property(lambda self: 0.0))]


def wiped_member_votes_as_before() -> Patches:
    """A member without its disk takes its former id."""

    def new_state(who: register.MemberIdentity, first_start: bool, random) -> register.RegisterState:  # noqa: ANN001
        founders = tuple(register.founder_id(address) for address in sorted(who.seeds))
        founding = m.EpochRecord(0, "", founders, founders)
        return register.RegisterState(register.founder_id(who.address), founding)

    return [(register, "_new_state", new_state)]


def turn_is_durable_later() -> Patches:
    """A turn's end is acknowledged before its record is stored."""

    def reply(self, call, answer, puts) -> None:  # noqa: ANN001
        if puts:
            self.member.submit(puts, lambda committed: None)
        self._network.send(call.caller, m.Reply(call.number, call.life, answer))

    from lynxscale.controlplane.service import ControlService

    return [(ControlService, "_reply_when_durable", reply)]


def reservation_is_forgotten() -> Patches:
    """Only what was handed out counts, not what open turns may hand out yet."""
    from lynxscale.controlplane.ledger import Program

    return [(Program, "committed", property(lambda self: self.spent))]


def settled_at_nothing() -> Patches:
    """A turn is settled with no tokens."""
    original = RelayTurn._finish
    return [(RelayTurn, "_finish", lambda self, tokens, content: original(self, 0, content))]


def chain_lacks_its_oldest() -> Patches:
    """A history stops after two turns."""

    def history(self: Ledger, last: str) -> bytes | None:
        contents, name = [], last
        while name and len(contents) < 2:
            raw = self._values.get("turn/" + name)
            if raw is None:
                return None
            turn = msgspec_decode(raw)
            contents.append(turn.content)
            name = turn.previous
        return b"".join(reversed(contents))

    return [(Ledger, "_history", history)]


def msgspec_decode(raw) -> Turn:  # noqa: ANN001
    """A stored turn."""
    import msgspec

    return msgspec.json.decode(raw, type=Turn)


def unsafe_call_is_sent_again() -> Patches:
    """A call that may have run counts as not run."""

    def on_failure(self: Attempt, failure) -> None:  # noqa: ANN001
        self.state.failed()
        self._end(Outcome.NOT_RUN)

    return [(Attempt, "on_failure", on_failure)]


def promise_after_a_run() -> Patches:
    """What may have run is answered 503."""

    def broken(self: ForwardedRequest) -> None:
        self._runs = 0
        self._give_up()

    return [(ForwardedRequest, "_broken", broken)]


def versions_may_fall() -> Patches:
    """A relay takes any version that it is sent, and a parent sends all it has."""

    def send(self: Publisher, address: str, child, primary: str, epoch: int, age: float) -> None:  # noqa: ANN001
        self._network.send(address, m.Update(self.address, primary, epoch, age, self.versions(), self.topics))

    return [(Publisher, "_is_newer", lambda self, name, topic: True), (Publisher, "_send", send)]


def orders_are_not_remembered() -> Patches:
    """The base version of an order is not looked at."""

    def current(self):  # noqa: ANN001, ANN202
        found = original(self)
        return found

    original = operator_api.OperatorApi.current

    def replace(self, request, responder) -> None:  # noqa: ANN001
        import msgspec

        table = msgspec.json.decode(request.body)
        self._take(table["generation"], request.body, operator_api.order_digest("", request.body), responder)

    return [(operator_api.OperatorApi, "_replace", replace), (operator_api.OperatorApi, "current", current)]


def late_batches_are_skipped() -> Patches:
    """A copy takes a batch although it lacks the one before."""

    def on_replicate(self: Follower, message: m.Replicate) -> None:
        if self._follows(message.epoch) and message.batch.position > self._store.position:
            self._store.save(message.batch)
            self._store.apply(message.batch.puts)
            self._tell_position(message.epoch)

    return [(Follower, "on_replicate", on_replicate)]


def whole_state_lacks_the_last_batch() -> Patches:
    """A version is written whole before its batch is applied (seen on a bench day)."""

    def save(self: Store, batch: m.Batch) -> None:
        original(self, batch)
        writer = self._versions.write_whole(self.position, [m.Put(*entry) for entry in self.values.items()])
        while not writer.step():
            pass
        self._versions.remove_before(self.position)

    original = Store.save
    return [(Store, "save", save)]


def undo_is_left_out() -> Patches:
    """What was submitted and never stored stays in the memory of a former primary (seen in an incident)."""
    return [(Store, "before", lambda self, puts: ())]


ALL = (
    acknowledged_before_stored,
    one_copy_is_enough,
    lease_is_never_checked,
    wiped_member_votes_as_before,
    turn_is_durable_later,
    reservation_is_forgotten,
    settled_at_nothing,
    chain_lacks_its_oldest,
    unsafe_call_is_sent_again,
    promise_after_a_run,
    orders_are_not_remembered,
    late_batches_are_skipped,
    whole_state_lacks_the_last_batch,
)
# Not found in 1,000 histories; each has a test of its own (tests/test_tier_group.py, tests/test_tier_checks.py).
UNFOUND = (promise_while_another_holds_a_lease, versions_may_fall, undo_is_left_out)


def find(mistake: Callable[[], Patches], most: int = MOST_HISTORIES) -> tuple[int, list[str]] | None:
    """The first seed whose history shows the mistake, and the rules it broke; None where none does."""
    with ExitStack() as stack:
        for owner, name, value in mistake():
            stack.enter_context(patch.object(owner, name, value))
        for seed in range(1, most + 1):
            try:
                broken = History(seed).play()
            except (AssertionError, KeyError, IndexError) as error:
                return seed, [f"ended: {type(error).__name__}"]
            if broken:
                return seed, sorted(broken)
    return None


def main() -> int:
    """Exit code 1 where a mistake stays unfound."""
    logging.disable(logging.CRITICAL)
    unfound = 0
    for mistake in ALL:
        found = find(mistake)
        unfound += found is None
        print(f"{mistake.__name__}: {'NOT FOUND' if found is None else f'seed {found[0]}, {found[1]}'}", flush=True)
    return int(unfound > 0)


if __name__ == "__main__":
    sys.exit(main())
