"""``lynxscale cluster``: the status of a cluster of relays, a check of their files, and the removal of a lost node."""

from __future__ import annotations

import http.client
from http import HTTPStatus
from pathlib import Path
from typing import Any

import click
import orjson

from lynxscale.cli import example
from lynxscale.cli.common import write_json, write_table
from lynxscale.cli.exceptions import FAILED, CommandFailedError, InvalidUsageError
from lynxscale.relay.conf.lexer import Fault
from lynxscale.relay.conf.settings import Conf

ANSWER_TIMEOUT_S = 3.0
STALE_AFTER_S = 5.0  # an older status file means that the relay does not run or its disk is stuck
COLUMNS = ("node", "at", "zone", "state", "for_s", "life", "in_view", "answered_ms", "others say", "slow", "differs")


@example("lynxscale cluster status --conf lynxscale.conf")
@click.group()
def group() -> None:
    """A cluster of relays: its status, its configuration and its nodes; docs/operators/cluster.md."""


def _call(at: str, method: str, path: str) -> tuple[int, dict]:
    """Call the admin server of a relay, and return the HTTP status and the body."""
    host, _, port = at.rpartition(":")
    if not (host and port.isdigit()):
        raise InvalidUsageError(f"{at}: want HOST:PORT, the admin-addr of a relay")
    connection = http.client.HTTPConnection(host, int(port), timeout=ANSWER_TIMEOUT_S)
    try:
        connection.request(method, path)
        answer = connection.getresponse()
        return answer.status, orjson.loads(answer.read())
    except (OSError, http.client.HTTPException, orjson.JSONDecodeError) as error:
        raise CommandFailedError(f"{at}: no answer from the admin server of a relay: {error}") from error
    finally:
        connection.close()


def _read_status_file(conf: str) -> dict:
    """Read the status that a relay last wrote into its state folder."""
    from lynxscale.relay.cluster.component import STATUS_FILE
    from lynxscale.relay.cluster.durable_state import FOLDER

    own = _read(conf)
    if own.cluster.name is None:
        raise CommandFailedError(f"{conf}: it has no section cluster")
    path = Path(own.relay.state) / FOLDER / STATUS_FILE
    try:
        return orjson.loads(path.read_bytes())
    except FileNotFoundError as error:
        raise CommandFailedError(f"{path}: not there; has this relay run, and is this its folder?") from error
    except ValueError as error:
        raise CommandFailedError(f"{path}: not a status: {error}") from error


def _read(path: str) -> Conf:
    from lynxscale.relay.conf.reader import ConfigurationError, read

    try:
        return read(path)
    except ConfigurationError as error:
        raise InvalidUsageError(str(error)) from error


def _rows(status: dict) -> list[list[Any]]:
    return [
        [
            row["name"],
            row["at"],
            row["zone"] or "-",
            row["state"],
            "-" if row["since_ms"] is None else f"{row['since_ms'] / 1000:.1f}",
            "-" if row["life"] is None else row["life"],
            "yes" if row["in_view"] else "no",
            "-" if row["answered_ms"] is None else row["answered_ms"],
            _seen_by_others(row),
            row["slow"] or "-",
            " ".join(row["differs"]) or "-",
        ]
        for row in status["nodes"]
    ]


def _seen_by_others(row: dict) -> str:
    """The state of a node as the other nodes report it; a single state if they agree."""
    reported = {observer: seen["state"] for observer, seen in sorted(row["seen_as"].items()) if observer != row["name"]}
    if len(set(reported.values())) <= 1:
        return next(iter(reported.values()), "-")
    return " ".join(f"{observer}:{state}" for observer, state in reported.items())


def _describe(status: dict) -> str:
    """Describe a node in a few lines."""
    view = status["view"]
    lines = [
        f"{status['node']} of {status['cluster']}, life {status['life']}, up {status['up_ms'] / 1000:.0f} s: "
        f"{status['standing']}"
    ]
    if view is None:
        lines.append("no view yet: the first needs every node that the file names")
    else:
        lines.append(
            f"view {view['number']} ({view['digest']}) of "
            + " ".join(f"{one['name']}/{one['life']}" for one in view["members"])
            + f"; it can lose {view['can_lose']}"
        )
        lines.append(
            f"lease for {status['lease_ms']} ms; granted by {' '.join(status['grants']) or 'nobody'} of "
            f"{' '.join(view['asked_for_leases'])}"
        )
    if not status["votes"]:
        lines.append("it does not vote: its durable state was lost or is older than what other nodes received from it")
    if status["split"]:
        lines.append(f"contradiction: {status['split']}")
    if status["doubt"]:
        lines.append(f"degraded local health score: {status['doubt']}")
    return "\n".join(lines)


