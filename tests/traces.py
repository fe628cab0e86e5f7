"""Helpers for the trace tests: seeded frames as a relay records them at level ``tries``."""

from __future__ import annotations

import random
from pathlib import Path

from lynxscale.trace import records as r
from lynxscale.trace.frames import Frame
from lynxscale.trace.reader import Reader
from lynxscale.trace.writer import Output

CLASSES = ((0, "aviso-ronda"), (1, "inscripcion"), (2, "pago-premio"))
TENANTS = ((0, "club-donostia"), (1, "club-oviedo"))
SETTINGS = (
    '{"classes":[{"name":"aviso-ronda","aim_ms":3000.0,"deadline_ms":16000.0,"worth":1.0,"late_worth":0.4}],'
    '"tenants":[{"name":"club-donostia"},{"name":"club-oviedo"}],"late_halves":false}'
)
ZERO = 1_790_000_000_000_000  # Unix µs


def endpoint(number: int) -> r.Handle:
    return (number, f"partner-{number:02d}")


def frames(
    count: int = 200,
    relay: str = "a",
    process: str = "00aa11bb22cc",
    seed: int = 1,
    start: int = 5_000_000,
    offset: int = ZERO,
) -> list[Frame]:
    """Generate frames of one process: ``count`` messages, each with one attempt and a final status in three turns."""
    chance, found, seq = random.Random(seed), [], 0
    source = f"{relay}/{process}"

    def add(time: int, records: list) -> None:
        nonlocal seq
        found.append(Frame(source, time, seq, offset, records))
        seq += len(records)

    rows = [
        r.Member(endpoint(k), 1, k % 4, (0, "north"), (0, "club-reservas"), 2.5, f"10.9.8.{k}:7070") for k in range(8)
    ]
    add(
        start,
        [
            (r.START, [relay, process, "1", "tries", 1.0, "", "7", SETTINGS, "abc"]),
            (r.LIST, [3, 41, len(rows)]),
            (r.MEMBERS, [rows]),
        ],
    )
    time = start
    for number in range(count):
        time += chance.randrange(1000, 20_000)
        dest = chance.randrange(4)
        msg = r.Msg(number, f"{chance.getrandbits(64):016x}", chance.choice(CLASSES), chance.choice(TENANTS), dest)
        at = endpoint(dest)
        add(
            time,
            [
                (r.MESSAGE, [msg, 15_000_000, chance.randrange(300), 0]),
                (r.ADMIT, [msg, r.reason("taken"), 0.0]),
                (r.TRY_START, [msg, 0, at, 1_234_567, False]),
            ],
        )
        time += chance.randrange(1000, 90_000)
        how = chance.choice(("ok", "ok", "ok", "error"))
        add(time, [(r.TRY_END, [msg, 0, at, r.reason(how), 81_234, 0.0, False, (0.25, 4.5)])])
        status = "delivered" if how == "ok" else "undeliverable"
        add(time + 500, [(r.END, [msg, r.reason(status), 0.0]), (r.PROBE_END, [at, r.reason("ok"), 900, ()])])
        time += 500
    add(time + 1, [(r.STOP, [0])])
    return found


def write(path: Path, given: list[Frame], version: int = 2) -> Path:
    with Output(path, version, ZERO) as out:
        for frame in given:
            out.put(frame)
    return path


def read(path: Path) -> list[Frame]:
    with Reader(path) as reader:
        return list(reader.frames())


def flat(given: list[Frame]) -> list[tuple]:
    """List records with their sequence numbers, regardless of how they are split into frames."""
    return [
        (frame.source, frame.seq + place, frame.time, frame.offset, number, values)
        for frame in given
        for place, (number, values) in enumerate(frame.records)
    ]
