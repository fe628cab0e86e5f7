"""The cluster as a relay component: durable state, state machines, sockets, the log, and the operators' status page."""

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
from lynxscale.relay.cluster.driver import INBOUND_MOST, OUTBOUND_MOST, Clock, Driver
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

STATUS = "status.json"
STATUS_EVERY = 1_000_000  # µs
DISK_SLOW_S = 0.5  # a write that takes longer is announced to the others
STATUS_PATH, FORGET_PATH = "/admin/cluster", "/admin/cluster/forget"
WARNINGS = ("differs", "not_understood", "stranger", "paused", "doubts_itself", "proposal_failed")
ERRORS = ("split", "forgot")


def addresses_of(conf: ClusterConf) -> dict[str, Address]:
    """Where each node is reached, by its name."""
    return {row["name"]: platform.address(row["at"], "member") for row in conf.member}


class StateWriter:
    """Writes durable state to disk in a thread, one write at a time, as ``WriteQueue`` orders them."""

    def __init__(self, store: StateStore, failed: Callable[[str], None], slow: Callable[[], None]) -> None:
        self._store, self._failed, self._slow = store, failed, slow
        self._queue = WriteQueue()
        self.since = 0.0  # when the write in flight began, by time.monotonic; 0: there is none

    def put(self, generation: int, durable: DurableState, then: Callable[[], None]) -> None:
        """``then`` is called in the loop once it is on disk, never where it could not be written."""
        self._write(self._queue.put((generation, durable), then))

    def _write(self, what: tuple[int, DurableState] | None) -> None:
        if what is None:
            return
        self.since = time.monotonic()

        def done(result: object) -> None:
            if time.monotonic() - self.since > DISK_SLOW_S:
                self._slow()
            self.since = 0.0
            if isinstance(result, Failure):
                self._failed(str(result.value))
            after = self._queue.done(not isinstance(result, Failure))
            self._write(self._queue.begin())
            for then in after:
                then()

        deferToThread(self._store.save, *what).addBoth(done)


class ClusterComponent(Component):
    """Makes this relay a node of its cluster.

    Raises PlatformError where the state folder is another node's, OSError where it cannot be written.
    """

    sockets = INBOUND_MOST + OUTBOUND_MOST + 4

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
        now = self._clock.turn()
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
        self._writer = StateWriter(self._store, self._not_saved, lambda: self._driver.slow(SLOW_DISK))
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
            lambda durable, then: self._writer.put(self._generation, durable, then),
        )
        self._renewing = self._stopped = self._writing = False
        self._begun = now
        context.calls[STATUS_PATH] = "GET", lambda _query: (200, self.status())
        context.calls[FORGET_PATH] = "POST", self._forget

    def start(self) -> None:
        """Open the sockets and begin to probe."""
        self._driver.start()
        # Before the loop closes its sockets, which it does before any part is stopped.
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
        self._write_status()

    def reload(self, conf: Config, product: Conf) -> Collection[str]:
        """Nodes that come, go or are at another address hold at once; all else needs a restart."""
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
        """Write the status file a last time."""
        self._save_status()

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
        """Is this node in the view by a lease of a majority, at this very moment? To be asked right before an act."""
        return self._agreement.may_act(self._clock.fresh())

    # What detector and views tell ----------------------------------------------------------------

    def _on_event(self, event: LogEvent | StartGeneration | RemovedFromView) -> None:
        if isinstance(event, StartGeneration):
            self._renew(event.generation, "others knew a later life")
        elif isinstance(event, RemovedFromView):
            self._renew(self._generation, f"view {event.view} is without this life")
        else:
            level = "error" if event.event in ERRORS else "warning" if event.event in WARNINGS else "info"
            getattr(log, level)(f"cluster_{event.event}", **event.fields)

    def _renew(self, above: int, reason: str) -> None:
        """Begin a later generation than any that is known."""
        before = self._detector.me.generation
        if self._renewing or self._stopped or above < before:
            return
        self._renewing = True
        self._generation = max(self._generation, above + 1)

        def saved() -> None:
            self._renewing = False
            log.warning("cluster_new_life", life=self._generation, before=before, why=reason)
            self._driver.renew(self._generation)

        self._writer.put(self._generation, self._agreement.durable, saved)

    def _not_saved(self, error: str) -> None:
        self._driver.slow(SLOW_DISK)
        log.error("cluster_not_saved", error=error)
        if self._renewing:  # votes are asked for again by whoever proposes; this is ours to do
            self._renewing = False
            self._deadlines.after(STATUS_EVERY, self._renew, self._detector.me.generation, "a write that failed")

    # For operators -------------------------------------------------------------------------------

    def status(self) -> dict[str, Any]:
        """What this node knows; ages in ms."""
        detector, agreement, now = self._detector, self._agreement, self._clock.fresh()
        view = agreement.view
        return {
            "cluster": self._conf.name,
            "node": detector.me.name,
            "life": detector.me.generation,
            "boot": f"{detector.me.boot:x}",
            "pid": os.getpid(),
            "ts": round(time.time(), 3),
            "up_ms": (now - self._begun) // 1000,
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
        """One configured node; ``row``: its ``member`` line."""
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
                far: {"state": states[name], "ms": (now - at) // 1000}
                for far, (at, states) in self._core.states_seen_by.items()
                if name in states
            },
        }

    def _view_status(self, view: View) -> dict[str, Any]:
        """The view that this node knows."""
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
        reason = self._agreement.forget(self._clock.turn(), name)
        if reason:
            return 409, {"said": reason}
        log.warning("cluster_forget", node=name)
        return 200, {"said": f"{name} goes with the next view, if a majority agrees"}

    def _slow_of(self, name: str) -> int:
        detector = self._detector
        return detector.slow if name == detector.me.name else detector.peer_slowness.get(name, 0)

    def _write_status(self) -> None:
        if self._stopped:
            return
        self._deadlines.after(STATUS_EVERY, self._write_status)
        if self._writer.since and time.monotonic() - self._writer.since > DISK_SLOW_S:
            self._driver.slow(SLOW_DISK)
        if self._writing:  # guards against a stalled disk: one write waits there, no more
            self._driver.slow(SLOW_DISK)
        else:
            self._writing = True
            deferToThread(self._put_status, orjson.dumps(self.status())).addBoth(self._wrote)

    def _wrote(self, _result: object) -> None:
        self._writing = False

    def _save_status(self) -> None:
        try:
            self._put_status(orjson.dumps(self.status()))
        except OSError as error:
            log.warning("cluster_status", error=str(error))

    def _put_status(self, data: bytes) -> None:
        path = self._state / FOLDER / STATUS
        new = path.with_suffix(".new")
        new.write_bytes(data)
        new.rename(path)
