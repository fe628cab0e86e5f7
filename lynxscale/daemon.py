"""Start, signals, exit code, and the counters at the exit."""

from __future__ import annotations

import gc
import os
import signal
import sys
import time
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING

import structlog
from twisted.internet import reactor
from twisted.internet.error import CannotListenError

from lynxscale import logs
from lynxscale.conf import own as own_conf
from lynxscale.conf import platform, reader
from lynxscale.conf.table import Conf
from lynxscale.counters import Counters
from lynxscale.deadlines import Deadline, Deadlines, Loop
from lynxscale.journal import Entry, Journal, JournalFull, old
from lynxscale.journal.format import Refused
from lynxscale.journal.port import Folder
from lynxscale.lifecycle import LOOK_EVERY, Lifecycle, Order
from lynxscale.membership.group import DISCOVERY, FILES, SOURCES, Group
from lynxscale.membership.verdicts import Teller
from lynxscale.net import door, link
from lynxscale.net.clients import Clients
from lynxscale.net.discovery import Discovery
from lynxscale.net.door import Door
from lynxscale.net.notices import Notices
from lynxscale.net.peers import Peers
from lynxscale.relay import Relay
from lynxscale.upgrade.folders import Claim, sweep
from lynxscale.upgrade.handover import Handover

if TYPE_CHECKING:
    from lynxscale.finals import FinalsFile
    from lynxscale.membership.watch import Watch
    from lynxscale.trace.recorder import Recorder

log = structlog.get_logger()

LOCK_FOR = 5.0  # seconds to wait for a process that has it
OWN_SOCKETS = 32  # discovery, notices, the journal's files, the loop's own, the standard streams
EASY_SHARE = 6  # with more than one in so many for clients, those at rest go
PEER_SHARE = 3  # one descriptor in so many is for peers at most
HALF_SHARE = 20  # one byte of memory in so many is for requests that are half sent
HEIR_SHARE = 0.5  # of the disk: where an heir may come its journal always has the rest
RESTART_KEYS = ("name", "listen", "admin", "state", "sockets", "disk_bytes", "settings")  # kept until a restart

SIGNALS = {signal.SIGTERM: "stop", signal.SIGINT: "stop", signal.SIGHUP: "reload",
           signal.SIGUSR1: "print_counters"}


