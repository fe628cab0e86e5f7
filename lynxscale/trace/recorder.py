"""The daemon's recorder: a port on the relay's core that gathers the records of a turn and writes them at its end.

It decides only what is kept: by level, class and sample. Sampling is by the id alone, so that every relay keeps or
drops the same messages, each whole. Bodies and idempotency keys are never seen here.
"""

from __future__ import annotations

import dataclasses
import hashlib
import os
import time
from collections.abc import Callable, Iterable
from importlib.metadata import PackageNotFoundError, version
from pathlib import Path
from typing import Any

import orjson
from crc32c import crc32c

from gannetshift import interface as api
from lynxscale.conf.table import TraceConf
from lynxscale.trace import records as r
from lynxscale.trace.frames import Frame
from lynxscale.trace.rotation import Files

ENDPOINTS_MOST = 8192  # names kept of endpoints; beyond them the oldest is forgotten
STEPPED = 1000  # µs between the clocks from which on a new anchor is told
LOOK_EVERY = 1_000_000  # µs between two looks at the wall clock
AWAY = 1 << 40  # numbers of messages that were turned away before the core gave them one
RECORD_BYTES = 48  # of a record that waits, for the bound on memory; measured at level tries: 8 to 30
RESULTS = tuple(r.reason(result.name.lower()) if result else r.UNKNOWN for result in (0, *api.Result))


def sampled(id_: str, share: float) -> bool:
    """Is a message of this id kept? The same answer wherever it is asked."""
    return share >= 1 or crc32c(id_.encode("utf-8", "surrogatepass")) < share * (1 << 32)


def policy_hash() -> str:
    """What tells one text of the decision module from another."""
    from gannetshift import brain

    return hashlib.sha256(Path(brain.__file__).read_bytes()).hexdigest()[:16]


def _version() -> str:
    try:
        return version("lynxscale")
    except PackageNotFoundError:  # run from its folder
        return "unknown"


