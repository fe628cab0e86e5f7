"""Generates golden data of the control plane; ``v1`` was written by commit d667dea, the last before a renaming.

``v2`` holds only what has differed since records store their previous voters; it was written by the commit that added
these, with ``python tests/data/tier/generate.py --second FOLDER``.

``v3`` holds the messages and records of turns that state their runs and may be resumed, and the record of a
configuration that is stored in two forms; it was written by the commit that added the last of these, with
``python tests/data/tier/generate.py --third FOLDER``.

Never regenerate ``v1``: files written by the renamed program do not show that it still reads those of the earlier one.
If a format changes, add a folder for the new one beside ``v1``, and keep ``v1`` for as long as tiers with such files
may be upgraded. Run with ``lynxscale`` and ``lab`` of the wanted commit on the path:
``python tests/data/tier/generate.py FOLDER``.
"""

from __future__ import annotations

import base64
import json
import shutil
import sys
import tempfile
from pathlib import Path
from typing import Any

import msgspec

from lab.tier.simulated_tier import default_configuration
from lynxscale.controlplane import idempotency
from lynxscale.coordination import proposer, snapshot_writer
from lynxscale.coordination.store import Store
from lynxscale.coordination.version_files import VersionFiles
from lynxscale.runtime.durable_files import DurableFiles
from tests import golden

MAX_IDEMPOTENCY_RECORDS = 4  # so few that the oldest records are forgotten
SMALL_CHUNK = 200  # bytes: so small that a snapshot has several chunks
FOLDED_AT = 9  # number of batches that go into a snapshot
LONG_S, SHORT_S = 3600.0, 0.0
PROGRAM, OTHER = "agent-7", "agent-8"

NODES = ("10.0.0.1:7000#0", "10.0.0.2:7000#0", "10.0.0.3:7000#5f3a9c0d11e2")
RECORD = [4, NODES[0], list(NODES), list(NODES)]
NO_RECORD = [0, "", [], []]
AT, BEFORE = [3, 41], [2, 40]
PUTS = [["turn/a", '{"content":"aGk="}'], ['program/ü " x', "null"]]
BATCH = [BEFORE, AT, PUTS]
ADMISSION = [PROGRAM, "r1", 1000, 40, LONG_S, True]
ENDING = [PROGRAM, "r1", 12, LONG_S]
CONFIG = '{"generation":3,"routes":[],"services":[]}'

