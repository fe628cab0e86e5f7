"""Benchmark of the journal: time per message, longest pause, write amplification, recovery time."""

from __future__ import annotations

import importlib.util
import sys
import time
from pathlib import Path

import click

from lab.traffic import fresh_folder
from lynxscale.relay.exceptions import JournalFullError
from lynxscale.relay.journal import Entry, Journal
from lynxscale.relay.journal.cleaning_plan import allocated_size
from lynxscale.relay.journal.storage import FolderStorage

BODY = bytes(200)


def load_older_journal(checkout: str):
    """Load the journal module of an older checkout, in which it is a single file."""
    path = Path(checkout, "lynxscale", "journal.py")
    if not path.is_file():
        raise click.ClickException(f"{path}: no such file; --other needs a checkout whose journal is a single module")
    spec = importlib.util.spec_from_file_location("journal_before", path)
    module = importlib.util.module_from_spec(spec)
    sys.modules["journal_before"] = module
    spec.loader.exec_module(module)
    return module


def entry(kind, number: int):
    return kind(f"{number:016x}", "pago-premio", "club-oviedo", f"{number:032x}", 7, 1 << 50, BODY)


def open_new(folder: Path, budget: int) -> Journal:
    journal = Journal(FolderStorage(folder), budget, lambda: time.time_ns() // 1000)
    journal.assign_numbers(dict(enumerate(journal.open())))
    return journal


def time_messages(accept, record_attempt, complete, kind, held: int, count: int, turn) -> tuple[float, float]:
    """Mean time (µs) to accept, attempt and complete a message while ``held`` others are pending, and the longest such
    step in ms."""
    for number in range(held):
        accept(number, entry(kind, number))
        turn()
    longest, begun = 0, time.perf_counter_ns()
    last = begun
    for number in range(held, held + count):
        accept(number, entry(kind, number))
        record_attempt(number, number)
        complete(number - held)
        turn()
        now = time.perf_counter_ns()
        longest, last = max(longest, now - last), now
    return (last - begun) / count / 1000, longest / 1e6


def measure_messages(folder: Path, other: str | None, held: int, count: int) -> None:
    budget = max(3_000_000, held * 1600)
    cells = []
    (folder / "new").mkdir()
    journal = open_new(folder / "new", budget)
    calls = (journal.accept, journal.record_attempt, journal.complete)
    spent, longest = time_messages(*calls, Entry, held, count, journal.maintain)
    cells.append(f"{spent:.1f} us a message, longest turn {longest:.1f} ms")
    journal.close()
    begun = time.perf_counter()
    again = reopened(folder / "new", budget)
    cells.append(f"recovery {(time.perf_counter() - begun) * 1000:.0f} ms of {again[1] / 1e6:.1f} MB")
    if other:
        module = load_older_journal(other)
        (folder / "old").mkdir()
        old = module.Journal(folder / "old", budget)
        old.open()
        old.begin({})
        spent, longest = time_messages(old.take, old.tried, old.end, module.Entry, held, count, lambda: None)
        cells.append(f"the one before: {spent:.1f} us, longest {longest:.1f} ms")
        old.close()
    click.echo(f"{held} held: {'; '.join(cells)}")


def reopened(folder: Path, budget: int) -> tuple[list[Entry], int]:
    """Reopen the journal; its entries, and the bytes that were read."""
    size = sum(path.stat().st_size for path in folder.iterdir())
    return Journal(FolderStorage(folder), budget, lambda: 1).open(), size


class CountingStorage(FolderStorage):
    """Counts the bytes written."""

    written = 0

    def write(self, handle: int, data: bytes) -> int:
        self.written += len(data)
        return super().write(handle, data)


def amplification(folder: Path, budget: int, share: float, count: int) -> None:
    """Print the bytes written per byte of records, with the live bytes at this share of their limit."""
    storage = CountingStorage(folder)
    journal = Journal(storage, budget, lambda: 1)
    journal.assign_numbers(dict(enumerate(journal.open())))
    number, first, record_bytes, peak_bytes = 0, 0, 0, 0
    refused = 0
    while number < count:
        while journal.plan.live > share * journal.plan.max_live:
            journal.complete(first)
            record_bytes += 29
            first += 1
        try:
            live_before = journal.plan.live
            journal.accept(number, entry(Entry, number))
            record_bytes += journal.plan.live - live_before if journal.plan.live > live_before else 330
            number += 1
        except JournalFullError:
            refused += 1
            journal.complete(first)
            first += 1
        journal.maintain()
        if not number % 500:
            peak_bytes = max(peak_bytes, sum(allocated_size(path.stat().st_size) for path in folder.iterdir()))
    journal.close()
    click.echo(
        f"filled to {share:.0%} of what may be live: {storage.written / record_bytes:.2f} bytes written "
        f"a byte of records; "
        f"at most {peak_bytes / budget:.2f} of the budget on disk; {refused} refused"
    )


@click.command()
@click.option("--other", type=click.Path(file_okay=False), help="An older checkout whose journal to compare with.")
@click.option("--held", default="100,10000,200000")
@click.option("--count", default=20_000, help="Number of messages timed.")
def main(other: str | None, held: str, count: int) -> None:
    """Print the figures, a line each."""
    for text in held.split(","):
        with fresh_folder() as name:
            measure_messages(Path(name), other, int(text), count)
    for share in (0.3, 0.6, 0.9):
        with fresh_folder() as name:
            amplification(Path(name), 3_000_000, share, 30_000)


if __name__ == "__main__":
    main()
