"""Start, signals, exit code, and the counters at the exit."""

from __future__ import annotations

import gc
import os
import signal
import sys
import time
from collections.abc import Callable
from dataclasses import fields, replace

import structlog
from twisted.internet import reactor
from twisted.internet.error import CannotListenError

from lynxscale.relay import components as parts
from lynxscale.relay import logs
from lynxscale.relay.conf import platform, reader
from lynxscale.relay.conf import product_settings as own_conf
from lynxscale.relay.conf.table import Conf
from lynxscale.relay.core import Relay
from lynxscale.relay.counters import Counters
from lynxscale.relay.deadlines import Deadline, Deadlines, Loop
from lynxscale.relay.journal import Entry, Journal, JournalFull, old
from lynxscale.relay.journal.format import Refused
from lynxscale.relay.journal.port import Folder
from lynxscale.relay.lifecycle import LOOK_EVERY, Lifecycle, Order
from lynxscale.relay.net import connection as link
from lynxscale.relay.net.clients import Clients
from lynxscale.relay.net.peers import Peers
from lynxscale.relay.upgrade.folders import Claim, sweep
from lynxscale.relay.upgrade.handover import Handover
from lynxscale.relay.upstream.group import FILES, SOURCES, Group
from lynxscale.relay.upstream.validation import Teller
from lynxscale.relay.wall_clock import unix_clock

log = structlog.get_logger()

LOCK_FOR = 5.0  # seconds to wait for a process that has it
OWN_SOCKETS = 32  # discovery, notices, the journal's files, the loop's own, the standard streams
EASY_SHARE = 6  # with more than one in so many for clients, those at rest go
PEER_SHARE = 3  # one descriptor in so many is for peers at most
HALF_SHARE = 20  # one byte of memory in so many is for requests that are half sent
HEIR_SHARE = 0.5  # of the disk: where an heir may come its journal always has the rest
RESTART_KEYS = ("name", "listen", "admin", "state", "sockets", "disk_bytes", "settings")  # kept until a restart

SIGNALS = {signal.SIGTERM: "stop", signal.SIGINT: "stop", signal.SIGHUP: "reload", signal.SIGUSR1: "print_counters"}


