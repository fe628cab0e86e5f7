"""Drawn histories of whole tiers with faults, and a check of the rules over each: ``python -m lab.tier.histories``.

A history is drawn from its seed alone. The checker judges by what clients, operator and endpoints saw, and by the
members' own state at the end; each broken rule is told by its name and the seed.
"""

from __future__ import annotations

import argparse
import logging
import sys
from collections import Counter

import msgspec

from lab.tier.fakes import ClientResponse, send_request
from lab.tier.history_checker import MAX_TOKENS, Observations, ObservedChange, ObservedTurn, check_history
from lab.tier.simulated_tier import CONTROL_PORT, INTERNAL_PORT, SimulatedTier, default_configuration
from lab.tier.world import World
from lynxscale.runtime.http_types import Head, Request

STEPS = 40
BUDGETS = (80, 200, 1000)
QUIET_S = 6.0
SIZES = ((3, 1), (3, 1), (4, 1), (5, 2), (3, 1), (6, 2), (7, 2), (9, 2))  # control members, and losses to be borne
CONTROL_FAULTS = (
    "control",
    "wipe",
    "freeze",
    "cut",
    "link",
    "all",
    "full",
    "damage",
    "leave",
    "halves",
    "dark",
    "clock",
)
LEAVE_WITHIN_S = 4.0
DRAIN_S = 3.0


