"""Settings and reports that are absent, wrong, stale or extreme leave no message unanswered."""

import re

import pytest

from lab.standins import settings as settings_table
from lynxscale.scheduling.events import Result
from lynxscale.scheduling.settings_reader import SettingsError, settings_from
from tests.driver import KEYED, ORDERED, SAFE, UNSAFE, Driver, member

OK, FULL, FAILED = Result.OK, Result.FULL, Result.CONNECT_FAILED


def rough_minute(d: Driver, reports=((),), wait: float = 400.0) -> None:
    """Messages of every class against mixed outcomes, until all are over."""
    for k in range(150):
        d.message([SAFE, UNSAFE, KEYED, ORDERED][k % 4], 1 + k % 2, key=k % 5)
        d.pass_time(60)
        for number, _ in list(d.out)[:: 1 + k % 2]:
            d.finish(number, [OK, FULL, OK, FAILED, OK][(k + number) % 5], wait, reports[k % len(reports)])
    for _ in range(300):
        d.pass_time(100)
        for number, _ in list(d.out):
            d.finish(number)


def assert_all_answered_once(d: Driver) -> None:
    assert sorted(d.finals) == list(range(1, d.next_id + 1))
    assert all(len(f) == 1 for f in d.finals.values())


@pytest.mark.parametrize("slots", [1, 3])
@pytest.mark.parametrize("senders", [1, 400])
def test_few_slots_and_many_senders(slots, senders):
    d = Driver([member(11, 1), member(12, 2)], slots=slots, senders=senders, most_held=16)
    rough_minute(d)
    assert_all_answered_once(d)
    most = max(sum(a.endpoint == n for a, _ in d.out.values()) for n in (11, 12))
    assert most <= max(1, slots * 3 // 4)


@pytest.mark.parametrize("weight", [0.0, 0.5, 2.0, 1000.0])
@pytest.mark.parametrize("weights", ["off", "rough"])
def test_listed_rate_wrong_or_absent(weight, weights):
    d = Driver([member(11, 1, weight=weight), member(12, 2, weight=weight)], weights=weights, slots=3)
    rough_minute(d)
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
def test_reports_absent_stale_or_of_zero(reports):
    d = Driver([member(11, 1), member(12, 2)], report_left=0, report_limit=1, senders=200, slots=3)
    rough_minute(d, reports)
    assert_all_answered_once(d)


def test_cached_list_of_hundreds_of_destinations():
    listed = [member(1000 + n, n % 300, weight=3.0) for n in range(600)]
    d = Driver(listed, slots=3, senders=240, most_held=16)
    numbers = [d.message([SAFE, UNSAFE, KEYED][n % 3], n) for n in range(14)]
    assert len(d.out) == 3
    for _ in range(40):
        for number, _ in list(d.out):
            d.finish(number)
        d.pass_time(50)
    assert sorted(d.finals) == numbers and all(f == ["delivered"] for f in d.finals.values())


@pytest.mark.parametrize("cls", [SAFE, UNSAFE, KEYED, ORDERED])
def test_wait_longer_than_any_time_left(cls):
    d = Driver()
    first = d.message(cls, key=3)
    d.finish(first, FULL, wait=1e7)
    rest = [d.message(cls, key=3) for _ in range(5)]
    d.pass_time(30000)
    assert sorted(d.finals) == [first, *rest] and len(d.sent()) == 1


def rates_of_a_returning_fleet(senders: int, outage: float, ms: float) -> int:
    """Calls that reach a destination in the first span after its return; each node holds a message or two."""
    calls = 0
    for seed in range(senders):
        d = Driver([member(11, weight=60.0)], seed, slots=3, senders=senders, weights="rough")
        back, arrive = d.now + outage, d.now + outage * (seed % 20) / 20
        while d.now < back + ms:
            if d.now >= arrive:
                d.message(UNSAFE)
                arrive += outage
            for number, _ in list(d.out):
                d.finish(number, OK if d.now >= back else FAILED)
            d.pass_time(50)
        calls += sum(t >= back for t in d.sent_at())
    return calls


def test_returning_destination_with_hundreds_of_small_nodes():
    # 200 nodes at 10 s a message bring 20 a second, a third of the listed rate; each has seen the outage.
    budget = 2.0 * (0.2 + 0.8 * 1500 / 10000) * 60 * 3
    assert 10 < rates_of_a_returning_fleet(200, 10000.0, 3000.0) < budget


@pytest.mark.parametrize(
    ("path", "value", "told"),
    [
        (("grades",), [], "grades is missing"),
        (("grades", 0, "effect"), "twice", "grades[0].effect is missing or unknown: 'twice'"),
        (("grades", 1, "memory_span_ms"), None, "grades[1].memory_span_ms is missing"),
        (("grades", 1, "memory_span_ms"), 0, "grades[1].memory_span_ms is not a number of use: 0, want 1 at least"),
        (("grades", 1, "name"), "safe", "grades[1].name is there twice: 'safe'"),
        (("grades", 2, "deadline_ms"), 0, "grades[2].deadline_ms is not a number of use: 0, want 1 at least"),
        (("grades", 2, "deadline_ms"), float("inf"), "grades[2].deadline_ms is not a number of use: inf"),
        (("family_info", "max_calls"), 1e18, "family_info.max_calls is not a number of use: 1e+18, want 1 to 1e+06"),
        (("family_info", "max_calls"), 0, "family_info.max_calls is not a number of use: 0"),
        (("family_info", "per_call"), [0], "family_info.per_call is not of use: [0]"),
        (("allowed", "most_held"), 0, "allowed.most_held is not a number of use: 0"),
        (("balancers",), 0, "balancers is not a number of use: 0"),
        (("orgs",), ["acme"], "orgs[0] has the wrong form"),
        (("orgs",), [{"name": "acme"}, {"name": "acme"}], "orgs[1].name is there twice: 'acme'"),
    ],
)
def test_settings_of_no_use_are_refused_with_their_key(path, value, told):
    whole = settings_table()
    table = whole
    for key in path[:-1]:
        table = table[key]
    table[path[-1]] = value
    with pytest.raises(SettingsError, match=re.escape(f"setting {told}")):
        settings_from(whole)


def test_a_class_that_is_not_keyed_needs_no_span_and_no_cap_is_0():
    whole = settings_table()
    del whole["grades"][0]["memory_span_ms"]
    whole["grades"][2]["memory_span_ms"] = 0
    whole["allowed"]["attempts_cap"] = 0
    read = settings_from(whole)
    assert (read.classes[0].memory_span_ms, read.classes[2].memory_span_ms, read.attempts_cap) == (None, 0.0, 0)
