"""Header fields between clients, relays and endpoints: their names, in lower case, and what is read from them.

Source: the headers that the operators' pages define for the serving tier; ``docs/design/serving-tier.md`` and
``docs/design/control-safety.md`` give the rule that each serves. ``Last-Event-ID`` is from WHATWG HTML, section 9.2;
``Retry-After`` and ``Content-Length`` are from RFC 9110.
"""

from __future__ import annotations

from lynxscale.runtime.http_types import Head, Headers, Request

REQUEST_ID = b"lynxscale-request-id"
DEADLINE_MS = b"lynxscale-deadline-ms"  # remaining time, as a duration
EXPECT_INSTANCE = b"lynxscale-expect-instance"  # an endpoint with another id answers 421 and executes nothing
RESPONSE_SIGNATURE = b"lynxscale-response-signature"
NOT_EXECUTED = b"lynxscale-not-executed"
SERVER_LOAD = b"lynxscale-server-load"  # "running,waiting"
TOKEN_COUNT = b"lynxscale-token-count"  # "tokens of the prompt,most tokens of the output"
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


def upstream_fields(
    request: Request, remaining_ms: float, instance: str, priority: int, last_event_id: bytes | None
) -> Headers:
    """The fields of one attempt at an endpoint.

    ``instance`` is the id of the endpoint that is expected at the address. ``last_event_id`` is the last event already
    forwarded to the client; None leaves the client's own field as it is.
    """
    fields = [field for field in request.head.end_to_end() if field[0] not in REPLACED_UPSTREAM]
    fields.append((DEADLINE_MS, b"%d" % max(MIN_DEADLINE_MS, int(remaining_ms))))
    fields.append((EXPECT_INSTANCE, instance.encode()))
    fields.append((PRIORITY, b"%d" % min(MAX_PRIORITY, max(MIN_PRIORITY, priority))))
    resume_after = request.head.get(LAST_EVENT_ID) if last_event_id is None else last_event_id
    if resume_after is not None:
        fields.append((LAST_EVENT_ID, resume_after))
    return tuple(fields)


def affinity_key(head: Head) -> str:
    """What a request's prompt shares with others: the program's name, else the first block of the prompt."""
    return head.text(PROGRAM) or head.text(PROMPT_PREFIX).partition(":")[0]


def prompt_tokens(head: Head) -> int:
    """Tokens of the prompt, 0 where the request does not state them."""
    prompt, _, _ = head.text(TOKEN_COUNT).partition(",")
    return int(prompt) if prompt.strip().isdigit() else 0


def max_output_tokens(head: Head) -> int:
    """The most tokens that the request may generate, 0 where it does not state them."""
    _, _, most = head.text(TOKEN_COUNT).partition(",")
    return int(most) if most.strip().isdigit() else 0


def server_load(head: Head) -> int | None:
    """Requests running and waiting at the endpoint as it reports them, None without a valid report."""
    counts = head.text(SERVER_LOAD).split(",")
    if len(counts) < 2 or not all(count.strip().isdigit() for count in counts[:2]):
        return None
    return int(counts[0]) + int(counts[1])
