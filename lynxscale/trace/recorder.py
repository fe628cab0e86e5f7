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

from lynxscale import scheduling
from lynxscale.relay.conf.settings import TraceConf
from lynxscale.scheduling.actions import Attempt, Cancel, CloseIdle, Fail, Note, Probe, Refuse, SetTimer, Subscribe
from lynxscale.scheduling.events import HealthChecked, MembershipUpdate, Message, Outcome, Result, TimerDue, Withdrawn
from lynxscale.scheduling.settings import Settings
from lynxscale.trace import records as r
from lynxscale.trace.frames import Frame
from lynxscale.trace.rotation import Files

ENDPOINTS_MOST = 8192  # names kept of endpoints; beyond them the oldest is forgotten
STEPPED = 1000  # µs between the clocks from which on a new anchor is told
LOOK_EVERY = 1_000_000  # µs between two looks at the wall clock
AWAY = 1 << 40  # numbers of messages that were turned away before the core gave them one
REASONS_MOST = 4096  # characters of why a list was rejected
WORD_BYTES = 32  # of memory that each word told takes until it is written
STARTED, GONE = 0, -1  # told, and no record: the process has started; a message is over
# Words told of each: the time, what it is, and what the maker of its record takes.
WORDS = {
    STARTED: 2,
    GONE: 3,
    r.MESSAGE: 10,
    r.ADMIT: 5,
    r.END: 5,
    r.TRY_START: 7,
    r.TRY_END: 10,
    r.PROBE_START: 3,
    r.PROBE_END: 3,
    r.NOTICE: 5,
    r.NOTICE_HEARD: 3,
    r.LIST: 4,
    r.VERDICT: 9,
    r.STEP: 5,
    r.STOP: 3,
}
RESULTS = tuple(r.reason(result.name.lower()) if result else r.UNKNOWN for result in (0, *Result))


def sampled(id_: str, share: float) -> bool:
    """Is a message of this id kept? The same answer wherever it is asked."""
    return share >= 1 or crc32c(id_.encode("utf-8", "surrogatepass")) < share * (1 << 32)


def policy_hash() -> str:
    """Digest of the text of all scheduling modules: the same for the same decisions' code."""
    digest = hashlib.sha256()
    for path in sorted(Path(scheduling.__file__).parent.glob("*.py")):
        digest.update(path.name.encode() + b"\0" + path.read_bytes())
    return digest.hexdigest()[:16]


def _version() -> str:
    try:
        return version("lynxscale")
    except PackageNotFoundError:  # run from its folder
        return "unknown"


