"""The trace recorder of the daemon: implements the trace port of the relay, and writes records in batches.

It filters records by level, message class and sample. Sampling depends only on the message id, so every relay keeps
the same messages, each with all its records. Bodies and idempotency keys are never recorded.
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

MAX_ENDPOINT_NAMES = 8192  # cached; beyond that the oldest is evicted
CLOCK_STEP_US = 1000  # a larger change of the offset between the clocks is recorded as a new anchor
CLOCK_CHECK_US = 1_000_000  # interval of reading the wall clock
FIRST_REJECTED_NUMBER = 1 << 40  # numbers of messages rejected before the relay numbered them
MAX_REASONS_CHARS = 4096  # of the reasons for the rejection of a list
SLOT_BYTES = 32  # estimated memory of one slot of the queue
STARTED, FORGOTTEN = 0, -1  # queue entries that make no record: the process started; a message is finished
# Queue slots of an entry, by type: the time, the type, and the arguments of the method that builds its record.
ENTRY_SLOTS = {
    STARTED: 2,
    FORGOTTEN: 3,
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
    """Whether a message with this id is recorded; the same on every relay."""
    return share >= 1 or crc32c(id_.encode("utf-8", "surrogatepass")) < share * (1 << 32)


def policy_hash() -> str:
    """Digest of the source of all scheduling modules; it identifies the version of the decision code."""
    digest = hashlib.sha256()
    for path in sorted(Path(scheduling.__file__).parent.glob("*.py")):
        digest.update(path.name.encode() + b"\0" + path.read_bytes())
    return digest.hexdigest()[:16]


def _version() -> str:
    try:
        return version("lynxscale")
    except PackageNotFoundError:  # run from a checkout without installation
        return "unknown"


class Recorder:
    """Turns the calls of the trace port into records.

    Each hook only queues its arguments. The records are built and written together ``flush`` µs later (immediately if
    that is 0): building them in one batch costs less than half of building them one by one between other work.
    ``later`` schedules a call after a number of µs. ``names`` returns the id and address of an endpoint by its number.
    ``report_event`` logs an event of the trace files.
    """

    def __init__(
        self,
        conf: TraceConf,
        settings: Settings,
        relay: str,
        seed: int,
        names: Callable[[int], tuple[str, str] | None],
        report_event: Callable[..., None],
        later: Callable[[int, Callable[[], None]], object],
        clock: Callable[[], int] = lambda: time.monotonic_ns() // 1000,
    ) -> None:
        self._conf, self._names, self._later, self._clock = conf, names, later, clock
        self.decisions = conf.level == "decisions"
        process = os.urandom(6).hex()
        self._source = f"{relay}/{process}"
        self._files = Files(conf, relay, report_event, clock)
        self._classes = [(index, one.name) for index, one in enumerate(settings.classes)]
        self._tenants = [(index, one.name) for index, one in enumerate(settings.tenants)] or [r.UNKNOWN]
        self._kinds = list(enumerate(settings.kinds)) or [r.UNKNOWN]
        self._zones = list(enumerate(settings.zones)) or [r.UNKNOWN]
        self._keep_all = conf.sample >= 1 and not conf.classes
        self._with_attempts = conf.level != "ends"
        self._endpoints: dict[int, r.Handle] = {}
        self._messages: dict[int, r.Msg] = {}
        self._finished: list[int] = []  # numbers of messages that finished in the current frame
        self._rejected_number = FIRST_REJECTED_NUMBER
        # Entries since the last flush: time, type and arguments, one after the other. The list is flat: visits of the
        # garbage collector to one tuple per entry cost as much as writing the entries.
        self._queue: list = []
        self._enqueue = self._queue.extend
        self._flush_planned = False
        self._seq = self._check_clock_at = 0
        self._offset = time.time_ns() // 1000 - clock()
        self._max_slots = conf.memory // SLOT_BYTES
        self._overflowed = 0  # entries dropped since the last flush because the queue was full
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
        self._builders = {
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
            FORGOTTEN: self._forget,
        }
        self._enqueue((clock(), STARTED))

    # Hooks of the trace port -------------------------------------------------------------------------

    def message(self, now: int, number: int, envelope: Any, cls: int, tenant: int, left: int, tries: int = 0) -> None:
        """Record a message that the relay has numbered; ``envelope`` has its id, dest and body."""
        self._enqueue(
            (now, r.MESSAGE, number, envelope.id, envelope.dest, len(envelope.body), cls, tenant, left, tries)
        )

    def rejected(self, now: int, envelope: Any, verdict: str, again_ms: float) -> None:
        """Record a message that was rejected before the relay numbered it."""
        self._rejected_number += 1
        self.message(now, self._rejected_number, envelope, envelope.cls, envelope.tenant, envelope.time_left)
        self.admitted(now, self._rejected_number, verdict, again_ms)

    def admitted(self, now: int, number: int, verdict: str, again_ms: float) -> None:
        """Record the admission verdict of a message, and after how many milliseconds the client may retry."""
        self._enqueue((now, r.ADMIT, number, verdict, again_ms))

    def ended(self, now: int, number: int, status: str, again_ms: float = 0.0) -> None:
        """Record the final status of a message."""
        self._enqueue((now, r.END, number, status, again_ms))

    def forgotten(self, now: int, number: int) -> None:
        """Note that a message is finished, and nothing more is recorded of it."""
        self._enqueue((now, FORGOTTEN, number))

    def attempt_started(self, now: int, number: int, attempt: int, endpoint: int, timeout: int, fresh: bool) -> None:
        """Record that an attempt was sent; ``timeout`` is in µs, ``fresh`` means on a new connection."""
        if self._with_attempts:
            self._enqueue((now, r.TRY_START, number, attempt, endpoint, timeout, fresh))

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
        """Record the result of an attempt; ``spent`` is in µs, ``over`` means that the endpoint finished it."""
        if self._with_attempts:
            self._enqueue((now, r.TRY_END, number, attempt, endpoint, result, spent, wait_ms, over, report))

    def health_check_started(self, now: int, endpoint: int) -> None:
        """Record that a health check of an endpoint was sent."""
        if self._with_attempts:
            self._enqueue((now, r.PROBE_START, endpoint))

    def notice_queued(self, now: int, number: int, status: str, again_ms: int) -> None:
        """Record that a notice to the platform was queued."""
        if self._with_attempts:
            self._enqueue((now, r.NOTICE, number, status, again_ms))

    def notice_acknowledged(self, now: int, number: int) -> None:
        """Record that the platform acknowledged a notice."""
        if self._with_attempts:
            self._enqueue((now, r.NOTICE_HEARD, number))

    def events(self, now: int, events: Iterable) -> None:
        """Record membership updates and health checks, which lower levels than ``decisions`` have too."""
        for event in events:
            kind = type(event)
            if kind is MembershipUpdate:
                # Look up the names now: an endpoint that leaves has no name any more when the record is built.
                self._enqueue((now, r.LIST, event, self._members(event)))
            elif kind is HealthChecked and self._with_attempts:
                self._enqueue((now, r.PROBE_END, event))

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
        """Record the verdict on a version of a list."""
        self._enqueue((now, r.VERDICT, source, unit, version, digest, outcome, counts, reasons))

    def step(self, now: int, events: list, actions: list, failed: bool) -> None:
        """Record one step of the scheduler with all its events and actions, without loss."""
        self._enqueue((now, r.STEP, events, actions, failed))

    def turn_ended(self) -> None:
        """End a turn: bound the queue, then flush it or schedule a flush."""
        if len(self._queue) > self._max_slots:
            self._drop_newest()
        if not self._queue or self._flush_planned:
            return
        if self._conf.flush:
            self._flush_planned = True
            self._later(self._conf.flush, self.flush)
        else:
            self.flush()

    def _drop_newest(self) -> None:
        """Drop the newest entries beyond the memory limit of the queue."""
        at, queue = 0, self._queue
        while at + ENTRY_SLOTS[queue[at + 1]] <= self._max_slots:
            at += ENTRY_SLOTS[queue[at + 1]]
        end = at
        while at < len(queue):
            at += ENTRY_SLOTS[queue[at + 1]]
            self._overflowed += 1
        del queue[end:]

    def stop(self, now: int, left: int) -> None:
        """Write the last record, with the number of open messages, and close the file."""
        self._enqueue((now, r.STOP, left))
        self.flush()
        self._files.close()

    # Writing -------------------------------------------------------------------------------------

    def flush(self) -> None:
        """Build the records of all queued entries and write them, one frame per turn."""
        self._flush_planned = False
        if not self._queue:
            return
        queue = self._queue.copy()
        self._queue.clear()
        now = self._clock()
        if now >= self._check_clock_at:
            self._check_clock_at = now + CLOCK_CHECK_US
            offset = time.time_ns() // 1000 - now
            if abs(offset - self._offset) > CLOCK_STEP_US:
                self._offset = offset
        files, frames = self._files, []
        time_ = queue[0]
        # Each file begins with the start record.
        records: list[tuple[int, list]] = [self._start] if files.starts_file else []
        dropped = files.dropped
        if dropped.records and not files.failing:
            records.append(
                (r.DROPPED, [dropped.records, dropped.bytes, dropped.first, dropped.last, r.reason(dropped.reason)])
            )
        at, end, builders = 0, len(queue), self._builders
        while at < end:
            if queue[at] != time_:
                self._frame(frames, time_, records)
                time_, records = queue[at], []
            kind = queue[at + 1]
            next_at = at + ENTRY_SLOTS[kind]
            if kind != STARTED:
                builders[kind](records, *queue[at + 2 : next_at])
            at = next_at
        self._frame(frames, time_, records)
        failing = files.failing
        if files.put(frames) and dropped.records and not failing:
            files.recovered()
        if self._overflowed:
            files.drop(self._overflowed, time_, "memory")
            self._overflowed = 0

    def _frame(self, frames: list[Frame], time_: int, records: list[tuple[int, list]]) -> None:
        if records:
            frames.append(Frame(self._source, time_, self._seq, self._offset, records))
            self._seq += len(records)
        for number in self._finished:
            self._messages.pop(number, None)
        self._finished.clear()

    # Records -------------------------------------------------------------------------------------

    def _message(
        self, records: list, number: int, id_: str, dest: int, size: int, cls: int, tenant: int, left: int, tries: int
    ) -> None:
        if not self._keep_all and not self._wanted(id_, cls):
            return
        msg = self._messages[number] = r.Msg(number, id_, self._classes[cls], self._tenants[tenant], dest)
        records.append((r.MESSAGE, [msg, left if left > 0 else 0, size, tries]))

    def _admit(self, records: list, number: int, verdict: str, again_ms: float) -> None:
        if (msg := self._messages.get(number)) is not None:
            records.append((r.ADMIT, [msg, r.reason(verdict), again_ms]))
            if verdict != "taken":
                self._finished.append(number)

    def _end(self, records: list, number: int, status: str, again_ms: float) -> None:
        if (msg := self._messages.get(number)) is not None:
            records.append((r.END, [msg, r.reason(status), again_ms]))

    def _forget(self, _records: list, number: int) -> None:
        self._finished.append(number)

    def _try_start(self, records: list, number: int, attempt: int, endpoint: int, timeout: int, fresh: bool) -> None:
        if (msg := self._messages.get(number)) is not None:
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
        if (msg := self._messages.get(number)) is not None:
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
        if (msg := self._messages.get(number)) is not None:
            records.append((r.NOTICE, [msg, r.reason(status), max(0, int(again_ms))]))

    def _notice_heard(self, records: list, number: int) -> None:
        if (msg := self._messages.get(number)) is not None:
            records.append((r.NOTICE_HEARD, [msg]))

    def _list(self, records: list, event: MembershipUpdate, rows: list[r.Member]) -> None:
        records.append((r.LIST, [int(event.kind), event.version, len(rows)]))
        if self._with_attempts and rows:
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
        records.append((r.VERDICT, [source, unit, version, digest, outcome, *changed, reasons[:MAX_REASONS_CHARS]]))

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
            if len(self._endpoints) > MAX_ENDPOINT_NAMES:
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
        return self._messages.get(number) or r.Msg(number, "", r.UNKNOWN, r.UNKNOWN, 0)

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
