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
from lynxscale.relay.lifecycle import CHECK_INTERVAL_US, Lifecycle, LifecycleAction
from lynxscale.relay.net.clients import Clients
from lynxscale.relay.net.close_reason import CloseReason
from lynxscale.relay.net.peers import Peers
from lynxscale.relay.upgrade.handover import Handover
from lynxscale.relay.upgrade.journal_folders import Claim, remove_leftovers
from lynxscale.relay.upstream.group import FILES, SOURCES, Group
from lynxscale.relay.upstream.verdict_reporter import VerdictReporter
from lynxscale.relay.wall_clock import unix_clock
from lynxscale.runtime.reload_signal import release_reload_signal

log = structlog.get_logger()

reactor: Any = twisted_reactor  # typed as Any: its methods depend on the installed reactor

LOCK_TIMEOUT_S = 5.0  # how long to wait for another process to release the state folder
RESERVED_SOCKETS = 32  # for discovery, notices, the journal's files, the event loop and the standard streams
MIN_CLIENTS = 8  # minimum limit of client connections, even if the other limits leave fewer descriptors
# Divisors of the number of descriptors: the number of client connections above which long idle ones are evicted, and
# the maximum number of peer connections.
IDLE_LIMIT_DIVISOR, PEER_DIVISOR = 6, 3
BUFFER_DIVISOR = 20  # divisor of the memory size: the limit of the bytes of incomplete requests
# Fraction of the disk limit for this process's journal if another process of the relay may run beside it; the other
# journal uses the rest.
SUCCESSOR_JOURNAL_SHARE = 0.5
# Keys whose changes take effect only after a restart.
RESTART_KEYS = ("name", "listen", "admin", "state", "sockets", "disk_bytes", "settings")

SIGNALS = {signal.SIGTERM: "stop", signal.SIGINT: "stop", signal.SIGHUP: "reload", signal.SIGUSR1: "print_counters"}


class Daemon:
    """Runs the core of one relay and the components around it.

    ``conf`` is the relay's configuration in force, ``product`` the contents of the lynxscale settings file; ``reread``
    reads both again and raises the readers' errors. Raises OSError if the state folder cannot be locked.
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
        self.clients = Clients(self.deadlines, self.relay, self.lifecycle, conf.memory_bytes // BUFFER_DIVISOR)
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
        self._traffic_interval = product.log.traffic  # µs; 0 disables these log lines

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
        """Limit this process to a fraction ``share`` of the relay's descriptors."""
        sockets = int(self.conf.sockets * share)
        peers = max(self.conf.settings.slots, sockets // PEER_DIVISOR)
        reserved = RESERVED_SOCKETS + sum(component.sockets for component in self.components)
        self.peers.limit(peers)
        self.clients.limit(max(MIN_CLIENTS, sockets - peers - reserved), sockets // IDLE_LIMIT_DIVISOR)

    def _accept(self) -> None:
        if self.conf.accept_fd is None:
            self.clients.listen(reactor, self.conf.listen)
        else:
            self.clients.adopt(reactor, self.conf.accept_fd)

    def start(self, started: int) -> None:
        """Recover the messages that earlier processes left open, then accept clients.

        ``started``: when the process began to start, in µs of the monotonic clock. Raises PlatformError if a setting is
        invalid, and OSError, CannotListenError, JournalFullError or JournalFormatError if the machine or its files
        cause the failure.
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
        """The messages that earlier processes left open.

        A journal file of the legacy format is removed once its messages are in the new journal.
        """
        file = self.conf.state / FILE_NAME
        older = list(read_legacy_journal(file.read_bytes())[0].values()) if file.is_file() else []
        remove_leftovers(self.conf.state)
        entries = self.journal.open(older)
        if file.is_file():
            file.unlink()  # removed before any message can end, so that no ended message is recovered again
        for gap in self.journal.gaps:
            log.error("journal_damaged", gap=str(gap))
        return entries

    # Reload --------------------------------------------------------------------------------------

    def reload(self) -> None:
        """Read the settings again and apply those that need no restart. Invalid settings are rejected as a whole."""
        try:
            conf, product = self._reread()
        except (platform.PlatformError, reader.ConfigurationError) as error:
            log.error("not_reloaded", error=str(error))
            self._reload_components(self.conf, self.product)  # components still check the files that they watch
            return
        applied = self._reload_components(conf, product)
        if conf.by_platform:
            self._reloaded_by_platform(conf)
        else:
            self._reloaded_product(product, applied)

    def _reload_components(self, conf: platform.Config, product: Conf) -> set[str]:
        return {name for component in self.components for name in component.reload(conf, product)}

    def _reloaded_by_platform(self, conf: platform.Config) -> None:
        for_a_restart = [key for key in RESTART_KEYS if getattr(conf, key) != getattr(self.conf, key)]
        log.info("reloaded", discovery="{}:{}".format(*conf.discovery), for_a_restart=" ".join(for_a_restart))
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
        """Drain on an operator's request: the relay reports that it is not ready and closes idle clients."""
        self.lifecycle.drain(self.loop.now())
        self._advance_lifecycle()

    def resume(self) -> bool:
        """Serve again on an operator's request; False if the process is stopping."""
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
        """Carry out the actions of a drain or a stop that are due."""
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
            self._check_timer = self.deadlines.after(CHECK_INTERVAL_US, self._advance_lifecycle)

    def _is_working(self) -> bool:
        """Does this process still have pending messages that it can end?"""
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
        """Close everything after the loop has stopped."""
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
        """Log all counters, one line per group."""
        for group, row in self.counters.table().items():
            log.info("counters", group=group, **row)


def _read_settings(conf_path: str | None, reloading: bool = False) -> tuple[platform.Config, Conf]:
    """The platform's configuration if the platform runs the relay, otherwise that of the settings file."""
    product = reader.from_environment(path=conf_path)
    if product.relay.listen is not None and not os.environ.get("NODE_CONFIG"):
        return product_settings.load(product), product
    return platform.load(reloading=reloading), product


def main(conf_path: str | None = None, begun: int | None = None) -> int:
    """Run one relay until a signal stops it.

    Returns the exit code: 0, 1 if the relay cannot start, 2 if the settings are invalid. ``begun``: when the process
    began to start, in µs of the monotonic clock.
    """
    begun = time.monotonic_ns() // 1000 if begun is None else begun
    # The reactor's default is the wall clock: if that were set back, timers would be delayed by the step.
    reactor.seconds = time.monotonic
    daemon: Daemon | None = None

    def on_signal(name: str) -> None:
        # A signal can interrupt any code, including the daemon's constructor, so the daemon is called from the loop
        # only.
        reactor.callFromThread(lambda: getattr(daemon, name)())

    for number, name in SIGNALS.items():
        signal.signal(number, lambda *_, name=name: on_signal(name))
    release_reload_signal()
    try:
        conf, product = _read_settings(conf_path)
        logs.configure(product.log)
        daemon = Daemon(conf, product, lambda: _read_settings(conf_path, reloading=True))
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
