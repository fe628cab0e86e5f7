"""Sockets of a node: UDP datagrams, state exchanges over TCP, and the timer that drives its state machines."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Iterable, Mapping

import structlog
from twisted.internet.error import MessageLengthError
from twisted.internet.protocol import ClientFactory, DatagramProtocol, Factory, Protocol
from twisted.python.failure import Failure

from lynxscale.relay.cluster import frame
from lynxscale.relay.cluster.core import Core
from lynxscale.relay.cluster.detector_state import SLOW_TURN
from lynxscale.relay.cluster.exceptions import FrameError
from lynxscale.relay.cluster.frame import Exchange, Message, view_body
from lynxscale.relay.cluster.instructions import (
    DetectorInstruction,
    FetchView,
    LogEvent,
    PersistState,
    RemovedFromView,
    SendDatagram,
    SendViewMessage,
    StartExchange,
    StartGeneration,
    ViewInstruction,
)
from lynxscale.relay.cluster.messages import DurableState
from lynxscale.relay.counters import Counters
from lynxscale.relay.deadlines import Deadline, Deadlines
from lynxscale.relay.net.close_reason import CloseReason

log = structlog.get_logger()

Address = tuple[str, int]

MAX_INBOUND_EXCHANGES, MAX_OUTBOUND_EXCHANGES = 16, 8  # concurrent
EXCHANGE_TIMEOUT_MS, CONNECT_TIMEOUT_S = 5000, 2.0
# Rate limit of sent datagrams; a healthy node in a cluster of sixteen uses an eighth of it.
MAX_SENT_BYTES_PER_S, MAX_SENT_BYTES_BURST = 8_000, 64_000
MAX_READ_DATAGRAMS_PER_S, MAX_READ_DATAGRAMS_BURST = 2_000, 4_000  # further ones are dropped undecoded
# After a timer tick later than LATE_TURN_US, the node announces itself as slow for SLOW_DURATION_US.
LATE_TURN_US, SLOW_DURATION_US = 200_000, 10_000_000
COUNTER_GROUP = "cluster"
# Reasons for the end of an exchange connection, as logged.
ANSWERED, ASKED, LATE, BAD, CROWDED = "answered", "asked", "late", "bad_frame", "crowded"


class TokenBucket:
    """A token bucket: refilled with ``rate`` tokens a second, up to ``burst``."""

    def __init__(self, rate: int, burst: int) -> None:
        self._rate, self._burst, self._tokens, self._updated_at = rate, burst, float(burst), 0

    def take(self, now: int, tokens: int) -> bool:
        """Take ``tokens`` at the time ``now`` (µs); False if the bucket has fewer."""
        self._tokens = min(self._burst, self._tokens + (now - self._updated_at) * self._rate / 1e6)
        self._updated_at = now
        if self._tokens < tokens:
            return False
        self._tokens -= tokens
        return True


class DatagramReceiver(DatagramProtocol):
    """UDP socket: passes received datagrams to the driver."""

    noisy = False

    def __init__(self, driver: Driver) -> None:
        self._driver = driver

    def datagramReceived(self, data: bytes, _address: Address) -> None:
        """Pass on one datagram."""
        self._driver.datagram_received(data)


class ExchangeProtocol(Protocol):
    """TCP connection of one exchange: one frame each way, then close. ``to``: the peer if this node starts the
    exchange, empty if the peer does."""

    def __init__(self, driver: Driver, to: str = "") -> None:
        self._driver, self._to = driver, to
        self._data = b""
        self._reason: str | None = None
        self._deadline: Deadline | None = None

    def connectionMade(self) -> None:
        """Start the timeout; send the request if this node started the exchange."""
        self.transport.setTcpNoDelay(True)
        self._deadline = self._driver.deadlines.after(EXCHANGE_TIMEOUT_MS * 1000, self._abort, LATE)
        if not self._driver.stream_opened(self):
            self._abort(CROWDED)
        elif self._to:
            self.transport.write(self._driver.full_state(answer=False))

    def dataReceived(self, data: bytes) -> None:
        """Collect one frame, process it, answer it if it is a request, and close."""
        if self._reason is not None:
            return
        self._data += data
        try:
            if len(self._data) < frame.HEADER.size:
                return
            length = frame.length(self._driver.key, self._data)
            if len(self._data) < length:
                return
            message = frame.decode(self._driver.key, self._data)  # bytes after the frame are an error too
            if not isinstance(message.body, Exchange) or message.body.answer != bool(self._to):
                raise FrameError("unasked")
        except FrameError as error:
            self._driver.frame_rejected(error, self._data)
            self._abort(BAD)
            return
        if self._to:
            self._reason = ANSWERED
            self.transport.loseConnection()
        else:
            self._reason = ASKED
            self.transport.write(self._driver.full_state(answer=True))
            self.transport.loseConnection()
        self._driver.receive(message, inbound=not self._to)

    def _abort(self, reason: str) -> None:
        self._reason = self._reason or reason
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure) -> None:
        """Log why the connection ended and report it to the driver."""
        self._driver.deadlines.cancel(self._deadline)
        self._driver.stream_closed(self)
        log.info("connection", kind="cluster", node=self._to or None, reason=self._reason or CloseReason.REMOTE_CLOSED)
        if self._to:
            self._driver.exchange_finished(self._to, failed=self._reason != ANSWERED)


class InboundFactory(Factory):
    """Accepts connections for exchanges that other nodes start."""

    noisy = False

    def __init__(self, driver: Driver) -> None:
        self._driver = driver

    def buildProtocol(self, _address: Address) -> ExchangeProtocol:
        """Build the protocol of one connection."""
        return ExchangeProtocol(self._driver)


class OutboundFactory(ClientFactory):
    """Opens the connection of one exchange that this node starts."""

    noisy = False

    def __init__(self, driver: Driver, to: str) -> None:
        self._driver, self._to = driver, to

    def buildProtocol(self, _address: Address) -> ExchangeProtocol:
        """Build the protocol of one connection."""
        return ExchangeProtocol(self._driver, self._to)

    def clientConnectionFailed(self, _connector: object, _reason: Failure) -> None:
        """Report an exchange that failed before its connection was made."""
        self._driver.exchange_finished(self._to, failed=True)


class Clock:
    """A clock in µs that includes time in which the machine is suspended, so that leases expire meanwhile."""

    def __init__(self, deadlines: Deadlines) -> None:
        self._deadlines = deadlines
        self._suspended_at_start = self._suspended()

    @staticmethod
    def _suspended() -> int:
        """Total time (µs) for which the machine has been suspended since it booted."""
        return (time.clock_gettime_ns(time.CLOCK_BOOTTIME) - time.monotonic_ns()) // 1000

    def turn_time(self) -> int:
        """The time at the start of this turn of the event loop, the same until the turn ends."""
        return self._deadlines.now() + self._suspended() - self._suspended_at_start

    def current_time(self) -> int:
        """The current time on the same scale, for decisions that may come late in a long turn, such as lease checks."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000 - self._suspended_at_start


