"""``lynxscale list``: check, show, compare, approve and write lists of endpoints."""

from __future__ import annotations

import getpass
import os
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from lynxscale.cli import example
from lynxscale.cli.common import write_json, write_table
from lynxscale.cli.exceptions import FAILED, CommandFailedError, InvalidUsageError

if TYPE_CHECKING:
    from lynxscale.relay.conf.settings import Conf
    from lynxscale.relay.upstream.files import ParseResult, Rules
    from lynxscale.relay.upstream.list_store import ListStore
    from lynxscale.relay.upstream.model import CandidateList, Endpoint

conf_option = click.option(
    "--conf",
    "conf_path",
    type=click.Path(dir_okay=False),
    help="The configuration file (default: LYNXSCALE_CONF); its section `members` has the rules for lists.",
)
json_option = click.option("--json", "as_json", is_flag=True, help="As JSON.")


def _conf(path: str | None) -> Conf:
    from lynxscale.relay.conf import reader

    try:
        return reader.from_environment(path=path)
    except reader.ConfigurationError as error:
        raise InvalidUsageError("\n" + str(error)) from error


def _read(path: str, conf: Conf) -> ParseResult:
    from lynxscale.relay.upstream import file_scan, files
    from lynxscale.relay.upstream.model import run_to_end

    seen = file_scan.read_if_changed(path)
    if seen.status != file_scan.BYTES:
        raise CommandFailedError(f"{path}: {seen.reason}")
    return run_to_end(files.read(seen.data, path, _rules(conf), digest=seen.digest))


def _rules(conf: Conf) -> Rules:
    from lynxscale.relay.upstream.rules import rules_of

    return rules_of(conf.members, (row["name"] for row in conf.names.kind), (row["name"] for row in conf.names.zone))


def _candidate(path: str, conf: Conf) -> CandidateList:
    """Read the list in a file. Raises CommandFailedError with its faults if it has any."""
    reading = _read(path, conf)
    if not reading.complete:
        raise CommandFailedError(f"{path}: half-written: want a closing line, end COUNT, as its last")
    if reading.candidate is None:
        raise CommandFailedError("\n".join(map(str, reading.faults)))
    return reading.candidate


def _list_store(conf: Conf, state: str | None) -> ListStore:
    from lynxscale.relay.upstream.list_store import ListStore

    folder = Path(state or conf.relay.state)
    if not folder.is_dir():
        raise CommandFailedError(f"{folder}: no such state folder")
    return ListStore(folder)


state_option = click.option("--state", type=click.Path(file_okay=False), help="The relay's state folder.")


@example("lynxscale list check --conf deploy/lynxscale.conf lists/partners.list")
@click.group()
def group() -> None:
    """Check, show, compare, approve and write lists of endpoints in files."""


@example("lynxscale list check lists/partners.list")
@group.command()
@click.argument("files", nargs=-1, required=True, type=click.Path())
@conf_option
@json_option
@click.pass_context
def check(ctx: click.Context, files: tuple[str, ...], conf_path: str | None, as_json: bool) -> None:
    """Check FILES, also against each other, as the relay does. Exit code 1 if there are faults; all are shown."""
    from lynxscale.relay.conf.lexer import Fault
    from lynxscale.relay.upstream.model import run_to_end
    from lynxscale.relay.upstream.validation import OwnershipIndex, ownership_conflicts

    conf, owners, faults, rows = _conf(conf_path), OwnershipIndex(), [], []
    for path in files:
        reading = _read(path, conf)
        found = list(reading.faults)
        if not reading.complete:
            found.append(Fault(path, 0, "end", "want a closing line as its last: this file is half-written"))
        if reading.candidate is not None:
            one = reading.candidate
            found += run_to_end(ownership_conflicts(one, owners))
            run_to_end(owners.replace(path, {}, one.entries, one.destinations))
            rows.append(
                {
                    "file": path,
                    "generation": one.version,
                    "endpoints": len(one.entries),
                    "destinations": len(one.destinations),
                    "digest": one.digest,
                }
            )
        faults += found
    if as_json:
        write_json(
            {
                "lists": rows,
                "faults": [
                    {"file": one.file, "line": one.line, "word": one.word, "wanted": one.wanted} for one in faults
                ],
            }
        )
    else:
        for fault in faults:
            click.echo(str(fault), err=True)
        if rows:
            write_table(
                ["file", "generation", "endpoints", "destinations", "digest"],
                [[*list(row.values())[:-1], row["digest"][:16]] for row in rows],
            )
    if faults:
        ctx.exit(FAILED)


