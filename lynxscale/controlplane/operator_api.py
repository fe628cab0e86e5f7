"""The operator's HTTP API on the control address: routes each request to the endpoint that handles it.

=====================  ====  ==================================================
``/config/replace``    POST  replace the configuration in force
``/config/update``     POST  add, replace or remove routes and services by name
``/config/read``       GET   the configuration in force
``/retire/NODE/start`` POST  evacuate a machine
``/retire/NODE/read``  GET   progress of an evacuation
=====================  ====  ==================================================
"""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from urllib.parse import unquote

from lynxscale.controlplane.configuration_endpoint import ConfigurationEndpoint
from lynxscale.controlplane.http_responses import CommittedResponses, not_found, service_unavailable
from lynxscale.controlplane.idempotency import ChangeKind
from lynxscale.controlplane.newest_configuration import CurrentConfiguration
from lynxscale.controlplane.retirement_endpoint import RetirementEndpoint
from lynxscale.coordination.member import ControlMember
from lynxscale.coordination.ports import Worker
from lynxscale.runtime.http_types import Head, Request, Response
from lynxscale.runtime.responder import Responder

REPLACE_PATH, UPDATE_PATH, READ_PATH = "/config/replace", "/config/update", "/config/read"
CHANGE_KINDS = {REPLACE_PATH: ChangeKind.REPLACE, UPDATE_PATH: ChangeKind.UPDATE}
RETIREMENT_PATH_PREFIX = "/retire/"


class OperatorApi:
    """Handles the operator's requests on any member; members other than the primary redirect to it."""

    def __init__(
        self,
        member: ControlMember,
        control_port: int,
        on_configuration: Callable[[CurrentConfiguration], None],
        on_retirement: Callable[[], None],
        worker: Worker,
    ) -> None:
        """``on_configuration(configuration)`` and ``on_retirement()`` are called once such a change is committed."""
        responses = CommittedResponses(member)
        self.configuration = ConfigurationEndpoint(member, responses, on_configuration, worker)
        self.retirement = RetirementEndpoint(member, responses, on_retirement)
        self._member = member
        self._control_port = control_port  # all members use the same port

    def handle(self, request: Request, responder: Responder) -> None:
        """Respond to a request, immediately or once its change is committed."""
        if not self._member.leads():
            self._redirect_to_primary(request, responder)
        elif request.method == "POST" and request.path in CHANGE_KINDS:
            self.configuration.change(CHANGE_KINDS[request.path], request, responder)
        elif request.method == "GET" and request.path == READ_PATH:
            self.configuration.read(responder)
        elif request.path.startswith(RETIREMENT_PATH_PREFIX):
            self._handle_retirement(request, responder)
        else:
            responder.respond(not_found())

    def _redirect_to_primary(self, request: Request, responder: Responder) -> None:
        primary = self._member.primary()
        if not primary:
            responder.respond(service_unavailable("there is no primary"))
            return
        location = f"http://{primary.rpartition(':')[0]}:{self._control_port}{request.target}"
        responder.respond(Response(HTTPStatus.TEMPORARY_REDIRECT, Head(((b"location", location.encode()),))))

    def _handle_retirement(self, request: Request, responder: Responder) -> None:
        encoded_node, _, rest = request.path.removeprefix(RETIREMENT_PATH_PREFIX).partition("/")
        node = unquote(encoded_node)  # RFC 3986, section 2.1
        action = rest.partition("/")[0]
        if (request.method, action) == ("POST", "start"):
            self.retirement.start(node, responder)
        elif (request.method, action) == ("GET", "read"):
            self.retirement.read(node, responder)
        else:
            responder.respond(not_found())
