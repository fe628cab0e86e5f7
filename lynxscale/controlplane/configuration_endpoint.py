"""The configuration in force, and the operator's requests that read, replace or update it.

A change names its base version and creates a later version. A repeated request is acknowledged again, even by another
primary and after later changes; see ``lynxscale.controlplane.idempotency``.

A large change is checked and encoded by a ``Worker``, as the primary would renew no lease meanwhile. What the commit
relies on is looked at afterwards: other requests may have changed the configuration while the worker was busy.
"""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

import msgspec
from attrs import frozen
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
from lynxscale.coordination.ports import Worker
from lynxscale.runtime.http_types import Head, Request, Response
from lynxscale.runtime.responder import Responder

BASE_HEADER = b"lynxscale-base-version"
TAKEN_BEFORE = {"state": "taken before"}
MAX_IMMEDIATE_BYTES = 256 * 1024  # larger configurations would take too much of the lease


@frozen
class PreparedChange:
    """A change that has been checked and encoded. ``base``: its base version; ``key`` identifies the request."""

    base: str
    key: str
    value: CurrentConfiguration


Prepared = Result[PreparedChange, Findings]


class ConfigurationEndpoint:
    """Handles the operator's requests on the configuration; used by the primary only."""

    def __init__(
        self,
        member: ControlMember,
        responses: CommittedResponses,
        on_commit: Callable[[CurrentConfiguration], None],
        worker: Worker,
    ) -> None:
        """``on_commit(configuration)`` is called once a new configuration is committed."""
        self._member = member
        self._worker = worker
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
            self._responses.send_after_barrier(responder, json_response(HTTPStatus.OK, TAKEN_BEFORE))
            return
        if kind is ChangeKind.REPLACE:
            self._replace(base, key, request.body, responder)
        else:
            self._update(base, key, request.body, responder)

    def _replace(self, base: str, key: str, body: bytes, responder: Responder) -> None:
        def on_prepared(prepared: Prepared) -> None:
            if isinstance(prepared, Failure):
                responder.respond(invalid_request(prepared.failure()))
            else:
                self._commit(prepared.unwrap(), responder)

        self._prepare(len(body), lambda: prepare_replacement(base, key, body), on_prepared)

    def _update(self, base: str, key: str, body: bytes, responder: Responder) -> None:
        checked = check_update(body)
        if isinstance(checked, Failure):
            responder.respond(invalid_request(checked.failure()))
            return
        update, current = checked.unwrap(), self.current()
        if self._rejects_version(base, int(update["generation"]), responder):
            return

        def on_prepared(prepared: Prepared) -> None:
            if isinstance(prepared, Failure):
                # The findings may rest on a configuration that is not committed yet.
                self._responses.send_after_barrier(responder, invalid_request(prepared.failure()))
            else:
                self._commit(prepared.unwrap(), responder)

        size = len(body) + (len(current.as_written) if current else 0)
        self._prepare(size, lambda: prepare_update(base, key, update, current), on_prepared)

    def _prepare(self, size: int, prepare: Callable[[], Prepared], on_prepared: Callable[[Prepared], None]) -> None:
        """Prepare a change, whose configuration has some ``size`` in bytes, here or by the worker."""
        if size <= MAX_IMMEDIATE_BYTES:
            on_prepared(prepare())
        else:
            self._worker.run(prepare, on_prepared)

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

    def _commit(self, change: PreparedChange, responder: Responder) -> None:
        """Commit a change unless the same request, or another one on its base version, has been taken meanwhile."""
        if self._records.contains(change.key):
            self._responses.send_after_barrier(responder, json_response(HTTPStatus.OK, TAKEN_BEFORE))
        elif not self._rejects_version(change.base, change.value.generation, responder):
            self._submit(change, responder)

    def _submit(self, change: PreparedChange, responder: Responder) -> None:
        generation = change.value.generation
        puts = (put_value(CURRENT_KEY, change.value), *self._records.add(change.key, generation))
        response = json_response(HTTPStatus.OK, {"generation": generation})
        self._responses.send_after_commit(responder, puts, response, lambda: self._on_commit(change.value))


def prepare_replacement(base: str, key: str, body: bytes) -> Prepared:
    """Check and encode the configuration in a request's body."""
    return check_configuration(body).map(
        lambda configuration: PreparedChange(base, key, stored_configuration(int(configuration["generation"]), body))
    )


def prepare_update(base: str, key: str, update: ConfigurationUpdate, current: CurrentConfiguration | None) -> Prepared:
    """Apply an update to the configuration in force, and check and encode the result."""
    in_force: Result[Configuration, Findings] = (
        Success(EMPTY_CONFIGURATION) if current is None else decode_acknowledged(current)
    )
    updated = in_force.bind(lambda configuration: apply_update(configuration, update))
    generation = int(update["generation"])
    return updated.map(
        lambda result: PreparedChange(base, key, stored_configuration(generation, msgspec.json.encode(result)))
    )


def read_response(configuration: CurrentConfiguration | None, outcome: CommitOutcome) -> Response:
    """Return the response to a read; ``outcome`` is that of everything submitted before the read."""
    if not outcome.committed or configuration is None:
        return service_unavailable("no configuration yet")
    return Response(HTTPStatus.OK, Head(JSON_CONTENT_TYPE), configuration.as_written)
