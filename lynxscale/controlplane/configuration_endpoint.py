"""The configuration in force, and the operator's requests that read, replace or update it.

A change names its base version and creates a later version. A repeated request is acknowledged again, even by another
primary and after later changes; see ``lynxscale.controlplane.idempotency``.
"""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

import msgspec
from returns.result import Failure, Result, Success

from lynxscale.configuration.finding import Finding, Findings
from lynxscale.controlplane.configuration import Configuration
from lynxscale.controlplane.configuration_check import check_configuration
from lynxscale.controlplane.configuration_update import (
    EMPTY_CONFIGURATION,
    ConfigurationUpdate,
    apply_update,
    check_update,
    decode_acknowledged,
)
from lynxscale.controlplane.http_responses import (
    JSON_CONTENT_TYPE,
    CommittedResponses,
    invalid_request,
    json_response,
    service_unavailable,
)
from lynxscale.controlplane.idempotency import ChangeKind, IdempotencyRecords, idempotency_key
from lynxscale.controlplane.newest_configuration import (
    CURRENT_KEY,
    CurrentConfiguration,
    NewestConfiguration,
    stored_configuration,
)
from lynxscale.coordination.member import ControlMember
from lynxscale.coordination.messages import put_value
from lynxscale.coordination.outcomes import CommitOutcome
from lynxscale.runtime.http_server import Responder
from lynxscale.runtime.http_types import Head, Request, Response

BASE_HEADER = b"lynxscale-base-version"


class ConfigurationEndpoint:
    """Handles the operator's requests on the configuration; used by the primary only."""

    def __init__(
        self, member: ControlMember, responses: CommittedResponses, on_commit: Callable[[CurrentConfiguration], None]
    ) -> None:
        """``on_commit(configuration)`` is called once a new configuration is committed."""
        self._member = member
        self._responses = responses
        self._on_commit = on_commit
        self._records = IdempotencyRecords(member)

    def current(self) -> CurrentConfiguration | None:
        """Return the newest configuration in this member's store, committed or not; None if there is none yet."""
        return NewestConfiguration(self._member.store.values).get()

    def read(self, responder: Responder) -> None:
        """Send the configuration that is the newest now, once it is known to be committed.

        A change that is submitted in the meantime is not sent, as it may never be committed.
        """
        newest = self.current()
        self._member.barrier(lambda outcome: responder.respond(read_response(newest, outcome)))

    def change(self, kind: ChangeKind, request: Request, responder: Responder) -> None:
        """Replace or update the configuration; respond once the change is committed or rejected."""
        base = request.head.text(BASE_HEADER, "0").strip()
        key = idempotency_key(kind, base, request.body)
        if self._records.contains(key):
            self._responses.send_after_barrier(responder, json_response(HTTPStatus.OK, {"state": "taken before"}))
            return
        if kind is ChangeKind.REPLACE:
            self._replace(base, key, request.body, responder)
        else:
            self._update(base, key, request.body, responder)

    def _replace(self, base: str, key: str, body: bytes, responder: Responder) -> None:
        checked = check_configuration(body)
        if isinstance(checked, Failure):
            responder.respond(invalid_request(checked.failure()))
            return
        generation = int(checked.unwrap()["generation"])
        if not self._rejects_version(base, generation, responder):
            self._commit(generation, body, key, responder)

    def _update(self, base: str, key: str, body: bytes, responder: Responder) -> None:
        checked = check_update(body)
        if isinstance(checked, Failure):
            responder.respond(invalid_request(checked.failure()))
            return
        update = checked.unwrap()
        if not self._rejects_version(base, int(update["generation"]), responder):
            self._commit_update(update, key, responder)

    def _rejects_version(self, base: str, generation: int, responder: Responder) -> bool:
        """Reject a change unless its base version is in force and its new version later; return whether it was."""
        rejection = self._version_rejection(base, generation)
        if rejection is not None:
            self._responses.send_after_barrier(responder, rejection)
        return rejection is not None

    def _version_rejection(self, base: str, generation: int) -> Response | None:
        current = self.current()
        in_force = current.generation if current else 0
        if base != str(in_force) and self._records.may_be_evicted(base):
            return service_unavailable("orders on so old a version are remembered no longer")
        if base != str(in_force):
            return json_response(HTTPStatus.PRECONDITION_FAILED, {"error": f"version {in_force} is current"})
        if generation <= in_force:
            return invalid_request((Finding("generation", f"want a version above {in_force}"),))
        return None

    def _commit_update(self, update: ConfigurationUpdate, key: str, responder: Responder) -> None:
        updated = self._updated(update)
        if isinstance(updated, Failure):
            # The findings may rest on a configuration that is not committed yet.
            self._responses.send_after_barrier(responder, invalid_request(updated.failure()))
            return
        self._commit(int(update["generation"]), msgspec.json.encode(updated.unwrap()), key, responder)

    def _updated(self, update: ConfigurationUpdate) -> Result[Configuration, Findings]:
        current = self.current()
        in_force = Success(EMPTY_CONFIGURATION) if current is None else decode_acknowledged(current)
        return in_force.bind(lambda configuration: apply_update(configuration, update))

    def _commit(self, generation: int, body: bytes, key: str, responder: Responder) -> None:
        value = stored_configuration(generation, body)
        puts = (put_value(CURRENT_KEY, value), *self._records.add(key, generation))
        response = json_response(HTTPStatus.OK, {"generation": generation})
        self._responses.send_after_commit(responder, puts, response, lambda: self._on_commit(value))


def read_response(configuration: CurrentConfiguration | None, outcome: CommitOutcome) -> Response:
    """Return the response to a read; ``outcome`` is that of everything submitted before the read."""
    if not outcome.committed or configuration is None:
        return service_unavailable("no configuration yet")
    return Response(HTTPStatus.OK, Head(JSON_CONTENT_TYPE), configuration.as_written)