class Program:
    """The core of one relay, and the parts round it. ``again`` reads the settings anew, with the reader's errors."""

    def __init__(self, conf: platform.Config, own: Conf, again: Callable[[], tuple[platform.Config, Conf]]) -> None:
        self.conf, self.own, self._again = conf, own, again
        self.counters = Counters()
        self.loop = Loop(reactor.callLater)
        self.deadlines = Deadlines(self.loop, reactor.callLater)
        self.claim = Claim(conf.state, None if conf.accept_fd is None else os.fstat(conf.accept_fd).st_ino)
        self.claim.wait(LOCK_FOR)
        unix = unix_clock(conf.state)
        self.journal = Journal(Folder(self.claim.path), conf.disk_bytes, unix)
        if conf.accept_fd is not None or self.claim.earlier:
            self.journal.plan.allot(HEIR_SHARE)
        self.lifecycle = Lifecycle()
        relay = self.relay = Relay(
            conf.settings, conf.seed, self.loop, self.deadlines, self.journal, self.counters, unix
        )
        self.loop.at_end = relay.turn
        order = SOURCES if own.members.precedence == FILES else SOURCES[::-1]
        group = relay.group = Group(
            conf.settings,
            self.deadlines,
            relay.put,
            lambda endpoint: self.peers.close_idle(endpoint, link.GONE),
            order,
            own.members.ramp,
        )
        self.peers = relay.tries = Peers(
            reactor,
            self.loop,
            self.deadlines,
            relay,
            group.address_of,
            0,
            group.per_call,
            group.route_of,
            group.takes,
        )
        teller = Teller(self.loop.now, lambda: relay.trace)
        self.parts = parts.attach(
            parts.Host(
                conf,
                own,
                reactor,
                self.loop,
                self.deadlines,
                self.counters,
                relay,
                group,
                teller,
                self.lifecycle,
                self.drain,
                self.resume,
            )
        )
        for part in self.parts:
            self.counters.attach(part.counters)
        self.clients = Clients(self.deadlines, relay, self.lifecycle, conf.memory_bytes // HALF_SHARE)
        self._share(1.0)
        self.handover = Handover(
            self.claim, relay, self.deadlines, self.counters, self._accept, self._share, group.name_of, group.number_of
        )
        self._looking: Deadline | None = None
        self._told_state = self.lifecycle.state
        self._traffic_every = own.log.traffic

    def _share(self, share: float) -> None:
        """Bound the descriptors: that share of them is this process's."""
        most = int(self.conf.sockets * share)
        peers = max(self.conf.settings.slots, most // PEER_SHARE)
        own = OWN_SOCKETS + sum(part.sockets for part in self.parts)
        self.peers.bound(peers)
        self.clients.bound(max(8, most - peers - own), most // EASY_SHARE)

    def _accept(self) -> None:
        if self.conf.accept_fd is None:
            self.clients.listen(reactor, self.conf.listen)
        else:
            self.clients.adopt(reactor, self.conf.accept_fd)

    def start(self, begun: int) -> None:
        """Ready only once all that an earlier process left open is taken over."""
        entries = self._open()
        for part in self.parts:
            part.start()
        self.relay.replay(entries)
        if not self.handover.waiting:
            self._accept()
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
        """Read the settings anew. What may change without a restart does, at once; a bad file changes nothing."""
        try:
            conf, own = self._again()
        except (platform.PlatformError, reader.ConfFaults) as error:
            log.error("not_reloaded", error=str(error))
            conf, own = self.conf, self.own  # parts still look at what they watch
            self._reload_parts(conf, own)
            return
        applied = self._reload_parts(conf, own)
        if conf.by_platform:
            kept = [key for key in RESTART_KEYS if getattr(conf, key) != getattr(self.conf, key)]
            log.info("reloaded", discovery="{}:{}".format(*conf.discovery), for_a_restart=" ".join(kept))
            self.conf = replace(self.conf, discovery=conf.discovery)
            return
        changed = [one.name for one in fields(Conf) if getattr(own, one.name) != getattr(self.own, one.name)]
        log.info(
            "reloaded",
            applied=" ".join(name for name in changed if name in applied),
            for_a_restart=" ".join(name for name in changed if name not in applied),
        )
        self.own = replace(self.own, **{name: getattr(own, name) for name in changed if name in applied})

    def _reload_parts(self, conf: platform.Config, own: Conf) -> set[str]:
        return {name for part in self.parts for name in part.reload(conf, own)}

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
        working = bool(len(self.relay.held) and (self.relay.sending or self.relay.out or len(self.relay.notices)))
        for order in self.lifecycle.look(self.loop.now(), self.clients.open(), working):
            if order is Order.PART:
                self.clients.part()
            elif order is Order.STOP_ACCEPTING:
                self.clients.stop_accepting()
                self.handover.let_go()
            elif order is Order.RELEASE:
                self.handover.release()
            elif order is Order.STOP_SENDING:
                self.relay.sending = False
            else:
                reactor.stop()
                return
        if self.lifecycle.state is not before:
            self._told_state = self.lifecycle.state
            log.info(
                "lifecycle",
                state=self._told_state.value,
                before=before.value,
                open=len(self.relay.held),
                clients=self.clients.open(),
            )
        if not self.lifecycle.serving:
            self._looking = self.deadlines.after(LOOK_EVERY, self._look)

    def leave(self) -> None:
        self.peers.stop()
        for part in reversed(self.parts):
            part.stop()
        self.print_counters()
        log.info("ended", left=len(self.relay.held))
        self.journal.close()

    def _tell_traffic(self) -> None:
        for event, row in self.relay.traffic():
            log.info(event, **row)
        self.deadlines.after(self._traffic_every, self._tell_traffic)

    def print_counters(self) -> None:
        for group, row in self.counters.table().items():
            log.info("counters", group=group, **row)


def _settings(conf_path: str | None, again: bool = False) -> tuple[platform.Config, Conf]:
    """The platform's word where there is a platform, else the file's."""
    own = reader.from_environment(path=conf_path)
    if own.relay.listen is not None and not os.environ.get("NODE_CONFIG"):
        return own_conf.load(own), own
    return platform.load(again=again), own


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
        conf, own = _settings(conf_path)
        logs.configure(own.log)
        program = Program(conf, own, lambda: _settings(conf_path, again=True))
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
