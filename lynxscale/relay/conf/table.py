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
    "The daemon's log on standard error, one event per line.",
    directives(
        LogConf,
        ("format", "choice", "Format of the lines.", {"among": ("logfmt", "json")}),
        ("level", "choice", "Lowest level that is logged.", {"among": ("debug", "info", "warning", "error")}),
        (
            "traffic",
            "time",
            "Interval of the log lines with each destination's traffic, which `lynxscale fleet` reads. 0us disables "
            "them.",
            {"most": TIMES["h"]},
        ),
    ),
)

TRACE = Section(
    "trace",
    TraceConf,
    "The recorder, which writes the relay's input and decisions to files for `lynxscale trace`.",
    directives(
        TraceConf,
        (
            "folder",
            "path",
            "Folder of the trace files; it is created if it does not exist. Without it nothing is recorded.",
        ),
        (
            "level",
            "choice",
            "What is recorded. `ends`: messages and their outcomes; `tries`: attempts, probes, lists and notices too; "
            "`decisions`: also all input and output of the decision module, for `trace replay`, which needs every "
            "message (no `classes`, `sample` 1).",
            {"among": ("ends", "tries", "decisions")},
        ),
        (
            "block",
            "size",
            "Size of the records that are collected before they are compressed as one block.",
            {"least": 4 << 10, "most": 1 << 20},
        ),
        (
            "file-size",
            "size",
            "Size at which a trace file is closed and the next one started; at most half of `total`.",
            {"least": 64 << 10, "most": 1 << 40},
        ),
        (
            "file-age",
            "time",
            "Age at which a trace file is closed and the next one started.",
            {"least": 1_000_000, "most": 30 * TIMES["d"]},
        ),
        (
            "total",
            "size",
            "Maximum total size of the trace files in the folder; the oldest are deleted first.",
            {"least": 128 << 10, "most": 1 << 50},
        ),
        (
            "memory",
            "size",
            "Maximum size of the records that wait to be written; records beyond it are dropped and counted.",
            {"least": 16 << 10, "most": 64 << 20},
        ),
        (
            "flush",
            "time",
            "Time that records wait to be written together; a crash loses at most the records of that time. 0us "
            "writes the records of each turn of the event loop at its end, which costs two to three times the CPU.",
            {"most": 5_000_000},
        ),
        ("classes", "names", "Classes of which messages are recorded. Without it all are."),
        (
            "sample",
            "share",
            "Share of the messages that is recorded (0 to 1). Each of them is recorded completely, and every relay "
            "records the same ones.",
            {"least": 0, "most": 1},
        ),
    ),
    check_trace,
)

RELAY = Section(
    "relay",
    RelayConf,
    "A relay that `lynxscale run` starts without the platform. If `NODE_CONFIG` is set, the platform's file and "
    "variables replace the sections `relay`, `names`, `limits` and `finals`.",
    directives(
        RelayConf,
        (
            "listen",
            "address",
            "Address on which the relay listens for clients. Without it the relay needs the platform's configuration.",
        ),
        (
            "admin-addr",
            "address",
            "Address of the admin server, which is for operators only: health, drain, resume. Without it there is no "
            "admin server.",
        ),
        ("name", "text", "Name of this relay in logs and traces, and in the section `cluster`."),
        (
            "state",
            "path",
            "Folder of the journal and the last valid endpoint lists; it is created if it does not exist.",
        ),
        (
            "seed",
            "text",
            "Seed of the random number generators: a hexadecimal number, or any other text, whose checksum is used.",
        ),
        (
            "discovery",
            "address",
            "Address of a service discovery server that returns endpoints over HTTP. Without it endpoints come only "
            "from `files` in the section `members`.",
        ),
        (
            "sockets",
            "count",
            "Maximum number of open file descriptors; the limit of the process applies if it is lower.",
            {"least": 64, "most": 1 << 20},
        ),
        ("disk", "size", "Maximum size of the journal.", {"least": 10_000, "most": 1 << 40}),
        (
            "relays",
            "count",
            "Number of relays that send to the same destinations; an advertised rate limit is divided among them.",
            {"least": 1, "most": 1000},
        ),
        ("place", "count", "Index of this relay among them, from 0; it must be below `relays`.", {"most": 999}),
    ),
)

