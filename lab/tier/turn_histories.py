"""``python -m lab.tier.turn_histories FIRST LAST``: drawn histories of conversations on a simulated tier.

Lines of turns run on a retained route and on one that is also resumable, through any relay. Their clients pause for as
long as turns are retained, give up requests that are silent, and resume streams that break off; half of them send a
turn again under its id. Endpoints frame streams differently, end their events differently, and answer at once or after
most of a turn's time. Relays and control members are killed and frozen, and relays are cut off. The operator writes the
same configuration in ever other ways. A history repeats with its seed.
"""

from __future__ import annotations

import argparse
import logging
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from random import Random

import msgspec

from lab.tier.conditions import vary_framing
from lab.tier.configuration_grammar import ConfigurationGrammar
from lab.tier.fakes import ClientResponse
from lab.tier.resumable_turns import Line, tag_events, unasked_prompts
from lab.tier.simulated_tier import INTERNAL_PORT, SimulatedTier, default_configuration
from lab.tier.world import World
from lynxscale.controlplane.turn_history import RETENTION_MARGIN_S
from lynxscale.runtime.http_client import ClientConnection

SECONDS = 150.0  # of simulated time
STEP_S = 0.05
LINES_PER_ROUTE = 3
KEPT, HELD = "/kept/", "/held/"
EVENTS = 8
EVENT_ENDS = (b"\n\n", b"\r\n\r\n", b"\r\r")
RETENTION_RANGE_S = (0.5, 8.0)
TIMEOUT_RANGE_S = (4.0, 40.0)
ATTEMPT_PAUSE_S = 0.2
SHORT_PAUSE_S = 0.5
LONG_PAUSE_SHARE = 0.3
LONG_PAUSE_RANGE_S = (-12.0, 4.0)  # around the time at which a turn is removed
DISTURBANCE_PAUSE_RANGE_S = (0.5, 6.0)
DOWN_RANGE_S = (0.2, 3.0)
SLOW_SHARE = 0.4  # of the times in which endpoints answer late
SLOW_TURN_SHARE = 0.7  # of a turn's time after which a late answer begins
CUT_STREAM_SHARE = 0.1  # probability in each step
SETTLE_S = 10.0
CONFIG_APPLY_S = 2.0
FAULTY_CHANGES = 5  # at the end of a history
RESPONSE_SLACK_S = 5.0
MIN_PATIENCE_S = 1.0  # shortest silence after which a client gives up a request
RELAY_FREEZE_RANGE_S, MEMBER_FREEZE_RANGE_S = (0.2, 8.0), (0.1, 2.0)


@dataclass
class Client:
    """One line and its request in flight, to ``relay``. ``next_at``: when it sends again, in simulated seconds.

    ``cut``: the relay's process has ended since, which closes the connection. ``repeats_id``: whether all attempts of a
    turn have one id. ``patience_s``: after which silence it gives up; ``heard_at``, ``heard_bytes``: when the response
    last grew, and to which length.
    """

    line: Line
    repeats_id: bool
    next_at: float = 0.0
    request_id: str = ""
    previous: str = ""
    sent_at: float = 0.0
    relay: str = ""
    cut: bool = False
    response: ClientResponse | None = None
    connection: ClientConnection | None = None
    patience_s: float = 0.0
    heard_at: float = 0.0
    heard_bytes: int = 0
    unanswered: list[str] = field(default_factory=list)

    def gives_up(self, now: float) -> bool:
        """Whether the response has been silent for longer than the client waits."""
        if len(self.response.body) > self.heard_bytes:
            self.heard_at, self.heard_bytes = now, len(self.response.body)
        return now - self.heard_at > self.patience_s


