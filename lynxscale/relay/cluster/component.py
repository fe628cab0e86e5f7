"""The cluster as a relay component: joins durable state, state machines, sockets, log and the operators' status."""

from __future__ import annotations

import os
import time
from collections.abc import Callable, Collection, Mapping
from pathlib import Path
from typing import Any

import orjson
import structlog
from twisted.internet.threads import deferToThread
from twisted.python.failure import Failure

from lynxscale.relay.cluster import settings
from lynxscale.relay.cluster.agreement_state import ViewStatus
from lynxscale.relay.cluster.core import Core
from lynxscale.relay.cluster.detector_state import REACHABLE_STATES, SLOW_DISK, slow_reasons
from lynxscale.relay.cluster.driver import MAX_INBOUND_EXCHANGES, MAX_OUTBOUND_EXCHANGES, Clock, Driver
from lynxscale.relay.cluster.durable_state import FOLDER, StateStore, WriteQueue
from lynxscale.relay.cluster.exceptions import ForeignStateError
from lynxscale.relay.cluster.instructions import LogEvent, RemovedFromView, StartGeneration
from lynxscale.relay.cluster.membership_table import Identity
from lynxscale.relay.cluster.messages import DurableState, View, committee_of
from lynxscale.relay.cluster.timing import detector_timing, view_timing
from lynxscale.relay.components import Component, ComponentContext
from lynxscale.relay.conf import platform
from lynxscale.relay.conf.platform import Address, Config
from lynxscale.relay.conf.settings import ClusterConf, Conf

log = structlog.get_logger()

STATUS_FILE = "status.json"
STATUS_INTERVAL_US = 1_000_000
SLOW_WRITE_S = 0.5  # a node whose write takes longer announces itself as slow
STATUS_PATH, FORGET_PATH = "/admin/cluster", "/admin/cluster/forget"
WARNINGS = ("differs", "not_understood", "stranger", "paused", "doubts_itself", "proposal_failed")
ERRORS = ("split", "forgot")


def addresses_of(conf: ClusterConf) -> dict[str, Address]:
    """The address of each configured node, by name."""
    return {row["name"]: platform.address(row["at"], "member") for row in conf.member}


class StateWriter:
    """Writes durable state to disk in a thread, one write at a time, as ``WriteQueue`` orders them."""

    def __init__(self, store: StateStore, on_failure: Callable[[str], None], on_slow: Callable[[], None]) -> None:
        self._store, self._on_failure, self._on_slow = store, on_failure, on_slow
        self._queue = WriteQueue()
        self.writing_since = 0.0  # start of the write in flight, by time.monotonic; 0 if there is none

    def put(self, generation: int, durable: DurableState, callback: Callable[[], None]) -> None:
        """Write this state; ``callback`` runs in the event loop once it is on disk, and never if the write fails."""
        self._write(self._queue.put((generation, durable), callback))

    def _write(self, state: tuple[int, DurableState] | None) -> None:
        if state is None:
            return
        self.writing_since = time.monotonic()

        def done(result: object) -> None:
            if time.monotonic() - self.writing_since > SLOW_WRITE_S:
                self._on_slow()
            self.writing_since = 0.0
            if isinstance(result, Failure):
                self._on_failure(str(result.value))
            callbacks = self._queue.done(not isinstance(result, Failure))
            self._write(self._queue.begin())
            for callback in callbacks:
                callback()

        deferToThread(self._store.save, *state).addBoth(done)


