"""Which directives there are: kind, default, range and meaning of each, and the settings that they fill.

The manual page (docs/operators/configuration.md) is made from this table, and a test holds it to that.
"""

from __future__ import annotations

from dataclasses import dataclass

from lynxscale.relay.conf.directive import TIMES, Section, column, directives

MEMBERS_MOST = 256  # relays of one cluster
NODE_NAME_MOST = 63  # letters; as the frames between relays have it


@dataclass(frozen=True, slots=True)
class LogConf:
    """How the daemon's log is written."""

    format: str = "logfmt"
    level: str = "info"
    traffic: int = 5_000_000  # µs


@dataclass(frozen=True, slots=True)
class TraceConf:
    """What the recorder keeps; without a folder nothing is recorded."""

    folder: str | None = None
    level: str = "tries"
    block: int = 64 << 10  # bytes before compression
    file_size: int = 16 << 20
    file_age: int = 3_600_000_000  # µs
    total: int = 256 << 20
    memory: int = 1 << 20
    flush: int = 50_000  # µs
    classes: tuple[str, ...] = ()
    sample: float = 1.0


@dataclass(frozen=True, slots=True)
class MembersConf:
    """Watched files of endpoints; without ``files`` nothing is watched."""

    files: tuple[str, ...] = ()
    precedence: str = "files"
    allow: tuple[str, ...] = ("127.0.0.0/8",)
    deny: tuple[str, ...] = ()
    checksum: bool = False
    entries: int = 65_536
    most_removed: float = 1.0
    last_endpoint: str = "allow"
    most_moved: float = 1.0
    on_guard: str = "hold"
    ramp: int = 0  # µs
    poll: int = 500_000  # µs


@dataclass(frozen=True, slots=True)
class ClusterConf:
    """Relays that know each other; without ``name`` there is no cluster. ``member``: name, at, zone."""

    name: str | None = None
    listen: str | None = None
    member: tuple[dict, ...] = ()
    probe: int = 500_000  # µs


@dataclass(frozen=True, slots=True)
class RelayConf:
    """A relay without the platform; without ``listen`` the platform's variables tell all of this."""

    listen: str | None = None
    admin_addr: str | None = None
    name: str = "relay"
    state: str = "state"
    seed: str = "0"
    discovery: str | None = None
    sockets: int = 1024
    disk: int = 64 << 20
    relays: int = 1
    place: int = 0


@dataclass(frozen=True, slots=True)
class FinalsConf:
    """Where the ends of messages go that were not delivered."""

    file: str | None = None
    size: int = 16 << 20
    files: int = 4
    http: str | None = None
    path: str = "/v2/finals"


@dataclass(frozen=True, slots=True)
class LimitsConf:
    """Bounds on what is held and under way, and what peers allow."""

    slots: int = 64
    held: int = 400
    tries: int = 12
    cancel: bool = True
    probes: bool = False
    idle_close: int = 15_000_000  # µs
    dial: int = 1_500_000
    retry_after_most: int = 3_000_000
    drain_grace: int = 2_000_000
    cold_share: float = 0.2
    warm_up: int = 10_000_000
    tip_multiple: float = 2.0
    tip_after: int = 3_000_000
    late: str = "lost"


@dataclass(frozen=True, slots=True)
class NamesConf:
    """Classes, tenants, kinds and zones, in their order."""

    cls: tuple[dict, ...] = ()
    tenant: tuple[dict, ...] = ()
    kind: tuple[dict, ...] = ()
    zone: tuple[dict, ...] = ()
    report: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Conf:
    """The whole of the product's own settings."""

    log: LogConf = LogConf()
    trace: TraceConf = TraceConf()
    relay: RelayConf = RelayConf()
    names: NamesConf = NamesConf()
    limits: LimitsConf = LimitsConf()
    finals: FinalsConf = FinalsConf()
    members: MembersConf = MembersConf()
    cluster: ClusterConf = ClusterConf()


def _check_trace(conf: TraceConf) -> list[tuple[str, str]]:
    faults = []
    if conf.file_size > conf.total // 2:
        faults.append(("file-size", "want at most half of total, so that an older file can go while one grows"))
    if conf.level == "decisions" and (conf.sample < 1 or conf.classes):
        faults.append(("level", "decisions needs every message: want no classes, and a sample of 1"))
    return faults


