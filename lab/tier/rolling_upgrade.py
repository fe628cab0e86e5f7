"""``python -m lab.tier.rolling_upgrade OTHER``: upgrades a tier of real processes from another checkout, and back.

Under a steady load the processes of the checkout OTHER are replaced by those of this one, one after the other and all
at once, and the other way round. Each keeps its address and its folder. Exit code 1 where anything was lost, done
twice, counted wrongly, or failed outside the windows of the replacements.
"""

from __future__ import annotations

import argparse
import asyncio
import math
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from random import Random, SystemRandom

import msgspec

from lab.tier.local import LocalTier
from lab.tier.upgrade_load import LARGE_BUDGET, SPENT, Conversation, Load, until
from lab.tier.upgrade_rules import failures, judge_requests, judge_stored

THIS_CHECKOUT = Path(__file__).resolve().parents[2]
NETWORK = 91
SEEDS = 1_000_000
EXIT_WITHIN_S = 10.0  # grace-s is 8
HEALTHY_WITHIN_S = 20.0
SERVED_WITHIN_S = 20.0
QUIET_WITHIN_S = 25.0
APPLIED_WITHIN_S = 5.0
COMMAND_WITHIN_S = 30.0
TURNS_A_RELAY = 10  # whole turns through each relay before the next process is replaced
MAX_REASONS = 20
MAX_UNEXPLAINED = 10  # changes of primary in a run: leases are 0.4 s, and a busy machine stalls a process for longer
BEFORE_CHANGE_S, RECOVERY_S = 3.0, 3.0  # around a change of primary or a stall that no step explains
LOG_TROUBLE = (
    "Traceback",
    "bad_message",
    "configuration_unusable",
    "copy_differs",
    "replica_differs",
    "disk_failed",
    "files_missing",
    "storage_incomplete",
    "settings_unusable",
)


@dataclass(frozen=True)
class Checkout:
    """One state of the program, and the interpreter that runs it."""

    label: str
    path: Path
    python: str

    def environment(self, bytecode: Path, settings: Path | None = None) -> dict[str, str]:
        """The variables of a process; its bytecode stays out of the checkout."""
        more = {"PYTHONPATH": str(self.path), "PYTHONPYCACHEPREFIX": str(bytecode)}
        return os.environ | more | ({"LYNXSCALE_SETTINGS": str(settings)} if settings else {})


