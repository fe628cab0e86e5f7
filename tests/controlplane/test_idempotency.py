"""Repeated requests that change the configuration, on a simulated tier."""

import msgspec

from lab.tier.simulated_tier import SimulatedTier, default_configuration
from lab.tier.world import World
from tests.simulated_tier import settled_tier


def test_a_repeated_request_is_acknowledged_by_another_primary_and_after_later_changes():
    tier = settled_tier()
    assert tier.push(default_configuration(3), 1).status == 200
    assert tier.push(default_configuration(3), 1).status == 200
    tier.kill_control(tier.primary().publisher.address.partition(":")[0], power=True)
    assert tier.push(default_configuration(3), 1).status == 200
    assert tier.push(default_configuration(4), 3).status == 200
    assert tier.push(default_configuration(3), 1).status == 200
    assert msgspec.json.decode(tier.operator_call("GET", "/config/read").body)["generation"] == 4


def test_requests_with_evicted_records_are_neither_rejected_nor_committed(monkeypatch):
    monkeypatch.setattr("lynxscale.controlplane.idempotency.MAX_IDEMPOTENCY_RECORDS", 8)
    tier = SimulatedTier(World(5)).start_serving()
    for number in range(2, 21):
        assert tier.push(default_configuration(number), number - 1).status == 200
    records = [key for key in tier.primary().member.store.values if key.startswith("order/")]
    assert len(records) <= 9
    assert tier.push(default_configuration(3), 2).status == 503
    assert tier.push(default_configuration(19), 18).status == 200
    changed = default_configuration(19) | {"note": "another"}
    assert tier.push(changed, 18).status == 412
