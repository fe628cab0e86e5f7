"""Forwarded requests under faults: expired deadlines, disconnected clients, untrusted responses, lost primaries."""

import msgspec
import pytest

from lab.tier.simulated_tier import SimulatedTier, default_configuration
from lynxscale.controlplane.program_state import PROGRAM_PREFIX, ProgramRecord
from lynxscale.coordination.messages import AdmitTurn, FinishTurn
from lynxscale.dataplane.endpoint_state import EndpointState
from lynxscale.dataplane.retry_policy import QUEUE_WAIT_SHARE
from lynxscale.dataplane.turns import ADMISSION_TIMEOUT_S, COMMIT_TIMEOUT_S
from tests.simulated_tier import EVENTS, endpoints_that_ran, settled_tier

HANG_S = 60.0  # a service time beyond all deadlines
MODELS, TOOLS = ("i-0", "i-1"), ("i-2", "i-3")


def hang(tier: SimulatedTier) -> None:
    """Make all endpoints hang."""
    for endpoint in tier.endpoints.values():
        endpoint.service_time_s = HANG_S


def running(tier: SimulatedTier) -> int:
    """The number of requests that the endpoints are executing."""
    return sum(endpoint.running for endpoint in tier.endpoints.values())


def states(tier: SimulatedTier) -> dict[str, EndpointState]:
    """The first relay's endpoint states, by endpoint id."""
    return tier.relays[tier.relay_hosts[0]].balancer.states


def set_windows(tier: SimulatedTier, window: int = 6) -> None:
    """Set the first relay's concurrency window for each endpoint."""
    for state in states(tier).values():
        state.window = window


def program_record(tier: SimulatedTier, program: str) -> ProgramRecord:
    """A program's record in the primary's store."""
    return msgspec.json.decode(tier.primary().member.store.values[PROGRAM_PREFIX + program], type=ProgramRecord)


# Deadlines -----------------------------------------------------------------------------------------------


@pytest.mark.parametrize(("client_ms", "ended_after_s"), [("700", 0.7), ("60000", 4.0)])
def test_the_shorter_of_the_clients_and_the_routes_time_counts(client_ms, ended_after_s):
    tier = settled_tier()
    hang(tier)
    begun = tier.world.time
    answer = tier.request("/book/1", lynxscale_deadline_ms=client_ms)
    assert answer.status == 504
    assert answer.ended_at - begun == pytest.approx(ended_after_s, abs=0.1)


def test_an_expired_deadline_ends_the_attempt_at_the_endpoint():
    """Otherwise it continues there, and its slot stays occupied at the relay."""
    tier = settled_tier()
    set_windows(tier)
    hang(tier)
    answer = tier.request("/book/1", lynxscale_deadline_ms="500", request_id="b")
    tier.world.run(tier.world.time + 0.1)
    assert answer.status == 504
    assert running(tier) == 0
    state = states(tier)[endpoints_that_ran(tier, "b")[0]]
    assert state.in_flight == 0 and state.window == 3
    assert state.failure_rate.current > 0


def test_a_deadline_that_expires_before_anything_was_sent_is_503():
    tier = settled_tier()
    hang(tier)
    for state in states(tier).values():
        state.cooldown_until = 1e9
    begun = tier.world.time
    answer = tier.request("/book/1", lynxscale_deadline_ms="1000")
    assert answer.status == 503 and float(answer.head.text(b"retry-after")) > 0
    assert answer.ended_at - begun == pytest.approx(QUEUE_WAIT_SHARE * 1.0, abs=0.1)


def test_a_deadline_in_the_middle_of_a_stream_aborts_it():
    tier = settled_tier()
    for name in MODELS:
        tier.endpoints[name].events = 1000
    answer = tier.request("/open/stream", lynxscale_deadline_ms="500")
    tier.world.run(tier.world.time + 0.1)
    assert answer.status == 200 and not answer.complete and answer.failure is not None
    assert running(tier) == 0


