"""Retained turns on a resumable route whose streams are cut, and resumed by their clients.

Each run of a turn generates other events, so that a stored turn shows of which runs it is made.
"""

import msgspec
import pytest

from lab.tier.machine import MachineNetwork
from lab.tier.simulated_tier import INTERNAL_PORT, default_configuration
from lab.tier.world import World
from lynxscale.controlplane.turn_admission import TurnAdmission
from lynxscale.controlplane.turn_history import TURN_PREFIX, TurnRecord
from lynxscale.coordination.messages import AdmitTurn, Call, FinishTurn, Message, Reply, TurnAdmitted, TurnEvents
from lynxscale.dataplane.headers import REQUEST_ID
from tests.simulated_tier import endpoints_that_ran, executed_request, settled_tier

EVENT_COUNT = 8
TWO_EVENTS_S, FOUR_EVENTS_S = 0.105, 0.145  # after the start of a request


def resumable_tier():
    """A tier whose retained turns may be resumed."""
    tier = settled_tier()
    configuration = default_configuration(2)
    configuration["routes"][0] |= {"resumable": True, "max-attempts": 1}
    assert tier.push(configuration, 1).status == 200
    tier.world.run(tier.world.time + 1.0)
    for endpoint in tier.endpoints.values():
        endpoint.events = EVENT_COUNT
        endpoint.event_tag = lambda request: b"-" + request.head.get(REQUEST_ID)
    return tier


def start_turn(tier, request_id, relay=0, body=b"hello ", **options):
    """Start a turn of the program's only line."""
    common = {"program": "p", "session": "s", "budget": "10000", "lynxscale_token_count": "100,80"}
    return tier.start_request(
        "/kept/stream", relay=tier.relay_hosts[relay], body=body, request_id=request_id, **common, **options
    )


def run_turn(tier, request_id, relay=1, **options):
    """Run a turn to its end."""
    response, _ = start_turn(tier, request_id, relay, **options)
    assert tier.world.run_until(lambda: response.ended, 6.0)
    return response


def cut_turn(tier, request_id="t1", relay=0, after_s=TWO_EVENTS_S, **options):
    """Start a turn and kill its relay; return the events that the client has got."""
    response, _ = start_turn(tier, request_id, relay, **options)
    tier.world.run(tier.world.time + after_s)
    tier.kill_relay(tier.relay_hosts[relay])
    tier.world.run(tier.world.time + 0.2)
    return response.body.count(b"id: ")


def words(request_id, first, last):
    """The data of some events of a run, each with a line feed."""
    return b"".join(b"word%d-%s\n" % (number, request_id) for number in range(first, last + 1))


def history(tier, previous):
    """What an endpoint gets of the chain before a new turn."""
    assert run_turn(tier, "next", relay=2, body=b"", previous=previous).status == 200
    return executed_request(tier, "next").body


def stored_content(tier, turn):
    """The content of a turn in the primary's store."""
    return msgspec.json.decode(tier.primary().member.store.values[TURN_PREFIX + turn], type=TurnRecord).content


def messages_to_primary(tier, kind):
    """Record the messages of a kind that any node sends from now on."""
    sent, deliver = [], tier.world.deliver

    def watch(source: str, target: str, message: Message) -> None:
        if isinstance(message, kind):
            sent.append(message)
        deliver(source, target, message)

    tier.world.deliver = watch
    return sent


def test_a_turn_that_its_client_resumes_is_stored_with_the_events_before_the_cut():
    """Regression (review case 5): it was stored without them, so the next turn's prompt lacked them."""
    tier = resumable_tier()
    count = cut_turn(tier)
    assert 0 < count < EVENT_COUNT
    answer = run_turn(tier, "t2", last_event_id=str(count))
    assert answer.complete and answer.body.count(b"id: ") == EVENT_COUNT - count
    assert history(tier, "t2") == b"hello " + words(b"t1", 1, count) + words(b"t2", count + 1, EVENT_COUNT)


