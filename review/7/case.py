"""Case: a conversation that goes on just as its earlier turn expires, and then comes in through another relay."""

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
    Tier,
    call,
    configuration,
    new_id,
    output_of,
    play,
    turn_fields,
)

LINES = 104 if TROUBLE else 24
AT_ONCE = 4  # first turns
RETENTION_S = 10.0
# The second turns begin between these seconds after the first turns; the keeping of 10 s is over by then.
FIRST_S, LAST_S = (30.0, 84.0) if TROUBLE else (0.0, 8.0)


class Line:
    """One line of turns of one program."""

    def __init__(self, tier: Tier, number: int) -> None:
        self.tier = tier
        self.number = number
        self.program, self.session = f"{number:06x}", f"{number + 4096:06x}"
        self.whole: list[tuple[str, bytes, float]] = []  # id, input and output, when it ended

    async def turn(self, edge: str, previous: str) -> Answer:
        """One turn through a relay; one that fails is sent again from its start, twice at most, as clients do."""
        text = f"input {self.number} of {len(self.whole) + 1}\n".encode()
        answer = Answer()
        for _ in range(3):
            request_id = new_id()
            fields = turn_fields(request_id, self.program, self.session, previous)
            answer = await call(self.tier.frontend(edge), "POST", "/pufi791/s", fields, text, 4.5)
            self.tier.record.write(
                f"line {self.number}: turn {request_id} after {previous or 'none'} to {edge}: {answer}"
            )
            if answer.status == 200 and answer.whole:
                self.whole.append((request_id, text + output_of(answer), answer.ended_at))
            if (answer.status == 200 and answer.whole) or 400 <= answer.status < 500:
                break
            await asyncio.sleep(0.3)
        return answer

    async def go_on(self) -> str:
        """The second and the third turn; return what broke the rule, or nothing."""
        await self.turn("edge-1", self.whole[-1][0])
        if len(self.whole) < 2:
            return ""  # the first turn isn't kept any more, as may be
        second = self.whole[-1]
        answer = await self.turn("edge-2", second[0])
        kept_s = answer.ended_at - second[2]
        if answer.status in (404, 410) and kept_s < RETENTION_S:
            return f"line {self.number}: {answer.status} after {second[0]}, which was answered whole {kept_s:.2f} s ago"
        return ""


async def first_turns(lines: list[Line]) -> None:
    """Play the first turn of each line."""
    for line in lines:
        await line.turn("edge-1", "")


async def case(tier: Tier) -> int:
    """Play the lines, until one of them breaks the rule."""
    if not await tier.start(configuration(**{"retention-s": RETENTION_S})):
        return NOT_RUN
    for number in range(24):  # the relays learn how much the endpoints take
        await Line(tier, 1000 + number).turn(tier.edges[number % 2], "")
    lines = [Line(tier, number) for number in range(LINES)]
    await asyncio.gather(*(first_turns(lines[begin::AT_ONCE]) for begin in range(AT_ONCE)))
    lines = [line for line in lines if line.whole]
    for server in tier.servers:
        server.first_event_s, server.event_gap_s, server.events = 0.3, 0.19, 12
    await asyncio.sleep(FIRST_S)
    going: set[asyncio.Task[str]] = set()
    broken = ""
    for line in lines:
        going.add(asyncio.ensure_future(line.go_on()))
        await asyncio.sleep((LAST_S - FIRST_S) / LINES)
        broken = next((task.result() for task in going if task.done() and task.result()), "")
        if broken:
            break
    broken = next((text for text in await asyncio.gather(*going) if text), broken)
    if broken:
        tier.record.write(f"BROKEN: {broken}")
        return BROKEN
    third = sum(len(line.whole) == 3 for line in lines)
    tier.record.write(f"{len(lines)} lines, {third} with a third turn")
    return HELD if TROUBLE or 2 * third >= LINES else NOT_RUN


sys.exit(play(Path(__file__).resolve().parent, case))
