"""The sockets of a node: datagrams, state exchanges on TCP, and the one timer of its state machines."""

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

INBOUND_MOST, OUTBOUND_MOST = 16, 8  # exchanges at once
EXCHANGE_MS, CONNECT_S = 5000, 2.0
BYTES_PER_S, BYTES_BURST = 8_000, 64_000  # of datagrams that go out; a healthy node of sixteen sends an eighth of it
READ_PER_S, READ_BURST = 2_000, 4_000  # datagrams that are read; more are dropped unread
SLOW_TURN_US, SLOW_FOR = 200_000, 10_000_000  # a turn so late is announced to the others, for so long
GROUP = "cluster"
ANSWERED, ASKED, LATE, BAD, CROWDED = "answered", "asked", "late", "bad_frame", "crowded"


class TokenBucket:
    """A token bucket: ``rate`` a second, at most ``burst`` at once."""

    def __init__(self, rate: int, burst: int) -> None:
        self._rate, self._burst, self._left, self._at = rate, burst, float(burst), 0

    def take(self, now: int, much: int) -> bool:
        """Take ``much`` at the time ``now`` (µs); False where so much is not there."""
        self._left = min(self._burst, self._left + (now - self._at) * self._rate / 1e6)
        self._at = now
        if self._left < much:
            return False
        self._left -= much
        return True


class Datagrams(DatagramProtocol):
    """UDP side: hands datagrams to the driver."""

    noisy = False

    def __init__(self, driver: Driver) -> None:
        self._driver = driver

    def datagramReceived(self, data: bytes, _address: Address) -> None:
        """One datagram."""
        self._driver.datagram(data)


class Stream(Protocol):
    """One exchange: a frame each way, then close. ``to``: the peer, where this node starts it; else empty."""

    def __init__(self, driver: Driver, to: str = "") -> None:
        self._driver, self._to = driver, to
        self._data = b""
        self._reason: str | None = None
        self._deadline: Deadline | None = None

    def connectionMade(self) -> None:
        """Start the deadline; send the request where this node started the exchange."""
        self.transport.setTcpNoDelay(True)
        self._deadline = self._driver.deadlines.after(EXCHANGE_MS * 1000, self._drop, LATE)
        if not self._driver.stream_opened(self):
            self._drop(CROWDED)
        elif self._to:
            self.transport.write(self._driver.full_state(answer=False))

    def dataReceived(self, data: bytes) -> None:
        """Collect one frame, answer it or accept the answer, and close."""
        if self._reason is not None:
            return
        self._data += data
        try:
            if len(self._data) < frame.HEAD.size:
                return
            length = frame.length(self._driver.key, self._data)
            if len(self._data) < length:
                return
            message = frame.decode(self._driver.key, self._data)  # more than the frame is wrong too
            if not isinstance(message.body, Exchange) or message.body.answer != bool(self._to):
                raise FrameError("unasked")
        except FrameError as error:
            self._driver.bad(error, self._data)
            self._drop(BAD)
            return
        if self._to:
            self._reason = ANSWERED
            self.transport.loseConnection()
        else:
            self._reason = ASKED
            self.transport.write(self._driver.full_state(answer=True))
            self.transport.loseConnection()
        self._driver.receive(message, reached=not self._to)

    def _drop(self, reason: str) -> None:
        self._reason = self._reason or reason
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure) -> None:
        """Log the end and report it to the driver."""
        self._driver.deadlines.cancel(self._deadline)
        self._driver.stream_closed(self)
        log.info("connection", kind="cluster", node=self._to or None, reason=self._reason or CloseReason.REMOTE_CLOSED)
        if self._to:
            self._driver.exchange_finished(self._to, failed=self._reason != ANSWERED)


class InboundFactory(Factory):
    """Accepts exchanges that other nodes start."""

    noisy = False

    def __init__(self, driver: Driver) -> None:
        self._driver = driver

    def buildProtocol(self, _address: Address) -> Stream:
        """A connection's protocol."""
        return Stream(self._driver)


class OutboundFactory(ClientFactory):
    """Connects for one exchange that this node starts."""

    noisy = False

    def __init__(self, driver: Driver, to: str) -> None:
        self._driver, self._to = driver, to

    def buildProtocol(self, _address: Address) -> Stream:
        """A connection's protocol."""
        return Stream(self._driver, self._to)

    def clientConnectionFailed(self, _connector: object, _reason: Failure) -> None:
        """The exchange has failed before it began."""
        self._driver.exchange_finished(self._to, failed=True)


