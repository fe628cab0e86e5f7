"""HTTP responses of the operator's API, and their delivery once the state that they depend on is committed."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

import msgspec

from lynxscale.configuration.finding import Finding
from lynxscale.coordination.member import ControlMember
from lynxscale.coordination.messages import Put
from lynxscale.coordination.outcomes import CommitOutcome
from lynxscale.runtime.http_types import Head, Response
from lynxscale.runtime.responder import Responder

JSON_CONTENT_TYPE = ((b"content-type", b"application/json"),)
RETRY_AFTER = ((b"retry-after", b"0.2"),)  # in seconds
NOT_COMMITTED = "not decided"  # the change may or may not have been committed


def json_response(status: int, value: object) -> Response:
    """Return a response with a JSON body."""
    return Response(status, Head(JSON_CONTENT_TYPE), msgspec.json.encode(value))


def not_found() -> Response:
    """Return the 404 response to a request for an unknown path or method."""
    return json_response(HTTPStatus.NOT_FOUND, {"error": "no such call"})


def invalid_request(findings: tuple[Finding, ...]) -> Response:
    """Return the 400 response to an invalid request, with all findings."""
    listed = [{"place": finding.path, "error": finding.message} for finding in findings]
    return json_response(HTTPStatus.BAD_REQUEST, {"findings": listed})


def service_unavailable(text: str) -> Response:
    """Return the 503 response to a request whose result is unknown, or unavailable now: the caller has to retry."""
    return Response(
        HTTPStatus.SERVICE_UNAVAILABLE, Head((*JSON_CONTENT_TYPE, *RETRY_AFTER)), msgspec.json.encode({"error": text})
    )


class CommittedResponses:
    """Sends responses once the state that they depend on is committed, or 503 if that is uncertain."""

    def __init__(self, member: ControlMember) -> None:
        self._member = member

    def send_after_barrier(self, responder: Responder, response: Response) -> None:
        """Send the response once everything that was submitted earlier is committed."""

        def on_outcome(outcome: CommitOutcome) -> None:
            responder.respond(response if outcome.committed else service_unavailable(NOT_COMMITTED))

        self._member.barrier(on_outcome)

    def send_after_commit(
        self, responder: Responder, puts: tuple[Put, ...], response: Response, on_commit: Callable[[], None]
    ) -> None:
        """Submit the puts; once they are committed, call ``on_commit()`` and send the response."""

        def on_outcome(outcome: CommitOutcome) -> None:
            if outcome.committed:
                on_commit()
            responder.respond(response if outcome.committed else service_unavailable(NOT_COMMITTED))

        self._member.submit(puts, on_outcome)