def test_a_turn_that_is_cut_twice_is_stored_with_the_events_of_all_runs():
    tier = resumable_tier()
    first = cut_turn(tier)
    second = first + cut_turn(tier, "t2", relay=1, last_event_id=str(first))
    assert first < second < EVENT_COUNT
    assert run_turn(tier, "t3", relay=2, last_event_id=str(second)).complete
    expected = words(b"t1", 1, first) + words(b"t2", first + 1, second) + words(b"t3", second + 1, EVENT_COUNT)
    assert history(tier, "t3") == b"hello " + expected


def test_a_turn_is_resumed_through_the_relay_that_was_restarted():
    tier = resumable_tier()
    count = cut_turn(tier)
    tier.start_relay(tier.relay_hosts[0])
    relay = tier.relays[tier.relay_hosts[0]]
    assert tier.world.run_until(lambda: relay.ready, 5.0)
    assert run_turn(tier, "t2", relay=0, last_event_id=str(count)).complete
    assert history(tier, "t2") == b"hello " + words(b"t1", 1, count) + words(b"t2", count + 1, EVENT_COUNT)


def test_a_stream_that_its_relay_and_then_its_client_resumed_is_stored_whole():
    tier = resumable_tier()
    configuration = default_configuration(3)
    configuration["routes"][0] |= {"resumable": True, "max-attempts": 2}
    assert tier.push(configuration, 2).status == 200
    tier.world.run(tier.world.time + 1.0)
    response, _ = start_turn(tier, "t1")
    tier.world.run(tier.world.time + 0.06)
    (running,) = endpoints_that_ran(tier, "t1")
    tier.endpoints[running].aborts_after = 2
    tier.world.run(tier.world.time + 0.15)
    tier.kill_relay(tier.relay_hosts[0])
    tier.world.run(tier.world.time + 0.2)
    count = response.body.count(b"id: ")
    assert len(endpoints_that_ran(tier, "t1")) == 2 and 2 < count < EVENT_COUNT
    assert run_turn(tier, "t2", last_event_id=str(count)).complete
    assert history(tier, "t2") == b"hello " + words(b"t1", 1, count) + words(b"t2", count + 1, EVENT_COUNT)


def test_a_durable_turn_whose_end_was_lost_is_resumed_without_losing_its_content():
    tier = resumable_tier()
    start_turn(tier, "t1")
    tier.world.run(tier.world.time + 1.0)
    answer = run_turn(tier, "t2", last_event_id=str(EVENT_COUNT))
    assert answer.complete and answer.body == b""
    assert history(tier, "t2") == b"hello " + words(b"t1", 1, EVENT_COUNT)


@pytest.mark.parametrize("last_event_id", ["9", "0", "-1", "none", "2x"])
def test_a_turn_is_not_run_after_an_event_that_nobody_knows(last_event_id):
    """The client gets 503, a promise that it has not run, and sends the turn again from its start."""
    tier = resumable_tier()
    cut_turn(tier)
    answer = run_turn(tier, "t2", last_event_id=last_event_id)
    assert answer.status == 503 and endpoints_that_ran(tier, "t2") == []
    assert run_turn(tier, "t3").complete
    assert history(tier, "t3") == b"hello " + words(b"t3", 1, EVENT_COUNT)


@pytest.mark.parametrize("other", [{"program": "q"}, {"session": "other"}, {"previous": "t0"}])
def test_a_turn_is_not_resumed_after_the_events_of_another_one(other):
    tier = resumable_tier()
    count = cut_turn(tier)
    if "previous" in other:
        assert run_turn(tier, "t0", body=b"before ").complete
    common = {"program": "p", "session": "s", "budget": "10000", "lynxscale_token_count": "100,80"} | other
    answer = tier.request("/kept/stream", relay=tier.relay_hosts[1], last_event_id=str(count), **common)
    assert answer.status == 503


def test_a_new_primary_rejects_a_resumption_as_it_lacks_the_events():
    tier = resumable_tier()
    count = cut_turn(tier)
    tier.kill_control(tier.primary().publisher.address.partition(":")[0])
    tier.world.run(tier.world.time + 3.0)
    assert run_turn(tier, "t2", last_event_id=str(count)).status == 503
    assert run_turn(tier, "t3").complete


def test_a_turn_is_not_resumed_on_a_route_that_does_not_allow_it():
    tier = settled_tier()
    assert run_turn(tier, "t1", last_event_id="1").status == 503
    assert endpoints_that_ran(tier, "t1") == []