@example(
    "lynxscale cluster status --conf lynxscale.conf\nlynxscale cluster status --at 127.0.0.1:9001 --at 127.0.0.1:9002"
)
@group.command()
@click.option(
    "--conf",
    type=click.Path(dir_okay=False),
    help="The configuration file of a relay: show the status that it last wrote.",
)
@click.option("--at", multiple=True, help="HOST:PORT of the admin server of a relay; may be given several times.")
@click.option("--json", "as_json", is_flag=True, help="The full status as JSON.")
def status(conf: str | None, at: tuple[str, ...], as_json: bool) -> None:
    """Show the nodes as a relay sees them, with incarnation, state and its duration; and the view, majority and lease.

    Exit code 1 if a relay does not answer, or is not a member of a view with a lease.
    """
    if bool(conf) == bool(at):
        raise InvalidUsageError("want --conf FILE, or --at HOST:PORT once or more")
    if conf:
        found, unavailable = [_written_status(conf)], []
    else:
        found, unavailable = _asked_statuses(at)
    if as_json:
        write_json({"nodes": found, "silent": unavailable})
    else:
        _show_statuses(found)
    for line in unavailable:
        click.echo(line, err=True)
    if unavailable or any(one["standing"] != "member" for one in found):
        click.get_current_context().exit(FAILED)


def _written_status(conf: str) -> dict[str, Any]:
    """The status that a relay last wrote, with its age in seconds."""
    import time

    status = _read_status_file(conf)
    return status | {"age_s": round(time.time() - status["ts"], 1)}


def _asked_statuses(addresses: tuple[str, ...]) -> tuple[list[dict[str, Any]], list[str]]:
    """The statuses that relays return, and a line for each relay that returns none."""
    found: list[dict[str, Any]] = []
    unavailable: list[str] = []
    for address in addresses:
        try:
            code, answer = _call(address, "GET", "/admin/cluster")
        except CommandFailedError as error:
            unavailable.append(error.message)
            continue
        if code == HTTPStatus.OK:
            found.append(answer)
        else:
            unavailable.append(f"{address}: {answer.get('said', code)}")
    return found, unavailable


def _show_statuses(found: list[dict[str, Any]]) -> None:
    """Describe each node; then show the table of nodes of a single status, or how several nodes see each other."""
    for number, one in enumerate(found):
        click.echo(("\n" if number else "") + _describe(one))
        if "age_s" in one:
            click.echo(_age_text(one["age_s"]))
    if len(found) == 1:
        click.echo()
        write_table(list(COLUMNS), _rows(found[0]))
    elif found:
        _show_views(found)


def _age_text(age_s: float) -> str:
    stale = "; the relay writes it every second: it does not run, or its disk is stuck"
    return f"as written {age_s} s ago" + (stale if age_s > STALE_AFTER_S else "")


def _show_views(found: list[dict[str, Any]]) -> None:
    """Show a table of the state of each node as seen by each node."""
    click.echo("\nWho is what, as each of them sees it:")
    names = sorted({row["name"] for one in found for row in one["nodes"]})
    rows = []
    for one in found:
        states = {row["name"]: row["state"] for row in one["nodes"]}
        rows.append([one["node"], *(states.get(name, "not named") for name in names)])
    write_table(["seen by", *names], rows)