def test_after_a_deadline_nothing_more_happens_to_the_request():
    tier = settled_tier()
    hang(tier)
    answer = tier.request("/look/1", lynxscale_deadline_ms="300", request_id="l")
    assert answer.status == 504
    tier.world.run(tier.world.time + 5)
    assert len(endpoints_that_ran(tier, "l")) == 1
    for endpoint in tier.endpoints.values():
        endpoint.service_time_s = 0.05
    tier.world.run(tier.world.time + 2)
    answers = [tier.request("/look/1", lynxscale_deadline_ms="400") for _ in range(3)]
    tier.world.run(tier.world.time + 2)
    assert [response.status for response in answers] == [200] * 3
    assert all(state.failure_rate.current < 0.2 for state in states(tier).values())


# The queue -----------------------------------------------------------------------------------------------


def test_a_request_waits_for_a_slot_for_its_share_of_the_time_and_leaves_the_queue_then():
    tier = settled_tier()
    hang(tier)
    for number in range(2):
        tier.start_request("/book/1", request_id=f"busy{number}")
    tier.world.run(tier.world.time + 0.1)
    begun = tier.world.time
    answer = tier.request("/book/1", lynxscale_deadline_ms="2000", request_id="waits")
    assert answer.status == 503
    assert answer.ended_at - begun == pytest.approx(QUEUE_WAIT_SHARE * 2.0, abs=0.1)
    queue = tier.relays[tier.relay_hosts[0]].balancer.queue
    assert not any(queue._queues.values())
    tier.world.run(tier.world.time + 5)
    assert endpoints_that_ran(tier, "waits") == []


@pytest.mark.parametrize("ending", ["response", "failure", "disconnect"])
def test_a_released_slot_is_used_at_once(ending):
    """The queue is served when a slot is released, not only by its poll every 50 ms."""
    tier = settled_tier()
    for name in TOOLS:
        tier.endpoints[name].service_time_s = 0.5
    connections = [tier.start_request("/book/1", request_id=f"busy{number}")[1] for number in range(2)]
    tier.world.run(tier.world.time + 0.1)
    _, _ = tier.start_request("/book/1", request_id="waits", lynxscale_deadline_ms="4000")
    tier.world.run(tier.world.time + 0.1)
    assert endpoints_that_ran(tier, "waits") == []
    queue = tier.relays[tier.relay_hosts[0]].balancer.queue
    queue._poll_timer.cancel()
    for name in TOOLS:
        tier.endpoints[name].fails = ending == "failure"
    if ending == "disconnect":
        connections[0].close()
    tier.world.run(tier.world.time + 0.6)
    assert len(endpoints_that_ran(tier, "waits")) == 1


def test_a_client_that_leaves_while_it_waits_leaves_the_queue():
    tier = settled_tier()
    for name in TOOLS:
        tier.endpoints[name].service_time_s = 0.5
    for number in range(2):
        tier.start_request("/book/1", request_id=f"busy{number}")
    tier.world.run(tier.world.time + 0.1)
    _, connection = tier.start_request("/book/1", request_id="gone")
    tier.world.run(tier.world.time + 0.1)
    connection.close()
    tier.world.run(tier.world.time + 2)
    assert endpoints_that_ran(tier, "gone") == []


# Restarts and retries ------------------------------------------------------------------------------------


def restarting_tier() -> tuple[SimulatedTier, str]:
    """A tier whose first relay has a restart timeout, and the id of an endpoint that hangs."""
    tier = settled_tier()
    for number in range(60):
        assert tier.request("/look/1", method="GET", request_id=f"w{number}").status == 200
    hung = endpoints_that_ran(tier, "w59")[0]
    tier.endpoints[hung].service_time_s = HANG_S
    return tier, hung


def restarted_call(tier: SimulatedTier, hung: str) -> str:
    """Send calls until one is restarted, and return its request id."""
    for number in range(6):
        assert tier.request("/look/1", method="GET", request_id=f"c{number}").status == 200
        if len(endpoints_that_ran(tier, f"c{number}")) == 2:
            return f"c{number}"
    raise AssertionError("no call was restarted")


def test_a_restart_ends_the_abandoned_attempt_and_takes_a_restart_token():
    tier, hung = restarting_tier()
    tokens = states(tier)[hung].restart_tokens
    restarted_call(tier, hung)
    tier.world.run(tier.world.time + 0.1)
    assert tier.endpoints[hung].running == 0
    assert states(tier)[hung].in_flight == 0
    assert states(tier)[hung].restart_tokens == tokens - 1
    assert states(tier)[hung].failure_rate.current > 0


