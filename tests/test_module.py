"""Decisions are pure: no I/O, no clock, and identical events give identical actions."""

import ast
import tomllib
from pathlib import Path

from lynxscale.scheduling.events import (
    HealthChecked,
    MembershipKind,
    MembershipUpdate,
    Message,
    Outcome,
    PeerMessage,
    ResponseStarted,
    Result,
    TimerDue,
    Withdrawn,
)
from lynxscale.scheduling.settings import Tenant
from tests.driver import KEYED, ORDERED, SAFE, UNSAFE, Driver, member

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "lynxscale" / "scheduling"
NOT_DECISIONS = {
    "__init__.py",  # lazy import of the scheduler
    "actions.py",  # plain classes: what the caller is asked to do
    "events.py",  # plain classes: what the scheduler learns
    "settings.py",  # plain classes
    "settings_reader.py",  # reads the operators' object into those
    "simulator_adapter.py",  # framing of the simulator's pipe
}
PURE_IMPORTS = {"__future__", "collections", "dataclasses", "heapq", "itertools", "math", "random", "typing"}


def decision_modules() -> list[Path]:
    return sorted(path for path in PACKAGE.glob("*.py") if path.name not in NOT_DECISIONS)


def imported(path: Path) -> set[str]:
    """Names of all modules that this one imports, wherever the import stands."""
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0, f"{path.name}: a relative import"
            names.add(node.module)
    return names


def test_decision_modules_have_no_io_and_no_clock():
    """They import pure parts of the standard library, one another, and the plain classes; nothing is opened."""
    allowed = {f"lynxscale.scheduling.{path.stem}" for path in decision_modules()} | {
        f"lynxscale.scheduling.{name}" for name in ("actions", "events", "settings")
    }
    for path in [*decision_modules(), *(PACKAGE / f"{name}.py" for name in ("actions", "events", "settings"))]:
        roots = {name if name.startswith("lynxscale") else name.partition(".")[0] for name in imported(path)}
        assert roots <= allowed | PURE_IMPORTS | {"enum"}, f"{path.name}: {roots - allowed - PURE_IMPORTS}"
        called = {node.id for node in ast.walk(ast.parse(path.read_text())) if isinstance(node, ast.Name)}
        assert not called & {"open", "print", "input", "exec", "eval", "__import__"}, path.name


def test_the_deploy_file_names_exactly_the_decision_modules():
    named = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    assert sorted(named) == [str(path.relative_to(ROOT)) for path in decision_modules()]
    assert len(set(named)) == len(named)


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
        tenants=[Tenant("a", 5.0, 0.5), Tenant("b", 5.0, 0.5)],
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
        Outcome(999, 0, 11, Result.OK, 5.0, True),
        Withdrawn(999),
        TimerDue(123456),
        MembershipUpdate(MembershipKind.DELTA, 2, [member(77, life=0)]),
        MembershipUpdate(MembershipKind.DELTA, 2, [member(11)]),
        HealthChecked(11, 1, 5.0),
        PeerMessage(1, b"x"),
        ResponseStarted(999, 0, 11, 5.0),
    )
    d.warm_up(3)
    assert len(d.sent()) == 3


def test_messages_to_one_endpoint_share_a_call():
    d = Driver(per_call=[5])
    numbers = range(1, 8)
    d.give(*[Message(n, 1, SAFE, 0, d.now + 8000.0) for n in numbers])
    assert len(d.sent()) == 5 and d.scheduler.limits.used == 1


def test_surplus_of_a_tenant_waits_behind_the_shares_of_others():
    d = Driver(tenants=[Tenant("a", 2.0), Tenant("b", 2.0)], over_share_worth=0.2)
    d.give(*[Message(n, 1, SAFE, 0, d.now + 8000.0) for n in range(1, 9)])
    d.give(Message(20, 1, SAFE, 1, d.now + 8000.0))
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
    d.give(
        MembershipUpdate(MembershipKind.DELTA, 2, [member(12, life=2, zone=0)])
    )  # it drains: only the far one is left
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
        taus.append(d.scheduler.table.endpoints[11].route.restart_timeout_ms)
    assert taus[0] < 200.0 < taus[1]
