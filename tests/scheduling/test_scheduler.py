"""Tests of complete schedulers: the same events give the same actions, and every message gets one final answer."""

import pytest

from lynxscale.scheduling.actions import Fail, Refuse
from lynxscale.scheduling.events import (
    HealthChecked,
    MembershipKind,
    MembershipUpdate,
    Outcome,
    PeerMessage,
    ResponseStarted,
    Result,
    TimerDue,
    Withdrawn,
)
from lynxscale.scheduling.settings import Tenant
from tests.scheduling.driver import KEYED, ORDERED, SAFE, UNSAFE, Driver, member

OK, FULL, FAILED = Result.OK, Result.FULL, Result.CONNECT_FAILED
NOT_EXECUTED = (Result.FULL, Result.CONNECT_FAILED, Result.MOOT)
MAYBE_EXECUTED = (Result.ERROR, Result.RESET, Result.CANCELLED)


def run_mixed_outcomes(d: Driver, reports=((),), wait: float = 400.0) -> None:
    """Send messages of every class, end their attempts with mixed outcomes, then finish all that are left."""
    for k in range(150):
        d.message([SAFE, UNSAFE, KEYED, ORDERED][k % 4], 1 + k % 2, key=k % 5)
        d.advance(60)
        for number, _ in list(d.attempts_in_flight)[:: 1 + k % 2]:
            d.finish(number, [OK, FULL, OK, FAILED, OK][(k + number) % 5], wait, reports[k % len(reports)])
    for _ in range(300):
        d.advance(100)
        for number, _ in list(d.attempts_in_flight):
            d.finish(number)


def assert_all_answered_once(d: Driver) -> None:
    assert sorted(d.final_answers) == list(range(1, d.next_id + 1))
    assert all(len(f) == 1 for f in d.final_answers.values())


def run_mixed_settings(seed: int) -> list:
    members = [member(n, n % 4, kind=n % 2, zone=n % 3, weight=3.0) for n in range(10, 24)]
    d = Driver(
        members,
        seed,
        per_call=[1, 5],
        routes_apart=[False, True],
        report_left=0,
        report_limit=1,
        weights="rough",
        tenants=[Tenant("a", 5.0, 0.5), Tenant("b", 5.0, 0.5)],
        over_share_worth=0.2,
        route_fee=[0.1, 0.0, 0.0],
        handshake_price=0.1,
    )
    results = [1, 1, 3, 1, 5, 1, 2, 1, 6, 1, 1, 4, 1]
    for k in range(200):
        d.message([SAFE, UNSAFE, KEYED, ORDERED][k % 4], k % 4, key=k % 7, tenant=k % 2)
        d.advance(40)
        for key in list(d.attempts_in_flight)[:: 1 + k % 3]:
            d.finish(key[0], results[(k * 7 + key[0]) % 13], wait=(k % 5) * 100, report=(0.5, 9.0))
    return d.log


def test_identical_events_give_identical_actions():
    first = run_mixed_settings(3)
    assert len(first) > 200 and first == run_mixed_settings(3)


def test_absent_settings_leave_every_message_answered():
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
    d.advance(30000)
    assert all(len(d.final_answers[n]) == 1 for n in numbers)


def test_events_of_unknown_messages_and_endpoints_are_ignored():
    d = Driver()
    d.run_step(
        Outcome(999, 0, 11, Result.OK, 5.0, True),
        Withdrawn(999),
        TimerDue(123456),
        MembershipUpdate(MembershipKind.DELTA, 2, [member(77, lifecycle=0)]),
        MembershipUpdate(MembershipKind.DELTA, 2, [member(11)]),
        HealthChecked(11, 1, 5.0),
        PeerMessage(1, b"x"),
        ResponseStarted(999, 0, 11, 5.0),
    )
    d.warm_up(3)
    assert len(d.sent()) == 3


@pytest.mark.parametrize("result", list(NOT_EXECUTED) + list(MAYBE_EXECUTED))
@pytest.mark.parametrize("cls", [SAFE, UNSAFE, KEYED, ORDERED])
def test_every_message_is_answered_once_in_time(cls, result):
    d = Driver()
    numbers = [d.message(cls, key=5) for _ in range(6)]
    for _ in range(300):
        for key in list(d.attempts_in_flight):
            d.finish(key[0], result)
        d.advance(100)
    assert sorted(d.final_answers) == numbers
    assert all(len(f) == 1 for f in d.final_answers.values())


def test_timeout_at_the_deadline_is_answered_at_once():
    d = Driver()
    number = d.message(UNSAFE)
    d.advance(20001)
    assert isinstance(d.final_answers[number][0], Fail)
    assert [t for t, a in d.log if isinstance(a, Fail)] == [21000.0]


