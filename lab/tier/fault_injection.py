"""Faults of a simulated tier, drawn at random, of which one at a time is to be tolerated."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from lab.tier.machine import Machine
from lab.tier.simulated_tier import INTERNAL_PORT, SimulatedTier
from lynxscale.coordination.version_files import BATCH_PREFIX

WAITS_S = (0.0, 0.3, 2.0)
"""Before a fault, once the one before it is repaired."""
FREEZE_S = (0.2, 2.5)
CLOCK_STEPS_S = (-3600.0, -2.0, 2.0, 3600.0)
STOP_WITHIN_S = 4.0
"""Within which a member that is asked to stop has stopped."""
TWO_WAY_PROBABILITY = 0.6
POWER_LOSS_PROBABILITY = 0.5


class FaultInjector:
    """Injects one fault after the other; each is repaired before the next."""

    def __init__(self, tier: SimulatedTier) -> None:
        self.tier = tier
        self.draining: dict[str, float] = {}  # since when each endpoint is, by its id
        self._random = tier.world.random
        # The order of the faults is that of the draws: a change of it changes the history of each seed.
        self._outside_faults: tuple[Callable[[str], None], ...] = (
            self._kill_relay,
            self._fail_endpoint,
            self._drain_endpoint,
        )
        self._control_faults: tuple[Callable[[str], None], ...] = (
            self._kill_member,
            self._wipe_member,
            self._freeze_member,
            self._isolate_member,
            self._cut_one_link,
            self._kill_all_members,
            self._fill_disk,
            self._corrupt_batch,
            self._stop_member,
            self._partition_halves,
            self._lose_disks_amid_power_loss,
            self._step_clock,
        )

    def inject(self) -> None:
        """Repair the fault before, wait, and inject the next."""
        self.repair()
        world = self.tier.world
        world.run(world.time + self._random.choice(WAITS_S))
        # A member counts as lost until it has caught up: no other may be lost meanwhile.
        all_in_sync = all(self._in_sync(host) for host in self.tier.control_hosts)
        faults = (*self._outside_faults, *self._control_faults) if all_in_sync else self._outside_faults
        fault = self._random.choice(faults)
        fault(self._random.choice(self.tier.control_hosts))

    def repair(self) -> None:
        """End all partitions and faults, and start what is down."""
        self.tier.world.heal()
        for endpoint in self.tier.endpoints.values():
            endpoint.fails = False
        for host in self.tier.control_hosts:
            self._machine(host).files.full = False
            if host not in self.tier.controls:
                self.tier.start_control(host)
        for host in self.tier.relay_hosts:
            if host not in self.tier.relays:
                self.tier.start_relay(host)

    def _in_sync(self, host: str) -> bool:
        """Whether the member at a host is in the in-sync set."""
        primary = self.tier.primary()
        service = self.tier.controls.get(host)
        return primary is not None and service is not None and service.member.member_id in primary.member.record.in_sync

    def _machine(self, host: str) -> Machine:
        return self.tier.world.machine(internal_address(host))

    def _partition(self, one: str, other: str, both_ways: bool = True) -> None:
        self.tier.world.partition(internal_address(one), internal_address(other), both_ways)

    def _two_way(self) -> bool:
        return self._random.random() < TWO_WAY_PROBABILITY

    # Outside the control plane -----------------------------------------------------------------------

    def _kill_relay(self, host: str) -> None:
        self.tier.kill_relay(self._random.choice(self.tier.relay_hosts))

    def _fail_endpoint(self, host: str) -> None:
        self._random.choice(list(self.tier.endpoints.values())).fails = True

    def _drain_endpoint(self, host: str) -> None:
        if self.draining:
            return
        listed = self.tier.platform.listed
        index = self._random.randrange(2, 4)
        listed[index] = msgspec.structs.replace(listed[index], state="draining")
        self.draining[listed[index].id] = self.tier.world.time

    # Members of the control plane --------------------------------------------------------------------

    def _kill_member(self, host: str) -> None:
        self.tier.kill_control(host, power=self._random.random() < POWER_LOSS_PROBABILITY)

    def _wipe_member(self, host: str) -> None:
        self.tier.kill_control(host, power=True, wipe=True)

    def _freeze_member(self, host: str) -> None:
        self._machine(host).freeze(self._random.uniform(*FREEZE_S))

    def _isolate_member(self, host: str) -> None:
        for other in self.tier.control_hosts:
            if other != host:
                self._partition(host, other, self._two_way())

    def _cut_one_link(self, host: str) -> None:
        other = self._random.choice([one for one in self.tier.control_hosts if one != host])
        self._partition(host, other, self._two_way())

    def _kill_all_members(self, host: str) -> None:
        for one in self.tier.control_hosts:
            self.tier.kill_control(one, power=True)

    def _fill_disk(self, host: str) -> None:
        self._machine(host).files.full = True

    def _corrupt_batch(self, host: str) -> None:
        """A batch file of a stopped member is corrupt; it starts again, and the primary may lose power."""
        primary = self.tier.primary()
        self.tier.kill_control(host)
        files = self._machine(host).files
        batches = [name for name in files.names() if name.startswith(BATCH_PREFIX)]
        if batches:
            files.corrupt(self._random.choice(batches), self._random)
        self.tier.start_control(host)
        primary_host = next((one for one, service in self.tier.controls.items() if service is primary), None)
        if primary_host is not None and self._random.random() < POWER_LOSS_PROBABILITY:
            self.tier.kill_control(primary_host, power=True)

    def _stop_member(self, host: str) -> None:
        """A member is asked to stop; once it has, it starts again. Another may be lost meanwhile."""
        service = self.tier.controls[host]

        def restart() -> None:
            if self.tier.controls.get(host) is service:
                self.tier.kill_control(host)
                self.tier.start_control(host)

        service.leave(restart)
        self.tier.world.call_at(self.tier.world.time + STOP_WITHIN_S, restart)

    def _partition_halves(self, host: str) -> None:
        hosts = self._random.sample(self.tier.control_hosts, len(self.tier.control_hosts))
        half = len(hosts) // 2
        for one in hosts[:half]:
            for other in hosts[half:]:
                self._partition(one, other)

    def _lose_disks_amid_power_loss(self, host: str) -> None:
        """As many disks as tolerated are lost while all other machines lose power, relays too."""
        lost = self._random.sample(self.tier.control_hosts, self.tier.tolerated)
        for one in self.tier.control_hosts:
            self.tier.kill_control(one, power=True, wipe=one in lost)
        for relay in self.tier.relay_hosts:
            self.tier.kill_relay(relay)

    def _step_clock(self, host: str) -> None:
        self._machine(host).clock_step_s = self._random.choice(CLOCK_STEPS_S)


def internal_address(host: str) -> str:
    """The internal address of a host of the tier."""
    return f"{host}:{INTERNAL_PORT}"