class Recorder:
    """What the core tells, as records.

    A hook does no more than keep what it was told: the records are made and written together, ``flush`` µs later
    (at once where that is 0), as code that runs in one go costs less than half of what it costs a few lines at a time
    between other work. ``later`` calls after so many µs; ``names`` gives an endpoint's id and address by its number;
    ``told`` hears of what the files do.
    """

    def __init__(
        self,
        conf: TraceConf,
        settings: Settings,
        relay: str,
        seed: int,
        names: Callable[[int], tuple[str, str] | None],
        told: Callable[..., None],
        later: Callable[[int, Callable[[], None]], object],
        clock: Callable[[], int] = lambda: time.monotonic_ns() // 1000,
    ) -> None:
        self._conf, self._names, self._later, self._clock = conf, names, later, clock
        self.decisions = conf.level == "decisions"
        process = os.urandom(6).hex()
        self._source = f"{relay}/{process}"
        self._files = Files(conf, relay, told, clock)
        self._classes = [(place, one.name) for place, one in enumerate(settings.classes)]
        self._tenants = [(place, one.name) for place, one in enumerate(settings.tenants)] or [r.UNKNOWN]
        self._kinds = list(enumerate(settings.kinds)) or [r.UNKNOWN]
        self._zones = list(enumerate(settings.zones)) or [r.UNKNOWN]
        self._all = conf.sample >= 1 and not conf.classes
        self._tries = conf.level != "ends"
        self._endpoints: dict[int, r.Handle] = {}
        self._kept: dict[int, r.Msg] = {}
        self._over: list[int] = []  # ended in the frame that is being made
        self._away = AWAY
        # Time, what, and more, one behind the other, of the turns since the last flush. Flat, as the garbage collector
        # would walk a tuple for each again and again until it is written: that cost as much as writing it.
        self._told: list = []
        self._tell = self._told.extend
        self._planned = False
        self._seq = self._look_at = 0
        self._offset = time.time_ns() // 1000 - clock()
        self._most = conf.memory // WORD_BYTES
        self._unkept = 0  # what was told beyond that, since the last flush
        self._start = (
            r.START,
            [
                relay,
                process,
                _version(),
                conf.level,
                float(conf.sample),
                " ".join(conf.classes),
                str(seed),
                orjson.dumps(dataclasses.asdict(settings)).decode(),
                policy_hash(),
            ],
        )
        self._make = {
            r.MESSAGE: self._message,
            r.ADMIT: self._admit,
            r.END: self._end,
            r.TRY_START: self._try_start,
            r.TRY_END: self._try_end,
            r.PROBE_START: self._probe_start,
            r.PROBE_END: self._probe_end,
            r.NOTICE: self._notice,
            r.NOTICE_HEARD: self._notice_heard,
            r.LIST: self._list,
            r.VERDICT: self._verdict,
            r.STEP: self._step,
            r.STOP: self._stop,
            GONE: self._gone,
        }
        self._tell((clock(), STARTED))

    # What the core tells -------------------------------------------------------------------------

    def message(self, now: int, number: int, envelope: Any, cls: int, tenant: int, left: int, tries: int = 0) -> None:
        """A message that the core has numbered. ``envelope``: its id, dest and body."""
        self._tell((now, r.MESSAGE, number, envelope.id, envelope.dest, len(envelope.body), cls, tenant, left, tries))

    def rejected(self, now: int, envelope: Any, verdict: str, again_ms: float) -> None:
        """A message that the core did not get as far as numbering."""
        self._away += 1
        self.message(now, self._away, envelope, envelope.cls, envelope.tenant, envelope.time_left)
        self.admitted(now, self._away, verdict, again_ms)

    def admitted(self, now: int, number: int, verdict: str, again_ms: float) -> None:
        """A message was answered: its verdict, and when the client may come again, in milliseconds."""
        self._tell((now, r.ADMIT, number, verdict, again_ms))

    def ended(self, now: int, number: int, status: str, again_ms: float = 0.0) -> None:
        """A message came to its end."""
        self._tell((now, r.END, number, status, again_ms))

    def forgotten(self, now: int, number: int) -> None:
        """Nothing more is owed."""
        self._tell((now, GONE, number))

    def attempt_started(self, now: int, number: int, attempt: int, endpoint: int, timeout: int, fresh: bool) -> None:
        """An attempt was sent; ``timeout`` in µs, ``fresh``: on a new connection."""
        if self._tries:
            self._tell((now, r.TRY_START, number, attempt, endpoint, timeout, fresh))

    def attempt_ended(
        self,
        now: int,
        number: int,
        attempt: int,
        endpoint: int,
        result: int,
        spent: int,
        wait_ms: float,
        over: bool,
        report: tuple[float, ...],
    ) -> None:
        """An attempt came to its end; ``spent`` in µs, ``over``: the endpoint finished with it."""
        if self._tries:
            self._tell((now, r.TRY_END, number, attempt, endpoint, result, spent, wait_ms, over, report))

    def health_check_started(self, now: int, endpoint: int) -> None:
        """A health check of an endpoint was sent."""
        if self._tries:
            self._tell((now, r.PROBE_START, endpoint))

    def notice_queued(self, now: int, number: int, status: str, again_ms: int) -> None:
        """A notice to the platform is to be sent."""
        if self._tries:
            self._tell((now, r.NOTICE, number, status, again_ms))

    def notice_acknowledged(self, now: int, number: int) -> None:
        """The platform acknowledged a notice."""
        if self._tries:
            self._tell((now, r.NOTICE_HEARD, number))

    def events(self, now: int, events: Iterable) -> None:
        """What goes into the module; lists and probes are records of their own at lower levels too."""
        for event in events:
            kind = type(event)
            if kind is MembershipUpdate:
                # Named at once: an endpoint that leaves has no name any more when the record is made.
                self._tell((now, r.LIST, event, self._members(event)))
            elif kind is HealthChecked and self._tries:
                self._tell((now, r.PROBE_END, event))

    def verdict(
        self,
        now: int,
        source: str,
        unit: str,
        version: int,
        digest: str,
        outcome: str,
        counts: dict[str, int],
        reasons: str,
    ) -> None:
        """What became of a version of a list."""
        self._tell((now, r.VERDICT, source, unit, version, digest, outcome, counts, reasons))

    def step(self, now: int, events: list, actions: list, failed: bool) -> None:
        """One step of the module, to the last bit."""
        self._tell((now, r.STEP, events, actions, failed))

    def turn_ended(self) -> None:
        """The end of a turn."""
        if len(self._told) > self._most:
            self._cut()
        if not self._told or self._planned:
            return
        if self._conf.flush:
            self._planned = True
            self._later(self._conf.flush, self.flush)
        else:
            self.flush()

    def _cut(self) -> None:
        """Guards the memory, should more come in until the next flush than is meant to wait: the latest goes."""
        at, told = 0, self._told
        while at + WORDS[told[at + 1]] <= self._most:
            at += WORDS[told[at + 1]]
        end = at
        while at < len(told):
            at += WORDS[told[at + 1]]
            self._unkept += 1
        del told[end:]

    def stop(self, now: int, left: int) -> None:
        """Write the last record, with the number of messages that are left, and close the file."""
        self._tell((now, r.STOP, left))
        self.flush()
        self._files.close()

    # Writing -------------------------------------------------------------------------------------

    def flush(self) -> None:
        """Make records of what was told and write them, a frame a turn."""
        self._planned = False
        if not self._told:
            return
        told = self._told.copy()
        self._told.clear()
        now = self._clock()
        if now >= self._look_at:
            self._look_at = now + LOOK_EVERY
            offset = time.time_ns() // 1000 - now
            if abs(offset - self._offset) > STEPPED:
                self._offset = offset
        files, frames = self._files, []
        time_ = told[0]
        records: list[tuple[int, list]] = [self._start] if files.begins else []  # each file tells whose it is
        dropped = files.dropped
        if dropped.records and not files.failing:
            records.append(
                (r.DROPPED, [dropped.records, dropped.bytes, dropped.first, dropped.last, r.reason(dropped.reason)])
            )
        at, end, make = 0, len(told), self._make
        while at < end:
            if told[at] != time_:
                self._frame(frames, time_, records)
                time_, records = told[at], []
            what = told[at + 1]
            behind = at + WORDS[what]
            if what != STARTED:
                make[what](records, *told[at + 2 : behind])
            at = behind
        self._frame(frames, time_, records)
        failing = files.failing
        if files.put(frames) and dropped.records and not failing:
            files.recovered()
        if self._unkept:
            files.drop(self._unkept, time_, "memory")
            self._unkept = 0

    def _frame(self, frames: list[Frame], time_: int, records: list[tuple[int, list]]) -> None:
        if records:
            frames.append(Frame(self._source, time_, self._seq, self._offset, records))
            self._seq += len(records)
        for number in self._over:
            self._kept.pop(number, None)
        self._over.clear()

    # Records -------------------------------------------------------------------------------------

    def _message(
        self, records: list, number: int, id_: str, dest: int, size: int, cls: int, tenant: int, left: int, tries: int
    ) -> None:
        if not self._all and not self._wanted(id_, cls):
            return
        msg = self._kept[number] = r.Msg(number, id_, self._classes[cls], self._tenants[tenant], dest)
        records.append((r.MESSAGE, [msg, left if left > 0 else 0, size, tries]))

    def _admit(self, records: list, number: int, verdict: str, again_ms: float) -> None:
        if (msg := self._kept.get(number)) is not None:
            records.append((r.ADMIT, [msg, r.reason(verdict), again_ms]))
            if verdict != "taken":
                self._over.append(number)

    def _end(self, records: list, number: int, status: str, again_ms: float) -> None:
        if (msg := self._kept.get(number)) is not None:
            records.append((r.END, [msg, r.reason(status), again_ms]))

    def _gone(self, _records: list, number: int) -> None:
        self._over.append(number)

    def _try_start(self, records: list, number: int, attempt: int, endpoint: int, timeout: int, fresh: bool) -> None:
        if (msg := self._kept.get(number)) is not None:
            left = timeout if timeout > 0 else 0
            records.append((r.TRY_START, [msg, attempt, self._endpoint(endpoint), left, fresh]))

    def _try_end(
        self,
        records: list,
        number: int,
        attempt: int,
        endpoint: int,
        result: int,
        spent: int,
        wait_ms: float,
        over: bool,
        report: tuple[float, ...],
    ) -> None:
        if (msg := self._kept.get(number)) is not None:
            records.append(
                (
                    r.TRY_END,
                    [
                        msg,
                        attempt,
                        self._endpoint(endpoint),
                        RESULTS[result],
                        spent if spent > 0 else 0,
                        wait_ms,
                        over,
                        report,
                    ],
                )
            )

    def _probe_start(self, records: list, endpoint: int) -> None:
        records.append((r.PROBE_START, [self._endpoint(endpoint)]))

    def _probe_end(self, records: list, event: HealthChecked) -> None:
        records.append(
            (
                r.PROBE_END,
                [
                    self._endpoint(event.endpoint),
                    RESULTS[event.result],
                    max(0, round(event.spent * 1000)),
                    event.report,
                ],
            )
        )

    def _notice(self, records: list, number: int, status: str, again_ms: int) -> None:
        if (msg := self._kept.get(number)) is not None:
            records.append((r.NOTICE, [msg, r.reason(status), max(0, int(again_ms))]))

    def _notice_heard(self, records: list, number: int) -> None:
        if (msg := self._kept.get(number)) is not None:
            records.append((r.NOTICE_HEARD, [msg]))

    def _list(self, records: list, event: MembershipUpdate, rows: list[r.Member]) -> None:
        records.append((r.LIST, [int(event.kind), event.version, len(rows)]))
        if self._tries and rows:
            records.append((r.MEMBERS, [rows]))

    def _verdict(
        self,
        records: list,
        source: str,
        unit: str,
        version: int,
        digest: str,
        outcome: str,
        counts: dict[str, int],
        reasons: str,
    ) -> None:
        changed = [counts[name] for name in ("added", "drained", "resumed", "gone", "reweighted", "moved")]
        records.append((r.VERDICT, [source, unit, version, digest, outcome, *changed, reasons[:REASONS_MOST]]))

    def _step(self, records: list, events: list, actions: list, failed: bool) -> None:
        records.append((r.STEP, [len(events), len(actions), failed]))
        records += [self._event(event) for event in events]
        records += [self._action(action) for action in actions]

    def _stop(self, records: list, left: int) -> None:
        records.append((r.STOP, [left]))

    def _wanted(self, id_: str, cls: int) -> bool:
        wanted = not self._conf.classes or self._classes[cls][1] in self._conf.classes
        return wanted and sampled(id_, self._conf.sample)

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

    def _members(self, event: MembershipUpdate) -> list[r.Member]:
        rows = []
        for one in event.members:
            name = self._names(one.endpoint)
            rows.append(
                r.Member(
                    self._endpoint(one.endpoint),
                    int(one.lifecycle),
                    one.destination,
                    self._zones[one.zone],
                    self._kinds[one.kind],
                    one.weight,
                    name[1] if name else "",
                )
            )
        return rows

    def _msg(self, number: int) -> r.Msg:
        return self._kept.get(number) or r.Msg(number, "", r.UNKNOWN, r.UNKNOWN, 0)

    def _event(self, event: Any) -> tuple[int, list]:
        kind = type(event)
        if kind is Outcome:
            return r.IN_OUTCOME, [
                self._msg(event.id),
                event.attempt,
                self._endpoint(event.endpoint),
                int(event.result),
                event.spent,
                event.finished,
                event.wait,
                event.report,
            ]
        if kind is Message:
            return r.IN_MESSAGE, [
                self._msg(event.id),
                event.expires,
                event.attempts,
                event.maybe_executed_at,
                event.inherited,
            ]
        if kind is TimerDue:
            return r.IN_TIMER, [event.timer_id]
        if kind is Withdrawn:
            return r.IN_WITHDRAWN, [self._msg(event.id)]
        if kind is HealthChecked:
            return r.IN_PROBED, [self._endpoint(event.endpoint), int(event.result), event.spent, event.report]
        return r.IN_LIST, [int(event.kind), event.version, self._members(event)]

    def _action(self, action: Any) -> tuple[int, list]:
        kind = type(action)
        if kind is Attempt:
            return r.OUT_ATTEMPT, [self._msg(action.id), self._endpoint(action.endpoint), action.timeout, action.fresh]
        if kind is SetTimer:
            return r.OUT_TIMER, [action.timer_id, action.at]
        if kind is Cancel:
            return r.OUT_CANCEL, [self._msg(action.id), action.attempt]
        if kind is Refuse:
            return r.OUT_REFUSE, [self._msg(action.id), action.retry_after]
        if kind is Fail:
            return r.OUT_FAIL, [self._msg(action.id)]
        if kind is Subscribe:
            return r.OUT_SUBSCRIBE, [action.active]
        if kind is CloseIdle:
            return r.OUT_CLOSE_IDLE, [self._endpoint(action.endpoint)]
        if kind is Probe:
            return r.OUT_PROBE, [self._endpoint(action.endpoint)]
        if kind is Note:
            return r.OUT_NOTE, [action.text]
        return r.OUT_FETCH, []
