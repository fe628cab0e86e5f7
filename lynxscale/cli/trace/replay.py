"""``lynxscale trace replay``: replay recorded events through the scheduler and compare its actions."""

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
from lynxscale.cli.trace.shared import files, group, readable_files, to_json
from lynxscale.trace.merge import Merge
from lynxscale.trace.view import iso


@example("lynxscale trace replay relay-a/\nlynxscale trace replay --module next/scheduler.py relay-a/")
@group.command()
@files
@click.option(
    "--module", type=click.Path(dir_okay=False), help="A Python file with another version of the Scheduler class."
)
@to_json
@click.pass_context
def replay(ctx: click.Context, files: tuple[str, ...], module: str | None, as_json: bool) -> None:
    """Replay the events that a relay recorded at level decisions, from its start, through the scheduler.

    Every action is compared; the first difference is shown with the steps before it, and the exit code is 1. With
    --module another version of the scheduler is used, and its different decisions are counted.
    """
    from lynxscale.scheduling.scheduler import Scheduler
    from lynxscale.trace.recorder import policy_hash
    from lynxscale.trace.replay import NotReplayableError
    from lynxscale.trace.replay import replay as replay_frames

    make_scheduler = _load_scheduler(module) if module else Scheduler
    try:
        results = replay_frames(
            progress(Merge(readable_files(files), Losses()), "replaying"), make_scheduler, strict=not module
        )
    except NotReplayableError as error:
        raise CommandFailedError(str(error)) from error
    different = any(result.difference for result in results)
    if as_json:
        write_json([result.table() for result in results])
    else:
        for result in results:
            _print_result(result, module, policy_hash())
    if different:
        ctx.exit(FAILED)


def _load_scheduler(path: str) -> Any:
    import importlib.util

    spec = importlib.util.spec_from_file_location("replayed_module", path)
    if spec is None or spec.loader is None or not Path(path).is_file():
        raise InvalidUsageError(f"{path}: want a Python file")
    found = importlib.util.module_from_spec(spec)
    try:
        spec.loader.exec_module(found)
        return getattr(found, "Scheduler", None) or found.Sender  # the class name in earlier versions
    except Exception as error:
        raise InvalidUsageError(
            f"{path}: cannot be loaded as a decision module: {type(error).__name__}: {error}"
        ) from error


def _print_result(result: Any, module: str | None, policy: str) -> None:
    click.echo(
        f"{result.source}: {result.steps} steps, {result.events} events, {result.actions} actions, "
        f"{result.messages} messages"
        f"{'' if result.whole else ' (its stop is not in the trace)'}"
    )
    if module:
        for kind in sorted(result.recorded | result.replayed):
            click.echo(f"  {kind:12} recorded {result.recorded[kind]:>8}  now {result.replayed[kind]:>8}")
        for how, count in result.moved.most_common():
            click.echo(f"  messages {how}: {count}")
        return
    if result.policy != policy:
        click.echo(f"  recorded with another version of the scheduler ({result.policy}, here {policy})", err=True)
    if result.anonymised:
        click.echo("  anonymised: the notes of the scheduler were not compared")
    if result.difference is None:
        click.echo("  no difference")
        return
    first = result.difference
    click.echo(f"  first difference at step {first.step}, {iso(first.unix)}, action {first.place}:")
    click.echo(f"    recorded {first.recorded}\n    replayed {first.replayed}\n  led up to by:")
    for line in first.led_up:
        click.echo(f"    {line}")
