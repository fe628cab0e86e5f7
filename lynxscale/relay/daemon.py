"""The daemon's process: start, signals, reload, graceful shutdown and the exit code."""

from __future__ import annotations

import gc
import os
import signal
import sys
import time
from collections.abc import Callable
from dataclasses import fields, replace
from typing import Any

import structlog
from twisted.internet import reactor as twisted_reactor
from twisted.internet.error import CannotListenError

from lynxscale.relay import logs
from lynxscale.relay.components import Component, ComponentContext, build_components
from lynxscale.relay.conf import platform, product_settings, reader
from lynxscale.relay.conf.settings import Conf
from lynxscale.relay.core import Relay
from lynxscale.relay.counters import Counters
from lynxscale.relay.deadlines import Deadline, Deadlines, Loop
from lynxscale.relay.exceptions import JournalFormatError, JournalFullError
from lynxscale.relay.journal import Entry, Journal
from lynxscale.relay.journal.legacy_format import FILE_NAME, read_legacy_journal
from lynxscale.relay.journal.storage import FolderStorage
from lynxscale.relay.lifecycle import CHECK_INTERVAL, Lifecycle, LifecycleAction
from lynxscale.relay.net.clients import Clients
from lynxscale.relay.net.close_reason import CloseReason
from lynxscale.relay.net.peers import Peers
from lynxscale.relay.upgrade.handover import Handover
from lynxscale.relay.upgrade.journal_folders import Claim, remove_leftovers
from lynxscale.relay.upstream.group import FILES, SOURCES, Group
from lynxscale.relay.upstream.verdict_reporter import VerdictReporter
from lynxscale.relay.wall_clock import unix_clock

log = structlog.get_logger()

reactor: Any = twisted_reactor  # its methods are those of whichever reactor is installed

LOCK_TIMEOUT_S = 5.0  # to wait for a process that holds the state folder
RESERVED_SOCKETS = 32  # discovery, notices, the journal's files, the loop's own, the standard streams
MIN_CLIENTS = 8  # connections, whatever the other limits leave
# One in so many of the descriptors: with more clients than that, long idle ones are evicted; peers at most.
IDLE_LIMIT_FRACTION, PEER_FRACTION = 6, 3
BUFFER_FRACTION = 20  # one in so many bytes of memory is for incomplete requests
SUCCESSOR_JOURNAL_SHARE = 0.5  # of the disk: where a successor may come its journal always has the rest
RESTART_KEYS = ("name", "listen", "admin", "state", "sockets", "disk_bytes", "settings")  # in force after a restart

SIGNALS = {signal.SIGTERM: "stop", signal.SIGINT: "stop", signal.SIGHUP: "reload", signal.SIGUSR1: "print_counters"}


