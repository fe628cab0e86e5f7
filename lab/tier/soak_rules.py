"""Checks a soak by the observations of its clients, its endpoints and the disturbances."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Sequence

from lab.tier.disturbances import Disturbance
from lab.tier.fakes import FakeEndpoint
from lab.tier.history_checker import COMPLETE_STREAM
from lab.tier.persistent_clients import PersistentRequest
from lynxscale.dataplane.headers import REQUEST_ID

PROMISES = (408, 421, 429, 503)  # the request has not run and never will
MAX_RUNS = {"/book/1": 1, "/look/1": 2, "/open/stream": 2}
LOSS_SLACK_S = 0.2  # the setting loss-slack-ms
CONTACT_S = 3.0  # the setting contact-ms: how long unplanned trouble excuses the loss of a connection
STREAM_PATH = "/open/stream"


class SoakChecker:
    """Checks the requests on persistent connections.

    ``streams_break_off``: some endpoints ended their streams within an event. ``stalls``: when this process itself was
    not scheduled, in seconds.
    """

    def __init__(
        self,
        requests: Sequence[PersistentRequest],
        endpoints: Sequence[FakeEndpoint],
        streams_break_off: bool,
        disturbances: Sequence[Disturbance],
        stalls: Sequence[tuple[float, float]],
    ) -> None:
        self._requests = requests
        self._runs = Counter(request.head.text(REQUEST_ID) for endpoint in endpoints for request in endpoint.executed)
        self._streams_break_off = streams_break_off
        unplanned = [disturbance for disturbance in disturbances if not disturbance.planned]
        self._unplanned = [(one.begin, one.end + CONTACT_S) for one in unplanned] + list(stalls)

    def violations(self) -> Iterator[str]:
        """Each broken rule, as text."""
        for request in self._requests:
            runs = self._runs[request.request_id]
            told = f"{request.request_id} {request.path} at {request.relay}: status {request.status}, {runs} runs"
            if runs > MAX_RUNS[request.path]:
                yield f"TWICE {told}"
            if request.complete and request.status in PROMISES and runs:
                yield f"REFUSED {told}"
            if request.complete:
                yield from self._wrong_answer(request, runs, told)
            elif self._lost(request, runs):
                connected_s = request.connected_at - request.sent_at
                told += f", {request.elapsed_s:.3f} s, connected after {connected_s:.3f} s"
                yield f"LOST {told}, request {request.number_on_connection} there"

    def _wrong_answer(self, request: PersistentRequest, runs: int, told: str) -> Iterator[str]:
        if request.status == 200 and (not runs or request.answered_id != request.request_id):
            yield f"MIXED {told}, answer to {request.answered_id}"
        if request.status == 200 and request.body != (COMPLETE_STREAM if request.path == STREAM_PATH else b"done"):
            yield f"ORDER {told}, {bytes(request.body)!r}"
        if 400 <= request.status < 500 and request.status not in PROMISES:
            yield f"DENIED {told}"

    def _lost(self, request: PersistentRequest, runs: int) -> bool:
        """Whether the relay read the request and closed the connection without a complete answer, amid planned work."""
        if request.path == STREAM_PATH and runs and self._streams_break_off:
            return False
        if not runs and request.elapsed_s <= LOSS_SLACK_S:
            return False
        return not any(begin <= request.ended_at and request.sent_at <= end for begin, end in self._unplanned)
