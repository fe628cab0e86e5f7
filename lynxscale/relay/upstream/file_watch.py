"""Watched files as a source of lists: decides when to scan them and processes new versions.

A scan is scheduled when inotify reports anything in a watched folder. Files are also polled every ``poll`` µs, because
inotify does not report changes after its queue has overflowed, a replaced folder, or a change of a link's target.
Scanning blocks and is done in a thread; parsing, validating and applying a new version are done in the event loop, in
slices.
"""

from __future__ import annotations

import contextlib
import os
from collections.abc import Callable, Generator
from dataclasses import dataclass, field
from typing import Any

import structlog
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.python.failure import Failure
from twisted.python.filepath import FilePath

from lynxscale.relay.conf.settings import MembersConf
from lynxscale.relay.counters import Counters
from lynxscale.relay.deadlines import Deadline, Deadlines
from lynxscale.relay.exceptions import StoredListCorruptError
from lynxscale.relay.upstream import file_scan, files
from lynxscale.relay.upstream.background import SlicedRunner, Worker
from lynxscale.relay.upstream.file_scan import FileReadResult, Scan
from lynxscale.relay.upstream.group import FILES, Group
from lynxscale.relay.upstream.list_store import ListStore
from lynxscale.relay.upstream.model import (
    CandidateList,
    Destination,
    Endpoint,
    ListOutcome,
    ListVerdict,
    ShardedDict,
    SlicedWork,
    clear_in_slices,
    run_to_end,
)
from lynxscale.relay.upstream.rules import guards_of
from lynxscale.relay.upstream.validation import ActiveList, Guards, OwnershipIndex, evaluate
from lynxscale.relay.upstream.verdict_reporter import VerdictReporter

log = structlog.get_logger()

MIN_SCAN_DELAY_US = 100_000  # time from a scan's end to the next scan; bounds the work that a changing file causes
UNSTEADY_SCAN_DELAY_US = 10_000  # used instead if a file changed while it was read
INCOMPLETE_REPORT_DELAY_US = 5_000_000  # a file that stays incomplete for this long is reported
SLOW_SCAN_US = 1_000_000  # a scan that takes this long is reported: changes go unnoticed meanwhile
MAX_WATCHED_FILES = 1024  # files with state; bounds the memory if a writer keeps using new file names
LARGE_FILE_BYTES = 64 << 10  # parsing such a file or a larger one creates very many objects
INCOMPLETE_REPORTED = 1 << 62  # replaces ``incomplete_since`` once the incomplete file was reported


@dataclass(slots=True)
class WatchedFile:
    """One watched file, its version in force, and a pending version that awaits approval or a change of another file.

    ``version``, ``digest``, ``entries`` and ``destinations`` are those in force.
    """

    path: str
    version: int | None = None
    digest: str = ""
    entries: dict[str, Endpoint] = field(default_factory=dict)
    destinations: dict[int, Destination] = field(default_factory=dict)
    parsed_lines: ShardedDict = field(default_factory=ShardedDict)  # entries in force, by line
    stamp: file_scan.FileStamp = ()
    last_digest: str = ""  # digest of the bytes that were read last
    pending: ListVerdict | None = None  # not applied: needs approval, or conflicts with another file
    pending_data: bytes = b""
    incomplete_since: int | None = None  # µs of the event loop's clock
    stale_reason: str = ""  # why the file cannot be read at present

    def active_list(self) -> ActiveList:
        """The version in force."""
        return ActiveList(self.version, self.digest, self.entries)


