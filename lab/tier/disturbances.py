"""Signals, restarts and changes of settings of real processes, in series that overlap.

Several workers disturb at the same time. A process is stopped, killed or frozen by one of them only; SIGHUP may reach
any process at any time, also one that starts or stops. One control member at a time is stopped or killed, and the next
one only when enough replicas are in sync again, as the tier tolerates one loss. With spare control members, unplanned
work also kills voters while one of them is being replaced, and then lets each half of the group run alone: service may
rest then, but nothing acknowledged may be lost.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import signal
import subprocess
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from random import Random

import msgspec

from lab.tier.judge_wait import wait_until
from lab.tier.local import LocalTier
from lynxscale.coordination.membership_plan import voters_wanted

MIN_WORKERS = 3
PROCESSES_PER_WORKER = 15
TOLERATED_MACHINES = 1  # the setting machines under fault-tolerance
PAUSE_RANGE_S = (0.0, 0.8)  # time between two disturbances of a worker
EXIT_TIMEOUT_S = 9.0  # the setting grace-s is 8 s; the rest is for a busy machine
START_TIMEOUT_S = 25.0
MEMBER_FREEZE_RANGE_S, RELAY_FREEZE_RANGE_S = (0.1, 2.0), (0.1, 5.0)
MAX_SIGNALS = 5  # number of signals in one series
SERIES_GAP_S = 0.05  # longest time between two signals of a series
OVERLAP_RANGE_S = (0.0, 3.0)  # time after SIGTERM within which further signals are sent
DOWN_RANGE_S = (0.0, 0.5)
WATCH_INTERVAL_S = 0.02
PLANNED = ("reload", "restart")
UNPLANNED = ("kill", "freeze")
CONTROL_SHARE = 0.2  # share of the disturbances that hit control members
VOTERS_SHARE = 0.4  # share of these that kill several voters, if there are spares
VOTERS = "voters"
MIN_CONTROLS_WITH_SPARE = 4
REPLACEMENT_RANGE_S = (0.25, 0.5)  # from the loss of a voter until others are killed; it counts as lost after 0.32 s
MAX_SECOND_KILLS = 2
SECOND_START_RANGE_S = (0.2, 0.6)  # from the start of a killed voter until it is killed again
HALF_RANGE_S = (0.5, 3.0)  # how long one half of the group runs alone


@dataclass
class Disturbance:
    """One disturbance of a process; times in seconds. ``end`` is infinite while it lasts."""

    kind: str
    process: str
    begin: float
    end: float = math.inf

    @property
    def planned(self) -> bool:
        """Whether it is planned work, during which no request may be lost."""
        return self.kind in PLANNED


class Disturber:
    """Disturbs the processes of a tier. ``faults``: what no disturbance explains, such as a process that ended."""

    def __init__(
        self, tier: LocalTier, random: Random, planned_only: bool, control_share: float = CONTROL_SHARE
    ) -> None:
        """``control_share``: the share of the disturbances that hit control members."""
        self.log: list[Disturbance] = []
        self.faults: list[str] = []
        self._tier = tier
        self._random = random
        self._control_share = control_share
        self._kinds = PLANNED if planned_only else (*PLANNED, *PLANNED, *UNPLANNED)
        self._held: set[str] = set()  # processes that a worker stops, kills or freezes
        self._may_end: set[str] = set()
        self._control_lock = asyncio.Lock()

    @property
    def counts(self) -> Counter[str]:
        """The number of disturbances by kind."""
        return Counter(disturbance.kind for disturbance in self.log)

    async def run(self, seconds: float) -> None:
        """Disturb for a time; afterwards all processes run and are healthy. Raises TimeoutError."""
        watcher = asyncio.create_task(self._watch())
        try:
            end = time.monotonic() + seconds
            processes = len(self._tier.relay_names) + len(self._tier.control_names)
            workers = max(MIN_WORKERS, processes // PROCESSES_PER_WORKER)
            await asyncio.gather(*(self._work(end) for _ in range(workers)))
            await wait_until(self._healthy, START_TIMEOUT_S, "enough replicas in sync and all relays ready")
        finally:
            watcher.cancel()

    async def _work(self, end: float) -> None:
        while time.monotonic() < end:
            await asyncio.sleep(self._random.uniform(*PAUSE_RANGE_S))
            control = self._random.random() < self._control_share
            if control and self._may_lose_voters and self._random.random() < VOTERS_SHARE:
                await self._lose_voters()
                continue
            name = self._random.choice(self._tier.control_names if control else self._tier.relay_names)
            await self._disturb(self._random.choice(self._kinds), name)

    async def _disturb(self, kind: str, name: str) -> None:
        if kind == "reload":
            await self._reload(name)
        elif name not in self._held:
            self._held.add(name)
            try:
                if name in self._tier.control_names:
                    await self._disturb_control(kind, name)
                else:
                    await self._interrupt(kind, name)
            finally:
                self._held.discard(name)

    async def _disturb_control(self, kind: str, name: str) -> None:
        async with self._control_lock:
            await self._interrupt(kind, name)
            await wait_until(self._in_sync, START_TIMEOUT_S, f"enough replicas in sync after {kind} of {name}")

    @property
    def _may_lose_voters(self) -> bool:
        return "kill" in self._kinds and len(self._tier.control_names) >= MIN_CONTROLS_WITH_SPARE

    async def _lose_voters(self) -> None:
        """Kill a voter, and another one amid its replacement; let these two run alone, then start all."""
        async with self._control_lock:
            status = await self._primary_status()
            if status is None:
                return
            backups = [replica["node"] for replica in status["replicas"] if replica["witness"]]
            self._random.shuffle(backups)
            first, second = backups[:2]
            others = [name for name in self._tier.control_names if name not in (first, second)]
            disturbance = Disturbance(VOTERS, f"{first} {second}", time.monotonic())
            self.log.append(disturbance)
            await self._kill_voters(first, second)
            await asyncio.sleep(self._random.uniform(*HALF_RANGE_S))
            for name in others:
                self._kill(name)
            for name in (first, second):
                self._launch(name)
            await asyncio.sleep(self._random.uniform(*HALF_RANGE_S))
            for name in others:
                self._launch(name)
            await wait_until(self._in_sync, START_TIMEOUT_S, f"enough replicas in sync after {first} and {second}")
            disturbance.end = time.monotonic()

    async def _kill_voters(self, first: str, second: str) -> None:
        self._kill(first)
        await asyncio.sleep(self._random.uniform(*REPLACEMENT_RANGE_S))
        self._kill(second)
        for _ in range(self._random.randint(0, MAX_SECOND_KILLS)):
            self._launch(second)
            await asyncio.sleep(self._random.uniform(*SECOND_START_RANGE_S))
            self._kill(second)

    async def _interrupt(self, kind: str, name: str) -> None:
        disturbance = Disturbance(kind, name, time.monotonic())
        self.log.append(disturbance)
        if kind == "freeze":
            await self._freeze(name)
        else:
            await self._end(kind, name)
            await asyncio.sleep(self._random.uniform(*DOWN_RANGE_S))
            await self._start(name)
        disturbance.end = time.monotonic()

    # Single steps ------------------------------------------------------------------------------------

    async def _reload(self, name: str) -> None:
        """Change the order of the seeds, or leave the settings as they are, and send a series of SIGHUP."""
        disturbance = Disturbance("reload", name, time.monotonic())
        self.log.append(disturbance)
        if self._random.random() < 0.5:
            self._shuffle_seeds(name)
        for _ in range(self._random.randint(1, MAX_SIGNALS)):
            self._send(name, signal.SIGHUP)
            await asyncio.sleep(self._random.uniform(0.0, SERIES_GAP_S))
        disturbance.end = time.monotonic()

    def _shuffle_seeds(self, name: str) -> None:
        settings = self._tier.folder / f"{name}.toml"
        seeds = [self._tier.control(control) for control in self._tier.control_names]
        text = settings.read_text().replace(
            next(line for line in settings.read_text().splitlines() if line.startswith("seeds")),
            f"seeds = {msgspec.json.encode(self._random.sample(seeds, len(seeds))).decode()}",
        )
        aside = settings.with_suffix(".new")
        aside.write_text(text)
        aside.replace(settings)

    async def _freeze(self, name: str) -> None:
        process = self._tier.processes[name]
        seconds = MEMBER_FREEZE_RANGE_S if name in self._tier.control_names else RELAY_FREEZE_RANGE_S
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self._random.uniform(*seconds))
        process.send_signal(signal.SIGCONT)

    async def _end(self, kind: str, name: str) -> None:
        """Stop a process with SIGTERM, with further signals while it stops, or kill it."""
        if kind == "kill":
            self._kill(name)
            return
        process = self._tier.processes[name]
        self._may_end.add(name)
        unhandled = not _handles(process.pid, signal.SIGTERM)  # then it ends the process, which serves nothing yet
        process.send_signal(signal.SIGTERM)
        further = asyncio.create_task(self._signal_while_stopping(process))
        try:
            await wait_until(
                lambda: _ended(process), EXIT_TIMEOUT_S, f"{name} ends after SIGTERM", interval_s=WATCH_INTERVAL_S
            )
        except TimeoutError as error:
            self.faults.append(str(error))
            process.kill()
            process.wait()
        finally:
            await further
        if process.returncode not in ((0, -signal.SIGTERM) if unhandled else (0,)):
            self.faults.append(f"{name} ended with code {process.returncode} after SIGTERM")

    def _kill(self, name: str) -> None:
        self._may_end.add(name)
        self._tier.processes[name].kill()
        self._tier.processes[name].wait()

    def _launch(self, name: str) -> None:
        self._tier.launch(name)
        self._may_end.discard(name)

    async def _signal_while_stopping(self, process: subprocess.Popen) -> None:
        """Send SIGHUP and SIGTERM to a process that stops; its exit code is that of a graceful end all the same."""
        signals = self._random.choices((signal.SIGHUP, signal.SIGTERM), (3, 1), k=self._random.randint(0, MAX_SIGNALS))
        end = time.monotonic() + self._random.uniform(*OVERLAP_RANGE_S)
        for number in signals:
            await asyncio.sleep(self._random.uniform(0.0, max(0.0, end - time.monotonic())))
            if process.poll() is None:
                process.send_signal(number)

    async def _start(self, name: str) -> None:
        """Start a process; a series of SIGHUP follows, from the moment on from which the program can hold it."""
        self._launch(name)
        if self._random.random() < 0.5:
            process = self._tier.processes[name]
            with contextlib.suppress(TimeoutError):
                await wait_until(
                    lambda: _holds_reload_signal(process), START_TIMEOUT_S, f"{name} starts", interval_s=0.001
                )
            await self._reload(name)

    def _send(self, name: str, number: signal.Signals) -> None:
        process = self._tier.processes.get(name)
        if process is not None and process.poll() is None and (name in self._may_end or _handles(process.pid, number)):
            process.send_signal(number)

    # What must hold ----------------------------------------------------------------------------------

    async def _watch(self) -> None:
        """Record each process that ends without having been asked to, and start it again."""
        while True:
            for name, process in list(self._tier.processes.items()):
                if name not in self._may_end and process.poll() is not None:
                    self.faults.append(f"{name} ended by itself with code {process.returncode}")
                    self._tier.launch(name)
            await asyncio.sleep(WATCH_INTERVAL_S)

    async def _in_sync(self) -> bool:
        status = await self._primary_status()
        if status is None:
            return False
        in_sync = sum(replica["in_sync"] for replica in status["replicas"]) + 1  # the primary lists the others only
        return in_sync >= voters_wanted(TOLERATED_MACHINES)  # further members are spares

    async def _primary_status(self) -> dict | None:
        """The status page of the primary, None if there is none."""
        for name in self._tier.control_names:
            response = await self._tier.call(self._tier.control(name), "GET", "/status")
            if response.status == 200 and (status := msgspec.json.decode(response.body))["leads"]:
                return status
        return None

    async def _healthy(self) -> bool:
        ready = [
            (await self._tier.call(self._tier.readiness(name), "GET", "/ready")).status == 200
            for name in self._tier.relay_names
        ]
        return all(ready) and await self._in_sync()


async def _ended(process: subprocess.Popen) -> bool:
    return process.poll() is not None


async def _holds_reload_signal(process: subprocess.Popen) -> bool:
    return process.poll() is not None or _handles(process.pid, signal.SIGHUP)


def _handles(pid: int, number: signal.Signals) -> bool:
    """Whether a process handles or blocks a signal; it does neither until the interpreter runs the program."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return False
    masks = dict(line.split(":\t", 1) for line in lines if line.startswith(("SigBlk", "SigCgt")))
    return any(int(mask, 16) & 1 << (number - 1) for mask in masks.values())
