"""Lines of turns whose clients resume streams that break off, and what must hold for them.

Each run generates other events (``tag_events``), so that a wrong history shows of which runs it is made.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from lab.tier.fakes import FakeEndpoint
from lynxscale.dataplane.headers import REQUEST_ID
from lynxscale.runtime.http_types import Request

MAX_ATTEMPTS = 6
BUDGET = 10_000_000


def tag_events(endpoints: Iterable[FakeEndpoint], events: dict[str, int]) -> None:
    """Let the events of some streams name their run; ``events``: their number, by the prefix of the path.

    Runs of one request have different names too.
    """
    run_numbers: dict[int, int] = {}  # by the identity of the request, which its endpoint keeps

    def count_of(request: Request) -> int | None:
        return next((count for prefix, count in events.items() if request.target.startswith(prefix)), None)

    def tag(request: Request) -> bytes:
        if count_of(request) is None:
            return b""
        number = run_numbers.setdefault(id(request), len(run_numbers))
        return b"-%b.%d" % (request.head.get(REQUEST_ID), number)

    for endpoint in endpoints:

        def count(request: Request, usual: int = endpoint.events) -> int:
            return usual if (number := count_of(request)) is None else number

        endpoint.event_tag, endpoint.event_count = tag, count


@dataclass(frozen=True)
class StreamEvent:
    """One event as a client received it."""

    number: int
    data: str


def events_of(body: bytes) -> list[StreamEvent]:
    """The complete events of a response."""
    lines = body.decode().replace("\r\n", "\n").replace("\r", "\n").split("\n\n")[:-1]
    fields = [dict(line.split(": ", 1) for line in event.split("\n") if line) for event in lines]
    return [StreamEvent(int(event["id"]), event["data"]) for event in fields if event]


@dataclass
class Line:
    """One line of turns. ``said``: the chain so far; ``expected``: the prompt of each request that was sent.

    ``received``: the events of the turn in progress; ``broken``: the rules that were broken, as text.
    """

    name: str
    path: str
    events: int
    resumes: bool
    said: bytes = b""
    previous: str = ""
    ended_at: float = 0.0
    attempts: int = 0
    turns: int = 0
    resumed: int = 0
    received: list[StreamEvent] = field(default_factory=list)
    expected: dict[str, bytes] = field(default_factory=dict)
    broken: list[str] = field(default_factory=list)

    @property
    def text(self) -> bytes:
        """The new input of the turn in progress."""
        return f"input {self.turns} of {self.name} ".encode()

    def next_request(self, request_id: str) -> dict[str, str]:
        """Begin another attempt; return the fields of its request besides the id."""
        self.attempts += 1
        self.expected[request_id] = self.said + self.text
        fields = {"program": self.name, "session": self.name, "budget": str(BUDGET), "lynxscale_token_count": "9,400"}
        if self.previous:
            fields["previous"] = self.previous
        if self.received:
            fields["last_event_id"] = str(self.received[-1].number)
        return fields

    def on_response(self, request_id: str, status: int, body: bytes, complete: bool, now: float) -> bool:
        """Handle a response, complete or not; return whether the turn is over."""
        resumed = bool(self.received)
        if status == 200:
            self.received += events_of(body)
        if status == 200 and complete:
            self._complete(request_id, resumed, now)
            return True
        if not self.resumes or status != 200:
            self.received = []  # from the start
        return self.attempts >= MAX_ATTEMPTS

    def _complete(self, request_id: str, resumed: bool, now: float) -> None:
        numbers = [event.number for event in self.received]
        if numbers != list(range(1, self.events + 1)):
            self.broken.append(f"ORDER {request_id}: events {numbers}")
        self.said += self.text + "".join(f"{event.data}\n" for event in self.received).encode()
        self.previous, self.ended_at = request_id, now
        self.turns += 1
        self.resumed += resumed
        self.begin_turn()

    def begin_turn(self) -> None:
        """Forget the turn in progress."""
        self.attempts, self.received = 0, []

    def restart(self) -> None:
        """Begin a new conversation."""
        self.said, self.previous = b"", ""
        self.begin_turn()


def unasked_prompts(lines: Iterable[Line], endpoints: Iterable[FakeEndpoint]) -> Iterator[str]:
    """Each prompt that an endpoint ran and that is not the chain's earlier turns and the new input, as text."""
    expected = {request_id: body for line in lines for request_id, body in line.expected.items()}
    for endpoint in endpoints:
        for request in endpoint.executed:
            request_id = request.head.text(REQUEST_ID)
            if request_id in expected and request.body != expected[request_id]:
                yield f"UNASKED {request_id}: {request.body!r}, want {expected[request_id]!r}"
