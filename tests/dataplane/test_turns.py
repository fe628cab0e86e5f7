"""Turns that continue earlier turns, and the histories that relays cache."""

from lynxscale.coordination.messages import Message, Reply, TurnAdmitted
from tests.simulated_tier import OUTPUT, endpoints_that_ran, executed_request, settled_tier


def test_a_turn_continues_an_earlier_one_through_any_relay():
    tier = settled_tier()
    first = tier.turn("p", 1000, request_id="t1", body=b"hello ")
    assert first.complete
    second = tier.turn("p", 1000, request_id="t2", body=b"more", previous="t1", relay=tier.relay_hosts[1])
    assert second.complete
    endpoint = tier.endpoints[endpoints_that_ran(tier, "t2")[0]]
    sent = next(request for request in endpoint.executed if request.head.get(b"lynxscale-request-id") == b"t2")
    assert sent.body == b"hello " + OUTPUT + b"more"


def test_a_relay_with_a_cached_history_is_sent_only_what_is_missing():
    """Guards against sending complete histories: they were a third of all bytes between zones in one deployment."""
    tier = settled_tier()
    sent: list[TurnAdmitted] = []
    deliver = tier.world.deliver

    def watch(source: str, target: str, message: Message) -> None:
        if isinstance(message, Reply) and isinstance(message.body, TurnAdmitted):
            sent.append(message.body)
        deliver(source, target, message)

    tier.world.deliver = watch
    relays = [tier.relay_hosts[number] for number in (0, 0, 1, 0, 2)]
    previous, history = {}, b""
    for number, relay in enumerate(relays):
        text = f"say{number} ".encode()
        answer = tier.turn("p", 1000, relay=relay, request_id=f"t{number}", session="s", body=text, **previous)
        assert answer.status == 200
        executed = next(
            r
            for e in tier.endpoints.values()
            for r in e.executed
            if r.head.get(b"lynxscale-request-id") == b"t%d" % number
        )
        assert executed.body == history + text
        history += text + b"word1\nword2\nword3\nword4\n"
        previous = {"previous": f"t{number}"}
    assert [body.base_turn for body in sent] == ["", "t0", "", "t1", ""]
    assert [body.history.count(b"say") for body in sent] == [0, 0, 2, 1, 4]


def test_a_cached_history_of_another_chain_is_not_used():
    tier = settled_tier()
    assert tier.turn("p", 1000, request_id="a1", session="s", body=b"first ").status == 200
    assert tier.turn("p", 1000, request_id="b1", session="s", body=b"other ").status == 200
    assert tier.turn("p", 1000, request_id="a2", session="s", body=b"next ", previous="a1").status == 200
    assert executed_request(tier, "a2").body == b"first word1\nword2\nword3\nword4\nnext "
    assert tier.turn("p", 1000, request_id="a3", session="s", body=b"x", previous="never").status == 404
