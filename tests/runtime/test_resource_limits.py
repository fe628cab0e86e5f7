"""How the limits of the settings are divided, and how their use is shown."""

import math
import resource

import pytest

from lynxscale.runtime import resource_limits as limits_module
from lynxscale.runtime.memory_budget import MemoryBudget, Reservation
from lynxscale.runtime.resource_limits import (
    BASE_MEMORY_BYTES,
    CONNECTION_BYTES,
    MEBIBYTE,
    MEMBER_QUOTAS,
    RELAY_QUOTAS,
    ResourceLimits,
    connection_limit,
    descriptor_limit,
    resource_limits,
)
from lynxscale.runtime.settings import Limits


@pytest.fixture
def system_limit(monkeypatch):
    """Sets the limit of the system on descriptors, as this process sees it."""

    def set_limit(descriptors: int) -> None:
        monkeypatch.setattr(resource, "getrlimit", lambda which: (descriptors, descriptors))

    set_limit(resource.RLIM_INFINITY)
    return set_limit


@pytest.mark.parametrize(
    ("max_fds", "system", "connections"),
    [(4100, 100_000, 3900), (4100, 160, 136), (160, 100_000, 80), (10, 100_000, 16), (0, 100_000, 16)],
)
def test_connections_leave_the_descriptors_of_files(system_limit, max_fds, system, connections):
    system_limit(system)
    assert connection_limit(Limits(max_fds=max_fds)) == connections
    assert descriptor_limit(Limits(max_fds=max_fds)) == min(max_fds, system)


@pytest.mark.parametrize("quotas", [RELAY_QUOTAS, MEMBER_QUOTAS])
def test_the_quotas_together_are_within_the_limits(system_limit, quotas):
    divided = resource_limits(Limits(memory_mb=160, max_fds=4100), quotas)
    endpoints = divided.clients if quotas.idle_endpoint_connections else 0  # one for each client at most
    connections = divided.clients + endpoints + divided.idle_endpoint_connections + divided.peers
    assert connections + divided.health_checks <= 3900
    waiting = divided.requests.limit_bytes + divided.responses.limit_bytes + divided.peer_messages.limit_bytes
    assert 2 * waiting < 160 * MEBIBYTE


@pytest.mark.parametrize("memory_mb", [160, 200, 256, 300, 512, 4096])
@pytest.mark.parametrize("max_fds", [64, 1024, 4100, 100_000])
def test_all_that_callers_of_a_relay_can_take_is_within_the_memory_of_any_settings(system_limit, memory_mb, max_fds):
    divided = resource_limits(Limits(memory_mb=memory_mb, max_fds=max_fds), RELAY_QUOTAS)
    most = BASE_MEMORY_BYTES + divided.clients * CONNECTION_BYTES
    most += 2 * (divided.requests.limit_bytes + divided.responses.limit_bytes) + divided.peer_messages.limit_bytes
    assert most <= memory_mb * MEBIBYTE


@pytest.mark.parametrize(("quotas", "body_mb"), [(RELAY_QUOTAS, 4), (MEMBER_QUOTAS, 8)])
def test_a_single_request_of_the_largest_size_fits_into_a_small_memory(system_limit, quotas, body_mb):
    divided = resource_limits(Limits(memory_mb=64), quotas)
    assert Reservation(divided.requests).resize(body_mb * MEBIBYTE + 65536)


def test_the_connections_of_clients_fit_into_a_small_memory(system_limit):
    divided = resource_limits(Limits(memory_mb=64, max_fds=4100), RELAY_QUOTAS)
    assert divided.clients == 256
    assert resource_limits(Limits(memory_mb=200, max_fds=4100), RELAY_QUOTAS).clients == 1344


def test_the_disk_limits_the_state_where_it_is_stated():
    assert resource_limits(Limits(memory_mb=320), MEMBER_QUOTAS).state_bytes == 120 * MEBIBYTE
    assert resource_limits(Limits(memory_mb=320, disk_mb=30), MEMBER_QUOTAS).state_bytes == 10 * MEBIBYTE


def test_a_memory_of_0_is_no_limit():
    divided = resource_limits(Limits(memory_mb=0), RELAY_QUOTAS)
    assert divided.requests.limit_bytes == divided.responses.limit_bytes == divided.state_bytes == math.inf


def test_the_status_shows_what_is_used_and_refused(monkeypatch):
    limits = ResourceLimits(Limits(memory_mb=300, max_fds=100), requests=MemoryBudget(10))
    reservation = Reservation(limits.requests)
    assert reservation.resize(7) and not reservation.resize(11)
    status = limits.status()
    assert (status.waiting_bytes, status.waiting_refusals, status.memory_limit_mb) == (7, 1, 300)
    assert status.memory_mb > 1 and status.descriptors > 3 and status.descriptor_limit == 100
    assert status.render()[0].endswith("of 300 MB, 7 bytes waiting, 1 times refused")


def test_what_the_system_does_not_tell_is_unknown(monkeypatch):
    monkeypatch.setattr(limits_module, "resident_memory_mb", lambda: None)
    monkeypatch.setattr(limits_module, "open_descriptors", lambda: None)
    assert [line.split()[1] for line in ResourceLimits().status().render()] == ["unknown", "unknown"]


def test_a_reservation_that_is_refused_keeps_its_size_and_gives_all_back():
    budget = MemoryBudget(10)
    first, second = Reservation(budget), Reservation(budget)
    assert first.resize(6) and second.resize(4) and not second.resize(5)
    second.hold(20)  # in memory already
    assert not first.resize(7) and first.resize(2)
    first.release()
    second.release()
    second.release()
    assert budget.used_bytes == 0
