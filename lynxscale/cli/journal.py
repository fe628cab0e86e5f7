"""``lynxscale journal``: check and show the journal of a relay; export, import, repair and compaction.

``check``, ``show``, ``stats`` and ``export`` only read. ``import`` and ``compact`` require that the relay is stopped,
and take its lock. ``repair`` writes a new folder and does not change the old one.
"""

from __future__ import annotations

import base64
import sys
import time
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING, Any, BinaryIO

import click
import orjson

from lynxscale.cli import example
from lynxscale.cli.common import write_json, write_table
from lynxscale.cli.exceptions import FAILED, CommandFailedError, InvalidUsageError

if TYPE_CHECKING:
    from lynxscale.relay.journal import Entry, Journal
    from lynxscale.relay.journal.layout import Manifest
    from lynxscale.relay.journal.recovery import RecoveryResult

json_option = click.option("--json", "as_json", is_flag=True, help="As JSON.")


def _folder(state: str) -> Path:
    """Return the folder of the newest journal; there are two after an interrupted upgrade."""
    from lynxscale.relay.upgrade.journal_folders import folder_of, generations

    there = generations(Path(state)) if Path(state).is_dir() else []
    return folder_of(Path(state), there[-1] if there else 0)


def _recovered(state: str) -> tuple[Manifest, RecoveryResult, dict[int, int]]:
    """Return the manifest, the result of a recovery, and the sizes of the segments."""
    from lynxscale.relay.exceptions import JournalFormatError
    from lynxscale.relay.journal.layout import Manifest
    from lynxscale.relay.journal.manifest_store import load_manifest, read_segments
    from lynxscale.relay.journal.recovery import RecoveryResult, recover
    from lynxscale.relay.journal.storage import FolderStorage

    folder = _folder(state)
    if not folder.is_dir():
        raise CommandFailedError(f"{folder}: no such folder: want the state folder of a relay")
    storage = FolderStorage(folder)
    names = storage.names()
    try:
        manifest = load_manifest(storage, names)
        if manifest is None:  # no message was ever accepted
            return Manifest(0, ()), RecoveryResult(), {}
        segments = read_segments(storage, manifest, names)
        return manifest, recover(manifest, segments), {number: len(data) for number, data in segments.items()}
    except JournalFormatError as error:
        raise CommandFailedError(f"{folder}: {error}") from error


def _utc(unix: int) -> str:
    return time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(unix / 1e6))


@example("lynxscale journal check state")
@click.group()
def group() -> None:
    """Check, show, count, export, import, repair and compact the journal of a relay.

    Commands that only read may be used while the relay runs; they may miss its newest records.
    """


@example("lynxscale journal check state")
@group.command()
@click.argument("state", type=click.Path(file_okay=False))
@json_option
@click.pass_context
def check(ctx: click.Context, state: str, as_json: bool) -> None:
    """Read the whole journal in the state folder STATE as a start of the relay does; exit code 1 if there are gaps."""
    manifest, found, sizes = _recovered(state)
    if as_json:
        write_json(
            {
                "segments": len(manifest.rows),
                "bytes": sum(sizes.values()),
                "open": len(found.entries),
                "gaps": [gap._asdict() for gap in found.gaps],
                "in_doubt": len(found.doubtful),
            }
        )
    else:
        for gap in found.gaps:
            click.echo(str(gap), err=True)
        click.echo(
            f"{state}: {len(manifest.rows)} segments, {sum(sizes.values())} bytes, {len(found.entries)} open "
            f"messages, {len(found.gaps) or 'no'} gap{'' if len(found.gaps) == 1 else 's'}, "
            f"{len(found.doubtful) or 'none'} in doubt"
        )
    if found.gaps:
        ctx.exit(FAILED)


