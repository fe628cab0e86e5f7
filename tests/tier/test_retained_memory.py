"""The state of real processes, retained turns and configurations, against the memory of the settings."""

import asyncio
import shutil
import tempfile
from collections import Counter
from pathlib import Path
from random import Random

import msgspec

from lab.tier.changing_routes import idle_routes
from lab.tier.local import LocalTier, free_network
from lab.tier.memory_watch import MemoryWatch
from lab.tier.simulated_tier import default_configuration

MEMORY_MB = 160
TURNS = 200
CHANGES_MEMORY_MB = 200
CHANGES, IDLE_ROUTES = 30, 20_000  # 3.5 MB a change
BODY_BYTES = 1_000_000  # all turns together are more than the memory


def turn_fields(number: int) -> tuple:
    fields = {
        "lynxscale-request-id": f"t{number}",
        "program": f"p{number}",
        "budget": "1000",
        "lynxscale-token-count": "10,40",
    }
    return tuple((key.encode(), value.encode()) for key, value in fields.items())


async def allow_large_bodies(tier: LocalTier) -> None:
    configuration = default_configuration(2)
    configuration["limits"]["max-body-bytes"] = 4 * 1024 * 1024
    fields = ((b"lynxscale-base-version", b"1"),)
    body = msgspec.json.encode(configuration)
    answer = await tier.call(tier.control(await tier.primary()), "POST", "/config/replace", body, fields)
    assert answer.status == 200, answer
    await asyncio.sleep(1.0)


async def send_turns(tier: LocalTier) -> tuple[Counter, dict[str, int]]:
    """The statuses of the turns, and the peaks of memory by process."""
    try:
        await tier.start()
        await allow_large_bodies(tier)
        watch = MemoryWatch(lambda: {name: one.pid for name, one in tier.processes.items()})
        watching = asyncio.create_task(watch.run())
        statuses: Counter[int] = Counter()
        for number in range(TURNS):
            relay = tier.frontend(tier.relay_names[number % 2])
            answer = await tier.call(relay, "POST", "/kept/stream", b"x" * BODY_BYTES, turn_fields(number))
            statuses[answer.status] += 1
        watching.cancel()
        assert all(process.poll() is None for process in tier.processes.values())
        return statuses, watch.peaks_mb
    finally:
        tier.stop()


def test_retained_turns_stay_within_the_memory_of_the_settings_and_further_ones_are_told_to_come_back():
    folder = Path(tempfile.mkdtemp(prefix="tier-"))
    try:
        tier = LocalTier(folder, free_network(Random()), steady_disk=True, memory_mb=MEMORY_MB)
        statuses, peaks_mb = asyncio.run(send_turns(tier))
    finally:
        shutil.rmtree(folder)
    assert statuses[200] and statuses[503] and statuses.keys() == {200, 503}, statuses
    assert all(peak < MEMORY_MB for peak in peaks_mb.values()), peaks_mb


async def send_changes(tier: LocalTier, changes: int) -> tuple[int, dict[str, int]]:
    """How many changes were acknowledged, and the peaks of memory by process."""
    try:
        await tier.start()
        watch = MemoryWatch(lambda: {name: one.pid for name, one in tier.processes.items()})
        watching = asyncio.create_task(watch.run())
        version = 1
        for _ in range(changes):
            configuration = default_configuration(version + 1)
            configuration["routes"] = [*configuration["routes"], *idle_routes(IDLE_ROUTES)]
            fields = ((b"lynxscale-base-version", b"%d" % version),)
            address = tier.control(await tier.primary())
            answer = await tier.call(address, "POST", "/config/replace", msgspec.json.encode(configuration), fields)
            version += answer.status == 200
        watching.cancel()
        assert all(process.poll() is None for process in tier.processes.values())
        return version - 1, watch.peaks_mb
    finally:
        tier.stop()


def test_large_changes_in_quick_succession_leave_no_memory_behind():
    folder = Path(tempfile.mkdtemp(prefix="tier-"))
    try:
        tier = LocalTier(folder, free_network(Random()), steady_disk=True, memory_mb=CHANGES_MEMORY_MB)
        acknowledged, peaks_mb = asyncio.run(send_changes(tier, CHANGES))
    finally:
        shutil.rmtree(folder)
    assert acknowledged > CHANGES / 2
    assert all(peak < CHANGES_MEMORY_MB for peak in peaks_mb.values()), peaks_mb
