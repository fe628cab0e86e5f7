"""Loads the golden data of the control plane in ``tests/data/tier``, and runs a tier on a copy of it.

Tests of golden data look up the classes of stored and sent structs only here: ``WIRE`` has those of messages by tag,
``STRUCTS`` those of structs without a tag. The data lists field values by position, so renaming a field changes only
the encoded bytes.
"""

from __future__ import annotations

import json
import types
from pathlib import Path
from random import Random
from typing import Any, Union, get_args, get_origin

import msgspec

from lab.tier.simulated_tier import INTERNAL_PORT, SimulatedTier
from lab.tier.world import World
from lynxscale.controlplane import newest_configuration, program_state, retention, status, turn_history
from lynxscale.coordination import acceptor_state, messages
from lynxscale.coordination.acceptor_state import AcceptorStateFile, MemberIdentity
from lynxscale.coordination.store import Store
from lynxscale.coordination.version_files import VersionFiles
from lynxscale.dataplane import status as relay_status
from lynxscale.discovery.endpoint import Endpoint
from lynxscale.discovery.endpoint_poller import EndpointPage
from lynxscale.runtime.durable_files import DurableFiles

DATA = Path(__file__).parent / "data" / "tier" / "v1"
SECOND = DATA.parent / "v2"
"""What differs since records store their previous voters."""
THIRD = DATA.parent / "v3"
"""The messages and records of turns that state their runs and may be resumed, and of a configuration in two forms."""
SEED = 5
CONTROL_COUNT = 4
RELAY = "10.9.0.1:7000"
SETTLE_S = 2.0
PRIMARY_TIMEOUT_S = 4.0
SEEDS = ("10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000")
REGISTER_SEED = 7

STRUCTS: dict[str, type] = {
    "position": messages.Position,
    "epoch_record": messages.EpochRecord,
    "put": messages.Put,
    "batch": messages.Batch,
    "version": messages.Version,
    "topic": messages.Topic,
    "endpoint": Endpoint,
    "roster_entry": messages.RosterEntry,
    "program": program_state.ProgramRecord,
    "turn": turn_history.TurnRecord,
    "stored_run": turn_history.StoredRun,
    "kept": retention.RetentionRecord,
    "current_configuration": newest_configuration.CurrentConfiguration,
    "register_state": acceptor_state.AcceptorState,
    "page": EndpointPage,
    "replica_status": status.ReplicaStatus,
    "control_status": status.ControlStatus,
    "endpoint_status": relay_status.EndpointStatus,
    "relay_status": relay_status.RelayStatus,
}
WIRE: dict[str, type] = {message.__struct_config__.tag: message for message in get_args(messages.Wire)}


def read_lines(name: str, version: Path = DATA) -> list[dict]:
    """The rows of a golden JSON-lines file."""
    return [json.loads(line) for line in (version / name).read_text().splitlines()]


def read_json(name: str, version: Path = DATA) -> dict:
    """The content of a golden JSON file."""
    return json.loads((version / name).read_text())


def read_files(folder: Path) -> dict[str, bytes]:
    """The contents of all files in a folder and its subfolders, by relative path."""
    return {str(path.relative_to(folder)): path.read_bytes() for path in sorted(folder.rglob("*")) if path.is_file()}


def written_now(folder: str) -> dict[str, bytes]:
    """The files that the present version writes in a golden folder: those of ``v2``, and the others of ``v1``."""
    return read_files(DATA / folder) | read_files(SECOND / folder)


# Structs ---------------------------------------------------------------------------------------------


def build(annotation: Any, data: Any) -> Any:
    """A value of a type from JSON: a struct is a list of its fields, a tagged one an object ``{tag: fields}``."""
    origin, arguments = get_origin(annotation), get_args(annotation)
    if origin in (Union, types.UnionType):
        return _build_union(arguments, data)
    if isinstance(annotation, type) and issubclass(annotation, msgspec.Struct):
        fields = msgspec.structs.fields(annotation)
        return annotation(*(build(field.type, value) for field, value in zip(fields, data, strict=False)))
    if origin in (tuple, list):
        return origin(build(arguments[0], element) for element in data)
    if origin is dict:
        return {key: build(arguments[1], value) for key, value in data.items()}
    if annotation is msgspec.Raw:
        return msgspec.Raw(data.encode())
    return data.encode() if annotation is bytes else data


