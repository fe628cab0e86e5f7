"""From serving to drained or stopped, and back: one state machine without I/O, for the door and for SIGTERM alike.

The front asks for readiness, and deals out no more of this relay soon after the first no; connections that it
has given out stay in use for as long as they are open. So a relay first tells no and goes on taking what comes,
then sends away whoever has nothing to ask, and is drained when nobody is left. Messages that it holds go on
meanwhile. A stop takes the same way and goes on to close the listener, to start no more tries, and to leave.
``docs/design/operation.md`` has the table.

Times are µs on the loop's clock.
"""

from __future__ import annotations

from enum import Enum

# From the call or the signal on:
PART_AT = 450_000  # connections that were dealt out before the first no came in so far
STOP_ACCEPTING_AT = 1_000_000  # for requests that crossed a close and are sent again
STOP_SENDING_AT = 3_000_000  # tries still go out
LEAVE_AT = 3_500_000  # the rest stays in the journal
LOOK_EVERY = 50_000
# The same where an heir takes the clients that come:
HAND_PART_AT = 1_200_000  # kept connections have most likely had a request by now, and were closed with its answer


class State(Enum):
    SERVING = "serving"
    TELLING = "telling"
    CLOSING = "closing"
    DRAINED = "drained"
    HANDING = "handing"
    STOP_TELLING = "stop_telling"
    STOP_CLOSING = "stop_closing"
    STOP_FINISHING = "stop_finishing"
    LEFT = "left"


class Order(Enum):
    """What the daemon is to do."""

    PART = "part"  # close the client connections that have nothing to ask
    STOP_ACCEPTING = "stop_accepting"  # listen no more
    RELEASE = "release"  # let go of messages that wait: the heir has them
    STOP_SENDING = "stop_sending"  # start no more tries
    LEAVE = "leave"  # end the process


DRAINING = (State.TELLING, State.CLOSING, State.DRAINED)
STOPPING = (State.HANDING, State.STOP_TELLING, State.STOP_CLOSING, State.STOP_FINISHING, State.LEFT)


class Lifecycle:
    """Where the relay stands. ``state`` is for readers only."""

    def __init__(self) -> None:
        self.state = State.SERVING
        self._since = 0  # when the way to the present state began: a drain or a stop
        self._sending_stopped = self._accepting_stopped = False

    @property
    def serving(self) -> bool:
        """Are clients taken, and does a connection stay open behind its answer?"""
        return self.state is State.SERVING

    @property
    def ready(self) -> bool:
        """Does the front get a yes? Also on kept connections while an heir takes the new ones."""
        return self.state in (State.SERVING, State.HANDING)

    @property
    def stopping(self) -> bool:
        return self.state in STOPPING

    def quiesce(self, now: int) -> None:
        """Drain; nothing where that is under way."""
        if self.state is State.SERVING:
            self.state, self._since = State.TELLING, now

    def resume(self) -> bool:
        """Serve again; False where the process is on its way out."""
        if self.stopping:
            return False
        self.state = State.SERVING
        return True

    def stop(self, now: int, heir: bool = False) -> None:
        """Take the way out; from a drain that has told no for long enough there is nothing to wait for.

        ``heir``: another process of this relay is ready to take the clients.
        """
        if self.stopping:
            return
        if heir:
            self.state, self._since = State.HANDING, now
            return
        told = self.state in (State.CLOSING, State.DRAINED)
        self.state, self._since = State.STOP_CLOSING if told else State.STOP_TELLING, now

    def look(self, now: int, clients: int, working: bool) -> list[Order]:
        """What is due; to be called every LOOK_EVERY while not serving, and after each call above.

        ``clients``: their connections that are open; ``working``: held messages that this process can still end.
        """
        past = now - self._since
        if self.state is State.TELLING and past >= PART_AT:
            self.state = State.CLOSING
        if self.state is State.CLOSING and not clients:
            self.state = State.DRAINED
        if self.state in (State.CLOSING, State.DRAINED) and clients:
            return [Order.PART]  # drained stays so: the front still asks for readiness, on short connections
        if not self.stopping:
            return []
        orders = []
        if self.state is State.HANDING:
            if not self._accepting_stopped:
                self._accepting_stopped = True
                orders.append(Order.STOP_ACCEPTING)
            if past >= HAND_PART_AT:
                orders.append(Order.PART)
            if past >= LEAVE_AT or not (working or clients or Order.STOP_ACCEPTING in orders):
                self.state = State.LEFT
                orders.append(Order.LEAVE)
            elif Order.STOP_ACCEPTING not in orders:
                orders.append(Order.RELEASE)
            return orders
        if self.state is State.STOP_TELLING and past >= PART_AT:
            self.state = State.STOP_CLOSING
        if self.state is State.STOP_CLOSING and past >= STOP_ACCEPTING_AT:
            self.state = State.STOP_FINISHING
            orders.append(Order.STOP_ACCEPTING)
        if self.state in (State.STOP_CLOSING, State.STOP_FINISHING):
            orders.append(Order.PART)
        if self.state is State.STOP_FINISHING:
            if past >= STOP_SENDING_AT and not self._sending_stopped:
                self._sending_stopped = True
                orders.append(Order.STOP_SENDING)
            # Guards against a request that came in the instant in which its connection was to be closed, or that comes
            # in pieces: the exit would reset it unread, and an answer that the client has not read yet with it.
            if past >= LEAVE_AT or not (working or clients or Order.STOP_ACCEPTING in orders):
                self.state = State.LEFT
                orders.append(Order.LEAVE)
        return orders
