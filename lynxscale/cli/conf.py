"""``lynxscale conf``: check a configuration file, show the effective settings, print the manual page."""

from __future__ import annotations

import dataclasses
import os
from typing import Any

import click
import orjson

from lynxscale.cli import example
from lynxscale.cli.exceptions import USAGE, InvalidUsageError
from lynxscale.relay.conf import reader
from lynxscale.relay.conf.directive import Directive, field_of
from lynxscale.relay.conf.settings import Conf
from lynxscale.relay.conf.table import SECTIONS


def _path(given: str | None) -> str | None:
    return given or os.environ.get(reader.VARIABLE)


def _load(given: str | None) -> Conf:
    try:
        return reader.from_environment(path=given)
    except reader.ConfigurationError as error:
        raise InvalidUsageError("\n" + str(error)) from error


@example("lynxscale conf check deploy/lynxscale.conf")
@click.group()
def group() -> None:
    """Check and show the configuration file, and print its manual page."""


@example("lynxscale conf check deploy/lynxscale.conf")
@group.command()
@click.argument("file", required=False, type=click.Path())
@click.option("--json", "as_json", is_flag=True, help="The faults as JSON.")
@click.pass_context
def check(ctx: click.Context, file: str | None, as_json: bool) -> None:
    """Check FILE (default: the file named by LYNXSCALE_CONF). Exit code 2 if it has faults; all of them are shown."""
    path = _path(file)
    if path is None:
        raise InvalidUsageError(f"want a file, or {reader.VARIABLE} set")
    faults = []
    try:
        reader.read(path)
    except reader.ConfigurationError as error:
        faults = error.faults
    if as_json:
        click.echo(orjson.dumps([dataclasses.asdict(fault) for fault in faults]))
    else:
        for fault in faults:
            click.echo(str(fault), err=True)
        click.echo(f"{path}: {len(faults) or 'no'} fault{'' if len(faults) == 1 else 's'}", err=bool(faults))
    if faults:
        ctx.exit(USAGE)


@example("lynxscale conf show --json deploy/lynxscale.conf")
@group.command()
@click.argument("file", required=False, type=click.Path())
@click.option("--json", "as_json", is_flag=True, help="As JSON, with sizes in bytes and times in µs.")
def show(file: str | None, as_json: bool) -> None:
    """Show every directive with its effective value, in the format of a configuration file."""
    conf = _load(file)
    if as_json:
        click.echo(orjson.dumps(dataclasses.asdict(conf), option=orjson.OPT_INDENT_2))
        return
    for section in SECTIONS:
        click.echo(f"begin {section.name}")
        settings = getattr(conf, section.name)
        for directive in section.directives:
            value = getattr(settings, field_of(directive.name))
            if directive.kind == "row":
                for row in value:
                    click.echo(f"    {directive.name} {_row(directive, row)}")
                continue
            unset = value is None or value == ()
            shown = f"# {directive.name}  (not set)" if unset else f"{directive.name} {_quoted(directive, value)}"
            click.echo(f"    {shown}")
        click.echo(f"end {section.name}\n")


def _row(directive: Directive, row: dict) -> str:
    words = [_word(row["name"]), *(_word(one.shown(row[one.name])) for one in directive.plain)]
    for column in directive.columns:
        if (value := row.get(field_of(column.name))) is not None:
            words += [column.name, column.shown(value)]
    return " ".join(words)


def _word(text: str) -> str:
    return text if text.replace("-", "").replace("/", "").replace(".", "").replace("_", "").isalnum() else f"'{text}'"


def _quoted(directive: Directive, value: Any) -> str:
    words = value if directive.kind == "names" else (directive.shown(value),)
    return " ".join(map(_word, words))


@example("lynxscale conf manual > docs/operators/configuration.md")
@group.command()
def manual() -> None:
    """Print the manual page of all sections and directives, in Markdown."""
    click.echo(manual_page(), nl=False)


def manual_page() -> str:
    """Build the manual page from the table of directives."""
    parts = [INTRODUCTION]
    for section in SECTIONS:
        parts.append(
            f"## {section.name}\n\n{section.help}\n\n| directive | wants | default | meaning |\n"
            "| --- | --- | --- | --- |\n"
        )
        parts += [
            f"| `{one.name}` | {one.wanted()} | {one.shown(one.default)} | {one.help} |\n" for one in section.directives
        ]
        parts.append("\n")
    return "".join(parts).rstrip() + "\n"


INTRODUCTION = """# The configuration file

The relay and the commands read one line-based file: the one given by `--conf`, otherwise the one that the environment
variable `LYNXSCALE_CONF` names. Without either the defaults below apply and nothing is enabled.
`lynxscale conf check FILE` reports every fault with its file, line and word, and exits with 2 if there are any;
`lynxscale conf show FILE` prints the effective settings. The platform's JSON file (`NODE_CONFIG`) and environment
variables are separate from this file and take precedence over it.

    # a comment
    begin trace
        folder "relay a/traces"    # words with blanks are quoted
        level tries
        file-size 16m
    end trace

A line consists of a directive and its words. `${NAME}` is replaced by an environment variable, except in single quotes.
`include PATH` is replaced by the lines of another file; the path is relative to the folder of the including file and
may contain `*`. Sizes are in bytes, or have a unit: `k`, `m`, `g` (powers of 1024). Times need a unit: `us`, `ms`, `s`,
`m`, `h`, `d`. A directive may appear once, unless it defines a named row (NAME below); an unknown or repeated directive
and a value that is out of range are errors. The file is read at the start, and a change takes effect at the next start;
on SIGHUP a relay reads it again and applies only those changes that need no restart, such as a new `member` line in the
section `cluster`.

"""