def test_a_restarted_call_counts_both_executions():
    """The route allows two executions, so the second attempt is neither restarted nor followed by a third."""
    tier, hung = restarting_tier()
    for name in TOOLS:
        tier.endpoints[name].service_time_s = HANG_S
        for _ in range(60):
            states(tier)[name].on_success(50.0)
        states(tier)[name].restart_tokens = 3.0
        assert states(tier)[name].sample.restart_timeout_ms < 200
    answer = tier.request("/look/1", method="GET", request_id="twice")
    assert answer.status == 504
    assert len(endpoints_that_ran(tier, "twice")) == 2


def test_a_server_error_of_a_safe_call_is_retried_and_that_of_an_unsafe_one_passed_on():
    tier = settled_tier()
    for name in TOOLS:
        tier.endpoints[name].status = 500
    safe = tier.request("/look/1", request_id="safe")
    unsafe = tier.request("/book/1", request_id="unsafe")
    assert (safe.status, len(endpoints_that_ran(tier, "safe"))) == (500, 2)
    assert (unsafe.status, len(endpoints_that_ran(tier, "unsafe"))) == (500, 1)
    assert unsafe.body == b"done"
    assert all(states(tier)[name].failure_rate.current > 0 for name in TOOLS)


@pytest.mark.parametrize("status", [200, 299, 404])
def test_other_statuses_are_no_failures(status):
    tier = settled_tier()
    for name in TOOLS:
        tier.endpoints[name].status = status
    answer = tier.request("/look/1", request_id="one")
    assert (answer.status, len(endpoints_that_ran(tier, "one"))) == (status, 1)
    assert all(state.failure_rate.current == 0 for state in states(tier).values())


# Responses that cannot be trusted ------------------------------------------------------------------------


@pytest.mark.parametrize("fault", ["signed", "names_request"])
def test_a_response_without_signature_or_of_another_request_is_not_passed_on(fault):
    tier = settled_tier()
    for name in TOOLS:
        setattr(tier.endpoints[name], fault, False)
    unsafe = tier.request("/book/1", request_id="unsafe")
    safe = tier.request("/look/1", request_id="safe")
    assert unsafe.status == 502 and len(endpoints_that_ran(tier, "unsafe")) == 1
    assert safe.status == 502 and len(endpoints_that_ran(tier, "safe")) == 2
    for name in TOOLS:
        state = states(tier)[name]
        assert state.in_flight == 0 and state.failure_rate.current > 0
        assert not state.connections.has_idle  # the connection is out of step


def test_a_reported_load_is_taken_in():
    tier = settled_tier()
    for name in TOOLS:
        tier.endpoints[name].load = "5,2"
    tier.request("/look/1", request_id="one")
    assert states(tier)[endpoints_that_ran(tier, "one")[0]].load > 5


def test_an_address_with_another_endpoint_gets_no_second_request():
    tier = settled_tier()
    for name in TOOLS:
        tier.platform.rejects = True
        tier.add_endpoint("model", tier.endpoints[name].endpoint.address, f"new-{name}", slots=8)
    assert tier.request("/book/1", request_id="m").status == 503
    assert not any(states(tier)[name].ready for name in TOOLS)


# Streams -------------------------------------------------------------------------------------------------


def test_a_stream_that_ends_within_an_event_is_resumed_or_aborted():
    tier = settled_tier()
    tier.endpoints["i-0"].ends_within_event = True
    answers = [tier.request("/open/stream", request_id=f"o{number}") for number in range(4)]
    assert all(answer.complete and answer.body == EVENTS for answer in answers)
    tier.endpoints["i-1"].ends_within_event = True
    aborted = tier.request("/open/stream", request_id="both")
    assert not aborted.complete and EVENTS.startswith(aborted.body)


def test_a_stream_that_breaks_within_an_event_is_resumed_after_the_last_complete_one():
    tier = settled_tier()
    tier.endpoints["i-0"].aborts_after = tier.endpoints["i-1"].aborts_after = 2
    answer = tier.request("/open/stream", request_id="o")
    assert answer.body in (EVENTS, EVENTS[: len(answer.body)])
    assert answer.body.count(b"id: 3") <= 1


