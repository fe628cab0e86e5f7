"""``python -m lab.tier.rolling_upgrade OTHER``: upgrades a tier of real processes from another checkout, and back.

Under a steady load, the processes of the checkout OTHER are replaced by those of this one, one after the other and all
at the same time, and the other way round. Each keeps its address and its folder. With ``--controls 4`` one member is a
spare: it takes the place of each voter that stops, and voters are also killed while the versions mix. Exit code 1 if
anything was lost, executed twice or counted wrongly, or failed outside the time windows of the replacements.
"""

from __future__ import annotations

import argparse
import asyncio
import math
import shutil
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from random import Random, SystemRandom

import msgspec

from lab.tier.judge_wait import wait_until
from lab.tier.line_clients import RESTARTING, LineClients
from lab.tier.local import CONTROL_COUNT, free_network
from lab.tier.resumable_turns import tag_events
from lab.tier.upgrade_load import BUDGET_SPENT_STATUS, LARGE_BUDGET, Conversation, Load
from lab.tier.upgrade_report import report
from lab.tier.upgrade_rules import UNCERTAIN_STATUSES, failures, request_violations, stored_state_violations
from lab.tier.upgrade_tier import THIS_CHECKOUT, Checkout, UpgradeTier, interpreter_of, program_folder, revision

