"""View agreement: leases on a lossy network."""

from lab.cluster.simulate import SECOND, World


def test_on_a_lossy_network_members_keep_their_leases():
    """Asks that are lost go again: at 60 % loss each way five members were cut off for a third of the time before."""
    world = World(5, 2)
    for name in world.names:
        world.start(name)
    assert world.until_agreed(world.names, 20 * SECOND)
    for path in world.paths.values():
        path.loss = 0.6
    looks = without = 0
    end = world.now + 30 * SECOND
    while world.now < end:
        world.run(world.now + SECOND // 20)
        for machine in world.machines.values():
            looks += 1
            without += not machine.process.core.agreement.may_act(machine.local(world.now))
    assert without < 0.1 * looks
