"""The operator's calls: replace, update and read the configuration, retire a machine.

An order is known by its kind, base version and content. One that was taken before is acknowledged again, also by
another primary and when others came since; one that cannot be decided gets no clear answer. The oldest orders are
forgotten: whether one on so old a version was taken cannot be told any more, so it gets no clear answer either.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from enum import Enum

import msgspec
from returns.result import Failure, Result, Success

from lynxscale.controlplane.configuration import Configuration, Finding, check
from lynxscale.controlplane.configuration_update import EMPTY_CONFIGURATION, Update, apply_update, check_update
from lynxscale.coordination.member import ControlMember
from lynxscale.coordination.messages import Put, put_value
from lynxscale.coordination.outcomes import CommitOutcome
from lynxscale.runtime.http_server import Responder
from lynxscale.runtime.http_types import Head, Request, Response

CURRENT_KEY = "config/current"
ORDER_PREFIX, RETIRE_PREFIX = "order/", "retire/"
FORGOTTEN_KEY = "orders/forgotten"  # the newest version whose order is remembered no longer
MOST_ORDERS = 10_000  # remembered; 13 days at 750 a day
DIGEST_BYTES = 16
BASE_HEADER = b"lynxscale-base-version"
UNDECIDED = 503
RETRY_AFTER: tuple[tuple[bytes, bytes], ...] = ((b"retry-after", b"0.2"),)


class CurrentConfiguration(msgspec.Struct, frozen=True):
    """The configuration in force, and the very bytes that the operator sent."""

    generation: int
    body: msgspec.Raw


class OrderKind(Enum):
    """What an order makes of the configuration; the value tells the kinds' digests apart."""

    REPLACE = b""
    UPDATE = b"update"


ORDER_PATHS = {"/config/replace": OrderKind.REPLACE, "/config/update": OrderKind.UPDATE}


def order_digest(kind: OrderKind, base: str, body: bytes) -> str:
    """What an order is known by."""
    content = base.encode() + b"\n" + body
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES, person=kind.value).hexdigest()


