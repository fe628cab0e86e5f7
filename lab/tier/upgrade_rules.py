"""Checks of an upgraded tier by the observations of clients and endpoints and by the stored state of members."""

from __future__ import annotations

import base64
import json
from collections import Counter
from dataclasses import dataclass

from lab.tier.fakes import FakeEndpoint
from lab.tier.history_checker import (
    COMPLETE_STREAM,
    MAX_TOKENS,
    STRIDE,
    TURN_OUTPUT,
    HistoryChecker,
    Observations,
    ObservedTurn,
)
from lab.tier.upgrade_load import Conversation, Load

UNCERTAIN_STATUSES = (0, 502, 504)


@dataclass(frozen=True)
class EndpointsOnly:
    """Replaces the tier in a HistoryChecker, which uses only the endpoints here."""

    endpoints: dict[str, FakeEndpoint]


class UpgradeChecker(HistoryChecker):
    """Checks the rules of histories that concern clients and endpoints; the stored state is checked separately."""

    def __init__(self, endpoints: list[FakeEndpoint], load: Load) -> None:
        by_id = {endpoint.endpoint.id: endpoint for endpoint in endpoints}
        super().__init__(EndpointsOnly(by_id), Observations(load.turns, load.calls, load.changes))
        self.load = load

    def check(self) -> None:
        """Check all rules. No request may be in flight."""
        executed = self._executions_by_request()
        self._check_calls(executed)
        self._check_turns(executed)
        self._check_budgets()
        self._check_acknowledged(executed)
        self._check_streams()

    def _check_acknowledged(self, executed: dict) -> None:
        turns = [seen.request_id for seen in self.load.turns if seen.response.status == 200]
        calls = [call.split()[1] for call, response in self.load.calls if response.status == 200]
        self.broken["answered_but_not_run"] += sum(name not in executed for name in turns + calls)

    def _check_streams(self) -> None:
        responses = [response for _, response in self.load.streams if response.status == 200]
        self.broken["stream_differs"] += sum(response.body != COMPLETE_STREAM for response in responses)


def request_violations(endpoints: list[FakeEndpoint], load: Load) -> list[str]:
    """The rules that the observations of clients and endpoints violate, as text."""
    checker = UpgradeChecker(endpoints, load)
    checker.check()
    return [f"rule {name} broken {count} times" for name, count in sorted(checker.broken.items()) if count]


def stored_state_violations(exported: str, load: Load) -> list[str]:
    """How an in-sync member's exported state contradicts the observations, as text. No request may be in flight."""
    stored = {entry["key"]: entry["value"] for entry in map(json.loads, exported.splitlines())}
    violations = [reason for one in load.conversations for reason in _budget_violations(one, stored, load)]
    for conversation in load.conversations:
        for seen in conversation.complete_turns:
            turn = stored.get(f"turn/{seen.request_id}")
            if turn is None:
                violations.append(f"{seen.request_id} was acknowledged and is not stored")
            elif (turn.get("content"), turn.get("previous")) != (_stored_content(seen), seen.previous):
                violations.append(f"{seen.request_id} is stored with other content")
    if stored.get("config/current", {}).get("body") != load.in_force:
        violations.append("the configuration stored is not the one acknowledged last")
    return violations


def _stored_content(seen: ObservedTurn) -> str:
    """The input and output of a turn, encoded as in an export."""
    return base64.b64encode(seen.text + TURN_OUTPUT).decode()


def _budget_violations(conversation: Conversation, stored: dict, load: Load) -> list[str]:
    """Compare charged and delivered tokens. A turn with an uncertain outcome may be charged up to its maximum."""
    attempts = [seen for seen in load.turns if seen.program == conversation.program]
    delivered = sum(seen.response.body.count(b"data:") * STRIDE for seen in attempts)
    uncertain = sum(MAX_TOKENS for seen in attempts if seen.response.status in UNCERTAIN_STATUSES)
    program = stored.get(f"program/{conversation.program}", {"spent": 0, "open": {}})
    if not {"spent", "open"} <= program.keys():
        return [f"{conversation.program} is stored in an unexpected form: {program}"]
    charged = program["spent"] + sum(program["open"].values())
    if conversation.exhausted and not uncertain and delivered + MAX_TOKENS <= conversation.budget:
        return [f"{conversation.program}: rejected with {delivered} of {conversation.budget} tokens spent"]
    if delivered <= charged <= delivered + uncertain:
        return []
    return [
        f"{conversation.program}: clients count {delivered} tokens (and up to {uncertain} uncertain), "
        f"control members count {charged}"
    ]


def failures(load: Load, windows: list[tuple[float, float]]) -> tuple[Counter[str], list[str]]:
    """Count requests that failed within the windows, by kind and status, and list those that failed outside them."""
    within: Counter[str] = Counter()
    outside = []
    for request in load.sent:
        if not request.failed:
            continue
        if any(request.started_at <= end and request.ended_at >= begin for begin, end in windows):
            within[f"{request.kind} {request.status}"] += 1
        else:
            outside.append(
                f"{request.kind} {request.request_id} at {request.process} failed outside all windows: {request.status}"
            )
    return within, outside