class TurnHistory:
    """One history. ``broken``: the rules that it broke, as text; ``counts``: what happened in it."""

    def __init__(self, seed: int) -> None:
        self._random = Random(f"turns {seed}")
        self._grammar = ConfigurationGrammar(f"turns {seed}")
        self._tier = SimulatedTier(World(seed)).start_serving()
        self._world = self._tier.world
        self._retention_s = self._random.uniform(*RETENTION_RANGE_S)
        self._timeout_s = self._random.uniform(*TIMEOUT_RANGE_S)
        self._generation = 1
        self._serial = 0
        self._returns: list[tuple[float, str]] = []  # when a killed process starts again, and its host
        self._healing_at = 0.0
        self._frozen_until: dict[str, float] = {}  # by host
        self.counts: Counter[str] = Counter()
        self.broken: list[str] = []
        endpoints = self._tier.endpoints.values()
        vary_framing(endpoints, self._random)
        tag_events(endpoints, {"/": EVENTS})
        for endpoint in endpoints:
            endpoint.event_end = self._random.choice(EVENT_ENDS)
        self._clients = [
            Client(Line(f"{path.strip('/')}-{number}", f"{path}stream", EVENTS, path == HELD), number % 2 == 1)
            for path in (KEPT, HELD)
            for number in range(LINES_PER_ROUTE)
        ]

    def play(self) -> None:
        """Play the history and check it."""
        self._change()
        self._world.run(self._world.time + CONFIG_APPLY_S)
        end = self._world.time + SECONDS
        disturb_at = self._world.time
        while self._world.time < end:
            if self._world.time >= disturb_at:
                self._disturb()
                disturb_at = self._world.time + self._random.uniform(*DISTURBANCE_PAUSE_RANGE_S)
            self._recover()
            for client in self._clients:
                self._step(client)
            if self._random.random() < CUT_STREAM_SHARE:
                self._cut_stream()
            self._world.run(self._world.time + STEP_S)
        self._finish()

    def _finish(self) -> None:
        self._recover(all_of_them=True)
        self._world.run(self._world.time + SETTLE_S + self._timeout_s)
        self.broken += [text for client in self._clients for text in (*client.line.broken, *client.unanswered)]
        self.broken += unasked_prompts([client.line for client in self._clients], self._tier.endpoints.values())
        for relay in self._tier.relays.values():
            if relay.route_table is None or relay.route_table.generation != self._generation:
                self.broken.append(f"CONFIG a relay does not use version {self._generation}")
        self._send_faulty_changes()
        self.counts["turns"] = sum(client.line.turns for client in self._clients)
        self.counts["resumed"] = sum(client.line.resumed for client in self._clients)

    # Clients -----------------------------------------------------------------------------------------

    def _step(self, client: Client) -> None:
        response, now = client.response, self._world.time
        if response is None:
            if now >= client.next_at and self._tier.relays:
                self._send(client)
        elif response.ended or client.cut:
            self._on_end(client, response)
        elif now > self._read_by(client) + self._timeout_s + RESPONSE_SLACK_S:
            client.unanswered.append(f"UNANSWERED {client.request_id}")
            client.line.restart()
            client.response, client.next_at = None, now
        elif client.gives_up(now):
            self.counts["given_up"] += 1
            client.connection.close()
            self._on_end(client, response)

    def _read_by(self, client: Client) -> float:
        """When the relay of a request has read it, at the latest: a frozen one reads it when it resumes."""
        return max(client.sent_at, self._frozen_until.get(client.relay, 0.0))

    def _send(self, client: Client) -> None:
        line = client.line
        if not (client.repeats_id and line.attempts):
            self._serial += 1
            client.request_id = f"r{self._serial}"
        client.sent_at = client.heard_at = self._world.time
        client.heard_bytes = 0
        client.patience_s = self._random.uniform(MIN_PATIENCE_S, self._timeout_s + 2 * RESPONSE_SLACK_S)
        client.previous = line.previous
        fields = line.next_request(client.request_id)
        client.relay, client.cut = self._random.choice(sorted(self._tier.relays)), False
        deadline = f"{1000 * self._timeout_s:.0f}"
        client.response, client.connection = self._tier.start_request(
            line.path, client.relay, line.text, request_id=client.request_id, lynxscale_deadline_ms=deadline, **fields
        )

    def _on_end(self, client: Client, response: ClientResponse) -> None:
        line, now = client.line, self._world.time
        client.response = None
        self.counts[f"status {response.status if response.complete else 0}"] += 1
        if response.complete and response.status == 404:
            if client.previous and now - line.ended_at < self._retention_s:
                self.broken.append(f"LOST {client.request_id}: {client.previous} ended {now - line.ended_at:.2f} s ago")
            line.restart()
            client.next_at = now + ATTEMPT_PAUSE_S
            return
        over = line.on_response(client.request_id, response.status, response.body, response.complete, now)
        if over and line.attempts:
            line.begin_turn()
        client.next_at = now + (self._draw_pause_s() if over else ATTEMPT_PAUSE_S)

    def _draw_pause_s(self) -> float:
        if self._random.random() < LONG_PAUSE_SHARE:
            return self._retention_s + RETENTION_MARGIN_S + self._random.uniform(*LONG_PAUSE_RANGE_S)
        return self._random.uniform(0.0, SHORT_PAUSE_S)

    # Disturbances ------------------------------------------------------------------------------------

    def _disturb(self) -> None:
        slow = self._random.random() < SLOW_SHARE
        for endpoint in self._tier.endpoints.values():
            endpoint.service_time_s = SLOW_TURN_SHARE * self._timeout_s if slow else 0.05
        kills = (self._kill_relay, self._kill_relay, self._kill_primary)
        freezes = (self._freeze_relay, self._freeze_relay, self._freeze_member)
        kinds = (*kills, *freezes, self._cut_relay, self._break_off, self._change)
        kind = self._random.choice(kinds)
        self.counts[kind.__name__.strip("_")] += 1
        kind()

    def _kill_relay(self) -> None:
        if len(self._tier.relays) > 1:
            self._kill(self._random.choice(sorted(self._tier.relays)))

    def _cut_stream(self) -> None:
        """Kill a relay in the middle of a stream that its client may resume."""
        streaming = [c for c in self._clients if c.line.resumes and c.response and c.response.body and not c.cut]
        if streaming and len(self._tier.relays) == len(self._tier.relay_hosts):
            self.counts["cut_stream"] += 1
            self._kill(self._random.choice(streaming).relay)

    def _kill(self, host: str) -> None:
        if host in self._tier.relays:
            self._tier.kill_relay(host)
            for client in self._clients:
                client.cut |= client.relay == host
            self._returns.append((self._world.time + self._random.uniform(*DOWN_RANGE_S), host))

    def _kill_primary(self) -> None:
        primary = self._tier.primary()
        if primary is not None and len(self._tier.controls) == len(self._tier.control_hosts):
            host = primary.publisher.address.partition(":")[0]
            self._tier.kill_control(host)
            self._returns.append((self._world.time + self._random.uniform(*DOWN_RANGE_S), host))

    def _freeze_relay(self) -> None:
        self._freeze(self._random.choice(self._tier.relay_hosts), RELAY_FREEZE_RANGE_S)

    def _freeze_member(self) -> None:
        self._freeze(self._random.choice(self._tier.control_hosts), MEMBER_FREEZE_RANGE_S)

    def _freeze(self, host: str, range_s: tuple[float, float]) -> None:
        seconds = self._random.uniform(*range_s)
        self._world.machine(f"{host}:{INTERNAL_PORT}").freeze(seconds)
        self._frozen_until[host] = max(self._frozen_until.get(host, 0.0), self._world.time + seconds)

    def _cut_relay(self) -> None:
        host = self._random.choice(self._tier.relay_hosts)
        for member in self._tier.control_hosts:
            self._world.partition(f"{host}:{INTERNAL_PORT}", f"{member}:{INTERNAL_PORT}")
        self._healing_at = self._world.time + self._random.uniform(*DOWN_RANGE_S)

    def _break_off(self) -> None:
        """Let each endpoint break off one stream."""
        for endpoint in self._tier.endpoints.values():
            endpoint.aborts_after = self._random.randint(0, EVENTS - 1)

    def _recover(self, all_of_them: bool = False) -> None:
        now = self._world.time
        if all_of_them or now >= self._healing_at:
            self._world.heal()
        for one in [one for one in self._returns if all_of_them or one[0] <= now]:
            self._returns.remove(one)
            if one[1] in self._tier.relay_hosts:
                self._tier.start_relay(one[1])
            else:
                self._tier.start_control(one[1])

    # The operator ------------------------------------------------------------------------------------

    def _change(self) -> None:
        """Replace the configuration by one that says the same in another way."""
        if not self._world.run_until(lambda: self._tier.primary() is not None, 1.0):
            return
        configuration = self._draw_configuration(self._generation + 1)
        response = self._tier.push(configuration, self._generation)
        if response.status == 200:
            self._generation += 1
        elif response.status in (400, 0, 503):
            # Without a clear answer the change may be in force: it is sent again until it is acknowledged.
            self._repeat(configuration)

    def _repeat(self, configuration: dict) -> None:
        for _ in range(100):
            self._world.run(self._world.time + STEP_S)
            self._recover()
            primary = self._tier.primary()
            if primary is None:
                continue
            status = self._tier.push(configuration, self._generation).status
            if status == 200:
                self._generation += 1
                return
            if status == 400:
                self.broken.append(f"CONFIG a proper configuration gets 400: {msgspec.json.encode(configuration)!r}")
                return

    def _send_faulty_changes(self) -> None:
        """Send configurations with a fault; none may be acknowledged."""
        proper = self._draw_configuration(self._generation + 1)
        for _ in range(FAULTY_CHANGES):
            faulty = self._grammar.with_fault(self._grammar.varied(proper))
            status = self._tier.push(faulty, self._generation).status
            self.counts["faulty_change"] += 1
            if status != 400:
                self.broken.append(f"CONFIG a faulty configuration gets {status}: {msgspec.json.encode(faulty)!r}")

    def _draw_configuration(self, generation: int) -> dict:
        configuration = default_configuration(generation)
        kept = configuration["routes"][0] | {"timeout-ms": 1000 * self._timeout_s, "retention-s": self._retention_s}
        held = kept | {"name": "held", "path-prefix": HELD, "resumable": True}
        configuration["routes"] = [kept, held, *configuration["routes"][1:]]
        for route in configuration["routes"]:
            route["host"] = self._random.choice((route["host"], route["host"].upper(), route["host"] + ":8080"))
            for name in ("max-attempts", "timeout-ms", "target-latency-ms"):
                route[name] = self._random.choice((int, float))(route[name])
        configuration["generation"] = self._random.choice((int, float))(generation)
        return configuration


def play(seed: int) -> TurnHistory:
    """Play the history of a seed."""
    history = TurnHistory(seed)
    history.play()
    return history


def main() -> int:
    """Play the histories of a range of seeds. Exit code 1 if a rule was broken."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("first", type=int)
    parser.add_argument("last", type=int)
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    started_at = time.monotonic()
    totals: Counter[str] = Counter()
    broken = 0
    for seed in range(options.first, options.last + 1):
        history = play(seed)
        totals += history.counts
        broken += bool(history.broken)
        for text in history.broken[:5]:
            print(f"seed {seed}: {text}", flush=True)
    count = options.last - options.first + 1
    print(f"{count} histories, {broken} broken, {time.monotonic() - started_at:.0f} s; {dict(sorted(totals.items()))}")
    return int(broken > 0)


if __name__ == "__main__":
    sys.exit(main())