def _row(entry: Endpoint) -> dict[str, Any]:
    from lynxscale.scheduling.events import Lifecycle

    return {
        "endpoint": entry.id,
        "address": "{}:{}".format(*entry.address),
        "destination": entry.destination,
        "zone": entry.zone or "-",
        "kind": entry.kind or "-",
        "weight": entry.weight,
        "state": "draining" if entry.lifecycle == Lifecycle.DRAINING else "ready",
    }


@example("lynxscale list show --state state")
@group.command()
@click.argument("file", required=False, type=click.Path())
@click.option("--destination", type=int, help="Only of this destination.")
@conf_option
@state_option
@json_option
def show(file: str | None, destination: int | None, conf_path: str | None, state: str | None, as_json: bool) -> None:
    """Show FILE; without it, the last good lists in the state folder of a relay, and the versions awaiting approval."""
    conf = _conf(conf_path)
    units: list[tuple[str, Any]] = []
    held: list[str] = []
    if file is not None:
        units.append((file, _candidate(file, conf)))
    else:
        lists = _list_store(conf, state)
        units += _last_good_lists(lists, conf)
        held = sorted(lists.load_awaiting())
    if as_json:
        write_json(
            {
                "lists": [
                    {
                        "unit": unit,
                        "generation": one.version,
                        "digest": one.digest,
                        "endpoints": [
                            _row(entry) for entry in one.entries.values() if destination in (None, entry.destination)
                        ],
                    }
                    for unit, one in units
                ],
                "held": held,
            }
        )
        return
    for unit, one in units:
        click.echo(f"{unit}: generation {one.version}, {len(one.entries)} endpoints, digest {one.digest[:16]}")
        rows = [_row(entry) for entry in one.entries.values() if destination in (None, entry.destination)]
        if rows:
            write_table(list(rows[0]), [list(row.values()) for row in rows])
    for digest in held:
        click.echo(f"held: {digest}")


def _last_good_lists(lists: ListStore, conf: Conf) -> list[tuple[str, CandidateList]]:
    from lynxscale.relay.exceptions import StoredListCorruptError
    from lynxscale.relay.upstream import files
    from lynxscale.relay.upstream.model import run_to_end

    rules = _rules(conf)
    found = []
    for good in lists.load_good():
        if isinstance(good, StoredListCorruptError):
            click.echo(f"corrupt: {good}", err=True)
            continue
        reading = run_to_end(files.read(good.data, good.unit, rules, digest=good.digest))
        if reading.candidate is None:
            for fault in reading.faults:
                click.echo(str(fault), err=True)
            continue
        found.append((good.unit, reading.candidate))
    return found


@example("lynxscale list diff lists/partners.list lists/partners.next")
@group.command()
@click.argument("old", type=click.Path())
@click.argument("new", type=click.Path())
@conf_option
@json_option
def diff(old: str, new: str, conf_path: str | None, as_json: bool) -> None:
    """Show what NEW changes relative to OLD, and which guards of the configuration would require approval."""
    from lynxscale.relay.upstream.model import run_to_end
    from lynxscale.relay.upstream.rules import guards_of
    from lynxscale.relay.upstream.validation import compare, guard_faults

    conf = _conf(conf_path)
    before, after = _candidate(old, conf), _candidate(new, conf)
    changes = run_to_end(compare(before.entries, after.entries))
    asked = run_to_end(guard_faults(before.entries, after, changes, guards_of(conf.members)))
    if as_json:
        write_json(
            {name: getattr(changes, name) for name in changes.counts()} | {"guards": [str(fault) for fault in asked]}
        )
        return
    rows = [
        [name, id_, _describe(before.entries.get(id_)), _describe(after.entries.get(id_))]
        for name in changes.counts()
        for id_ in getattr(changes, name)
    ]
    if rows:
        write_table(["change", "endpoint", "before", "after"], rows)
    else:
        click.echo("no change")
    for fault in asked:
        click.echo(f"guard: {fault}")


def _describe(entry: Endpoint | None) -> str:
    if entry is None:
        return "-"
    row = _row(entry)
    return f"{row['address']} destination {row['destination']} weight {entry.weight:g} {row['state']}"


@example("lynxscale list log --state state --last 20")
@group.command()
@click.option("--last", default=20, type=click.IntRange(1), help="Number of latest verdicts to show.")
@conf_option
@state_option
@json_option
def log(last: int, conf_path: str | None, state: str | None, as_json: bool) -> None:
    """Show the verdicts on versions of lists, oldest first, with the reasons of each rejection."""
    rows = list(_list_store(_conf(conf_path), state).read_verdicts())[-last:]
    if as_json:
        write_json(rows)
        return
    for row in rows:
        when = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(row["ts"]))
        changed = " ".join(
            f"{name} {row[name]}"
            for name in ("added", "gone", "drained", "resumed", "reweighted", "moved")
            if row.get(name)
        )
        click.echo(
            f"{when}  {row['outcome']:8}  {row['unit']}  generation {row['version']}  "
            f"{row['digest'][:16]}  {changed}".rstrip()
        )
        for reason in row["reasons"]:
            click.echo(f"    {reason}")


