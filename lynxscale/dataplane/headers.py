"""Header fields between clients, relays and endpoints: their names, in lower case, and functions that parse them.

The operators' documentation defines the fields of the serving tier; ``docs/design/serving-tier.md`` and
``docs/design/control-safety.md`` explain the purpose of each. ``Last-Event-ID`` is defined in WHATWG HTML, section 9.2;
``Retry-After`` and ``Content-Length`` are defined in RFC 9110.
"""

from __future__ import annotations

import attrs

from lynxscale.runtime.http_types import Head, Headers, Request

REQUEST_ID = b"lynxscale-request-id"
DEADLINE_MS = b"lynxscale-deadline-ms"  # the time that remains, not a point in time
EXPECT_INSTANCE = b"lynxscale-expect-instance"  # an endpoint with another id answers 421 and executes nothing
RESPONSE_SIGNATURE = b"lynxscale-response-signature"
NOT_EXECUTED = b"lynxscale-not-executed"
SERVER_LOAD = b"lynxscale-server-load"  # "running,waiting"
TOKEN_COUNT = b"lynxscale-token-count"  # "prompt tokens,maximum output tokens"
PROMPT_PREFIX = b"lynxscale-prompt-prefix"  # hashes of the prompt's leading blocks, separated by colons
LAST_EVENT_ID = b"last-event-id"
PROGRAM = b"program"
SESSION = b"session"
BUDGET = b"budget"
PREVIOUS_TURN = b"previous"
PRIORITY = b"priority"
RETRY_AFTER = b"retry-after"
CONTENT_LENGTH = b"content-length"

REPLACED_UPSTREAM = frozenset((DEADLINE_MS, EXPECT_INSTANCE, LAST_EVENT_ID, PRIORITY, CONTENT_LENGTH))
MIN_PRIORITY, MAX_PRIORITY = 0, 9
MIN_DEADLINE_MS = 1
MAX_BUDGET_TOKENS = 2**53  # the greatest number up to which every whole number is a float


def upstream_fields(
    request: Request, remaining_ms: float, instance: str, priority: int, last_event_id: bytes | None
) -> Headers:
    """Return the header fields of one attempt at an endpoint.

    ``instance`` is the id of the endpoint that is expected at the address. ``last_event_id`` is the last event already
    forwarded to the client; if it is None, the client's own ``Last-Event-ID`` is forwarded.
    """
    fields = [field for field in request.head.end_to_end() if field[0] not in REPLACED_UPSTREAM]
    fields.append((DEADLINE_MS, b"%d" % max(MIN_DEADLINE_MS, int(remaining_ms))))
    fields.append((EXPECT_INSTANCE, instance.encode()))
    fields.append((PRIORITY, b"%d" % min(MAX_PRIORITY, max(MIN_PRIORITY, priority))))
    resume_after = request.head.get(LAST_EVENT_ID) if last_event_id is None else last_event_id
    if resume_after is not None:
        fields.append((LAST_EVENT_ID, resume_after))
    return tuple(fields)


def after_wait(request: Request, waited_s: float) -> Request:
    """Return the request as it is after it has waited: its deadline, if it states one, is that much nearer."""
    deadline_ms = request.head.number(DEADLINE_MS)
    if deadline_ms is None:
        return request
    remaining = b"%d" % max(MIN_DEADLINE_MS, int(deadline_ms - 1000.0 * waited_s))
    fields = [(name, remaining if name == DEADLINE_MS else value) for name, value in request.head.fields]
    return attrs.evolve(request, head=Head(tuple(fields)))


def affinity_key(head: Head) -> str:
    """Return the key of requests with a common prompt prefix: their program, or the hash of the first prompt block."""
    return head.text(PROGRAM) or head.text(PROMPT_PREFIX).partition(":")[0]


def prompt_tokens(head: Head) -> int:
    """Return the number of prompt tokens, 0 if the request does not state it."""
    prompt, _, _ = head.text(TOKEN_COUNT).partition(",")
    return int(prompt) if prompt.strip().isdecimal() else 0


def max_output_tokens(head: Head) -> int:
    """Return the maximum number of output tokens, 0 if the request does not state it."""
    _, _, max_output = head.text(TOKEN_COUNT).partition(",")
    return int(max_output) if max_output.strip().isdecimal() else 0


def has_invalid_budget(head: Head) -> bool:
    """Return whether a request has a budget that is no number, so that nothing tells how much it may generate."""
    return head.get(BUDGET) is not None and head.number(BUDGET) is None


def budget_tokens(head: Head) -> int | None:
    """Return the budget of a request's program in tokens, 0 for a negative one, None if the request has no budget."""
    budget = head.number(BUDGET)
    return None if budget is None else int(min(max(budget, 0.0), MAX_BUDGET_TOKENS))


def server_load(head: Head) -> int | None:
    """Return the sum of running and waiting requests that the endpoint reports, None without a valid report."""
    counts = head.text(SERVER_LOAD).split(",")
    if len(counts) < 2 or not all(count.strip().isdecimal() for count in counts[:2]):
        return None
    return int(counts[0]) + int(counts[1])