class Program:
    """The parts of one relay, wired together."""

    def __init__(self, conf: platform.Config, own: Conf) -> None:
        self.conf = conf
        self.counters = Counters()
        self.trace: Recorder | None = None
        self.loop = Loop(reactor.callLater)
        self.deadlines = Deadlines(self.loop, reactor.callLater)
        self.claim = Claim(conf.state, None if conf.accept_fd is None else os.fstat(conf.accept_fd).st_ino)
        self.claim.wait(LOCK_FOR)
        self.journal = Journal(Folder(self.claim.path), conf.disk_bytes, lambda: time.time_ns() // 1000)
        if conf.accept_fd is not None or self.claim.earlier:
            self.journal.plan.allot(HEIR_SHARE)
        self.lifecycle = Lifecycle()
        relay = self.relay = Relay(
            conf.settings, conf.seed, self.loop, self.deadlines, self.journal, self.counters
        )
        self.loop.at_end = relay.turn
        order = SOURCES if own.members.precedence == FILES else SOURCES[::-1]
        self.group = relay.group = Group(
            conf.settings, self.deadlines, relay.put, lambda endpoint: self.peers.close_idle(endpoint, link.GONE),
            order, own.members.ramp,
        )
        teller = Teller(self.loop.now, lambda: self.trace)
        self.discovery: Discovery | None = None
        if conf.discovery is not None:
            self.discovery = Discovery(reactor, self.deadlines, conf.discovery, self.group, self.counters,
                                       teller, pushed=not conf.settings.asks_for_members)
            self.group.add(DISCOVERY, self.discovery)
        self.watch = self._watch(own, teller) if own.members.files else None
        self.peers = relay.tries = Peers(
            reactor, self.loop, self.deadlines, relay, self.group.address_of, 0, self.group.per_call,
            self.group.route_of,
        )
        self.notices = relay.notices = self._notices(own)
        self.door: Door | None = None
        if conf.admin is not None:
            self.door = Door(self.deadlines, self.counters, self.lifecycle, self.drain, self.resume)
        self.clients = Clients(self.deadlines, relay, self.lifecycle, conf.memory_bytes // HALF_SHARE)
        self._share(1.0)
        self.handover = Handover(self.claim, relay, self.deadlines, self.counters, self._accept, self._share,
                                 self.group.name_of, self.group.number_of)
        if own.trace.folder is not None:
            relay.trace = self.trace = self._recorder(own)
        self._looking: Deadline | None = None
        self._told_state = self.lifecycle.state
        self._traffic_every = own.log.traffic

    def _share(self, share: float) -> None:
        """Bound the descriptors: that share of them is this process's."""
        most = int(self.conf.sockets * share)
        peers = max(self.conf.settings.slots, most // PEER_SHARE)
        own = OWN_SOCKETS + (door.MOST + 2 if self.door is not None else 0)
        self.peers.bound(peers)
        self.clients.bound(max(8, most - peers - own), most // EASY_SHARE)

    def _accept(self) -> None:
        if self.conf.accept_fd is None:
            self.clients.listen(reactor, self.conf.listen)
        else:
            self.clients.adopt(reactor, self.conf.accept_fd)

    def _recorder(self, own: Conf) -> Recorder:
        # Guards the memory of relays that record nothing: only here are the recorder's libraries imported.
        from lynxscale.trace.recorder import Recorder

        conf = self.conf
        return Recorder(own.trace, conf.settings, conf.name, conf.seed, self.group.name_of,
                        lambda event, **fields: log.warning(event, **fields), self.deadlines.after)

    def _watch(self, own: Conf, teller: Teller) -> Watch:
        # As above: only here are its libraries imported.
        from lynxscale.membership.rules import rules_of
        from lynxscale.membership.state import Lists
        from lynxscale.membership.watch import Watch

        settings = self.conf.settings
        watch = Watch(reactor, self.deadlines, own.members, rules_of(own.members, settings.kinds, settings.zones),
                      self.group, Lists(self.conf.state), teller, self.counters)
        self.group.add(FILES, watch)
        return watch

    def _notices(self, own: Conf) -> Notices | FinalsFile:
        done, finals = self.relay.notified, own.finals
        if own.relay.listen is not None and not self.conf.by_platform:
            if finals.file is not None:
                from lynxscale.finals import FinalsFile

                return FinalsFile(Path(finals.file), finals.size, finals.files, self.deadlines, done, self.counters,
                                  time.time)
            return Notices(reactor, self.deadlines, platform.address(finals.http, "http"), done, self.counters,
                           finals.path)
        return Notices(reactor, self.deadlines, self.conf.discovery, done, self.counters)

    def start(self, begun: int) -> None:
        """Ready only once all that an earlier process left open is taken over."""
        entries = self._open()
        if self.watch is not None:
            self.watch.start()
        if self.discovery is not None:
            self.discovery.begin(self.conf.known)
        self.relay.replay(entries)
        if not self.handover.waiting:
            self._accept()
        if self.door is not None:
            try:
                self.door.listen(reactor, self.conf.admin)
            except CannotListenError as error:
                raise platform.PlatformError(f"admin_addr (NODE_ADMIN_ADDR): {error}") from error
        self.relay.listens(begun)
        self.handover.begin()
        gc.freeze()
        gc.enable()
        if self._traffic_every:
            self.deadlines.after(self._traffic_every, self._tell_traffic)
        log.info("ready", name=self.conf.name, open=len(entries))

    def _open(self) -> list[Entry]:
        """What earlier processes left open, also those that kept one file; that goes once its messages are kept."""
        file = self.conf.state / old.NAME
        older = list(old.read(file.read_bytes())[0].values()) if file.is_file() else []
        sweep(self.conf.state)
        entries = self.journal.open(older)
        if file.is_file():
            file.unlink()  # before anything can end: else a message that has ended would be taken over again
        for gap in self.journal.gaps:
            log.error("journal_damaged", gap=str(gap))
        return entries

    # A new configuration ------------------------------------------------------------------------

    def reload(self) -> None:
        """Read the file anew. What may change without a restart does, at once; a bad file changes nothing."""
        if self.watch is not None:
            self.watch.poke()
        if not self.conf.by_platform:
            log.info("reloaded", lists="looked at", for_a_restart="all else")
            return
        try:
            conf = platform.load(again=True)
        except platform.PlatformError as error:
            log.error("not_reloaded", error=str(error))
            return
        if conf.discovery != self.conf.discovery:
            self.discovery.move(conf.discovery)
            self.notices.move(conf.discovery)
        kept = [key for key in RESTART_KEYS if getattr(conf, key) != getattr(self.conf, key)]
        log.info("reloaded", discovery="{}:{}".format(*conf.discovery), for_a_restart=" ".join(kept))
        self.conf = replace(self.conf, discovery=conf.discovery)

    # Drain and stop ------------------------------------------------------------------------------

    def drain(self) -> None:
        """An operator wants this relay to get no more clients."""
        self.lifecycle.quiesce(self.loop.now())
        self._look()

    def resume(self) -> bool:
        """An operator wants it back."""
        resumed = self.lifecycle.resume()
        self._look()
        return resumed

    def stop(self) -> None:
        if not self.lifecycle.stopping:
            log.info("stopping", open=len(self.relay.held))
        self.lifecycle.stop(self.loop.now(), self.handover.has_heir())
        self._look()

    def _look(self) -> None:
        """Carry out what the way to drained or out asks for by now."""
        self.deadlines.cancel(self._looking)
        before = self._told_state
        working = bool(len(self.relay.held) and (self.relay.sending or self.relay.out or len(self.notices)))
        for order in self.lifecycle.look(self.loop.now(), self.clients.open(), working):
            if order is Order.PART:
                self.clients.part()
            elif order is Order.DEAF:
                self.clients.stop_accepting()
                self.handover.let_go()
            elif order is Order.RELEASE:
                self.handover.release()
            elif order is Order.MUTE:
                self.relay.sending = False
            else:
                reactor.stop()
                return
        if self.lifecycle.state is not before:
            self._told_state = self.lifecycle.state
            log.info("lifecycle", state=self._told_state.value, before=before.value, open=len(self.relay.held),
                     clients=self.clients.open())
        if not self.lifecycle.serving:
            self._looking = self.deadlines.after(LOOK_EVERY, self._look)

    def leave(self) -> None:
        if self.door is not None:
            self.door.stop()
        for source in (self.discovery, self.watch):
            if source is not None:
                source.stop()
        self.peers.stop()
        self.notices.stop()
        self.print_counters()
        if self.trace is not None:
            self.trace.stop(self.loop.now(), len(self.relay.held))
        log.info("ended", left=len(self.relay.held))
        self.journal.close()

    def _tell_traffic(self) -> None:
        for event, fields in self.relay.traffic():
            log.info(event, **fields)
        self.deadlines.after(self._traffic_every, self._tell_traffic)

    def print_counters(self) -> None:
        for group, row in self.counters.table().items():
            log.info("counters", group=group, **row)


def _settings(own: Conf) -> platform.Config:
    """The platform's word where there is a platform, else the file's."""
    if own.relay.listen is not None and not os.environ.get("NODE_CONFIG"):
        return own_conf.load(own)
    return platform.load()


def main(conf_path: str | None = None, begun: int | None = None) -> int:
    """Run one relay until it is told to stop; the exit code: 0, 1 where it cannot start, 2 for settings.

    ``begun``: when the process began to start, in µs of the monotonic clock.
    """
    begun = time.monotonic_ns() // 1000 if begun is None else begun
    # Guards against a stepped wall clock, by which the loop would keep its timers: they would stand still.
    reactor.seconds = time.monotonic
    program: Program | None = None

    def on_signal(name: str) -> None:
        # Signals come between two instructions of anything, also while the parts are made: only a call from
        # the loop may touch them.
        reactor.callFromThread(lambda: getattr(program, name)())

    for number, name in SIGNALS.items():
        signal.signal(number, lambda *_, name=name: on_signal(name))
    try:
        own = reader.from_environment(path=conf_path)
        logs.configure(own.log)
        program = Program(_settings(own), own)
    except (platform.PlatformError, reader.ConfFaults) as error:
        print(f"lynxscale: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"lynxscale: cannot start: {error}", file=sys.stderr)
        return 1
    try:
        program.start(begun)
    except platform.PlatformError as error:
        print(f"lynxscale: {error}", file=sys.stderr)
        return 2
    except (OSError, CannotListenError, JournalFull, Refused) as error:
        print(f"lynxscale: cannot start: {error}", file=sys.stderr)
        return 1
    reactor.addSystemEventTrigger("after", "shutdown", program.leave)
    reactor.run(installSignalHandlers=False)
    return 0