def test_a_stream_that_no_endpoint_can_continue_is_aborted_at_once():
    tier = settled_tier()
    tier.endpoints["i-0"].aborts_after = tier.endpoints["i-1"].aborts_after = 2
    answer, _ = tier.start_request("/open/stream", lynxscale_deadline_ms="4000")
    tier.world.run(tier.world.time + 0.07)
    for state in states(tier).values():
        state.cooldown_until = 1e9
    begun = tier.world.time
    assert tier.world.run_until(lambda: answer.ended, 5.0)
    assert not answer.complete and answer.ended_at - begun < 1.0


def test_a_retained_turn_without_a_budget_is_committed_before_its_end():
    tier = settled_tier()
    first = tier.request("/kept/stream", request_id="t1", body=b"a ", program="p", lynxscale_token_count="10,40")
    second = tier.request(
        "/kept/stream", request_id="t2", body=b"b", program="p", previous="t1", lynxscale_token_count="10,40"
    )
    assert first.complete and second.complete
    assert b"a word1" in next(
        request.body
        for endpoint in tier.endpoints.values()
        for request in endpoint.executed
        if request.head.text(b"lynxscale-request-id") == "t2"
    )


def test_a_budget_without_retention_is_charged_with_what_was_generated():
    tier = settled_tier()
    assert tier.turn("p", 1000, path="/open/stream").complete
    tier.world.run(tier.world.time + 1)
    assert program_record(tier, "p") == ProgramRecord(1000, 40, {}, 600.0)


def test_a_call_without_budget_or_retention_asks_the_primary_for_nothing():
    tier = settled_tier()
    sent = watch_calls(tier)
    assert tier.request("/open/stream", program="p").complete
    assert tier.request("/look/1", program="p", budget="10").status == 200
    assert sent == []


# Turns without a client or a primary ---------------------------------------------------------------------


def watch_calls(tier: SimulatedTier) -> list[AdmitTurn | FinishTurn]:
    """Record the admissions and ends of turns that relays send from now on, without retries."""
    sent: list[AdmitTurn | FinishTurn] = []
    for relay in tier.relays.values():
        call = relay.calls.call

        def watch(body: AdmitTurn | FinishTurn, *rest: object, call=call) -> None:
            sent.append(body)
            call(body, *rest)

        relay.calls.call = watch
    return sent


def test_a_client_that_leaves_during_admission_leaves_no_reservation():
    """Otherwise the tokens stay reserved, and the program runs out of budget."""
    tier = settled_tier()
    sent = watch_calls(tier)
    _, connection = tier.start_request(
        "/kept/stream", request_id="t", program="p", budget="100", lynxscale_token_count="10,40"
    )
    assert tier.world.run_until(lambda: len(sent) == 1, 1.0)
    connection.close()
    tier.world.run(tier.world.time + 2)
    assert program_record(tier, "p").reservations == {}
    assert [type(body) for body in sent] == [AdmitTurn, FinishTurn]
    assert sent[1].tokens == 0 and running(tier) == 0


def test_a_client_that_leaves_amid_its_turn_is_charged_what_was_generated_once():
    tier = settled_tier()
    for name in MODELS:
        tier.endpoints[name].events = 1000
    sent = watch_calls(tier)
    answer, connection = tier.start_request(
        "/kept/stream", request_id="t", program="p", budget="100000", lynxscale_token_count="10,40"
    )
    assert tier.world.run_until(lambda: answer.body.count(b"data:") >= 3, 3.0)
    connection.close()
    tier.world.run(tier.world.time + 2)
    ends = [body for body in sent if isinstance(body, FinishTurn)]
    assert len(ends) == 1 and ends[0].content is None and ends[0].tokens >= 30
    assert program_record(tier, "p").reservations == {} and running(tier) == 0


def test_a_committed_turn_is_ended_once():
    tier = settled_tier()
    sent = watch_calls(tier)
    assert tier.turn("p", 1000).complete
    tier.world.run(tier.world.time + 1)
    assert [type(body) for body in sent] == [AdmitTurn, FinishTurn]


