"""Checks of the combined directives of a section.

Each check returns a list of faults: the name of a directive, and a text that says what is wanted instead.
"""

from __future__ import annotations

from lynxscale.relay.conf.settings import ClusterConf, FinalsConf, MembersConf, NamesConf, TraceConf

MAX_RELAYS = 256  # maximum number of relays in a cluster
MAX_NAME_CHARS = 63  # a relay's name, as limited by the frames between relays


def check_trace(conf: TraceConf) -> list[tuple[str, str]]:
    """The faults of section trace."""
    faults = []
    if conf.file_size > conf.total // 2:
        faults.append(
            (
                "file-size",
                "want at most half of total, so that the oldest file can be deleted while a new one is written",
            )
        )
    if conf.level == "decisions" and (conf.sample < 1 or conf.classes):
        faults.append(("level", "decisions needs every message: want no classes, and a sample of 1"))
    return faults


def check_members(conf: MembersConf) -> list[tuple[str, str]]:
    """The faults of section members."""
    # Imported here because netaddr, which it uses, would slow the start of relays that watch no files.
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


def check_cluster(conf: ClusterConf) -> list[tuple[str, str]]:
    """The faults of section cluster."""
    if conf.name is None:
        return [(word, "want name, of the cluster") for word in ("listen", "member") if getattr(conf, word)]
    faults = []
    if conf.listen is None:
        faults.append(("name", "want listen, the address at which this relay listens for the others"))
    elif conf.listen.endswith(":0"):
        faults.append(("listen", "want a fixed port, as the other relays connect to it"))
    if not 1 <= len(conf.member) <= MAX_RELAYS:
        faults.append(("member", f"want a line for each relay, this one too; {MAX_RELAYS} at most"))
    for key in ("name", "at"):
        values = [row[key] for row in conf.member]
        faults += [("member", f"want {one} once") for one in sorted({one for one in values if values.count(one) > 1})]
    faults += [
        ("member", f"want at most {MAX_NAME_CHARS} letters, not {row['name'][:20]}...")
        for row in conf.member
        if len(row["name"]) > MAX_NAME_CHARS
    ]
    faults += [("member", f"want a port for {row['name']}") for row in conf.member if row["at"].endswith(":0")]
    return faults


def check_names(conf: NamesConf) -> list[tuple[str, str]]:
    """The faults of section names."""
    faults = []
    for field in ("cls", "tenant", "kind", "zone"):
        names = [row["name"] for row in getattr(conf, field)]
        for name in sorted({name for name in names if names.count(name) > 1}):
            faults.append(("class" if field == "cls" else field, f"want {name} once"))
    for row in conf.cls:
        faults += [
            ("class", f"want {needed} for {row['name']}")
            for needed in ("effect", "aim", "deadline")
            if needed not in row
        ]
        if row.get("effect") == "deduplicated" and "span" not in row:
            faults.append(("class", f"want span for {row['name']}, the time for which its key is remembered"))
    return faults


def check_finals(conf: FinalsConf) -> list[tuple[str, str]]:
    """The faults of section finals."""
    return [("file", "want a file or http, not both")] if conf.file and conf.http else []
