"""The states of a forwarded request and the transitions between them.

A request begins QUEUED. A turn is ADMITTING until the primary has replied. A QUEUED request is SENT to an endpoint, and
returns to QUEUED if it may be sent again. Once bytes of a response have been sent to the client it is STREAMING; a
further attempt may then continue the same response. A retained turn is COMMITTING until it is durable, and only then
is its response completed. Every request ends in ENDED, exactly once.
"""

from __future__ import annotations

from enum import Enum


class RequestState(Enum):
    """The state of a request; the module describes each."""

    ADMITTING = "admitting"
    QUEUED = "queued"
    SENT = "sent"
    STREAMING = "streaming"
    COMMITTING = "committing"
    ENDED = "ended"


# ForwardedRequest does not check its transitions against this table, as it is on the hot path; tests do.
TRANSITIONS: dict[RequestState, frozenset[RequestState]] = {
    RequestState.QUEUED: frozenset(
        (RequestState.ADMITTING, RequestState.QUEUED, RequestState.SENT, RequestState.ENDED)
    ),
    RequestState.ADMITTING: frozenset((RequestState.QUEUED, RequestState.ENDED)),
    RequestState.SENT: frozenset(
        (RequestState.QUEUED, RequestState.STREAMING, RequestState.COMMITTING, RequestState.ENDED)
    ),
    RequestState.STREAMING: frozenset((RequestState.COMMITTING, RequestState.ENDED)),
    RequestState.COMMITTING: frozenset((RequestState.ENDED,)),
    RequestState.ENDED: frozenset(),
}
