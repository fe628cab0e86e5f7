"""A relay wakes and answers a turn from its old routes, with a final 404; see claim.txt."""

from __future__ import annotations

import http.client
import sys
import time
from pathlib import Path
from typing import Any

from review.harness import (
    BROKEN,
    COULD_NOT_RUN,
    HELD,
    Answer,
    CouldNotRunError,
    Operator,
    Record,
    Tier,
    call,
    configuration,
    end_on_sigterm,
    with_trouble,
)
from review.servers import Runs, Server, output

ROUNDS = 6
READY_S = 20.0
ACK_S = 4.0  # ``ack-ms``
APPLY_S = 2.0  # ``config-apply-ms``
RETENTION_S = 60.0
BEFORE_CHANGE_S = 3.0  # the relay is frozen for so long before the change
SENT_BEFORE_S = 0.5  # the turn is sent so long before the relay wakes
CALM_S = 4.5  # between two rounds
DEADLINE_MS = 4000
WORK_S = 0.02
EVENTS = 4
HOST, SERVICE = "mesas.example", "asesores"
ENGINE = {
    "slots": 16,
    "kv-capacity-tokens": 181053,
    "kv-token-bytes": 327680,
    "link-mbps": 1100000.0,
    "stream-stride": 9,
    "models": [{"name": "m"}],
}
SERVICES = [
    {
        "name": SERVICE,
        "health-check": "/healthz",
        "max-connections": 180,
        "protocol": "h1",
        "tls": False,
        "engine": ENGINE,
    }
]
NO_SUCH_TURN = (404, 410)


def route(name: str) -> dict[str, Any]:
    """A route whose turns the system keeps, as in the deployment."""
    return {
        "name": name,
        "host": HOST,
        "path-prefix": f"/{name}/",
        "route-type": "streaming",
        "timeout-ms": DEADLINE_MS,
        "target-latency-ms": 200,
        "priority": 0,
        "backend": SERVICE,
        "max-attempts": 2,
        "retained": True,
        "retention-s": RETENTION_S,
        "session-affinity": True,
        "resumable": False,
        "gap_aim_ms": 200,
    }


