"""Benchmark of the journal: time per message, longest pause, write amplification, recovery time."""

from __future__ import annotations

import importlib.util
import sys
import time
from collections.abc import Callable
from pathlib import Path
from types import ModuleType

import click
from attrs import frozen

from lab.traffic import fresh_folder
from lynxscale.relay.exceptions import JournalFullError
from lynxscale.relay.journal import Entry, Journal
from lynxscale.relay.journal.cleaning_plan import allocated_size
from lynxscale.relay.journal.storage import FolderStorage

BODY = bytes(200)
COMPLETION_BYTES = 29  # of the record that a message is complete
MESSAGE_BYTES = 330  # of the record of a message, where cleaning hides its size
FILL_LEVELS = (0.3, 0.6, 0.9)  # fractions of the live bytes that the budget allows

EntryClass = Callable[..., Entry]
"""The class of the entries, of this journal or of an older one."""


def load_older_journal(checkout: str) -> ModuleType:
    """Load the journal module of an older checkout, in which it is a single file."""
    path = Path(checkout, "lynxscale", "journal.py")
    if not path.is_file():
        raise click.ClickException(f"{path}: no such file; --other needs a checkout whose journal is a single module")
    spec = importlib.util.spec_from_file_location("journal_before", path)
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    sys.modules["journal_before"] = module
    spec.loader.exec_module(module)
    return module


def entry(entry_class: EntryClass, number: int) -> Entry:
    """Return the entry of one message."""
    return entry_class(f"{number:016x}", "pago-premio", "club-oviedo", f"{number:032x}", 7, 1 << 50, BODY)


def open_new(folder: Path, budget: int) -> Journal:
    """Open a journal in an empty folder; ``budget``: its bytes on the disk."""
    journal = Journal(FolderStorage(folder), budget, lambda: time.time_ns() // 1000)
    journal.assign_numbers(dict(enumerate(journal.open())))
    return journal


@frozen
class JournalCalls:
    """The calls of a journal for one message; ``maintain()`` runs after each message."""

    accept: Callable[[int, Entry], object]
    record_attempt: Callable[[int, int], object]
    complete: Callable[[int], object]
    maintain: Callable[[], object]
    entry_class: EntryClass


@frozen
class MessageTimes:
    """The mean time of a message in microseconds, and the longest one in milliseconds."""

    mean_us: float
    longest_ms: float


def time_messages(calls: JournalCalls, pending: int, count: int) -> MessageTimes:
    """Return the times to accept, attempt and complete a message while ``pending`` others are not complete."""
    for number in range(pending):
        calls.accept(number, entry(calls.entry_class, number))
        calls.maintain()
    longest, begun = 0, time.perf_counter_ns()
    last = begun
    for number in range(pending, pending + count):
        calls.accept(number, entry(calls.entry_class, number))
        calls.record_attempt(number, number)
        calls.complete(number - pending)
        calls.maintain()
        now = time.perf_counter_ns()
        longest, last = max(longest, now - last), now
    return MessageTimes((last - begun) / count / 1000, longest / 1e6)


def measure_messages(folder: Path, other: str | None, pending: int, count: int) -> None:
    """Print the times of messages and of the recovery; ``other``: an older checkout to compare with."""
    budget = max(3_000_000, pending * 1600)
    cells = []
    (folder / "new").mkdir()
    journal = open_new(folder / "new", budget)
    calls = JournalCalls(journal.accept, journal.record_attempt, journal.complete, journal.maintain, Entry)
    times = time_messages(calls, pending, count)
    cells.append(f"{times.mean_us:.1f} us a message, longest turn {times.longest_ms:.1f} ms")
    journal.close()
    begun = time.perf_counter()
    read_bytes = reopen(folder / "new", budget)
    cells.append(f"recovery {(time.perf_counter() - begun) * 1000:.0f} ms of {read_bytes / 1e6:.1f} MB")
    if other:
        times = time_older_messages(load_older_journal(other), folder / "old", budget, pending, count)
        cells.append(f"the one before: {times.mean_us:.1f} us, longest {times.longest_ms:.1f} ms")
    click.echo(f"{pending} held: {'; '.join(cells)}")


def time_older_messages(module: ModuleType, folder: Path, budget: int, pending: int, count: int) -> MessageTimes:
    """Return the times of messages with an older journal, which has other names for its calls."""
    folder.mkdir()
    journal = module.Journal(folder, budget)
    journal.open()
    journal.begin({})
    calls = JournalCalls(journal.take, journal.tried, journal.end, lambda: None, module.Entry)
    times = time_messages(calls, pending, count)
    journal.close()
    return times


def reopen(folder: Path, budget: int) -> int:
    """Open the journal once more, and return the bytes that were read."""
    size = sum(path.stat().st_size for path in folder.iterdir())
    Journal(FolderStorage(folder), budget, lambda: 1).open()
    return size


class CountingStorage(FolderStorage):
    """Counts the bytes written."""

    written = 0

    def write(self, handle: int, data: bytes) -> int:
        """Write as FolderStorage does."""
        self.written += len(data)
        return super().write(handle, data)


def amplification(folder: Path, budget: int, fill_level: float, count: int) -> None:
    """Print the bytes written per byte of records, with the live bytes at a fraction of their limit."""
    storage = CountingStorage(folder)
    journal = Journal(storage, budget, lambda: 1)
    journal.assign_numbers(dict(enumerate(journal.open())))
    number, first, record_bytes, peak_bytes = 0, 0, 0, 0
    refused = 0
    while number < count:
        while journal.plan.live > fill_level * journal.plan.max_live:
            journal.complete(first)
            record_bytes += COMPLETION_BYTES
            first += 1
        try:
            live_before = journal.plan.live
            journal.accept(number, entry(Entry, number))
            growth = journal.plan.live - live_before
            record_bytes += growth if growth > 0 else MESSAGE_BYTES
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
        f"filled to {fill_level:.0%} of what may be live: {storage.written / record_bytes:.2f} bytes written "
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
    for fill_level in FILL_LEVELS:
        with fresh_folder() as name:
            amplification(Path(name), 3_000_000, fill_level, 30_000)


if __name__ == "__main__":
    main()
