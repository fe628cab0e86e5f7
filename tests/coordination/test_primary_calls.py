"""Calls to the primary."""

from lab.tier.world import World
from lynxscale.coordination.messages import (
    Call,
    FinishTurn,
    Message,
    Reply,
    TurnFinished,
)
from lynxscale.coordination.primary_calls import PrimaryCalls


def test_a_reply_to_an_earlier_process_is_ignored():
    machine = World(1).machine("a:1")
    sent: list[Call] = []

    class Wire:
        def send(self, address: str, message: Message) -> None:
            sent.append(message)

    answers: list[Message] = []
    body = FinishTurn("p", "r", 0, 60.0)
    processes = [
        PrimaryCalls("a:1", machine.clock(), Wire(), machine.world.random, lambda: "b:1", lambda: ["b:1"])
        for _ in range(2)
    ]
    processes[0].call(body, 1.0, lambda answer: None)
    processes[1].call(body, 1.0, answers.append)
    assert sent[0].number == sent[1].number
    processes[1].receive(Reply(sent[0].number, sent[0].incarnation, TurnFinished()))
    assert answers == []
    processes[1].receive(Reply(sent[1].number, sent[1].incarnation, TurnFinished()))
    assert answers == [TurnFinished()]
