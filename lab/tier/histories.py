"""Random histories of simulated tiers with faults, and a check of each: ``python -m lab.tier.histories FIRST LAST``.

A history follows from its seed alone. The checker judges by what clients, operator and endpoints observed, and by the
members' own state at the end; each broken rule is reported by its name and the seed.
"""

from __future__ import annotations

import argparse
import logging
import sys
import time
from collections import Counter
from collections.abc import Callable
from random import Random

import msgspec
from attrs import frozen

from lab.tier.conditions import apply_conditions, draw_conditions
from lab.tier.fakes import ClientResponse, send_request
from lab.tier.fault_injection import FaultInjector, internal_address
from lab.tier.history_checker import MAX_TOKENS, Observations, ObservedChange, ObservedRead, ObservedTurn, check_history
from lab.tier.simulated_tier import CONTROL_PORT, SimulatedTier, default_configuration
from lab.tier.world import World
from lynxscale.dataplane.service import RelayService
from lynxscale.runtime.http_types import Head, Request

STEPS = 40
ACTION_WEIGHTS = (6, 4, 2, 2)  # of a turn, a call, a configuration order and a fault
PAUSE_S = (0.02, 0.5)
LOSS = 0.01
PROGRAMS = 4
BUDGETS = (80, 200, 1000)
RETRY_PROBABILITY = 0.4
"""With which an operator sends an earlier order again."""
QUIET_S = 6.0
"""Without faults at the end, before the state is checked."""
WATCH_INTERVAL_S = 0.02
READ_PAUSE_S = (0.05, 0.4)
"""Between two reads of the configuration."""
DRAIN_S = 3.0
"""After which a draining endpoint must receive no request."""
SIZES = ((3, 1), (3, 1), (4, 1), (5, 2), (3, 1), (6, 2), (7, 2), (9, 2))  # control members, tolerated losses


class History:
    """One history: clients, an operator and faults, interleaved at random."""

    def __init__(self, seed: int, varied: bool = False) -> None:
        """``varied``: disks, links and processors differ, by ``conditions``."""
        self.seed = seed
        self.world = World(seed, loss=LOSS)
        self.random = self.world.random
        size, tolerated = SIZES[seed % len(SIZES)]
        self.tier = SimulatedTier(self.world, controls=size, tolerated=tolerated)
        if varied:
            storage = [internal_address(host) for host in self.tier.control_hosts]
            relays = [internal_address(host) for host in self.tier.relay_hosts]
            apply_conditions(self.world, draw_conditions(seed, storage, relays))
        self.tier.start_serving()
        self.turns: list[ObservedTurn] = []
        self.calls: list[tuple[str, ClientResponse]] = []
        self.orders: list[ObservedChange] = [ObservedChange(0, default_configuration())]
        self.broken: Counter[str] = Counter()
        self.reads: list[ObservedRead] = []
        self._readers = Random(f"reads {seed}")  # of their own, so that the other draws are those of the seed
        self._faults = FaultInjector(self.tier)
        self._generations: dict[RelayService, int] = {}  # of the configuration, as seen last
        self._executed: dict[str, int] = {}  # by draining endpoint, as seen last
        self._number = 0
        self._watch()
        self._read()

    def play(self) -> Counter[str]:
        """Run to the end; the rules that were broken, by name."""
        for _ in range(STEPS):
            action = self.random.choices((self._turn, self._call, self._order, self._faults.inject), ACTION_WEIGHTS)[0]
            action()
            self.world.run(self.world.time + self.random.uniform(*PAUSE_S))
        self._faults.repair()
        self.world.loss = 0.0
        self.world.run(self.world.time + QUIET_S)
        self.broken += check_history(self.tier, Observations(self.turns, self.calls, self.orders, self.reads))
        return self.broken

    def _watch(self) -> None:
        """Check, while the history runs, what does not show at its end."""
        leaders = sum(one.member.leads() for one in self.tier.controls.values())
        if leaders > 1:
            self.broken["two_primaries"] += 1
        for relay in self.tier.relays.values():
            generation = relay.route_table.generation if relay.route_table else 0
            if generation < self._generations.get(relay, 0):
                self.broken["version_went_back"] += 1
            self._generations[relay] = generation
        for name, since in self._faults.draining.items():
            executed = len(self.tier.endpoints[name].executed)
            if self.world.time - since > DRAIN_S and executed > self._executed.get(name, executed):
                self.broken["drain"] += 1
            self._executed[name] = executed
        self.world.call_at(self.world.time + WATCH_INTERVAL_S, self._watch)

    # Clients and operator ----------------------------------------------------------------------------

    def _name(self, kind: str) -> str:
        self._number += 1
        return f"{kind}{self._number}"

    def _relay(self) -> str:
        return self.random.choice(self.tier.relay_hosts)

    def _turn(self) -> None:
        number = self.random.randrange(PROGRAMS)
        program, budget = f"p{number}", BUDGETS[number % len(BUDGETS)]
        complete = [seen for seen in self.turns if seen.program == program and seen.answer.complete]
        previous = self.random.choice([seen for seen in complete if seen.answer.status == 200] or [None])
        name, text = self._name("t"), f"say{self._number} ".encode()
        fields = {"program": program, "budget": str(budget), "lynxscale_token_count": f"10,{MAX_TOKENS}"}
        if previous is not None:
            fields["previous"] = previous.request_id
        answer, _ = self.tier.start_request("/kept/stream", self._relay(), text, request_id=name, **fields)
        before = previous.request_id if previous else ""
        self.turns.append(ObservedTurn(name, program, before, text, answer, budget))

    def _call(self) -> None:
        path = self.random.choice(("/book/1", "/look/1"))
        name = self._name("c")
        answer, _ = self.tier.start_request(path, self._relay(), request_id=name)
        self.calls.append((f"{path} {name}", answer))

    def _order(self) -> None:
        if self.random.random() < RETRY_PROBABILITY:
            order = self.random.choice(self.orders)
        else:
            order = self._new_order()
            self.orders.append(order)
        host = self.random.choice(self.tier.control_hosts)
        fields = ((b"host", b"c"), (b"lynxscale-base-version", b"%d" % order.base))
        path = "/config/update" if order.update else "/config/replace"
        request = Request("POST", path, Head(fields), msgspec.json.encode(order.update or order.table))
        answer, _ = send_request(self.world, self.tier.streams, f"{host}:{CONTROL_PORT}", request)
        order.answers.append(answer)
        order.sent_at.append(self.world.time)

    def _read(self) -> None:
        """Read the configuration from some member, again and again."""
        host = self._readers.choice(self.tier.control_hosts)
        request = Request("GET", "/config/read", Head(((b"host", b"c"),)))
        answer, _ = send_request(self.world, self.tier.streams, f"{host}:{CONTROL_PORT}", request)
        self.reads.append(ObservedRead(self.world.time, answer))
        self.world.call_at(self.world.time + self._readers.uniform(*READ_PAUSE_S), self._read)

    def _new_order(self) -> ObservedChange:
        """An order on the newest acknowledged version: a replacement, or an update where one order made that."""
        base = max(order.table["generation"] for order in self.orders if order.acknowledged or order.base == 0)
        order = ObservedChange(base, default_configuration(base + self.random.randint(1, 3)))
        route = order.table["routes"][0]
        route["target-latency-ms"] = 200 + len(self.orders)
        made = [one.table for one in self.orders if one.table["generation"] == base]
        if len(made) == 1 and len(self.orders) % 2:
            # All configurations here differ in the first route alone.
            order.update = {"generation": order.table["generation"], "upsert": {"routes": [route]}}
        return order


