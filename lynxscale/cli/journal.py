"""``lynxscale journal``: what a relay's journal holds and whether it stands; export, import, repair and compaction.

``check``, ``show``, ``stats`` and ``export`` only read. ``import`` and ``compact`` need a relay that is stopped: its
lock keeps them out. ``repair`` writes a new folder and leaves the old one as it is.
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
    """The newest of the journals: after an upgrade half way there are two."""
    from lynxscale.relay.upgrade.journal_folders import folder_of, generations

    there = generations(Path(state)) if Path(state).is_dir() else []
    return folder_of(Path(state), there[-1] if there else 0)


def _recovered(state: str) -> tuple[Manifest, RecoveryResult, dict[int, int]]:
    """The manifest, what a start would find, and the sizes of the segments."""
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
        if manifest is None:  # nothing was ever taken on
            return Manifest(0, ()), RecoveryResult(), {}
        segments = read_segments(storage, manifest, names)
        return manifest, recover(manifest, segments), {number: len(data) for number, data in segments.items()}
    except JournalFormatError as error:
        raise CommandFailedError(f"{folder}: {error}") from error


def _when(unix: int) -> str:
    return time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(unix / 1e6))


@example("lynxscale journal check state")
@click.group()
def group() -> None:
    """The journal of a relay: check, show, count, take out and bring in, repair. What only reads may be used while the
    relay runs; its newest records may be missing then."""


@example("lynxscale journal check state")
@group.command()
@click.argument("state", type=click.Path(file_okay=False))
@json_option
@click.pass_context
def check(ctx: click.Context, state: str, as_json: bool) -> None:
    """Read all of it as a start would, in the state folder STATE; exit code 1 with every gap."""
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
    """Show the open messages: their tries, whether one may have run, and the end that is owed. Bodies and keys are not
    shown."""
    _manifest, found, _sizes = _recovered(state)
    rows: list[dict[str, Any]] = [
        {
            "id": one.id,
            "class": one.class_name,
            "tenant": one.tenant,
            "destination": one.dest,
            "taken": _when(one.accepted_at),
            "until": _when(one.expires),
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
    """Count what lies where: records by kind, live bytes, messages, for each segment."""
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


disk_option = click.option("--disk", default="64m", show_default=True, help="Bytes that the journal may take.")


def _open(state: str, disk: str, older: list[Entry]) -> Journal:
    """The journal of a stopped relay, with these messages taken over."""
    from lynxscale.relay.conf.directive import SIZES, amount
    from lynxscale.relay.exceptions import JournalFormatError, JournalFullError
    from lynxscale.relay.journal import Journal
    from lynxscale.relay.journal.storage import FolderStorage

    try:
        budget = amount(disk, SIZES)
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
    """Write the open messages as JSON lines, with their bodies and keys: keep the output as you would the messages."""
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


def _imported(path: str, source: BinaryIO) -> list[Entry]:
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
    """Take the messages of FILE into the journal of a stopped relay; those whose id it holds already are passed over.

    A message that is open at two relays may take effect at both: remove the journal that it came from.
    """
    with open(file, "rb") as source:
        entries = _imported(file, source)
    journal = _open(state, disk, [])
    before = len(journal.entries())
    journal.close()
    journal = _open(state, disk, entries)
    click.echo(f"{len(journal.entries()) - before} of {len(entries)} messages taken over")
    journal.close()


@example("lynxscale journal repair state mended")
@group.command()
@click.argument("state", type=click.Path(file_okay=False))
@click.argument("new", type=click.Path(file_okay=False))
@disk_option
def repair(state: str, new: str, disk: str) -> None:
    """Copy what can be read of STATE's journal into the new state folder NEW; what is in doubt counts as one that may
    have run. STATE is left as it is."""
    if (Path(new) / "segments").exists():
        raise CommandFailedError(f"{new}: want a folder without a journal")
    _manifest, found, _sizes = _recovered(state)
    journal = _open(new, disk, list(found.entries.values()))
    journal.close()
    for gap in found.gaps:
        click.echo(str(gap), err=True)
    click.echo(f"{new}: {len(found.entries)} open messages, {len(found.doubtful) or 'none'} in doubt")


@example("lynxscale journal compact --disk 3m state")
@group.command()
@click.argument("state", type=click.Path(file_okay=False))
@disk_option
def compact(state: str, disk: str) -> None:
    """Carry what is live in the journal of a stopped relay into new segments, and remove the others."""
    from lynxscale.relay.exceptions import JournalFullError

    _manifest, _found, before = _recovered(state)
    journal = _open(state, disk, [])
    try:
        journal.compact()
    except JournalFullError as error:
        raise CommandFailedError(f"{state}: {error}") from error
    finally:
        journal.close()
    _manifest, _found, after = _recovered(state)
    click.echo(f"{state}: {sum(before.values())} bytes before, {sum(after.values())} now")
