"""Case: a relay is killed amid turns of a route that is retained and resumable; clients take the streams up."""

from __future__ import annotations

import asyncio
import sys
from dataclasses import dataclass, field
from pathlib import Path

from harness_2 import BROKEN, HELD, NOT_RUN, TROUBLE, Answer, Tier, call, configuration, new_id, play, turn_fields

LINES = 12
EVENTS, GAP_S = 8, 0.15


def events_of(answer: Answer) -> list[tuple[int, str]]:
    """The number and the data of each complete event."""
    found = []
    for event in answer.body.decode().split("\n\n")[:-1]:
        lines = dict(line.split(": ", 1) for line in event.split("\n"))
        found.append((int(lines["id"]), lines["data"]))
    return found


@dataclass
class Line:
    """One conversation: what its turns have said so far, and the body that the next turn has to have."""

    tier: Tier
    number: int
    said: bytes = b""
    last: str = ""
    resumed: int = 0
    expected: dict[str, bytes] = field(default_factory=dict)

    async def turn(self, edge: str, other: str) -> bool:
        """One turn; a stream that breaks off is continued behind its last event through the other relay."""
        text = f"input {len(self.expected)} of line {self.number}\n".encode()
        program = f"{self.number:06x}"
        got: list[tuple[int, str]] = []
        for attempt in range(4):
            request_id = new_id()
            fields = turn_fields(request_id, program, program, self.last)
            if got:
                fields.append(("last-event-id", str(got[-1][0])))
            self.expected[request_id] = self.said + text
            answer = await call(
                self.tier.frontend(edge if attempt == 0 else other), "POST", "/pufi791/s", fields, text, 4.3
            )
            begun = f"after {self.last or 'none'}, " + (f"behind event {got[-1][0]}" if got else "from its start")
            new = events_of(answer) if answer.status == 200 else []
            got += new
            self.tier.record.write(f"line {self.number}: turn {request_id} {begun}: {answer}, {len(new)} events")
            if answer.status == 200 and answer.whole:
                if [number for number, _ in got] != list(range(1, EVENTS + 1)):
                    return False
                self.resumed += attempt > 0 and len(new) < EVENTS
                self.said += text + "".join(f"{data}\n" for _, data in got).encode()
                self.last = request_id
                return True
            await asyncio.sleep(0.2)
        return False


async def first_turns(tier: Tier) -> list[Line]:
    """Kill a relay amid the first turns of all lines; return the lines whose first turn was answered in the end."""
    for server in tier.servers:
        server.events, server.event_gap_s = EVENTS, 0.02
    for number in range(24):  # the relays learn how much the endpoints take
        await Line(tier, 1000 + number).turn(tier.edges[number % 2], tier.edges[number % 2])
    for server in tier.servers:
        server.event_gap_s = GAP_S
    lines = [Line(tier, number) for number in range(LINES)]
    first = [asyncio.ensure_future(line.turn("edge-1", "edge-2")) for line in lines]
    await asyncio.sleep(0.7)
    if TROUBLE:
        tier.kill("edge-1")
    await asyncio.gather(*first)
    if TROUBLE:
        await asyncio.sleep(1.0)
        tier.launch("edge-1")
    return [line for line in lines if line.last]


def wrong_bodies(tier: Tier, lines: list[Line]) -> tuple[int, int]:
    """Return how many bodies that reached an endpoint are not the chain's, and how many were compared."""
    wrong = compared = 0
    expected = {request_id: body for line in lines for request_id, body in line.expected.items()}
    for arrival in tier.arrivals:
        request_id = arrival.fields.get("lynxscale-request-id", "")
        if request_id not in expected:
            continue
        compared += 1
        if arrival.body != expected[request_id]:
            wrong += 1
            tier.record.write(f"BROKEN: {arrival.server} runs {request_id} with {arrival.body!r}")
            tier.record.write(f"        but the chain and the new input are {expected[request_id]!r}")
    return wrong, compared


async def case(tier: Tier) -> int:
    """Compare what the endpoints get in the second turns with what clients said and were told."""
    if not await tier.start(configuration(resumable=True)):
        return NOT_RUN
    lines = await first_turns(tier)
    await asyncio.gather(*(line.turn("edge-2", "edge-2") for line in lines))
    wrong, compared = wrong_bodies(tier, lines)
    resumed = sum(line.resumed for line in lines)
    tier.record.write(f"{resumed} turns were taken up by their clients; {wrong} of {compared} bodies were wrong")
    if wrong:
        return BROKEN
    return HELD if compared and (resumed or not TROUBLE) else NOT_RUN


sys.exit(play(Path(__file__).resolve().parent, case, edges=8))
