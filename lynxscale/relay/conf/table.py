"""The directives of the configuration file by section, each with its kind, range and description.

The manual page (docs/operators/configuration.md) is generated from this table; a test checks that both match.
"""

from __future__ import annotations

from lynxscale.relay.conf.checks import check_cluster, check_finals, check_members, check_names, check_trace
from lynxscale.relay.conf.directive import TIMES, Section, column, directives
from lynxscale.relay.conf.settings import (
    ClusterConf,
    FinalsConf,
    LimitsConf,
    LogConf,
    MembersConf,
    NamesConf,
    RelayConf,
    TraceConf,
)

LOG = Section(
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
)

TRACE = Section(
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
    check_trace,
)

RELAY = Section(
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
)

NAMES = Section(
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
    check_names,
)

LIMITS = Section(
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
)

FINALS = Section(
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
    check_finals,
)

MEMBERS = Section(
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
    check_members,
)

CLUSTER = Section(
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
    check_cluster,
)

SECTIONS = (LOG, TRACE, RELAY, NAMES, LIMITS, FINALS, MEMBERS, CLUSTER)
