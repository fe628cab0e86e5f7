"""Benchmark of the trace format, the recorder and the tools: ``make bench-trace``.

``--big`` is the size of the large file with which the tools' memory is measured; ``--only`` selects sections.
"""

from __future__ import annotations

import multiprocessing
import os
import random
import statistics
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import click
import orjson
import zstandard
from crc32c import crc32c

from lab.clients import CLASSES, TENANTS
from lab.traffic import Load, fresh_folder, one_run, settings, with_trace
from lynxscale.relay.conf.directive import SIZES, parse_amount
from lynxscale.relay.conf.settings import TraceConf
from lynxscale.scheduling.settings_reader import settings_from
from lynxscale.trace import records as r
from lynxscale.trace import v2
from lynxscale.trace.frames import Frame
from lynxscale.trace.head import Head, pack_head
from lynxscale.trace.merge import Merge
from lynxscale.trace.reader import Reader
from lynxscale.trace.recorder import Recorder
from lynxscale.trace.view import objects
from lynxscale.trace.writer import Output

START_US = 1_790_000_000_000_000
LEVELS = ("ends", "tries", "decisions")


def run_relay(job: tuple[str | None, int, int, int]) -> tuple[float, int, dict[str, int]]:
    """Run one relay with a trace of this level: CPU time (µs) per message, accepted messages, and bytes by format."""
    level, messages, rate, seed = job
    with fresh_folder() as name:
        folder = Path(name)
        outcome = one_run(Load(messages=messages, rate=rate, seed=seed), with_trace(folder, level), folder)
        sizes = forms(folder / "trace") if level else {}
    return outcome.cpu / messages * 1e6, outcome.taken, sizes


def forms(folder: Path) -> dict[str, int]:
    """Size of the traces in a folder: as recorded, as JSON lines, and as compressed JSON lines."""
    files = sorted(folder.glob("*.lxt"))
    lines = b"".join(orjson.dumps(row) + b"\n" for frame in Merge(files) for row in objects(frame))
    return {
        "trace": sum(path.stat().st_size for path in files),
        "json": len(lines),
        "json in zstandard": len(zstandard.ZstdCompressor(level=3).compress(lines)),
    }


def sizes_and_cpu(pairs: int) -> None:
    """Print bytes per message by level, and CPU time against a relay without a trace that runs at the same time."""
    with multiprocessing.Pool(2) as pool:
        for level in LEVELS:
            _cpu, taken, sizes = run_relay((level, 3000, 300, 1))
            shown = "  ".join(f"{form} {size / taken:.1f}" for form, size in sizes.items())
            click.echo(
                f"bytes a message, level {level}: {shown}  "
                f"(of JSON {sizes['trace'] / sizes['json']:.3f}, of JSON in zstandard "
                f"{sizes['trace'] / sizes['json in zstandard']:.2f})"
            )
        for level in LEVELS[:2]:
            ratios, added = [], []
            for seed in range(pairs):
                (with_, _t, _s), (without, _u, _v) = pool.map(
                    run_relay, [(level, 3000, 300, seed), (None, 3000, 300, seed)], chunksize=1
                )
                ratios.append(with_ / without)
                added.append(with_ - without)
            click.echo(
                f"CPU a message, level {level} over none: {statistics.median(ratios):.3f} "
                f"(of {pairs} pairs, {min(ratios):.3f} to {max(ratios):.3f}; "
                f"{statistics.median(added):.0f} us added)"
            )


class EnvelopeStub:
    """A message with the attributes that the recorder reads."""

    def __init__(self, number: int) -> None:
        self.id, self.dest, self.body = f"{random.getrandbits(64):016x}", number % 16, b""