def test_an_admission_without_a_reply_is_503_and_released_later():
    tier = settled_tier()
    sent = watch_calls(tier)
    for host in tier.control_hosts:
        tier.kill_control(host)
    begun = tier.world.time
    answer = tier.turn("p", 1000, lynxscale_deadline_ms="1500")
    assert answer.status == 503 and float(answer.head.text(b"retry-after")) > 0
    assert answer.ended_at - begun < 1.6
    tier.world.run(tier.world.time + 0.5)
    assert [type(body) for body in sent] == [AdmitTurn, FinishTurn] and sent[1].tokens == 0
    begun = tier.world.time
    second = tier.turn("p", 1000, lynxscale_deadline_ms="4000")
    assert second.status == 503 and second.ended_at - begun < ADMISSION_TIMEOUT_S + 0.5
    assert running(tier) == 0 and all(not endpoint.executed for endpoint in tier.endpoints.values())


def test_a_rejected_admission_passes_its_status_on_without_a_time_to_retry_after():
    tier = settled_tier()
    sent = watch_calls(tier)
    answer = tier.turn("p", 10)
    assert answer.status == 402 and not answer.head.text(b"retry-after")
    assert tier.turn("p", 1000, previous="never").status == 404
    tier.world.run(tier.world.time + 1)
    assert [type(body) for body in sent] == [AdmitTurn, AdmitTurn]


def test_a_turn_that_no_primary_commits_in_time_is_aborted():
    """The turn may be lost, so its client must not take the response for complete."""
    tier = settled_tier()
    for name in MODELS:
        tier.endpoints[name].events = 20
    answer, _ = tier.start_request(
        "/kept/stream", program="p", budget="1000", lynxscale_token_count="10,400", lynxscale_deadline_ms="4000"
    )
    assert tier.world.run_until(lambda: answer.body.count(b"data:") >= 3, 3.0)
    for host in tier.control_hosts:
        tier.kill_control(host)
    begun = tier.world.time
    assert tier.world.run_until(lambda: answer.ended, 6.0)
    assert not answer.complete and answer.failure is not None
    assert answer.ended_at - begun < COMMIT_TIMEOUT_S + 1.0


def test_the_deadline_aborts_a_turn_that_waits_for_its_commit():
    tier = settled_tier()
    answer, _ = tier.start_request(
        "/kept/stream", program="p", budget="1000", lynxscale_token_count="10,40", lynxscale_deadline_ms="900"
    )
    assert tier.world.run_until(lambda: answer.body.count(b"data:") >= 1, 3.0)
    for host in tier.control_hosts:
        tier.kill_control(host)
    assert tier.world.run_until(lambda: answer.ended, 2.0)
    assert not answer.complete


def test_limits_of_the_configuration_are_applied():
    tier = settled_tier()
    limits = tier.relays[tier.relay_hosts[0]].limits
    table = default_configuration(2)
    table["limits"] = {
        "max-header-bytes": 5000,
        "max-body-bytes": 7000,
        "header-timeout-ms": 2500,
        "idle-timeout-ms": 3500,
    }
    assert tier.push(table, 1).status == 200
    tier.world.run(tier.world.time + 2)
    assert (limits.header_bytes, limits.body_bytes) == (5000, 7000)
    assert (limits.header_timeout_s, limits.idle_timeout_s) == (2.5, 3.5)


def test_a_request_that_no_endpoint_answers_in_the_time_left_is_rejected_at_once():
    tier = settled_tier()
    for name in TOOLS:
        for _ in range(20):
            states(tier)[name].on_success(900.0)
    begun = tier.world.time
    answer = tier.request("/book/1", lynxscale_deadline_ms="300", request_id="late")
    assert answer.status == 503 and answer.ended_at - begun < 0.05
    assert endpoints_that_ran(tier, "late") == []


def test_a_restarted_call_that_finds_no_other_endpoint_is_502():
    """The call may have been executed; 503 would tell the client that it was not."""
    tier, hung = restarting_tier()
    other = next(name for name in TOOLS if name != hung)
    tier.endpoints[other].service_time_s = HANG_S
    call, _ = tier.start_request("/look/1", method="GET", request_id="c", lynxscale_deadline_ms="4000")
    assert tier.world.run_until(lambda: endpoints_that_ran(tier, "c") != [], 1.0)
    first = endpoints_that_ran(tier, "c")[0]
    states(tier)[first].restart_tokens = 3.0
    for name in TOOLS:
        states(tier)[name].cooldown_until = 1e9
    begun = tier.world.time
    assert tier.world.run_until(lambda: call.ended, 6.0)
    assert call.status == 502 and call.ended_at - begun < 2.0


