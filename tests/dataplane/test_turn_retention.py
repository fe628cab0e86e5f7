"""Turns that run while the turn that they continue expires."""

import msgspec
import pytest

from lab.tier.simulated_tier import default_configuration
from lab.tier.world import World
from lynxscale.controlplane import newest_configuration
from lynxscale.controlplane.newest_configuration import CURRENT_KEY, CurrentConfiguration, route_maxima
from lynxscale.controlplane.retention import RetentionTracker
from lynxscale.controlplane.turn_admission import HOLD_MARGIN_S, TurnAdmission
from lynxscale.controlplane.turn_history import RETENTION_MARGIN_S, TURN_PREFIX
from lynxscale.coordination.messages import AdmitTurn, FinishTurn, TurnAdmitted, TurnFinished, TurnRejected, put_value
from tests.simulated_tier import OUTPUT, executed_request, settled_tier

RETENTION_S = 1.0
STORED_S = RETENTION_S + RETENTION_MARGIN_S  # from the end of a turn until it expires
LONG_MS = 120_000
EXPIRY_S = 5.1  # between two removals of what has expired


def tier_with_long_turns():
    """A tier whose turns may last for much longer than they are retained, with one turn."""
    tier = settled_tier()
    configuration = default_configuration(2)
    configuration["routes"][0] |= {"retention-s": RETENTION_S, "timeout-ms": LONG_MS}
    assert tier.push(configuration, 1).status == 200
    tier.world.run(tier.world.time + 1.0)
    assert tier.turn("p", 1000, request_id="t1", body=b"first ").complete
    return tier


def start_long_turn(tier, duration_s, **options):
    """Start a turn that continues the first one and lasts for some seconds."""
    for endpoint in tier.endpoints.values():
        endpoint.service_time_s = duration_s
    tokens = {
        "program": "p",
        "budget": "1000",
        "lynxscale_token_count": "100,40",
        "lynxscale_deadline_ms": str(LONG_MS),
    }
    common = {"request_id": "t2", "body": b"second ", "previous": "t1"}
    response, _ = tier.start_request("/kept/stream", **common, **tokens, **options)
    tier.world.run(tier.world.time + 0.3)
    for endpoint in tier.endpoints.values():
        endpoint.service_time_s = 0.05
    return response


def assert_chain_is_whole(tier):
    """Continue the second turn through a relay that has none of its history."""
    third = tier.turn("p", 1000, request_id="t3", body=b"third", previous="t2", relay=tier.relay_hosts[1])
    assert third.status == 200
    assert executed_request(tier, "t3").body == b"first " + OUTPUT + b"second " + OUTPUT + b"third"


def test_a_turn_that_runs_while_the_one_that_it_continues_expires_keeps_its_chain():
    """Regression (review case 7): the first was removed meanwhile, and the next turn got 404 by another relay."""
    tier = tier_with_long_turns()
    tier.world.run(tier.world.time + STORED_S - 2.0)
    response = start_long_turn(tier, 2.0 + 2 * EXPIRY_S)
    assert tier.world.run_until(lambda: response.ended, 30.0) and response.complete
    assert_chain_is_whole(tier)


def test_a_turn_that_a_primary_before_admitted_keeps_its_chain():
    """The hold ends with the primary, and a retention that begins anew may be shorter than the turn."""
    tier = tier_with_long_turns()
    response = start_long_turn(tier, 2 * STORED_S)
    tier.kill_control(tier.primary().publisher.address.partition(":")[0])
    assert tier.world.run_until(lambda: response.ended, 3 * STORED_S) and response.complete
    assert_chain_is_whole(tier)


def test_a_turn_whose_previous_one_is_gone_at_its_end_is_not_answered_whole():
    """The last defence: for a relay that was frozen, or a configuration that allowed longer turns."""
    tier = tier_with_long_turns()
    response = start_long_turn(tier, 3.0)
    removal = put_value(TURN_PREFIX + "t1", None)
    tier.primary().member.submit((removal,), lambda outcome: None)
    assert tier.world.run_until(lambda: response.ended, 6.0)
    assert response.body and not response.complete
    assert tier.turn("p", 1000, previous="t2").status == 404


def test_a_hold_ends_with_the_time_that_the_turn_may_last():
    """Also if its relay has died, or the answer to its admission came too late."""
    tier = tier_with_long_turns()
    start_long_turn(tier, 60.0)
    tier.kill_relay(tier.relay_hosts[0])
    tier.world.run(tier.world.time + STORED_S + EXPIRY_S)
    assert TURN_PREFIX + "t1" in tier.primary().member.store.values
    tier.world.run(tier.world.time + LONG_MS / 1000.0 + HOLD_MARGIN_S)
    assert TURN_PREFIX + "t1" not in tier.primary().member.store.values


# On the primary alone ------------------------------------------------------------------------------------


