"""Figures of watched lists: from a write to its effect, what a large list costs, and a relay at rest."""

from __future__ import annotations

import asyncio
import os
import time
from pathlib import Path

import click

from lab import traffic
from lab.clients import Desk
from lab.demo import CONF, Own
from lab.partner import Mood, Partner
from lab.traffic import fresh_folder
from lynxscale.relay.upstream import files
from lynxscale.relay.upstream.list_store import ListStore
from lynxscale.relay.upstream.model import Endpoint
from lynxscale.scheduling.events import Lifecycle

PATIENCE = 60.0
RATE = 250.0  # messages a second under which effects are timed


def conf() -> str:
    """The deployed file without its guards and ramp, and with room for a large list's addresses."""
    text = CONF.read_text()
    for line in ("most-removed 0.5", "last-endpoint ask", "ramp 10s"):
        text = text.replace(f"    {line}\n", "")
    return text.replace("    held 400\n", "    held 4000\n")


def rows(count: int, tag: str = "x", weight: float = 5.0) -> list[Endpoint]:
    """Endpoints that nobody calls, fifty a destination."""
    return [
        Endpoint(
            f"{tag}-{place:05}",
            (f"127.{8 + (place >> 16)}.{place >> 8 & 255}.{place & 255}", 9),
            100 + place // 50,
            "a",
            "club-reservas",
            Lifecycle.READY,
            weight,
        )
        for place in range(count)
    ]


def usage(relay: Own) -> tuple[float, float]:
    """CPU seconds so far, and resident memory in MB."""
    assert relay.process is not None
    spent, resident = traffic.usage(relay.process.pid, "VmRSS")
    return spent, resident / 1024


class Bench:
    """A relay, and two endpoints that answer."""

    def __init__(self, folder: Path) -> None:
        self.relay, self.partner, self.generation = Own(folder, conf()), Partner(1, mood=Mood(latency_ms=1.0)), 0
        self.lists = ListStore(folder / "state")

    async def __aenter__(self) -> Bench:
        for name in ("s-00", "s-01"):
            await self.partner.open(name)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.relay.stop()
        self.relay.close()
        self.partner.close_all()

    def live(self, name: str, life: Lifecycle = Lifecycle.READY) -> Endpoint:
        return Endpoint(name, self.partner.addresses[name], 0, "a", "club-reservas", life, 400.0)

    def write(self, entries: list[Endpoint], name: str = "a.list") -> tuple[float, str]:
        """When a new version was there, and its digest."""
        self.generation += 1
        at = self.relay.put(entries, self.generation, name)
        return at, files.digest_of((self.relay.lists / name).read_bytes())

    async def applied(self, digest: str) -> float:
        """When the verdict on it could be seen."""
        end = time.monotonic() + PATIENCE
        while time.monotonic() < end:
            for one in self.lists.read_verdicts():
                if one["digest"] == digest:
                    if one["outcome"] != "applied":
                        raise click.ClickException(f"a version was {one['outcome']}: {one['reasons']}")
                    return time.monotonic()
            await asyncio.sleep(0.005)
        raise click.ClickException("a version was not applied in time")


async def effects(folder: Path, times: int) -> None:
    """Swaps and drains under load: the first call at the new endpoint, the last at the old one."""
    async with Bench(folder) as bench:
        bench.write([bench.live("s-00")])
        await bench.relay.start()
        desk = Desk(bench.relay.port, 1, 1, 16, 10.0)
        load = asyncio.create_task(desk.run(range(int(times * RATE * 2)), RATE))
        first, last, now = [], [], "s-00"
        await asyncio.sleep(1.0)
        for _ in range(times):
            other = "s-01" if now == "s-00" else "s-00"
            at, _digest = bench.write([bench.live(now, Lifecycle.DRAINING), bench.live(other)])
            await asyncio.sleep(1.6)
            calls = [call for call in bench.partner.calls if call.at > at]
            first.append(min(call.at for call in calls if call.endpoint == other) - at)
            last.append(max((call.at for call in calls if call.endpoint == now), default=at) - at)
            now = other
        load.cancel()
        first.sort()
        click.echo(
            f"write to first effect, {times} times at {RATE:.0f} messages a second: median "
            f"{first[times // 2] * 1000:.0f} ms, 99th {first[int(times * 0.99)] * 1000:.0f} ms; "
            f"drain to last call: worst {max(last) * 1000:.0f} ms"
        )