MESSAGES: list[tuple[str, list]] = [
    ("pre_vote", [5, NODES[0]]),
    ("pre_vote_reply", [5, NODES[1], True, 0.0, AT]),
    ("pre_vote_reply", [6, NODES[1], False, 0.75, [-1, -1]]),
    ("standing", [NODES[0]]),
    ("prepare", [4, NODES[0]]),
    ("promise", [4, NODES[1], RECORD, AT]),
    ("promise", [4, NODES[1], NO_RECORD, [0, 0]]),
    ("deny", [4, NODES[1], 6, 0.25, RECORD]),
    ("accept", [RECORD]),
    ("accepted", [4, NODES[1]]),
    ("lease_request", [RECORD, 17]),
    ("lease_grant", [4, 17, NODES[1], "node-2", True, 4, AT]),
    ("lease_grant", [4, 17, NODES[1], "node-2", False, 6, AT, True]),
    ("lease_release", [4]),
    ("lease_release", [4, NODES[1]]),
    ("take_over", [4]),
    ("join", [NODES[2], "node-3"]),
    ("join", [NODES[2], "node-3", True]),
    ("released", [4]),
    ("redirect", ["10.0.0.1:7000", 4]),
    ("redirect", ["", 0]),
    ("replicate", [4, BATCH]),
    ("replicate", [4, [[0, 0], [1, 1], []]]),
    ("stored", [4, NODES[1], AT]),
    ("state_part", [4, AT, "", "turn/a", False, PUTS]),
    ("state_part", [4, AT, "turn/a", "turn/z", True, []]),
    ("transfer_ask", [4, 9]),
    ("transfer_progress", [4, NODES[1], 9, AT, "turn/a"]),
    ("transfer_progress", [4, NODES[1], 0, AT, "turn/z", True]),
    ("digest_request", [4, AT]),
    ("digest_reply", [4, NODES[1], AT, 3735928559]),
    ("call", [1, golden.RELAY, 77, {"admit_turn": ADMISSION}]),
    ("call", [2, golden.RELAY, 77, {"admit_turn": [*ADMISSION, "r0", "q0"]}]),
    ("call", [3, golden.RELAY, 77, {"finish_turn": ENDING}]),
    ("call", [4, golden.RELAY, 77, {"finish_turn": [*ENDING, "ask\x00answer", "r0"]}]),
    ("call", [5, golden.RELAY, 77, {"finish_turn": [*ENDING, ""]}]),
    ("reply", [1, 77, {"turn_admitted": []}]),
    ("reply", [2, 77, {"turn_admitted": ["ask\x00answer", "q0"]}]),
    ("reply", [3, 77, {"turn_refused": [402]}]),
    ("reply", [4, 77, {"turn_finished": []}]),
    ("attach", [golden.RELAY, "north", {}]),
    ("attach", [golden.RELAY, "north", {"config": [0, 3], "endpoints/1/0": [4, 2]}]),
    ("update", ["10.0.0.1:7000", "10.0.0.1:7000", 4, 0.0, {}]),
    ("update", [golden.RELAY, "10.0.0.1:7000", 4, 1.5, {"config": [0, 3]}, {"config": [[0, 3], CONFIG]}]),
    ("heartbeat", [golden.RELAY]),
    ("suspicion", [golden.RELAY, "10.9.0.2:7000"]),
]
ENDPOINT = ["i-1", "model", "10.2.0.1:90", "north", 8, "ready"]
REPLICA = [NODES[1], "node-2", True, True, 0.25]
STATUS = ["node-1", NODES[0], "primary", True, 4, "10.0.0.1:7000", "3/41", 3, 2, [golden.RELAY], ["node-3"]]
RELAY_ENDPOINTS = [["i-1", "model", True, 2, 8, None], ["i-2", "tools", False, 0, 4, 12.5]]
STRUCTS: list[tuple[str, list]] = [
    ("position", AT),
    ("epoch_record", RECORD),
    ("epoch_record", NO_RECORD),
    ("put", PUTS[0]),
    ("put", PUTS[1]),
    ("batch", BATCH),
    ("version", []),
    ("version", [4, 2]),
    ("topic", [[4, 2], '["10.0.0.1:7000"]']),
    ("endpoint", ENDPOINT),
    ("roster_entry", [golden.RELAY, "north"]),
    ("program", [1000]),
    ("program", [1000, 12, {"r1": 40, "r2": 7}, 3600.0]),
    ("turn", ["ask\x00answer"]),
    ("turn", ["ask\x00answer", "r0", 3630.0]),
    ("kept", []),
    ("kept", [3630.0, "r0"]),
    ("current_configuration", [3, CONFIG]),
    ("register_state", [NODES[0], NO_RECORD]),
    ("register_state", [NODES[0], RECORD, 6, NODES[1]]),
    ("page", [[ENDPOINT]]),
    ("page", [[ENDPOINT], "next"]),
    ("replica_status", REPLICA),
    ("control_status", [*STATUS, [REPLICA]]),
    ("endpoint_status", RELAY_ENDPOINTS[0]),
    ("relay_status", ["10.1.0.1:7000", True, False, 3, 0.5, "root", "10.0.0.1:7000", RELAY_ENDPOINTS]),
]
# Acceptor states: the first one of a founding member, that of a member that joins later, and one with all fields set.
REGISTERS: dict[str, tuple[str, bool, list | None]] = {
    "founder": (golden.SEEDS[0], True, None),
    "newcomer": ("10.0.0.9:7000", False, None),
    "promised": (golden.SEEDS[0], True, [NODES[0], RECORD, 6, NODES[1]]),
}
# A record whose voters have changed, and one whose voters have not.
PREVIOUS = ("10.0.0.1:7000#0", "10.0.0.2:7000#0", "10.0.0.3:7000#0")
CHANGED, UNCHANGED = [*RECORD, list(PREVIOUS)], [*RECORD, list(NODES)]
SECOND_MESSAGES: list[tuple[str, list]] = [
    ("promise", [4, NODES[1], CHANGED, AT]),
    ("promise", [4, NODES[1], UNCHANGED, AT]),
    ("deny", [4, NODES[1], 6, 0.25, CHANGED]),
    ("accept", [CHANGED]),
    ("lease_request", [CHANGED, 17]),
]
SECOND_STRUCTS: list[tuple[str, list]] = [
    ("epoch_record", CHANGED),
    ("epoch_record", UNCHANGED),
    ("register_state", [NODES[0], CHANGED, 6, NODES[1]]),
]
SECOND_REGISTERS: dict[str, tuple[str, bool, list | None]] = {
    "promised": (golden.SEEDS[0], True, [NODES[0], UNCHANGED, 6, NODES[1]]),
    "changed": (golden.SEEDS[0], True, [NODES[0], CHANGED, 6, NODES[1]]),
}
# Turns that state their runs and whose streams may be resumed.
RUN, EVENTS = "9f3c0d11e2a45b67", [["1", "a\x00b"], ["", "ü"]]
THIRD_MESSAGES: list[tuple[str, list]] = [
    ("call", [6, golden.RELAY, 77, {"admit_turn": [*ADMISSION, "r0", "q0", 3, RUN, "agent-7/main", "12"]}]),
    ("call", [8, golden.RELAY, 77, {"admit_turn": [*ADMISSION, "r0", "q0", 3, RUN, "agent-7/main", "12", 6.5]}]),
    ("call", [7, golden.RELAY, 77, {"finish_turn": [*ENDING, "ask\x00answer", "r0", 3, RUN]}]),
    ("reply", [6, 77, {"turn_admitted": ["ask\x00answer", "q0", EVENTS]}]),
    ("reply", [8, 77, {"turn_admitted": ["", "", EVENTS, "10.0.0.1:7000"]}]),
    ("reply", [7, 77, {"turn_refused": [409]}]),
    ("turn_events", [RUN, 13, EVENTS]),
    ("call", [9, golden.RELAY, 77, {"admit_turn": [*ADMISSION, "r0", "q0", 3, RUN, "agent-7/main", "12", 6.5, RUN]}]),
]
WRITTEN = '{"generation":3.0,"routes":[],"services":[]}'
THIRD_STRUCTS: list[tuple[str, list]] = [
    ("turn", ["ask\x00answer", "r0", 3630.0, RUN]),
    ("stored_run", [RUN]),
    ("current_configuration", [3, CONFIG, WRITTEN]),
]