def test_destination_without_endpoints_rejects_at_the_deadline():
    d = Driver(members=[])
    number = d.message(SAFE)
    d.advance(8100)
    assert isinstance(d.final_answers[number][0], Refuse)


def test_expired_arrival_is_answered_at_once():
    d = Driver()
    number = d.message(SAFE, time_left=-1.0)
    assert len(d.final_answers[number]) == 1 and not d.sent()


def test_message_requeued_after_its_timer_is_still_answered():
    d = Driver()
    d.warm_up(40, latency=500.0)
    number = d.message(SAFE, time_left=2000.0)
    d.advance(1400)
    d.finish(number, Result.FULL, wait=5000)
    d.advance(700)
    assert len(d.final_answers[number]) == 1


@pytest.mark.parametrize("cls", [SAFE, UNSAFE, KEYED, ORDERED])
def test_outcome_after_the_answer_and_membership_that_drains_all(cls):
    d = Driver([member(11), member(12)])
    sent, pending = d.message(cls, key=4), d.message(cls, key=4)
    gone = [member(11, lifecycle=2), member(12, lifecycle=0)]
    d.run_step(MembershipUpdate(MembershipKind.DELTA, 2, gone))
    before = len(d.sent())
    for _ in range(2):
        d.run_step(Outcome(sent, 0, 11, Result.OK, 100.0, True))
    d.advance(30000)
    assert len(d.sent()) == before and len(d.final_answers[pending]) == 1


def test_health_checks_of_unknown_and_gone_endpoints_are_ignored():
    d = Driver()
    d.run_step(MembershipUpdate(MembershipKind.DELTA, 2, [member(11, lifecycle=0)]))
    d.run_step(*[HealthChecked(e, r, 5.0, (0.0, 3.0)) for e in (11, 99) for r in (1, 3, 4, 5, 6)])
    number = d.message(SAFE)
    d.advance(9000)
    assert not d.sent() and len(d.final_answers[number]) == 1


@pytest.mark.parametrize("slots", [1, 3])
@pytest.mark.parametrize("senders", [1, 400])
def test_few_slots_and_many_nodes(slots, senders):
    d = Driver([member(11, 1), member(12, 2)], slots=slots, senders=senders, most_held=16)
    run_mixed_outcomes(d)
    assert_all_answered_once(d)
    most = max(sum(a.endpoint == n for a, _ in d.attempts_in_flight.values()) for n in (11, 12))
    assert most <= max(1, slots * 3 // 4)


@pytest.mark.parametrize("weight", [0.0, 0.5, 2.0, 1000.0])
@pytest.mark.parametrize("weights", ["off", "rough"])
def test_advertised_rate_wrong_or_absent(weight, weights):
    d = Driver([member(11, 1, weight=weight), member(12, 2, weight=weight)], weights=weights, slots=3)
    run_mixed_outcomes(d)
    assert_all_answered_once(d)


@pytest.mark.parametrize(
    "reports",
    [
        ((),),
        ((0.0, 0.0),),
        ((1.0, 5.0), ()),
        ((0.0, 1e9),),
        ((0.5, 4.0), (0.5, 8.0), ()),
    ],
)
def test_load_reports_absent_stale_or_zero(reports):
    d = Driver([member(11, 1), member(12, 2)], report_left=0, report_limit=1, senders=200, slots=3)
    run_mixed_outcomes(d, reports)
    assert_all_answered_once(d)


def test_cached_membership_of_hundreds_of_destinations():
    listed = [member(1000 + n, n % 300, weight=3.0) for n in range(600)]
    d = Driver(listed, slots=3, senders=240, most_held=16)
    numbers = [d.message([SAFE, UNSAFE, KEYED][n % 3], n) for n in range(14)]
    assert len(d.attempts_in_flight) == 3
    for _ in range(40):
        for number, _ in list(d.attempts_in_flight):
            d.finish(number)
        d.advance(50)
    assert sorted(d.final_answers) == numbers and all(f == ["delivered"] for f in d.final_answers.values())


@pytest.mark.parametrize("cls", [SAFE, UNSAFE, KEYED, ORDERED])
def test_retry_after_longer_than_any_time_left(cls):
    d = Driver()
    first = d.message(cls, key=3)
    d.finish(first, FULL, wait=1e7)
    rest = [d.message(cls, key=3) for _ in range(5)]
    d.advance(30000)
    assert sorted(d.final_answers) == [first, *rest] and len(d.sent()) == 1
