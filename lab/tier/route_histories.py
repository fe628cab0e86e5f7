"""Histories of route changes at relays that are frozen or cut off: ``python -m lab.tier.route_histories FIRST LAST``.

Clients keep their connections to relays, also to those that are not ready, and hold conversations on routes that an
operator adds, moves, removes and begins to retain. Relays and their parents are frozen, cut off, cut off in one
direction or restarted, and control members are frozen, in disturbances that overlap. A process that wakes reads its
connections in a drawn order. With ``--varied`` configurations and requests are written in drawn ways, and some
configurations have a fault. A history is determined by its seed.
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

from lab.tier.changing_routes import OTHER_MODEL, ChangingRoute, ChangingRoutes, JudgedTurn, lost_turns
from lab.tier.configuration_grammar import ConfigurationGrammar
from lab.tier.fakes import CLIENT, ClientResponse, send_request
from lab.tier.fault_injection import internal_address
from lab.tier.history_checker import MAX_TOKENS, Observations, ObservedChange, ObservedTurn, check_history
from lab.tier.request_grammar import varied_request
from lab.tier.simulated_tier import CONTROL_PORT, FRONTEND_PORT, HOST, SimulatedTier, default_configuration
from lab.tier.world import World
from lynxscale.dataplane.headers import REQUEST_ID
from lynxscale.runtime.http_client import ClientConnection, ClientState
from lynxscale.runtime.http_types import Head, Request

RELAYS = 7
CLIENTS = 5
ACTIONS_PER_HISTORY = 160
ACTION_WEIGHTS = (12, 3, 4, 3)  # weights of a turn, a call, a configuration change and a disturbance
PAUSE_RANGE_S = (0.0, 0.15)
LOSS_PROBABILITY = 0.005
SETTLE_S = 4.0  # relays have found their places in the tree
RECOVERY_S = 9.0
BUDGET = 10_000_000
CONTINUE_PROBABILITY = 0.8
NEWEST_PROBABILITY = 0.6  # a turn continues the newest complete turn of its route, otherwise any
RELAY_FREEZE_RANGE_S = (0.05, 6.0)
MEMBER_FREEZE_RANGE_S = (0.1, 1.5)
CUT_RANGE_S = (0.05, 5.0)
DEADLINE_MS = 4000
END_TIMEOUT_S = 6.0
CHANGE_TIMEOUT_S = 60.0


class KeptConnections:
    """The connections of clients to relays, each used again and again until the relay closes it."""

    def __init__(self, tier: SimulatedTier) -> None:
        self._tier = tier
        self._connections: dict[tuple[int, str], ClientConnection] = {}

    def send(self, relay: str, request: Request) -> ClientResponse | None:
        """Send a request on an idle connection to a relay, or on a new one; None if all clients wait for a response."""
        response = ClientResponse(self._tier.world)
        for client in range(CLIENTS):
            connection = self._connections.get((client, relay))
            if connection is not None and connection.state is ClientState.IDLE:
                connection.send(request, response)
                return response
            if connection is None or connection.state is ClientState.CLOSED:
                self._connections[client, relay] = self._open(relay, request, response)
                return response
        return None

    def _open(self, relay: str, request: Request, response: ClientResponse) -> ClientConnection:
        address = f"{relay}:{FRONTEND_PORT}"
        clock = self._tier.world.machine(CLIENT).clock()
        connection = ClientConnection(address, clock, lambda idle: None)
        connection.send(request, response)
        self._tier.tcp.dialer(CLIENT)(address, connection)
        return connection


class RouteDisturber:
    """Freezes, cuts off and restarts relays, and freezes control members; each for a time, also several at once."""

    def __init__(self, tier: SimulatedTier, random: Random) -> None:
        self._tier = tier
        self._random = random

    def disturb(self) -> None:
        """Begin one disturbance."""
        relay = self._random.choice(self._tier.relay_hosts)
        kinds = (self._freeze, self._freeze, self._freeze_parent, self._cut_off, self._cut_from_parent, self._restart)
        self._random.choice((*kinds, self._freeze_member))(relay)

    def end(self) -> None:
        """End all cuts; processes that are frozen wake by themselves."""
        self._tier.world.heal()

    def _freeze(self, relay: str) -> None:
        self._tier.world.machine(internal_address(relay)).freeze(self._random.uniform(*RELAY_FREEZE_RANGE_S))

    def _freeze_parent(self, relay: str) -> None:
        self._freeze(self._parent(relay) or relay)

    def _freeze_member(self, relay: str) -> None:
        member = self._random.choice(self._tier.control_hosts)
        self._tier.world.machine(internal_address(member)).freeze(self._random.uniform(*MEMBER_FREEZE_RANGE_S))

    def _cut_off(self, relay: str) -> None:
        others = [host for host in (*self._tier.control_hosts, *self._tier.relay_hosts) if host != relay]
        self._cut(relay, others)

    def _cut_from_parent(self, relay: str) -> None:
        self._cut(relay, [self._parent(relay) or self._random.choice(self._tier.control_hosts)])

    def _cut(self, relay: str, others: list[str]) -> None:
        inbound = {(internal_address(other), internal_address(relay)) for other in others}
        outbound = {(receiver, sender) for sender, receiver in inbound}
        pairs = self._random.choice((inbound, outbound, inbound | outbound))
        world = self._tier.world
        world.partitions |= pairs
        world.call_at(
            world.time + self._random.uniform(*CUT_RANGE_S), lambda: world.partitions.difference_update(pairs)
        )

    def _restart(self, relay: str) -> None:
        if relay in self._tier.relays:
            self._tier.kill_relay(relay)
            self._tier.start_relay(relay)

    def _parent(self, relay: str) -> str:
        service = self._tier.relays.get(relay)
        parent = service.tree._parent.partition(":")[0] if service else ""
        return parent if parent in self._tier.relay_hosts else ""


class RouteHistory:
    """One history: conversations on changing routes, changes and disturbances."""

    def __init__(self, seed: int, varied: bool = False) -> None:
        """``varied``: draw how configurations and requests are written, and send some configurations with a fault."""
        self._grammar = ConfigurationGrammar(f"routes {seed}") if varied else None
        self._faulty_changes: list[ClientResponse] = []
        self.world = World(seed, loss=LOSS_PROBABILITY)
        self.world.wake_random = Random(f"wake {seed}")
        self.random = Random(f"routes {seed}")
        self.tier = SimulatedTier(self.world, relays=RELAYS)
        self.tier.add_endpoint(OTHER_MODEL, "10.2.0.8:90", "i-8", slots=8)
        self.tier.add_endpoint(OTHER_MODEL, "10.2.0.9:90", "i-9", slots=8)
        self.tier.start_serving()
        self.routes = ChangingRoutes(self.random)
        self.turns: list[tuple[ObservedTurn, ChangingRoute, str, float]] = []  # with relay and time of sending
        self.calls: list[tuple[str, ClientResponse]] = []
        self.changes: list[ObservedChange] = [ObservedChange(0, default_configuration())]
        self._connections = KeptConnections(self.tier)
        self._disturber = RouteDisturber(self.tier, self.random)
        self._number = 0

    def play(self) -> Counter[str]:
        """Run the history and check it. Returns how often each rule was broken."""
        self.world.run(self.world.time + SETTLE_S)
        for _ in range(ACTIONS_PER_HISTORY):
            action = self.random.choices(
                (self._turn, self._call, self._change, self._disturber.disturb), ACTION_WEIGHTS
            )[0]
            action()
            self.world.run(self.world.time + self.random.uniform(*PAUSE_RANGE_S))
        self._disturber.end()
        self.world.loss = 0.0
        self._finish_change()
        self.world.run(self.world.time + RECOVERY_S)
        broken = self._check()
        broken["not_served_in_the_end"] += self._unserved_turns()
        broken["change_not_acknowledged"] += self.changes[-1].base > 0 and not self.changes[-1].acknowledged
        broken["faulty_change_acknowledged"] += sum(response.status == 200 for response in self._faulty_changes)
        return +broken

    # Clients and operator ----------------------------------------------------------------------------

    def _turn(self) -> None:
        usable = self.routes.usable(self.world.time)
        if not usable:
            return
        route = self.random.choice([*usable, usable[-1]])
        complete = self._complete_turns(route)
        previous = None
        if complete and self.random.random() < CONTINUE_PROBABILITY:
            previous = complete[-1] if self.random.random() < NEWEST_PROBABILITY else self.random.choice(complete)
        self._send_turn(route, previous, self.random.choice(self.tier.relay_hosts))

    def _complete_turns(self, route: ChangingRoute) -> list[ObservedTurn]:
        turns = [turn for turn, of, _, _ in self.turns if of is route]
        return [turn for turn in turns if turn.response.complete and turn.response.status == 200]

    def _send_turn(self, route: ChangingRoute, previous: ObservedTurn | None, relay: str) -> ClientResponse | None:
        self._number += 1
        name, text = f"t{self._number}", f"say{self._number} ".encode()
        program = previous.program if previous else f"p{self._number}"
        fields = {"program": program, "budget": str(BUDGET), "lynxscale-token-count": f"10,{MAX_TOKENS}"}
        fields |= {"previous": previous.request_id} if previous else {}
        response = self._connections.send(relay, self._request(route.path, name, text, fields))
        if response is not None:
            turn = ObservedTurn(name, program, previous.request_id if previous else "", text, response, BUDGET)
            self.turns.append((turn, route, relay, self.world.time))
        return response

    def _call(self) -> None:
        self._number += 1
        name, path = f"c{self._number}", self.random.choice(("/book/1", "/look/1"))
        response = self._connections.send(self.random.choice(self.tier.relay_hosts), self._request(path, name, b"", {}))
        if response is not None:
            self.calls.append((f"{path} {name}", response))

    def _request(self, path: str, name: str, body: bytes, fields: dict[str, str]) -> Request:
        written = request(path, name, body, fields)
        return varied_request(written) if self._grammar else written

    def _change(self) -> None:
        """Send the next change of the routes, or the last one again while it is not acknowledged."""
        change = self.changes[-1]
        if change.acknowledged or change.base == 0:
            base = int(change.table["generation"])
            table = self.routes.next_configuration(base, self.world.time)
            if self._grammar is not None:
                table = self._grammar.varied(table)
                if self._grammar.draws_fault():
                    self._send_faulty_change(base, self._grammar.with_fault(table))
            change = ObservedChange(base, table)
            self.changes.append(change)
        self._send_change(change)

    def _send_faulty_change(self, base: int, table: dict) -> None:
        self._faulty_changes.append(self._request_change(base, table, None))

    def _send_change(self, change: ObservedChange) -> None:
        newest = change is self.changes[-1]

        def on_end(response: ClientResponse) -> None:
            if response.status == 200 and newest:
                self.routes.acknowledged(self.world.time)

        change.responses.append(self._request_change(change.base, change.table, on_end))
        change.sent_at.append(self.world.time)

    def _request_change(
        self, base: int, table: dict, on_end: Callable[[ClientResponse], None] | None
    ) -> ClientResponse:
        """Send a configuration to the primary, or to another member if there is none."""
        primary = self.tier.primary()
        host = primary.publisher.address.partition(":")[0] if primary else self.tier.control_hosts[0]
        fields = ((b"host", b"c"), (b"lynxscale-base-version", b"%d" % base))
        sent = Request("POST", "/config/replace", Head(fields), msgspec.json.encode(table))
        response, _ = send_request(self.world, self.tier.tcp, f"{host}:{CONTROL_PORT}", sent, on_end)
        return response

    def _finish_change(self) -> None:
        """Send the last change until it is acknowledged, or ``CHANGE_TIMEOUT_S`` have passed."""
        change = self.changes[-1]
        end = self.world.time + CHANGE_TIMEOUT_S
        while change.base and not change.acknowledged and self.world.time < end:
            self.world.run(self.world.time + 0.5)
            self._send_change(change)
            self.world.run(self.world.time + 0.5)

    # Checks ------------------------------------------------------------------------------------------

    def _check(self) -> Counter[str]:
        judged = [
            JudgedTurn(
                turn.request_id,
                route,
                relay,
                turn.previous,
                turn.response.status if turn.response.complete else 0,
                sent_at,
                turn.response.ended_at or self.world.time,
            )
            for turn, route, relay, sent_at in self.turns
        ]
        lost = Counter({"turn_lost": sum(1 for _ in lost_turns(judged))})
        turns = [turn for turn, _, _, _ in self.turns if turn.response.status not in (404, 410)]
        return lost + check_history(self.tier, Observations(turns, self.calls, self.changes))

    def _unserved_turns(self) -> int:
        """Continue one conversation on each usable route through each relay; return how many of these turns fail.

        The connections are new, as a client learns only by a request that the relay behind an old one was restarted.
        """
        self._connections = KeptConnections(self.tier)
        responses = []
        for route in self.routes.usable(self.world.time):
            complete = self._complete_turns(route)
            for relay in self.tier.relay_hosts if complete else ():
                responses.append(self._send_turn(route, complete[-1], relay))
                self.world.run(self.world.time + 0.1)
        self.world.run(self.world.time + END_TIMEOUT_S)
        return sum(response is None or response.status != 200 for response in responses)


def request(path: str, name: str, body: bytes, fields: dict[str, str]) -> Request:
    """A client's request with the given id."""
    head = [(b"host", HOST.encode()), (REQUEST_ID, name.encode()), (b"lynxscale-deadline-ms", b"%d" % DEADLINE_MS)]
    return Request(
        "POST", path, Head((*head, *((key.encode(), value.encode()) for key, value in fields.items()))), body
    )


def main() -> int:
    """Play the histories of a range of seeds, and print those that break a rule. Exit code 1 if there are any."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("first", type=int)
    parser.add_argument("last", type=int)
    parser.add_argument("--varied", action="store_true", help="draw how configurations and requests are written")
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    started_at = time.monotonic()
    totals: Counter[str] = Counter()
    broken = 0
    for seed in range(options.first, options.last + 1):
        history = RouteHistory(seed, options.varied)
        rules = history.play()
        totals.update(str(turn.response.status) for turn, _, _, _ in history.turns)
        if rules:
            broken += 1
            print(f"seed {seed}: {dict(rules)}", flush=True)
    played = options.last - options.first + 1
    print(
        f"seeds {options.first} to {options.last}: {played} histories, {broken} with breaches; turns by status "
        f"{dict(sorted(totals.items()))}; {time.monotonic() - started_at:.0f} s",
        flush=True,
    )
    return int(broken > 0)


if __name__ == "__main__":
    sys.exit(main())