class Clock:
    """µs that go on while the machine sleeps: else a lease would outlive a night."""

    def __init__(self, deadlines: Deadlines) -> None:
        self._deadlines = deadlines
        self._behind = self._apart()

    @staticmethod
    def _apart() -> int:
        return (time.clock_gettime_ns(time.CLOCK_BOOTTIME) - time.monotonic_ns()) // 1000

    def turn(self) -> int:
        """The same for the rest of this turn of the loop."""
        return self._deadlines.now() + self._apart() - self._behind

    def fresh(self) -> int:
        """Right now, on the same scale: for what must not be done too late in a long turn."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000 - self._behind


class Driver:
    """Carries out a core's instructions. ``on_event`` gets those that do not concern the network; ``keep`` puts durable
    state on disk and calls back once it is there."""

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
        keep: Callable[[DurableState, Callable[[], None]], None],
    ) -> None:
        self._reactor, self.deadlines, self._clock, self._counters = reactor, deadlines, clock, counters
        self.key, self._listen, self._on_event, self._keep = frame.cluster_key(cluster, probe), listen, on_event, keep
        self.core = core
        self._addresses = dict(addresses)
        self._timer: Deadline | None = None
        self._udp = self._tcp = None
        self._streams: set[Stream] = set()
        self._outbound_peers: set[str] = set()
        self._queue: deque[DetectorInstruction | ViewInstruction] = deque()
        self._carrying_out = False
        self._reported: set[tuple[str, str]] = set()  # nodes whose frames were rejected, and why, as logged
        self._slow: dict[int, int] = {}  # why, and until when
        self._send_limit, self._read_limit = TokenBucket(BYTES_PER_S, BYTES_BURST), TokenBucket(READ_PER_S, READ_BURST)

    def start(self) -> None:
        """Raises CannotListenError where the address cannot be had."""
        host, port = self._listen
        self._tcp = self._reactor.listenTCP(port, InboundFactory(self), interface=host)
        self._udp = self._reactor.listenUDP(port, Datagrams(self), interface=host)
        self.go(self.core.tick(self._clock.turn()))

    def stop(self) -> None:
        """Announce that this node leaves, give up its leases, and close."""
        self.go(self.core.leave(self._clock.turn()))
        self.deadlines.cancel(self._timer)
        self._timer = None
        for port in (self._udp, self._tcp):
            if port is not None:
                port.stopListening()
        self._udp = None
        for stream in list(self._streams):
            stream.transport.abortConnection()

    def reconfigure(self, addresses: Mapping[str, Address]) -> None:
        """The configuration has changed: these nodes, at these addresses."""
        self._addresses = dict(addresses)
        self.go(self.core.reconfigure(self._clock.turn(), addresses))

    def renew(self, generation: int) -> None:
        """A later generation of this process is on disk and begins."""
        self.go(self.core.renew(self._clock.turn(), generation))

    def slow(self, bit: int) -> None:
        """This node has a reason to call itself slow, for some time."""
        self._slow[bit] = self.deadlines.now() + SLOW_FOR
        self.core.detector.slow |= bit

    # Instructions --------------------------------------------------------------------------------

    def go(self, instructions: Iterable[DetectorInstruction | ViewInstruction]) -> None:
        """Carry instructions out in order, then set the timer for the next deadline."""
        self._queue.extend(instructions)
        if self._carrying_out:
            return
        self._carrying_out = True
        try:
            while self._queue:
                self._carry_out(self._queue.popleft())
        finally:
            self._carrying_out = False
        self._arm()

    def _carry_out(self, instruction: DetectorInstruction | ViewInstruction) -> None:
        if isinstance(instruction, SendDatagram):
            self._send(instruction.to, self.core.message(instruction.body, instruction.updates))
        elif isinstance(instruction, SendViewMessage):
            if instruction.to == self.core.me.name:
                self.go(self.core.receive_own(self._clock.turn(), instruction.message))
            else:
                self._send(instruction.to, self.core.message(view_body(instruction.message)))
        elif isinstance(instruction, PersistState):
            self._keep(instruction.durable, lambda: self._persisted(instruction))
        elif isinstance(instruction, StartExchange):
            self._start_exchange(instruction.to)
        elif isinstance(instruction, FetchView):
            self._start_exchange(instruction.peer)
        else:
            self._on_event(instruction)

    def _persisted(self, instruction: PersistState) -> None:
        self.core.state_persisted(instruction.durable)
        self.go(instruction.then)

    def _arm(self) -> None:
        if self._udp is None:
            return
        wait = max(0, self.core.next_deadline() - self._clock.turn())
        due = self.deadlines.now() + int(wait)
        if self._timer is None or self._timer.callback is None or due < self._timer.at:
            self.deadlines.cancel(self._timer)
            self._timer = self.deadlines.at(due, self._tick)

    def _tick(self) -> None:
        now = self.deadlines.now()
        late = now - self._timer.at
        if late > SLOW_TURN_US:
            self._counters.add(GROUP, "late_turns")
            self._counters.most(GROUP, "latest_turn_ms", late // 1000)
            self.slow(SLOW_TURN)
        for bit in [bit for bit, until in self._slow.items() if now >= until]:
            del self._slow[bit]
            self.core.detector.slow &= ~bit
        self.go(self.core.tick(self._clock.turn()))

    # Out -----------------------------------------------------------------------------------------

    def full_state(self, answer: bool) -> bytes:
        """The encoded exchange message."""
        return frame.encode(self.key, self.core.full_state(answer))

    def _send(self, to: str, message: Message) -> None:
        address = self._addresses.get(to)
        if address is None or self._udp is None:
            return
        data = frame.encode(self.key, message)
        if not self._send_limit.take(self.deadlines.now(), len(data)):
            self._counters.add(GROUP, "over_budget")
            return
        try:
            self._udp.write(data, address)
        except (OSError, MessageLengthError):
            self._counters.add(GROUP, "not_sent")  # as if it had been lost on its way
            return
        self._counters.add(GROUP, "datagrams_out")
        self._counters.add(GROUP, "bytes_out", len(data))

    def _start_exchange(self, to: str) -> None:
        address = self._addresses.get(to)
        if (
            address is None
            or self._udp is None
            or to in self._outbound_peers
            or len(self._outbound_peers) >= OUTBOUND_MOST
        ):
            return
        self._outbound_peers.add(to)
        self._counters.add(GROUP, "exchanges")
        self._reactor.connectTCP(*address, OutboundFactory(self, to), timeout=CONNECT_S)

    # In ------------------------------------------------------------------------------------------

    def datagram(self, data: bytes) -> None:
        """A datagram has arrived; a malformed one is counted."""
        if not self._read_limit.take(self.deadlines.now(), 1):
            self._counters.add(GROUP, "dropped_flood")
            return
        self._counters.add(GROUP, "datagrams_in")
        self._counters.add(GROUP, "bytes_in", len(data))
        try:
            message = frame.decode(self.key, data)
            if isinstance(message.body, Exchange):
                raise FrameError("unasked")
        except FrameError as error:
            self.bad(error, data)
            return
        self.receive(message, reached=True)

    def bad(self, error: FrameError, data: bytes) -> None:
        """Count a malformed frame; a node of another cluster key or version is logged once."""
        self.core.dropped_frames[error.reason] += 1
        if error.reason not in ("foreign", "version"):
            return
        reason, node = frame.describe_mismatch(self.key, data)
        if reason and (node, reason) not in self._reported and (not node or node in self._addresses):
            self._reported.add((node, reason))
            self._on_event(LogEvent("not_understood", {"node": node or "unknown", "why": reason}))

    def receive(self, message: Message, reached: bool) -> None:
        """A decoded frame. ``reached``: it came to this node's address."""
        self.go(self.core.receive(self._clock.turn(), message, reached))

    # Exchanges -----------------------------------------------------------------------------------

    def stream_opened(self, stream: Stream) -> bool:
        """Register a connection; False where too many are open."""
        self._streams.add(stream)
        return len(self._streams) <= INBOUND_MOST + OUTBOUND_MOST

    def stream_closed(self, stream: Stream) -> None:
        """Unregister a connection."""
        self._streams.discard(stream)

    def exchange_finished(self, to: str, failed: bool) -> None:
        """An exchange that this node started has ended."""
        self._outbound_peers.discard(to)
        if failed:
            self._counters.add(GROUP, "exchanges_failed")
        if self._udp is not None:
            self.go(self.core.exchange_finished(self._clock.turn(), failed))
