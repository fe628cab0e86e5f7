"""Retained turns: how long they are kept, and what is certain about one that is not there."""

import msgspec

from lab.tier.world import World
from lynxscale.controlplane.turn_admission import TurnAdmission
from lynxscale.coordination.messages import AdmitTurn, FinishTurn, Put, TurnAdmitted
from tests.simulated_tier import settled_tier


def test_a_turn_is_retained_as_long_as_any_that_continues_from_it():
    """Seen from reading: each turn of a chain expired by itself, so a long conversation got 404 after its first."""
    machine = World(1).machine("a:1")
    values: dict[str, msgspec.Raw] = {}
    admission = TurnAdmission(values, machine.clock())

    def put(puts: tuple[Put, ...]) -> None:
        for one in puts:
            if one.removes:
                del values[one.key]
            else:
                values[one.key] = one.value

    for number in range(6):
        previous = f"t{number - 1}" if number else ""
        put(admission.finish(FinishTurn("p", f"t{number}", 0, 60.0, b"x", previous)))
        machine.world.time += 50.0
        put(admission.remove_expired())
    asked = AdmitTurn("p", "t6", -1, 0, 60.0, True, "t5")
    answer, _ = admission.admit(asked)
    assert isinstance(answer, TurnAdmitted) and answer.history == b"x" * 6
    later = TurnAdmission(values, machine.clock())
    later.restart_retention()
    machine.clock_step_s = 7200.0
    put(later.remove_expired())
    assert len(values) == 6
    machine.world.time += 91.0
    put(later.remove_expired())
    assert not values


def test_an_unknown_turn_is_404_only_when_that_is_certain():
    tier = settled_tier()
    assert tier.turn("p", 1000, previous="never").status == 404
    for host in tier.control_hosts[:2]:
        tier.kill_control(host)
    tier.world.run(tier.world.time + 2)
    assert tier.turn("p", 1000, previous="never").status == 503
