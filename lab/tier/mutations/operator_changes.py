"""Mistakes in the operator's orders and in what is published of them."""

from __future__ import annotations

import msgspec

from lab.tier.mutations.detectors import Patches
from lynxscale.controlplane import operator_api
from lynxscale.coordination.messages import TopicUpdate
from lynxscale.coordination.topic_publisher import Publisher
from lynxscale.runtime.http_types import Head, Request


def versions_may_fall() -> Patches:
    """A relay takes any version that it is sent, and a parent sends all it has."""

    def send(self: Publisher, address: str, child, primary: str, epoch: int, age: float) -> None:  # noqa: ANN001
        self._network.send(address, TopicUpdate(self.address, primary, epoch, age, self.versions(), self.topics))

    return [(Publisher, "_is_newer", lambda self, name, topic: True), (Publisher, "_send", send)]


def orders_are_not_remembered() -> Patches:
    """The base version of an order is not looked at."""

    def order(self: operator_api.OperatorApi, kind: operator_api.OrderKind, request, responder) -> None:  # noqa: ANN001
        digest = operator_api.order_digest(kind, "", request.body)
        if kind is operator_api.OrderKind.UPDATE:
            self._take_update(msgspec.json.decode(request.body), digest, responder)
        else:
            self._take(msgspec.json.decode(request.body)["generation"], request.body, digest, responder)

    return [(operator_api.OperatorApi, "_order", order)]


def resend_is_judged_by_its_number() -> Patches:
    """An order whose version is in force counts as taken."""

    def order(self: operator_api.OperatorApi, kind: operator_api.OrderKind, request, responder) -> None:  # noqa: ANN001
        current = self.current()
        if current is not None and msgspec.json.decode(request.body)["generation"] == current.generation:
            self._answer_when_decided(responder, operator_api.json_response(200, {}))
        else:
            original(self, kind, request, responder)

    original = operator_api.OperatorApi._order
    return [(operator_api.OperatorApi, "_order", order)]


def update_goes_by_any_version() -> Patches:
    """An update is applied to whatever is in force."""

    def order(self: operator_api.OperatorApi, kind: operator_api.OrderKind, request, responder) -> None:  # noqa: ANN001
        current = self.current()
        if kind is operator_api.OrderKind.UPDATE and current is not None:
            fields = ((operator_api.BASE_HEADER, b"%d" % current.generation),)
            request = Request(request.method, request.path, Head(fields), request.body)
        original(self, kind, request, responder)

    original = operator_api.OperatorApi._order
    return [(operator_api.OperatorApi, "_order", order)]


def resend_is_refused() -> Patches:
    """An order that was taken is judged by the version in force like any other."""

    def take(self: operator_api.OperatorApi, generation: int, body: bytes, digest: str, responder) -> None:  # noqa: ANN001
        original(self, generation, body, digest + "-", responder)

    original = operator_api.OperatorApi._take
    return [(operator_api.OperatorApi, "_take", take)]


def refusal_rests_on_what_is_undecided() -> Patches:
    """412 and 200 to a resend go out before what they rest on is committed."""

    def at_once(self: operator_api.OperatorApi, responder, response) -> None:  # noqa: ANN001
        responder.respond(response)

    return [(operator_api.OperatorApi, "_answer_when_decided", at_once)]
