"""What must hold when processes of a tier were replaced: judged by clients, endpoints and the members' stored state."""

from __future__ import annotations

import base64
import json
from collections import Counter
from dataclasses import dataclass

from lab.tier.fakes import FakeEndpoint
from lab.tier.history_checker import MAX_TOKENS, OUTPUT, STRIDE, WHOLE, HistoryChecker, Observations, ObservedTurn
from lab.tier.upgrade_load import Conversation, Load

MAY_HAVE_RUN = (0, 502, 504)


@dataclass(frozen=True)
class Endpoints:
    """All that the rules of histories need of a tier of processes."""

    endpoints: dict[str, FakeEndpoint]


class UpgradeChecker(HistoryChecker):
    """The rules of histories on what clients and endpoints saw; the members' state is judged by their folders."""

    def __init__(self, endpoints: list[FakeEndpoint], load: Load) -> None:
        by_id = {one.endpoint.id: one for one in endpoints}
        super().__init__(Endpoints(by_id), Observations(load.turns, load.calls, load.orders))
        self.load = load

    def check(self) -> None:
        """Count every breach, while nothing is under way."""
        executed = self._executed()
        self._check_calls(executed)
        self._check_turns(executed)
        self._check_budgets()
        self._check_acknowledged(executed)
        self._check_streams()

    def _check_acknowledged(self, executed: dict) -> None:
        turns = [seen.request_id for seen in self.load.turns if seen.answer.status == 200]
        calls = [what.split()[1] for what, answer in self.load.calls if answer.status == 200]
        self.broken["answered_but_not_run"] += sum(name not in executed for name in turns + calls)

    def _check_streams(self) -> None:
        answers = [answer for _, answer in self.load.streams if answer.status == 200]
        self.broken["stream_differs"] += sum(answer.body != WHOLE for answer in answers)


def judge_requests(endpoints: list[FakeEndpoint], load: Load) -> list[str]:
    """Reasons why what clients and endpoints saw is wrong."""
    rules = UpgradeChecker(endpoints, load)
    rules.check()
    return [f"rule {name} broken {count} times" for name, count in sorted(rules.broken.items()) if count]


def judge_stored(exported: str, load: Load) -> list[str]:
    """Reasons why the exported state of a copy that counts is wrong, while nothing is under way."""
    stored = {entry["key"]: entry["value"] for entry in map(json.loads, exported.splitlines())}
    found = [reason for one in load.conversations for reason in _budget_findings(one, stored, load)]
    for conversation in load.conversations:
        for seen in conversation.whole:
            turn = stored.get(f"turn/{seen.request_id}")
            if turn is None:
                found.append(f"{seen.request_id} was acknowledged and is not stored")
            elif (turn.get("content"), turn.get("previous")) != (_stored_content(seen), seen.previous):
                found.append(f"{seen.request_id} is stored with other content")
    if stored.get("config/current", {}).get("body") != load.in_force:
        found.append("the configuration stored is not the one acknowledged last")
    return found


def _stored_content(seen: ObservedTurn) -> str:
    """A turn's input and output, as they stand in an export."""
    return base64.b64encode(seen.text + OUTPUT).decode()


def _budget_findings(conversation: Conversation, stored: dict, load: Load) -> list[str]:
    """Does the control side count what the client does? A turn without a clear end may count for up to its most."""
    tried = [seen for seen in load.turns if seen.program == conversation.program]
    counted = sum(seen.answer.body.count(b"data:") * STRIDE for seen in tried)
    unclear = sum(MAX_TOKENS for seen in tried if seen.answer.status in MAY_HAVE_RUN)
    program = stored.get(f"program/{conversation.program}", {"spent": 0, "open": {}})
    if not {"spent", "open"} <= program.keys():
        return [f"{conversation.program} is stored in another form: {program}"]
    told = program["spent"] + sum(program["open"].values())
    if conversation.exhausted and not unclear and counted + MAX_TOKENS <= conversation.budget:
        return [f"{conversation.program}: refused with {counted} of {conversation.budget} tokens spent"]
    if counted <= told <= counted + unclear:
        return []
    return [f"{conversation.program}: clients count {counted} tokens (and up to {unclear} unclear), control {told}"]


def failures(load: Load, windows: list[tuple[float, float]]) -> tuple[Counter[str], list[str]]:
    """Requests that failed within the windows, by kind and status, and those that failed outside of all."""
    within: Counter[str] = Counter()
    outside = []
    for one in load.sent:
        if not one.failed:
            continue
        if any(one.begun <= end and one.ended >= begin for begin, end in windows):
            within[f"{one.kind} {one.status}"] += 1
        else:
            outside.append(f"{one.kind} {one.request_id} at {one.process} failed outside all windows: {one.status}")
    return within, outside