@example("lynxscale list approve --state state 9f86d081884c7d65")
@group.command()
@click.argument("digest")
@conf_option
@state_option
def approve(digest: str, conf_path: str | None, state: str | None) -> None:
    """Approve the version that a guard holds, given by DIGEST or at least its first 8 digits.

    The relay applies it within a second.
    """
    lists = _list_store(_conf(conf_path), state)
    held = lists.load_awaiting()
    found = [one for one in held if one.startswith(digest.lower())]
    if len(digest) < 8 or len(found) != 1:
        waiting = ", ".join(one[:16] for one in held) or "none"
        raise CommandFailedError(f"{digest}: want 8 digits or more of one version that waits; waiting: {waiting}")
    try:
        by = getpass.getuser()
    except (KeyError, OSError):  # the user id has no entry in the password database
        by = str(os.getuid())
    lists.approve(found[0], by)
    click.echo(f"approved {found[0]}")


@example("lynxscale list generate --from lists/partners.list --drain s-0004 -o lists/partners.list")
@group.command()
@click.option(
    "--from",
    "source",
    type=click.Path(),
    help="The list to start from, in the line format or in the JSON of discovery.",
)
@click.option(
    "--endpoint",
    "added",
    multiple=True,
    metavar="LINE",
    help="Add an endpoint, in the line format: ID ADDRESS:PORT destination NUMBER ... ready",
)
@click.option("--remove", multiple=True, metavar="ID")
@click.option("--drain", multiple=True, metavar="ID")
@click.option("--weight", "weights", multiple=True, metavar="ID=CALLS")
@click.option("--generation", type=click.IntRange(0), help="Default: one above the generation of --from, or 1.")
@click.option("--output", "-o", type=click.Path(), help="The file to write atomically (default: standard output).")
@conf_option
def generate(
    source: str | None,
    added: tuple[str, ...],
    remove: tuple[str, ...],
    drain: tuple[str, ...],
    weights: tuple[str, ...],
    generation: int | None,
    output: str | None,
    conf_path: str | None,
) -> None:
    """Write a list, with its checksum, from another list and changes. The result is checked before it is written."""
    from lynxscale.relay.upstream import files
    from lynxscale.relay.upstream.model import Destination, run_to_end
    from lynxscale.scheduling.events import Lifecycle

    conf = _conf(conf_path)
    entries: dict[str, Endpoint] = {}
    destinations: dict[int, Destination] = {}
    if source is not None:
        before = _candidate(source, conf)
        entries, destinations = dict(before.entries), before.destinations
        generation = before.version + 1 if generation is None else generation
    for id_ in remove:
        entries.pop(_existing(entries, id_), None)
    for id_ in drain:
        entries[id_] = entries[_existing(entries, id_)]._replace(lifecycle=Lifecycle.DRAINING)
    for pair in weights:
        id_, _, text = pair.rpartition("=")
        try:
            entries[id_] = entries[_existing(entries, id_)]._replace(weight=float(text))
        except ValueError:
            raise InvalidUsageError(f"{pair}: want ID=CALLS, calls a second as a number") from None
    configured_destinations = [one for one in destinations.values() if one.rate is not None or one.kind is not None]
    data = files.write(entries.values(), 1 if generation is None else generation, configured_destinations)
    if added:
        head, _, _end = data.rpartition(b"end ")
        lines = "".join(f"endpoint {line}\n" for line in added)
        data = head + lines.encode() + f"end {len(entries) + len(added)}\n".encode()
    rules = _rules(conf)
    reading = run_to_end(files.read(data, output or "list", rules))
    if reading.candidate is None:
        raise CommandFailedError("\n".join(map(str, reading.faults)))
    data = files.write(reading.candidate.entries.values(), reading.candidate.version, configured_destinations)
    if output is None:
        click.echo(data.decode(), nl=False)
        return
    new = Path(f"{output}.new")
    new.write_bytes(data)
    os.replace(new, output)
    click.echo(f"{output}: generation {reading.candidate.version}, {len(reading.candidate.entries)} endpoints")


def _existing(entries: dict[str, Endpoint], id_: str) -> str:
    if id_ not in entries:
        raise InvalidUsageError(f"{id_}: no such endpoint in the list")
    return id_
