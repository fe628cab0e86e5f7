"""The module's limits, and that identical events give identical actions."""

from pathlib import Path

from lynxscale.scheduling import interface as api
from tests.driver import KEYED, ORDERED, SAFE, UNSAFE, Driver, member

BRAIN = Path(__file__).parent.parent / "lynxscale" / "scheduling" / "scheduler.py"


def test_module_keeps_its_limits():
    lines = BRAIN.read_text().splitlines()
    assert sum(bool(line.strip()) for line in lines) <= 800
    assert max(map(len, lines)) <= 110
    assert "interface.py" in "".join(lines[:6])


def rough_hour(seed: int) -> list:
    members = [member(n, n % 4, kind=n % 2, zone=n % 3, weight=3.0) for n in range(10, 24)]
    d = Driver(
        members,
        seed,
        per_call=[1, 5],
        routes_apart=[False, True],
        report_left=0,
        report_limit=1,
        weights="rough",
        tenants=[api.Tenant("a", 5.0, 0.5), api.Tenant("b", 5.0, 0.5)],
        over_share_worth=0.2,
        route_fee=[0.1, 0.0, 0.0],
        handshake_price=0.1,
    )
    results = [1, 1, 3, 1, 5, 1, 2, 1, 6, 1, 1, 4, 1]
    for k in range(200):
        d.message([SAFE, UNSAFE, KEYED, ORDERED][k % 4], k % 4, key=k % 7, tenant=k % 2)
        d.pass_time(40)
        for key in list(d.out)[:: 1 + k % 3]:
            d.finish(key[0], results[(k * 7 + key[0]) % 13], wait=(k % 5) * 100, report=(0.5, 9.0))
    return d.log


def test_identical_events_give_identical_actions():
    first = rough_hour(3)
    assert len(first) > 200 and first == rough_hour(3)


def test_absent_settings_leave_it_working():
    d = Driver(
        most_held=None,
        attempts_cap=None,
        may_cancel=False,
        idle_close_ms=None,
        max_retry_after_ms=None,
        may_advise_retry=False,
        per_call=[],
        cold_share=None,
        ramp_time_ms=None,
        tip_multiple=None,
        tip_after_ms=None,
        key_rest_ms=None,
        drain_grace_ms=None,
    )
    d.warm_up(40)
    numbers = [d.message(cls, key=3) for cls in (SAFE, UNSAFE, KEYED, ORDERED)]
    d.pass_time(30000)
    assert all(len(d.finals[n]) == 1 for n in numbers)


def test_news_of_unknown_things_is_passed_over():
    d = Driver()
    d.give(
        api.Outcome(999, 0, 11, api.Result.OK, 5.0, True),
        api.Withdrawn(999),
        api.TimerDue(123456),
        api.Membership(api.ListKind.DELTA, 2, [member(77, life=0)]),
        api.Membership(api.ListKind.DELTA, 2, [member(11)]),
        api.Probed(11, 1, 5.0),
        api.PeerSaid(1, b"x"),
        api.AnswerBegun(999, 0, 11, 5.0),
    )
    d.warm_up(3)
    assert len(d.sent()) == 3


def test_messages_to_one_endpoint_share_a_call():
    d = Driver(per_call=[5])
    numbers = range(1, 8)
    d.give(*[api.Message(n, 1, SAFE, 0, d.now + 8000.0) for n in numbers])
    assert len(d.sent()) == 5 and d.sender.used == 1


def test_surplus_of_a_tenant_waits_behind_the_shares_of_others():
    d = Driver(tenants=[api.Tenant("a", 2.0), api.Tenant("b", 2.0)], over_share_worth=0.2)
    d.give(*[api.Message(n, 1, SAFE, 0, d.now + 8000.0) for n in range(1, 9)])
    d.give(api.Message(20, 1, SAFE, 1, d.now + 8000.0))
    order = []
    while d.out:
        order.append(next(iter(d.out))[0])
        d.finish(order[-1])
    assert order.index(20) < 6


def test_one_destination_stays_under_three_quarters_of_the_slots():
    d = Driver(slots=20)
    d.warm_up(60)
    for _ in range(40):
        d.message(SAFE)
    assert 10 < len(d.out) < 15


def test_a_call_stays_in_its_zone_where_crossing_costs():
    """The other floor's endpoint stands first in the list, and is as good in all else."""
    members = [member(11, zone=1), member(12, zone=0)]
    for price, used in ((0.03, {12}), (0.0, {11})):
        d = Driver(members=members, cross_price=price, zone=0)
        d.warm_up(10)
        assert {attempt.endpoint for attempt in d.sent()} == used
    d = Driver(members=members, cross_price=0.03, zone=0)
    d.give(api.Membership(api.ListKind.DELTA, 2, [member(12, life=2, zone=0)]))  # it drains: only the far one is left
    d.warm_up(2)
    assert {attempt.endpoint for attempt in d.sent()} == {11}


def test_a_restart_waits_longer_where_wasted_calls_cost():
    """The same latencies, one in five of them eight times as long."""
    taus = []
    for price in (0.0, 0.06):
        d = Driver(waste_price=price)
        for call in range(80):
            number = d.message()
            d.pass_time(800.0 if call % 5 == 4 else 100.0 + call % 7)
            if d.is_out(number):
                d.finish(number)
        taus.append(d.sender.endpoints[11].lane.tau)
    assert taus[0] < 200.0 < taus[1]
