"""One node without sockets, disk or clock: failure detector and view agreement; frames in, instructions out.

The same code runs in production behind ``driver`` and in the simulation of ``lab/cluster``. The caller executes the
instructions in order, passes a ``SendViewMessage`` addressed to the node itself back to ``receive_own``, and calls
``state_persisted`` once the state of a ``PersistState`` is on disk, before it sends the messages that depend on it.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping

from lynxscale.relay.cluster import frame
from lynxscale.relay.cluster.exceptions import FrameError
from lynxscale.relay.cluster.failure_detector import FailureDetector
from lynxscale.relay.cluster.frame import Exchange, Message, ReplayWindow
from lynxscale.relay.cluster.instructions import DetectorInstruction, LogEvent, ViewInstruction
from lynxscale.relay.cluster.membership_table import Identity, MemberUpdate
from lynxscale.relay.cluster.messages import DurableState, View, ViewMessage
from lynxscale.relay.cluster.timing import DetectorTiming, ViewTiming
from lynxscale.relay.cluster.view_change import ViewAgreement

MAX_REPLAY_WINDOWS = 4  # per node: one for each recent process under its name


class Core:
    """One node's state machines. ``dropped_frames`` counts the frames that had no effect, by reason."""

    def __init__(
        self,
        me: Identity,
        names: Iterable[str],
        seed: str,
        now: int,
        durable: DurableState | None,
        timing: DetectorTiming | None = None,
        view_timing: ViewTiming | None = None,
        settings: Mapping[str, int] | None = None,
    ) -> None:
        self.detector = FailureDetector(me, names, seed, now, timing)
        self.agreement = ViewAgreement(
            me, names, seed, now, durable, self.detector.membership, self.detector.last_answered, view_timing
        )
        self.dropped_frames: Counter[str] = Counter()
        self.settings = dict(settings or {})  # digests of the settings on which all nodes have to agree, by group
        self.differing_settings: dict[str, tuple[str, ...]] = {}  # by node: groups of settings that differ from ours
        # By node: time of its last exchange, and the states of the nodes that it reported.
        self.states_seen_by: dict[str, tuple[int, dict[str, str]]] = {}
        self._write_count = self.agreement.durable.write_count  # write count of the state on disk
        self._installed_view: View | None = None  # the last view passed to the detector
        self._number = 0
        self._replay_windows: dict[str, dict[int, ReplayWindow]] = {}

    @property
    def me(self) -> Identity:
        """This process."""
        return self.detector.me

    def next_deadline(self) -> int:
        """Latest time (µs) at which ``tick`` has to be called."""
        return min(self.detector.next_deadline(), self.agreement.next_deadline())

    def tick(self, now: int) -> list[DetectorInstruction | ViewInstruction]:
        """Run everything that is due."""
        instructions: list[DetectorInstruction | ViewInstruction] = []
        if now >= self.detector.next_deadline():
            instructions += self._forward_changes(now, self.detector.tick(now))
        if now >= self.agreement.next_deadline():
            instructions += self.agreement.tick(now)
        return instructions + self._install_view(now)

    def _install_view(self, now: int) -> list[DetectorInstruction | ViewInstruction]:
        """Pass a new view's members to the detector. Otherwise, once all nodes that knew a member have restarted, a
        process of a lower generation could be taken for it."""
        view = self.agreement.view
        if view is None or view is self._installed_view:
            return []
        self._installed_view = view
        return [*self.detector.view_installed(now, view.members)]

    def receive(self, now: int, message: Message, inbound: bool) -> list[DetectorInstruction | ViewInstruction]:
        """Process a decoded frame. ``inbound``: sent to this node's address, not as an answer on our connection."""
        name, detector, agreement = message.sender, self.detector, self.agreement
        if name not in detector.membership.names or name == self.me.name:
            self.dropped_frames["own_name" if name == self.me.name else "unknown"] += 1
            return []
        if not self._is_new_frame(name, message.boot, message.number):
            self.dropped_frames["replayed"] += 1
            return []
        instructions = self._forward_changes(now, detector.receive(now, message, inbound))
        record, identity = detector.membership.get(name), Identity(name, message.generation, message.boot)
        if record is None or record.update.identity != identity:
            # A process that sends under a node's name but does not answer at the node's address has no effect.
            self.dropped_frames["unreached"] += 1
            return instructions
        instructions += agreement.peer_view_seen(now, name, message.view, message.write_count)
        body = message.body
        if isinstance(body, Exchange):
            instructions += agreement.receive_exchange(now, name, body.view, body.write_counts)
            self.states_seen_by[name] = now, {update.name: update.state.name.lower() for update in message.updates}
            instructions += self._compare_settings(name, body.settings)
        elif isinstance(body, frame.ViewBody):
            try:
                instructions += agreement.receive(now, name, identity, body.read())
            except FrameError as error:
                self.dropped_frames[error.reason] += 1
        return instructions + self._install_view(now)

    def _compare_settings(self, name: str, theirs: Mapping[str, int]) -> list[DetectorInstruction | ViewInstruction]:
        """Log each difference once. Differences are allowed, as files are edited one after the other."""
        groups = tuple(
            sorted(group for group in set(theirs) | set(self.settings) if theirs.get(group) != self.settings.get(group))
        )
        if groups == self.differing_settings.get(name, ()):
            return []
        self.differing_settings[name] = groups
        return [LogEvent("differs", {"node": name, "settings": " ".join(groups) or "none"})]

    def _forward_changes(
        self, now: int, instructions: list[DetectorInstruction]
    ) -> list[DetectorInstruction | ViewInstruction]:
        """Return the detector's instructions; notify view agreement if a node's state has changed."""
        if any(isinstance(one, LogEvent) and one.event == "node" for one in instructions):
            self.agreement.membership_changed(now)
        return [*instructions]

    def _is_new_frame(self, name: str, boot: int, number: int) -> bool:
        windows = self._replay_windows.setdefault(name, {})
        if boot not in windows:
            if len(windows) >= MAX_REPLAY_WINDOWS:
                del windows[next(iter(windows))]
            windows[boot] = ReplayWindow()
        return windows[boot].accept(number)

    def receive_own(self, now: int, message: ViewMessage) -> list[ViewInstruction]:
        """Process a message of this node to itself."""
        return self.agreement.receive(now, self.me.name, self.me, message)

    def state_persisted(self, durable: DurableState) -> None:
        """Record that this state is on disk; later messages carry its write count."""
        self._write_count = max(self._write_count, durable.write_count)

    def message(self, body: frame.Body, updates: Iterable[MemberUpdate] = ()) -> Message:
        """Build a message to send, with a new frame number, by which receivers reject replayed frames."""
        detector = self.detector
        self._number += 1
        return Message(
            *detector.me,
            detector.incarnation,
            self._number,
            detector.slow,
            self.agreement.number,
            self._write_count,
            body,
            list(updates),
        )

    def full_state(self, answer: bool) -> Message:
        """The exchange message: view, write counts, settings and the full membership table."""
        write_counts = self.agreement.write_counts | {self.me.name: self._write_count}
        return self.message(
            Exchange(answer, self.agreement.view, write_counts, self.settings), self.detector.full_state()
        )

    def exchange_finished(self, now: int, failed: bool) -> list[DetectorInstruction | ViewInstruction]:
        """Handle the end of an exchange that this node started."""
        return [*self.detector.exchange_finished(now, failed)]

    def renew(self, now: int, generation: int) -> list[DetectorInstruction | ViewInstruction]:
        """Start a later generation of this process; ``generation`` is already on disk."""
        return [*self.detector.renew(now, generation), *self.agreement.renew(now, self.detector.me)]

    def reconfigure(self, now: int, names: Iterable[str]) -> list[DetectorInstruction | ViewInstruction]:
        """Apply a changed configuration; ``names`` are its nodes."""
        names = set(names)
        for table in (self._replay_windows, self.differing_settings, self.states_seen_by):
            for name in set(table) - names:
                del table[name]
        return [*self.detector.reconfigure(now, names), *self.agreement.reconfigure(now, names)]

    def leave(self, now: int) -> list[DetectorInstruction | ViewInstruction]:
        """Graceful shutdown: leave the membership and release leases."""
        return [*self.agreement.leave(now), *self.detector.leave(now)]
