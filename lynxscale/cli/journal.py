"""``lynxscale journal``: what a relay's journal holds and whether it stands; nothing here writes."""

from __future__ import annotations

import time
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from lynxscale.cli import FAILED, Failed, example
from lynxscale.cli.common import write_json, write_table

if TYPE_CHECKING:
    from lynxscale.journal.format import Manifest
    from lynxscale.journal.recover import Recovered

json_option = click.option("--json", "as_json", is_flag=True, help="As JSON.")


def _recovered(state: str) -> tuple[Manifest, Recovered, dict[int, int]]:
    """The manifest, what a start would find, and the sizes of the segments."""
    from lynxscale.journal.format import Refused
    from lynxscale.journal.log import manifest_of, segment_name
    from lynxscale.journal.port import Folder
    from lynxscale.journal.recover import recover

    folder = Path(state) / "segments"
    if not folder.is_dir():
        raise Failed(f"{folder}: no such folder: want the state folder of a relay")
    port = Folder(folder)
    names = port.names()
    try:
        manifest = manifest_of(port, names)
        if manifest is None:
            raise Failed(f"{folder}: no manifest is there: nothing was ever taken on")
        segments = {row.number: port.read(segment_name(row.number)) for row in manifest.rows
                    if segment_name(row.number) in names}
        return manifest, recover(manifest, segments), {number: len(data) for number, data in segments.items()}
    except Refused as error:
        raise Failed(f"{folder}: {error}") from error


def _when(unix: int) -> str:
    return time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(unix / 1e6))


@example("lynxscale journal check state")
@click.group()
def group() -> None:
    """The journal of a relay: check it, show what is open, count what lies where. A relay that is running may write
    meanwhile: then its newest records may be missing here."""


@example("lynxscale journal check state")
@group.command()
@click.argument("state", type=click.Path(file_okay=False))
@json_option
@click.pass_context
def check(ctx: click.Context, state: str, as_json: bool) -> None:
    """Read all of it as a start would, in the state folder STATE; exit code 1 with every gap."""
    manifest, found, sizes = _recovered(state)
    if as_json:
        write_json({"segments": len(manifest.rows), "bytes": sum(sizes.values()), "open": len(found.entries),
                    "gaps": [gap._asdict() for gap in found.gaps], "in_doubt": len(found.doubtful)})
    else:
        for gap in found.gaps:
            click.echo(str(gap), err=True)
        click.echo(f"{state}: {len(manifest.rows)} segments, {sum(sizes.values())} bytes, {len(found.entries)} open "
                   f"messages, {len(found.gaps) or 'no'} gap{'' if len(found.gaps) == 1 else 's'}, "
                   f"{len(found.doubtful) or 'none'} in doubt")
    if found.gaps:
        ctx.exit(FAILED)


@example("lynxscale journal show --class pago-premio state")
@group.command()
@click.argument("state", type=click.Path(file_okay=False))
@click.option("--class", "cls", help="Only messages of this class.")
@json_option
def show(state: str, cls: str | None, as_json: bool) -> None:
    """Show the open messages: their tries, whether one may have run, and the end that is owed. Bodies and keys are not
    shown."""
    _manifest, found, _sizes = _recovered(state)
    rows: list[dict[str, Any]] = [
        {"id": one.id, "class": one.cls, "tenant": one.tenant, "destination": one.dest, "taken": _when(one.taken),
         "until": _when(one.expires), "bytes": len(one.body), "tries": one.tries, "may_have_run": len(one.maybe),
         "end": one.final[0] if one.final else "-"}
        for one in found.entries.values() if cls in (None, one.cls)]
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
    from lynxscale.journal import format as f
    from lynxscale.journal.plan import Plan

    manifest, found, sizes = _recovered(state)
    plan, kinds = Plan(sum(sizes.values()) + (1 << 20)), {}
    names = {f.MESSAGE: "messages", f.TRIED: "tries", f.NOT_RUN: "not_run", f.FINAL: "finals", f.END: "ends"}
    placed: dict[int, list] = {}
    for number, one in found.found:
        placed.setdefault(number, []).append(one)
    for row in sorted(manifest.rows, key=lambda row: row.first):
        plan.opened(row.number, row.first, f.HEAD_SIZE)
        kinds[row.number] = Counter(names[one.kind] for one in placed.get(row.number, ()))
        for one in placed.get(row.number, ()):
            plan.wrote(one.uid, one.seq, one.size, whole=one.kind == f.MESSAGE, end=one.kind == f.END)
    rows = [{"segment": number, "first": one.first, "bytes": sizes.get(number, 0), "live": one.live,
             "state": "sealed" if one.sealed else "active", **{name: kinds[number][name] for name in names.values()}}
            for number, one in plan.segments.items()]
    if as_json:
        write_json(rows)
    elif rows:
        write_table(list(rows[0]), [list(row.values()) for row in rows])
