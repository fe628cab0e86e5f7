"""Changes of configurations so large that a worker checks and encodes them."""

import asyncio
import threading

import msgspec
import pytest

from lab.tier.fakes import send_request
from lab.tier.machine import COMPUTE_S
from lab.tier.simulated_tier import CONTROL_PORT, default_configuration
from lynxscale.controlplane.configuration_endpoint import MAX_IMMEDIATE_BYTES
from lynxscale.runtime.http_types import Head, Request
from lynxscale.runtime.worker_thread import WorkerThread
from tests.simulated_tier import settled_tier

LEASES_S = 2.0  # long enough for several leases
ADDED = {"name": "more", "max-connections": 7}


def large_configuration(generation, **fields):
    configuration = default_configuration(generation)
    return configuration | {"note": "x" * MAX_IMMEDIATE_BYTES} | fields


def start_order(tier, body, base, path="/config/replace"):
    """Send an order to the primary without waiting for its answer."""
    host = tier.primary().publisher.address.partition(":")[0]
    fields = ((b"host", b"control"), (b"lynxscale-base-version", str(base).encode()))
    request = Request("POST", path, Head(fields), msgspec.json.encode(body))
    response, _ = send_request(tier.world, tier.tcp, f"{host}:{CONTROL_PORT}", request)
    return response


def settle(tier):
    tier.world.run(tier.world.time + LEASES_S)


def version(tier):
    return msgspec.json.decode(tier.operator_call("GET", "/config/read").body)["generation"]


def test_a_primary_renews_its_lease_while_large_changes_are_checked():
    """Regression: changes of 3.9 MB took the primary longer than its lease, which it lost seven times in five."""
    tier = settled_tier()
    primary, epoch = tier.primary(), tier.primary().member.record.epoch
    orders = [start_order(tier, large_configuration(2 + number), 1) for number in range(5)]
    tier.world.run(tier.world.time + COMPUTE_S / 2)
    assert not any(order.ended for order in orders)
    settle(tier)
    assert (tier.primary(), primary.member.record.epoch) == (primary, epoch)
    assert [order.status for order in orders] == [200, 412, 412, 412, 412]


@pytest.mark.parametrize("path", ["/config/replace", "/config/update"])
def test_the_same_order_is_taken_once_if_it_is_repeated_while_it_is_checked(path):
    tier = settled_tier()
    body = large_configuration(2)
    if path == "/config/update":
        assert tier.push(body, 1).status == 200
        body = {"generation": 3, "upsert": {"services": [ADDED]}}
    base = version(tier)
    orders = [start_order(tier, body, base, path) for _ in range(3)]
    settle(tier)
    assert [order.status for order in orders] == [200, 200, 200]
    assert version(tier) == base + 1


def test_an_update_is_rejected_if_the_configuration_changes_while_it_is_checked():
    tier = settled_tier()
    assert tier.push(large_configuration(2), 1).status == 200
    update = start_order(tier, {"generation": 3, "upsert": {"services": [ADDED]}}, 2, "/config/update")
    tier.world.run(tier.world.time + COMPUTE_S / 2)
    assert start_small(tier).status == 200
    settle(tier)
    assert update.status == 412
    assert b'"more"' not in tier.operator_call("GET", "/config/read").body


def start_small(tier):
    """Replace the configuration by a small one, which is checked at once."""
    return tier.push(default_configuration(4), 2)


def test_a_large_change_with_a_fault_is_refused_with_its_place():
    tier = settled_tier()
    faulty = large_configuration(2)
    faulty["routes"][0]["max-attempts"] = "x"
    response = tier.push(faulty, 1)
    assert (response.status, b"routes[0].max-attempts" in response.body) == (400, True)


def test_a_large_change_whose_primary_is_frozen_until_another_leads_is_not_taken_by_it():
    tier = settled_tier()
    frozen = tier.primary()
    order = start_order(tier, large_configuration(2), 1)
    tier.world.run(tier.world.time + COMPUTE_S / 2)
    tier.world.machine(frozen.publisher.address).freeze(LEASES_S)
    tier.world.run(tier.world.time + LEASES_S / 2)
    assert tier.primary() not in (None, frozen)
    assert tier.push(default_configuration(3), 1).status == 200
    settle(tier)
    assert order.status == 503
    assert version(tier) == 3


def test_a_worker_thread_computes_in_order_beside_the_event_loop():
    async def compute() -> tuple[list[int], set[int]]:
        worker = WorkerThread(asyncio.get_running_loop())
        results: list[int] = []
        threads: set[int] = set()

        def square(number: int) -> int:
            threads.add(threading.get_ident())
            return number**2

        for number in range(10):
            worker.run(lambda number=number: square(number), results.append)
        while len(results) < 10:
            await asyncio.sleep(0.001)
        await worker.aclose()
        return results, threads

    results, threads = asyncio.run(compute())
    assert results == [number**2 for number in range(10)]
    assert len(threads) == 1 and threading.get_ident() not in threads