def recorder_speed(messages: int = 30_000) -> None:
    """Print the recorder's records per second, in batches of 20 messages."""
    with fresh_folder() as name:
        due: list = []
        recorder = Recorder(
            TraceConf(folder=name),
            settings_from(settings()),
            "lab",
            1,
            lambda number: (f"s-{number:04x}", "127.0.0.1:1"),
            click.echo,
            lambda _after, act: due.append(act),
        )
        envelopes = [EnvelopeStub(number) for number in range(messages)]
        now = begun = time.process_time_ns()
        for number, envelope in enumerate(envelopes):
            now += 1000
            recorder.message(now, number, envelope, number % 3, number % 3, 15_900_123)
            recorder.admitted(now, number, "taken", 0.0)
            recorder.attempt_started(now, number, 0, number % 32, 1_234_567, False)
            recorder.turn_ended()
            now += 1000
            recorder.attempt_ended(now, number, 0, number % 32, 1, 20_123, 0.0, False, (0.5, 500.0))
            recorder.ended(now, number, "delivered")
            recorder.forgotten(now, number)
            recorder.turn_ended()
            if number % 20 == 19:
                due.pop()()
        spent = time.process_time_ns() - begun
        recorder.stop(now, 0)
        click.echo(
            f"recorder alone, level tries: {messages * 5 / spent * 1e9:,.0f} records a second, "
            f"{spent / messages / 1000:.1f} us a message"
        )


def hour_of_records(rate: float) -> Iterator[Frame]:
    """Frames of one relay over an hour at ``rate`` messages per second, each with one attempt and an end."""
    rng, seq, at = random.Random(7), 0, 0.0
    source, number = "lab/0123456789ab", 0
    start = settings()
    yield Frame(
        source,
        0,
        0,
        START_US,
        [(r.START, ["lab", "0123456789ab", "1", "tries", 1.0, "", "1", orjson.dumps(start).decode(), "x"])],
    )
    seq = 1
    while at < 3600e6:
        at += rng.expovariate(rate / 1e6)
        number += 1
        message_class = rng.choices(range(3), [row[-1] for row in CLASSES])[0]
        tenant = rng.randrange(3)
        dest = rng.randrange(16)
        msg = r.Msg(
            number,
            f"{rng.getrandbits(64):016x}",
            (message_class, CLASSES[message_class][0]),
            (tenant, TENANTS[tenant]),
            dest,
        )
        endpoint = (dest, f"s-{dest:04x}")
        latency = int(20_000 * rng.lognormvariate(0, 0.4))
        for gap, found in (
            (
                0,
                [
                    (r.MESSAGE, [msg, 15_900_000, rng.randrange(100, 300), 0]),
                    (r.ADMIT, [msg, r.reason("taken"), 0.0]),
                    (r.TRY_START, [msg, 0, endpoint, rng.randrange(1_000_000, 9_000_000), False]),
                ],
            ),
            (
                latency,
                [
                    (
                        r.TRY_END,
                        [msg, 0, endpoint, r.reason("ok"), latency, 0.0, False, (round(rng.random(), 3), 5.5)],
                    ),
                    (r.END, [msg, r.reason("delivered"), 0.0]),
                ],
            ),
        ):
            yield Frame(source, int(at) + gap, seq, START_US, found)
            seq += len(found)


def repeat_blocks(source: Path, target: Path, size: int) -> None:
    """Write a file of this size by repeating the blocks of a smaller one, with later times in each repetition."""
    with Reader(source) as reader:
        data = source.read_bytes()
        places = list(reader.index())
        span = places[-1].summary.last - places[0].summary.first + 1
        records = sum(place.summary.records for place in places)
        index, number, again = v2.IndexBuilder(), 0, 0
        with open(target, "wb") as out:
            at = out.write(pack_head(Head(2, 0, START_US, "tile")))
            while at < size:
                for place in places:
                    head = v2.read_block_head(data, place.offset)
                    begin = place.offset + v2.BLOCK_HEAD.size
                    summary = v2.read_summary(data[begin : begin + head.summary])
                    stored = data[begin + head.summary : begin + head.summary + head.stored]
                    summary.first += again * span
                    summary.last += again * span
                    packed = summary.pack()
                    block = (
                        v2.pack_block_head(
                            v2.BlockHead(
                                head.state,
                                number,
                                head.base_time + again * span,
                                head.base_seq + again * records,
                                head.stored,
                                head.raw,
                                len(packed),
                                head.checksum,
                                crc32c(packed),
                            )
                        )
                        + packed
                        + stored
                    )
                    index.add(v2.Place(at, len(block), number, summary))
                    at += out.write(block)
                    number += 1
                again += 1
            out.write(index.pack(at))


