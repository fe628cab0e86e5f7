"""Short soaks of real processes, and what their checker finds."""

import asyncio
from random import Random

import pytest

from lab.tier.configuration_grammar import ConfigurationGrammar
from lab.tier.disturbances import VOTERS, Disturbance
from lab.tier.fakes import FakeEndpoint
from lab.tier.history_checker import COMPLETE_STREAM
from lab.tier.line_clients import PAUSING, LineClients
from lab.tier.persistent_clients import PersistentRequest
from lab.tier.resumable_turns import Line, unasked_prompts
from lab.tier.simulated_tier import MODEL, TOOLS
from lab.tier.soak import SoakSize, logged_faults, play, spare_one_model_endpoint
from lab.tier.soak_rules import SoakChecker
from lab.tier.upgrade_load import Load
from lynxscale.dataplane.headers import REQUEST_ID
from lynxscale.discovery.endpoint import Endpoint
from lynxscale.runtime.http_client import ResponseFailure
from lynxscale.runtime.http_types import Head, Request, Response

SEEDS = (1, 2, 7)
VOTER_SEEDS = (1, 4)
CROWDED_SEEDS = (1, 2)


def test_short_soaks_break_no_rule():
    """Guards against review cases 2 and 3, and processes that signals end; ``python -m lab.tier.soak`` for longer.

    The seeds are played one after the other, as each needs most of a small machine.
    """
    for seed in SEEDS:
        result = play(seed, SoakSize(seconds=8.0))
        assert not result.violations, (str(result), result.violations)
        assert result.late_answers and result.statuses[200] and result.disturbances["restart"], str(result)
        assert result.routed_turns[200] and result.resumable_turns, str(result)


def test_a_short_soak_that_kills_voters_amid_their_replacement_breaks_no_rule():
    """Guards against review case 1: one control member is a spare, and halves of the group run alone."""
    results = [play(seed, SoakSize(seconds=10.0, controls=4)) for seed in VOTER_SEEDS]
    for result in results:
        assert not result.violations, (str(result), result.violations)
    assert sum(result.disturbances[VOTERS] for result in results), list(map(str, results))


@pytest.mark.parametrize(("status", "faults"), [(400, 0), (412, 0), (503, 0), (0, 0), (200, 1), (500, 1)])
def test_a_faulty_change_that_is_not_refused_is_a_fault(status, faults):
    """What the operator of a soak reports."""

    class Tier:
        control_names = ("control-1",)

        def control(self, name):
            return name

        async def call(self, *request):
            return Response(status)

    load = Load(Tier(), Random(1), grammar=ConfigurationGrammar("test"))
    asyncio.run(load._send_faulty_change(1, {"generation": 2}))
    assert len(load.faults) == faults and load.faulty_changes[status] == 1


def test_one_model_endpoint_always_ends_its_streams_properly():
    """In soak seeds 19, 32, 42 and 311 none did, so that no turn on a resumable route was complete."""
    endpoints = [
        FakeEndpoint(Endpoint(str(n), service, f"h:{n}", "z", 1, "ready"), None, lambda *_: None)
        for n, service in enumerate((MODEL, MODEL, TOOLS))
    ]
    for endpoint in endpoints:
        endpoint.ends_within_event = True
    spare_one_model_endpoint(endpoints)
    assert [endpoint.ends_within_event for endpoint in endpoints] == [False, True, True]


class ExecutedRequests:
    """An endpoint that executed requests with the given ids."""

    def __init__(self, *request_ids: str) -> None:
        self.executed = [Request("POST", "/", Head(((REQUEST_ID, name.encode()),))) for name in request_ids]


def persistent_request(path: str = "/book/1", status: int = 200, elapsed_s: float = 0.1, **fields) -> PersistentRequest:
    """A request with the id ``a`` that was sent at 100.0 and answered completely, unless ``fields`` say otherwise."""
    request = PersistentRequest("a", path, "relay-1", 0, 100.0, 100.0 + elapsed_s, status, "a")
    request.body = bytearray(COMPLETE_STREAM if path == "/open/stream" else b"done")
    request.complete = True
    for name, value in fields.items():
        setattr(request, name, value)
    return request


CLOSED = {"complete": False, "failure": ResponseFailure.CLOSED, "status": 0}


