"""Golden data of the control plane in ``tests/data/tier``: how it is loaded, and how a tier is run on a copy of it.

Stored and sent structures are looked up here and nowhere else in these tests: the tag tells a message's class,
``STRUCTS`` the class of everything without a tag. Values are positional, so a renamed field changes the bytes alone.
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
from lynxscale.controlplane import configuration_endpoint, program_state, retention, status, turn_history
from lynxscale.coordination import acceptor_state, messages
from lynxscale.coordination.acceptor_state import AcceptorStateFile, MemberIdentity
from lynxscale.coordination.store import Store
from lynxscale.coordination.version_files import VersionFiles
from lynxscale.dataplane import status as relay_status
from lynxscale.discovery.endpoint import Endpoint
from lynxscale.discovery.endpoint_poller import EndpointPage
from lynxscale.runtime.durable_files import DurableFiles

DATA = Path(__file__).parent / "data" / "tier" / "v1"
SEED = 5
CONTROLS = 4
RELAY = "10.9.0.1:7000"
SETTLE_S = 2.0
ANSWER_S = 4.0
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
    "kept": retention.RetentionRecord,
    "current_configuration": configuration_endpoint.CurrentConfiguration,
    "register_state": acceptor_state.AcceptorState,
    "page": EndpointPage,
    "replica_status": status.ReplicaStatus,
    "control_status": status.ControlStatus,
    "endpoint_status": relay_status.EndpointStatus,
    "relay_status": relay_status.RelayStatus,
}
WIRE: dict[str, type] = {kind.__struct_config__.tag: kind for kind in get_args(messages.Wire)}


def lines(name: str) -> list[dict]:
    """A golden JSON-lines file."""
    return [json.loads(line) for line in (DATA / name).read_text().splitlines()]


def expected(name: str) -> dict:
    """A golden JSON file."""
    return json.loads((DATA / name).read_text())


def files_of(folder: Path) -> dict[str, bytes]:
    """All files of a folder and those below, by path."""
    return {str(path.relative_to(folder)): path.read_bytes() for path in sorted(folder.rglob("*")) if path.is_file()}


# Structures ------------------------------------------------------------------------------------------


def build(kind: Any, plain: Any) -> Any:
    """A value of a type from plain JSON: structures are lists of their fields, tagged ones an object of one tag."""
    origin, parts = get_origin(kind), get_args(kind)
    if origin in (Union, types.UnionType):
        return _build_one_of(parts, plain)
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        fields = msgspec.structs.fields(kind)
        return kind(*(build(field.type, value) for field, value in zip(fields, plain, strict=False)))
    if origin in (tuple, list):
        return origin(build(parts[0], one) for one in plain)
    if origin is dict:
        return {key: build(parts[1], value) for key, value in plain.items()}
    if kind is msgspec.Raw:
        return msgspec.Raw(plain.encode())
    return plain.encode() if kind is bytes else plain


def _build_one_of(kinds: tuple, plain: Any) -> Any:
    if plain is None:
        return None
    if isinstance(plain, dict):
        ((tag, fields),) = plain.items()
        return build({kind.__struct_config__.tag: kind for kind in kinds}[tag], fields)
    return build(next(kind for kind in kinds if kind is not types.NoneType), plain)


def positional(value: Any) -> Any:
    """The fields of a structure as nested tuples, without their names."""
    if isinstance(value, msgspec.Struct):
        return tuple(positional(one) for one in msgspec.structs.astuple(value))
    if isinstance(value, (tuple, list)):
        return tuple(positional(one) for one in value)
    return value


def tuples(plain: Any) -> Any:
    """Nested JSON lists as tuples."""
    return tuple(map(tuples, plain)) if isinstance(plain, list) else plain


# Storage ---------------------------------------------------------------------------------------------


def told(store: Store) -> dict:
    """What a store has loaded, as JSON."""
    return {
        "position": list(positional(store.position)),
        "held": list(positional(store.durable_position)),
        "damage": store.damage,
        "checksum": store.checksum(),
        "entries": {key: bytes(raw).decode() for key, raw in store.values.items()},
    }


def fold(folder: Path) -> None:
    """Write the version that a folder leads to whole, beside its batches."""
    files = DurableFiles(str(folder))
    store = Store(files)
    puts = [STRUCTS["put"](key, raw) for key, raw in store.values.items()]
    writer = VersionFiles(files).create_snapshot(store.position, puts)
    while not writer.step():
        pass


def open_register(folder: Path, address: str = SEEDS[0], bootstrap: bool = True) -> AcceptorStateFile:
    """The register of a folder, written where there is none."""
    return AcceptorStateFile(
        MemberIdentity(address, bootstrap, SEEDS), DurableFiles(str(folder)), Random(REGISTER_SEED)
    )


# A whole control plane -------------------------------------------------------------------------------


def start_tier(folder: Path) -> SimulatedTier:
    """Control members without relays, each on its machine's folder below this one, and the primary serves."""
    world = World(SEED)
    for number in range(1, CONTROLS + 1):
        host = f"10.0.0.{number}"
        world.machine(f"{host}:{INTERNAL_PORT}").files = DurableFiles(str(folder / host))
    tier = SimulatedTier(world, relays=0, controls=CONTROLS)
    assert world.run_until(lambda: tier.primary() is not None, ANSWER_S), "no primary in time"
    world.run(world.time + SETTLE_S)
    return tier


def drive(tier: SimulatedTier, steps: list[dict]) -> list[Any]:
    """The answers to orders of the operator and messages of a relay, one after the other."""
    return [_step(tier, step) for step in steps]


def _step(tier: SimulatedTier, step: dict) -> Any:
    if "operator" in step:
        answer = tier.operator_call(*_order(*step["operator"]))
        return [answer.status, answer.body.decode()]
    if "send" in step:
        return _send(tier, json.dumps(step["send"]).encode())
    tier.world.run(tier.world.time + step["wait"])
    return None


def _order(method: str, target: str, body: str, base: str | None) -> tuple[str, str, bytes, str | None]:
    return method, target, body.encode(), base


def _send(tier: SimulatedTier, payload: bytes) -> list[str]:
    """What the relay is answered to a message within the time for it, as sent."""
    answers: list[str] = []
    machine = tier.world.machine(RELAY)
    machine.receive = lambda message: answers.append(messages.encode(message).decode())
    machine.network().send(tier.primary().publisher.address, messages.decode(payload))
    tier.world.run(tier.world.time + SETTLE_S / 4)
    machine.receive = None
    return answers


def without_times(value: Any) -> Any:
    """JSON without its fractions, which are all durations."""
    if isinstance(value, dict):
        return {key: without_times(one) for key, one in value.items()}
    if isinstance(value, list):
        return [without_times(one) for one in value]
    return 0.0 if isinstance(value, float) else value