def test_a_stream_that_cannot_be_resumed_is_aborted_as_it_breaks_and_its_turn_is_closed():
    tier = settled_tier()
    tier.endpoints["i-0"].aborts_after = tier.endpoints["i-1"].aborts_after = 2
    sent = watch_calls(tier)
    begun = tier.world.time
    answer = tier.turn("p", 1000)
    assert not answer.complete and answer.ended_at - begun < 1.0
    assert running(tier) == 0
    tier.world.run(tier.world.time + 1)
    assert program_record(tier, "p").reservations == {}
    assert [body.content for body in sent if isinstance(body, FinishTurn)] == [None]


def test_a_stream_without_events_is_complete_and_empty():
    tier = settled_tier()
    for name in MODELS:
        tier.endpoints[name].events = 0
    answer = tier.request("/open/stream")
    assert (answer.status, answer.body, answer.complete) == (200, b"", True)
    assert answer.head.text(b"lynxscale-response-signature") in MODELS


def test_a_turn_without_retention_retains_nothing():
    tier = settled_tier()
    sent = watch_calls(tier)
    assert tier.turn("p", 1000, path="/open/stream").complete
    assert [body.content for body in sent if isinstance(body, FinishTurn)] == [None]


def test_a_deadline_that_expires_during_the_commit_says_nothing_of_the_endpoint():
    tier = settled_tier()
    answer, _ = tier.start_request(
        "/kept/stream", program="p", budget="1000", lynxscale_token_count="10,40", lynxscale_deadline_ms="900"
    )
    assert tier.world.run_until(lambda: answer.body.count(b"data:") >= 1, 3.0)
    for host in tier.control_hosts:
        tier.kill_control(host)
    assert tier.world.run_until(lambda: answer.ended, 2.0)
    assert all(state.failure_rate.current == 0 and state.in_flight == 0 for state in states(tier).values())


def test_a_client_that_leaves_gives_its_slot_to_the_next_at_once():
    tier = settled_tier()
    hang(tier)
    connections = [tier.start_request("/book/1", request_id=f"busy{number}")[1] for number in range(2)]
    tier.world.run(tier.world.time + 0.1)
    tier.start_request("/book/1", request_id="waits")
    tier.world.run(tier.world.time + 0.1)
    tier.relays[tier.relay_hosts[0]].balancer.queue._poll_timer.cancel()
    connections[0].close()
    tier.world.run(tier.world.time + 0.1)
    assert len(endpoints_that_ran(tier, "waits")) == 1


def test_a_402_while_a_failed_turn_is_not_settled_may_be_followed_by_a_200():
    """The trace behind ``Upgrade._next_statuses``: a turn that failed counts at its most until its relay reports it."""
    tier = settled_tier()
    relay, other = tier.relay_hosts[:2]
    assert tier.turn("p", 80, max_tokens=40).complete
    for name in MODELS:
        tier.endpoints[name].aborts_after = 1
    fields = {"program": "p", "budget": "80", "lynxscale_token_count": "100,40"}
    failed, _ = tier.start_request("/kept/stream", relay=relay, **fields)
    tier.world.run(tier.world.time + 0.06)  # it is admitted and runs
    for host in tier.control_hosts:
        tier.world.partition(f"{relay}:7000", f"{host}:7000")
    assert tier.world.run_until(lambda: failed.ended, 3.0) and not failed.complete
    for name in MODELS:
        tier.endpoints[name].aborts_after = None
    assert program_record(tier, "p").reservations and program_record(tier, "p").spent_tokens == 40
    assert tier.turn("p", 80, max_tokens=10, relay=other).status == 402
    tier.world.heal()
    tier.world.run(tier.world.time + 2.0)
    assert not program_record(tier, "p").reservations and program_record(tier, "p").spent_tokens == 50
    assert tier.turn("p", 80, max_tokens=10, relay=other).status == 200