class ClusterComponent(Component):
    """Makes this relay a node of its cluster.

    Raises PlatformError if the state folder belongs to another node, OSError if it cannot be written.
    """

    sockets = MAX_INBOUND_EXCHANGES + MAX_OUTBOUND_EXCHANGES + 4

    def __init__(self, context: ComponentContext) -> None:
        conf = self._conf = context.product.cluster
        self._reactor, self._deadlines, self._state = context.reactor, context.deadlines, Path(context.conf.state)
        name = context.conf.name
        self._store = StateStore(self._state, conf.name, name)
        try:
            found = self._store.load()
        except ForeignStateError as error:
            raise platform.PlatformError(f"state: {error}") from error
        if found.reason:
            log.error("cluster_forgot", reason=found.reason)
        stored = found.stored
        self._generation = 1 + (stored.generation if stored is not None else 0)
        durable = stored.durable if stored is not None else None
        self._store.save(self._generation, durable)
        me = Identity(name, self._generation, int.from_bytes(os.urandom(8)) >> 1)
        addresses, seed = addresses_of(conf), str(context.conf.seed)
        self._clock = Clock(context.deadlines)
        now = self._clock.turn_time()
        self._core = Core(
            me,
            addresses,
            seed,
            now,
            durable,
            detector_timing(conf.probe),
            view_timing(conf.probe),
            settings.digests(context.product),
        )
        self._detector, self._agreement = self._core.detector, self._core.agreement
        self._writer = StateWriter(self._store, self._save_failed, lambda: self._driver.announce_slow(SLOW_DISK))
        self._driver = Driver(
            context.reactor,
            context.deadlines,
            self._clock,
            context.counters,
            conf.name,
            platform.address(conf.listen, "listen"),
            addresses,
            self._core,
            conf.probe,
            self._on_event,
            lambda durable, callback: self._writer.put(self._generation, durable, callback),
        )
        self._renewing = self._stopped = self._writing_status = False
        self._started_at = now
        context.calls[STATUS_PATH] = "GET", lambda _query: (200, self.status())
        context.calls[FORGET_PATH] = "POST", self._forget

    def start(self) -> None:
        """Open the sockets and start probing."""
        self._driver.start()
        # The node has to announce that it leaves before the loop closes its sockets, and thus before ``stop``.
        self._reactor.addSystemEventTrigger("before", "shutdown", self._leave)
        me = self._detector.me
        log.info(
            "cluster_begun",
            cluster=self._conf.name,
            node=me.name,
            life=me.generation,
            boot=f"{me.boot:x}",
            nodes=len(self._detector.membership.names),
            can_lose=(len(self._detector.membership.names) - 1) // 2,
        )
        self._refresh_status_file()

    def reload(self, conf: Config, product: Conf) -> Collection[str]:
        """Apply added and removed nodes and changed addresses at once; any other change needs a restart."""
        self._core.settings = settings.digests(product)
        new, old = product.cluster, self._conf
        if new == old or (new.name, new.listen, new.probe) != (old.name, old.listen, old.probe):
            return ()
        if self._detector.me.name not in (addresses := addresses_of(new)):
            return ()
        before = set(addresses_of(old))
        self._conf = new
        self._driver.reconfigure(addresses)
        log.info(
            "cluster_nodes",
            come=" ".join(sorted(set(addresses) - before)),
            gone=" ".join(sorted(before - set(addresses))),
        )
        return ("cluster",)

    def _leave(self) -> None:
        self._stopped = True
        self._driver.stop()

    def stop(self) -> None:
        """Write the status file one last time."""
        self._save_status_file()

    def counters(self) -> dict[str, dict[str, int]]:
        """The group ``cluster`` of the relay's counters."""
        states = [record.update.state.name.lower() for record in self._detector.membership]
        return {
            "cluster": {
                "life": self._detector.me.generation,
                "view": self._agreement.number,
                "doubt": self._detector.health_score,
                **{f"dropped_{reason}": number for reason, number in self._core.dropped_frames.items()},
                **{f"nodes_{state}": states.count(state) for state in sorted(set(states))},
            }
        }

    def may_act(self) -> bool:
        """Return whether this node is in the view and holds a lease of a majority now. Call right before acting."""
        return self._agreement.may_act(self._clock.current_time())

    # Events of detector and view agreement -------------------------------------------------------

    def _on_event(self, event: LogEvent | StartGeneration | RemovedFromView) -> None:
        if isinstance(event, StartGeneration):
            self._renew(event.generation, "another node knows a later generation")
        elif isinstance(event, RemovedFromView):
            self._renew(self._generation, f"view {event.view} does not contain this generation")
        else:
            level = "error" if event.event in ERRORS else "warning" if event.event in WARNINGS else "info"
            getattr(log, level)(f"cluster_{event.event}", **event.fields)

    def _renew(self, known_generation: int, reason: str) -> None:
        """Start a generation later than any known one, once that is on disk."""
        before = self._detector.me.generation
        if self._renewing or self._stopped or known_generation < before:
            return
        self._renewing = True
        self._generation = max(self._generation, known_generation + 1)

        def saved() -> None:
            self._renewing = False
            log.warning("cluster_new_life", life=self._generation, before=before, why=reason)
            self._driver.renew(self._generation)

        self._writer.put(self._generation, self._agreement.durable, saved)

    def _save_failed(self, error: str) -> None:
        self._driver.announce_slow(SLOW_DISK)
        log.error("cluster_not_saved", error=error)
        if self._renewing:  # a lost vote is requested again by its proposer; a renewal has to be retried here
            self._renewing = False
            self._deadlines.after(STATUS_INTERVAL_US, self._renew, self._detector.me.generation, "a write failed")

    # For operators -------------------------------------------------------------------------------

    def status(self) -> dict[str, Any]:
        """The cluster's state as this node sees it, for operators; durations in ms."""
        detector, agreement, now = self._detector, self._agreement, self._clock.current_time()
        view = agreement.view
        return {
            "cluster": self._conf.name,
            "node": detector.me.name,
            "life": detector.me.generation,
            "boot": f"{detector.me.boot:x}",
            "pid": os.getpid(),
            "ts": round(time.time(), 3),
            "up_ms": (now - self._started_at) // 1000,
            "settled": detector.contacted,
            "doubt": detector.health_score,
            "living": sum(record.update.state in REACHABLE_STATES for record in detector.membership),
            "standing": agreement.status.value
            if agreement.may_act(now) or agreement.status is not ViewStatus.MEMBER
            else ViewStatus.CUT_OFF.value,
            "lease_ms": max(0, agreement.lease_until(now) - now) // 1000,
            "votes": agreement.durable.votes,
            "grants": agreement.lease_grantors(now),
            "split": agreement.conflict,
            "view": self._view_status(view) if view is not None else None,
            "nodes": [self._node_status(row, view, now) for row in self._conf.member],
        }

    def _node_status(self, row: Mapping[str, str], view: View | None, now: int) -> dict[str, Any]:
        """Status of one configured node; ``row`` is its ``member`` line in the configuration."""
        detector, name = self._detector, row["name"]
        record, answered = detector.membership.get(name), detector.last_answered.get(name)
        update = record.update if record is not None else None
        return {
            "name": name,
            "at": row["at"],
            "zone": row.get("zone"),
            "state": update.state.name.lower() if update else "unheard",
            "since_ms": (now - record.since) // 1000 if record else None,
            "life": update.generation if update else None,
            "boot": f"{update.boot:x}" if update else None,
            "word": update.incarnation if update else None,
            "answered_ms": (now - answered) // 1000 if answered is not None else None,
            "in_view": name in view.names if view is not None else False,
            "doubted_by": sorted(record.suspected_by) if record else [],
            "slow": slow_reasons(self._slow_of(name)),
            "differs": self._core.differing_settings.get(name, ()),
            "seen_as": {
                peer: {"state": states[name], "ms": (now - at) // 1000}
                for peer, (at, states) in self._core.states_seen_by.items()
                if name in states
            },
        }

    def _view_status(self, view: View) -> dict[str, Any]:
        """Status of the latest known view."""
        return {
            "number": view.number,
            "lineage": f"{view.lineage:x}",
            "digest": f"{view.digest:x}",
            "members": [
                {"name": member.name, "life": member.generation, "boot": f"{member.boot:x}"} for member in view.members
            ],
            "asked_for_leases": sorted(committee_of(view, self._agreement.timing.committee_size)),
            "can_lose": (len(view.members) - 1) // 2,
        }

    def _forget(self, query: str) -> tuple[int, dict[str, str]]:
        name = query.removeprefix("name=")
        reason = self._agreement.forget(self._clock.turn_time(), name)
        if reason:
            return 409, {"said": reason}
        log.warning("cluster_forget", node=name)
        return 200, {"said": f"{name} goes with the next view, if a majority agrees"}

    def _slow_of(self, name: str) -> int:
        detector = self._detector
        return detector.slow if name == detector.me.name else detector.peer_slowness.get(name, 0)

    def _refresh_status_file(self) -> None:
        if self._stopped:
            return
        self._deadlines.after(STATUS_INTERVAL_US, self._refresh_status_file)
        if self._writer.writing_since and time.monotonic() - self._writer.writing_since > SLOW_WRITE_S:
            self._driver.announce_slow(SLOW_DISK)
        if self._writing_status:  # a stalled disk: at most one write of the file is in flight
            self._driver.announce_slow(SLOW_DISK)
        else:
            self._writing_status = True
            deferToThread(self._replace_status_file, orjson.dumps(self.status())).addBoth(self._status_written)

    def _status_written(self, _result: object) -> None:
        self._writing_status = False

    def _save_status_file(self) -> None:
        try:
            self._replace_status_file(orjson.dumps(self.status()))
        except OSError as error:
            log.warning("cluster_status", error=str(error))

    def _replace_status_file(self, data: bytes) -> None:
        path = self._state / FOLDER / STATUS_FILE
        new = path.with_suffix(".new")
        new.write_bytes(data)
        new.rename(path)