@example("lynxscale journal show --class payout state")
@group.command()
@click.argument("state", type=click.Path(file_okay=False))
@click.option("--class", "cls", help="Only messages of this class.")
@json_option
def show(state: str, cls: str | None, as_json: bool) -> None:
    """Show the open messages: their attempts, how many of them may have been executed, and the pending outcome.

    Bodies and keys are not shown.
    """
    _manifest, found, _sizes = _recovered(state)
    rows: list[dict[str, Any]] = [
        {
            "id": one.id,
            "class": one.class_name,
            "tenant": one.tenant,
            "destination": one.dest,
            "taken": _utc(one.accepted_at),
            "until": _utc(one.expires),
            "bytes": len(one.body),
            "tries": one.attempts,
            "may_have_run": len(one.may_have_run),
            "end": one.outcome[0] if one.outcome else "-",
        }
        for one in found.entries.values()
        if cls in (None, one.class_name)
    ]
    if as_json:
        write_json(rows)
    elif rows:
        write_table(list(rows[0]), [list(row.values()) for row in rows])
    else:
        click.echo("no open messages")


@example("lynxscale journal stats state")
@group.command()
@click.argument("state", type=click.Path(file_okay=False))
@json_option
def stats(state: str, as_json: bool) -> None:
    """Show the size, live bytes, state and number of records by kind of each segment."""
    from lynxscale.relay.journal.cleaning_plan import CleaningPlan
    from lynxscale.relay.journal.records import ATTEMPT, COMPLETED, MESSAGE, NOT_EXECUTED, OUTCOME

    manifest, found, sizes = _recovered(state)
    plan = CleaningPlan(sum(sizes.values()) + (1 << 20))
    kinds: dict[int, Counter[str]] = {}
    names = {MESSAGE: "messages", ATTEMPT: "tries", NOT_EXECUTED: "not_run", OUTCOME: "finals", COMPLETED: "ends"}
    for number, one in found.records:
        kinds.setdefault(number, Counter())[names[one.kind]] += 1
    plan.restore(sorted(manifest.rows, key=lambda row: row.first_seq), found.records, found.sizes)
    rows = [
        {
            "segment": number,
            "first": one.first_seq,
            "bytes": sizes.get(number, 0),
            "live": one.live,
            "state": "sealed" if one.sealed else "active",
            **{name: kinds.get(number, {}).get(name, 0) for name in names.values()},
        }
        for number, one in plan.segments.items()
    ]
    if as_json:
        write_json(rows)
    elif rows:
        write_table(list(rows[0]), [list(row.values()) for row in rows])
    else:
        click.echo("no segments")


disk_option = click.option("--disk", default="64m", show_default=True, help="Maximum size of the journal.")