class Driver:
    """Executes a core's instructions. ``on_event`` receives those that do not concern network or disk; ``save`` writes
    durable state to disk and calls back once it is there."""

    def __init__(
        self,
        reactor,
        deadlines: Deadlines,
        clock: Clock,
        counters: Counters,
        cluster: str,
        listen: Address,
        addresses: Mapping[str, Address],
        core: Core,
        probe: int,
        on_event: Callable[[LogEvent | StartGeneration | RemovedFromView], None],
        save: Callable[[DurableState, Callable[[], None]], None],
    ) -> None:
        self._reactor, self.deadlines, self._clock, self._counters = reactor, deadlines, clock, counters
        self.key, self._listen, self._on_event, self._save = frame.cluster_key(cluster, probe), listen, on_event, save
        self.core = core
        self._addresses = dict(addresses)
        self._timer: Deadline | None = None
        self._udp = self._tcp = None
        self._streams: set[ExchangeProtocol] = set()
        self._outbound_peers: set[str] = set()
        self._queue: deque[DetectorInstruction | ViewInstruction] = deque()
        self._executing = False
        self._reported: set[tuple[str, str]] = set()  # node and reason of rejected frames already logged
        self._slow: dict[int, int] = {}  # by reason: when this node stops announcing itself as slow
        self._send_limit, self._read_limit = (
            TokenBucket(MAX_SENT_BYTES_PER_S, MAX_SENT_BYTES_BURST),
            TokenBucket(MAX_READ_DATAGRAMS_PER_S, MAX_READ_DATAGRAMS_BURST),
        )

    def start(self) -> None:
        """Open the sockets and the timer. Raises CannotListenError if the address is not available."""
        host, port = self._listen
        self._tcp = self._reactor.listenTCP(port, InboundFactory(self), interface=host)
        self._udp = self._reactor.listenUDP(port, DatagramReceiver(self), interface=host)
        self.execute(self.core.tick(self._clock.turn_time()))

    def stop(self) -> None:
        """Announce that this node leaves, release its leases, and close its sockets."""
        self.execute(self.core.leave(self._clock.turn_time()))
        self.deadlines.cancel(self._timer)
        self._timer = None
        for port in (self._udp, self._tcp):
            if port is not None:
                port.stopListening()
        self._udp = None
        for stream in list(self._streams):
            stream.transport.abortConnection()

    def reconfigure(self, addresses: Mapping[str, Address]) -> None:
        """Apply a changed configuration; ``addresses`` maps its nodes to their addresses."""
        self._addresses = dict(addresses)
        self.execute(self.core.reconfigure(self._clock.turn_time(), addresses))

    def renew(self, generation: int) -> None:
        """Start a later generation of this process; ``generation`` is already on disk."""
        self.execute(self.core.renew(self._clock.turn_time(), generation))

    def announce_slow(self, reason: int) -> None:
        """Announce this node as slow for ``SLOW_DURATION_US``; ``reason`` is a bit of ``SLOW_REASONS``."""
        self._slow[reason] = self.deadlines.now() + SLOW_DURATION_US
        self.core.detector.slow |= reason

    # Instructions --------------------------------------------------------------------------------

    def execute(self, instructions: Iterable[DetectorInstruction | ViewInstruction]) -> None:
        """Execute instructions in order, then set the timer to the next deadline."""
        self._queue.extend(instructions)
        if self._executing:
            return
        self._executing = True
        try:
            while self._queue:
                self._execute_one(self._queue.popleft())
        finally:
            self._executing = False
        self._set_timer()

    def _execute_one(self, instruction: DetectorInstruction | ViewInstruction) -> None:
        if isinstance(instruction, SendDatagram):
            self._send(instruction.to, self.core.message(instruction.body, instruction.updates))
        elif isinstance(instruction, SendViewMessage):
            if instruction.to == self.core.me.name:
                self.execute(self.core.receive_own(self._clock.turn_time(), instruction.message))
            else:
                self._send(instruction.to, self.core.message(view_body(instruction.message)))
        elif isinstance(instruction, PersistState):
            self._save(instruction.durable, lambda: self._persisted(instruction))
        elif isinstance(instruction, StartExchange):
            self._start_exchange(instruction.to)
        elif isinstance(instruction, FetchView):
            self._start_exchange(instruction.peer)
        else:
            self._on_event(instruction)

    def _persisted(self, instruction: PersistState) -> None:
        self.core.state_persisted(instruction.durable)
        self.execute(instruction.then)

    def _set_timer(self) -> None:
        if self._udp is None:
            return
        wait = max(0, self.core.next_deadline() - self._clock.turn_time())
        due = self.deadlines.now() + int(wait)
        if self._timer is None or self._timer.callback is None or due < self._timer.at:
            self.deadlines.cancel(self._timer)
            self._timer = self.deadlines.at(due, self._tick)

    def _tick(self) -> None:
        now = self.deadlines.now()
        lateness = now - self._timer.at
        if lateness > LATE_TURN_US:
            self._counters.add(COUNTER_GROUP, "late_turns")
            self._counters.record_max(COUNTER_GROUP, "latest_turn_ms", lateness // 1000)
            self.announce_slow(SLOW_TURN)
        for bit in [bit for bit, until in self._slow.items() if now >= until]:
            del self._slow[bit]
            self.core.detector.slow &= ~bit
        self.execute(self.core.tick(self._clock.turn_time()))

    # Sending -------------------------------------------------------------------------------------

    def full_state(self, answer: bool) -> bytes:
        """The encoded exchange message."""
        return frame.encode(self.key, self.core.full_state(answer))

    def _send(self, to: str, message: Message) -> None:
        address = self._addresses.get(to)
        if address is None or self._udp is None:
            return
        data = frame.encode(self.key, message)
        if not self._send_limit.take(self.deadlines.now(), len(data)):
            self._counters.add(COUNTER_GROUP, "over_budget")
            return
        try:
            self._udp.write(data, address)
        except (OSError, MessageLengthError):
            self._counters.add(COUNTER_GROUP, "not_sent")  # the protocols tolerate it as a lost datagram
            return
        self._counters.add(COUNTER_GROUP, "datagrams_out")
        self._counters.add(COUNTER_GROUP, "bytes_out", len(data))

    def _start_exchange(self, to: str) -> None:
        address = self._addresses.get(to)
        if (
            address is None
            or self._udp is None
            or to in self._outbound_peers
            or len(self._outbound_peers) >= MAX_OUTBOUND_EXCHANGES
        ):
            return
        self._outbound_peers.add(to)
        self._counters.add(COUNTER_GROUP, "exchanges")
        self._reactor.connectTCP(*address, OutboundFactory(self, to), timeout=CONNECT_TIMEOUT_S)

    # Receiving -----------------------------------------------------------------------------------

    def datagram_received(self, data: bytes) -> None:
        """Decode and process a received datagram; a rejected one is counted."""
        if not self._read_limit.take(self.deadlines.now(), 1):
            self._counters.add(COUNTER_GROUP, "dropped_flood")
            return
        self._counters.add(COUNTER_GROUP, "datagrams_in")
        self._counters.add(COUNTER_GROUP, "bytes_in", len(data))
        try:
            message = frame.decode(self.key, data)
            if isinstance(message.body, Exchange):
                raise FrameError("unasked")
        except FrameError as error:
            self.frame_rejected(error, data)
            return
        self.receive(message, inbound=True)

    def frame_rejected(self, error: FrameError, data: bytes) -> None:
        """Count a rejected frame by reason; log each node with another cluster key or version once."""
        self.core.dropped_frames[error.reason] += 1
        if error.reason not in ("foreign", "version"):
            return
        reason, node = frame.describe_mismatch(self.key, data)
        if reason and (node, reason) not in self._reported and (not node or node in self._addresses):
            self._reported.add((node, reason))
            self._on_event(LogEvent("not_understood", {"node": node or "unknown", "why": reason}))

    def receive(self, message: Message, inbound: bool) -> None:
        """Process a decoded frame. ``inbound``: sent to this node's address, not as an answer on our connection."""
        self.execute(self.core.receive(self._clock.turn_time(), message, inbound))

    # Exchanges -----------------------------------------------------------------------------------

    def stream_opened(self, stream: ExchangeProtocol) -> bool:
        """Register a connection; False if too many are open."""
        self._streams.add(stream)
        return len(self._streams) <= MAX_INBOUND_EXCHANGES + MAX_OUTBOUND_EXCHANGES

    def stream_closed(self, stream: ExchangeProtocol) -> None:
        """Unregister a connection."""
        self._streams.discard(stream)

    def exchange_finished(self, to: str, failed: bool) -> None:
        """Handle the end of an exchange that this node started."""
        self._outbound_peers.discard(to)
        if failed:
            self._counters.add(COUNTER_GROUP, "exchanges_failed")
        if self._udp is not None:
            self.execute(self.core.exchange_finished(self._clock.turn_time(), failed))
