"""Retained turns: their retention, and the response to a turn that continues from an unknown one."""

import msgspec

from lab.tier.world import World
from lynxscale.controlplane.turn_admission import TurnAdmission
from lynxscale.coordination.messages import AdmitTurn, FinishTurn, Put, TurnAdmitted
from tests.simulated_tier import settled_tier


def test_a_turn_is_retained_as_long_as_any_that_continues_from_it():
    """Guards against turns of a chain that expire separately: a long conversation then gets 404 for its first turn."""
    machine = World(1).machine("a:1")
    values: dict[str, msgspec.Raw] = {}
    admission = TurnAdmission(values, machine.clock())

    def apply(puts: tuple[Put, ...]) -> None:
        for put in puts:
            if put.removes:
                del values[put.key]
            else:
                values[put.key] = put.value

    for number in range(6):
        previous = f"t{number - 1}" if number else ""
        apply(admission.finish(FinishTurn("p", f"t{number}", 0, 60.0, b"x", previous))[1])
        machine.world.time += 50.0
        apply(admission.remove_expired())
    request = AdmitTurn("p", "t6", -1, 0, 60.0, True, "t5")
    reply, _ = admission.admit(request)
    assert isinstance(reply, TurnAdmitted) and reply.history == b"x" * 6
    later = TurnAdmission(values, machine.clock())
    later.restart_retention()
    machine.clock_step_s = 7200.0
    apply(later.remove_expired())
    assert len(values) == 6
    machine.world.time += 91.0
    apply(later.remove_expired())
    assert not values


def test_an_unknown_turn_is_404_only_when_that_is_certain():
    tier = settled_tier()
    assert tier.turn("p", 1000, previous="never").status == 404
    for host in tier.control_hosts[:2]:
        tier.kill_control(host)
    tier.world.run(tier.world.time + 2)
    assert tier.turn("p", 1000, previous="never").status == 503