def line(table: dict[str, type], name: str, fields: list) -> dict:
    """A row of the golden data: a struct's bytes; as ``short``, its bytes without the fields left at their defaults."""
    kind = table[name]
    value = golden.build(kind, fields)
    whole = msgspec.json.encode(value)
    row = {"name": name, "fields": fields, "bytes": whole.decode()}
    if not kind.__struct_config__.array_like:
        defaults = len(msgspec.structs.fields(kind)) - len(fields)
        told = msgspec.json.decode(whole)
        for field in msgspec.structs.fields(kind)[len(fields) :]:
            del told[field.encode_name]
        if defaults:
            row["short"] = msgspec.json.encode(told).decode()
    return row


def text(content: bytes) -> str:
    """Bytes in base64, as messages contain them."""
    return base64.b64encode(content).decode()


def call(number: int, kind: str, **body: Any) -> dict:
    """A step: a relay sends a call."""
    told = {"type": "call", "number": number, "caller": golden.RELAY, "life": 77, "body": {"type": kind, **body}}
    return {"send": told}


def admit(number: int, request: str, **more: Any) -> dict:
    """A step: a relay asks to admit a turn."""
    body = {"program": PROGRAM, "request": request, "budget": 1000, "most": 100, "retention_s": LONG_S}
    return call(number, "admit_turn", **(body | {"retained": True} | more))


def finish(number: int, request: str, tokens: int, content: bytes | None = None, **more: Any) -> dict:
    """A step: a relay reports the end of a turn."""
    body = {"program": PROGRAM, "request": request, "tokens": tokens, "retention_s": LONG_S}
    if content is not None:
        body["content"] = text(content)
    return call(number, "finish_turn", **(body | more))


def order(method: str, target: str, body: dict | None = None, base: int | None = None) -> dict:
    """A step: an operator's HTTP request."""
    content = "" if body is None else json.dumps(body)
    return {"operator": [method, target, content, None if base is None else str(base)]}


def replacing(generation: int) -> dict:
    """A step: the operator replaces the configuration."""
    return order("POST", "/config/replace", default_configuration(generation), generation - 1)


UPDATE = {
    "generation": 6,
    "upsert": {"services": [{"name": "extra", "max-connections": 5}]},
    "remove": {"routes": ["open"]},
}
UPDATING = order("POST", "/config/update", UPDATE, 5)
ATTACH = {"send": {"type": "attach", "sender": golden.RELAY, "zone": "north", "have": {}}}

