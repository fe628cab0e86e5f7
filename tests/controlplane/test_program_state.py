"""Token budgets of programs, in unit tests and on a simulated tier."""

import msgspec
import pytest

from lab.tier.simulated_tier import SimulatedTier
from lab.tier.world import World
from lynxscale.controlplane.exceptions import BudgetExceededError
from lynxscale.controlplane.program_state import NO_BUDGET, ProgramRecord, ProgramState
from lynxscale.controlplane.retention import RetentionTracker
from lynxscale.coordination.messages import AdmitTurn, FinishTurn
from tests.simulated_tier import settled_tier


def program_state() -> tuple[ProgramState, dict[str, msgspec.Raw]]:
    values: dict[str, msgspec.Raw] = {}
    return ProgramState(values, RetentionTracker(World(1).machine("a:1").clock())), values


def admission(request: str, tokens: int, budget: int = 100) -> AdmitTurn:
    return AdmitTurn("p", request, budget, tokens, 60.0, False)


def test_a_repeated_request_reserves_its_tokens_once():
    state, values = program_state()
    for _ in range(2):
        for put in state.reserve(admission("r1", 60)):
            values[put.key] = put.value
    assert msgspec.json.decode(values["program/p"], type=ProgramRecord).reservations == {"r1": 60}
    with pytest.raises(BudgetExceededError) as raised:
        state.reserve(admission("r2", 41))
    assert (raised.value.status, raised.value.requested, raised.value.available) == (402, 41, 40)


def test_settling_replaces_the_reservation_and_a_repeated_one_changes_nothing():
    state, values = program_state()
    for put in state.reserve(admission("r1", 60)):
        values[put.key] = put.value
    finish = FinishTurn("p", "r1", 25, 60.0)
    for put in state.settle(finish):
        values[put.key] = put.value
    assert state.settle(finish) == ()
    record = msgspec.json.decode(values["program/p"], type=ProgramRecord)
    assert (record.spent_tokens, record.reservations, record.committed_tokens) == (25, {}, 25)


def test_turns_without_a_budget_reserve_nothing():
    state, _ = program_state()
    assert state.reserve(admission("r1", 60, budget=NO_BUDGET)) == ()


def test_a_budget_is_spent_once_and_further_turns_get_402():
    """Each turn reserves its maximum of 40 tokens and uses all of them, so a budget of 120 admits three turns."""
    tier = settled_tier()
    statuses = [tier.turn("p", 120, max_tokens=40, relay=tier.relay_hosts[n % 3]).status for n in range(4)]
    assert statuses == [200, 200, 200, 402]


def test_concurrent_turns_do_not_exceed_a_budget():
    tier = settled_tier()
    fields = {"program": "p", "budget": "100", "lynxscale_token_count": "100,40"}
    answers = [tier.start_request("/open/stream", relay=relay, **fields)[0] for relay in tier.relay_hosts * 2]
    tier.world.run(tier.world.time + 2)
    assert sorted(answer.status for answer in answers) == [200, 200, 402, 402, 402, 402]


def test_a_reservation_survives_the_loss_of_primary_and_relay():
    tier = settled_tier()
    for endpoint in tier.endpoints.values():
        endpoint.service_time_s = 1.0
    tier.start_request("/open/stream", program="p", budget="40", lynxscale_token_count="100,40")
    tier.world.run(tier.world.time + 0.3)
    tier.kill_relay(tier.relay_hosts[0])
    tier.kill_control(tier.primary().publisher.address.partition(":")[0])
    answer = tier.turn("p", 40, path="/open/stream", relay=tier.relay_hosts[1])
    assert answer.status == 402


def test_an_admission_after_its_deadline_returns_its_reservation():
    tier = SimulatedTier(World(3)).start_serving()
    tier.world.run(tier.world.time + 1)
    own = f"{tier.relay_hosts[0]}:7000"
    for host in tier.control_hosts:
        tier.world.partition(f"{host}:7000", own, both_ways=False)  # the admission arrives, but its reply is lost
    answer, _ = tier.start_request("/kept/stream", program="p", budget="40", lynxscale_token_count="1,40")
    assert tier.world.run_until(lambda: answer.ended, 4.0)
    assert answer.status == 503
    tier.world.heal()
    tier.world.run(tier.world.time + 3)
    again = tier.turn("p", 40, max_tokens=40)
    assert again.status == 200
