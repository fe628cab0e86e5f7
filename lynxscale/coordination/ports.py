"""What a state machine needs from its process: time, messages and files that outlast it.

``lynxscale.runtime`` serves these ports by sockets and files, ``lab.tier`` by a simulator.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from lynxscale.coordination.messages import Message


class Timer(Protocol):
    """A call that is due later."""

    def cancel(self) -> None:
        """Cancel the call; no effect where it was made already."""


class Clock(Protocol):
    """Time and deferred calls, all on one thread."""

    def now(self) -> float:
        """Steady time in seconds; its zero has no meaning."""

    def wall(self) -> float:
        """Unix time in seconds; it may be stepped."""

    def call_later(self, delay: float, call: Callable[[], None]) -> Timer:
        """Make the call once, ``delay`` seconds from now."""


class Network(Protocol):
    """Datagrams between nodes: a message arrives once, in order, or not at all.

    Messages sent before a ``write`` or ``write_all`` of ``Files`` leave the node before its syncs block.
    """

    def send(self, address: str, message: Message) -> None:
        """Send to the node at ``address`` (``host:port`` of its internal listener)."""


class FileWriter(Protocol):
    """A file that is written in chunks."""

    def append(self, content: bytes) -> None:
        """Append a chunk. Raises OSError."""

    def finish(self) -> None:
        """Return once content and name are on stable storage. Raises OSError; the file is then as before."""

    def discard(self) -> None:
        """Remove what was written; no file of that name appears."""


class Files(Protocol):
    """A folder of small files, each written aside, synced and renamed into place."""

    def write(self, name: str, content: bytes) -> None:
        """Return once content and name are on stable storage. Raises OSError."""

    def write_all(self, contents: dict[str, bytes]) -> None:
        """Write several files with one sync of the folder; they take their names in order. Raises OSError."""

    def create(self, name: str) -> FileWriter:
        """Begin a file of that name, which counts once it is finished. Raises OSError."""

    def read(self, name: str) -> bytes | None:
        """The content, or None where there is no such file."""

    def read_chunk(self, name: str, offset: int, size: int) -> bytes | None:
        """At most ``size`` bytes from an offset, fewer at the end; None where there is no such file. Raises OSError."""

    def names(self) -> list[str]:
        """All complete files, sorted."""

    def remove(self, name: str) -> None:
        """The removal is durable once a later ``write`` has returned."""
