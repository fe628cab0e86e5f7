"""The command-line interface: a click program with one module per command group, imported when it is used.

Exit codes: 0 success, 1 failure (with the reason in one line on standard error), 2 invalid usage or configuration.
"""

from __future__ import annotations

import importlib
import os
import sys
from typing import Any, NoReturn

import click

from lynxscale.cli.exceptions import FAILED, OutputClosedError

GROUPS = {
    "cluster": "lynxscale.cli.cluster:group",
    "conf": "lynxscale.cli.conf:group",
    "demo": "lynxscale.cli.demo:command",
    "fleet": "lynxscale.cli.fleet:group",
    "journal": "lynxscale.cli.journal:group",
    "lab": "lynxscale.cli.lab:group",
    "list": "lynxscale.cli.lists:group",
    "run": "lynxscale.cli.run:command",
    "trace": "lynxscale.cli.trace:group",
}


class LazyGroup(click.Group):
    """A group that imports a member when the member is used."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """The names of all members."""
        return sorted(GROUPS)

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        """Import a member; None if there is none of that name."""
        if name not in GROUPS:
            return None
        module, _, attribute = GROUPS[name].partition(":")
        return getattr(importlib.import_module(module), attribute)

    def invoke(self, ctx: click.Context) -> Any:
        """Run the command. Raises OutputClosedError if the reader of its output has closed it."""
        try:
            return super().invoke(ctx)
        except BrokenPipeError as error:
            raise OutputClosedError from error  # click would report a failure


def example(text: str) -> Any:
    """Decorator: add an example to the help of a command, shown as it would be typed."""

    def mark(command: click.Command) -> click.Command:
        command.epilog = "\b\nExample:\n  " + text.strip().replace("\n", "\n  ")
        return command

    return mark


@example("lynxscale conf check deploy/lynxscale.conf")
@click.group(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100})
@click.version_option(package_name="lynxscale", message="%(version)s")
def program() -> None:
    """A relay that delivers messages to partner systems, and its tools.

    Without arguments, `lynxscale` runs the relay as its platform starts it.
    """


def main(args: list[str] | None = None) -> NoReturn:
    """Run the command in the arguments, and exit with its exit code, never with a traceback."""
    try:
        code = program.main(args, prog_name="lynxscale", standalone_mode=False) or 0
        sys.stdout.flush()
    except click.exceptions.Abort:
        code = 130
    except click.ClickException as error:
        error.show()
        code = error.exit_code
    except (BrokenPipeError, OutputClosedError):
        # A reader that closes the pipe is no error. Standard output is replaced so that the flush at exit succeeds.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        code = 0
    except KeyboardInterrupt:
        code = 130
    except MemoryError:
        click.echo("Error: not enough memory", err=True)
        code = FAILED
    except OSError as error:
        name = f"{error.filename}: " if error.filename else ""
        click.echo(f"Error: {name}{error.strerror or error}", err=True)
        code = FAILED
    except Exception as error:  # a defect of the program, in one line; LYNXSCALE_DEBUG shows the traceback
        if os.environ.get("LYNXSCALE_DEBUG"):
            raise
        click.echo(
            f"Error: internal fault: {type(error).__name__}: {error} (set LYNXSCALE_DEBUG=1 for its place)", err=True
        )
        code = FAILED
    sys.exit(code)
