"""Histories of a simulated cluster: a few seconds of faults, followed by a period without any.

At the end of a history all running nodes have to share one view.
"""

from __future__ import annotations

import sys
from collections.abc import Callable

from lab.cluster.simulated_faults import FaultSchedule, majority_has_state
from lab.cluster.world import SECOND, World
from lab.model_checker import InvariantViolation
from lynxscale.relay.cluster.core import Core

FORM_TIMEOUT_S = 20  # until the first view
SETTLE_TIMEOUT_S = 25  # from the last fault until all nodes share one view
EXTRA_TIMEOUT_PER_NODE_S = 1.0  # for each node beyond sixteen: each view change adds only a few nodes
MAX_NODES_SHOWN = 8  # in the text of a violation


def history(nodes: int, seed: int, seconds: int = 15, mistake: Callable[[Core], None] | None = None) -> World:
    """Run one seeded history to its end. Raises InvariantViolation, with the seed."""
    world = World(nodes, seed, mistake=mistake)
    extra_s = EXTRA_TIMEOUT_PER_NODE_S * max(0, nodes - 16)
    try:
        for name in world.names:
            world.at(world.rng.randrange(SECOND), world.start, name)
        if not world.run_until_agreed(world.names, int((FORM_TIMEOUT_S + extra_s) * SECOND)):
            raise InvariantViolation(f"no first view: {_describe(world)}")
        FaultSchedule(world).inject(seconds)
        world.run(world.now + (seconds + 12) * SECOND)
        for link in world.network.values():
            link.cut, link.loss = False, 0.0
        for name in world.names:
            world.resume(name)
            world.start(name)
        if not world.run_until_agreed(world.names, int((SETTLE_TIMEOUT_S + extra_s) * SECOND)):
            world.undecidable = not majority_has_state(world, "")
            if not world.undecidable:
                raise InvariantViolation(f"no common view after the last fault: {_describe(world)}")
    except InvariantViolation as breach:
        raise InvariantViolation(f"seed {seed}, {nodes} nodes, at {world.now / SECOND:.3f} s: {breach}") from breach
    return world


def _describe(world: World) -> str:
    """Describes the newest view, and some of the nodes that are not in it or may not act."""
    newest = max(world.digests, default=0)
    rows = []
    for name, machine in world.machines.items():
        process = machine.process
        if process is None:
            rows.append(f"{name} is down")
            continue
        views = process.core.agreement
        if views.number == newest and views.may_act(machine.to_local_time(world.now)):
            continue
        rows.append(
            f"{name}/{process.core.me.generation} {views.status.value} in view {views.number} "
            f"of {' '.join(f'{one.name}/{one.generation}' for one in views.view.members) if views.view else '-'}"
            f" votes {views.durable.votes} checked {sorted(views.exchanged_with)} "
            f"sees {' '.join(process.core.detector.reachable())}"
        )
    rows[MAX_NODES_SHOWN:] = [f"and {len(rows) - MAX_NODES_SHOWN} more"] if len(rows) > MAX_NODES_SHOWN else []
    head = f"view {newest} has {len(world.digests[newest].members)} members" if newest else "no view"
    return "; ".join([head, *rows])


def main() -> None:
    """``python -m lab.cluster.simulate FIRST LAST [NODES]``: run these seeds; exit code 1 at the first violation."""
    first, last = int(sys.argv[1]), int(sys.argv[2])
    undecidable = 0
    for seed in range(first, last + 1):
        nodes = int(sys.argv[3]) if len(sys.argv) > 3 else 3 + seed % 5
        try:
            undecidable += history(nodes, seed).undecidable
        except InvariantViolation as breach:
            print(f"breach: {breach}")
            sys.exit(1)
    print(f"{last - first + 1} histories, seeds {first} to {last}: no breach; in {undecidable} no majority remembered")


if __name__ == "__main__":
    main()