SEED_LIMIT = 1_000_000
HEALTHY_TIMEOUT_S = 20.0
SERVE_TIMEOUT_S = 20.0
PAUSE_TIMEOUT_S = 25.0
APPLY_TIMEOUT_S = 5.0
MIN_TURNS_PER_RELAY = 10  # complete turns through each relay before the next replacement
LINE_CLIENTS = 3  # clients with turns on a resumable route
MAX_UNEXPLAINED_CHANGES = 10  # a busy machine can stall a primary for longer than its lease of 0.4 s
EXCUSED_BEFORE_S, EXCUSED_AFTER_S = 3.0, 3.0  # around an unexplained change of primary or a stall
FAULT_LOG_WORDS = (
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


@dataclass
class Step:
    """One replacement of one or several processes: its time window, and the turns that were served after it."""

    description: str
    begin: float
    end: float = 0.0
    version_mix: str = ""
    served: Counter[str] = field(default_factory=Counter)


class Upgrade:
    """Replaces processes of a tier under load, and checks the tier. ``reasons``: all faults found so far."""

    def __init__(self, tier: UpgradeTier, old: Checkout, new: Checkout, random: Random) -> None:
        self.tier = tier
        self.old, self.new = old, new
        self.random = random
        self.load = Load(tier, Random(random.random()))  # a separate generator: its draws depend on timing
        self.lines = LineClients(tier, Random(random.random()), LINE_CLIENTS, RESTARTING)
        self.steps: list[Step] = []
        self.reasons: list[str] = []
        self.pairs: Counter[str] = Counter()

    @property
    def names(self) -> list[str]:
        """The names of all processes."""
        return [*self.tier.control_names, *self.tier.relay_names]

    # Steps -------------------------------------------------------------------------------------------

    async def start(self, group: asyncio.TaskGroup) -> None:
        """Start the tier and the load."""
        step = self._begin_step("start")
        await self.tier.start()
        await self._healthy()
        step.end = time.monotonic()
        tag_events(self.tier.endpoints, {RESTARTING.path_prefix: RESTARTING.events})
        self._group = group
        self.load.begin(group)
        self._resume_load()
        await self._serve(step)

    def _resume_load(self) -> None:
        self.load.resume()
        self.lines.begin(self._group)

    async def replace_each(self, checkout: Checkout) -> None:
        """Replace one process after the other: a relay and a backup before the primary, so that the versions mix."""
        for name in await self._draw_order():
            await self.replace(name, checkout)
            if self.tier.has_spare and name.startswith("control"):
                await self.lose_voter()

    async def replace(self, name: str, checkout: Checkout) -> None:
        """Stop a process, start it from a checkout, and wait until the tier is healthy and has served turns."""
        step = self._begin_step(f"{name} to {checkout.label}")
        await self._end([name])
        self.tier.checkouts[name] = checkout
        self.tier.launch(name)
        await self._healthy()
        step.end = time.monotonic()
        await self._serve(step)

    async def lose_voter(self) -> None:
        """Kill a voter, wait until the spare has taken its place, and start it again as the spare."""
        name = self.random.choice(await self.tier.in_sync_backups())
        step = self._begin_step(f"{name} killed")
        self.tier.kill(name)
        await self._healthy()
        self.tier.launch(name)
        await self._healthy()
        step.end = time.monotonic()
        await self._serve(step)

    async def replace_all(self, checkout: Checkout) -> None:
        """Stop all processes, read the stored state with both versions, and start all processes."""
        step = self._begin_step(f"all to {checkout.label}")
        await self._end(self.names)
        folders = [self._read_folder(name) for name in self.tier.control_names if (self.tier.folder / name).exists()]
        await asyncio.gather(*folders)
        for name in self.names:
            self.tier.checkouts[name] = checkout
            self.tier.launch(name)
        await self._healthy()
        step.end = time.monotonic()
        await self._serve(step)

    async def check(self) -> None:
        """Pause the load, check everything that must hold, and resume the load."""
        self.lines.cancel()
        await self.load.pause(PAUSE_TIMEOUT_S)
        await self._continue_conversations()
        await self._check_configuration()
        await self._check_stored()
        self.reasons += request_violations(self.tier.endpoints, self.load)
        self._resume_load()

    def conclude(self) -> None:
        """After the end of all processes, check the faults of the load, the logs and the requests that failed."""
        self.reasons += self.load.faults + self._log_lines(FAULT_LOG_WORDS)
        self.reasons += self.lines.violations(self.tier.endpoints)
        self.reasons += [f"UNANSWERED {request.request_id} at {request.relay}" for request in self.lines.unanswered]
        self.reasons += failures(self.load, self.excused_windows)[1]
        changes = len(self.unexplained_changes())
        if changes > MAX_UNEXPLAINED_CHANGES:
            self.reasons.append(f"{changes} changes of primary that no step explains")

    @property
    def windows(self) -> list[tuple[float, float]]:
        """Begin and end of each step; the end of an unfinished step is infinite."""
        return [(step.begin, step.end or math.inf) for step in self.steps]

    @property
    def excused_windows(self) -> list[tuple[float, float]]:
        """The windows of the steps, and the times in which the machine was too busy to run these processes.

        A stall is detected by late timers in this process, or by a change of primary outside all steps. Requests may
        fail in these windows, but nothing may be lost or executed twice.
        """
        changes = [(at - EXCUSED_BEFORE_S, at + EXCUSED_AFTER_S) for at in self.unexplained_changes()]
        stalls = [(begin - EXCUSED_BEFORE_S, end + EXCUSED_AFTER_S) for begin, end in self.load.stalls]
        return [*self.windows, *changes, *stalls]

    async def _draw_order(self) -> list[str]:
        primary = await self.tier.primary()
        backup = self.random.choice([name for name in self.tier.control_names if name != primary])
        first = [backup, self.random.choice(self.tier.relay_names)]
        rest = [name for name in self.names if name not in first]
        self.random.shuffle(first)
        self.random.shuffle(rest)
        return first + rest

    def _begin_step(self, description: str) -> Step:
        self.steps.append(Step(description, time.monotonic()))
        return self.steps[-1]

    async def _end(self, names: list[str]) -> None:
        codes = await asyncio.gather(*(self.tier.end(name) for name in names))
        self.reasons += [f"{name} ended with code {code}" for name, code in zip(names, codes, strict=True) if code]

    async def _healthy(self) -> None:
        await wait_until(self.tier.healthy, HEALTHY_TIMEOUT_S, "one primary, all members in sync, all relays ready")

    async def _serve(self, step: Step) -> None:
        """Wait until each relay has served turns in the current mix of versions, and record the mix."""
        since, primary = step.end, await self.tier.primary()

        async def served() -> bool:
            nonlocal since, primary
            step.served = self.load.complete_turns_by_relay(since)
            if await self.tier.primary() != primary:
                # The primary has changed, and with it the mix of versions.
                since, primary = time.monotonic(), await self.tier.primary()
                return False
            return all(step.served[name] >= MIN_TURNS_PER_RELAY for name in self.tier.relay_names)

        await wait_until(served, SERVE_TIMEOUT_S, f"turns through each relay after: {step.description}")
        self._record_mix(step, primary)

    def _record_mix(self, step: Step, primary: str) -> None:
        labels = {name: checkout.label for name, checkout in self.tier.checkouts.items()}
        primary_label = labels[primary]
        backups = [labels[name] for name in self.tier.control_names if name != primary]
        step.version_mix = (
            f"{primary_label:8} {'+'.join(backups):8} {'+'.join(labels[name] for name in self.tier.relay_names)}"
        )
        for label in backups:
            self.pairs[f"{primary_label} primary, {label} backup"] += step.served.total()
        for name, count in step.served.items():
            self.pairs[f"{primary_label} primary, {labels[name]} relay"] += count

    # Checks ------------------------------------------------------------------------------------------

    async def _continue_conversations(self) -> None:
        """Send another turn of each conversation; it is rejected only if the budget may be spent."""
        for conversation in list(self.load.conversations):
            allowed = self._next_statuses(conversation)
            turn = await self.load.turn(conversation)
            if turn.response.status not in allowed:
                self.reasons.append(f"{turn.program} cannot continue from {turn.previous}: {turn.response.status}")
                self.reasons += [f"  {attempt}" for attempt in self._attempts(conversation)]

    def _attempts(self, conversation: Conversation) -> list[str]:
        """All turns of a program that were sent, with their times, for a trace."""
        turns = {seen.request_id: seen for seen in self.load.turns if seen.program == conversation.program}
        return [
            f"{sent.request_id} at {sent.process}: {sent.started_at:.3f} to {sent.ended_at:.3f}, status {sent.status}, "
            f"{turns[sent.request_id].response.body.count(b'data:')} events"
            for sent in self.load.sent
            if sent.request_id in turns
        ]

    def _next_statuses(self, conversation: Conversation) -> tuple[int, ...]:
        """Return the statuses that the next turn may get.

        A turn that failed counts at its most until its relay has told the primary what it used; that may be after a
        402 (RULES, Worth: "that count takes at their most all turns that had not ended whole").
        """
        attempts = [seen for seen in self.load.turns if seen.program == conversation.program]
        if conversation.exhausted and not any(seen.response.status in UNCERTAIN_STATUSES for seen in attempts):
            return (BUDGET_SPENT_STATUS,)
        return (200,) if conversation.budget == LARGE_BUDGET else (200, BUDGET_SPENT_STATUS)

    async def _check_configuration(self) -> None:
        newest = self.load.in_force
        for name in self.tier.control_names:
            response = await self.tier.call(self.tier.control(name), "GET", "/config/read")
            if response.status != 200 or msgspec.json.decode(response.body) != newest:
                self.reasons.append(f"{name} does not answer with configuration {newest['generation']}")

        async def applied() -> bool:
            # A spare stores nothing.
            holders = [await self.tier.primary(), *await self.tier.in_sync_backups(), *self.tier.relay_names]
            statuses = [await self.tier.status(name) for name in holders]
            return all(status.get("configuration") == newest["generation"] for status in statuses)

        await wait_until(applied, APPLY_TIMEOUT_S, f"all processes hold configuration {newest['generation']}")

    async def _check_stored(self) -> None:
        """Stop a backup, check its stored state, and start it again. No request is in flight meanwhile."""
        name = self.random.choice(await self.tier.in_sync_backups())
        await self._end([name])
        self.reasons += stored_state_violations(await self._read_folder(name), self.load)
        self.tier.launch(name)
        await self._healthy()

    async def _read_folder(self, name: str) -> str:
        """The exported state of a stopped member. Both versions must find it intact and export the same."""
        exports = await asyncio.gather(*(self._export(checkout, name) for checkout in (self.old, self.new)))
        if exports[0] != exports[1]:
            self.reasons.append(f"the versions read different values from the folder of {name}")
        return exports[1]

    async def _export(self, checkout: Checkout, name: str) -> str:
        """The stored state as one version exports it; the version must also verify all files."""
        output = ""
        for command in ("verify", "export"):
            arguments = ("storage", command, str(self.tier.folder / name))
            code, output = await self.tier.run(checkout, "lynxscale.controlplane.cli", *arguments)
            if code:
                self.reasons.append(f"storage {command} of {name} by the {checkout.label} version: {output.strip()}")
        return output

    def unexplained_changes(self) -> list[float]:
        """Times of the changes of primary outside all windows; an overloaded machine causes them."""
        changes = [at for at, _ in self.load.primaries[1:]]
        return [at for at in changes if not any(begin <= at <= end for begin, end in self.windows)]

    def _log_lines(self, words: tuple[str, ...]) -> list[str]:
        """The lines of all logs that contain one of the words."""
        logs = {name: self.tier.folder / f"{name}.log" for name in self.names}
        texts = {name: log.read_text() if log.exists() else "" for name, log in logs.items()}
        lines = [f"log of {name}: {line}" for name, text in texts.items() for line in text.splitlines()]
        return [line for line in lines if any(word in line for word in words)]

    def check_mixes(self) -> None:
        """Check that a primary of each version has served relays and backups of the other version."""
        for primary_label, other in ((self.old.label, self.new.label), (self.new.label, self.old.label)):
            for role in ("relay", "backup"):
                if not self.pairs[f"{primary_label} primary, {other} {role}"]:
                    self.reasons.append(f"no {primary_label} primary served with a {other} {role}")


async def upgrade_and_back(upgrade: Upgrade, group: asyncio.TaskGroup) -> None:
    """Upgrade one by one and all at the same time, and downgrade in the same ways."""
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
    """Run ``play`` under load until it ends or a wait times out, then kill all processes and conclude."""
    try:
        async with asyncio.TaskGroup() as group:
            try:
                await play(upgrade, group)
            finally:
                upgrade.load.cancel()
                upgrade.lines.cancel()
    except* TimeoutError as timeouts:
        upgrade.reasons += [str(error) or "the tier did not start in time" for error in timeouts.exceptions]
    finally:
        for name in list(upgrade.tier.processes):
            upgrade.tier.kill(name)
    upgrade.conclude()


async def run_until_sigterm(work: Coroutine[None, None, None]) -> None:
    """Run a coroutine; SIGTERM cancels it, which ends all processes."""
    task = asyncio.ensure_future(work)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    await task


def main() -> int:
    """Exit code 1 if a fault was found; the faults are printed and the logs are kept."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("other", type=Path, help="the checkout that is upgraded from")
    parser.add_argument("--seed", type=int, default=None, help="seed of the load and of the order of processes")
    parser.add_argument("--python", default="", help="the interpreter of the other checkout")
    parser.add_argument(
        "--network", type=int, default=None, help="second octet of all addresses; a free one by default"
    )
    parser.add_argument("--controls", type=int, default=CONTROL_COUNT, help="control members; more than 3 are spares")
    options = parser.parse_args()
    seed = SystemRandom().randrange(SEED_LIMIT) if options.seed is None else options.seed
    other = options.other.resolve()
    old = Checkout("old", other, options.python or interpreter_of(other))
    new = Checkout("new", THIS_CHECKOUT, sys.executable)
    folder = Path(tempfile.mkdtemp(prefix="rolling-upgrade-"))
    print(f"seed {seed}", flush=True)
    for checkout in (old, new):
        print(f"{checkout.label}: {checkout.path} at {revision(checkout)}", flush=True)
        if program_folder(checkout, folder / "bytecode") != str(checkout.path):
            print(f"the {checkout.label} version would not be started from its checkout")
            return 1
    network = free_network(Random()) if options.network is None else options.network
    upgrade = Upgrade(UpgradeTier(folder, network, old, options.controls), old, new, Random(seed))
    asyncio.run(run_until_sigterm(run(upgrade, upgrade_and_back)))
    print(report(upgrade))
    if upgrade.reasons:
        print(f"logs and folders: {folder}")
        return 1
    shutil.rmtree(folder)
    print("nothing was lost, executed twice or counted wrongly")
    return 0


if __name__ == "__main__":
    sys.exit(main())
