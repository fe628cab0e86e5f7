"""Case: a change adds a route whose host has capital letters, and clients send this host as the route spells it."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from harness_2 import BROKEN, DESK, HELD, NOT_RUN, TROUBLE, Tier, call, configuration, new_id, play

NEW_HOST = "Mesas.Santander.example" if TROUBLE else "mesas.santander.example"
CONFIG_APPLY_S = 2.0
REQUESTS = 40


async def case(tier: Tier) -> int:
    """Add the route, wait for ``config-apply-ms``, and ask for it at every relay."""
    if not await tier.start(configuration(5)):
        return NOT_RUN
    changed = configuration(7)
    changed["routes"].append({
        "name": "r-4mesas0", "host": NEW_HOST, "path-prefix": "/kuli330/", "route-type": "safe", "timeout-ms": 1200,
        "target-latency-ms": 101, "priority": 2, "backend": DESK, "max-attempts": 2,
    })  # fmt: skip
    if (await tier.order(changed, 5)).status != 200:
        return NOT_RUN
    await asyncio.sleep(CONFIG_APPLY_S + 1.0)
    refused = served = 0
    for number in range(REQUESTS):
        edge = tier.edges[number % len(tier.edges)]
        fields = [("host", NEW_HOST), ("lynxscale-request-id", new_id()), ("lynxscale-deadline-ms", "1200")]
        answer = await call(tier.frontend(edge), "GET", "/kuli330/2f", fields, timeout_s=1.3)
        tier.record.write(f"GET /kuli330/2f of {NEW_HOST} to {edge}: {answer}")
        refused += answer.status == 404
        served += answer.status == 200
        await asyncio.sleep(0.1)
    tier.record.write(f"{served} of {REQUESTS} served, {refused} refused with 404")
    read = await tier.operator("GET", "/config/read")
    tier.record.write(f"operator reads the configuration: {read}, with the route: {NEW_HOST.encode() in read.body}")
    if refused > 5 + REQUESTS / 500:
        return BROKEN
    return HELD if served else NOT_RUN


sys.exit(play(Path(__file__).resolve().parent, case))