BEFORE_RESTART: list[dict] = [
    *(replacing(generation) for generation in range(1, 6)),
    UPDATING,
    admit(1, "t1"),
    finish(2, "t1", 60, b"first question\nfirst answer\n"),
    admit(3, "t2", previous="t1"),
    finish(4, "t2", 70, b"second question\nsecond answer \xff\x00\n", previous="t1"),
    admit(5, "t3", previous="t2", cached="t1"),
    finish(6, "t3", 80, b"third question\nthird answer\n", previous="t2"),
    admit(7, "open1"),
    admit(8, "open2", most=200),
    admit(9, "dropped", most=300),
    finish(10, "dropped", 0),
    admit(11, "over", most=5000),
    admit(12, "free", program="", budget=-1),
    finish(13, "free", 10, b"no budget\n", program=""),
    admit(14, "empty", program=OTHER, budget=50, most=50),
    finish(15, "empty", 0, b"", program=OTHER),
    admit(16, "short", program=OTHER, budget=500, most=20, retention_s=SHORT_S),
    finish(17, "short", 20, b"soon gone\n", program=OTHER, retention_s=SHORT_S),
    order("POST", "/retire/node-10.0.0.4/start"),
    {"wait": 45.0},
    admit(18, "open3", program=OTHER, budget=500, most=30),
]
AFTER_RESTART: list[dict] = [
    order("GET", "/status"),
    order("GET", "/config/read"),
    ATTACH,
    admit(20, "t4", previous="t3"),
    admit(21, "t5", previous="t3", cached="t2", most=10),
    admit(22, "t6", previous="empty", budget=-1),
    admit(23, "t7", previous="free", budget=-1),
    admit(24, "t8", previous="short", budget=-1),
    admit(25, "t9", previous="never", budget=-1),
    admit(26, "open1"),
    finish(27, "open1", 40),
    finish(28, "open1", 40),
    admit(29, "too much", most=441),
    admit(30, "the rest", most=440),
    admit(31, "nothing more", most=1),
    finish(32, "open3", 30, program=OTHER),
    admit(33, "other's rest", program=OTHER, budget=0, most=450),
    admit(34, "other's end", program=OTHER, budget=0, most=1),
    finish(35, "t4", 50, b"fourth question\nfourth answer\n", previous="t3"),
    admit(36, "t10", previous="t4", budget=-1),
    UPDATING,
    replacing(5),
    replacing(1),
    order("POST", "/config/replace", default_configuration(9), 5),
    order("POST", "/retire/node-10.0.0.4/start"),
    order("GET", "/retire/node-10.0.0.4/read"),
    order("GET", "/retire/node-10.0.0.3/read"),
    order("GET", "/status"),
    order("POST", "/config/update", {"generation": 7, "remove": {"services": ["extra"]}}, 6),
    order("GET", "/config/read"),
]


def write_lines(path: Path, rows: list[dict]) -> None:
    """Write a JSON-lines file."""
    path.write_text("".join(json.dumps(row, ensure_ascii=False) + "\n" for row in rows))


def answered(steps: list[dict], answers: list[Any]) -> list[dict]:
    """Each step with its answer."""
    return [step | {"answer": answer} for step, answer in zip(steps, answers, strict=True)]


def write_tier(target: Path, scratch: Path) -> None:
    """Write the folders of four control members, and the answers before and after a restart from these folders."""
    usual, idempotency.MAX_IDEMPOTENCY_RECORDS = idempotency.MAX_IDEMPOTENCY_RECORDS, MAX_IDEMPOTENCY_RECORDS
    tier = golden.start_tier(target / "members")
    write_lines(target / "before.jsonl", answered(BEFORE_RESTART, golden.drive(tier, BEFORE_RESTART)))
    tier.world.run(tier.world.time + golden.SETTLE_S)
    idempotency.MAX_IDEMPOTENCY_RECORDS = usual
    shutil.copytree(target / "members", scratch / "members")
    again = golden.start_tier(scratch / "members")
    write_lines(target / "after.jsonl", answered(AFTER_RESTART, golden.drive(again, AFTER_RESTART)))


