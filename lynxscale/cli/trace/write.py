"""Commands that write trace files: cut, merge, anonymise, convert, reindex."""

from __future__ import annotations

from typing import Any

import click

from lynxscale.cli import example
from lynxscale.cli.common import (
    Losses,
    output_file,
    progress,
)
from lynxscale.cli.exceptions import InvalidUsageError
from lynxscale.cli.trace.shared import (
    files,
    filter_from,
    group,
    open_reader,
    readable_files,
    selected_frames,
    selection,
    to_file,
    with_first_pass,
)
from lynxscale.trace import anonymise as anon
from lynxscale.trace.exceptions import InvalidKeyError
from lynxscale.trace.merge import Merge
from lynxscale.trace.select import matching_parts
from lynxscale.trace.writer import Output


@example("lynxscale trace cut --from 2026-05-02T14:00:00 --to 2026-05-02T14:01:00 -o minute.lxt relay-a.lxt")
@group.command()
@files
@selection
@to_file
def cut(files: tuple[str, ...], output: str, **options: Any) -> None:
    """Write the selected records to a file; blocks that hold none of them are not read."""
    paths = readable_files(files)
    target, losses = output_file(output, paths), Losses()
    wanted = with_first_pass(filter_from(**options), paths)
    with Output(target) as out:
        for frame in progress(selected_frames(paths, wanted, losses), "cutting"):
            for part in matching_parts(frame, wanted):
                out.put(part)
    click.echo(f"{target}: {out.records} records in {out.frames} frames")


@example("lynxscale trace merge -o weekend.lxt relay-a/ relay-b/")
@group.command()
@files
@to_file
def merge(files: tuple[str, ...], output: str) -> None:
    """Merge files into one, ordered by time; records that several files hold are written once."""
    paths = readable_files(files)
    target, losses = output_file(output, paths), Losses()
    stream = Merge(paths, losses)
    with Output(target) as out:
        for frame in progress(stream, "merging"):
            out.put(frame)
    click.echo(f"{target}: {out.records} records of {len(paths)} files, {stream.duplicates} duplicates left out")


@example(
    'python3 -c "import secrets; print(secrets.token_hex(32))" > names.key\n'
    "lynxscale trace anonymise --key names.key -o partner.lxt weekend.lxt"
)
@group.command()
@files
@to_file
@click.option("--key", "key_file", required=True, type=click.Path(), help="A file with a secret of 16 bytes or more.")
def anonymise(files: tuple[str, ...], output: str, key_file: str) -> None:
    """Write files without the names of tenants, messages, endpoints, addresses, relays and destinations.

    The same key gives the same name in every file. Keep the key secret: whoever has it can test guessed names.
    """
    try:
        key = anon.read_key(key_file)
    except InvalidKeyError as error:
        raise InvalidUsageError(str(error)) from error
    paths = readable_files(files)
    target, losses = output_file(output, paths), Losses()
    names = anon.Anonymiser(key)
    with Output(target) as out:
        for frame in progress(Merge(paths, losses), "anonymising"):
            for part in names.frames(frame):
                out.put(part)
    left = f", {names.skipped} of unknown form left out" if names.skipped else ""
    click.echo(f"{target}: {out.records} records{left}")


@example("lynxscale trace convert --to-version 1 -o old.lxt new.lxt")
@group.command()
@click.argument("file", type=click.Path())
@to_file
@click.option("--to-version", type=click.IntRange(1, 2), default=2, show_default=True)
def convert(file: str, output: str, to_version: int) -> None:
    """Write a file in another version of the format, without loss in either direction."""
    path = readable_files((file,))[0]
    target, losses = output_file(output, [path]), Losses()
    with open_reader(path) as reader:
        with Output(target, to_version, reader.head.created, reader.head.writer) as out:
            for frame in progress(reader.frames(), "converting"):
                out.put(frame)
        for loss in reader.losses:
            losses(loss)
    click.echo(f"{target}: {out.records} records, version {to_version}")


@example("lynxscale trace reindex crashed.lxt")
@group.command()
@files
def reindex(files: tuple[str, ...]) -> None:
    """Rewrite each file in place, with all readable records and an index.

    Use it for files left by a crash, not for a file that its relay still writes.
    """
    for path in readable_files(files):
        losses = Losses()
        with open_reader(path) as reader:
            if reader.head.major == 1:
                raise InvalidUsageError(f"{path}: version 1 has no index: convert it")
            if reader.index() is not None:
                click.echo(f"{path}: has its index")
                continue
            with Output(path, 2, reader.head.created, reader.head.writer) as out:
                for frame in progress(reader.frames(), "reindexing"):
                    out.put(frame)
            for loss in reader.losses:
                losses(loss)
        click.echo(f"{path}: {out.records} records, indexed")
