"""The journal folders of a relay: which process owns which, which process may start, and how a folder is inherited."""

from __future__ import annotations

import errno
import os
import shutil
import time
from contextlib import suppress
from pathlib import Path

from lynxscale.relay.journal.manifest_store import load_manifest, read_segments
from lynxscale.relay.journal.records import UID, Entry
from lynxscale.relay.journal.recovery import Gap, recover
from lynxscale.relay.journal.storage import FolderStorage
from lynxscale.relay.upgrade.board import Board, BoardHalf

FIRST_FOLDER = "segments"
REMOVED_SUFFIX = ".gone"  # marks a folder that is being removed
TAKEN_FILE = "taken"  # uids of the folder's messages that another process has adopted
RELEASED_FILE = "released"  # uids of messages that the folder's owner has released while it runs
START_LOCK = "heir"  # lock file, held by a process from its start until no other process is left
RELEASED_SIZE = UID.size  # bytes per released message
RETRY_INTERVAL_S = 0.02


def generation_of(name: str) -> int | None:
    """The generation in a journal folder's name; None for any other name."""
    if name == FIRST_FOLDER:
        return 0
    stem, dot, digits = name.partition(".")
    return int(digits) if stem == FIRST_FOLDER and dot and digits.isascii() and digits.isdigit() else None


def folder_of(state: Path, generation: int) -> Path:
    """The folder of a generation."""
    return state / (f"{FIRST_FOLDER}.{generation}" if generation else FIRST_FOLDER)


def generations(state: Path) -> list[int]:
    """The generations whose folder exists, oldest first."""
    return sorted(
        number for path in state.iterdir() if path.is_dir() and (number := generation_of(path.name)) is not None
    )


class Claim:
    """A process's claim to its own folder, and the folders of earlier processes that it must adopt.

    ``half`` is its half of the board, ``other`` that of its predecessor or successor; both are None without a board.
    ``inode`` identifies the listening socket; it is None if the process was not given one, and there is no board then.
    """

    def __init__(self, state: Path, inode: int | None) -> None:
        self.state, self._inode = state, inode
        self.generation, self.is_successor = 0, False
        self.earlier: list[int] = []
        self.predecessor = -1  # the serving generation if this is a successor; all other earlier processes have ended
        self.half: BoardHalf | None = None
        self.other: BoardHalf | None = None
        self._start_lock = FolderStorage(state, START_LOCK)

    @property
    def path(self) -> Path:
        """The folder that this process owns."""
        return folder_of(self.state, self.generation)

    def wait(self, seconds: float) -> None:
        """Wait until this process may start.

        Raises BlockingIOError if another process still holds the folder after ``seconds`` and this process cannot be
        its successor.
        """
        end = time.monotonic() + seconds
        board = Board(self.state) if self._inode is not None else None
        while not self._try_claim(board):
            # The previous process may still be stopping, because the platform starts the next one at once.
            if time.monotonic() > end:
                raise BlockingIOError(errno.EAGAIN, "another process has this journal", str(self.state))
            time.sleep(RETRY_INTERVAL_S)

    def _try_claim(self, board: Board | None) -> bool:
        """Try to claim a folder. On success this process holds the start lock until ``release_start_lock``."""
        try:
            self._start_lock.lock()
        except BlockingIOError:
            return False  # another process is starting, or there are already two
        existing = generations(self.state)
        live = [number for number in existing if not _is_free(folder_of(self.state, number))]
        halves = board.halves() if board is not None else None
        if not live:
            self.is_successor, self.generation = False, existing[-1] if existing else 0
            index = 0
        elif len(live) == 1 and halves is not None and (index := self._half_of(halves, live[0])) is not None:
            self.is_successor, self.generation, self.predecessor = True, existing[-1] + 1, live[0]
            index = 1 - index
        else:
            self._start_lock.unlock()
            return False
        self.earlier = [number for number in existing if number != self.generation]
        if halves is not None:
            self.half, self.other = halves[index], halves[1 - index]
            self.half.begin(self.generation, self._inode or 0)
        return True

    def _half_of(self, halves: tuple[BoardHalf, BoardHalf], generation: int) -> int | None:
        """Index of the serving process's half, if that process has the same listening socket; otherwise None."""
        for half in halves:
            published = half.read()
            if published is not None and published[1] == generation and published[2] == self._inode:
                return half.index
        return None

    def release_start_lock(self) -> None:
        """Let the next successor start, as no earlier process is left."""
        self.is_successor = False
        self._start_lock.unlock()