def test_events_of_two_runs_that_differ_are_not_guessed():
    """A relay that was frozen may run a turn beside a later run; only one of them is the client's."""
    tier = resumable_tier()
    start_turn(tier, "t1", relay=0)
    start_turn(tier, "t2", relay=1)
    tier.world.run(tier.world.time + TWO_EVENTS_S)
    assert run_turn(tier, "t3", relay=2, last_event_id="1").status == 503


def test_the_same_request_again_replaces_the_turn_and_a_late_end_of_its_first_run_does_not():
    """Regression: the end of any run overwrote what was retained, also that of a run whose client has left it."""
    tier = resumable_tier()
    late = messages_to_primary(tier, Call)
    start_turn(tier, "t1", relay=0, body=b"first ")
    tier.world.run(tier.world.time + 1.0)
    first_end = next(call for call in late if isinstance(call.body, FinishTurn))
    answer = run_turn(tier, "t1", relay=1, body=b"second ")
    assert answer.complete
    assert stored_content(tier, "t1") == b"second " + words(b"t1", 1, EVENT_COUNT)
    replies = messages_to_primary(tier, Reply)
    tier.primary().receive(first_end)
    tier.world.run(tier.world.time + 0.5)
    assert [reply.body.status for reply in replies] == [409]
    assert stored_content(tier, "t1") == b"second " + words(b"t1", 1, EVENT_COUNT)


def test_a_turn_that_ran_again_is_continued_as_it_is_stored_also_by_the_relay_of_its_first_run():
    """Regression: that relay had the first run's history, and the primary knew a cached history by the turn's id alone.

    The next turn's prompt then held what the client had never been given (turn_histories, seed 25, UNASKED).
    """
    tier = resumable_tier()
    start_turn(tier, "t1", relay=0, body=b"first ")
    tier.world.run(tier.world.time + 1.0)
    assert run_turn(tier, "t1", relay=1, body=b"second ").complete
    for relay in (0, 1):
        request_id = f"next-{relay}"
        assert run_turn(tier, request_id, relay=relay, body=b"", previous="t1").complete
        assert executed_request(tier, request_id).body == b"second " + words(b"t1", 1, EVENT_COUNT)


@pytest.mark.parametrize("child_ends", [False, True])
def test_a_turn_that_another_one_continues_is_never_replaced(child_ends):
    """Guards against a request that reaches its relay late: its client has another run's response, and went on."""
    tier = resumable_tier()
    assert run_turn(tier, "t1").complete
    child, _ = start_turn(tier, "t2", relay=0, previous="t1")
    tier.world.run(tier.world.time + (1.0 if child_ends else TWO_EVENTS_S))
    assert child.complete == child_ends
    assert not run_turn(tier, "t1", relay=2, body=b"late ").complete
    assert stored_content(tier, "t1") == b"hello " + words(b"t1", 1, EVENT_COUNT)


@pytest.mark.parametrize("cached_run", [msgspec.UNSET, "run", "other"])
@pytest.mark.parametrize("stored_run", [msgspec.UNSET, "run"])
def test_a_cached_history_is_used_only_if_its_run_is_the_stored_one(cached_run, stored_run):
    """Programs before state no run: their caches are of turns that they stored, which have none either."""
    record = TurnRecord(b"stored", "", 60.0, stored_run)
    values = {TURN_PREFIX + "t1": msgspec.Raw(msgspec.json.encode(record))}
    admission = TurnAdmission(values, World(1).machine("a:1").clock())
    reply, _ = admission.admit(AdmitTurn("p", "t2", -1, 0, 60.0, True, "t1", "t1", cached_run=cached_run))
    is_used = cached_run == stored_run
    assert (reply.history, reply.base_turn) == ((b"", "t1") if is_used else (b"stored", ""))


