"""Watched files as a source of lists: when to look, and what becomes of what was seen.

A look is due at once when inotify tells of anything in a watched folder, and every ``poll`` in any case, as inotify
tells nothing of a queue that overflowed, a folder that was replaced or a link's far end. Looking blocks and is done in
a thread; reading what was seen, judging and applying it are done in the loop, in slices.
"""

from __future__ import annotations

import contextlib
import os
from collections.abc import Callable
from dataclasses import dataclass, field

import structlog
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.python.failure import Failure
from twisted.python.filepath import FilePath

from lynxscale.relay.conf.table import MembersConf
from lynxscale.relay.counters import Counters
from lynxscale.relay.deadlines import Deadlines
from lynxscale.relay.upstream import files
from lynxscale.relay.upstream import freshness as sight
from lynxscale.relay.upstream.decide import Guards, InForce, Owners, judge
from lynxscale.relay.upstream.freshness import Round, Sight
from lynxscale.relay.upstream.group import FILES, Group
from lynxscale.relay.upstream.model import (
    Candidate,
    Destination,
    Entry,
    Outcome,
    Shards,
    Slices,
    Verdict,
    finish,
    release,
)
from lynxscale.relay.upstream.rules import guards_of
from lynxscale.relay.upstream.slicer import Slicer, Worker
from lynxscale.relay.upstream.state import Lists, Spoilt
from lynxscale.relay.upstream.validation import Teller

log = structlog.get_logger()

GAP = 100_000  # µs between the ends and beginnings of looks: bounds the work that a flapping file makes
UNSTEADY_GAP = 10_000  # where a file changed while it was read
HALF_AFTER = 5_000_000  # a half-written file that stays one so long is told
SLOW = 1_000_000  # a look that takes so long is told: nothing new can be known meanwhile
UNITS_MOST = 1024  # files that have, or had, a list in force: guards against a writer of ever new names
LARGE = 64 << 10  # bytes of a file from which on its objects are very many


@dataclass(slots=True)
class Unit:
    """One watched file."""

    path: str
    version: int | None = None  # in force
    digest: str = ""  # in force
    entries: dict[str, Entry] = field(default_factory=dict)  # in force
    destinations: dict[int, Destination] = field(default_factory=dict)
    known: Shards = field(default_factory=Shards)  # its lines, for the next version
    mark: sight.Mark = ()
    seen: str = ""  # digest of what was seen last
    waits: Verdict | None = None  # for a word, or for another unit to give up what this one wants
    data: bytes = b""  # of the version that waits
    half: int | None = None  # half-written since then
    stale: str = ""  # why the file cannot be seen

    def in_force(self) -> InForce:
        return InForce(self.version, self.digest, self.entries)