class UpgradeTier(LocalTier):
    """A local tier whose processes run from a checkout each."""

    def __init__(self, folder: Path, network: int, checkout: Checkout) -> None:
        super().__init__(folder, network)
        self.checkouts = dict.fromkeys((*self.control_names, *self.relay_names), checkout)

    def launch(self, name: str, bootstrap: bool = False) -> None:
        """Start a process from its checkout."""
        checkout = self.checkouts[name]
        settings = self.folder / f"{name}.toml"
        settings.write_text(self.settings_text(name, bootstrap))
        module = "lynxscale.controlplane" if name.startswith("control") else "lynxscale.dataplane"
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [checkout.python, "-m", module],
                cwd=checkout.path,
                env=checkout.environment(self.folder / "bytecode", settings),
                stdout=log,
                stderr=log,
            )

    async def end(self, name: str) -> int:
        """SIGTERM, and the exit code. Raises TimeoutError where it does not end in time."""
        process = self.processes[name]
        process.send_signal(signal.SIGTERM)

        async def ended() -> bool:
            return process.poll() is not None

        await until(ended, EXIT_WITHIN_S, f"{name} ends after SIGTERM")
        del self.processes[name]
        return process.returncode

    async def run(self, checkout: Checkout, module: str, *words: str) -> tuple[int, str]:
        """Exit code and all output of a command line of a checkout."""
        process = await asyncio.create_subprocess_exec(
            checkout.python,
            *("-m", module, *words),
            cwd=checkout.path,
            env=checkout.environment(self.folder / "bytecode"),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        try:
            async with asyncio.timeout(COMMAND_WITHIN_S):
                output, _ = await process.communicate()
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
        return process.returncode, output.decode()

    async def status(self, name: str) -> dict:
        """What a process tells of itself; empty where it does not answer."""
        address = self.control(name) if name.startswith("control") else self.readiness(name)
        response = await self.call(address, "GET", "/status")
        return msgspec.json.decode(response.body) if response.status == 200 else {}

    async def healthy(self) -> bool:
        """One primary, all copies in sync, all relays ready and with that primary."""
        statuses = {name: await self.status(name) for name in (*self.control_names, *self.relay_names)}
        if not all(statuses.values()):
            return False
        leading = [name for name in self.control_names if statuses[name]["leads"]]
        if len(leading) != 1:
            return False
        primary = statuses[leading[0]]
        if any(statuses[name]["primary"] != primary["primary"] for name in self.control_names):
            return False
        in_sync = {one["node"] for one in primary["replicas"] if one["in_sync"]} | {leading[0]}
        relays = [statuses[name] for name in self.relay_names]
        return (
            in_sync == set(self.control_names)
            and sorted(primary["relays"]) == sorted(relay["address"] for relay in relays)
            and all(relay["ready"] and relay["primary"] == primary["primary"] for relay in relays)
        )


@dataclass
class Step:
    """One replacement, or several processes at once: its window, and what was served behind it."""

    what: str
    begin: float
    end: float = 0.0
    mix: str = ""
    served: Counter[str] = field(default_factory=Counter)


class Upgrade:
    """Replaces processes of a tier under load, and checks it. ``reasons``: all that was found to be wrong."""

    def __init__(self, tier: UpgradeTier, old: Checkout, new: Checkout, random: Random) -> None:
        self.tier = tier
        self.old, self.new = old, new
        self.random = random
        self.load = Load(tier, Random(random.random()))  # its draws depend on times, those of the order do not
        self.steps: list[Step] = []
        self.reasons: list[str] = []
        self.pairs: Counter[str] = Counter()

    @property
    def names(self) -> list[str]:
        """All processes."""
        return [*self.tier.control_names, *self.tier.relay_names]

    # What is done ------------------------------------------------------------------------------------

    async def start(self, group: asyncio.TaskGroup) -> None:
        """Start the tier, and let the load flow."""
        step = self._begin_step("start")
        await self.tier.start()
        await self._healthy()
        step.end = time.monotonic()
        self.load.begin(group)
        self.load.flow()
        await self._serve(step)

    async def replace_each(self, checkout: Checkout) -> None:
        """Replace one process after the other. A relay and a copy go before the primary, so that the versions mix."""
        for name in await self._draw_order():
            await self.replace(name, checkout)

    async def replace(self, name: str, checkout: Checkout) -> None:
        """SIGTERM, start from the checkout, wait for the group, and let it serve."""
        step = self._begin_step(f"{name} to {checkout.label}")
        await self._end([name])
        self.tier.checkouts[name] = checkout
        self.tier.launch(name)
        await self._healthy()
        step.end = time.monotonic()
        await self._serve(step)

    async def replace_all(self, checkout: Checkout) -> None:
        """Stop all at once; both versions read what is stored; start all at once."""
        step = self._begin_step(f"all to {checkout.label}")
        await self._end(self.names)
        await asyncio.gather(*(self._read_folder(name) for name in self.tier.control_names))
        for name in self.names:
            self.tier.checkouts[name] = checkout
            self.tier.launch(name)
        await self._healthy()
        step.end = time.monotonic()
        await self._serve(step)

    async def check(self) -> None:
        """Everything that must hold, with the load at rest, which flows again behind it."""
        await self.load.pause(QUIET_WITHIN_S)
        await self._continue_conversations()
        await self._check_configuration()
        await self._check_stored()
        self.reasons += judge_requests(self.tier.endpoints, self.load)
        self.load.flow()

    def conclude(self) -> None:
        """Look at the load's faults, the logs and the requests that failed, behind the end of all."""
        self.reasons += self.load.faults + self._log_lines(LOG_TROUBLE)
        self.reasons += failures(self.load, self.excused_windows)[1]
        changes = len(self._unexplained_changes())
        if changes > MAX_UNEXPLAINED:
            self.reasons.append(f"{changes} changes of primary that no step explains")

    @property
    def windows(self) -> list[tuple[float, float]]:
        """Begin and end of each step; one that did not come to its end is open."""
        return [(step.begin, step.end or math.inf) for step in self.steps]

    @property
    def excused_windows(self) -> list[tuple[float, float]]:
        """The windows of the steps, and the times in which the machine was too busy to run these processes.

        A stall shows in this process's own timers, or in a primary that loses its lease without any step. Requests may
        then fail; what must not be lost or done twice is judged all the same.
        """
        changes = [(at - BEFORE_CHANGE_S, at + RECOVERY_S) for at in self._unexplained_changes()]
        stalls = [(begin - BEFORE_CHANGE_S, end + RECOVERY_S) for begin, end in self.load.stalls]
        return [*self.windows, *changes, *stalls]

    async def _draw_order(self) -> list[str]:
        primary = await self.tier.primary()
        copy = self.random.choice([name for name in self.tier.control_names if name != primary])
        first = [copy, self.random.choice(self.tier.relay_names)]
        rest = [name for name in self.names if name not in first]
        self.random.shuffle(first)
        self.random.shuffle(rest)
        return first + rest

    def _begin_step(self, what: str) -> Step:
        self.steps.append(Step(what, time.monotonic()))
        return self.steps[-1]

    async def _end(self, names: list[str]) -> None:
        codes = await asyncio.gather(*(self.tier.end(name) for name in names))
        self.reasons += [f"{name} ended with code {code}" for name, code in zip(names, codes, strict=True) if code]

    async def _healthy(self) -> None:
        await until(self.tier.healthy, HEALTHY_WITHIN_S, "one primary, all copies in sync, all relays ready")

    async def _serve(self, step: Step) -> None:
        """Wait until each relay has served turns in the present mix of versions, and note the mix."""
        since, primary = step.end, await self.tier.primary()

        async def served() -> bool:
            nonlocal since, primary
            step.served = self.load.whole_turns(since)
            if await self.tier.primary() != primary:
                # Another leads now, and with it the mix is another.
                since, primary = time.monotonic(), await self.tier.primary()
                return False
            return all(step.served[name] >= TURNS_A_RELAY for name in self.tier.relay_names)

        await until(served, SERVED_WITHIN_S, f"turns through each relay after: {step.what}")
        self._note_mix(step, primary)

    def _note_mix(self, step: Step, primary: str) -> None:
        labels = {name: checkout.label for name, checkout in self.tier.checkouts.items()}
        lead = labels[primary]
        copies = [labels[name] for name in self.tier.control_names if name != primary]
        step.mix = f"{lead:8} {'+'.join(copies):8} {'+'.join(labels[name] for name in self.tier.relay_names)}"
        for label in copies:
            self.pairs[f"{lead} primary, {label} copy"] += step.served.total()
        for name, count in step.served.items():
            self.pairs[f"{lead} primary, {labels[name]} relay"] += count

    # Checks ------------------------------------------------------------------------------------------

    async def _continue_conversations(self) -> None:
        """Each goes on by another turn; one whose budget is spent is refused."""
        for conversation in list(self.load.conversations):
            allowed = self._next_statuses(conversation)
            seen = await self.load.turn(conversation)
            if seen.answer.status not in allowed:
                self.reasons.append(f"{seen.program} does not go on from {seen.previous}: {seen.answer.status}")

    def _next_statuses(self, conversation: Conversation) -> tuple[int, ...]:
        if conversation.exhausted:
            return (SPENT,)
        return (200,) if conversation.budget == LARGE_BUDGET else (200, SPENT)

    async def _check_configuration(self) -> None:
        newest = self.load.in_force
        for name in self.tier.control_names:
            response = await self.tier.call(self.tier.control(name), "GET", "/config/read")
            if response.status != 200 or msgspec.json.decode(response.body) != newest:
                self.reasons.append(f"{name} answers with another configuration than {newest['generation']}")

        async def applied() -> bool:
            statuses = [await self.tier.status(name) for name in self.names]
            return all(one.get("configuration") == newest["generation"] for one in statuses)

        await until(applied, APPLIED_WITHIN_S, f"all processes hold configuration {newest['generation']}")

    async def _check_stored(self) -> None:
        """Stop a copy, read its folder, start it again. Nothing is under way meanwhile."""
        primary = await self.tier.primary()
        name = self.random.choice([one for one in self.tier.control_names if one != primary])
        await self._end([name])
        self.reasons += judge_stored(await self._read_folder(name), self.load)
        self.tier.launch(name)
        await self._healthy()

    async def _read_folder(self, name: str) -> str:
        """The exported state of a stopped member. Both versions must find it whole and read the same."""
        exports = await asyncio.gather(*(self._export(checkout, name) for checkout in (self.old, self.new)))
        if exports[0] != exports[1]:
            self.reasons.append(f"the versions read other values in the folder of {name}")
        return exports[1]

    async def _export(self, checkout: Checkout, name: str) -> str:
        """The stored state as a version reads it, which must find all files whole."""
        output = ""
        for verb in ("verify", "export"):
            words = ("storage", verb, str(self.tier.folder / name))
            code, output = await self.tier.run(checkout, "lynxscale.controlplane.cli", *words)
            if code:
                self.reasons.append(f"storage {verb} of {name} by the {checkout.label} version: {output.strip()}")
        return output

    def _unexplained_changes(self) -> list[float]:
        """Times of changes of primary outside all windows: a machine that is too busy makes them."""
        changes = [at for at, _ in self.load.primaries[1:]]
        return [at for at in changes if not any(begin <= at <= end for begin, end in self.windows)]

    def _log_lines(self, words: tuple[str, ...]) -> list[str]:
        """Lines of all logs with one of the words."""
        logs = {name: self.tier.folder / f"{name}.log" for name in self.names}
        texts = {name: log.read_text() if log.exists() else "" for name, log in logs.items()}
        lines = [f"log of {name}: {line}" for name, text in texts.items() for line in text.splitlines()]
        return [line for line in lines if any(word in line for word in words)]

    def check_mixes(self) -> None:
        """Has a primary of each version served relays and copies of the other?"""
        for lead, other in ((self.old.label, self.new.label), (self.new.label, self.old.label)):
            for role in ("relay", "copy"):
                if not self.pairs[f"{lead} primary, {other} {role}"]:
                    self.reasons.append(f"no {lead} primary served with a {other} {role}")

    # What is told ------------------------------------------------------------------------------------

    def report(self) -> str:
        """A short table of the steps, the mixes and all that failed."""
        lines = [f"{'step':20} {'window':>8} {'failed':>7} {'served':>7}  {'primary':8} {'copies':8} relays"]
        for step in self.steps:
            window = [(step.begin, step.end or time.monotonic())]
            failed = failures(self.load, window)[0].total()
            length = f"{window[0][1] - window[0][0]:.1f} s"
            lines.append(f"{step.what:20} {length:>8} {failed:>7} {step.served.total():>7}  {step.mix}")
        lines += [f"turns with {pair}: {count}" for pair, count in sorted(self.pairs.items())]
        within, outside = failures(self.load, self.excused_windows)
        kinds = Counter(one.kind for one in self.load.sent)
        lines.append("requests: " + ", ".join(f"{kind} {count}" for kind, count in sorted(kinds.items())))
        told = ", ".join(f"{what}: {count}" for what, count in sorted(within.items()))
        lines.append(f"failed within windows: {within.total()}" + (f" ({told})" if told else ""))
        lines.append(f"failed outside windows: {len(outside)}")
        lines.append(f"stalls of the machine: {len(self.load.stalls)}")
        lines.append(f"conversations: {len(self.load.conversations)}, orders: {len(self.load.orders) - 1}")
        lines.append(f"orders sent again as undecided: {sum(one.undecided for one in self.load.sent)}")
        lines.append(f"changes of primary that no step explains: {len(self._unexplained_changes())}")
        lines += [f"WRONG: {reason}" for reason in self.reasons[:MAX_REASONS]]
        if len(self.reasons) > MAX_REASONS:
            lines.append(f"WRONG: and {len(self.reasons) - MAX_REASONS} more")
        return "\n".join(lines)


async def upgrade_and_back(upgrade: Upgrade, group: asyncio.TaskGroup) -> None:
    """All of it: one by one and all at once, forth and back."""
    old, new = upgrade.old, upgrade.new
    await upgrade.start(group)
    await upgrade.check()
    await upgrade.replace_each(new)
    await upgrade.check()
    await upgrade.replace_all(new)
    await upgrade.check()
    await upgrade.replace_each(old)
    await upgrade.check()
    for checkout in (new, old):
        await upgrade.replace_all(checkout)
        await upgrade.check()
    upgrade.check_mixes()


async def run(upgrade: Upgrade, play: Callable[[Upgrade, asyncio.TaskGroup], Awaitable[None]]) -> None:
    """Play steps under load to their end, or to the first wait that takes too long; all processes are ended."""
    try:
        async with asyncio.TaskGroup() as group:
            try:
                await play(upgrade, group)
            finally:
                upgrade.load.cancel()
    except* TimeoutError as late:
        upgrade.reasons += [str(error) or "the tier does not start" for error in late.exceptions]
    finally:
        for name in list(upgrade.tier.processes):
            upgrade.tier.kill(name)
    upgrade.conclude()


def where_from(checkout: Checkout, bytecode: Path) -> str:
    """The folder that the checkout's interpreter takes the program from."""
    told = subprocess.run(
        [checkout.python, "-c", "import lynxscale; print(lynxscale.__file__)"],
        cwd=checkout.path,
        env=checkout.environment(bytecode),
        capture_output=True,
        text=True,
        check=True,
        timeout=COMMAND_WITHIN_S,
    )
    return str(Path(told.stdout.strip()).resolve().parents[1])


def revision(checkout: Checkout) -> str:
    """The commit of a checkout, with a mark where files differ from it."""
    told = subprocess.run(
        ["git", "-C", str(checkout.path), "describe", "--always", "--dirty"], capture_output=True, text=True
    )
    return told.stdout.strip() or "unknown"


def interpreter_of(path: Path) -> str:
    """The interpreter of a checkout's own environment, else the present one."""
    own = path / ".venv" / "bin" / "python"
    return str(own) if own.exists() else sys.executable


async def ended_by_signal(work: Coroutine[None, None, None]) -> None:
    """Run to the end; SIGTERM ends it early, and with it all processes."""
    task = asyncio.ensure_future(work)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    await task


def main() -> int:
    """Exit code 1 with reasons where something was wrong; the processes' logs are kept then."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("other", type=Path, help="the checkout that is upgraded from")
    parser.add_argument("--seed", type=int, default=None, help="of the load and of the order of processes")
    parser.add_argument("--python", default="", help="the interpreter of the other checkout")
    parser.add_argument("--network", type=int, default=NETWORK, help="second number of all addresses")
    options = parser.parse_args()
    seed = SystemRandom().randrange(SEEDS) if options.seed is None else options.seed
    other = options.other.resolve()
    old = Checkout("old", other, options.python or interpreter_of(other))
    new = Checkout("new", THIS_CHECKOUT, sys.executable)
    folder = Path(tempfile.mkdtemp(prefix="rolling-upgrade-"))
    print(f"seed {seed}", flush=True)
    for checkout in (old, new):
        print(f"{checkout.label}: {checkout.path} at {revision(checkout)}", flush=True)
        if where_from(checkout, folder / "bytecode") != str(checkout.path):
            print(f"the {checkout.label} program would not be started from its checkout")
            return 1
    upgrade = Upgrade(UpgradeTier(folder, options.network, old), old, new, Random(seed))
    asyncio.run(ended_by_signal(run(upgrade, upgrade_and_back)))
    print(upgrade.report())
    if upgrade.reasons:
        print(f"logs and folders: {folder}")
        return 1
    shutil.rmtree(folder)
    print("nothing was lost, done twice or counted wrongly")
    return 0


if __name__ == "__main__":
    sys.exit(main())
