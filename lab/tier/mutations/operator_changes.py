"""Mutations of the operator's configuration changes and of their distribution."""

from __future__ import annotations

import attrs
import msgspec

from lab.tier.mutations.detectors import Patches
from lynxscale.controlplane.configuration_endpoint import (
    BASE_HEADER,
    ConfigurationEndpoint,
    PreparedChange,
    prepare_replacement,
    prepare_update,
    read_response,
)
from lynxscale.controlplane.http_responses import CommittedResponses, json_response
from lynxscale.controlplane.idempotency import ChangeKind, idempotency_key
from lynxscale.coordination.messages import TopicUpdate
from lynxscale.coordination.outcomes import CommitOutcome
from lynxscale.coordination.topic_publisher import Publisher
from lynxscale.runtime.http_types import Head, Request
from lynxscale.runtime.responder import Responder


def versions_may_decrease() -> Patches:
    """A parent sends all its topics, and a relay accepts any version."""

    def send(self: Publisher, address: str, child, primary: str, epoch: int, age: float) -> None:  # noqa: ANN001
        update = TopicUpdate(self.address, primary, epoch, age, self.versions(), self.topics, child.request_sent_at)
        self._network.send(address, update)

    return [(Publisher, "_is_newer", lambda self, name, topic: True), (Publisher, "_send", send)]


def base_versions_are_ignored() -> Patches:
    """The base version of a change is not checked."""

    def change(self: ConfigurationEndpoint, kind: ChangeKind, request, responder) -> None:  # noqa: ANN001
        key = idempotency_key(kind, "", request.body)
        if kind is ChangeKind.UPDATE:
            prepared = prepare_update("", key, msgspec.json.decode(request.body), self.current())
        else:
            prepared = prepare_replacement("", key, request.body)
        self._submit(prepared.unwrap(), responder)

    return [(ConfigurationEndpoint, "change", change)]


def retry_is_judged_by_its_generation() -> Patches:
    """Any change to the version in force counts as a retry of the change that made that version."""

    def change(self: ConfigurationEndpoint, kind: ChangeKind, request, responder) -> None:  # noqa: ANN001
        current = self.current()
        if current is not None and msgspec.json.decode(request.body)["generation"] == current.generation:
            self._responses.send_after_barrier(responder, json_response(200, {}))
        else:
            original(self, kind, request, responder)

    original = ConfigurationEndpoint.change
    return [(ConfigurationEndpoint, "change", change)]


def update_ignores_its_base_version() -> Patches:
    """An update is applied to the configuration in force, whatever its base version."""

    def change(self: ConfigurationEndpoint, kind: ChangeKind, request, responder) -> None:  # noqa: ANN001
        current = self.current()
        if kind is ChangeKind.UPDATE and current is not None:
            fields = ((BASE_HEADER, b"%d" % current.generation),)
            request = Request(request.method, request.path, Head(fields), request.body)
        original(self, kind, request, responder)

    original = ConfigurationEndpoint.change
    return [(ConfigurationEndpoint, "change", change)]


def retry_is_rejected() -> Patches:
    """A retry of a committed change is checked against the version in force, like a new change."""

    def submit(self: ConfigurationEndpoint, change: PreparedChange, responder: Responder) -> None:
        original(self, attrs.evolve(change, key=change.key + "-"), responder)

    original = ConfigurationEndpoint._submit
    return [(ConfigurationEndpoint, "_submit", submit)]


def rejection_precedes_the_commit() -> Patches:
    """Responses 412, and 200 to a retry, are sent before the state that they depend on is committed."""

    def at_once(self: CommittedResponses, responder, response) -> None:  # noqa: ANN001
        responder.respond(response)

    return [(CommittedResponses, "send_after_barrier", at_once)]


def read_is_answered_at_once() -> Patches:
    """A read returns the newest state in memory, even if it is not committed."""

    def read(self: ConfigurationEndpoint, responder: Responder) -> None:
        responder.respond(read_response(self.current(), CommitOutcome.COMMITTED))

    return [(ConfigurationEndpoint, "read", read)]


def read_shows_what_came_while_it_waited() -> Patches:
    """A read waits for the writes before it, but also returns later ones (a fault found by code review)."""

    def read(self: ConfigurationEndpoint, responder: Responder) -> None:
        self._member.barrier(lambda outcome: responder.respond(read_response(self.current(), outcome)))

    return [(ConfigurationEndpoint, "read", read)]