class Case:
    """One play: in each round a route is added, and a conversation on it goes on through the other relay."""

    def __init__(self, record: Record, tier: Tier) -> None:
        self.record = record
        self.tier = tier
        self.operator = Operator(tier)
        self.servers: list[Server] = []
        self.routes = [route("mazo-0")]
        self.generation = 5
        self.broken: list[str] = []

    def start(self) -> None:
        """Start the deployment and its servers. Raises CouldNotRunError."""
        runs = Runs()
        for number, zone in enumerate(("bilbao", "oviedo"), 1):
            address = f"127.{self.tier.network}.4.{number}:{self.tier.port}"
            server = Server(f"i-{number}", address, self.record, runs, WORK_S, events=EVENTS)
            self.servers.append(server)
            self.tier.platform.instances.append(server.listed(SERVICE, zone, 16))
        for number in (1, 2, 3):
            self.tier.launch(f"store-{number}", bootstrap=True)
        for number in (1, 2):
            self.tier.launch(f"edge-{number}", bootstrap=True)
        self.change(0, READY_S)
        for number in (1, 2):
            self.tier.await_ready(f"edge-{number}", READY_S)

    def change(self, base: int, within_s: float) -> None:
        """Send the routes as a new configuration. Raises CouldNotRunError if it is not acknowledged."""
        body = configuration(self.generation, self.routes, SERVICES)
        if self.operator.order("POST", "/config/replace", body, base, within_s).status != 200:
            raise CouldNotRunError("a configuration was not acknowledged")

    def play(self, number: int) -> None:
        """One round."""
        kept = http.client.HTTPConnection(self.tier.frontend("edge-2"), timeout=DEADLINE_MS / 1000)
        self.send(kept, "mazo-0", f"r{number}-a", "")  # the connection has been in use before
        if self.receive(kept, f"r{number}-a", "").status != 200:
            raise CouldNotRunError("a turn before the disruption was not answered")
        if with_trouble():
            self.tier.freeze("edge-2")
        time.sleep(BEFORE_CHANGE_S)
        added = f"mazo-{number}"
        self.routes.append(route(added))
        self.generation += 2
        self.change(self.generation - 2, ACK_S)
        first, second = f"r{number}-b", f"r{number}-c"
        self.first_turn(added, first)
        answered_at = time.monotonic()
        self.send(kept, added, second, first)
        time.sleep(SENT_BEFORE_S)
        if with_trouble():
            self.tier.wake("edge-2")
        answer = self.receive(kept, second, first)
        self.judge(answer, second, first, time.monotonic() - answered_at)
        kept.close()

    def judge(self, answer: Answer, turn: str, previous: str, age_s: float) -> None:
        """Check a turn that goes on from one answered whole ``age_s`` seconds ago."""
        if answer.status in NO_SUCH_TURN and age_s < RETENTION_S:
            told = f"its Previous, {previous}, was answered whole {age_s:.1f} s ago"
            self.broken.append(f"LOST: {turn} got {answer.status}; {told}")
        expected = b"hello " + output(previous, EVENTS) + b"go on "
        for server in self.servers:
            for request in server.received:
                if request.id == turn and request.body != expected:
                    self.broken.append(f"UNASKED: {turn} ran with {request.body!r}, due was {expected!r}")

    # The client ------------------------------------------------------------------------------------------

    def first_turn(self, name: str, turn: str) -> None:
        """The first turn on an added route, through edge-1, until it is whole. Raises CouldNotRunError."""
        address, answer = self.tier.frontend("edge-1"), Answer(0)
        end = time.monotonic() + APPLY_S
        while answer.status != 200 and time.monotonic() < end:
            answer = call(address, "POST", f"/{name}/4b", b"hello ", self.headers(turn, ""), DEADLINE_MS / 1000)
            self.note_answer("edge-1", turn, "", answer)
        if answer.status != 200:
            raise CouldNotRunError("the first turn on the added route was not answered")

    def send(self, kept: http.client.HTTPConnection, name: str, turn: str, previous: str) -> None:
        """Send a turn to edge-2 on a kept connection."""
        self.record.note(f"client: {turn} (Previous {previous or 'none'}) is sent to edge-2 on a kept connection")
        kept.request("POST", f"/{name}/4b", b"go on " if previous else b"hello ", self.headers(turn, previous))

    def receive(self, kept: http.client.HTTPConnection, turn: str, previous: str) -> Answer:
        """The answer to the turn that was sent on the kept connection."""
        try:
            response = kept.getresponse()
            answer = Answer(response.status, {k.lower(): v for k, v in response.getheaders()}, response.read())
        except (OSError, http.client.HTTPException) as error:
            self.record.note(f"client: {turn}: {error!r}")
            answer = Answer(0)
        self.note_answer("edge-2", turn, previous, answer)
        return answer

    def note_answer(self, relay: str, turn: str, previous: str, answer: Answer) -> None:
        """Record an answer."""
        signature = answer.headers.get("lynxscale-response-signature", "none")
        told = f"{answer.status or 'no answer'}, signature {signature}"
        self.record.note(f"client: {turn} (Previous {previous or 'none'}) through {relay} -> {told}")

    @staticmethod
    def headers(turn: str, previous: str) -> dict[str, str]:
        """The headers of a turn."""
        fields = {
            "Host": HOST,
            "Lynxscale-Request-Id": turn,
            "Lynxscale-Deadline-Ms": str(DEADLINE_MS),
            "Lynxscale-Model": "m",
            "Lynxscale-Token-Count": "400,72",
            "Lynxscale-Prompt-Prefix": "5c1e07a2:512",
            "Program": turn.partition("-")[0],
            "Session": "s",
            "Finish-Ms": "20000",
            "Budget": "5000",
        }
        return fields | ({"Previous": previous} if previous else {})


def main() -> int:
    """Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    end_on_sigterm()
    record = Record(Path(__file__).parent / "record.txt")
    tier = Tier(record)
    case = Case(record, tier)
    try:
        case.start()
        for number in range(1, ROUNDS + 1):
            time.sleep(CALM_S)
            case.play(number)
        for breach in case.broken:
            record.note(f"BROKEN: {breach}")
        record.note("verdict: " + ("broken" if case.broken else "held"))
        return BROKEN if case.broken else HELD
    except CouldNotRunError as error:
        record.note(f"verdict: could not run: {error}")
        return COULD_NOT_RUN
    finally:
        tier.close()
        for server in case.servers:
            server.close()
        record.close()


if __name__ == "__main__":
    sys.exit(main())
