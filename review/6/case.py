"""Case: a change writes a whole number as 2.0; it is acknowledged, and no relay ever takes it up."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

from harness_2 import BROKEN, DESK, HELD, HOST, NOT_RUN, TROUBLE, Answer, Tier, call, configuration, new_id, play

OTHER = "bexo07c"
ATTEMPTS = 2.0 if TROUBLE else 2
CONFIG_APPLY_S = 2.0
REQUESTS = 40
READY_AGAIN_S = 30.0
SEVEN = b'"generation": 7'


async def ask(tier: Tier, edge: str, path: str) -> tuple[str, Answer]:
    """Send a request; return the service that ran it (nothing if none did), and the answer."""
    request_id = new_id()
    fields = [("host", HOST), ("lynxscale-request-id", request_id), ("lynxscale-deadline-ms", "1200")]
    answer = await call(tier.frontend(edge), "GET", path, fields, timeout_s=1.3)
    ran = {arrival.server for arrival in tier.arrivals if arrival.fields.get("lynxscale-request-id") == request_id}
    service = next((server.service for server in tier.servers if server.id in ran), "")
    tier.record.write(f"GET {path} to {edge}: {answer}, run by {service or 'none'}")
    return service, answer


async def case(tier: Tier) -> int:
    """Move a route to another service, wait for ``config-apply-ms``, and see who runs its requests."""
    tier.servers[-1].service = OTHER
    first = configuration(5)
    first["services"].append(first["services"][1] | {"name": OTHER})
    if not await tier.start(first):
        return NOT_RUN
    if (await ask(tier, "edge-1", "/pule252/2f"))[0] != DESK:
        return NOT_RUN
    changed = configuration(7)
    changed["services"].append(changed["services"][1] | {"name": OTHER})
    changed["routes"][2]["backend"] = OTHER
    changed["routes"][2]["max-attempts"] = ATTEMPTS
    answer = await tier.order(changed, 5)
    if answer.status != 200:
        return HELD if TROUBLE and 400 <= answer.status < 500 else NOT_RUN  # it may be refused, or come into force
    await asyncio.sleep(CONFIG_APPLY_S + 1.0)
    old = new = 0
    for number in range(REQUESTS):
        service, _ = await ask(tier, tier.edges[number % len(tier.edges)], "/pule252/2f")
        old, new = old + (service == DESK), new + (service == OTHER)
        await asyncio.sleep(0.1)
    tier.record.write(f"{old} run by the old service, {new} by the new one")
    read = await tier.operator("GET", "/config/read")
    tier.record.write(f"operator reads the configuration: {read}, with its version: {SEVEN in read.body}")
    await restart(tier)
    if old > 0:
        return BROKEN
    return HELD if new else NOT_RUN


async def restart(tier: Tier) -> None:
    """Stop and start a relay as the platform does for planned work; only for the record."""
    tier.send_signal("edge-2", signal.SIGTERM)
    process = tier.processes.pop("edge-2")
    await asyncio.to_thread(process.wait)
    tier.launch("edge-2")
    try:
        async with asyncio.timeout(READY_AGAIN_S):
            await tier.until_ready("edge-2")
        tier.record.write("edge-2 is ready again")
    except TimeoutError:
        tier.record.write(f"edge-2 is not ready {READY_AGAIN_S:.0f} s after its start")
    await ask(tier, "edge-2", "/pule252/2f")


sys.exit(play(Path(__file__).resolve().parent, case))