class History:
    """One history: clients, an operator and faults by turns."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.world = World(seed, loss=0.01)
        self.random = self.world.random
        size, tolerated = SIZES[seed % len(SIZES)]
        self.tier = SimulatedTier(self.world, controls=size, tolerated=tolerated).start_serving()
        self.turns: list[ObservedTurn] = []
        self.calls: list[tuple[str, ClientResponse]] = []
        self.orders: list[ObservedChange] = [ObservedChange(0, default_configuration())]
        self.broken: Counter[str] = Counter()
        self.draining: dict[str, float] = {}
        self._seen_versions: dict[object, int] = {}
        self._ran_at: list[tuple[float, str]] = []
        self._number = 0
        self._watch()

    def play(self) -> Counter[str]:
        """Play it to its end; the rules that were broken, by name."""
        for _ in range(STEPS):
            action = self.random.choices((self._turn, self._call, self._order, self._fault), (6, 4, 2, 2))[0]
            action()
            self.world.run(self.world.time + self.random.uniform(0.02, 0.5))
        self._recover()
        self.broken += check_history(self.tier, Observations(self.turns, self.calls, self.orders))
        return self.broken

    def _watch(self) -> None:
        leaders = sum(one.member.leads() for one in self.tier.controls.values())
        if leaders > 1:
            self.broken["two_primaries"] += 1
        for relay in self.tier.relays.values():
            version = relay.route_table.generation if relay.route_table else 0
            if version < self._seen_versions.get(relay, 0):
                self.broken["version_went_back"] += 1
            self._seen_versions[relay] = version
        for name, since in self.draining.items():
            ran = len(self.tier.endpoints[name].executed)
            if self.world.time - since > DRAIN_S and ran > self._seen_versions.get(name, ran):
                self.broken["drain"] += 1
            self._seen_versions[name] = ran
        self.world.call_at(self.world.time + 0.02, self._watch)

    # What happens ------------------------------------------------------------------------------------

    def _name(self, kind: str) -> str:
        self._number += 1
        return f"{kind}{self._number}"

    def _relay(self) -> str:
        return self.random.choice(self.tier.relay_hosts)

    def _turn(self) -> None:
        program = f"p{self.random.randrange(4)}"
        budget = BUDGETS[int(program[1:]) % len(BUDGETS)]
        whole = [seen for seen in self.turns if seen.program == program and seen.answer.complete]
        previous = self.random.choice([seen for seen in whole if seen.answer.status == 200] or [None])
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
        repeat = self.random.random() < 0.4
        if repeat:
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

    def _new_order(self) -> ObservedChange:
        """One on the newest acknowledged version: a replacement, or an update where that version is one order's."""
        base = max(order.table["generation"] for order in self.orders if order.acknowledged or order.base == 0)
        order = ObservedChange(base, default_configuration(base + self.random.randint(1, 3)))
        route = order.table["routes"][0]
        route["target-latency-ms"] = 200 + len(self.orders)
        made = [one.table for one in self.orders if one.table["generation"] == base]
        if len(made) == 1 and len(self.orders) % 2:
            # All configurations here differ in the first route alone.
            order.update = {"generation": order.table["generation"], "upsert": {"routes": [route]}}
        return order

    def _fault(self) -> None:
        """One fault of those that are to be borne; the one before is over."""
        self._mend()
        self.world.run(self.world.time + self.random.choice((0.0, 0.3, 2.0)))
        outside = ("relay", "answer", "drain")
        all_settled = all(self._settled(one) for one in self.tier.control_hosts)
        # A member counts as lost until it has caught up: no other may be lost meanwhile.
        kind = self.random.choice((*outside, *CONTROL_FAULTS) if all_settled else outside)
        host = self.random.choice(self.tier.control_hosts)
        address = f"{host}:{INTERNAL_PORT}"
        if kind == "control":
            self.tier.kill_control(host, power=self.random.random() < 0.5)
        elif kind == "wipe":
            self.tier.kill_control(host, power=True, wipe=True)
        elif kind == "relay":
            self.tier.kill_relay(self._relay())
        elif kind == "freeze":
            self.world.machine(address).freeze(self.random.uniform(0.2, 2.5))
        elif kind == "cut":
            for other in self.tier.control_hosts:
                if other != host:
                    self.world.partition(address, f"{other}:{INTERNAL_PORT}", self.random.random() < 0.6)
        elif kind == "link":
            other = self.random.choice([one for one in self.tier.control_hosts if one != host])
            self.world.partition(address, f"{other}:{INTERNAL_PORT}", self.random.random() < 0.6)
        elif kind == "answer":
            self.random.choice(list(self.tier.endpoints.values())).fails = True
        elif kind == "drain" and not self.draining:
            self._drain()
        elif kind == "all":
            for one in self.tier.control_hosts:
                self.tier.kill_control(one, power=True)
        elif kind == "full":
            self.world.machine(address).files.full = True
        elif kind == "damage":
            self._damage(host)
        elif kind == "leave":
            self._leave(host)
        elif kind == "halves":
            self._halve()
        elif kind == "dark":
            self._lose_disks_in_the_dark()
        elif kind == "clock":
            self.world.machine(address).clock_step_s = self.random.choice((-3600.0, -2.0, 2.0, 3600.0))

    def _damage(self, host: str) -> None:
        """A file of a stopped member reads back damaged or is gone; it starts again, and the primary loses power."""
        primary = self.tier.primary()
        self.tier.kill_control(host)
        files = self.world.machine(f"{host}:{INTERNAL_PORT}").files
        versions = [name for name in files.names() if name.startswith("batch-")]
        if versions:
            files.corrupt(self.random.choice(versions), self.random)
        self.tier.start_control(host)
        lead = next((one for one, service in self.tier.controls.items() if service is primary), None)
        if lead is not None and self.random.random() < 0.5:
            self.tier.kill_control(lead, power=True)

    def _leave(self, host: str) -> None:
        """A member is asked to stop; once it has, it starts again. Another may be lost meanwhile."""
        service = self.tier.controls[host]

        def end() -> None:
            if self.tier.controls.get(host) is service:
                self.tier.kill_control(host)
                self.tier.start_control(host)

        service.leave(end)
        self.world.call_at(self.world.time + LEAVE_WITHIN_S, end)

    def _halve(self) -> None:
        """Half of the members are cut off from the other half."""
        hosts = self.random.sample(self.tier.control_hosts, len(self.tier.control_hosts))
        half = len(hosts) // 2
        for one in hosts[:half]:
            for other in hosts[half:]:
                self.world.partition(f"{one}:{INTERNAL_PORT}", f"{other}:{INTERNAL_PORT}")

    def _lose_disks_in_the_dark(self) -> None:
        """As many disks as may be are lost while all other machines lose power, relays too."""
        lost = self.random.sample(self.tier.control_hosts, self.tier.tolerated)
        for host in self.tier.control_hosts:
            self.tier.kill_control(host, power=True, wipe=host in lost)
        for host in self.tier.relay_hosts:
            self.tier.kill_relay(host)

    def _settled(self, host: str) -> bool:
        """Does the member hold a copy that counts?"""
        primary = self.tier.primary()
        service = self.tier.controls.get(host)
        return primary is not None and service is not None and service.member.member_id in primary.member.record.in_sync

    def _drain(self) -> None:
        listed = self.tier.platform.listed
        place = self.random.randrange(2, 4)
        listed[place] = msgspec.structs.replace(listed[place], state="draining")
        self.draining[listed[place].id] = self.world.time

    def _mend(self) -> None:
        self.world.heal()
        for endpoint in self.tier.endpoints.values():
            endpoint.fails = False
        for host in self.tier.control_hosts:
            self.world.machine(f"{host}:{INTERNAL_PORT}").files.full = False
            if host not in self.tier.controls:
                self.tier.start_control(host)
        for host in self.tier.relay_hosts:
            if host not in self.tier.relays:
                self.tier.start_relay(host)

    def _recover(self) -> None:
        self._mend()
        self.world.loss = 0.0
        self.world.run(self.world.time + QUIET_S)


def main() -> int:
    """Exit code 1 where a rule was broken; the seeds are printed."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("first", type=int)
    parser.add_argument("last", type=int)
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    total: Counter[str] = Counter()
    served = turns = 0
    for seed in range(options.first, options.last + 1):
        history = History(seed)
        broken = history.play()
        if broken:
            print(f"seed {seed}: {dict(broken)}", flush=True)
        total += broken
        turns += len(history.turns)
        served += sum(seen.answer.complete and seen.answer.status == 200 for seen in history.turns)
    print(f"seeds {options.first} to {options.last}: {served} of {turns} turns whole, {sum(total.values())} breaches")
    return int(bool(total))


if __name__ == "__main__":
    sys.exit(main())
