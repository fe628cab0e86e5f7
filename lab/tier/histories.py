"""Random histories of simulated tiers with faults, and a check of each: ``python -m lab.tier.histories FIRST LAST``.

A history is determined by its seed. The checker uses what clients, the operator and endpoints observed, and the state
of the members at the end. Each broken rule is reported with its name and the seed.
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

from lab.tier.conditions import apply_conditions, draw_conditions, overload_endpoints, relieve_endpoints
from lab.tier.fakes import ClientResponse, send_request
from lab.tier.fault_injection import FaultInjector, internal_address
from lab.tier.history_checker import MAX_TOKENS, Observations, ObservedChange, ObservedRead, ObservedTurn, check_history
from lab.tier.simulated_tier import CONTROL_PORT, SimulatedTier, default_configuration
from lab.tier.world import World
from lynxscale.dataplane.service import RelayService
from lynxscale.runtime.http_types import Head, Request

ACTIONS_PER_HISTORY = 40
ACTION_WEIGHTS = (6, 4, 2, 2)  # weights of a turn, a call, a configuration change and a fault
PAUSE_RANGE_S = (0.02, 0.5)
LOSS_PROBABILITY = 0.01
PROGRAMS = 4
BUDGETS = (80, 200, 1000)
RETRY_PROBABILITY = 0.4
"""The probability that the operator sends an earlier change again instead of a new one."""
RECOVERY_S = 6.0
"""Time without faults at the end of a history, before the state is checked."""
WATCH_INTERVAL_S = 0.02
OVERLOAD_INTERVAL_RANGE_S = (0.01, 0.06)
"""Time between two additional requests in histories with overloaded endpoints."""
OVERLOAD_PATHS = ("/book/1", "/book/1", "/look/1", "/open/stream")
READ_INTERVAL_RANGE_S = (0.05, 0.4)
"""Time between two reads of the configuration."""
DRAIN_TIMEOUT_S = 3.0
"""Time after which a draining endpoint must not receive requests."""
SIZES = ((3, 1), (3, 1), (4, 1), (5, 2), (3, 1), (6, 2), (7, 2), (9, 2))  # control members, tolerated losses


class History:
    """One history: random actions of clients and an operator, and random faults."""

    def __init__(self, seed: int, varied: bool = False, overloaded: bool = False) -> None:
        """Start a tier under the conditions of a seed, see ``conditions``.

        ``varied``: disks, links and processors differ between machines. ``overloaded``: endpoints are full for a part
        of the time and repeat answers late, and clients send many calls and streams.
        """
        self.seed = seed
        self.world = World(seed, loss=LOSS_PROBABILITY)
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
        self.changes: list[ObservedChange] = [ObservedChange(0, default_configuration())]
        self.broken: Counter[str] = Counter()
        self.reads: list[ObservedRead] = []
        self.streams: list[ClientResponse] = []
        self._read_random = Random(f"reads {seed}")  # separate, so that reads do not change the other draws
        self._faults = FaultInjector(self.tier)
        self._generations: dict[RelayService, int] = {}  # version of the configuration when last checked
        self._executed: dict[str, int] = {}  # requests of each draining endpoint when last checked
        self._number = 0
        self._watch_invariants()
        self._read()
        self._overloaded = overloaded
        self._overload_random = Random(f"crowd {seed}")
        if overloaded:
            overload_endpoints(self.tier.endpoints.values(), self._overload_random)
            self._send_overload()

    def play(self) -> Counter[str]:
        """Run the history and check it. Returns how often each rule was broken."""
        for _ in range(ACTIONS_PER_HISTORY):
            action = self.random.choices((self._turn, self._call, self._change, self._faults.inject), ACTION_WEIGHTS)[0]
            action()
            self.world.run(self.world.time + self.random.uniform(*PAUSE_RANGE_S))
        self._faults.repair()
        self.world.loss = 0.0
        self._overloaded = False
        relieve_endpoints(self.tier.endpoints.values())
        self.world.run(self.world.time + RECOVERY_S)
        observations = Observations(self.turns, self.calls, self.changes, self.reads, self.streams)
        self.broken += check_history(self.tier, observations)
        return self.broken

    def _watch_invariants(self) -> None:
        """Check periodically the rules whose violation is not visible at the end."""
        leaders = sum(service.member.leads() for service in self.tier.controls.values())
        if leaders > 1:
            self.broken["two_primaries"] += 1
        for relay in self.tier.relays.values():
            generation = relay.route_table.generation if relay.route_table else 0
            if generation < self._generations.get(relay, 0):
                self.broken["version_went_back"] += 1
            self._generations[relay] = generation
        for name, since in self._faults.draining.items():
            executed = len(self.tier.endpoints[name].executed)
            if self.world.time - since > DRAIN_TIMEOUT_S and executed > self._executed.get(name, executed):
                self.broken["drain"] += 1
            self._executed[name] = executed
        self.world.call_at(self.world.time + WATCH_INTERVAL_S, self._watch_invariants)

    # Clients and operator ----------------------------------------------------------------------------

    def _name(self, kind: str) -> str:
        self._number += 1
        return f"{kind}{self._number}"

    def _relay(self) -> str:
        return self.random.choice(self.tier.relay_hosts)

    def _turn(self) -> None:
        number = self.random.randrange(PROGRAMS)
        program, budget = f"p{number}", BUDGETS[number % len(BUDGETS)]
        complete = [turn for turn in self.turns if turn.program == program and turn.response.complete]
        previous = self.random.choice([turn for turn in complete if turn.response.status == 200] or [None])
        name, text = self._name("t"), f"say{self._number} ".encode()
        fields = {"program": program, "budget": str(budget), "lynxscale_token_count": f"10,{MAX_TOKENS}"}
        if previous is not None:
            fields["previous"] = previous.request_id
        response, _ = self.tier.start_request("/kept/stream", self._relay(), text, request_id=name, **fields)
        before = previous.request_id if previous else ""
        self.turns.append(ObservedTurn(name, program, before, text, response, budget))

    def _call(self) -> None:
        path = self.random.choice(("/book/1", "/look/1"))
        name = self._name("c")
        response, _ = self.tier.start_request(path, self._relay(), request_id=name)
        self.calls.append((f"{path} {name}", response))

    def _send_overload(self) -> None:
        """Send a call or a stream to a random relay, and schedule the next one."""
        if not self._overloaded:
            return
        path, relay = self._overload_random.choice(OVERLOAD_PATHS), self._overload_random.choice(self.tier.relay_hosts)
        name = self._name("m")
        response, _ = self.tier.start_request(path, relay, request_id=name)
        if path == "/open/stream":
            self.streams.append(response)
        else:
            self.calls.append((f"{path} {name}", response))
        interval_s = self._overload_random.uniform(*OVERLOAD_INTERVAL_RANGE_S)
        self.world.call_at(self.world.time + interval_s, self._send_overload)

    def _change(self) -> None:
        if self.random.random() < RETRY_PROBABILITY:
            change = self.random.choice(self.changes)
        else:
            change = self._new_change()
            self.changes.append(change)
        host = self.random.choice(self.tier.control_hosts)
        fields = ((b"host", b"c"), (b"lynxscale-base-version", b"%d" % change.base))
        path = "/config/update" if change.update else "/config/replace"
        request = Request("POST", path, Head(fields), msgspec.json.encode(change.update or change.table))
        response, _ = send_request(self.world, self.tier.tcp, f"{host}:{CONTROL_PORT}", request)
        change.responses.append(response)
        change.sent_at.append(self.world.time)

    def _read(self) -> None:
        """Read the configuration from a random member, and schedule the next read."""
        host = self._read_random.choice(self.tier.control_hosts)
        request = Request("GET", "/config/read", Head(((b"host", b"c"),)))
        response, _ = send_request(self.world, self.tier.tcp, f"{host}:{CONTROL_PORT}", request)
        self.reads.append(ObservedRead(self.world.time, response))
        self.world.call_at(self.world.time + self._read_random.uniform(*READ_INTERVAL_RANGE_S), self._read)

    def _new_change(self) -> ObservedChange:
        """A change of the newest acknowledged version: a replacement, or an update if that version is known."""
        base = max(change.table["generation"] for change in self.changes if change.acknowledged or change.base == 0)
        change = ObservedChange(base, default_configuration(base + self.random.randint(1, 3)))
        route = change.table["routes"][0]
        route["target-latency-ms"] = 200 + len(self.changes)
        tables_of_base = [earlier.table for earlier in self.changes if earlier.table["generation"] == base]
        if len(tables_of_base) == 1 and len(self.changes) % 2:
            # All configurations of a history differ only in their first route.
            change.update = {"generation": change.table["generation"], "upsert": {"routes": [route]}}
        return change


@frozen
class Tally:
    """Totals of a range of histories: histories played, broken rules by seed, turns sent and completed, duration."""

    played: int
    broken: dict[int, Counter[str]]
    turns: int
    complete_turns: int
    seconds: float

    def __str__(self) -> str:
        """A summary on one line."""
        breaches = sum(sum(rules.values()) for rules in self.broken.values())
        return (
            f"{self.played} histories played, {len(self.broken)} with breaches ({breaches}); "
            f"{self.complete_turns} of {self.turns} turns complete; {self.seconds:.0f} s"
        )


def play_range(
    first: int, last: int, varied: bool, on_breach: Callable[[int, Counter[str]], None], overloaded: bool = False
) -> Tally:
    """Play the histories of a range of seeds. A history that ends early with an AssertionError counts as a breach."""
    started_at = time.monotonic()
    broken: dict[int, Counter[str]] = {}
    played = complete_turns = turns = 0
    for seed in range(first, last + 1):
        played += 1
        try:
            history = History(seed, varied, overloaded)
            rules = history.play()
        except AssertionError as error:
            rules = Counter({f"ended: {error}": 1})
        else:
            turns += len(history.turns)
            complete_turns += sum(turn.response.complete and turn.response.status == 200 for turn in history.turns)
        if rules:
            broken[seed] = rules
            on_breach(seed, rules)
    return Tally(played, broken, turns, complete_turns, time.monotonic() - started_at)


def main() -> int:
    """Play the histories of a range of seeds, and print those that break a rule. Exit code 1 if there are any."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("first", type=int)
    parser.add_argument("last", type=int)
    parser.add_argument("--varied", action="store_true", help="disks, links and processors differ between machines")
    parser.add_argument("--overloaded", action="store_true", help="endpoints are full at times and repeat answers late")
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    tally = play_range(
        options.first,
        options.last,
        options.varied,
        lambda seed, rules: print(f"seed {seed}: {dict(rules)}", flush=True),
        options.overloaded,
    )
    print(f"seeds {options.first} to {options.last}: {tally}", flush=True)
    return int(bool(tally.broken))


if __name__ == "__main__":
    sys.exit(main())
