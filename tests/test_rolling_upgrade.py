"""Runs the rolling upgrade of a tier of real processes under load, from this checkout to itself."""

import asyncio
import sys
from random import Random

from lab.tier.local import free_network
from lab.tier.rolling_upgrade import Upgrade, run
from lab.tier.upgrade_load import ClientResult, Load
from lab.tier.upgrade_report import report
from lab.tier.upgrade_rules import failures, request_violations, stored_state_violations
from lab.tier.upgrade_tier import THIS_CHECKOUT, Checkout, UpgradeTier

SEED = 1


async def replace_a_backup_and_a_relay(upgrade: Upgrade, group: asyncio.TaskGroup) -> None:
    await upgrade.start(group)
    primary = await upgrade.tier.primary()
    backup = next(name for name in upgrade.tier.control_names if name != primary)
    for name in (backup, "relay-1"):
        await upgrade.replace(name, upgrade.new)
    await upgrade.check()


def test_a_backup_and_a_relay_are_replaced_under_load(tmp_path):
    print(f"seed {SEED}")
    old, new = (Checkout(label, THIS_CHECKOUT, sys.executable) for label in ("old", "new"))
    upgrade = Upgrade(UpgradeTier(tmp_path, free_network(Random()), old, steady_disk=True), old, new, Random(SEED))
    asyncio.run(run(upgrade, replace_a_backup_and_a_relay))
    print(report(upgrade))
    assert upgrade.reasons == []
    assert upgrade.pairs["old primary, new backup"] and upgrade.pairs["old primary, new relay"]
    assert not upgrade.tier.processes
    check_that_losses_are_found(upgrade)


def check_that_losses_are_found(upgrade: Upgrade) -> None:
    """The observations of the run break no rule, and each loss or duplicate injected into them is reported."""
    load = upgrade.load
    assert request_violations(upgrade.tier.endpoints, load) == []
    last = load.conversations[0].complete_turns[-1]
    stored = stored_state_violations('{"key": "config/current", "value": {"body": 0}}', load)
    assert f"{last.request_id} was acknowledged and is not stored" in stored
    assert "the configuration stored is not the one acknowledged last" in stored
    assert any(reason.startswith("program-0: clients count") for reason in stored)
    check_request_losses_are_found(upgrade, load)


def check_request_losses_are_found(upgrade: Upgrade, load: Load) -> None:
    executed = next(endpoint.executed for endpoint in upgrade.tier.endpoints if endpoint.executed)
    executed.append(next(request for request in executed if request.target == "/kept/stream"))
    load.calls.append(("/book/1 nobody", ClientResult(200, b"done")))
    reasons = request_violations(upgrade.tier.endpoints, load)
    assert reasons == ["rule answered_but_not_run broken 1 times", "rule twice broken 1 times"]
    windows = [(step.begin, step.end) for step in upgrade.steps]
    load.sent.append(type(load.sent[0])("turn", "late", "relay-1", 1.0, 2.0, 502))
    assert failures(load, windows)[1] == ["turn late at relay-1 failed outside all windows: 502"]
    within, outside = failures(load, [*windows, (1.5, 1.6)])
    assert within["turn 502"] == 1 and not outside
