"""State machine for draining and stopping a relay, used by the admin server and on SIGTERM. Does no I/O.

The load balancer polls for readiness. Soon after the first "not ready" it opens no more connections to this relay, but
it keeps using those that are open. So a relay first reports that it is not ready while it still accepts connections,
then closes idle connections, and is drained when none is left. Pending messages are processed meanwhile. A stop takes
the same steps, then closes the listener, starts no more attempts, and exits. ``docs/design/operation.md`` has the
table.

Times are µs on the loop's clock.
"""

from __future__ import annotations

from enum import Enum

# Times since the operator's call or the signal:
CLOSE_IDLE_AT_US = 450_000  # connections that were opened before the first "not ready" have arrived by then
STOP_ACCEPTING_AT_US = 1_000_000  # leaves time for clients to resend requests that crossed the close of a connection
STOP_SENDING_AT_US = 3_000_000  # no attempt starts later
EXIT_AT_US = 3_500_000  # messages still pending stay in the journal
CHECK_INTERVAL_US = 50_000
# With a successor, idle connections are closed later: most have had another request by then, and were closed after its
# response.
HANDOVER_CLOSE_IDLE_AT_US = 1_200_000


class State(Enum):
    """The state of the relay. The values appear in the admin server's responses and in the log."""

    SERVING = "serving"
    NOT_READY = "telling"  # draining: reports not ready, still accepts connections
    CLOSING_CLIENTS = "closing"  # draining: closes idle connections
    DRAINED = "drained"
    HANDING_OVER = "handing"  # stopping: a successor accepts new clients
    STOP_NOT_READY = "stop_telling"
    STOP_CLOSING_CLIENTS = "stop_closing"
    STOP_FINISHING = "stop_finishing"  # stopping: the listener is closed, pending messages are finished
    EXITED = "left"


class LifecycleAction(Enum):
    """An action for the daemon to carry out."""

    CLOSE_IDLE_CLIENTS = "close_idle_clients"
    STOP_ACCEPTING = "stop_accepting"
    RELEASE = "release"  # release waiting messages to the successor
    STOP_SENDING = "stop_sending"  # start no further attempts
    EXIT = "exit"


DRAINING = (State.NOT_READY, State.CLOSING_CLIENTS, State.DRAINED)
STOPPING = (State.HANDING_OVER, State.STOP_NOT_READY, State.STOP_CLOSING_CLIENTS, State.STOP_FINISHING, State.EXITED)


class Lifecycle:
    """The state machine. Other objects must not set ``state``."""

    def __init__(self) -> None:
        self.state = State.SERVING
        self._since = 0  # start time of the drain or the stop
        self._sending_stopped = self._accepting_stopped = False

    @property
    def serving(self) -> bool:
        """True if connections stay open after a response, as neither a drain nor a stop is in progress."""
        return self.state is State.SERVING

    @property
    def ready(self) -> bool:
        """The readiness reported to the load balancer; still true while a successor accepts the new connections."""
        return self.state in (State.SERVING, State.HANDING_OVER)

    @property
    def stopping(self) -> bool:
        """True once a stop has begun, which cannot be undone."""
        return self.state in STOPPING

    def drain(self, now: int) -> None:
        """Begin to drain, unless a drain or a stop is already in progress."""
        if self.state is State.SERVING:
            self.state, self._since = State.NOT_READY, now

    def resume(self) -> bool:
        """Serve again; False if the process is stopping."""
        if self.stopping:
            return False
        self.state = State.SERVING
        return True

    def stop(self, now: int, successor: bool = False) -> None:
        """Begin to stop. After a drain that has begun to close idle connections, the not-ready phase is skipped.

        ``successor``: another process of this relay is ready to accept the clients.
        """
        if self.stopping:
            return
        if successor:
            self.state, self._since = State.HANDING_OVER, now
            return
        not_ready_long_enough = self.state in (State.CLOSING_CLIENTS, State.DRAINED)
        self.state = State.STOP_CLOSING_CLIENTS if not_ready_long_enough else State.STOP_NOT_READY
        self._since = now

    def advance(self, now: int, clients: int, working: bool) -> list[LifecycleAction]:
        """The actions that are due now. Call this every CHECK_INTERVAL_US while not serving, and after each call above.

        ``clients``: the number of open client connections; ``working``: this process has pending messages that it can
        still end.
        """
        elapsed = now - self._since
        if self.state in DRAINING:
            return self._advance_drain(elapsed, clients)
        if self.state is State.HANDING_OVER:
            return self._advance_handover(elapsed, clients, working)
        if self.stopping:
            return self._advance_stop(elapsed, clients, working)
        return []

    def _advance_drain(self, elapsed: int, clients: int) -> list[LifecycleAction]:
        if self.state is State.NOT_READY and elapsed >= CLOSE_IDLE_AT_US:
            self.state = State.CLOSING_CLIENTS
        if self.state is State.CLOSING_CLIENTS and not clients:
            self.state = State.DRAINED
        if self.state in (State.CLOSING_CLIENTS, State.DRAINED) and clients:
            # The state stays DRAINED: these are short connections of the load balancer's readiness checks.
            return [LifecycleAction.CLOSE_IDLE_CLIENTS]
        return []

    def _advance_handover(self, elapsed: int, clients: int, working: bool) -> list[LifecycleAction]:
        actions = []
        if not self._accepting_stopped:
            self._accepting_stopped = True
            actions.append(LifecycleAction.STOP_ACCEPTING)
        if elapsed >= HANDOVER_CLOSE_IDLE_AT_US:
            actions.append(LifecycleAction.CLOSE_IDLE_CLIENTS)
        if self._can_exit(elapsed, clients, working, actions):
            self.state = State.EXITED
            actions.append(LifecycleAction.EXIT)
        elif LifecycleAction.STOP_ACCEPTING not in actions:
            actions.append(LifecycleAction.RELEASE)
        return actions

    def _advance_stop(self, elapsed: int, clients: int, working: bool) -> list[LifecycleAction]:
        actions = []
        if self.state is State.STOP_NOT_READY and elapsed >= CLOSE_IDLE_AT_US:
            self.state = State.STOP_CLOSING_CLIENTS
        if self.state is State.STOP_CLOSING_CLIENTS and elapsed >= STOP_ACCEPTING_AT_US:
            self.state = State.STOP_FINISHING
            actions.append(LifecycleAction.STOP_ACCEPTING)
        if self.state in (State.STOP_CLOSING_CLIENTS, State.STOP_FINISHING):
            actions.append(LifecycleAction.CLOSE_IDLE_CLIENTS)
        if self.state is State.STOP_FINISHING:
            if elapsed >= STOP_SENDING_AT_US and not self._sending_stopped:
                self._sending_stopped = True
                actions.append(LifecycleAction.STOP_SENDING)
            if self._can_exit(elapsed, clients, working, actions):
                self.state = State.EXITED
                actions.append(LifecycleAction.EXIT)
        return actions

    @staticmethod
    def _can_exit(elapsed: int, clients: int, working: bool, actions: list[LifecycleAction]) -> bool:
        """True if nothing is left to do, or the time is up.

        Open connections delay the exit: one may hold a request that arrived just before its close or is still
        incomplete, or a response that the client has not read yet. The exit would reset it.
        """
        return elapsed >= EXIT_AT_US or not (working or clients or LifecycleAction.STOP_ACCEPTING in actions)
