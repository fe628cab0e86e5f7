"""The report on an upgrade: its steps, what was served in each mix of versions, and all faults."""

from __future__ import annotations

import time
from collections import Counter
from typing import TYPE_CHECKING

from lab.tier.upgrade_rules import failures

if TYPE_CHECKING:
    from lab.tier.rolling_upgrade import Upgrade

MAX_PRINTED_REASONS = 20


def report(upgrade: Upgrade) -> str:
    """A table of the steps and their mixes of versions, followed by counts and all faults."""
    lines = [f"{'step':20} {'window':>8} {'failed':>7} {'served':>7}  {'primary':8} {'backups':8} relays"]
    for step in upgrade.steps:
        window = [(step.begin, step.end or time.monotonic())]
        failed = failures(upgrade.load, window)[0].total()
        length = f"{window[0][1] - window[0][0]:.1f} s"
        lines.append(f"{step.description:20} {length:>8} {failed:>7} {step.served.total():>7}  {step.version_mix}")
    lines += [f"turns with {pair}: {count}" for pair, count in sorted(upgrade.pairs.items())]
    within, outside = failures(upgrade.load, upgrade.excused_windows)
    kinds = Counter(request.kind for request in upgrade.load.sent)
    lines.append("requests: " + ", ".join(f"{kind} {count}" for kind, count in sorted(kinds.items())))
    failed_by_kind = ", ".join(f"{failure}: {count}" for failure, count in sorted(within.items()))
    lines.append(f"failed within windows: {within.total()}" + (f" ({failed_by_kind})" if failed_by_kind else ""))
    lines.append(f"failed outside windows: {len(outside)}")
    lines.append(f"turns on a resumable route: {upgrade.lines.turns}")
    lines.append(f"stalls of the machine: {len(upgrade.load.stalls)}")
    lines.append(
        f"conversations: {len(upgrade.load.conversations)}, configuration changes: {len(upgrade.load.changes) - 1}"
    )
    lines.append(
        f"configuration changes sent again as undecided: {sum(request.undecided for request in upgrade.load.sent)}"
    )
    lines.append(f"changes of primary that no step explains: {len(upgrade.unexplained_changes())}")
    lines += [f"WRONG: {reason}" for reason in upgrade.reasons[:MAX_PRINTED_REASONS]]
    if len(upgrade.reasons) > MAX_PRINTED_REASONS:
        lines.append(f"WRONG: and {len(upgrade.reasons) - MAX_PRINTED_REASONS} more")
    return "\n".join(lines)