class FileWatch:
    """A Source that reads watched files. Call ``start`` once; ``rescan`` makes it scan soon."""

    def __init__(
        self,
        reactor: Any,
        deadlines: Deadlines,
        conf: MembersConf,
        rules: files.Rules,
        group: Group,
        lists: ListStore,
        reporter: VerdictReporter,
        counters: Counters,
    ) -> None:
        self._reactor, self._deadlines, self._conf = reactor, deadlines, conf
        self._rules, self._guards = rules, guards_of(conf)
        self._group, self._lists, self._reporter, self._counters = group, lists, reporter, counters
        self._worker, self._runner = Worker(reactor), SlicedRunner(deadlines)
        self._files: dict[str, WatchedFile] = {}
        self._owners = OwnershipIndex()
        self._inotify: Any = None
        self._folders: dict[str, tuple[int, int]] = {}
        self._path_faults: list[str] = []
        self._timer: Deadline | None = None  # starts the next scan
        self._scanning = self._scan_again = self._stopped = False
        self._excess_reported = False  # whether an excess over MAX_WATCHED_FILES was reported
        self._verdict_rows: list[dict] = []
        self._version = 0

    # Source --------------------------------------------------------------------------------------

    def watch(self, active: bool) -> None:
        """Do nothing: files are always watched."""

    def fetch(self) -> None:
        """Scan the files soon."""
        self.rescan()

    def start(self) -> None:
        """Restore the last good lists and start scanning. Blocks, so it must be called before the relay serves."""
        reported = self._lists.reported_digests()
        for stored in self._lists.load_good():
            if isinstance(stored, StoredListCorruptError):
                log.error("list_stored_corrupt", error=str(stored))
            elif (path := self._configured(stored.unit)) is not None:
                self._restore(path, stored.data, stored.digest, reported is None or stored.digest in reported)
        self._start_inotify()
        self._scan()

    def _configured(self, unit: str) -> str | None:
        """The path of a stored list as the configuration writes it; None if it is no longer configured."""
        for path in self._conf.files:
            absolute = os.path.abspath(path)
            if absolute == unit:
                return path
            if os.path.dirname(unit) == absolute:
                return os.path.join(path, os.path.basename(unit))
        return None

    def _restore(self, path: str, data: bytes, digest: str, reported: bool) -> None:
        reading = run_to_end(files.read(data, path, self._rules, digest=digest))
        if reading.candidate is None:
            log.error("list_restore_failed", unit=path, error=" | ".join(map(str, reading.faults[:3])))
            return
        file = self._files[path] = WatchedFile(path)
        verdict = run_to_end(evaluate(file.active_list(), reading.candidate, self._owners, Guards()))
        if verdict.outcome != ListOutcome.APPLIED:
            log.error("list_restore_failed", unit=path, error=" | ".join(map(str, verdict.reasons[:3])))
            return
        run_to_end(self._apply(file, verdict, reading.parsed_lines))
        log.info("list_restored", unit=path, version=file.version, digest=digest[:16], endpoints=len(file.entries))
        if not reported:
            # The previous process may have ended after storing the list and before reporting its verdict. The version
            # is not new to this process, so it is reported here. If the verdict files were rotated since, the verdict
            # is reported a second time.
            self._report(verdict)

    def stop(self) -> None:
        """Stop scanning."""
        self._stopped = True
        self._deadlines.cancel(self._timer)
        if self._inotify is not None:
            self._inotify.loseConnection()

    def rescan(self) -> None:
        """Scan again soon."""
        if self._scanning:
            self._scan_again = True
        elif not self._stopped:
            self._schedule(MIN_SCAN_DELAY_US)

    # When to scan --------------------------------------------------------------------------------

    def _start_inotify(self) -> None:
        try:
            from twisted.internet import inotify

            self._inotify = inotify.INotify(self._reactor)
            self._inotify.startReading()
        except (ImportError, OSError, AttributeError) as error:
            self._inotify = None
            log.warning("list_watch_by_poll", error=str(error), poll_ms=self._conf.poll // 1000)

    def _watch_folders(self, folders: dict[str, tuple[int, int]]) -> None:
        """Watch exactly these folders; the watch of a replaced folder is renewed."""
        if self._inotify is None or folders == self._folders:
            return
        for folder in [one for one in self._folders if folders.get(one) != self._folders[one]]:
            with contextlib.suppress(KeyError, OSError):  # the kernel may have dropped it already
                self._inotify.ignore(FilePath(folder))
            del self._folders[folder]
        for folder, identity in folders.items():
            if folder not in self._folders:
                try:
                    self._inotify.watch(FilePath(folder), callbacks=[lambda *_: self.rescan()])
                    self._folders[folder] = identity
                except OSError as error:
                    self._reporter.event("list_watch_by_poll", folder=folder, error=str(error))

    def _schedule(self, delay: int) -> None:
        when = self._deadlines.now() + delay
        if self._timer is not None and self._timer.callback is not None:
            if self._timer.at <= when:
                return
            self._deadlines.cancel(self._timer)
        self._timer = self._deadlines.at(when, self._scan)

    def _scan(self) -> None:
        self._scanning, self._scan_again = True, False
        slow_timer = self._deadlines.after(SLOW_SCAN_US, self._report_slow)
        stamps = {path: file.stamp for path, file in self._files.items()}
        any_pending = any(file.pending is not None for file in self._files.values())
        approved: Callable = self._lists.approved_digests if any_pending else frozenset
        done = self._worker.call(file_scan.scan_files, self._conf.files, stamps, approved)
        done.addCallback(self._process_scan, slow_timer)
        done.addErrback(self._log_scan_error)
        done.addCallback(self._scan_finished, slow_timer)

    def _report_slow(self) -> None:
        self._reporter.event("list_scan_slow", seconds=SLOW_SCAN_US / 1e6)
        self._counters.add("lists", "slow_looks")

    def _log_scan_error(self, failure: Failure) -> None:
        """Log an unexpected error in a scan, so that a defect does not stop the scanning."""
        log.error("list_scan_failed", error=failure.getTraceback())

    def _scan_finished(self, unsteady: bool | None, slow_timer: Deadline) -> None:
        self._deadlines.cancel(slow_timer)
        self._scanning = False
        if self._stopped:
            return
        self._group.has_list = True
        if unsteady:
            self._schedule(UNSTEADY_SCAN_DELAY_US)
        self._schedule(MIN_SCAN_DELAY_US if self._scan_again else self._conf.poll)

    # Results of a scan -------------------------------------------------------------------------------

    @inlineCallbacks
    def _process_scan(self, scan: Scan, slow_timer: Deadline) -> Generator[Deferred, Any, bool]:
        """Process the results of a scan; returns whether a file must be read again soon."""
        self._deadlines.cancel(slow_timer)
        if self._stopped:
            return False
        self._watch_folders(scan.folders)
        for fault in scan.faults:
            if fault not in self._path_faults:
                self._reporter.event("list_path", error=fault)
        self._path_faults = scan.faults
        unsteady = applied = False
        for result in scan.results:
            file = self._file_of(result.path)
            if file is None:
                continue
            if result.status == file_scan.BYTES:
                file.stamp = result.stamp
                applied |= yield self._process(file, result)
            elif result.status == file_scan.ABSENT and not file.entries and file.path not in self._conf.files:
                yield self._forget(file)
            elif result.status in (file_scan.ABSENT, file_scan.UNREADABLE):
                self._mark_stale(file, result)
            elif result.status in (file_scan.UNSTEADY, file_scan.LATER):
                unsteady = True
            self._report_incomplete(file)
        yield self._retry_pending(scan.approved, applied)
        if self._verdict_rows:
            rows, self._verdict_rows = self._verdict_rows, []
            yield self._write(self._lists.append_verdicts, rows)
        return unsteady

    def _file_of(self, path: str) -> WatchedFile | None:
        """The state of a file; None for a new file beyond MAX_WATCHED_FILES."""
        file = self._files.get(path)
        if file is None:
            if len(self._files) >= MAX_WATCHED_FILES:
                self._report_excess(path)
                return None
            file = self._files[path] = WatchedFile(path)
        return file

    def _report_incomplete(self, file: WatchedFile) -> None:
        since = file.incomplete_since
        if since is not None and self._deadlines.now() - since > INCOMPLETE_REPORT_DELAY_US:
            file.incomplete_since = INCOMPLETE_REPORTED
            self._reporter.event("list_half_written", unit=file.path, wanted="a closing line: end COUNT")

    def _report_excess(self, path: str) -> None:
        if not self._excess_reported:
            self._excess_reported = True
            self._reporter.event("list_path", error=f"{path}: want at most {MAX_WATCHED_FILES} files with a list")

    @inlineCallbacks
    def _forget(self, file: WatchedFile) -> Generator[Deferred, Any, None]:
        """Drop the state of a removed file that has no entries, so that the tables do not grow forever."""
        yield self._discard_pending(file)
        del self._files[file.path]
        self._excess_reported = False
        run_to_end(self._owners.replace(file.path, {}, {}, ()))
        if file.version is not None:
            yield self._write(self._lists.remove_good, file.path)

    def _mark_stale(self, file: WatchedFile, result: FileReadResult) -> None:
        file.stamp, file.incomplete_since = (), None
        if file.stale_reason != result.reason:
            file.stale_reason = result.reason
            self._counters.add("lists", "stale")
            self._reporter.event(
                "list_stale", unit=file.path, reason=result.reason, kept=file.version, endpoints=len(file.entries)
            )

    @inlineCallbacks
    def _process(self, file: WatchedFile, result: FileReadResult) -> Generator[Deferred, Any, bool]:
        """Parse and validate a file that was read; returns whether it was applied."""
        if file.stale_reason:
            file.stale_reason = ""
            self._reporter.event("list_back", unit=file.path)
        if result.digest == file.last_digest:
            return False  # only touched, or read again because of a recent timestamp
        file.last_digest = result.digest
        reading = yield self._run(
            files.read(result.data, file.path, self._rules, file.parsed_lines, result.digest), result.data
        )
        if not reading.complete:
            file.incomplete_since = self._deadlines.now()
            return False
        file.incomplete_since = None
        yield self._discard_pending(file)
        if reading.candidate is None:
            self._report(
                ListVerdict(CandidateList(file.path, 0, result.digest, {}, {}), ListOutcome.REJECTED, reading.faults)
            )
            return False
        return (yield self._validate(file, reading.candidate, reading.parsed_lines, result.data, frozenset()))

    @inlineCallbacks
    def _discard_pending(self, file: WatchedFile) -> Generator[Deferred, Any, None]:
        """Drop the pending version, which another one supersedes."""
        pending, file.pending, file.pending_data = file.pending, None, b""
        if pending is not None and pending.outcome == ListOutcome.AWAITING_APPROVAL:
            yield self._write(self._lists.remove_awaiting, pending.candidate.digest)

    @inlineCallbacks
    def _validate(
        self,
        file: WatchedFile,
        candidate: CandidateList,
        parsed_lines: ShardedDict,
        data: bytes,
        approved: frozenset[str],
    ) -> Generator[Deferred, Any, bool]:
        """Validate a version and carry out the verdict; returns whether it was applied.

        ``approved``: digests that an operator has approved.
        """
        verdict = yield self._run(evaluate(file.active_list(), candidate, self._owners, self._guards, approved), data)
        if verdict.outcome == ListOutcome.SAME:
            return False
        was_pending = file.pending is not None and file.pending.candidate.digest == candidate.digest
        file.pending, file.pending_data = None, b""
        if verdict.outcome != ListOutcome.REJECTED:
            yield self._run(self._apply(file, verdict, parsed_lines), data)
        elif verdict.changes.drained:
            yield self._run(self._apply_drains(file, verdict), data)
        if verdict.outcome == ListOutcome.APPLIED:
            yield self._write(self._lists.save_good, file.path, candidate.digest, data)
            yield self._write(self._lists.remove_awaiting, candidate.digest)
        else:
            file.pending, file.pending_data = verdict, data
            if verdict.outcome == ListOutcome.AWAITING_APPROVAL and not was_pending:
                yield self._write(self._lists.save_awaiting, candidate.digest, data)
        if not was_pending or verdict.outcome == ListOutcome.APPLIED:
            self._report(verdict)
        return verdict.outcome == ListOutcome.APPLIED

    @inlineCallbacks
    def _retry_pending(self, approved: frozenset[str], applied: bool) -> Generator[Deferred, Any, None]:
        """Validate pending versions again if they were approved or if another file's list was ``applied``."""
        while True:
            for file in list(self._files.values()):
                pending = file.pending
                if pending is None or not (applied or pending.candidate.digest in approved):
                    continue
                if (yield self._validate(file, pending.candidate, file.parsed_lines, file.pending_data, approved)):
                    applied = True
                    break
            else:
                return

    def _apply(self, file: WatchedFile, verdict: ListVerdict, parsed_lines: ShardedDict) -> SlicedWork[None]:
        """Put the entries of a verdict in force."""
        old, candidate = file.entries, verdict.candidate
        if verdict.outcome == ListOutcome.APPLIED:
            destinations = candidate.destinations
            before, file.parsed_lines = file.parsed_lines, parsed_lines
            file.version, file.digest = candidate.version, candidate.digest
            if before is not parsed_lines:
                yield from before.clear_in_slices()
        else:
            destinations = file.destinations
        self._version += 1
        yield from self._group.replace(FILES, self._version, old, verdict.entries)
        yield from self._owners.replace(file.path, old, verdict.entries, destinations)
        file.entries, file.destinations = verdict.entries, destinations
        yield from clear_in_slices(old)

    def _apply_drains(self, file: WatchedFile, verdict: ListVerdict) -> SlicedWork[None]:
        return self._apply(file, verdict, file.parsed_lines)

    def _report(self, verdict: ListVerdict) -> None:
        self._counters.add("lists", verdict.outcome.value)
        self._verdict_rows.append(self._reporter.report(FILES, verdict))

    def _run(self, work: SlicedWork, data: bytes) -> Deferred:
        done = self._runner.run(work, len(data) >= LARGE_FILE_BYTES)
        self._counters.record_max("lists", "longest_hold_us", self._runner.longest_block_ns // 1000)
        return done

    @inlineCallbacks
    def _write(self, work: Callable, *args: Any) -> Generator[Deferred, Any, None]:
        """Call a writing method in the worker thread. Failures are reported and otherwise ignored."""
        try:
            yield self._worker.call(work, *args)
        except OSError as error:
            self._counters.add("lists", "not_written")
            self._reporter.event("list_not_written", error=str(error))
