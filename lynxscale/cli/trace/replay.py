"""``lynxscale trace replay``: the decision module stepped again through what was recorded."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click

from lynxscale.cli import example
from lynxscale.cli.common import (
    Losses,
    progress,
    write_json,
)
from lynxscale.cli.exceptions import FAILED, CommandFailedError, InvalidUsageError
from lynxscale.cli.trace.shared import checked, files, group, to_json
from lynxscale.trace.merge import Merge
from lynxscale.trace.view import iso


@example("lynxscale trace replay relay-a/\nlynxscale trace replay --module next/scheduler.py relay-a/")
@group.command()
@files
@click.option(
    "--module", type=click.Path(dir_okay=False), help="A Python file with another Scheduler: what would it do?"
)
@to_json
@click.pass_context
def replay(ctx: click.Context, files: tuple[str, ...], module: str | None, as_json: bool) -> None:
    """Step the decision module through what a relay recorded at level decisions, from its start.

    Every action is compared; the first difference is shown with what led to it, and ends with exit code 1. With
    --module another version is stepped, and what it decided otherwise is counted.
    """
    from lynxscale.scheduling.scheduler import Scheduler
    from lynxscale.trace.recorder import policy_hash
    from lynxscale.trace.replay import NotReplayableError
    from lynxscale.trace.replay import replay as play

    make = _module(module) if module else Scheduler
    try:
        played = play(progress(Merge(checked(files), Losses()), "replaying"), make, strict=not module)
    except NotReplayableError as error:
        raise CommandFailedError(str(error)) from error
    different = any(one.difference for one in played)
    if as_json:
        write_json([one.table() for one in played])
    else:
        for one in played:
            _tell_replay(one, module, policy_hash())
    if different:
        ctx.exit(FAILED)


def _module(path: str) -> Any:
    import importlib.util

    spec = importlib.util.spec_from_file_location("replayed_module", path)
    if spec is None or spec.loader is None or not Path(path).is_file():
        raise InvalidUsageError(f"{path}: want a Python file")
    found = importlib.util.module_from_spec(spec)
    try:
        spec.loader.exec_module(found)
        return getattr(found, "Scheduler", None) or found.Sender  # the class's name in earlier versions
    except Exception as error:
        raise InvalidUsageError(
            f"{path}: cannot be loaded as a decision module: {type(error).__name__}: {error}"
        ) from error


def _tell_replay(one: Any, module: str | None, policy: str) -> None:
    click.echo(
        f"{one.source}: {one.steps} steps, {one.events} events, {one.actions} actions, {one.messages} messages"
        f"{'' if one.whole else ' (its stop is not in the trace)'}"
    )
    if module:
        for kind in sorted(one.recorded | one.replayed):
            click.echo(f"  {kind:12} recorded {one.recorded[kind]:>8}  now {one.replayed[kind]:>8}")
        for how, count in one.moved.most_common():
            click.echo(f"  messages {how}: {count}")
        return
    if one.policy != policy:
        click.echo(f"  recorded with another text of the module ({one.policy}, here {policy})", err=True)
    if one.anonymised:
        click.echo("  anonymised: the module's notes were not compared")
    if one.difference is None:
        click.echo("  no difference")
        return
    first = one.difference
    click.echo(f"  first difference at step {first.step}, {iso(first.unix)}, action {first.place}:")
    click.echo(f"    recorded {first.recorded}\n    replayed {first.replayed}\n  led up to by:")
    for line in first.led_up:
        click.echo(f"    {line}")
