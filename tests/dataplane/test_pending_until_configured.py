"""Requests that arrive before the relay is configured."""

import pytest

from lab.tier.simulated_tier import SimulatedTier, default_configuration
from lab.tier.world import World
from lynxscale.dataplane.headers import DEADLINE_MS
from lynxscale.dataplane.pending_until_configured import (
    MAX_PENDING,
    MAX_WAIT_S,
    WAIT_DEADLINE_SHARE,
    PendingRequest,
    PendingUntilConfigured,
)
from lynxscale.runtime.http_types import Head, Request, Response
from lynxscale.runtime.responder import Responder
from tests.simulated_tier import executed_request


def test_a_request_before_the_first_configuration_is_served_once_that_arrives():
    tier = SimulatedTier(World(3))
    tier.world.run(1.5)
    answer, _ = tier.start_request("/look/1")
    tier.world.run(tier.world.time + 0.1)
    assert tier.push(default_configuration(), 0).status == 200
    assert tier.world.run_until(lambda: answer.ended, 2.0)
    assert answer.status == 200


def test_an_endpoint_gets_only_the_time_that_is_left_after_the_wait():
    """Regression: it was told the client's whole deadline, and worked on after the client had left."""
    tier = SimulatedTier(World(3))
    tier.world.run(1.5)
    answer, _ = tier.start_request("/look/1", request_id="r", lynxscale_deadline_ms="2000")
    tier.world.run(tier.world.time + 0.5)
    assert tier.push(default_configuration(), 0).status == 200
    assert tier.world.run_until(lambda: answer.ended, 2.0) and answer.status == 200
    assert 0 < executed_request(tier, "r").head.number(DEADLINE_MS) < 1500


class RecordingResponder:
    """Records the responses. Implements the part of Responder that is used here."""

    def __init__(self) -> None:
        self.statuses: list[int] = []

    def respond(self, response: Response) -> None:
        """Part of Responder."""
        self.statuses.append(response.status)


class RecordingExchange:
    """Records whether its client has disconnected. Implements Exchange."""

    def __init__(self) -> None:
        self.disconnected = False

    def on_client_disconnected(self) -> None:
        """Part of Exchange."""
        self.disconnected = True


class Waiting:
    """Pending requests on a simulated clock, with the requests served and their exchanges."""

    def __init__(self) -> None:
        self.world = World(1)
        self.served: list[str] = []
        self.exchanges: list[RecordingExchange] = []
        self.pending = PendingUntilConfigured(self.world.machine("a:1").clock(), self._serve)

    def _serve(self, request: Request, responder: Responder) -> RecordingExchange:
        self.served.append(request.target)
        self.exchanges.append(RecordingExchange())
        return self.exchanges[-1]

    def add(self, target: str, deadline_ms: int | None = None) -> tuple[PendingRequest | None, RecordingResponder]:
        """Add a request; return its pending request and its responder."""
        responder = RecordingResponder()
        fields = () if deadline_ms is None else ((DEADLINE_MS, b"%d" % deadline_ms),)
        return self.pending.add(Request("GET", target, Head(fields)), responder), responder


@pytest.mark.parametrize(
    ("deadline_ms", "wait_s"), [(None, MAX_WAIT_S), (1000, WAIT_DEADLINE_SHARE), (60_000, MAX_WAIT_S)]
)
def test_a_request_waits_for_its_share_of_the_clients_time_and_is_rejected_once(deadline_ms, wait_s):
    waiting = Waiting()
    _, responder = waiting.add("/a", deadline_ms)
    waiting.world.run(wait_s - 0.01)
    assert responder.statuses == []
    waiting.world.run(wait_s + 0.01)
    assert responder.statuses == [503]
    waiting.pending.serve_all()
    waiting.world.run(wait_s + 5)
    assert responder.statuses == [503] and waiting.served == []
    assert waiting.pending._pending == []


def test_a_request_that_was_served_is_not_rejected_later():
    waiting = Waiting()
    _, responder = waiting.add("/a")
    waiting.pending.serve_all()
    waiting.pending.serve_all()
    waiting.world.run(5.0)
    assert waiting.served == ["/a"] and responder.statuses == []


def test_a_client_that_leaves_is_not_served_and_one_that_leaves_later_ends_its_exchange():
    waiting = Waiting()
    gone, responder = waiting.add("/gone")
    stays, _ = waiting.add("/stays")
    gone.on_client_disconnected()
    waiting.pending.serve_all()
    assert waiting.served == ["/stays"]
    assert not waiting.exchanges[0].disconnected
    stays.on_client_disconnected()
    assert waiting.exchanges[0].disconnected
    waiting.world.run(5.0)
    assert responder.statuses == []


def test_beyond_a_number_of_waiting_requests_each_is_rejected_at_once():
    waiting = Waiting()
    for number in range(MAX_PENDING):
        assert waiting.add(f"/{number}")[0] is not None
    one_more, responder = waiting.add("/more")
    assert one_more is None and responder.statuses == [503]