def write_folders(target: Path) -> None:
    """Write folders as crashes at different moments leave them, or with damage, and the state loaded from each."""
    source = target / "members" / "10.0.0.1"
    batches = sorted(path.name for path in source.glob("batch-*"))
    folders = target / "folders"

    def copy(name: str, wanted: list[str]) -> Path:
        folder = folders / name
        folder.mkdir(parents=True)
        for one in wanted:
            shutil.copy(source / one, folder / one)
        return folder

    marks = ["mark", "mark.second"]
    copy("batches", [*batches, *marks])
    folded = copy("whole", batches[:FOLDED_AT])
    golden.fold(folded)
    whole = next(folded.glob("state-*"))
    # Before superseded files are removed; then after that, with later batches.
    shutil.copytree(folded, folders / "whole-not-swept")
    VersionFiles(DurableFiles(str(folded))).remove_superseded(Store(DurableFiles(str(folded))).position)
    for one in [*batches[FOLDED_AT:], *marks]:
        shutil.copy(source / one, folded / one)
    usual, snapshot_writer.CHUNK_BYTES = snapshot_writer.CHUNK_BYTES, SMALL_CHUNK
    frames = copy("whole-in-frames", batches)
    golden.fold(frames)
    snapshot_writer.CHUNK_BYTES = usual
    for one in batches:
        (frames / one).unlink()
    half = copy("cut-off-whole", [*batches, *marks])
    content = whole.read_bytes()
    (half / (whole.name + ".aside")).write_bytes(content[: len(content) // 2])
    newest = (source / batches[-1]).read_bytes()
    aside = copy("cut-off-batch", batches[:-1])
    (aside / (batches[-1] + ".aside")).write_bytes(newest[: len(newest) // 2])
    torn = copy("torn-batch", batches)
    (torn / batches[-1]).write_bytes(newest[: len(newest) // 2])
    copy("missing-batch", [one for one in batches if one != batches[3]])
    copy("missing-newest", [*batches[:-1], *marks])
    rows = {}
    with tempfile.TemporaryDirectory() as scratch:
        for folder in sorted(folders.iterdir()):
            copied = shutil.copytree(folder, Path(scratch) / folder.name)
            rows[folder.name] = golden.told(Store(DurableFiles(str(copied))))
    (target / "folders.json").write_text(json.dumps(rows, ensure_ascii=False, indent=1) + "\n")


def write_registers(target: Path, registers: dict[str, tuple[str, bool, list | None]]) -> None:
    """Write acceptor states with both of their files, and the values they hold."""
    rows = {}
    for name, (address, bootstrap, fields) in registers.items():
        register = golden.open_register(target / "registers" / name, address, bootstrap)
        if fields is not None:
            register.save(golden.build(type(register.state), fields))
        rows[name] = [address, bootstrap, golden.positional(register.state)]
    (target / "registers.json").write_text(json.dumps(rows, indent=1) + "\n")


def write_second(target: Path) -> None:
    """Write ``v2``: messages, structs and acceptor states with previous voters."""
    write_lines(target / "messages.jsonl", [line(golden.WIRE, name, fields) for name, fields in SECOND_MESSAGES])
    write_lines(target / "structs.jsonl", [line(golden.STRUCTS, name, fields) for name, fields in SECOND_STRUCTS])
    write_registers(target, SECOND_REGISTERS)
    usual = idempotency.MAX_IDEMPOTENCY_RECORDS, proposer.LATE_PROMISE_S
    idempotency.MAX_IDEMPOTENCY_RECORDS, proposer.LATE_PROMISE_S = MAX_IDEMPOTENCY_RECORDS, 0.0
    with tempfile.TemporaryDirectory() as scratch:
        tier = golden.start_tier(Path(scratch))
        golden.drive(tier, golden.read_lines("before.jsonl"))
        tier.world.run(tier.world.time + golden.SETTLE_S)
        for path in Path(scratch).glob("*/register*"):
            copied = target / "members" / path.parent.name / path.name
            copied.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy(path, copied)
    idempotency.MAX_IDEMPOTENCY_RECORDS, proposer.LATE_PROMISE_S = usual


def main() -> None:
    """Write everything into a new folder."""
    target = Path(sys.argv[-1])
    target.mkdir()
    if "--third" in sys.argv:
        write_lines(target / "messages.jsonl", [line(golden.WIRE, name, fields) for name, fields in THIRD_MESSAGES])
        write_lines(target / "structs.jsonl", [line(golden.STRUCTS, name, fields) for name, fields in THIRD_STRUCTS])
        return
    if "--second" in sys.argv:
        write_second(target)
        return
    tagged = golden.WIRE
    write_lines(target / "messages.jsonl", [line(tagged, name, fields) for name, fields in MESSAGES])
    assert {name for name, _ in MESSAGES + THIRD_MESSAGES} == set(tagged)
    write_lines(target / "structs.jsonl", [line(golden.STRUCTS, name, fields) for name, fields in STRUCTS])
    with tempfile.TemporaryDirectory() as scratch:
        write_tier(target, Path(scratch))
    write_folders(target)
    write_registers(target, REGISTERS)


if __name__ == "__main__":
    main()