def _open_journal(state: str, disk: str, older: list[Entry]) -> Journal:
    """Open the journal of a stopped relay, and add these messages."""
    from lynxscale.relay.conf.directive import SIZES, parse_amount
    from lynxscale.relay.exceptions import JournalFormatError, JournalFullError
    from lynxscale.relay.journal import Journal
    from lynxscale.relay.journal.storage import FolderStorage

    try:
        budget = parse_amount(disk, SIZES)
    except ValueError:
        raise InvalidUsageError(f"--disk {disk}: want a size such as 3m") from None
    journal = Journal(FolderStorage(_folder(state)), budget, lambda: time.time_ns() // 1000)
    try:
        journal.open(older)
    except BlockingIOError:
        raise CommandFailedError(f"{state}: a relay is running on this journal: stop it first") from None
    except (JournalFullError, JournalFormatError) as error:
        raise CommandFailedError(f"{state}: {error}") from error
    return journal


@example("lynxscale journal export state > open.jsonl")
@group.command()
@click.argument("state", type=click.Path(file_okay=False))
def export(state: str) -> None:
    """Write the open messages as JSON lines, with their bodies and keys. Protect the output like the messages."""
    _manifest, found, _sizes = _recovered(state)
    for one in found.entries.values():
        sys.stdout.buffer.write(
            orjson.dumps(
                {
                    "id": one.id,
                    "class": one.class_name,
                    "tenant": one.tenant,
                    "key": one.key,
                    "destination": one.dest,
                    "expires": one.expires,
                    "body": base64.b64encode(one.body).decode(),
                    "tries": one.attempts,
                    "maybe": one.may_have_run,
                    "final": one.outcome,
                    "taken": one.accepted_at,
                }
            )
            + b"\n"
        )


def _read_export(path: str, source: BinaryIO) -> list[Entry]:
    from lynxscale.relay.journal import Entry

    found, kinds = (
        [],
        {
            "id": str,
            "class": str,
            "tenant": str,
            "key": str,
            "destination": int,
            "expires": int,
            "body": str,
            "tries": int,
            "maybe": list,
            "taken": int,
        },
    )
    for number, line in enumerate(source, 1):
        try:
            row = orjson.loads(line)
            for name, kind in kinds.items():
                if not isinstance(row.get(name), kind) or isinstance(row[name], bool):
                    raise ValueError(f"{name}: want {kind.__name__}")
            if not all(isinstance(unix, int) for unix in row["maybe"]):
                raise ValueError("maybe: want whole numbers")
            final = row.get("final")
            if final is not None and not (
                isinstance(final, list) and len(final) == 2 and isinstance(final[0], str) and isinstance(final[1], int)
            ):
                raise ValueError("final: want a status and a number, or null")
            found.append(
                Entry(
                    row["id"],
                    row["class"],
                    row["tenant"],
                    row["key"],
                    row["destination"],
                    row["expires"],
                    base64.b64decode(row["body"], validate=True),
                    row["tries"],
                    row["maybe"],
                    tuple(final) if final else None,
                    row["taken"],
                )
            )
        except (ValueError, AttributeError) as error:
            raise CommandFailedError(f"{path}:{number}: want a line of `journal export`: {error}") from None
    return found


@example("lynxscale journal import state open.jsonl")
@group.command(name="import")
@click.argument("state", type=click.Path(file_okay=False))
@click.argument("file", type=click.Path(dir_okay=False))
@disk_option
def import_(state: str, file: str, disk: str) -> None:
    """Add the messages of FILE to the journal of a stopped relay, except those whose id it already holds.

    A message that is open at two relays may be executed by both: remove the journal that it came from.
    """
    with open(file, "rb") as source:
        entries = _read_export(file, source)
    journal = _open_journal(state, disk, [])
    before = len(journal.entries())
    journal.close()
    journal = _open_journal(state, disk, entries)
    click.echo(f"{len(journal.entries()) - before} of {len(entries)} messages imported")
    journal.close()


@example("lynxscale journal repair state mended")
@group.command()
@click.argument("state", type=click.Path(file_okay=False))
@click.argument("new", type=click.Path(file_okay=False))
@disk_option
def repair(state: str, new: str, disk: str) -> None:
    """Copy the readable messages of the journal in STATE into the new state folder NEW.

    A message in doubt is marked as possibly executed. STATE is not changed.
    """
    if (Path(new) / "segments").exists():
        raise CommandFailedError(f"{new}: want a folder without a journal")
    _manifest, found, _sizes = _recovered(state)
    journal = _open_journal(new, disk, list(found.entries.values()))
    journal.close()
    for gap in found.gaps:
        click.echo(str(gap), err=True)
    click.echo(f"{new}: {len(found.entries)} open messages, {len(found.doubtful) or 'none'} in doubt")


@example("lynxscale journal compact --disk 3m state")
@group.command()
@click.argument("state", type=click.Path(file_okay=False))
@disk_option
def compact(state: str, disk: str) -> None:
    """Copy the live records in the journal of a stopped relay into new segments, and remove the old segments."""
    from lynxscale.relay.exceptions import JournalFullError

    _manifest, _found, before = _recovered(state)
    journal = _open_journal(state, disk, [])
    try:
        journal.compact()
    except JournalFullError as error:
        raise CommandFailedError(f"{state}: {error}") from error
    finally:
        journal.close()
    _manifest, _found, after = _recovered(state)
    click.echo(f"{state}: {sum(before.values())} bytes before, {sum(after.values())} now")
