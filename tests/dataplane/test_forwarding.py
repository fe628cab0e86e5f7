"""The life cycle of forwarded requests: responses, retries, restarts and streams."""

from tests.simulated_tier import EVENTS, endpoints_that_ran, settled_tier


def test_a_call_gets_the_endpoints_response_and_signature():
    tier = settled_tier()
    answer = tier.request("/look/2f", method="GET", request_id="a")
    assert (answer.status, answer.body, answer.complete) == (200, b"done", True)
    assert answer.head.text(b"lynxscale-response-signature") == endpoints_that_ran(tier, "a")[0]


def test_a_stream_is_forwarded_completely_and_as_it_arrives():
    tier = settled_tier()
    answer = tier.request("/open/stream")
    assert (answer.status, answer.body, answer.complete) == (200, EVENTS, True)
    assert answer.ended_at - answer.first_byte_at > 0.05


def test_a_rejected_request_is_sent_to_another_endpoint():
    tier = settled_tier()
    tier.endpoints["i-2"].rejects = True
    for number in range(6):
        assert tier.request("/book/1", request_id=f"b{number}").status == 200
        assert endpoints_that_ran(tier, f"b{number}") == ["i-3"]


def test_an_unsafe_call_that_may_have_executed_is_not_retried_and_gets_502():
    tier = settled_tier()
    for endpoint in tier.endpoints.values():
        endpoint.fails = True
    answer = tier.request("/book/1", request_id="b")
    assert answer.status == 502
    assert len(endpoints_that_ran(tier, "b")) == 1


def test_a_safe_call_without_a_response_is_retried_within_max_attempts():
    tier = settled_tier()
    tier.endpoints["i-2"].fails = tier.endpoints["i-3"].fails = True
    assert tier.request("/look/1", request_id="s").status == 502
    assert len(endpoints_that_ran(tier, "s")) == 2
    tier.endpoints["i-3"].fails = False
    tier.world.run(tier.world.time + 3)
    assert tier.request("/look/1", request_id="t").status == 200


def test_a_request_that_no_endpoint_accepts_gets_503_with_retry_after():
    tier = settled_tier()
    for endpoint in tier.endpoints.values():
        endpoint.rejects = True
    before = tier.world.time
    answer = tier.request("/book/1", request_id="f")
    assert answer.status == 503
    assert float(answer.head.text(b"retry-after")) > 0
    assert tier.world.time - before < 0.3
    assert endpoints_that_ran(tier, "f") == []


def test_a_call_is_restarted_at_another_endpoint_after_the_restart_timeout():
    """After 60 calls of about 50 ms each, one endpoint hangs."""
    tier = settled_tier()
    for number in range(60):
        assert tier.request("/look/1", method="GET", request_id=f"w{number}").status == 200
    hung = endpoints_that_ran(tier, "w59")[0]
    tier.endpoints[hung].service_time_s = 3.0
    answers = [tier.request("/look/1", method="GET", request_id=f"c{number}") for number in range(4)]
    assert all(answer.status == 200 for answer in answers)
    restarted = [number for number in range(4) if len(endpoints_that_ran(tier, f"c{number}")) == 2]
    assert restarted
    relay = tier.relays[tier.relay_hosts[0]]
    assert relay.balancer.states[hung].sample.restart_timeout_ms < 200


def test_a_broken_resumable_stream_continues_at_another_endpoint_within_one_response():
    tier = settled_tier()
    tier.endpoints["i-0"].aborts_after = tier.endpoints["i-1"].aborts_after = 2
    answer = tier.request("/open/stream", request_id="r")
    tier.endpoints["i-0"].aborts_after = tier.endpoints["i-1"].aborts_after = None
    assert sorted(endpoints_that_ran(tier, "r")) == ["i-0", "i-1"] or answer.failure is not None
    tier.endpoints["i-0"].aborts_after = 2
    answers = [tier.request("/open/stream", request_id=f"x{number}") for number in range(6)]
    assert all(answer.body == EVENTS and answer.complete for answer in answers)
    assert any(len(endpoints_that_ran(tier, f"x{number}")) == 2 for number in range(6))


def test_a_broken_stream_that_is_not_resumable_is_aborted_and_never_looks_complete():
    tier = settled_tier()
    tier.endpoints["i-0"].aborts_after = tier.endpoints["i-1"].aborts_after = 2
    answer = tier.turn("p", 1000)
    assert not answer.complete
    assert EVENTS.startswith(answer.body)


def test_a_disconnected_client_releases_its_endpoint_at_once():
    tier = settled_tier()
    for endpoint in tier.endpoints.values():
        endpoint.service_time_s = 3.0
    _, connection = tier.start_request("/open/stream")
    tier.world.run(tier.world.time + 0.3)
    assert sum(endpoint.running for endpoint in tier.endpoints.values()) == 1
    connection.close()
    tier.world.run(tier.world.time + 0.1)
    assert sum(endpoint.running for endpoint in tier.endpoints.values()) == 0
