"""The journals' folders of one relay: whose they are, who may start, and what an ended process left behind."""

from __future__ import annotations

import os
import shutil
import time
from contextlib import suppress
from pathlib import Path

from lynxscale.relay.journal.format import UID, Entry
from lynxscale.relay.journal.log import manifest_of, segment_name
from lynxscale.relay.journal.port import Folder
from lynxscale.relay.journal.recover import Gap, recover
from lynxscale.relay.upgrade.board import Board, Half

FIRST = "segments"
GONE, TAKEN, HEIR = ".gone", "taken", "heir"
RELEASED = "released"  # numbers of messages that its process has let go of while it lives
RELEASED_SIZE = UID.size
LOOK_S = 0.02


def number_of(name: str) -> int | None:
    """The generation of a folder's name; None for others."""
    if name == FIRST:
        return 0
    stem, dot, digits = name.partition(".")
    return int(digits) if stem == FIRST and dot and digits.isascii() and digits.isdigit() else None


def folder_of(state: Path, generation: int) -> Path:
    return state / (f"{FIRST}.{generation}" if generation else FIRST)


def generations(state: Path) -> list[int]:
    """Those that are there, the oldest first."""
    return sorted(number for path in state.iterdir() if path.is_dir() and (number := number_of(path.name)) is not None)


class Claim:
    """A process's right to one folder, and those of earlier processes that it has to take over.

    ``half``: its own half of the board, ``other``: that of the one before it or of its heir; None without a board.
    """

    def __init__(self, state: Path, inode: int | None) -> None:
        self.state, self._inode = state, inode
        self.generation, self.heir = 0, False
        self.earlier: list[int] = []
        self.predecessor = -1  # of an heir: the one that serves; other earlier ones have ended
        self.half: Half | None = None
        self.other: Half | None = None
        self._door = Folder(state, HEIR)

    @property
    def path(self) -> Path:
        return folder_of(self.state, self.generation)

    def wait(self, seconds: float) -> None:
        """Raises BlockingIOError where another process has the folder for longer than that, and this is no heir."""
        end = time.monotonic() + seconds
        board = Board(self.state) if self._inode is not None else None
        while not self._try(board):
            # One that is told to stop may still be at it: the platform starts the next at once.
            if time.monotonic() > end:
                raise BlockingIOError(11, "another process has this journal", str(self.state))
            time.sleep(LOOK_S)

    def _try(self, board: Board | None) -> bool:
        """One try; with True this process holds the right to start, until ``settled``."""
        try:
            self._door.lock()
        except BlockingIOError:
            return False  # a third one
        there = generations(self.state)
        live = [number for number in there if not _free(folder_of(self.state, number))]
        halves = board.halves() if board is not None else None
        if not live:
            self.heir, self.generation = False, there[-1] if there else 0
            place = 0
        elif len(live) == 1 and halves is not None and (place := self._before(halves, live[0])) is not None:
            self.heir, self.generation, self.predecessor = True, there[-1] + 1, live[0]
            place = 1 - place
        else:
            self._door.unlock()
            return False
        self.earlier = [number for number in there if number != self.generation]
        if halves is not None:
            self.half, self.other = halves[place], halves[1 - place]
            self.half.begin(self.generation, self._inode or 0)
        return True

    def _before(self, halves: tuple[Half, Half], generation: int) -> int | None:
        """The half of the process that serves, if its listening socket is this very one."""
        for half in halves:
            told = half.read()
            if told is not None and told[1] == generation and told[2] == self._inode:
                return half.place
        return None

    def settled(self) -> None:
        """Nobody else is left: the next heir may come."""
        self.heir = False
        self._door.unlock()


def _free(path: Path) -> bool:
    port = Folder(path)
    try:
        port.lock()
    except BlockingIOError:
        return False
    port.unlock()
    return True


def alive(state: Path, generation: int) -> bool:
    """Has a process that folder?"""
    path = folder_of(state, generation)
    return path.is_dir() and not _free(path)


class Estate:
    """What a process that has ended left in its folder. Messages that are marked there are another's for good."""

    def __init__(self, state: Path, generation: int) -> None:
        self.path, self._port = folder_of(state, generation), Folder(folder_of(state, generation))
        self.gaps: list[Gap] = []
        self._marks = -1

    def take(self) -> bool:
        """Keep others out; False while its process lives."""
        try:
            self._port.lock()
        except BlockingIOError:
            return False
        return True

    def read(self) -> dict[int, Entry]:
        """The open messages that are not marked, by their number there. Raises OSError or Refused."""
        names = self._port.names()
        manifest = manifest_of(self._port, names)
        if manifest is None:
            return {}
        found = recover(
            manifest,
            {
                row.number: self._port.read(segment_name(row.number))
                for row in manifest.rows
                if segment_name(row.number) in names
            },
        )
        self.gaps = found.gaps
        marks = self._port.read(TAKEN) if TAKEN in names else b""
        # A mark that was cut short is of a message that the heir keeps and never sent: it knows it by its id.
        marked = {number for (number,) in UID.iter_unpack(marks[: len(marks) // UID.size * UID.size])}
        return {uid: entry for uid, entry in found.entries.items() if uid not in marked}

    def mark(self, numbers: list[int]) -> None:
        """These are kept by another process from now on. Raises OSError: then they must not be sent."""
        if self._marks < 0:
            path = self.path / TAKEN
            size = path.stat().st_size if path.exists() else 0
            handle = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o600)
            os.ftruncate(handle, size // UID.size * UID.size)
            self._marks = handle
        data = b"".join(UID.pack(number) for number in numbers)
        before = os.fstat(self._marks).st_size
        if os.write(self._marks, data) != len(data):
            os.ftruncate(self._marks, before)  # none of them: the caller keeps none
            raise OSError(28, "no space for marks")

    def close(self) -> None:
        """Nothing more is marked by this one."""
        if self._marks >= 0:
            os.close(self._marks)
            self._marks = -1

    def leave(self) -> None:
        """It stays as it is; nobody is kept out any longer. Guards against a lock that looks like a process alive."""
        self.close()
        self._port.unlock()

    def remove(self) -> None:
        """All is marked: the folder goes, at once or not at all."""
        self.close()
        gone = self.path.with_name(self.path.name + GONE)
        with suppress(OSError):
            os.rename(self.path, gone)
            shutil.rmtree(gone, ignore_errors=True)
        self._port.unlock()


def release(path: Path, numbers: list[int]) -> None:
    """Tell the heir which messages are its own from now on. Raises OSError: it then has them once this process ends."""
    handle = os.open(path / RELEASED, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o600)
    try:
        os.write(handle, b"".join(UID.pack(number) for number in numbers))
    finally:
        os.close(handle)


def released(path: Path, at: int) -> tuple[list[int], int]:
    """What was released from byte ``at`` on, and where to read on."""
    with suppress(OSError), open(path / RELEASED, "rb") as file:
        file.seek(at)
        data = file.read()
        whole = len(data) // UID.size * UID.size
        return [number for (number,) in UID.iter_unpack(data[:whole])], at + whole
    return [], at


def sweep(state: Path) -> None:
    """Remove what an earlier process was about to."""
    for path in state.iterdir():
        if path.name.endswith(GONE) and number_of(path.name.removesuffix(GONE)) is not None:
            shutil.rmtree(path, ignore_errors=True)
