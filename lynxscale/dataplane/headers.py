"""Header fields of the wire, in lower case."""

from __future__ import annotations

from lynxscale.runtime.http_types import Head, Headers, Request, Response

REQUEST_ID = b"lynxscale-request-id"
DEADLINE = b"lynxscale-deadline-ms"
EXPECT_INSTANCE = b"lynxscale-expect-instance"
SIGNATURE = b"lynxscale-response-signature"
NOT_EXECUTED = b"lynxscale-not-executed"
SERVER_LOAD = b"lynxscale-server-load"
TOKEN_COUNT = b"lynxscale-token-count"
PROMPT_PREFIX = b"lynxscale-prompt-prefix"
LAST_EVENT_ID = b"last-event-id"
PROGRAM = b"program"
SESSION = b"session"
BUDGET = b"budget"
PREVIOUS = b"previous"
PRIORITY = b"priority"
RETRY_AFTER = b"retry-after"
CONTENT_LENGTH = b"content-length"

REPLACED = frozenset((DEADLINE, EXPECT_INSTANCE, LAST_EVENT_ID, PRIORITY, CONTENT_LENGTH))


def upstream_fields(
    request: Request, left_ms: float, instance: str, priority: int, last_event_id: bytes | None
) -> Headers:
    """The fields for one try at an endpoint."""
    fields = [entry for entry in request.head.end_to_end() if entry[0] not in REPLACED]
    fields.append((DEADLINE, b"%d" % max(1, int(left_ms))))
    fields.append((EXPECT_INSTANCE, instance.encode()))
    fields.append((PRIORITY, b"%d" % min(9, max(0, priority))))
    resume = request.head.get(LAST_EVENT_ID) if last_event_id is None else last_event_id
    if resume is not None:
        fields.append((LAST_EVENT_ID, resume))
    return tuple(fields)


def affinity_key(head: Head) -> str:
    """What a request's prompt shares with others: its program's, else the first part of its prompt."""
    return head.text(PROGRAM) or head.text(PROMPT_PREFIX).partition(":")[0]


def most_tokens(head: Head) -> int:
    """The most that a turn generates: the second number of the token count."""
    _, _, most = head.text(TOKEN_COUNT).partition(",")
    return int(most) if most.strip().isdigit() else 0


def prompt_tokens(head: Head) -> int:
    """Tokens of the prompt: the first number of the token count."""
    prompt, _, _ = head.text(TOKEN_COUNT).partition(",")
    return int(prompt) if prompt.strip().isdigit() else 0


def server_load(head: Head) -> tuple[int, int] | None:
    """Requests running and waiting, by the endpoint's own word."""
    words = head.text(SERVER_LOAD).split(",")
    if len(words) < 2 or not all(word.strip().isdigit() for word in words[:2]):
        return None
    return int(words[0]), int(words[1])


def own_answer(status: int, retry_after_s: float | None = None) -> Response:
    """An answer of the relay's own, without a body."""
    fields = () if retry_after_s is None else ((RETRY_AFTER, b"%.3f" % retry_after_s),)
    return Response(status, Head(fields))
