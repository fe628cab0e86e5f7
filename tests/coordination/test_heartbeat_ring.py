"""Monitors on the heartbeat ring."""

import pytest

from lynxscale.coordination.heartbeat_ring import MONITORS_PER_RELAY, neighbours


@pytest.mark.parametrize("count", [2, 8, 64, 320])
def test_each_relay_has_a_constant_number_of_monitors(count):
    addresses = [f"10.0.{n // 250}.{n % 250}:1" for n in range(count)]
    for address in addresses:
        assert len(neighbours(addresses, address, 1)) == min(MONITORS_PER_RELAY, count - 1)
        assert all(address in neighbours(addresses, one, -1) for one in neighbours(addresses, address, 1))