def run_tool(*words: object) -> tuple[float, float]:
    """Run a trace command; its seconds and peak memory (MB)."""
    begun = time.monotonic()
    process = subprocess.Popen(
        [sys.executable, "-m", "lynxscale", "trace", *map(str, words)],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    _pid, status, usage = os.wait4(process.pid, 0)
    if status:
        raise click.ClickException(f"trace {' '.join(map(str, words))} ended with {os.waitstatus_to_exitcode(status)}")
    return time.monotonic() - begun, usage.ru_maxrss / 1024


def minute_of_an_hour(folder: Path, hour: Path) -> None:
    """Time to cut one minute out of an hour: by the index, by block summaries, and by a full scan."""
    since = START_US / 1e6 + 1800
    words = ["--from", since, "--to", since + 60, "-o", folder / "minute.lxt"]
    bare, old = folder / "bare.lxt", folder / "old.lxt"
    with Reader(hour) as reader:
        end = list(reader.index())[-1]
    bare.write_bytes(hour.read_bytes()[: end.offset + end.size])
    run_tool("convert", "--to-version", 1, "-o", old, hour)
    for what, path in (("its index", hour), ("summaries, as it has no index", bare), ("a scan, in version 1", old)):
        spent = min(run_tool("cut", *words, path)[0] for _ in range(3))
        click.echo(f"one minute of an hour ({hour.stat().st_size / 1e6:.1f} MB) by {what}: {spent:.2f} s")


def memory(folder: Path, hour: Path, small: int, big: int, all_tools: bool) -> None:
    """Print the peak memory of the tools for files of two sizes."""
    key = folder / "key"
    key.write_text("0123456789abcdef")
    out = folder / "out.lxt"
    jobs = [("info",), ("cut", "--from", START_US / 1e6 + 600, "--to", START_US / 1e6 + 660, "-o", out)]
    if all_tools:
        jobs += [
            ("verify",),
            ("summarise",),
            ("dump",),
            ("cut", "--class", "pago-premio", "-o", out),
            ("merge", "-o", out),
            ("anonymise", "--key", key, "-o", out),
            ("convert", "-o", out),
            ("message", "0" * 16),
        ]
    files = []
    for size in (small, big):
        files.append(folder / f"{size}.lxt")
        repeat_blocks(hour, files[-1], size)
    for job in jobs:
        cells = []
        for path in files:
            try:
                spent, peak = run_tool(job[0], *job[1:], path)
            except click.ClickException:
                spent, peak = 0.0, 0.0  # ``message`` exits with 1, as the id doesn't exist
            cells.append(f"{path.stat().st_size / 1e6:.0f} MB: {peak:.0f} MB, {spent:.1f} s")
            out.unlink(missing_ok=True)
        click.echo(f"peak memory of {' '.join(map(str, job[:3]))}: " + "   ".join(cells))


@click.command()
@click.option("--pairs", default=5, help="Runs of a relay with and without a trace.")
@click.option("--small", default="10m")
@click.option("--big", default="100m", help="Size of the large file.")
@click.option("--tools/--no-tools", default=True, help="All tools at both sizes, or the two that use the index.")
@click.option("--only", multiple=True, type=click.Choice(["relay", "recorder", "cut", "memory"]))
def main(pairs: int, small: str, big: str, tools: bool, only: tuple[str, ...]) -> None:
    """Print the figures, a line each."""

    def wanted(part: str) -> bool:
        return not only or part in only

    if wanted("relay"):
        sizes_and_cpu(pairs)
    if wanted("recorder"):
        recorder_speed()
    if wanted("cut") or wanted("memory"):
        with fresh_folder() as name:
            folder = Path(name)
            hour = folder / "hour.lxt"
            with Output(hour) as out:
                for frame in hour_of_records(20.0):
                    out.put(frame)
            if wanted("cut"):
                minute_of_an_hour(folder, hour)
            if wanted("memory"):
                memory(folder, hour, parse_amount(small, SIZES), parse_amount(big, SIZES), tools)


if __name__ == "__main__":
    main()
