"""Polling of the platform's endpoint list by the primary, and by relays without one, on a simulated tier."""

import msgspec

from tests.simulated_tier import settled_tier


def test_a_draining_endpoint_gets_no_more_requests_although_the_polling_primary_is_lost():
    tier = settled_tier()
    index = next(n for n, e in enumerate(tier.platform.listed) if e.id == "i-2")
    tier.platform.listed[index] = msgspec.structs.replace(tier.platform.listed[index], state="draining")
    tier.kill_control(tier.primary().publisher.address.partition(":")[0])
    tier.world.run(tier.world.time + 3.0)
    before = len(tier.endpoints["i-2"].executed)
    for _ in range(6):
        assert tier.request("/book/1").status == 200
    assert len(tier.endpoints["i-2"].executed) == before


def test_relays_without_any_primary_poll_the_list_themselves():
    tier = settled_tier()
    tier.world.run(tier.world.time + 1)
    for host in tier.control_hosts[:2]:
        tier.kill_control(host)
    index = next(n for n, e in enumerate(tier.platform.listed) if e.id == "i-2")
    tier.platform.listed[index] = msgspec.structs.replace(tier.platform.listed[index], state="draining")
    calls = tier.platform.calls
    tier.world.run(tier.world.time + 3.0)
    before = len(tier.endpoints["i-2"].executed)
    for _ in range(6):
        assert tier.request("/book/1").status == 200
    assert len(tier.endpoints["i-2"].executed) == before
    assert tier.platform.calls - calls < 20


def test_only_the_primary_polls_the_list():
    tier = settled_tier()
    calls, start = tier.platform.calls, tier.world.time
    tier.world.run(start + 6)
    assert tier.platform.calls - calls <= 11