def _differing(files: list[tuple[str, Conf]]) -> list[Fault]:
    """Return the differences between the first file and the others, and names or places that are used twice."""
    from lynxscale.relay.cluster import settings

    found = []
    first_path, first_conf = files[0]

    def compare(path: str, word: str, mine: Any, theirs: Any) -> None:
        if mine != theirs:
            found.append(Fault(path, _line(path, word), word, f"want {theirs}, as {first_path} has it, not {mine}"))

    for path, conf in files[1:]:
        compare(path, "name", conf.cluster.name, first_conf.cluster.name)
        compare(path, "probe", conf.cluster.probe, first_conf.cluster.probe)
        mine = {setting.directive: setting for setting in settings.shared_settings(conf)}
        theirs = {setting.directive: setting for setting in settings.shared_settings(first_conf)}
        for word in theirs | mine:
            none = f"no {word}"
            compare(
                path,
                word if word in mine else word.split()[0],
                mine[word].value if word in mine else none,
                theirs[word].value if word in theirs else none,
            )
    names: dict[str, str] = {}
    places: dict[int, str] = {}
    for path, conf in files:
        for key, table, word in ((conf.relay.name, names, "name"), (conf.relay.place, places, "place")):
            if key in table:
                found.append(Fault(path, _line(path, word), word, f"want another than {key}, which {table[key]} has"))
            table.setdefault(key, path)
        members = len(conf.cluster.member)
        if conf.relay.relays != members:
            found.append(
                Fault(
                    path,
                    _line(path, "relays"),
                    "relays",
                    f"want {members}, as many as there are members, not {conf.relay.relays}",
                )
            )
    missing = sorted({row["name"] for row in first_conf.cluster.member} - set(names))
    if missing:
        found.append(
            Fault(first_path, _line(first_path, "member"), "member", f"no file was given for {' '.join(missing)}")
        )
    return found


def _line(path: str, word: str) -> int:
    """The number of the first line of a file whose directive begins with these words; 0 if there is none."""
    import os

    from lynxscale.relay.conf.lexer import Lexer

    wanted = word.split()
    return next(
        (
            line.number
            for line in Lexer(os.environ).lines(path)
            if line.file == path and list(line.words[: len(wanted)]) == wanted
        ),
        0,
    )


@example("lynxscale cluster check r1.conf r2.conf r3.conf")
@group.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(dir_okay=False))
def check(files: tuple[str, ...]) -> None:
    """Compare the configuration FILES of the relays of a cluster: names, addresses, classes and limits.

    Exit code 1 if they do not match; each difference is shown with its file and line.
    """
    read = [(path, _read(path)) for path in files]
    without = [path for path, conf in read if conf.cluster.name is None]
    if without:
        raise CommandFailedError("\n".join(f"{path}: no section cluster" for path in without))
    found = _differing(read)
    for fault in found:
        click.echo(str(fault), err=True)
    if found:
        click.get_current_context().exit(FAILED)
    cluster = read[0][1].cluster
    click.echo(
        f"{len(read)} files of {cluster.name}: {len(cluster.member)} nodes, of which it can lose "
        f"{(len(cluster.member) - 1) // 2} at once"
    )


@example("lynxscale cluster forget r3 --at 127.0.0.1:9001")
@group.command()
@click.argument("name")
@click.option("--at", required=True, help="HOST:PORT of the admin server of a relay that is a member.")
@click.option("--yes", is_flag=True, help="Do not ask for confirmation.")
def forget(name: str, at: str, yes: bool) -> None:
    """Remove the node NAME, whose machine is lost for good, from the next view.

    The command is refused for a node that is considered alive or is not in the view.
    """
    code, cluster_status = _call(at, "GET", "/admin/cluster")
    if code != 200:
        raise CommandFailedError(f"{at}: {cluster_status.get('said', code)}")
    view = cluster_status["view"]
    row = next((row for row in cluster_status["nodes"] if row["name"] == name), None)
    listed = view is not None and name in [one["name"] for one in view["members"]]
    state = row["state"] if row else "not in the file of " + cluster_status["node"]
    click.echo(
        f"{name}: {state}, {'in' if listed else 'not in'} view {view['number'] if view else 0}. Forget it "
        "only if this machine and its folder will not come back: data that only this node held is lost. Remove its "
        "line from the files afterwards."
    )
    if not yes and not click.confirm(f"Forget {name}?"):
        raise CommandFailedError("nothing done")
    code, answer = _call(at, "POST", f"/admin/cluster/forget?name={name}")
    if code != 200:
        raise CommandFailedError(f"{at}: {answer['said']}")
    click.echo(answer["said"])
