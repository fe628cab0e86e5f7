"""Case: endpoints give a stream with its length, and the primary among the store machines is killed as turns end."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from harness_2 import (
    BROKEN,
    HELD,
    NOT_RUN,
    TROUBLE,
    Answer,
    Arrival,
    Server,
    Tier,
    call,
    configuration,
    new_id,
    play,
    turn_fields,
)

LINES = 40
SPREAD_S = 2.0  # the turns of all lines end within this time
KILL_AFTER_S = 1.0
EVENTS, GAP_S, FIRST_S = 6, 0.05, 0.15
RETENTION_S = 60.0


async def answer_with_length(server: Server, arrival: Arrival, writer: asyncio.StreamWriter) -> bool:
    """Answer a turn with its events, one after the other, under a Content-Length."""
    if "/s" not in arrival.target:
        return False
    request_id = arrival.fields.get("lynxscale-request-id", "")
    events = [f"id: {number}\ndata: {request_id}-{number}\n\n".encode() for number in range(1, EVENTS + 1)]
    await asyncio.sleep(FIRST_S)
    head = (
        f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: {sum(map(len, events))}\r\n"
        f"Lynxscale-Request-Id: {request_id}\r\nLynxscale-Response-Signature: {server.id}.{request_id}\r\n"
        "Connection: close\r\n\r\n"
    )
    writer.write(head.encode())
    for event in events:
        await asyncio.sleep(GAP_S)
        writer.write(event)
        await writer.drain()
    return True


class Line:
    """One conversation."""

    def __init__(self, tier: Tier, number: int) -> None:
        self.tier = tier
        self.number = number
        self.program, self.session = f"{number:06x}", f"{number + 4096:06x}"
        self.whole: list[tuple[str, float]] = []  # id, and when it ended
        self.broken = ""

    async def turn(self, edge: str) -> Answer:
        """One turn, with up to two repeats from its start; it goes on from the line's last whole turn."""
        previous, ended_at = self.whole[-1] if self.whole else ("", 0.0)
        answer = Answer()
        for _ in range(3):
            request_id = new_id()
            fields = turn_fields(request_id, self.program, self.session, previous)
            answer = await call(self.tier.frontend(edge), "POST", "/pufi791/s", fields, b"hola\n", 4.3)
            text = f"line {self.number}: turn {request_id} after {previous or 'none'} to {edge}: {answer}"
            self.tier.record.write(text)
            if answer.status == 200 and answer.whole:
                self.whole.append((request_id, answer.ended_at))
                break
            if answer.status in (404, 410) and answer.ended_at - ended_at < RETENTION_S:
                since_s = answer.ended_at - ended_at
                self.broken = (
                    f"line {self.number}: {answer.status} after {previous}, answered whole {since_s:.2f} s ago"
                )
            if 400 <= answer.status < 500:
                break
            await asyncio.sleep(0.2)
        return answer

    async def play(self, delay_s: float) -> None:
        """Turns one after the other, each through the other relay."""
        await asyncio.sleep(delay_s)
        for number in range(4):
            if self.broken or (await self.turn(self.tier.edges[(self.number + number) % 2])).status != 200:
                return
            await asyncio.sleep(0.05)


async def primary(tier: Tier) -> str:
    """The store machine that answers orders itself."""
    for name in tier.stores:
        answer = await call(tier.control(name), "GET", "/config/read", [("host", tier.control(name))], timeout_s=1.0)
        if answer.status == 200:
            return name
    return ""


async def case(tier: Tier) -> int:
    """Play all lines, kill the primary in their midst, and judge them."""
    for server in tier.servers:
        server.serve = answer_with_length
    if not await tier.start(configuration()):
        return NOT_RUN
    for number in range(30):  # the relays learn how much the endpoints take
        await Line(tier, 1000 + number).turn(tier.edges[number % 2])
    lines = [Line(tier, number) for number in range(LINES)]
    playing = [asyncio.ensure_future(line.play(line.number * SPREAD_S / LINES)) for line in lines]
    await asyncio.sleep(KILL_AFTER_S)
    leader = await primary(tier)
    if TROUBLE:
        if not leader:
            return NOT_RUN
        tier.kill(leader)
        await asyncio.sleep(2.0)
        tier.launch(leader)
    await asyncio.gather(*playing)
    broken = [line.broken for line in lines if line.broken]
    for text in broken:
        tier.record.write(f"BROKEN: {text}")
    tier.record.write(f"{sum(len(line.whole) for line in lines)} turns of {LINES} lines answered whole")
    if broken:
        return BROKEN
    return HELD if sum(len(line.whole) > 1 for line in lines) > LINES / 2 else NOT_RUN


sys.exit(play(Path(__file__).resolve().parent, case))