def _check_members(conf: MembersConf) -> list[tuple[str, str]]:
    # Guards the start of relays that watch no files: netaddr is imported only for them.
    from lynxscale.relay.conf.networks import nets

    faults = []
    for name in ("allow", "deny"):
        try:
            nets(getattr(conf, name), ())
        except ValueError as error:
            faults.append((name, f"want IPv4 networks such as 10.1.0.0/16, not {error}"))
    if len(set(conf.files)) != len(conf.files):
        faults.append(("files", "want each path once"))
    return faults


def _check_cluster(conf: ClusterConf) -> list[tuple[str, str]]:
    if conf.name is None:
        return [(word, "want name, of the cluster") for word in ("listen", "member") if getattr(conf, word)]
    faults = []
    if conf.listen is None:
        faults.append(("name", "want listen, where this relay hears the others"))
    elif conf.listen.endswith(":0"):
        faults.append(("listen", "want a port that others can be told"))
    if not 1 <= len(conf.member) <= MEMBERS_MOST:
        faults.append(("member", f"want a line for each relay, this one too; {MEMBERS_MOST} at most"))
    for key in ("name", "at"):
        told = [row[key] for row in conf.member]
        faults += [("member", f"want {one} once") for one in sorted({one for one in told if told.count(one) > 1})]
    faults += [
        ("member", f"want at most {NODE_NAME_MOST} letters, not {row['name'][:20]}...")
        for row in conf.member
        if len(row["name"]) > NODE_NAME_MOST
    ]
    faults += [("member", f"want a port for {row['name']}") for row in conf.member if row["at"].endswith(":0")]
    return faults


def _check_names(conf: NamesConf) -> list[tuple[str, str]]:
    faults = []
    for what in ("cls", "tenant", "kind", "zone"):
        names = [row["name"] for row in getattr(conf, what)]
        for name in sorted({name for name in names if names.count(name) > 1}):
            faults.append(("class" if what == "cls" else what, f"want {name} once"))
    for row in conf.cls:
        faults += [
            ("class", f"want {needed} for {row['name']}")
            for needed in ("effect", "aim", "deadline")
            if needed not in row
        ]
        if row.get("effect") == "deduplicated" and "span" not in row:
            faults.append(("class", f"want span for {row['name']}, as its key is kept so long"))
    return faults


def _check_finals(conf: FinalsConf) -> list[tuple[str, str]]:
    return [("file", "want a file or http, not both")] if conf.file and conf.http else []


