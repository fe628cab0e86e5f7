"""Topics of a publisher: versions never go back, and a slow child receives only the newest one."""

import msgspec

from lab.tier.world import World
from lynxscale.coordination.messages import (
    Attach,
    Message,
    Topic,
    TopicUpdate,
    Version,
)
from lynxscale.coordination.topic_publisher import Publisher


def test_a_topic_never_goes_back_to_an_older_version():
    machine = World(1).machine("a:1")
    publisher = Publisher("a:1", machine.clock(), machine.network())
    newer, older = (Topic(Version(2, number), msgspec.Raw(str(number).encode())) for number in (5, 4))
    assert publisher.update({"config": newer}) == ["config"]
    assert publisher.update({"config": older}) == []
    kept = publisher.topics["config"]
    assert (kept.version, bytes(kept.value)) == (Version(2, 5), b"5")


def test_versions_in_quick_succession_do_not_queue_up_on_a_slow_link():
    """Regression: with ten configurations per second on 12 Mbit/s, each was sent and all were seconds late."""
    machine = World(3).machine("a:1")
    sent: list[TopicUpdate] = []

    class Network:
        def send(self, address: str, message: Message) -> None:
            sent.append(message)

    publisher = Publisher("a:1", machine.clock(), Network())
    publisher.on_attach(Attach("child:1", "z", {}), "a:1", 1, 0.0)
    for number in range(1, 9):
        publisher.update({"config": Topic(Version(0, number), msgspec.Raw(b"1"))})
        publisher.push("a:1", 1, 0.0)
    carried = [update.topics["config"].version.number for update in sent if update.topics]
    assert carried == [1]
    publisher.on_attach(Attach("child:1", "z", {"config": Version(0, 1)}), "a:1", 1, 0.0)
    assert sent[-1].topics["config"].version.number == 8
