"""Helpers that start groups of simulated control members, write to them and damage their files."""

from lab.tier.control_group import ControlGroup
from lab.tier.world import World
from lynxscale.coordination.messages import address_of
from lynxscale.coordination.version_files import BATCH_PREFIX


def start_group(seed: int = 1, size: int = 3, tolerated: int = 1, **world) -> ControlGroup:
    """Start a group and wait until it has a primary."""
    group = ControlGroup(World(seed, **world), size, tolerated)
    group.start_all()
    group.wait_for_leader()
    return group


def start_group_with_slow_disks(seed: int = 1, size: int = 5, tolerated: int = 2, sync_s: float = 0.0) -> ControlGroup:
    """Start a group and run it until a second after its first election; each disk sync takes ``sync_s`` seconds."""
    group = ControlGroup(World(seed, delay_s=0.0015), size, tolerated)
    for address in group.seeds:
        group.world.machine(address).sync_s = sync_s
    group.start_all()
    group.wait_for_leader(20.0)
    group.world.run(group.world.time + 1.0)
    return group


def backups_of(group: ControlGroup) -> list[str]:
    """The addresses of the founders other than the primary."""
    leader = address_of(group.wait_for_leader().member_id)
    return [address for address in group.seeds if address != leader]


def write_steadily(group: ControlGroup, every_s: float, value: object = 1, keys: int = 50) -> None:
    """Submit a write every ``every_s`` seconds from now on, cycling through ``keys`` keys."""
    count = iter(range(10**9))

    def write() -> None:
        for leader in group.leaders():
            group.submit(leader, f"steady{next(count) % keys}", value, lambda committed: None)
        group.world.call_at(group.world.time + every_s, write)

    write()


def fill(group: ControlGroup, megabytes: int) -> None:
    """Write ``megabytes`` of values and wait until they are replicated."""
    value = "x" * 20_000
    for number in range(megabytes * 50):
        for leader in group.leaders():
            group.submit(leader, f"big{number:05d}", value, lambda committed: None)
        if number % 50 == 49:
            group.world.run(group.world.time + 0.1)
    group.world.run(group.world.time + 1)


def damage_batch_file(group: ControlGroup, address: str, how: str, where: str) -> None:
    """Corrupt, truncate or remove (``how``) the middle or last batch file of a member that is not running."""
    files = group.world.machine(address).files
    batches = [name for name in files.names() if name.startswith(BATCH_PREFIX)]
    name = batches[len(batches) // 2] if where == "middle" else batches[-1]
    if how == "missing":
        del files._files[name]
    else:
        getattr(files, how)(name, group.world.random)
