"""Retirement of machines: the operator's requests to evacuate a machine before its removal."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

from lynxscale.controlplane.http_responses import CommittedResponses, json_response, service_unavailable
from lynxscale.coordination.leadership import Leadership
from lynxscale.coordination.member import ControlMember
from lynxscale.coordination.messages import put_value
from lynxscale.coordination.outcomes import CommitOutcome
from lynxscale.runtime.http_types import Response
from lynxscale.runtime.responder import Responder

RETIREMENT_PREFIX = "retire/"


class RetirementEndpoint:
    """Handles requests on the retirement of machines, which are identified by node name."""

    def __init__(self, member: ControlMember, responses: CommittedResponses, on_commit: Callable[[], None]) -> None:
        """``on_commit()`` is called once a retirement is committed."""
        self._member = member
        self._responses = responses
        self._on_commit = on_commit

    def retiring_nodes(self) -> frozenset[str]:
        """Return the machines that are being evacuated, or have been."""
        prefix = len(RETIREMENT_PREFIX)
        return frozenset(key[prefix:] for key in self._member.store.values if key.startswith(RETIREMENT_PREFIX))

    def start(self, node: str, responder: Responder) -> None:
        """Retire a machine if enough live ones remain.

        The response is 404 or 409 only if the machine is certainly unknown or needed, otherwise 503.
        """
        running = json_response(HTTPStatus.OK, {"state": "running"})
        if self._is_retiring(node):
            self._responses.send_after_barrier(responder, running)
        elif self._enough_remain_live(node) and self._is_known(node):
            puts = (put_value(RETIREMENT_PREFIX + node, {}),)
            self._responses.send_after_commit(responder, puts, running, self._on_commit)
        else:
            self._responses.send_after_barrier(responder, self._rejection(node))

    def read(self, node: str, responder: Responder) -> None:
        """Send the progress of a machine's evacuation: ``running`` or ``done``."""
        self._member.barrier(lambda outcome: responder.respond(self._progress(node, outcome)))

    @property
    def _leadership(self) -> Leadership:
        leadership = self._member.leadership
        assert leadership is not None, "only the primary handles retirements"
        return leadership

    def _is_retiring(self, node: str) -> bool:
        return RETIREMENT_PREFIX + node in self._member.store.values

    def _enough_remain_live(self, node: str) -> bool:
        live = self._leadership.live_nodes()
        return len(live - {node}) >= self._member.min_members

    def _is_known(self, node: str) -> bool:
        return node in self._leadership.live_nodes() or node in (self._leadership.possibly_live_nodes() or ())

    def _rejection(self, node: str) -> Response:
        possible = self._leadership.possibly_live_nodes()
        if possible is None:
            return service_unavailable("not every machine was heard of yet")
        if node not in possible:
            return json_response(HTTPStatus.NOT_FOUND, {"error": f"no machine is called {node!r}"})
        if len(possible - {node}) < self._member.min_members:
            return json_response(HTTPStatus.CONFLICT, {"error": "too few machines would remain"})
        return service_unavailable("some machines are silent just now")

    def _progress(self, node: str, outcome: CommitOutcome) -> Response:
        if not outcome.committed or not self._member.leads():
            return service_unavailable("not decided")
        if not self._is_retiring(node):
            return json_response(HTTPStatus.NOT_FOUND, {"error": f"{node!r} is not to be emptied"})
        state = "done" if self._leadership.is_vacated(node) else "running"
        return json_response(HTTPStatus.OK, {"state": state})
