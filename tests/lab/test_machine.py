"""Simulated machines: processor quotas, and links with their own properties."""

from random import Random

import pytest

from lab.tier.machine import ProcessorQuota
from lab.tier.world import Link, World
from lynxscale.coordination.messages import Heartbeat


@pytest.mark.parametrize("phase", [0.0, 0.37])
def test_a_quota_lets_a_process_run_for_its_share_of_each_period(phase):
    quota = ProcessorQuota(0.6, phase)
    runs = [quota.runs_at(number / 10_000) == number / 10_000 for number in range(10_000)]
    assert sum(runs) == pytest.approx(6000, abs=20)
    assert all(0 <= quota.runs_at(number / 997) - number / 997 <= 0.0401 for number in range(997))


def test_events_that_a_quota_postpones_keep_their_order():
    """Guards against rounding of postponed times, by which bytes of a stream once overtook earlier ones."""
    world = World(1)
    machine = world.machine("a:1")
    machine.quota = ProcessorQuota(0.3, 0.123)
    order: list[int] = []
    for number in range(3000):
        world.call_at(number / 3001, lambda number=number: order.append(number), machine)
    world.run(2.0)
    assert order == list(range(3000))


def test_an_event_at_the_beginning_of_a_period_does_not_overtake_those_postponed_until_then():
    """Guards against a lost event of a stream in overloaded history 477: its end arrived exactly one period later."""
    world = World(1)
    machine = world.machine("a:1")
    machine.quota = ProcessorQuota(0.3)
    order: list[str] = []
    for time in (0.05, 0.1):
        world.call_at(time, lambda time=time: order.append(f"{time}"), machine)
    world.run(1.0)
    assert order == ["0.05", "0.1"]


@pytest.mark.parametrize("second_freeze_s", [0.05, 0.5])
@pytest.mark.parametrize("wake_random", [None, Random(1)])
def test_events_of_a_stream_keep_their_order_over_two_freezes(wake_random, second_freeze_s):
    """Guards against a stream without its second event in route history 24: later ones had overtaken it."""
    world = World(1)
    world.wake_random = wake_random
    machine = world.machine("a:1")
    order: list[int] = []
    for number in range(10):
        world.call_at(0.1 * number, lambda number=number: order.append(number), machine, "stream")
    machine.freeze(0.35)
    world.call_at(0.2, lambda: machine.freeze(second_freeze_s))
    world.run(2.0)
    assert order == list(range(10))


def test_a_process_that_wakes_reads_its_connections_in_a_drawn_order_and_runs_its_timers_last():
    orders = set()
    for seed in range(20):
        world = World(1)
        world.wake_random = Random(seed)
        machine = world.machine("a:1")
        order: list[str] = []
        for name, stream in (("timer", None), ("a1", "a"), ("b1", "b"), ("a2", "a")):
            world.call_at(0.1, lambda name=name, order=order: order.append(name), machine, stream)
        machine.freeze(1.0)
        world.run(2.0)
        orders.add(tuple(order))
    assert orders == {("a1", "a2", "b1", "timer"), ("b1", "a1", "a2", "timer")}


def test_a_link_has_its_own_delay_loss_and_bandwidth_in_each_direction():
    world = World(1, loss=0.001)
    arrivals: dict[str, list[float]] = {"a:1": [], "b:1": []}
    for address, times in arrivals.items():
        world.machine(address).receive = lambda message, times=times: times.append(world.time)
    world.links["a:1", "b:1"] = Link(0.5, 100.0, 0.0)
    world.links["b:1", "a:1"] = Link(0.01, loss=1.0)
    for _ in range(3):
        world.deliver("a:1", "b:1", Heartbeat("a"))
        world.deliver("b:1", "a:1", Heartbeat("b"))
    world.run(10.0)
    assert arrivals["a:1"] == []
    first, second, third = arrivals["b:1"]
    assert first > 0.35 and second - first > 0.05 and third - second > 0.05
