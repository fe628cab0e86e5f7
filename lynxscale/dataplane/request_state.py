"""The states of a forwarded request, and which may follow which.

A request begins QUEUED. Where it is a turn it is ADMITTING until the primary has replied. From QUEUED it is SENT to an
endpoint, and returns there when the attempt may be followed by another one. Once bytes of a response have gone to the
client it is STREAMING; attempts may still follow each other then, within the one response. A retained turn is
COMMITTING until it is durable, as its last byte waits for that. Every request comes to ENDED, once.
"""

from __future__ import annotations

from enum import Enum


class RequestState(Enum):
    """What a request is doing."""

    ADMITTING = "admitting"
    QUEUED = "queued"
    SENT = "sent"
    STREAMING = "streaming"
    COMMITTING = "committing"
    ENDED = "ended"


# ForwardedRequest does not check itself by this table, as it is on the hot path; tests check that every change is here.
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