NAMES = Section(
    "names",
    NamesConf,
    "Names that messages and lists may use. The order of the lines is significant.",
    directives(
        NamesConf,
        (
            "class",
            "row",
            "A class of messages. `effect` (required) says whether a message that may have been executed may be sent "
            "again: `idempotent` at any time, `deduplicated` under its key for the time `span` (then required), "
            "`at_most_once` never. `aim` (required) is the latency target; `deadline` (required) is the usual time "
            "from submission to a message's own deadline, which its client may set to at most twice as much. `worth` "
            "is the value of a delivery within the aim (default 1), `late-worth` the share of it that remains after "
            "the aim (default 0; see `late` in the section `limits`).",
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
            "A tenant, which submits messages. `quota` is in messages a second, summed over all relays; `share` is "
            "from 0 to 1. Neither influences how this relay sends messages. Without any line all messages belong to "
            "one tenant.",
            {"columns": (column("quota", "share", most=1e6), column("share", "share", most=1.0))},
        ),
        (
            "kind",
            "row",
            "A kind of endpoint. `per-call`: maximum number of messages in a call (default 1). `apart`: whether each "
            "endpoint has a rate limit of its own (default no).",
            {"columns": (column("per-call", "count", least=1, most=1000), column("apart", "flag"))},
        ),
        (
            "zone",
            "row",
            "A zone. `fee`: price of sending a message to an endpoint in it, on the scale of `worth` (default 0). It "
            "counts only for destinations with several endpoints of a kind with `apart yes`.",
            {"columns": (column("fee", "share", most=1e6),)},
        ),
        (
            "report",
            "names",
            "Names of the columns of the load that destinations report in the header `Srv-Load`; a report that lacks "
            "one of them is ignored. Two are used: `x0`, the remaining share of the rate limit's allowance, and `x1`, "
            "the rate limit in calls a second. Without it all reports are ignored.",
        ),
    ),
    check_names,
)

LIMITS = Section(
    "limits",
    LimitsConf,
    "Limits of pending messages and concurrent calls, and what destinations permit.",
    directives(
        LimitsConf,
        ("slots", "count", "Maximum number of concurrent calls to endpoints.", {"least": 1, "most": 100_000}),
        ("held", "count", "Maximum number of pending messages.", {"least": 1, "most": 1_000_000}),
        ("tries", "count", "Maximum number of attempts per message.", {"least": 1, "most": 1000}),
        ("cancel", "flag", "Whether an attempt may be cancelled by closing its connection."),
        ("probes", "flag", "Whether endpoints may be probed for their load. The scheduler sends no such probes."),
        (
            "idle-close",
            "time",
            "Idle time after which destinations close a connection. The relay closes its idle connections after 0.9 "
            "of it.",
            {"least": 100_000, "most": TIMES["h"]},
        ),
        (
            "dial",
            "time",
            "Time after which an attempt to connect to an endpoint fails.",
            {"least": 10_000, "most": 60_000_000},
        ),
        (
            "retry-after-most",
            "time",
            "Maximum retry delay that clients are sent (`Retry-After`, `again_ms`) with a message that the relay gave "
            "up and that they may submit again. 0us: the delay is always 0.",
            {"most": TIMES["h"]},
        ),
        (
            "drain-grace",
            "time",
            "Time for which calls in progress may continue at a draining endpoint.",
            {"most": TIMES["h"]},
        ),
        (
            "cold-share",
            "share",
            "Share of its capacity that a destination has directly after an outage (0.01 to 1).",
            {"least": 0.01, "most": 1},
        ),
        (
            "warm-up",
            "time",
            "Time from the end of an outage until a destination has its full capacity again. 0us stands for 15s.",
            {"most": TIMES["h"]},
        ),
        (
            "tip-multiple",
            "share",
            "Multiple of a destination's rate above which it is overloaded.",
            {"least": 1, "most": 100},
        ),
        (
            "tip-after",
            "time",
            "Time for which the load must exceed `tip-multiple` until the destination fails. 0us stands for 3s.",
            {"most": TIMES["h"]},
        ),
        (
            "late",
            "choice",
            "Value of a message after its aim. `lost`: it falls linearly, to its `late-worth` at the deadline; "
            "`halving`: it halves every `aim`, down to its `late-worth`.",
            {"among": ("lost", "halving")},
        ),
    ),
)

