"""Failure detector: incarnations, generations and pauses."""

from lab.cluster.world import SECOND, World
from lynxscale.relay.cluster import frame
from lynxscale.relay.cluster.failure_detector import FailureDetector
from lynxscale.relay.cluster.frame import Message
from lynxscale.relay.cluster.instructions import SendDatagram, StartGeneration
from lynxscale.relay.cluster.membership_table import Identity, MemberUpdate, State


def message(sender: str, body, updates=(), generation=1, boot=5, incarnation=0, number=[0]) -> Message:  # noqa: B006
    number[0] += 1
    return Message(sender, generation, boot, incarnation, number[0], 0, 0, 0, body, list(updates))


def detector() -> FailureDetector:
    return FailureDetector(Identity("r1", 3, 77), ["r1", "r2", "r3"], "seed", 0)


def test_a_process_is_a_node_only_once_it_answers_at_the_address():
    node = detector()
    out = node.receive(1000, message("r2", frame.Gossip()))
    assert node.membership.get("r2") is None
    ping = next(
        instruction.body
        for instruction in out
        if isinstance(instruction, SendDatagram) and isinstance(instruction.body, frame.Ping)
    )
    node.receive(2000, message("r2", frame.Ack(ping.probe, "r2", 1, 5)))
    assert node.membership.state("r2") is State.ALIVE
    node.receive(3000, message("r2", frame.Ack(ping.probe, "r2", 9, 9), generation=9, boot=9))  # answers no ping
    assert node.membership.get("r2").update.generation == 1


def test_a_later_generation_known_to_peers_starts_a_new_one_unless_it_came_as_an_answer():
    later = MemberUpdate("r1", 8, 1, 0, State.FAILED)
    assert StartGeneration(8) in detector().receive(1000, message("r2", frame.Gossip(), [later]))
    assert not [
        instruction
        for instruction in detector().receive(1000, message("r2", frame.Exchange(True), [later]), inbound=False)
        if isinstance(instruction, StartGeneration)
    ]


def test_a_suspicion_is_refuted_by_a_higher_incarnation():
    node = detector()
    node.receive(1000, message("r2", frame.Gossip(), [MemberUpdate(*node.me, 0, State.FAILED, "r3")]))
    assert node.incarnation == 1 and node.membership.get("r1").update == MemberUpdate(*node.me, 1, State.ALIVE)


def test_a_process_that_was_paused_suspects_no_node():
    world = World(3, 5)
    for name in world.names:
        world.start(name)
    assert world.run_until_agreed(world.names, 20 * SECOND)
    world.pause("r1")
    world.run(world.now + 20 * SECOND)
    assert world.believes("r2", "r1") is State.FAILED
    world.resume("r1")
    resumed_at = world.now
    world.run(resumed_at + SECOND)
    node_events = [
        fields for when, name, event, fields in world.log if when >= resumed_at and name == "r1" and event == "node"
    ]
    assert not [fields for fields in node_events if fields["state"] in ("suspect", "failed")]
    assert any(event == "paused" for when, name, event, _ in world.log if when >= resumed_at and name == "r1")
