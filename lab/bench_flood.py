"""CPU cost of clients that send invalid requests: ``python -m lab.bench_flood [--other CHECKOUT]``.

The relay closes each such connection and logs a line. With ``--other`` a relay of another checkout (with its own .venv
or this one) gets the same load at the same time.
"""

from __future__ import annotations

import asyncio
import multiprocessing
import statistics
import sys
from pathlib import Path

import click

import lab.traffic as traffic
from lab.traffic import Load, RelayUnderLoad, fresh_folder


async def _send_invalid_requests(port: int, count: int) -> None:
    for _ in range(count):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"\x16\x03\x01 no request\r\n\r\n")
        await reader.read()
        writer.close()


def flood(job: tuple[str, int]) -> float:
    """CPU time (µs) per invalid request, of the relay in a checkout."""
    checkout, clients = job
    traffic.ROOT = Path(checkout)

    async def run(folder: Path) -> float:
        async with RelayUnderLoad(folder, Load()) as relay:
            await _send_invalid_requests(relay.port, 200)
            before, _peak = relay.usage()
            await asyncio.gather(*(_send_invalid_requests(relay.port, clients // 8) for _ in range(8)))
            return (relay.usage()[0] - before) / clients * 1e6

    with fresh_folder() as name:
        return asyncio.run(run(Path(name)))


@click.command()
@click.option("--clients", default=4000)
@click.option("--pairs", default=5)
@click.option("--other", type=click.Path(exists=True, file_okay=False), help="A checkout to compare with this one.")
def main(clients: int, pairs: int, other: str | None) -> None:
    """Print the CPU time per invalid request, and its ratio to the other checkout's."""
    here = str(traffic.ROOT)
    checkouts = [here, other or here]
    with multiprocessing.get_context("spawn").Pool(2) as pool:
        rows = [pool.map(flood, [(checkout, clients) for checkout in checkouts], chunksize=1) for _ in range(pairs)]
    click.echo(f"{sys.executable.rpartition('/')[2]}: {statistics.median(row[0] for row in rows):.0f} us a bad client")
    if other:
        ratios = [row[0] / row[1] for row in rows]
        click.echo(f"over the other checkout: {statistics.median(ratios):.3f} ({min(ratios):.3f} to {max(ratios):.3f})")


if __name__ == "__main__":
    main()