class Recorder:
    """What the core tells, as records. ``names`` gives an endpoint's id and address by its number."""

    def __init__(self, conf: TraceConf, settings: api.Settings, relay: str, seed: int,
                 names: Callable[[int], tuple[str, str] | None], told: Callable[..., None],
                 clock: Callable[[], int] = lambda: time.monotonic_ns() // 1000) -> None:
        self._conf, self._settings, self._names = conf, settings, names
        self.tries = conf.level != "ends"
        self.decisions = conf.level == "decisions"
        process = os.urandom(6).hex()
        self._source = f"{relay}/{process}"
        self._files = Files(conf, relay, told)
        self._clock = clock
        self._classes = [(place, one.name) for place, one in enumerate(settings.classes)]
        self._tenants = [(place, one.name) for place, one in enumerate(settings.tenants)] or [r.UNKNOWN]
        self._kinds = list(enumerate(settings.kinds)) or [r.UNKNOWN]
        self._zones = list(enumerate(settings.zones)) or [r.UNKNOWN]
        self._all = conf.sample >= 1 and not conf.classes
        self._endpoints: dict[int, r.Handle] = {}
        self._kept: dict[int, r.Msg] = {}
        self._over: list[int] = []  # ended in this turn
        self._away = AWAY
        self._records: list[tuple[int, list]] = []
        self._time = self._seq = self._look_at = 0
        self._offset = time.time_ns() // 1000 - clock()
        self._most = conf.memory // RECORD_BYTES
        self._start = (r.START, [
            relay, process, _version(), conf.level, float(conf.sample), " ".join(conf.classes), str(seed),
            orjson.dumps(dataclasses.asdict(settings)).decode(), policy_hash(),
        ])

    # What the core tells -------------------------------------------------------------------------

    def message(self, now: int, number: int, envelope: Any, cls: int, tenant: int, left: int, tries: int = 0) -> None:
        """A message that the core has numbered. ``envelope``: its id, dest and body."""
        if not self._all and not self._wanted(envelope.id, cls):
            return
        msg = r.Msg(number, envelope.id, self._classes[cls], self._tenants[tenant], envelope.dest)
        self._kept[number] = msg
        self._add(now, r.MESSAGE, [msg, max(0, left), len(envelope.body), tries])

    def turned_away(self, now: int, envelope: Any, verdict: str, again_ms: float) -> None:
        """A message that the core did not get as far as numbering."""
        if self._all or self._wanted(envelope.id, envelope.cls):
            self._away += 1
            self.message(now, self._away, envelope, envelope.cls, envelope.tenant, envelope.time_left)
            self.admitted(now, self._away, verdict, again_ms)
            self._over.append(self._away)

    def admitted(self, now: int, number: int, verdict: str, again_ms: float) -> None:
        if (msg := self._kept.get(number)) is not None:
            self._add(now, r.ADMIT, [msg, r.reason(verdict), again_ms])
            if verdict != "taken":
                self._over.append(number)

    def ended(self, now: int, number: int, status: str, again_ms: float = 0.0) -> None:
        if (msg := self._kept.get(number)) is not None:
            self._add(now, r.END, [msg, r.reason(status), again_ms])

    def forgotten(self, number: int) -> None:
        """Nothing more is owed."""
        if number in self._kept:
            self._over.append(number)

    def try_started(self, now: int, number: int, attempt: int, endpoint: int, timeout: int, fresh: bool) -> None:
        if self.tries and (msg := self._kept.get(number)) is not None:
            self._add(now, r.TRY_START, [msg, attempt, self._endpoint(endpoint), max(0, timeout), fresh])

    def try_ended(self, now: int, number: int, attempt: int, endpoint: int, result: int, spent: int, wait_ms: float,
                  over: bool, report: tuple[float, ...]) -> None:
        if self.tries and (msg := self._kept.get(number)) is not None:
            self._add(now, r.TRY_END, [msg, attempt, self._endpoint(endpoint), RESULTS[result], max(0, spent), wait_ms,
                                       over, report])

    def probe_started(self, now: int, endpoint: int) -> None:
        if self.tries:
            self._add(now, r.PROBE_START, [self._endpoint(endpoint)])

    def noticed(self, now: int, number: int, status: str, again_ms: int) -> None:
        if self.tries and (msg := self._kept.get(number)) is not None:
            self._add(now, r.NOTICE, [msg, r.reason(status), again_ms])

    def notice_heard(self, now: int, number: int) -> None:
        if self.tries and (msg := self._kept.get(number)) is not None:
            self._add(now, r.NOTICE_HEARD, [msg])

    def events(self, now: int, events: Iterable) -> None:
        """What goes into the module; lists and probes are records of their own at lower levels too."""
        for event in events:
            kind = type(event)
            if kind is api.Membership:
                rows = self._members(event)
                self._add(now, r.LIST, [int(event.kind), event.version, len(rows)])
                if self.tries and rows:
                    self._add(now, r.MEMBERS, [rows])
            elif kind is api.Probed and self.tries:
                self._add(now, r.PROBE_END, [self._endpoint(event.endpoint), RESULTS[event.result],
                                             round(event.spent * 1000), event.report])

    def step(self, now: int, events: list, actions: list, failed: bool) -> None:
        """One step of the module, to the last bit."""
        self._add(now, r.STEP, [len(events), len(actions), failed])
        for event in events:
            self._add(now, *self._event(event))
        for action in actions:
            self._add(now, *self._action(action))

    def turn(self) -> None:
        """The end of a turn: what it gave is written."""
        if not self._records:
            return
        records, self._records = self._records, []
        if self._time >= self._look_at:
            self._look_at = self._time + LOOK_EVERY
            offset = time.time_ns() // 1000 - self._clock()
            if abs(offset - self._offset) > STEPPED:
                self._offset = offset
        files = self._files
        told = files.dropped
        if files.begins:
            records.insert(0, self._start)  # each file tells whose it is, and the settings
        frame = Frame(self._source, self._time, self._seq, self._offset, records)
        self._seq += len(records)
        if told.records and not files.failing:
            records.append((r.DROPPED, [told.records, told.bytes, told.first, told.last, r.reason(told.reason)]))
            self._seq += 1
        if len(records) > self._most:
            files.drop(frame, "memory")
        elif files.put(frame) and told.records:
            files.recovered()
        for number in self._over:
            self._kept.pop(number, None)
        self._over.clear()

    def stop(self, now: int, left: int) -> None:
        self._add(now, r.STOP, [left])
        self.turn()
        self._files.close()

    # Records -------------------------------------------------------------------------------------

    def _wanted(self, id_: str, cls: int) -> bool:
        wanted = not self._conf.classes or self._classes[cls][1] in self._conf.classes
        return wanted and sampled(id_, self._conf.sample)

    def _add(self, now: int, number: int, values: list) -> None:
        if not self._records:
            self._time = now
        self._records.append((number, values))

    def _endpoint(self, number: int) -> r.Handle:
        handle = self._endpoints.get(number)
        if handle is None:
            name = self._names(number)
            if name is None:
                return (number, "")
            handle = self._endpoints[number] = (number, name[0])
            if len(self._endpoints) > ENDPOINTS_MOST:
                del self._endpoints[next(iter(self._endpoints))]
        return handle

    def _members(self, event: api.Membership) -> list[r.Member]:
        rows = []
        for one in event.members:
            name = self._names(one.endpoint)
            rows.append(r.Member(self._endpoint(one.endpoint), int(one.lifecycle), one.destination,
                                 self._zones[one.zone], self._kinds[one.kind], one.weight, name[1] if name else ""))
        return rows

    def _msg(self, number: int) -> r.Msg:
        return self._kept.get(number) or r.Msg(number, "", r.UNKNOWN, r.UNKNOWN, 0)

    def _event(self, event: Any) -> tuple[int, list]:
        kind = type(event)
        if kind is api.Outcome:
            return r.IN_OUTCOME, [self._msg(event.id), event.attempt, self._endpoint(event.endpoint), int(event.result),
                                  event.spent, event.finished, event.wait, event.report]
        if kind is api.Message:
            return r.IN_MESSAGE, [self._msg(event.id), event.expires, event.attempts, event.maybe_at]
        if kind is api.TimerDue:
            return r.IN_TIMER, [event.mark]
        if kind is api.Withdrawn:
            return r.IN_WITHDRAWN, [self._msg(event.id)]
        if kind is api.Probed:
            return r.IN_PROBED, [self._endpoint(event.endpoint), int(event.result), event.spent, event.report]
        return r.IN_LIST, [int(event.kind), event.version, self._members(event)]

    def _action(self, action: Any) -> tuple[int, list]:
        kind = type(action)
        if kind is api.Attempt:
            return r.OUT_ATTEMPT, [self._msg(action.id), self._endpoint(action.endpoint), action.timeout, action.fresh]
        if kind is api.SetTimer:
            return r.OUT_TIMER, [action.mark, action.at]
        if kind is api.Cancel:
            return r.OUT_CANCEL, [self._msg(action.id), action.attempt]
        if kind is api.Refuse:
            return r.OUT_REFUSE, [self._msg(action.id), action.retry_after]
        if kind is api.Fail:
            return r.OUT_FAIL, [self._msg(action.id)]
        if kind is api.Subscribe:
            return r.OUT_SUBSCRIBE, [action.active]
        if kind is api.CloseIdle:
            return r.OUT_CLOSE_IDLE, [self._endpoint(action.endpoint)]
        if kind is api.Probe:
            return r.OUT_PROBE, [self._endpoint(action.endpoint)]
        if kind is api.Note:
            return r.OUT_NOTE, [action.text]
        return r.OUT_FETCH, []
