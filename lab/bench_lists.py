"""Benchmark of watched endpoint lists: time from a write to its effect, cost of large lists, CPU of an idle relay."""

from __future__ import annotations

import asyncio
import os
import time
from pathlib import Path

import click

from lab import traffic
from lab.clients import LoadGenerator
from lab.demo import CONF, StandaloneRelay
from lab.partner import EndpointBehaviour, Partner
from lab.traffic import fresh_folder
from lynxscale.relay.upstream import files
from lynxscale.relay.upstream.list_store import ListStore
from lynxscale.relay.upstream.model import Endpoint
from lynxscale.scheduling.events import Lifecycle

APPLY_TIMEOUT_S = 60.0
MESSAGES_PER_S = 250.0  # load while effects are timed


def bench_configuration() -> str:
    """The deployed configuration without its guards and slow start, and with a higher limit for large lists."""
    text = CONF.read_text()
    for line in ("most-removed 0.5", "last-endpoint ask", "ramp 10s"):
        text = text.replace(f"    {line}\n", "")
    return text.replace("    held 400\n", "    held 4000\n")


def rows(count: int, tag: str = "x", weight: float = 5.0) -> list[Endpoint]:
    """Entries of endpoints that are never called, fifty per destination."""
    return [
        Endpoint(
            f"{tag}-{index:05}",
            (f"127.{8 + (index >> 16)}.{index >> 8 & 255}.{index & 255}", 9),
            100 + index // 50,
            "a",
            "club-reservas",
            Lifecycle.READY,
            weight,
        )
        for index in range(count)
    ]


def usage(relay: StandaloneRelay) -> tuple[float, float]:
    """CPU seconds so far, and resident memory in MB."""
    assert relay.process is not None
    spent, resident = traffic.usage(relay.process.pid, "VmRSS")
    return spent, resident / 1024


class Bench:
    """A relay and two working endpoints."""

    def __init__(self, folder: Path) -> None:
        self.relay, self.partner, self.generation = (
            StandaloneRelay(folder, bench_configuration()),
            Partner(1, behaviour=EndpointBehaviour(latency_ms=1.0)),
            0,
        )
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
        """Write a new version of a list; the time at which it was in place, and its digest."""
        self.generation += 1
        at = self.relay.put(entries, self.generation, name)
        return at, files.digest_of((self.relay.lists / name).read_bytes())

    async def applied(self, digest: str) -> float:
        """Wait for the verdict on a version; the time at which it was found."""
        end = time.monotonic() + APPLY_TIMEOUT_S
        while time.monotonic() < end:
            for one in self.lists.read_verdicts():
                if one["digest"] == digest:
                    if one["outcome"] != "applied":
                        raise click.ClickException(f"a version was {one['outcome']}: {one['reasons']}")
                    return time.monotonic()
            await asyncio.sleep(0.005)
        raise click.ClickException("a version was not applied in time")


async def measure_effects(folder: Path, times: int) -> None:
    """Swap endpoints under load: time until the first call of the new endpoint and the last call of the old one."""
    async with Bench(folder) as bench:
        bench.write([bench.live("s-00")])
        await bench.relay.start()
        generator = LoadGenerator(bench.relay.port, 1, 1, 16, 10.0)
        load = asyncio.create_task(generator.run(range(int(times * MESSAGES_PER_S * 2)), MESSAGES_PER_S))
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
            f"write to first effect, {times} times at {MESSAGES_PER_S:.0f} messages a second: median "
            f"{first[times // 2] * 1000:.0f} ms, 99th {first[int(times * 0.99)] * 1000:.0f} ms; "
            f"drain to last call: worst {max(last) * 1000:.0f} ms"
        )


async def ping(relay: StandaloneRelay, until: asyncio.Event) -> list[float]:
    """Times of sequential round trips over one connection."""
    reader, writer = await asyncio.open_connection("127.0.0.1", relay.port)
    found = []
    while not until.is_set():
        started_at = time.perf_counter()
        writer.write(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")
        found.append(time.perf_counter() - started_at)
        await asyncio.sleep(0.001)
    writer.close()
    return found


async def run_with_pings(relay: StandaloneRelay, awaitable) -> tuple[object, float]:
    """Await something; its result, and the longest round trip meanwhile."""
    over = asyncio.Event()
    pings = asyncio.create_task(ping(relay, over))
    result = await awaitable
    over.set()
    return result, max(await pings)


async def measure_list_size(folder: Path, count: int) -> None:
    """Cost of a list of ``count`` entries: the first version, one with one weight changed, one with all entries new."""
    async with Bench(folder) as bench:
        live = [bench.live("s-00")]
        bench.write(live, "b.list")
        await bench.relay.start()
        _, before = usage(bench.relay)
        _none, still = await run_with_pings(bench.relay, asyncio.sleep(2.0))
        cells = []
        changed = rows(count)
        changed[count // 2] = changed[count // 2]._replace(weight=6.0)
        for what, entries in (("first", rows(count)), ("one changed", changed), ("all new", rows(count, "y", 7.0))):
            spent, _ = usage(bench.relay)
            at, digest = bench.write(entries)
            seen, longest = await run_with_pings(bench.relay, bench.applied(digest))
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


async def measure_large_drain(folder: Path, count: int, times: int) -> None:
    """Drain an endpoint by a list in which all ``count`` other entries are new; time of the last call."""
    async with Bench(folder) as bench:
        _at, digest = bench.write([bench.live("s-00"), bench.live("s-01"), *rows(count)])
        await bench.relay.start()
        await bench.applied(digest)
        generator, late = LoadGenerator(bench.relay.port, 1, 1, 16, 10.0), []
        load = asyncio.create_task(generator.run(range(int(times * MESSAGES_PER_S * 12)), MESSAGES_PER_S))
        await asyncio.sleep(1.0)
        for round_number in range(times):
            tag, name = "yx"[round_number % 2], ("s-00", "s-01")[round_number % 2]
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
            f"drain in a list of {count} that is all new, {times} times at {MESSAGES_PER_S:.0f} messages a second: "
            f"last call after {min(late) * 1000:.0f} to {max(late) * 1000:.0f} ms"
        )


async def measure_idle(folder: Path, count: int, seconds: float) -> None:
    """CPU of an idle relay that watches ``count`` unchanged entries, and of one that watches two."""
    shares = []
    for index, entries in enumerate((rows(2), rows(count))):
        sub = folder / str(index)
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
@click.option("--times", default=40, help="Number of swaps timed.")
@click.option("--sizes", default="10,1000,50000")
@click.option("--seconds", default=10.0, help="Duration of the idle measurement.")
def main(only: tuple[str, ...], times: int, sizes: str, seconds: float) -> None:
    """Print the figures, a line each."""

    def run(part: str, act, *args) -> None:
        if not only or part in only:
            with fresh_folder() as folder:
                asyncio.run(act(Path(folder), *args))

    run("effects", measure_effects, times)
    for text in sizes.split(","):
        run("sizes", measure_list_size, int(text))
    run("large", measure_large_drain, 50_000, 6)
    run("rest", measure_idle, 10_000, seconds)


if __name__ == "__main__":
    os.environ.pop("NODE_CONFIG", None)
    main()
