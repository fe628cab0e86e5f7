"""HTTP responses of the operator's API, and those that are sent once the state that they depend on is committed."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

import msgspec

from lynxscale.controlplane.configuration import Finding
from lynxscale.coordination.member import ControlMember
from lynxscale.coordination.messages import Put
from lynxscale.coordination.outcomes import CommitOutcome
from lynxscale.runtime.http_server import Responder
from lynxscale.runtime.http_types import Head, Response

JSON_CONTENT = ((b"content-type", b"application/json"),)
RETRY_AFTER = ((b"retry-after", b"0.2"),)  # seconds
NOT_COMMITTED = "not decided"  # also where it is unknown whether the change was committed


def json_response(status: int, value: object) -> Response:
    """Return a response with a JSON body."""
    return Response(status, Head(JSON_CONTENT), msgspec.json.encode(value))


def no_such_call() -> Response:
    """Return the response to a request for a path or method that the API does not have."""
    return json_response(HTTPStatus.NOT_FOUND, {"error": "no such call"})


def invalid_request(findings: tuple[Finding, ...]) -> Response:
    """Return the response to a request that can never be accepted as it is: everything that is wrong with it."""
    listed = [{"place": finding.path, "error": finding.message} for finding in findings]
    return json_response(HTTPStatus.BAD_REQUEST, {"findings": listed})


def undecided(text: str) -> Response:
    """Return the response without a definite answer: the caller is to retry."""
    return Response(
        HTTPStatus.SERVICE_UNAVAILABLE, Head((*JSON_CONTENT, *RETRY_AFTER)), msgspec.json.encode({"error": text})
    )


class CommittedResponses:
    """Sends responses once the state that they depend on is committed, and ``undecided`` where that is uncertain."""

    def __init__(self, member: ControlMember) -> None:
        self._member = member

    def send_after_barrier(self, responder: Responder, response: Response) -> None:
        """Send the response once everything that was submitted before is committed."""

        def on_outcome(outcome: CommitOutcome) -> None:
            responder.respond(response if outcome.committed else undecided(NOT_COMMITTED))

        self._member.barrier(on_outcome)

    def send_after_commit(
        self, responder: Responder, puts: tuple[Put, ...], response: Response, on_commit: Callable[[], None]
    ) -> None:
        """Submit the puts; once they are committed, call ``on_commit()`` and send the response."""

        def on_outcome(outcome: CommitOutcome) -> None:
            if outcome.committed:
                on_commit()
            responder.respond(response if outcome.committed else undecided(NOT_COMMITTED))

        self._member.submit(puts, on_outcome)