@pytest.mark.parametrize(
    ("request_seen", "runs", "rule"),
    [
        (persistent_request(), 1, ""),
        (persistent_request(), 2, "TWICE"),
        (persistent_request(status=503), 0, ""),
        (persistent_request(status=503), 1, "REFUSED"),
        (persistent_request("/look/1"), 2, ""),
        (persistent_request("/look/1"), 3, "TWICE"),
        (persistent_request(answered_id="b"), 1, "MIXED"),
        (persistent_request(), 0, "MIXED"),
        (persistent_request("/open/stream", body=bytearray(COMPLETE_STREAM[:-1])), 1, "ORDER"),
        (persistent_request(status=404), 0, "DENIED"),
        (persistent_request(**CLOSED), 1, "LOST"),
        (persistent_request(**CLOSED), 0, ""),
        (persistent_request(**CLOSED, elapsed_s=0.3), 0, "LOST"),
        (persistent_request("/open/stream", **CLOSED), 1, "LOST"),
    ],
)
def test_the_checker_finds_what_is_broken(request_seen, runs, rule):
    checker = SoakChecker([request_seen], [ExecutedRequests(*["a"] * runs)], False, [], [])
    assert [violation.partition(" ")[0] for violation in checker.violations()] == ([rule] if rule else [])


@pytest.mark.parametrize(
    ("kind", "end", "lost"), [("restart", 101.0, True), ("kill", 101.0, False), ("kill", 96.0, True)]
)
def test_only_unplanned_trouble_near_the_request_excuses_a_lost_connection(kind, end, lost):
    disturbance = Disturbance(kind, "relay-1", 90.0, end)
    checker = SoakChecker([persistent_request(**CLOSED)], [ExecutedRequests("a")], False, [disturbance], [])
    assert bool(list(checker.violations())) == lost


def test_a_stall_of_the_machine_excuses_a_lost_connection_but_no_second_run():
    stall = [(99.9, 100.2)]
    lost = SoakChecker([persistent_request(**CLOSED)], [ExecutedRequests("a")], False, [], stall)
    twice = SoakChecker([persistent_request(**CLOSED)], [ExecutedRequests("a", "a")], False, [], stall)
    assert not list(lost.violations()) and len(list(twice.violations())) == 1


def test_a_fault_in_a_log_is_told_with_its_traceback():
    log = "event=started\nTraceback (most recent call last):\n  File a\n    b()\nValueError: c\nevent=bad_message\n"
    traceback = "Traceback (most recent call last):\n      File a\n        b()\n    ValueError: c"
    assert logged_faults(log) == [traceback, "event=bad_message"]


@pytest.mark.parametrize(("age_s", "lost"), [(0.9, True), (1.1, False)])
def test_a_turn_that_is_missing_within_its_retention_is_lost(age_s, lost):
    """What clients that pause for as long as their turns are stored would report."""
    clients = LineClients(None, Random(1), 0, PAUSING)
    line = Line("line", "/short/stream", 100, resumes=False, previous="a", ended_at=100.0)
    clients._on_missing(line, persistent_request("/short/stream", 404, ended_at=100.0 + age_s))
    assert [text.split()[0] for text in line.broken] == ["LOST"] * lost
    assert (line.previous, clients.expired) == ("", 1)


def test_lines_of_resumable_turns_are_judged():
    """What the clients that resume streams would report."""
    line = Line("line", "/held/stream", 3, resumes=True)
    line.next_request("a")
    assert not line.on_response("a", 200, b"id: 1\ndata: x-a\n\nid: 2\r\ndata: y-a\r\n\r\nid: 3\nda", False, 1.0)
    assert line.next_request("b")["last_event_id"] == "2"
    assert line.on_response("b", 200, b"id: 3\ndata: z-b\n\n", True, 2.0)
    assert (line.said, line.previous, line.resumed) == (b"input 0 of line x-a\ny-a\nz-b\n", "b", 1)
    line.next_request("c")
    endpoint = ExecutedRequests()
    endpoint.executed = [Request("POST", "/", Head(((REQUEST_ID, b"c"),)), b"z-b\ninput 1 of line ")]
    assert [text.split()[0] for text in unasked_prompts([line], [endpoint])] == ["UNASKED"]
    assert line.on_response("c", 200, b"id: 2\ndata: y\n\n", True, 3.0)
    assert [text.split()[0] for text in line.broken] == ["ORDER"]


def test_a_short_soak_with_clients_that_use_up_descriptors_and_memory_breaks_no_rule():
    """Guards against processes that end or answer no more as their descriptors or memory run out."""
    for seed in CROWDED_SEEDS:
        result = play(seed, SoakSize(seconds=8.0, crowding_clients=4))
        assert not result.violations, (str(result), result.violations)
        assert result.crowds and result.statuses[200], str(result)