class OperatorApi:
    """Handles the operator's requests on any member; only the primary decides."""

    def __init__(self, member: ControlMember, control_port: int, on_commit: Callable[[], None]) -> None:
        """``on_commit()`` is called once a new configuration or a retirement is committed."""
        self._member = member
        self._port = control_port
        self._on_commit = on_commit

    def handle(self, request: Request, responder: Responder) -> None:
        """Answer a request, now or once its change is committed."""
        if not self._member.leads():
            self._send_elsewhere(request, responder)
        elif request.method == "POST" and request.path in ORDER_PATHS:
            self._order(ORDER_PATHS[request.path], request, responder)
        elif (request.method, request.path) == ("GET", "/config/read"):
            self._member.barrier(lambda outcome: self._read(responder, outcome))
        elif request.path.startswith("/retire/"):
            self._retire(request, responder)
        else:
            responder.respond(json_response(404, {"error": "no such call"}))

    def current(self) -> CurrentConfiguration | None:
        """The newest configuration held here."""
        raw = self._member.store.values.get(CURRENT_KEY)
        return None if raw is None else msgspec.json.decode(raw, type=CurrentConfiguration)

    def retiring(self) -> frozenset[str]:
        """Machines that are to be emptied."""
        prefix = len(RETIRE_PREFIX)
        return frozenset(key[prefix:] for key in self._member.store.values if key.startswith(RETIRE_PREFIX))

    def _send_elsewhere(self, request: Request, responder: Responder) -> None:
        primary = self._member.primary()
        if not primary:
            responder.respond(undecided("there is no primary"))
            return
        location = f"http://{primary.rpartition(':')[0]}:{self._port}{request.target}"
        responder.respond(Response(307, Head(((b"location", location.encode()),))))

    def _order(self, kind: OrderKind, request: Request, responder: Responder) -> None:
        """Decide on an order that replaces or updates the configuration."""
        base = request.head.text(BASE_HEADER, "0").strip()
        digest = order_digest(kind, base, request.body)
        if ORDER_PREFIX + digest in self._member.store.values:
            self._answer_when_decided(responder, json_response(200, {"state": "taken before"}))
            return
        read = check(request.body) if kind is OrderKind.REPLACE else check_update(request.body)
        if isinstance(read, Failure):
            responder.respond(invalid(read.failure()))
            return
        order = read.unwrap()
        refusal = self._refusal(base, order["generation"])
        if refusal is not None:
            self._answer_when_decided(responder, refusal)
        elif kind is OrderKind.REPLACE:
            self._take(order["generation"], request.body, digest, responder)
        else:
            self._take_update(order, digest, responder)

    def _refusal(self, base: str, generation: int) -> Response | None:
        """The answer to an order on another version, or one that makes no later version; None to all others."""
        current = self.current()
        in_force = current.generation if current else 0
        if base != str(in_force) and self._may_be_forgotten(base):
            return undecided("orders on so old a version are remembered no longer")
        if base != str(in_force):
            return json_response(412, {"error": f"version {in_force} is current"})
        if generation <= in_force:
            return invalid((Finding("generation", f"want a version above {in_force}"),))
        return None

    def _take_update(self, update: Update, digest: str, responder: Responder) -> None:
        changed = self._updated(update)
        if isinstance(changed, Failure):
            # What it is applied to may not be committed yet.
            self._answer_when_decided(responder, invalid(changed.failure()))
            return
        self._take(update["generation"], msgspec.json.encode(changed.unwrap()), digest, responder)

    def _updated(self, update: Update) -> Result[Configuration, tuple[Finding, ...]]:
        current = self.current()
        in_force = Success(EMPTY_CONFIGURATION) if current is None else check(bytes(current.body))
        return in_force.bind(lambda table: apply_update(table, update))

    def _take(self, generation: int, body: bytes, digest: str, responder: Responder) -> None:
        value = CurrentConfiguration(generation, msgspec.Raw(body))
        puts = (
            put_value(CURRENT_KEY, value),
            put_value(ORDER_PREFIX + digest, generation),
            *self._forget_oldest(),
        )

        def done(outcome: CommitOutcome) -> None:
            committed = outcome.committed
            if committed:
                self._on_commit()
            responder.respond(json_response(200, {"generation": generation}) if committed else undecided("not decided"))

        self._member.submit(puts, done)

    def _forgotten(self) -> int:
        raw = self._member.store.values.get(FORGOTTEN_KEY)
        return -1 if raw is None else msgspec.json.decode(raw, type=int)

    def _may_be_forgotten(self, base: str) -> bool:
        """May an order on that version have been taken and forgotten? It made a version above its base."""
        return base.isdigit() and int(base) < self._forgotten()

    def _forget_oldest(self) -> tuple[Put, ...]:
        """Puts that remove the older half of the orders, where there are too many; each made a higher version."""
        values = self._member.store.values
        if sum(key.startswith(ORDER_PREFIX) for key in values) < MOST_ORDERS:
            return ()
        made = {key: msgspec.json.decode(raw, type=int) for key, raw in values.items() if key.startswith(ORDER_PREFIX)}
        oldest = sorted(made, key=made.get)[: MOST_ORDERS // 2]
        newest_gone = put_value(FORGOTTEN_KEY, made[oldest[-1]])
        return (newest_gone, *(put_value(key, None) for key in oldest))

    def _answer_when_decided(self, responder: Responder, response: Response) -> None:
        """What the answer rests on may not be committed yet."""
        self._member.barrier(
            lambda outcome: responder.respond(response if outcome.committed else undecided("not decided"))
        )

    def _read(self, responder: Responder, outcome: CommitOutcome) -> None:
        current = self.current()
        if not outcome.committed or current is None:
            responder.respond(undecided("no configuration yet"))
            return
        responder.respond(Response(200, Head(((b"content-type", b"application/json"),)), bytes(current.body)))

    def _retire(self, request: Request, responder: Responder) -> None:
        _, _, node, verb = (request.path.split("/") + ["", ""])[:4]
        if verb == "start" and request.method == "POST":
            self._start_retiring(node, responder)
        elif verb == "read" and request.method == "GET":
            self._read_retiring(node, responder)
        else:
            responder.respond(json_response(404, {"error": "no such call"}))

    def _start_retiring(self, node: str, responder: Responder) -> None:
        """Take the order where enough machines are there to stay; refuse it only for what is certain."""
        leadership = self._member.leadership
        if RETIRE_PREFIX + node in self._member.store.values:
            self._answer_when_decided(responder, json_response(200, {"state": "running"}))
        elif len(leadership.live_nodes() - {node}) >= self._member.min_members and self._is_known(node):
            self._member.submit(
                (put_value(RETIRE_PREFIX + node, {}),), lambda outcome: self._retiring(responder, outcome)
            )
        else:
            self._answer_when_decided(responder, self._retirement_refused(node))

    def _is_known(self, node: str) -> bool:
        leadership = self._member.leadership
        return node in leadership.live_nodes() or node in (leadership.possibly_live_nodes() or ())

    def _retirement_refused(self, node: str) -> Response:
        possible = self._member.leadership.possibly_live_nodes()
        if possible is None:
            return undecided("not every machine was heard of yet")
        if node not in possible:
            return json_response(404, {"error": f"no machine is called {node!r}"})
        if len(possible - {node}) < self._member.min_members:
            return json_response(409, {"error": "too few machines would remain"})
        return undecided("some machines are silent just now")

    def _retiring(self, responder: Responder, outcome: CommitOutcome) -> None:
        if outcome.committed:
            self._on_commit()
        responder.respond(json_response(200, {"state": "running"}) if outcome.committed else undecided("not decided"))

    def _read_retiring(self, node: str, responder: Responder) -> None:
        def decided(outcome: CommitOutcome) -> None:
            if not outcome.committed or not self._member.leads():
                responder.respond(undecided("not decided"))
            elif RETIRE_PREFIX + node not in self._member.store.values:
                responder.respond(json_response(404, {"error": f"{node!r} is not to be emptied"}))
            else:
                state = "done" if self._member.leadership.is_vacated(node) else "running"
                responder.respond(json_response(200, {"state": state}))

        self._member.barrier(decided)


def json_response(status: int, value: object) -> Response:
    """An answer with a JSON body."""
    return Response(status, Head(((b"content-type", b"application/json"),)), msgspec.json.encode(value))


def invalid(findings: tuple[Finding, ...]) -> Response:
    """The refusal of an order that cannot be taken as it is: everything that is wrong with it."""
    told = [{"place": finding.place, "error": finding.text} for finding in findings]
    return json_response(400, {"findings": told})


def undecided(text: str) -> Response:
    """No clear answer: the caller asks again."""
    response = json_response(UNDECIDED, {"error": text})
    return Response(response.status, Head((*response.head.fields, *RETRY_AFTER)), response.body)
