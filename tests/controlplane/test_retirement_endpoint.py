"""Retirement of machines, on a simulated tier."""

from lab.tier.simulated_tier import SimulatedTier
from lab.tier.world import World
from tests.simulated_tier import settled_tier


def test_a_machine_is_evacuated_only_once_its_replicas_are_elsewhere():
    tier = settled_tier(controls=3)
    assert tier.turn("p", 1000, request_id="t1", body=b"hello ").complete
    leaving = next(host for host in tier.control_hosts if tier.controls[host] is not tier.primary())
    # A new primary does not know yet which machines are live, so it answers 503 instead of a definite rejection.
    assert tier.operator_call("POST", f"/retire/node-{leaving}/start", b"{}").status == 503
    assert tier.operator_call("POST", "/retire/nobody/start", b"{}").status == 503
    tier.world.run(tier.world.time + 3)
    assert tier.operator_call("POST", f"/retire/node-{leaving}/start", b"{}").status == 409
    assert tier.operator_call("POST", "/retire/nobody/start", b"{}").status == 404
    tier.start_control("10.0.0.9")
    tier.world.run(tier.world.time + 1)
    assert tier.operator_call("POST", f"/retire/node-{leaving}/start", b"{}").status == 200

    def done() -> bool:
        return b"done" in tier.operator_call("GET", f"/retire/node-{leaving}/read").body

    assert any(done() for _ in range(20))
    tier.kill_control(leaving, wipe=True)
    tier.kill_control(next(host for host in tier.control_hosts if host != leaving), wipe=True)
    answer = tier.turn("p", 1000, request_id="t2", body=b"more", previous="t1")
    assert (answer.status, answer.complete) == (200, True)


def test_a_retirement_is_not_committed_by_stale_knowledge_of_present_machines():
    tier = SimulatedTier(World(4), controls=4).start_serving()
    tier.world.run(tier.world.time + 4)
    primary = tier.primary()
    gone, retired = [host for host in tier.control_hosts if tier.controls[host] is not primary][:2]
    tier.kill_control(gone)
    tier.world.run(tier.world.time + 0.4)
    assert tier.operator_call("POST", f"/retire/node-{retired}/start", b"{}").status == 503
    tier.world.run(tier.world.time + 4)
    assert tier.operator_call("POST", f"/retire/node-{retired}/start", b"{}").status == 409
    tier.start_control(gone)
    tier.world.run(tier.world.time + 1)
    assert tier.operator_call("POST", f"/retire/node-{retired}/start", b"{}").status == 200


def test_a_machine_is_the_same_however_its_name_is_encoded_in_the_path():
    """Regression: the path's text was taken for the name, so a percent-encoded name was answered 404."""
    tier = settled_tier(controls=4)
    tier.world.run(tier.world.time + 3)
    leaving = next(host for host in tier.control_hosts if tier.controls[host] is not tier.primary())
    encoded = f"node-{leaving}".replace("-", "%2D").replace(".", "%2e")
    assert tier.operator_call("POST", f"/retire/{encoded}/start", b"{}").status == 200
    assert tier.operator_call("GET", f"/retire/node-{leaving}/read").status == 200
    assert tier.operator_call("GET", f"/retire/{encoded}/read").status == 200
    assert tier.operator_call("GET", "/retire/%ff/read").status == 404