class Watch:
    """The source: ``start`` it once; ``poke`` makes it look at once."""

    def __init__(
        self,
        reactor,
        deadlines: Deadlines,
        conf: MembersConf,
        rules: files.Rules,
        group: Group,
        lists: Lists,
        teller: Teller,
        counters: Counters,
    ) -> None:
        self._reactor, self._deadlines, self._conf = reactor, deadlines, conf
        self._rules, self._guards = rules, guards_of(conf)
        self._group, self._lists, self._teller, self._counters = group, lists, teller, counters
        self._worker, self._slicer = Worker(reactor), Slicer(deadlines)
        self._units: dict[str, Unit] = {}
        self._owners = Owners()
        self._notify = None
        self._watched: dict[str, tuple[int, int]] = {}
        self._faults: list[str] = []
        self._next = None  # the deadline of the next look
        self._looking = self._poked = self._stopped = self._full = False
        self._rows: list[dict] = []
        self._version = 0

    # Source --------------------------------------------------------------------------------------

    def watch(self, active: bool) -> None:
        """Files are watched always."""

    def fetch(self) -> None:
        self.poke()

    def start(self) -> None:
        """Take over the last good lists, and begin to look. Blocks, before anything is served."""
        told = self._lists.told()
        for good in self._lists.good():
            if isinstance(good, Spoilt):
                log.error("list_kept_spoilt", error=str(good))
            elif (path := self._configured(good.unit)) is not None:
                self._restore(path, good.data, good.digest, told is None or good.digest in told)
        self._start_notify()
        self._look()

    def _configured(self, unit: str) -> str | None:
        """The path of a unit as the configuration has it; None where it is not asked for any more."""
        for path in self._conf.files:
            whole = os.path.abspath(path)
            if whole == unit:
                return path
            if os.path.dirname(unit) == whole:
                return os.path.join(path, os.path.basename(unit))
        return None

    def _restore(self, path: str, data: bytes, digest: str, told: bool) -> None:
        reading = finish(files.read(data, path, self._rules, digest=digest))
        if reading.candidate is None:
            log.error("list_kept_unusable", unit=path, error=" | ".join(map(str, reading.faults[:3])))
            return
        unit = self._units[path] = Unit(path)
        verdict = finish(judge(unit.in_force(), reading.candidate, self._owners, Guards()))
        if verdict.outcome != Outcome.APPLIED:
            log.error("list_kept_unusable", unit=path, error=" | ".join(map(str, verdict.reasons[:3])))
            return
        finish(self._apply(unit, verdict, reading.known))
        log.info("list_kept", unit=path, version=unit.version, digest=digest[:16], endpoints=len(unit.entries))
        if not told:
            # Guards its verdict against the end of a process that had kept it and not told so yet: nothing about it is
            # new from here on. Where the file of verdicts has been turned over since, it is told once more.
            self._tell(verdict)

    def stop(self) -> None:
        self._stopped = True
        self._deadlines.cancel(self._next)
        if self._notify is not None:
            self._notify.loseConnection()

    def poke(self) -> None:
        """Look soon."""
        if self._looking:
            self._poked = True
        elif not self._stopped:
            self._plan(GAP)

    # When to look --------------------------------------------------------------------------------

    def _start_notify(self) -> None:
        try:
            from twisted.internet import inotify

            self._notify = inotify.INotify(self._reactor)
            self._notify.startReading()
        except (ImportError, OSError, AttributeError) as error:
            self._notify = None
            log.warning("list_watch_by_poll", error=str(error), poll_ms=self._conf.poll // 1000)

    def _follow(self, folders: dict[str, tuple[int, int]]) -> None:
        """Watch these folders; one that was replaced is watched anew."""
        if self._notify is None or folders == self._watched:
            return
        for folder in [one for one in self._watched if folders.get(one) != self._watched[one]]:
            with contextlib.suppress(KeyError, OSError):  # the kernel may have dropped it already
                self._notify.ignore(FilePath(folder))
            del self._watched[folder]
        for folder, identity in folders.items():
            if folder not in self._watched:
                try:
                    self._notify.watch(FilePath(folder), callbacks=[lambda *_: self.poke()])
                    self._watched[folder] = identity
                except OSError as error:
                    self._teller.event("list_watch_by_poll", folder=folder, error=str(error))

    def _plan(self, micros: int) -> None:
        when = self._deadlines.now() + micros
        if self._next is not None and self._next.callback is not None:
            if self._next.at <= when:
                return
            self._deadlines.cancel(self._next)
        self._next = self._deadlines.at(when, self._look)

    def _look(self) -> None:
        self._looking, self._poked = True, False
        late = self._deadlines.after(SLOW, self._slow)
        marks = {path: unit.mark for path, unit in self._units.items()}
        waits = any(unit.waits is not None for unit in self._units.values())
        approved: Callable = self._lists.approved if waits else frozenset
        done = self._worker.call(sight.look_round, self._conf.files, marks, approved)
        done.addCallback(self._seen, late)
        done.addErrback(self._failed)
        done.addCallback(self._rested, late)

    def _slow(self) -> None:
        self._teller.event("list_look_slow", seconds=SLOW / 1e6)
        self._counters.add("lists", "slow_looks")

    def _failed(self, failure: Failure) -> None:
        """Guards the watch against a fault of our own in one look: it is told, and the next one comes."""
        log.error("list_look_failed", error=failure.getTraceback())

    def _rested(self, unsteady: bool | None, late) -> None:
        self._deadlines.cancel(late)
        self._looking = False
        if self._stopped:
            return
        self._group.told = True
        if unsteady:
            self._plan(UNSTEADY_GAP)
        self._plan(GAP if self._poked else self._conf.poll)

    # What was seen -------------------------------------------------------------------------------

    @inlineCallbacks
    def _seen(self, found: Round, late):
        self._deadlines.cancel(late)
        if self._stopped:
            return False
        self._follow(found.folders)
        for fault in found.faults:
            if fault not in self._faults:
                self._teller.event("list_path", error=fault)
        self._faults = found.faults
        unsteady = applied = False
        for one in found.sights:
            unit = self._units.get(one.unit)
            if unit is None:
                if len(self._units) >= UNITS_MOST:
                    self._left_out(one.unit)
                    continue
                unit = self._units[one.unit] = Unit(one.unit)
            if one.what == sight.BYTES:
                unit.mark = one.mark
                applied |= yield self._bytes(unit, one)
            elif one.what == sight.ABSENT and not unit.entries and unit.path not in self._conf.files:
                yield self._forget(unit)
            elif one.what in (sight.ABSENT, sight.UNREADABLE):
                self._gone(unit, one)
            elif one.what in (sight.UNSTEADY, sight.LATER):
                unsteady = True
            if unit.half is not None and self._deadlines.now() - unit.half > HALF_AFTER:
                unit.half = 1 << 62  # told once
                self._teller.event("list_half_written", unit=unit.path, wanted="a closing line: end COUNT")
        yield self._waiting(found.approved, applied)
        if self._rows:
            rows, self._rows = self._rows, []
            yield self._write(self._lists.log, rows)
        return unsteady

    def _left_out(self, path: str) -> None:
        if not self._full:
            self._full = True
            self._teller.event("list_path", error=f"{path}: want at most {UNITS_MOST} files with a list")

    @inlineCallbacks
    def _forget(self, unit: Unit):
        """Guards against tables that grow with every file that ever was: one that held nothing has left its folder."""
        yield self._forgo(unit)
        del self._units[unit.path]
        self._full = False
        finish(self._owners.replace(unit.path, {}, {}, ()))
        if unit.version is not None:
            yield self._write(self._lists.forget, unit.path)

    def _gone(self, unit: Unit, one: Sight) -> None:
        unit.mark, unit.half = (), None
        if unit.stale != one.reason:
            unit.stale = one.reason
            self._counters.add("lists", "stale")
            self._teller.event(
                "list_stale", unit=unit.path, reason=one.reason, kept=unit.version, endpoints=len(unit.entries)
            )

    @inlineCallbacks
    def _bytes(self, unit: Unit, one: Sight):
        """Read and judge what was seen; whether it was applied."""
        if unit.stale:
            unit.stale = ""
            self._teller.event("list_back", unit=unit.path)
        if one.digest == unit.seen:
            return False  # touched, or seen before its times were sure
        unit.seen = one.digest
        reading = yield self._run(files.read(one.data, unit.path, self._rules, unit.known, one.digest), one.data)
        if not reading.whole:
            unit.half = self._deadlines.now()
            return False
        unit.half = None
        yield self._forgo(unit)
        if reading.candidate is None:
            self._tell(Verdict(Candidate(unit.path, 0, one.digest, {}, {}), Outcome.REJECTED, reading.faults))
            return False
        return (yield self._judge(unit, reading.candidate, reading.known, one.data, frozenset()))

    @inlineCallbacks
    def _forgo(self, unit: Unit):
        """What waited for a word has been overtaken by another version."""
        waits, unit.waits, unit.data = unit.waits, None, b""
        if waits is not None and waits.outcome == Outcome.HELD:
            yield self._write(self._lists.settle, waits.candidate.digest)

    @inlineCallbacks
    def _judge(self, unit: Unit, candidate: Candidate, known: Shards, data: bytes, approved: frozenset[str]):
        verdict = yield self._run(judge(unit.in_force(), candidate, self._owners, self._guards, approved), data)
        if verdict.outcome == Outcome.SAME:
            return False
        again = unit.waits is not None and unit.waits.candidate.digest == candidate.digest
        unit.waits, unit.data = None, b""
        if verdict.outcome != Outcome.REJECTED:
            yield self._run(self._apply(unit, verdict, known), data)
        elif verdict.changes.drained:
            yield self._run(self._drain(unit, verdict), data)
        if verdict.outcome == Outcome.APPLIED:
            yield self._write(self._lists.keep, unit.path, candidate.digest, data)
            yield self._write(self._lists.settle, candidate.digest)
        else:
            unit.waits, unit.data = verdict, data
            if verdict.outcome == Outcome.HELD and not again:
                yield self._write(self._lists.hold, candidate.digest, data)
        if not again or verdict.outcome == Outcome.APPLIED:
            self._tell(verdict)
        return verdict.outcome == Outcome.APPLIED

    @inlineCallbacks
    def _waiting(self, approved: frozenset[str], applied: bool):
        """Judge again what waits: a word has come, or another unit has given up what this one wants."""
        while True:
            for unit in list(self._units.values()):
                waits = unit.waits
                if waits is None or not (applied or waits.candidate.digest in approved):
                    continue
                if (yield self._judge(unit, waits.candidate, unit.known, unit.data, approved)):
                    applied = True
                    break
            else:
                return

    def _apply(self, unit: Unit, verdict: Verdict, known: Shards) -> Slices[None]:
        """Put a verdict's entries in force."""
        old, candidate = unit.entries, verdict.candidate
        if verdict.outcome == Outcome.APPLIED:
            destinations = candidate.destinations
            before, unit.known = unit.known, known
            unit.version, unit.digest = candidate.version, candidate.digest
            if before is not known:
                yield from before.release()
        else:
            destinations = unit.destinations
        self._version += 1
        yield from self._group.replace(FILES, self._version, old, verdict.entries)
        yield from self._owners.replace(unit.path, old, verdict.entries, destinations)
        unit.entries, unit.destinations = verdict.entries, destinations
        yield from release(old)

    def _drain(self, unit: Unit, verdict: Verdict) -> Slices[None]:
        return self._apply(unit, verdict, unit.known)

    def _tell(self, verdict: Verdict) -> None:
        self._counters.add("lists", verdict.outcome.value)
        self._rows.append(self._teller.verdict(FILES, verdict))

    def _run(self, work: Slices, data: bytes) -> Deferred:
        done = self._slicer.run(work, len(data) >= LARGE)
        self._counters.most("lists", "longest_hold_us", self._slicer.longest // 1000)
        return done

    @inlineCallbacks
    def _write(self, work: Callable, *args):
        """In the thread; what cannot be written is told, and holds nothing up."""
        try:
            yield self._worker.call(work, *args)
        except OSError as error:
            self._counters.add("lists", "not_written")
            self._teller.event("list_not_written", error=str(error))