def test_a_repeated_end_is_acknowledged_by_another_primary_too():
    tier = resumable_tier()
    sent = messages_to_primary(tier, Call)
    assert run_turn(tier, "t1").complete
    end = next(call for call in sent if isinstance(call.body, FinishTurn))
    tier.kill_control(tier.primary().publisher.address.partition(":")[0])
    tier.world.run(tier.world.time + 3.0)
    replies = messages_to_primary(tier, Reply)
    tier.primary().receive(end)
    tier.world.run(tier.world.time + 0.5)
    assert [type(reply.body).__name__ for reply in replies] == ["TurnFinished"]


def test_a_primary_that_does_not_know_resumption_gets_no_events_and_its_turns_are_not_resumed():
    """Amid an upgrade, or after a roll back: its reply has no earlier events."""
    tier = resumable_tier()
    deliver = tier.world.deliver

    def without_new_fields(source: str, target: str, message: Message) -> None:
        if isinstance(message, Reply) and isinstance(message.body, TurnAdmitted):
            body = msgspec.structs.replace(message.body, earlier_events=msgspec.UNSET)
            message = msgspec.structs.replace(message, body=body)
        elif isinstance(message, Call) and isinstance(message.body, AdmitTurn):
            new = {"run_id": msgspec.UNSET, "session": msgspec.UNSET, "resume_after": msgspec.UNSET}
            message = msgspec.structs.replace(message, body=msgspec.structs.replace(message.body, **new))
        deliver(source, target, message)

    tier.world.deliver = without_new_fields
    events = messages_to_primary(tier, TurnEvents)
    assert run_turn(tier, "t1").complete
    assert events == []
    assert run_turn(tier, "t2", last_event_id="2").status == 503
    assert endpoints_that_ran(tier, "t2") == []


def test_events_are_reported_to_the_process_that_admitted_the_turn_only(monkeypatch):
    """Guards against a message that the program before cannot read: its process may be at the same address by then."""
    tier = resumable_tier()
    events = messages_to_primary(tier, TurnEvents)
    response, _ = start_turn(tier, "t1")
    tier.world.run(tier.world.time + TWO_EVENTS_S)
    reported = len(events)
    assert reported > 0
    primary = tier.primary().publisher.address
    current = MachineNetwork.connection_id
    monkeypatch.setattr(MachineNetwork, "connection_id", lambda self, to: current(self, to) + (to == primary))
    assert tier.world.run_until(lambda: response.ended, 6.0) and response.complete
    assert len(events) == reported


def test_events_are_reported_to_the_sender_of_the_admission_though_another_primary_is_presumed():
    """Regression: they went to the presumed primary, which in an upgrade was a process that cannot read them."""
    tier = resumable_tier()
    targets, deliver = [], tier.world.deliver

    def watch(source: str, target: str, message: Message) -> None:
        if isinstance(message, TurnEvents):
            targets.append(target)
        if isinstance(message, Reply) and isinstance(message.body, TurnAdmitted):
            tier.relays[tier.relay_hosts[0]].tree.primary = other
        deliver(source, target, message)

    primary = tier.primary().publisher.address
    other = next(f"{host}:{INTERNAL_PORT}" for host in tier.control_hosts if not primary.startswith(host))
    tier.world.deliver = watch
    assert run_turn(tier, "t1", relay=0).complete
    assert len(targets) == EVENT_COUNT and set(targets) == {primary}


def test_a_relay_that_does_not_state_its_runs_gets_no_reply_to_an_end_that_is_rejected():
    """Such a relay takes each reply for an acknowledgement; without one it aborts the response."""
    tier = resumable_tier()
    sent = messages_to_primary(tier, Call)
    assert run_turn(tier, "t1").complete
    end = next(call for call in sent if isinstance(call.body, FinishTurn))
    body = msgspec.structs.replace(end.body, run_id=msgspec.UNSET, content=b"other")
    replies = messages_to_primary(tier, Reply)
    tier.primary().receive(msgspec.structs.replace(end, body=body))
    tier.world.run(tier.world.time + 0.5)
    assert replies == []
    assert stored_content(tier, "t1") == b"hello " + words(b"t1", 1, EVENT_COUNT)


def test_other_routes_report_no_events():
    tier = settled_tier()
    events = messages_to_primary(tier, TurnEvents)
    assert run_turn(tier, "t1").complete
    assert tier.request("/open/stream", program="p", budget="1000", lynxscale_token_count="9,40").complete
    assert events == []