FINALS = Section(
    "finals",
    FinalsConf,
    "Where the relay reports messages that it gave up: a file of JSON lines or an HTTP address, not both.",
    directives(
        FinalsConf,
        (
            "file",
            "path",
            "File of JSON lines with id, status, ts (Unix time in seconds), and again_ms if the client may submit the "
            "message again after that time.",
        ),
        (
            "size",
            "size",
            "Size at which the file is closed and the next one started.",
            {"least": 4 << 10, "most": 1 << 40},
        ),
        ("files", "count", "Number of closed files that are kept in addition to the current one.", {"most": 1000}),
        ("http", "address", "Address of an HTTP server that accepts JSON lines by POST and answers 204."),
        ("path", "text", "Path of these requests."),
    ),
    check_finals,
)

MEMBERS = Section(
    "members",
    MembersConf,
    "Endpoint lists in watched files; see docs/operators/membership.md.",
    directives(
        MembersConf,
        (
            "files",
            "names",
            "Files to watch, and folders of files whose names end in `.list` or `.json`. Without it no files are "
            "watched.",
        ),
        (
            "precedence",
            "choice",
            "Which source is used for a destination that both discovery and a file list.",
            {"among": ("files", "discovery")},
        ),
        ("allow", "names", "IPv4 networks in which endpoints may be, such as 10.1.0.0/16."),
        ("deny", "names", "Networks within those of `allow` in which endpoints may not be."),
        ("checksum", "flag", "Whether a file must have a checksum in its closing line."),
        ("entries", "count", "Maximum number of endpoints in a file.", {"least": 1, "most": 1 << 20}),
        (
            "most-removed",
            "share",
            "Share of a destination's ready endpoints that a new version of a list may remove without approval (0 to "
            "1).",
            {"most": 1},
        ),
        (
            "last-endpoint",
            "choice",
            "Whether a version may remove a destination's last endpoint without approval: `allow`, or `ask` for "
            "approval.",
            {"among": ("allow", "ask")},
        ),
        (
            "most-moved",
            "share",
            "Share of a destination's weight that a version may move without approval (0 to 100; 1 is its complete "
            "weight).",
            {"most": 100},
        ),
        (
            "on-guard",
            "choice",
            "What happens to a version that needs approval by `most-removed`, `last-endpoint` or `most-moved`. "
            "`hold`: it waits for `lynxscale list approve`; `reject`: it is rejected. Its drains are applied at once "
            "in either case.",
            {"among": ("hold", "reject")},
        ),
        (
            "ramp",
            "time",
            "Time over which a weight is raised in steps to a higher value; 0us raises it at once. A lower weight "
            "takes effect at once.",
            {"most": TIMES["h"]},
        ),
        (
            "poll",
            "time",
            "Interval at which files are checked, in addition to the changes that the operating system reports at "
            "once.",
            {"least": 50_000, "most": 1_000_000},
        ),
    ),
    check_members,
)

CLUSTER = Section(
    "cluster",
    ClusterConf,
    "Relays that form a cluster; see docs/operators/cluster.md. The section has no effect if the platform runs the "
    "relay.",
    directives(
        ClusterConf,
        (
            "name",
            "text",
            "Name of the cluster; relays with another cluster name are ignored. Without it there is no cluster.",
        ),
        (
            "listen",
            "address",
            "Address on which this relay listens for the others, on UDP and TCP; it must be in a closed network.",
        ),
        (
            "member",
            "row",
            "A relay of the cluster and the address at which this relay reaches it. This relay must be listed too, "
            "under its `name` in the section `relay`.",
            {"plain": (column("at", "address"),), "columns": (column("zone", "text"),)},
        ),
        (
            "probe",
            "time",
            "Interval at which a relay probes one of the others. It must be the same on all relays of the cluster.",
            {"least": 100_000, "most": 10_000_000},
        ),
    ),
    check_cluster,
)

SECTIONS = (LOG, TRACE, RELAY, NAMES, LIMITS, FINALS, MEMBERS, CLUSTER)
