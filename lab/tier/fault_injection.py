"""Injects random faults into a simulated tier, one at a time; the tier must tolerate each."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from lab.tier.machine import Machine
from lab.tier.simulated_tier import INTERNAL_PORT, SimulatedTier
from lynxscale.coordination.version_files import BATCH_PREFIX

FAULT_DELAYS_S = (0.0, 0.3, 2.0)
"""Time between the repair of a fault and the next fault."""
FREEZE_RANGE_S = (0.2, 2.5)
CLOCK_STEPS_S = (-3600.0, -2.0, 2.0, 3600.0)
STOP_TIMEOUT_S = 4.0
"""A member that was asked to stop is restarted after this time even if it has not stopped."""
TWO_WAY_PROBABILITY = 0.6
POWER_LOSS_PROBABILITY = 0.5


class FaultInjector:
    """Injects faults one after the other; each is repaired before the next."""

    def __init__(self, tier: SimulatedTier) -> None:
        self.tier = tier
        self.draining: dict[str, float] = {}  # endpoint ids, with the time at which draining began
        self._random = tier.world.random
        # Faults are drawn by their position here: another order would change the history of each seed.
        self._data_plane_faults: tuple[Callable[[str], None], ...] = (
            self._kill_relay,
            self._fail_endpoint,
            self._drain_endpoint,
        )
        self._control_faults: tuple[Callable[[str], None], ...] = (
            self._kill_member,
            self._wipe_member,
            self._freeze_member,
            self._isolate_member,
            self._partition_one_link,
            self._kill_all_members,
            self._fill_disk,
            self._corrupt_batch,
            self._stop_member,
            self._partition_halves,
            self._lose_disks_amid_power_loss,
            self._step_clock,
        )

    def inject(self) -> None:
        """Repair the previous fault, wait, and inject the next one."""
        self.repair()
        world = self.tier.world
        world.run(world.time + self._random.choice(FAULT_DELAYS_S))
        # A member counts as lost until it has caught up, and no other member may be lost before that.
        all_in_sync = all(self._in_sync(host) for host in self.tier.control_hosts)
        faults = (*self._data_plane_faults, *self._control_faults) if all_in_sync else self._data_plane_faults
        fault = self._random.choice(faults)
        fault(self._random.choice(self.tier.control_hosts))

    def repair(self) -> None:
        """End all partitions and faults, and start all processes that are down."""
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
        """Whether the member on a host is in the in-sync set."""
        primary = self.tier.primary()
        service = self.tier.controls.get(host)
        return primary is not None and service is not None and service.member.member_id in primary.member.record.in_sync

    def _machine(self, host: str) -> Machine:
        return self.tier.world.machine(internal_address(host))

    def _partition(self, one: str, other: str, both_ways: bool = True) -> None:
        self.tier.world.partition(internal_address(one), internal_address(other), both_ways)

    def _draw_two_way(self) -> bool:
        return self._random.random() < TWO_WAY_PROBABILITY

    # Relays and endpoints ----------------------------------------------------------------------------

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
        self._machine(host).freeze(self._random.uniform(*FREEZE_RANGE_S))

    def _isolate_member(self, host: str) -> None:
        for other in self.tier.control_hosts:
            if other != host:
                self._partition(host, other, self._draw_two_way())

    def _partition_one_link(self, host: str) -> None:
        other = self._random.choice([candidate for candidate in self.tier.control_hosts if candidate != host])
        self._partition(host, other, self._draw_two_way())

    def _kill_all_members(self, host: str) -> None:
        for member_host in self.tier.control_hosts:
            self.tier.kill_control(member_host, power=True)

    def _fill_disk(self, host: str) -> None:
        self._machine(host).files.full = True

    def _corrupt_batch(self, host: str) -> None:
        """Stop a member, corrupt one of its batch files and start it again; the primary may lose power then."""
        primary = self.tier.primary()
        self.tier.kill_control(host)
        files = self._machine(host).files
        batches = [name for name in files.names() if name.startswith(BATCH_PREFIX)]
        if batches:
            files.corrupt(self._random.choice(batches), self._random)
        self.tier.start_control(host)
        primary_host = next(
            (member_host for member_host, service in self.tier.controls.items() if service is primary), None
        )
        if primary_host is not None and self._random.random() < POWER_LOSS_PROBABILITY:
            self.tier.kill_control(primary_host, power=True)

    def _stop_member(self, host: str) -> None:
        """Ask a member to stop, and restart it once it has stopped. Another member may be lost meanwhile."""
        service = self.tier.controls[host]

        def restart() -> None:
            if self.tier.controls.get(host) is service:
                self.tier.kill_control(host)
                self.tier.start_control(host)

        service.leave(restart)
        self.tier.world.call_at(self.tier.world.time + STOP_TIMEOUT_S, restart)

    def _partition_halves(self, host: str) -> None:
        hosts = self._random.sample(self.tier.control_hosts, len(self.tier.control_hosts))
        half = len(hosts) // 2
        for first in hosts[:half]:
            for second in hosts[half:]:
                self._partition(first, second)

    def _lose_disks_amid_power_loss(self, host: str) -> None:
        """All members lose power, as many as tolerated lose their disks too, and all relays are killed."""
        lost = self._random.sample(self.tier.control_hosts, self.tier.tolerated)
        for member_host in self.tier.control_hosts:
            self.tier.kill_control(member_host, power=True, wipe=member_host in lost)
        for relay in self.tier.relay_hosts:
            self.tier.kill_relay(relay)

    def _step_clock(self, host: str) -> None:
        self._machine(host).clock_step_s = self._random.choice(CLOCK_STEPS_S)


def internal_address(host: str) -> str:
    """The internal address of a host."""
    return f"{host}:{INTERNAL_PORT}"
