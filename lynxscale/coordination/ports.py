"""The interfaces (ports) through which a state machine accesses time, the network and durable files.

``lynxscale.runtime`` implements them with sockets, files and a thread, ``lab.tier`` with a simulator.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol, TypeVar

from lynxscale.coordination.messages import Message

Result = TypeVar("Result")


class Timer(Protocol):
    """A scheduled call."""

    def cancel(self) -> None:
        """Cancel the call; no effect if it was made already."""


class Clock(Protocol):
    """Time and scheduled calls, all on one thread."""

    def now(self) -> float:
        """Monotonic time in seconds, from an arbitrary origin."""

    def wall(self) -> float:
        """Unix time in seconds; it may jump when the system clock is set."""

    def call_later(self, delay: float, call: Callable[[], None]) -> Timer:
        """Call ``call`` once, ``delay`` seconds from now."""


class Worker(Protocol):
    """Long computations beside the state machine, one after the other."""

    def run(self, compute: Callable[[], Result], on_result: Callable[[Result], None]) -> None:
        """Call ``on_result(compute())`` later, on the state machine's thread; ``compute`` may run on another one."""


class Network(Protocol):
    """Messages between nodes. A message arrives once and in order, or not at all.

    Messages sent before a ``write`` or ``write_all`` of ``Files`` leave the node before it blocks in a sync.
    """

    def send(self, address: str, message: Message) -> None:
        """Send to the node at ``address`` (``host:port`` of its internal listener)."""

    def connection_id(self, address: str) -> int:
        """Identify the connection on which messages to a node are sent now, 0 if there is none.

        All messages that are sent while it is the same reach the same process of that node, if they arrive.
        """


class FileWriter(Protocol):
    """A file that is written in chunks."""

    def append(self, content: bytes) -> None:
        """Append a chunk. Raises OSError."""

    def finish(self) -> None:
        """Make content and name durable. If OSError is raised, the file of that name is as before."""

    def discard(self) -> None:
        """Remove what was written, without creating or changing the file of that name."""


class Files(Protocol):
    """A directory of small files. Each is written to a temporary file, synced and renamed into place."""

    def write(self, name: str, content: bytes) -> None:
        """Make content and name of a file durable. Raises OSError."""

    def write_all(self, contents: dict[str, bytes]) -> None:
        """Write several files with one sync of the directory, renaming them in order. Raises OSError."""

    def create(self, name: str) -> FileWriter:
        """Begin a file, which takes its name only in ``FileWriter.finish``. Raises OSError."""

    def read(self, name: str) -> bytes | None:
        """The content, or None if the file does not exist."""

    def read_chunk(self, name: str, offset: int, size: int) -> bytes | None:
        """Up to ``size`` bytes at an offset, fewer at the end; None if the file does not exist. Raises OSError."""

    def names(self) -> list[str]:
        """The sorted names of all complete files."""

    def remove(self, name: str) -> None:
        """Remove a file. The removal is durable once a later ``write`` has returned."""
