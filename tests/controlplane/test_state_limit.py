"""How large the turns that are retained may become."""

import msgspec

from lab.tier.world import World
from lynxscale.controlplane.state_limit import ADMISSION_LEVEL, StateLimit
from lynxscale.controlplane.turn_admission import TurnAdmission
from lynxscale.coordination.messages import AdmitTurn, FinishTurn, TurnAdmitted, TurnFinished, TurnRejected

LIMIT_BYTES = 1000


def admission_at(size_bytes: int) -> TurnAdmission:
    """The admission of a primary whose state has a size."""
    values: dict[str, msgspec.Raw] = {}
    return TurnAdmission(values, World(1).machine("a:1").clock(), StateLimit(LIMIT_BYTES, lambda: size_bytes))


def admit(size_bytes: int, retained: bool) -> object:
    return admission_at(size_bytes).admit(AdmitTurn("p", "t", -1, 0, 60.0, retained))[0]


def test_only_turns_that_are_to_be_retained_need_room():
    full = int(ADMISSION_LEVEL * LIMIT_BYTES) + 1
    assert isinstance(admit(full - 2, retained=True), TurnAdmitted)
    assert admit(full, retained=True) == TurnRejected(503)
    assert isinstance(admit(full, retained=False), TurnAdmitted)


def test_a_turn_that_does_not_fit_is_not_stored_but_its_tokens_are_settled():
    admission = admission_at(LIMIT_BYTES - 10)
    assert isinstance(admission.finish(FinishTurn("p", "t", 0, 60.0, b"x" * 10))[0], TurnFinished)
    _, reserved = admission.admit(AdmitTurn("p", "u", 100, 40, 60.0, False))
    assert reserved
    reply, puts = admission.finish(FinishTurn("p", "u", 4, 60.0, b"x" * 11))
    assert reply == TurnRejected(503) and not any(put.key.startswith("turn/") for put in puts)


def test_the_end_of_a_turn_without_content_needs_no_room():
    assert isinstance(admission_at(2 * LIMIT_BYTES).finish(FinishTurn("p", "t", 4, 60.0, None))[0], TurnFinished)