def _is_free(path: Path) -> bool:
    storage = FolderStorage(path)
    try:
        storage.lock()
    except BlockingIOError:
        return False
    storage.unlock()
    return True


def alive(state: Path, generation: int) -> bool:
    """Whether a running process holds the folder of this generation."""
    path = folder_of(state, generation)
    return path.is_dir() and not _is_free(path)


class InheritedJournal:
    """The journal of another process, whose messages this process adopts.

    A message that is marked as taken belongs permanently to the process that adopted it.
    """

    def __init__(self, state: Path, generation: int) -> None:
        self.path, self._storage = folder_of(state, generation), FolderStorage(folder_of(state, generation))
        self.gaps: list[Gap] = []
        self._taken_handle = -1

    def lock(self) -> bool:
        """Lock the folder; returns False while its own process still runs."""
        try:
            self._storage.lock()
        except BlockingIOError:
            return False
        return True

    def read(self) -> dict[int, Entry]:
        """Return the open messages that are not taken, by uid. Raises OSError or JournalFormatError."""
        names = self._storage.names()
        manifest = load_manifest(self._storage, names)
        if manifest is None:
            return {}
        recovered = recover(manifest, read_segments(self._storage, manifest, names))
        self.gaps = recovered.gaps
        data = self._storage.read(TAKEN_FILE) if TAKEN_FILE in names else b""
        # A truncated uid belongs to a message that the adopting process has recorded and not yet sent; adopting it
        # again is harmless, because that process recognises it by its id.
        taken = {number for (number,) in UID.iter_unpack(data[: len(data) // UID.size * UID.size])}
        return {uid: entry for uid, entry in recovered.entries.items() if uid not in taken}

    def mark_taken(self, uids: list[int]) -> None:
        """Mark messages as adopted by another process. If this raises OSError, that process must not send them."""
        if self._taken_handle < 0:
            path = self.path / TAKEN_FILE
            size = path.stat().st_size if path.exists() else 0
            handle = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o600)
            os.ftruncate(handle, size // UID.size * UID.size)
            self._taken_handle = handle
        data = b"".join(UID.pack(uid) for uid in uids)
        before = os.fstat(self._taken_handle).st_size
        if os.write(self._taken_handle, data) != len(data):
            os.ftruncate(self._taken_handle, before)  # mark none of them, because the caller adopts none
            raise OSError(errno.ENOSPC, "no space to mark messages as taken")

    def close(self) -> None:
        """Close the file of taken messages."""
        if self._taken_handle >= 0:
            os.close(self._taken_handle)
            self._taken_handle = -1

    def abandon(self) -> None:
        """Unlock the folder and leave it as it is; a lock that was kept would look like a running process."""
        self.close()
        self._storage.unlock()

    def remove(self) -> None:
        """Remove the folder, once all its messages are taken. It is renamed first, so that the removal is atomic."""
        self.close()
        removed = self.path.with_name(self.path.name + REMOVED_SUFFIX)
        with suppress(OSError):
            os.rename(self.path, removed)
            shutil.rmtree(removed, ignore_errors=True)
        self._storage.unlock()


def append_released(path: Path, uids: list[int]) -> None:
    """Release messages to the successor. If this raises OSError, the successor adopts them when this process ends."""
    handle = os.open(path / RELEASED_FILE, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o600)
    try:
        os.write(handle, b"".join(UID.pack(uid) for uid in uids))
    finally:
        os.close(handle)


def read_released(path: Path, offset: int) -> tuple[list[int], int]:
    """Return the uids of messages that were released after byte ``offset``, and the offset for the next call."""
    with suppress(OSError), open(path / RELEASED_FILE, "rb") as file:
        file.seek(offset)
        data = file.read()
        complete = len(data) // UID.size * UID.size
        return [uid for (uid,) in UID.iter_unpack(data[:complete])], offset + complete
    return [], offset


def remove_leftovers(state: Path) -> None:
    """Remove folders whose removal an earlier process did not finish."""
    for path in state.iterdir():
        if path.name.endswith(REMOVED_SUFFIX) and generation_of(path.name.removesuffix(REMOVED_SUFFIX)) is not None:
            shutil.rmtree(path, ignore_errors=True)