async def ping(relay: Own, until: asyncio.Event) -> list[float]:
    """Round trips over one connection, one after the other."""
    reader, writer = await asyncio.open_connection("127.0.0.1", relay.port)
    found = []
    while not until.is_set():
        begun = time.perf_counter()
        writer.write(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")
        found.append(time.perf_counter() - begun)
        await asyncio.sleep(0.001)
    writer.close()
    return found


async def watched(relay: Own, work) -> tuple[object, float]:
    """A work's result, and the longest round trip meanwhile."""
    over = asyncio.Event()
    pings = asyncio.create_task(ping(relay, over))
    result = await work
    over.set()
    return result, max(await pings)


async def size(folder: Path, count: int) -> None:
    """A first list of so many, one weight changed, and all of them new."""
    async with Bench(folder) as bench:
        live = [bench.live("s-00")]
        bench.write(live, "b.list")
        await bench.relay.start()
        _, before = usage(bench.relay)
        _none, still = await watched(bench.relay, asyncio.sleep(2.0))
        cells = []
        changed = rows(count)
        changed[count // 2] = changed[count // 2]._replace(weight=6.0)
        for what, entries in (("first", rows(count)), ("one changed", changed), ("all new", rows(count, "y", 7.0))):
            spent, _ = usage(bench.relay)
            at, digest = bench.write(entries)
            seen, longest = await watched(bench.relay, bench.applied(digest))
            after, resident = usage(bench.relay)
            cells.append(
                f"{what} {(seen - at) * 1000:.0f} ms (CPU {(after - spent) * 1000:.0f} ms, longest round trip "
                f"{longest * 1000:.1f} ms)"
            )
        holds = (await bench.relay.counters()).get("lists", {}).get("longest_hold_us", 0)
        click.echo(
            f"{count} endpoints: {', '.join(cells)}; at rest {still * 1000:.1f} ms; longest slice "
            f"{holds / 1000:.1f} ms; memory {before:.0f} to {resident:.0f} MB"
        )


async def large_drain(folder: Path, count: int, times: int) -> None:
    """A drain in a list of so many of which every other line is new, under load: the last call after the write."""
    async with Bench(folder) as bench:
        _at, digest = bench.write([bench.live("s-00"), bench.live("s-01"), *rows(count)])
        await bench.relay.start()
        await bench.applied(digest)
        desk, late = Desk(bench.relay.port, 1, 1, 16, 10.0), []
        load = asyncio.create_task(desk.run(range(int(times * RATE * 12)), RATE))
        await asyncio.sleep(1.0)
        for turn in range(times):
            tag, name = "yx"[turn % 2], ("s-00", "s-01")[turn % 2]
            other = "s-01" if name == "s-00" else "s-00"
            at, digest = bench.write([bench.live(name, Lifecycle.DRAINING), bench.live(other), *rows(count, tag, 7.0)])
            await bench.applied(digest)
            await asyncio.sleep(0.5)
            late.append(
                max((call.at for call in bench.partner.calls if call.at > at and call.endpoint == name), default=at)
                - at
            )
        load.cancel()
        click.echo(
            f"drain in a list of {count} that is all new, {times} times at {RATE:.0f} messages a second: last "
            f"call after {min(late) * 1000:.0f} to {max(late) * 1000:.0f} ms"
        )


async def rest(folder: Path, count: int, seconds: float) -> None:
    """CPU of a relay that watches so many entries which don't change, over that of one that watches two."""
    shares = []
    for place, entries in enumerate((rows(2), rows(count))):
        sub = folder / str(place)
        sub.mkdir()
        async with Bench(sub) as bench:
            _at, digest = bench.write(entries)
            await bench.relay.start()
            await bench.applied(digest)
            await asyncio.sleep(1.0)
            spent, _ = usage(bench.relay)
            await asyncio.sleep(seconds)
            shares.append((usage(bench.relay)[0] - spent) / seconds)
    click.echo(f"at rest with {count} entries: {shares[1] * 100:.2f} % of a core, with 2 {shares[0] * 100:.2f} %")


@click.command()
@click.option("--only", multiple=True, type=click.Choice(["effects", "sizes", "large", "rest"]))
@click.option("--times", default=40, help="Swaps that are timed.")
@click.option("--sizes", default="10,1000,50000")
@click.option("--seconds", default=10.0, help="Of rest.")
def main(only: tuple[str, ...], times: int, sizes: str, seconds: float) -> None:
    """Print the figures, a line each."""

    def run(part: str, act, *args) -> None:
        if not only or part in only:
            with fresh_folder() as folder:
                asyncio.run(act(Path(folder), *args))

    run("effects", effects, times)
    for text in sizes.split(","):
        run("sizes", size, int(text))
    run("large", large_drain, 50_000, 6)
    run("rest", rest, 10_000, seconds)


if __name__ == "__main__":
    os.environ.pop("NODE_CONFIG", None)
    main()