def _build_union(members: tuple, data: Any) -> Any:
    if data is None:
        return None
    if isinstance(data, dict):
        ((tag, fields),) = data.items()
        return build({member.__struct_config__.tag: member for member in members}[tag], fields)
    return build(next(member for member in members if member is not types.NoneType), data)


def positional(value: Any) -> Any:
    """The field values of a struct as nested tuples, without the field names."""
    if isinstance(value, msgspec.Struct):
        return tuple(positional(item) for item in msgspec.structs.astuple(value) if item is not msgspec.UNSET)
    if isinstance(value, (tuple, list)):
        return tuple(positional(item) for item in value)
    return value


def to_tuples(data: Any) -> Any:
    """Nested JSON lists as tuples."""
    return tuple(map(to_tuples, data)) if isinstance(data, list) else data


# Storage ---------------------------------------------------------------------------------------------


def told(store: Store) -> dict:
    """The state that a store has loaded, as JSON."""
    return {
        "position": list(positional(store.position)),
        "held": list(positional(store.durable_position)),
        "damage": store.damage,
        "checksum": store.checksum(),
        "entries": {key: bytes(raw).decode() for key, raw in store.values.items()},
    }


def fold(folder: Path) -> None:
    """Write a snapshot of the state that a folder's batches lead to, beside them."""
    files = DurableFiles(str(folder))
    store = Store(files)
    puts = [STRUCTS["put"](key, raw) for key, raw in store.values.items()]
    writer = VersionFiles(files).create_snapshot(store.position, puts)
    while not writer.step():
        pass


def open_register(folder: Path, address: str = SEEDS[0], bootstrap: bool = True) -> AcceptorStateFile:
    """The acceptor state file in a folder; written if there is none."""
    return AcceptorStateFile(
        MemberIdentity(address, bootstrap, SEEDS), DurableFiles(str(folder)), Random(REGISTER_SEED)
    )


# A control plane -------------------------------------------------------------------------------------


def start_tier(folder: Path) -> SimulatedTier:
    """A tier of control members without relays, each with its own subfolder; returns once the primary serves."""
    world = World(SEED)
    for number in range(1, CONTROL_COUNT + 1):
        host = f"10.0.0.{number}"
        world.machine(f"{host}:{INTERNAL_PORT}").files = DurableFiles(str(folder / host))
    tier = SimulatedTier(world, relays=0, controls=CONTROL_COUNT)
    assert world.run_until(lambda: tier.primary() is not None, PRIMARY_TIMEOUT_S), "no primary in time"
    world.run(world.time + SETTLE_S)
    return tier


def drive(tier: SimulatedTier, steps: list[dict]) -> list[Any]:
    """Run the steps one after the other: operator requests, relay messages and waits; the answer to each."""
    return [_run_step(tier, step) for step in steps]


def _run_step(tier: SimulatedTier, step: dict) -> Any:
    if "operator" in step:
        answer = tier.operator_call(*_operator_arguments(*step["operator"]))
        return [answer.status, answer.body.decode()]
    if "send" in step:
        return _send(tier, json.dumps(step["send"]).encode())
    tier.world.run(tier.world.time + step["wait"])
    return None


def _operator_arguments(method: str, target: str, body: str, base: str | None) -> tuple[str, str, bytes, str | None]:
    return method, target, body.encode(), base


def _send(tier: SimulatedTier, payload: bytes) -> list[str]:
    """The encoded messages that a relay gets within ``SETTLE_S / 4`` after it sends one."""
    answers: list[str] = []
    machine = tier.world.machine(RELAY)
    machine.receive = lambda message: answers.append(messages.encode(message).decode())
    machine.network().send(tier.primary().publisher.address, messages.decode(payload))
    tier.world.run(tier.world.time + SETTLE_S / 4)
    machine.receive = None
    return answers


def without_times(value: Any) -> Any:
    """JSON with each float, always a duration, replaced by 0."""
    if isinstance(value, dict):
        return {key: without_times(element) for key, element in value.items()}
    if isinstance(value, list):
        return [without_times(element) for element in value]
    return 0.0 if isinstance(value, float) else value