@frozen
class Tally:
    """Of a range of histories: how many were played, which rules were broken by seed, and the time in seconds."""

    played: int
    broken: dict[int, Counter[str]]
    turns: int
    served: int
    seconds: float

    def __str__(self) -> str:
        """One line."""
        breaches = sum(sum(rules.values()) for rules in self.broken.values())
        return (
            f"{self.played} histories played, {len(self.broken)} with breaches ({breaches}); "
            f"{self.served} of {self.turns} turns complete; {self.seconds:.0f} s"
        )


def play_range(first: int, last: int, varied: bool, on_breach: Callable[[int, Counter[str]], None]) -> Tally:
    """Play the histories of a range of seeds; one that cannot go on counts as a breach, none is passed over."""
    begun = time.monotonic()
    broken: dict[int, Counter[str]] = {}
    played = served = turns = 0
    for seed in range(first, last + 1):
        played += 1
        try:
            history = History(seed, varied)
            rules = history.play()
        except AssertionError as error:
            rules = Counter({f"ended: {error}": 1})
        else:
            turns += len(history.turns)
            served += sum(seen.answer.complete and seen.answer.status == 200 for seen in history.turns)
        if rules:
            broken[seed] = rules
            on_breach(seed, rules)
    return Tally(played, broken, turns, served, time.monotonic() - begun)


def main() -> int:
    """Play the histories of a range of seeds. Exit code 1 where a rule was broken; its seeds are printed."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("first", type=int)
    parser.add_argument("last", type=int)
    parser.add_argument("--varied", action="store_true", help="disks, links and processors differ by machine")
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    tally = play_range(
        options.first,
        options.last,
        options.varied,
        lambda seed, rules: print(f"seed {seed}: {dict(rules)}", flush=True),
    )
    print(f"seeds {options.first} to {options.last}: {tally}", flush=True)
    return int(bool(tally.broken))


if __name__ == "__main__":
    sys.exit(main())
