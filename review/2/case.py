"""Full servers and an answer too many: requests that cannot be repeated run twice; see claim.txt."""

from __future__ import annotations

import sys
import threading
import time
from dataclasses import dataclass
from pathlib import Path

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
from review.servers import Runs, Server

CLIENTS = 12
PLAY_S = 80.0
PAUSE_S = 0.02  # of a client between two requests
DEADLINE_MS = 2000
WORK_S = 0.01
SLOTS = 6
FULL_S, FREE_S = 0.06, 0.06  # others fill the servers for a while, again and again
EXTRA_SHARE = 0.06  # of the answers; the site's largest dose is 0.03
PROMISES = (408, 421, 429, 503)
READY_S = 20.0
HOST, PREFIX, SERVICE = "mesas.example", "/sancion/", "secretaria"

ROUTE = {
    "name": "registro-sancion",
    "host": HOST,
    "path-prefix": PREFIX,
    "route-type": "unsafe",
    "timeout-ms": DEADLINE_MS,
    "target-latency-ms": 333,
    "priority": 2,
    "backend": SERVICE,
    "max-attempts": 1,
}
SERVICES = [{"name": SERVICE, "health-check": "/healthz", "max-connections": 110, "protocol": "h1", "tls": False}]


@dataclass
class Traffic:
    """Clients that send one unsafe request after the other, each with an id of its own, and never again.

    They stop at ``end``, or once a request has run twice.
    """

    tier: Tier
    record: Record
    runs: Runs
    end: float
    answers: dict[str, int]

    def client(self, number: int) -> None:
        """One client."""
        serial = 0
        while time.monotonic() < self.end and not self.runs.repeated.is_set():
            serial += 1
            request_id = f"c{number}-{serial}"
            answer = self._send(request_id)
            self.answers[request_id] = answer.status
            self.record.note(f"client: {request_id} -> {answer.status or 'no answer'}")
            time.sleep(PAUSE_S)

    def _send(self, request_id: str) -> Answer:
        headers = {
            "Host": HOST,
            "Lynxscale-Request-Id": request_id,
            "Lynxscale-Deadline-Ms": str(DEADLINE_MS),
        }
        address = self.tier.frontend("edge-1")
        return call(address, "POST", f"{PREFIX}2f", b"penalty " + request_id.encode(), headers, DEADLINE_MS / 1000)


def others_fill_the_servers() -> bool:
    """Whether requests of other callers take all places now."""
    return time.monotonic() % (FULL_S + FREE_S) < FULL_S


def start(tier: Tier, runs: Runs) -> list[Server]:
    """Start the deployment and its servers, and wait until the relay is ready. Raises CouldNotRunError."""
    extra_share = EXTRA_SHARE if with_trouble() else 0.0
    servers = []
    for number, zone in enumerate(("bilbao", "oviedo", "santander"), 1):
        address = f"127.{tier.network}.4.{number}:{tier.port}"
        server = Server(f"i-{number}", address, tier.record, runs, WORK_S, others_fill_the_servers, extra_share)
        servers.append(server)
        tier.platform.instances.append(server.listed(SERVICE, zone, SLOTS))
    for number in (1, 2, 3):
        tier.launch(f"store-{number}", bootstrap=True)
    tier.launch("edge-1", bootstrap=True)
    if Operator(tier).order("POST", "/config/replace", configuration(5, [ROUTE], SERVICES), 0, READY_S).status != 200:
        raise CouldNotRunError("the configuration was not acknowledged")
    tier.await_ready("edge-1", READY_S)
    return servers


def breaches(answers: dict[str, int], runs: Runs) -> list[str]:
    """What broke TWICE or REFUSED."""
    found = [f"TWICE: {request} ran {count} times" for request, count in sorted(runs.count.items()) if count > 1]
    for request, status in sorted(answers.items()):
        if status in PROMISES and runs.count.get(request):
            found.append(f"REFUSED: {request} was answered {status}, and has run")
    return found


def main() -> int:
    """Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    end_on_sigterm()
    record = Record(Path(__file__).parent / "record.txt")
    tier = Tier(record)
    runs = Runs()
    servers: list[Server] = []
    try:
        servers = start(tier, runs)
        traffic = Traffic(tier, record, runs, time.monotonic() + PLAY_S, {})
        clients = [threading.Thread(target=traffic.client, args=(number,)) for number in range(CLIENTS)]
        for client in clients:
            client.start()
        for client in clients:
            client.join()
        time.sleep(WORK_S * 5)
        found = breaches(traffic.answers, runs)
        served = sum(status == 200 for status in traffic.answers.values())
        record.note(f"{len(traffic.answers)} requests, {served} answered 200, {sum(runs.count.values())} runs")
        for breach in found:
            record.note(f"BROKEN: {breach}")
        record.note("verdict: " + ("broken" if found else "held"))
        return BROKEN if found else HELD
    except CouldNotRunError as error:
        record.note(f"verdict: could not run: {error}")
        return COULD_NOT_RUN
    finally:
        tier.close()
        for server in servers:
            server.close()
        record.close()


if __name__ == "__main__":
    sys.exit(main())