class Primary:
    """Admission on a primary whose puts take effect at once."""

    def __init__(self, timeout_ms=4000):
        self.machine = World(1).machine("a:1")
        self.values = {}
        self.change(1, timeout_ms)
        self.admission = TurnAdmission(self.values, self.machine.clock())

    def apply(self, puts):
        for put in puts:
            if put.removes:
                self.values.pop(put.key, None)
            else:
                self.values[put.key] = put.value

    def change(self, generation, timeout_ms):
        route = {"timeout-ms": timeout_ms}
        newest = CurrentConfiguration(generation, msgspec.Raw(msgspec.json.encode({"routes": [route]})))
        self.values[CURRENT_KEY] = msgspec.Raw(msgspec.json.encode(newest))

    def finish(self, turn, previous="", content=b"x"):
        reply, puts = self.admission.finish(FinishTurn("p", turn, 0, RETENTION_S, content, previous))
        self.apply(puts)
        return reply

    def admit(self, previous, **fields):
        reply, puts = self.admission.admit(AdmitTurn("p", "next", -1, 0, RETENTION_S, True, previous, **fields))
        self.apply(puts)
        return reply

    def run(self, seconds):
        self.machine.world.time += seconds
        self.apply(self.admission.remove_expired())


@pytest.mark.parametrize(("fields", "held_s"), [({}, 90.0), ({"duration_s": 60.0}, 60.0)])
def test_a_relay_that_does_not_state_the_duration_gets_the_longest_one(fields, held_s):
    """A relay of the program before; a turn is then held for as long as any route allows."""
    primary = Primary(timeout_ms=90_000)
    primary.finish("t1")
    assert isinstance(primary.admit("t1", **fields), TurnAdmitted)
    primary.run(held_s + HOLD_MARGIN_S - 1.0)
    assert TURN_PREFIX + "t1" in primary.values
    primary.run(2.0)
    assert TURN_PREFIX + "t1" not in primary.values


def test_admissions_decode_the_routes_once_a_version_and_only_if_they_continue_a_turn(monkeypatch):
    """Guards against an admission whose time grows with the configuration, for a relay that states no duration."""
    decoded = []

    def counted(body):
        decoded.append(body)
        return route_maxima(body)

    monkeypatch.setattr(newest_configuration, "route_maxima", counted)
    primary = Primary(timeout_ms=20_000)
    primary.finish("t1")
    assert isinstance(primary.admit(""), TurnAdmitted)
    assert len(decoded) == 0
    for _ in range(3):
        assert isinstance(primary.admit("t1"), TurnAdmitted)
    assert len(decoded) == 1
    primary.change(2, 90_000)
    assert isinstance(primary.admit("t1"), TurnAdmitted)
    assert len(decoded) == 2
    primary.run(90.0 + HOLD_MARGIN_S - 1.0)
    assert TURN_PREFIX + "t1" in primary.values


def test_several_turns_hold_the_one_that_they_continue_until_the_last_of_them_may_have_ended():
    primary = Primary()
    primary.finish("t1")
    for duration_s in (20.0, 60.0, 40.0):
        assert isinstance(primary.admit("t1", duration_s=duration_s), TurnAdmitted)
    primary.run(60.0 + HOLD_MARGIN_S - 1.0)
    assert TURN_PREFIX + "t1" in primary.values
    primary.run(2.0)
    assert TURN_PREFIX + "t1" not in primary.values


def test_a_hold_shortens_no_retention_and_creates_none():
    machine = World(1).machine("a:1")
    tracker = RetentionTracker(machine.clock())
    tracker.retain("key", 9.0)
    tracker.hold("key", 1.0)
    tracker.hold("other", 1.0)
    machine.world.time += 5.0
    assert tracker.pop_expired() == []
    machine.world.time += 5.0
    assert tracker.pop_expired() == ["key"]


def test_a_repeated_end_after_the_removal_of_both_turns_stores_nothing():
    """Regression: it stored the child alone, whose chain nobody could follow, and was acknowledged."""
    primary = Primary()
    assert isinstance(primary.finish("t1"), TurnFinished)
    assert isinstance(primary.finish("t2", "t1"), TurnFinished)
    primary.run(2 * STORED_S)
    primary.run(EXPIRY_S)
    assert [key for key in primary.values if key.startswith(TURN_PREFIX)] == []
    reply = primary.finish("t2", "t1")
    assert isinstance(reply, TurnRejected) and reply.status == 404
    assert [key for key in primary.values if key.startswith(TURN_PREFIX)] == []


def test_a_turn_that_is_stored_again_with_another_previous_one_releases_the_first():
    machine = World(1).machine("a:1")
    tracker = RetentionTracker(machine.clock())
    for key in ("a", "b"):
        tracker.retain(key, 1.0)
    tracker.retain("child", 9.0, parent="a")
    tracker.retain("child", 9.0, parent="b")
    machine.world.time += 5.0
    assert tracker.pop_expired() == ["a"]