SECTIONS = (
    Section(
        "log",
        LogConf,
        "The daemon's log on standard error: one event a line.",
        directives(
            LogConf,
            ("format", "choice", "How a line is written.", {"among": ("logfmt", "json")}),
            ("level", "choice", "The least level that is written.", {"among": ("debug", "info", "warning", "error")}),
            (
                "traffic",
                "time",
                "How often the log tells of each destination's traffic, for `lynxscale fleet`; 0us: never.",
                {"most": TIMES["h"]},
            ),
        ),
    ),
    Section(
        "trace",
        TraceConf,
        "The recorder: what the relay saw and decided, in files for `lynxscale trace`.",
        directives(
            TraceConf,
            ("folder", "path", "Where the files go; it is made if it is missing. Without it nothing is recorded."),
            (
                "level",
                "choice",
                "`ends`: messages and their ends; `tries`: tries, probes, lists and notices too; "
                "`decisions`: also all that goes into and comes out of the decision module, for `trace replay`.",
                {"among": ("ends", "tries", "decisions")},
            ),
            ("block", "size", "Bytes gathered until a block is compressed.", {"least": 4 << 10, "most": 1 << 20}),
            (
                "file-size",
                "size",
                "Size at which a file is closed and the next begun.",
                {"least": 64 << 10, "most": 1 << 40},
            ),
            (
                "file-age",
                "time",
                "Age at which a file is closed and the next begun.",
                {"least": 1_000_000, "most": 30 * TIMES["d"]},
            ),
            (
                "total",
                "size",
                "Bytes of all trace files in the folder; the oldest go first.",
                {"least": 128 << 10, "most": 1 << 50},
            ),
            (
                "memory",
                "size",
                "Bytes that may wait to be written; beyond them records are dropped and counted.",
                {"least": 16 << 10, "most": 64 << 20},
            ),
            (
                "flush",
                "time",
                "How long records wait to be written together: a crash loses no more. 0us writes each turn "
                "of the loop at its end, and costs two to three times the CPU.",
                {"most": 5_000_000},
            ),
            ("classes", "names", "Only messages of these classes; without it all."),
            (
                "sample",
                "share",
                "Share of the messages that is kept, each whole, the same ones at every relay.",
                {"least": 0, "most": 1},
            ),
        ),
        _check_trace,
    ),
    Section(
        "relay",
        RelayConf,
        "A relay without the platform, for `lynxscale run`. With "
        "`NODE_CONFIG` set the platform's file and variables tell all that the sections from here to `finals` do.",
        directives(
            RelayConf,
            ("listen", "address", "Where clients connect. Without it the relay needs the platform."),
            (
                "admin-addr",
                "address",
                "One more address, for operators alone: health, drain, resume. Without it no door.",
            ),
            ("name", "text", "What this relay is called in logs and traces."),
            ("state", "path", "Folder of the journal and the last good lists; it is made if it is missing."),
            ("seed", "text", "A text from which random numbers are drawn."),
            ("discovery", "address", "A directory that tells endpoints over HTTP, if there is one."),
            ("sockets", "count", "Descriptors that may be open.", {"least": 64, "most": 1 << 20}),
            ("disk", "size", "Bytes of the journal.", {"least": 10_000, "most": 1 << 40}),
            (
                "relays",
                "count",
                "Relays that share the same partners; a told rate is parted among them.",
                {"least": 1, "most": 1000},
            ),
            ("place", "count", "This one's place among them, from 0.", {"most": 999}),
        ),
    ),
    Section(
        "names",
        NamesConf,
        "What messages and lists may name. The order of the lines counts.",
        directives(
            NamesConf,
            (
                "class",
                "row",
                "A class of messages. `effect` tells whether it may be repeated: `idempotent` freely, "
                "`deduplicated` under its key for `span`, `at_most_once` never. `worth` in time, `late-worth` "
                "after the aim.",
                {
                    "columns": (
                        column("effect", "choice", among=("idempotent", "deduplicated", "at_most_once")),
                        column("aim", "time", least=1000, most=TIMES["h"]),
                        column("deadline", "time", least=1000, most=TIMES["h"]),
                        column("span", "time", least=1000, most=TIMES["d"]),
                        column("worth", "share", most=1e6),
                        column("late-worth", "share", most=1e6),
                    )
                },
            ),
            (
                "tenant",
                "row",
                "Who hands in; `quota` in messages a second. Without any line all are one tenant.",
                {"columns": (column("quota", "share", most=1e6), column("share", "share", most=1.0))},
            ),
            (
                "kind",
                "row",
                "A kind of endpoint; `apart` where each endpoint has a limit of its own.",
                {"columns": (column("per-call", "count", least=1, most=1000), column("apart", "flag"))},
            ),
            ("zone", "row", "A zone; `fee` of a call there.", {"columns": (column("fee", "share", most=1e6),)}),
            ("report", "names", "The columns of the load that partners report in `Srv-Load`."),
        ),
        _check_names,
    ),
    Section(
        "limits",
        LimitsConf,
        "Bounds on what is held and under way, and what partners allow.",
        directives(
            LimitsConf,
            ("slots", "count", "Tries under way at once.", {"least": 1, "most": 100_000}),
            ("held", "count", "Messages held at once.", {"least": 1, "most": 1_000_000}),
            ("tries", "count", "Tries of one message at most.", {"least": 1, "most": 1000}),
            ("cancel", "flag", "A try may be cut by closing its connection."),
            ("probes", "flag", "Endpoints may be asked for their load."),
            (
                "idle-close",
                "time",
                "After so long partners close a connection at rest.",
                {"least": 100_000, "most": TIMES["h"]},
            ),
            ("dial", "time", "How long a connection may take to open.", {"least": 10_000, "most": 60_000_000}),
            ("retry-after-most", "time", "The latest time to come again that clients are told.", {"most": TIMES["h"]}),
            (
                "drain-grace",
                "time",
                "How long calls that are under way may go on at a draining endpoint.",
                {"most": TIMES["h"]},
            ),
            (
                "cold-share",
                "share",
                "Share of its load that a partner bears as it comes back.",
                {"least": 0.01, "most": 1},
            ),
            ("warm-up", "time", "How long it takes until it bears all of it.", {"most": TIMES["h"]}),
            ("tip-multiple", "share", "So many times its load knocks a partner over.", {"least": 1, "most": 100}),
            ("tip-after", "time", "If it lasts for so long.", {"most": TIMES["h"]}),
            (
                "late",
                "choice",
                "What a message is worth after its aim: `late-worth`, or less and less.",
                {"among": ("lost", "halving")},
            ),
        ),
    ),
    Section(
        "finals",
        FinalsConf,
        "Where it is told that a message was given up: a file of JSON lines or an address.",
        directives(
            FinalsConf,
            ("file", "path", "A file of JSON lines: id, status, and again_ms where the client may come again."),
            (
                "size",
                "size",
                "Size at which the file is closed and the next begun.",
                {"least": 4 << 10, "most": 1 << 40},
            ),
            ("files", "count", "Files kept besides the one that is written.", {"most": 1000}),
            ("http", "address", "An address that takes JSON lines by POST and answers 204."),
            ("path", "text", "The path there."),
        ),
        _check_finals,
    ),
    Section(
        "members",
        MembersConf,
        "Endpoints from watched files; docs/operators/membership.md.",
        directives(
            MembersConf,
            (
                "files",
                "names",
                "Files, and folders of files that end in `.list` or `.json`. Without it none are watched.",
            ),
            (
                "precedence",
                "choice",
                "Who owns a destination that both discovery and a file list.",
                {"among": ("files", "discovery")},
            ),
            ("allow", "names", "Networks in which endpoints may be."),
            ("deny", "names", "Networks within those in which they may not be."),
            ("checksum", "flag", "A file needs a checksum in its closing line."),
            ("entries", "count", "Endpoints of one file at most.", {"least": 1, "most": 1 << 20}),
            (
                "most-removed",
                "share",
                "Share of a destination's ready endpoints that a version may remove unasked.",
                {"most": 1},
            ),
            (
                "last-endpoint",
                "choice",
                "Whether a version may remove a destination's last endpoint unasked.",
                {"among": ("allow", "ask")},
            ),
            ("most-moved", "share", "Share of a destination's weight that may move at once unasked.", {"most": 100}),
            (
                "on-guard",
                "choice",
                "What becomes of a version that a guard asks about: it waits for `lynxscale list "
                "approve`, or is rejected. Drains in it pass at once in either case.",
                {"among": ("hold", "reject")},
            ),
            (
                "ramp",
                "time",
                "How long a higher weight takes to be reached, in steps; a lower one holds at once.",
                {"most": TIMES["h"]},
            ),
            (
                "poll",
                "time",
                "How often files are looked at besides what the system tells at once.",
                {"least": 50_000, "most": 1_000_000},
            ),
        ),
        _check_members,
    ),
    Section(
        "cluster",
        ClusterConf,
        "Relays that know each other; docs/operators/cluster.md. Left off where the platform runs the relay.",
        directives(
            ClusterConf,
            (
                "name",
                "text",
                "The cluster's name: who carries another one is not heard. Without it there is no cluster.",
            ),
            ("listen", "address", "Where this relay hears the others, on UDP and TCP; an address of a closed network."),
            (
                "member",
                "row",
                "A relay of the cluster, this one too by its own `name` in `relay`, and the address at which "
                "this relay reaches it.",
                {"plain": (column("at", "address"),), "columns": (column("zone", "text"),)},
            ),
            (
                "probe",
                "time",
                "How often a relay asks one of the others whether it is there. The same at all of them.",
                {"least": 100_000, "most": 10_000_000},
            ),
        ),
        _check_cluster,
    ),
)
