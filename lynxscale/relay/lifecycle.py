"""From serving to drained or stopped, and back: one state machine without I/O, for the admin server and SIGTERM alike.

The load balancer asks for readiness, and opens no more connections to this relay soon after the first "not ready";
those it has opened stay in use for as long as they are open. So a relay first reports that it is not ready and goes on
accepting what comes, then closes idle connections, and is drained when none is left. Its pending messages go on
meanwhile. A stop takes the same way and goes on to close the listener, to start no more attempts, and to exit.
``docs/design/operation.md`` has the table.

Times are µs on the loop's clock.
"""

from __future__ import annotations

from enum import Enum

# From the call or the signal on:
CLOSE_IDLE_AT = 450_000  # connections that were opened before the first "not ready" have arrived by now
STOP_ACCEPTING_AT = 1_000_000  # for requests that crossed a close and are sent again
STOP_SENDING_AT = 3_000_000  # attempts are started until then
EXIT_AT = 3_500_000  # what is left stays in the journal
CHECK_INTERVAL = 50_000
# The same where a successor accepts new clients: idle connections have most likely had a request by now, and were
# closed with its response.
HANDOVER_CLOSE_IDLE_AT = 1_200_000


class State(Enum):
    """Where the relay stands. The values stand in the admin server's responses and in the log."""

    SERVING = "serving"
    NOT_READY = "telling"  # draining: reports that it is not ready
    CLOSING_CLIENTS = "closing"  # draining: closes idle connections
    DRAINED = "drained"
    HANDING_OVER = "handing"  # stopping: a successor accepts new clients
    STOP_NOT_READY = "stop_telling"
    STOP_CLOSING_CLIENTS = "stop_closing"
    STOP_FINISHING = "stop_finishing"  # stopping: accepts no more, finishes what is pending
    EXITED = "left"


class LifecycleAction(Enum):
    """What the daemon must do."""

    CLOSE_IDLE_CLIENTS = "close_idle_clients"
    STOP_ACCEPTING = "stop_accepting"
    RELEASE = "release"  # release waiting messages to the successor
    STOP_SENDING = "stop_sending"  # start no more attempts
    EXIT = "exit"


DRAINING = (State.NOT_READY, State.CLOSING_CLIENTS, State.DRAINED)
STOPPING = (State.HANDING_OVER, State.STOP_NOT_READY, State.STOP_CLOSING_CLIENTS, State.STOP_FINISHING, State.EXITED)


class Lifecycle:
    """The state machine; ``state`` is read-only for others."""

    def __init__(self) -> None:
        self.state = State.SERVING
        self._since = 0  # when the drain or the stop began
        self._sending_stopped = self._accepting_stopped = False

    @property
    def serving(self) -> bool:
        """Are clients accepted, and does a connection stay open after its response?"""
        return self.state is State.SERVING

    @property
    def ready(self) -> bool:
        """What the load balancer is told; also yes on open connections while a successor accepts the new ones."""
        return self.state in (State.SERVING, State.HANDING_OVER)

    @property
    def stopping(self) -> bool:
        """The process is about to exit, which cannot be undone."""
        return self.state in STOPPING

    def drain(self, now: int) -> None:
        """Begin to drain; nothing where that is under way, or the process is stopping."""
        if self.state is State.SERVING:
            self.state, self._since = State.NOT_READY, now

    def resume(self) -> bool:
        """Serve again; False where the process is stopping."""
        if self.stopping:
            return False
        self.state = State.SERVING
        return True

    def stop(self, now: int, successor: bool = False) -> None:
        """Begin to stop; from a drain that has closed idle connections there is nothing more to wait for.

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
        """What is due now; to be called every CHECK_INTERVAL while not serving, and after each call above.

        ``clients``: their open connections; ``working``: there are pending messages that this process can still end.
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
        if self.state is State.NOT_READY and elapsed >= CLOSE_IDLE_AT:
            self.state = State.CLOSING_CLIENTS
        if self.state is State.CLOSING_CLIENTS and not clients:
            self.state = State.DRAINED
        if self.state in (State.CLOSING_CLIENTS, State.DRAINED) and clients:
            # Drained stays so: the load balancer still asks for readiness, on short connections.
            return [LifecycleAction.CLOSE_IDLE_CLIENTS]
        return []

    def _advance_handover(self, elapsed: int, clients: int, working: bool) -> list[LifecycleAction]:
        actions = []
        if not self._accepting_stopped:
            self._accepting_stopped = True
            actions.append(LifecycleAction.STOP_ACCEPTING)
        if elapsed >= HANDOVER_CLOSE_IDLE_AT:
            actions.append(LifecycleAction.CLOSE_IDLE_CLIENTS)
        if self._can_exit(elapsed, clients, working, actions):
            self.state = State.EXITED
            actions.append(LifecycleAction.EXIT)
        elif LifecycleAction.STOP_ACCEPTING not in actions:
            actions.append(LifecycleAction.RELEASE)
        return actions

    def _advance_stop(self, elapsed: int, clients: int, working: bool) -> list[LifecycleAction]:
        actions = []
        if self.state is State.STOP_NOT_READY and elapsed >= CLOSE_IDLE_AT:
            self.state = State.STOP_CLOSING_CLIENTS
        if self.state is State.STOP_CLOSING_CLIENTS and elapsed >= STOP_ACCEPTING_AT:
            self.state = State.STOP_FINISHING
            actions.append(LifecycleAction.STOP_ACCEPTING)
        if self.state in (State.STOP_CLOSING_CLIENTS, State.STOP_FINISHING):
            actions.append(LifecycleAction.CLOSE_IDLE_CLIENTS)
        if self.state is State.STOP_FINISHING:
            if elapsed >= STOP_SENDING_AT and not self._sending_stopped:
                self._sending_stopped = True
                actions.append(LifecycleAction.STOP_SENDING)
            if self._can_exit(elapsed, clients, working, actions):
                self.state = State.EXITED
                actions.append(LifecycleAction.EXIT)
        return actions

    @staticmethod
    def _can_exit(elapsed: int, clients: int, working: bool, actions: list[LifecycleAction]) -> bool:
        """Nothing is left to do, or no time.

        Guards against a request that came in the instant in which its connection was to be closed, or that comes in
        pieces: the exit would reset it unread, and a response that the client has not read yet with it.
        """
        return elapsed >= EXIT_AT or not (working or clients or LifecycleAction.STOP_ACCEPTING in actions)