class Daemon:
    """The core of one relay, and the components around it.

    ``conf`` is the configuration in force, ``product`` the settings file of lynxscale itself; ``reread`` reads both
    anew, with the reader's errors. Raises OSError where the state folder is not to be had.
    """

    def __init__(
        self, conf: platform.Config, product: Conf, reread: Callable[[], tuple[platform.Config, Conf]]
    ) -> None:
        self.conf, self.product, self._reread = conf, product, reread
        self.counters = Counters()
        self.loop = Loop(reactor.callLater)
        self.deadlines = Deadlines(self.loop, reactor.callLater)
        self.claim = Claim(conf.state, None if conf.accept_fd is None else os.fstat(conf.accept_fd).st_ino)
        self.claim.wait(LOCK_TIMEOUT_S)
        unix = unix_clock(conf.state)
        self.journal = Journal(FolderStorage(self.claim.path), conf.disk_bytes, unix)
        if conf.accept_fd is not None or self.claim.earlier:
            self.journal.plan.limit_to_share(SUCCESSOR_JOURNAL_SHARE)
        self.lifecycle = Lifecycle()
        self.relay = Relay(conf.settings, conf.seed, self.loop, self.deadlines, self.journal, self.counters, unix)
        self.loop.at_end = self.relay.turn
        group = self.relay.group = self._create_group()
        self.peers = self.relay.peers = self._create_peers(group)
        self.components = self._create_components(group)
        for component in self.components:
            self.counters.attach(component.counters)
        self.clients = Clients(self.deadlines, self.relay, self.lifecycle, conf.memory_bytes // BUFFER_FRACTION)
        self._limit_sockets(1.0)
        self.handover = Handover(
            self.claim,
            self.relay,
            self.deadlines,
            self.counters,
            self._accept,
            self._limit_sockets,
            group.name_of,
            group.number_of,
        )
        self._check_timer: Deadline | None = None
        self._logged_state = self.lifecycle.state
        self._traffic_interval = product.log.traffic  # µs; 0: no such lines

    def _create_group(self) -> Group:
        members = self.product.members
        return Group(
            self.conf.settings,
            self.deadlines,
            self.relay.put,
            lambda endpoint: self.peers.close_idle(endpoint, CloseReason.ENDPOINT_REMOVED),
            SOURCES if members.precedence == FILES else SOURCES[::-1],
            members.ramp,
        )

    def _create_peers(self, group: Group) -> Peers:
        return Peers(
            reactor,
            self.loop,
            self.deadlines,
            self.relay,
            group.address_of,
            0,
            group.per_call,
            group.route_of,
            group.accepts_new,
        )

    def _create_components(self, group: Group) -> list[Component]:
        return build_components(
            ComponentContext(
                self.conf,
                self.product,
                reactor,
                self.loop,
                self.deadlines,
                self.counters,
                self.relay,
                group,
                VerdictReporter(self.loop.now, lambda: self.relay.trace),
                self.lifecycle,
                self.drain,
                self.resume,
            )
        )

    def _limit_sockets(self, share: float) -> None:
        """Limit the descriptors: that share of them is this process's."""
        sockets = int(self.conf.sockets * share)
        peers = max(self.conf.settings.slots, sockets // PEER_FRACTION)
        reserved = RESERVED_SOCKETS + sum(component.sockets for component in self.components)
        self.peers.limit(peers)
        self.clients.limit(max(MIN_CLIENTS, sockets - peers - reserved), sockets // IDLE_LIMIT_FRACTION)

    def _accept(self) -> None:
        if self.conf.accept_fd is None:
            self.clients.listen(reactor, self.conf.listen)
        else:
            self.clients.adopt(reactor, self.conf.accept_fd)

    def start(self, started: int) -> None:
        """Ready only once all that an earlier process left open is recovered.

        ``started``: when the process began to start, in µs of the monotonic clock. Raises PlatformError where a
        setting is at fault, OSError, CannotListenError, JournalFullError or JournalFormatError where the machine or
        its files are.
        """
        entries = self._open_journal()
        for component in self.components:
            component.start()
        self.relay.recovery.replay(entries)
        if not self.handover.waiting:
            self._accept()
        self.relay.end_times.listening(self.loop.now(), started)
        self.handover.begin()
        gc.freeze()
        gc.enable()
        if self._traffic_interval:
            self.deadlines.after(self._traffic_interval, self._log_traffic)
        log.info("ready", name=self.conf.name, open=len(entries))

    def _open_journal(self) -> list[Entry]:
        """What earlier processes left open, also those that kept one file; it is removed once its messages are kept."""
        file = self.conf.state / FILE_NAME
        older = list(read_legacy_journal(file.read_bytes())[0].values()) if file.is_file() else []
        remove_leftovers(self.conf.state)
        entries = self.journal.open(older)
        if file.is_file():
            file.unlink()  # before anything can end: else a message that has ended would be recovered again
        for gap in self.journal.gaps:
            log.error("journal_damaged", gap=str(gap))
        return entries

    # Reload --------------------------------------------------------------------------------------

    def reload(self) -> None:
        """Read the settings anew. What may change without a restart does, at once; an invalid file changes nothing."""
        try:
            conf, product = self._reread()
        except (platform.PlatformError, reader.ConfigurationError) as error:
            log.error("not_reloaded", error=str(error))
            self._reload_components(self.conf, self.product)  # they still look at the files that they watch
            return
        applied = self._reload_components(conf, product)
        if conf.by_platform:
            self._reloaded_by_platform(conf)
        else:
            self._reloaded_product(product, applied)

    def _reload_components(self, conf: platform.Config, product: Conf) -> set[str]:
        return {name for component in self.components for name in component.reload(conf, product)}

    def _reloaded_by_platform(self, conf: platform.Config) -> None:
        kept = [key for key in RESTART_KEYS if getattr(conf, key) != getattr(self.conf, key)]
        log.info("reloaded", discovery="{}:{}".format(*conf.discovery), for_a_restart=" ".join(kept))
        self.conf = replace(self.conf, discovery=conf.discovery)

    def _reloaded_product(self, product: Conf, applied: set[str]) -> None:
        sections = [one.name for one in fields(Conf)]
        changed = [name for name in sections if getattr(product, name) != getattr(self.product, name)]
        log.info(
            "reloaded",
            applied=" ".join(name for name in changed if name in applied),
            for_a_restart=" ".join(name for name in changed if name not in applied),
        )
        in_force = {name: getattr(product, name) for name in changed if name in applied}
        self.product = replace(self.product, **in_force)

    # Drain and stop ------------------------------------------------------------------------------

    def drain(self) -> None:
        """An operator wants this relay to get no more clients."""
        self.lifecycle.drain(self.loop.now())
        self._advance_lifecycle()

    def resume(self) -> bool:
        """An operator wants it back; False where the process is stopping."""
        resumed = self.lifecycle.resume()
        self._advance_lifecycle()
        return resumed

    def stop(self) -> None:
        """Begin a graceful shutdown."""
        if not self.lifecycle.stopping:
            log.info("stopping", open=len(self.relay.pending))
        self.lifecycle.stop(self.loop.now(), self.handover.has_successor())
        self._advance_lifecycle()

    def _advance_lifecycle(self) -> None:
        """Carry out what a drain or a stop asks for by now."""
        self.deadlines.cancel(self._check_timer)
        before = self._logged_state
        for action in self.lifecycle.advance(self.loop.now(), self.clients.open_count(), self._is_working()):
            if action is LifecycleAction.EXIT:
                reactor.stop()
                return
            self._carry_out(action)
        if self.lifecycle.state is not before:
            self._logged_state = self.lifecycle.state
            log.info(
                "lifecycle",
                state=self._logged_state.value,
                before=before.value,
                open=len(self.relay.pending),
                clients=self.clients.open_count(),
            )
        if not self.lifecycle.serving:
            self._check_timer = self.deadlines.after(CHECK_INTERVAL, self._advance_lifecycle)

    def _is_working(self) -> bool:
        """Are there pending messages that this process can still end?"""
        relay = self.relay
        return bool(len(relay.pending) and (relay.sending or relay.in_flight or len(relay.notices)))

    def _carry_out(self, action: LifecycleAction) -> None:
        if action is LifecycleAction.CLOSE_IDLE_CLIENTS:
            self.clients.close_idle()
        elif action is LifecycleAction.STOP_ACCEPTING:
            self.clients.stop_accepting()
            self.handover.stopped_accepting()
        elif action is LifecycleAction.RELEASE:
            self.handover.release()
        elif action is LifecycleAction.STOP_SENDING:
            self.relay.sending = False

    def exit(self) -> None:
        """The loop has stopped: close everything."""
        self.peers.stop()
        for component in reversed(self.components):
            component.stop()
        self.print_counters()
        log.info("ended", left=len(self.relay.pending))
        self.journal.close()

    # Statistics ----------------------------------------------------------------------------------

    def _log_traffic(self) -> None:
        for event, row in self.relay.traffic():
            log.info(event, **row)
        self.deadlines.after(self._traffic_interval, self._log_traffic)

    def print_counters(self) -> None:
        """All counters, a line for each group."""
        for group, row in self.counters.table().items():
            log.info("counters", group=group, **row)


def _read_settings(conf_path: str | None, again: bool = False) -> tuple[platform.Config, Conf]:
    """The platform's configuration where there is a platform, else the file's."""
    product = reader.from_environment(path=conf_path)
    if product.relay.listen is not None and not os.environ.get("NODE_CONFIG"):
        return product_settings.load(product), product
    return platform.load(again=again), product


def main(conf_path: str | None = None, begun: int | None = None) -> int:
    """Run one relay until it is told to stop; the exit code: 0, 1 where it cannot start, 2 for settings.

    ``begun``: when the process began to start, in µs of the monotonic clock.
    """
    begun = time.monotonic_ns() // 1000 if begun is None else begun
    # Guards against a stepped wall clock, by which the loop would keep its timers: they would stand still.
    reactor.seconds = time.monotonic
    daemon: Daemon | None = None

    def on_signal(name: str) -> None:
        # Signals come between two instructions of anything, also while the daemon is created: only a call from the
        # loop may touch it.
        reactor.callFromThread(lambda: getattr(daemon, name)())

    for number, name in SIGNALS.items():
        signal.signal(number, lambda *_, name=name: on_signal(name))
    try:
        conf, product = _read_settings(conf_path)
        logs.configure(product.log)
        daemon = Daemon(conf, product, lambda: _read_settings(conf_path, again=True))
    except (platform.PlatformError, reader.ConfigurationError) as error:
        return _startup_failed(error, 2)
    except OSError as error:
        return _startup_failed(f"cannot start: {error}", 1)
    try:
        daemon.start(begun)
    except platform.PlatformError as error:
        return _startup_failed(error, 2)
    except (OSError, CannotListenError, JournalFullError, JournalFormatError) as error:
        return _startup_failed(f"cannot start: {error}", 1)
    reactor.addSystemEventTrigger("after", "shutdown", daemon.exit)
    reactor.run(installSignalHandlers=False)
    return 0


def _startup_failed(reason: object, exit_code: int) -> int:
    print(f"lynxscale: {reason}", file=sys.stderr)
    return exit_code
