"""Writes trace files of either version for the tools: complete, or not at all."""

from __future__ import annotations

import os
import tempfile
import time
from pathlib import Path
from typing import BinaryIO

from lynxscale.trace import head as h
from lynxscale.trace import v2
from lynxscale.trace.frames import Encoder, Frame

FILE_MODE = 0o640


class Output:
    """A context manager that writes a temporary file and renames it on success; an exception leaves no file."""

    def __init__(
        self, path: str | Path, version: int = 2, created: int | None = None, writer: str = "lynxscale"
    ) -> None:
        self.path = Path(path)
        if version not in (1, 2):
            raise ValueError(f"version {version}: want 1 or 2")
        fd, self._temporary = tempfile.mkstemp(prefix=f".{self.path.name}.", dir=self.path.parent)
        self._file: BinaryIO = os.fdopen(fd, "wb")
        os.fchmod(fd, FILE_MODE)
        head = h.pack_head(h.Head(version, 0, created if created is not None else time.time_ns() // 1000, writer))
        self._file.write(head)
        self._at = len(head)
        self._version, self._encoder = version, Encoder()
        self._packer, self._index = v2.Packer(), v2.IndexBuilder()
        self.frames = self.records = 0

    def put(self, frame: Frame) -> None:
        """Add a frame with at least one record."""
        if not frame.records:
            return
        self.frames += 1
        self.records += len(frame.records)
        if self._version == 1:
            self._encoder.reset()  # version 1 frames are decoded on their own
            self._write(h.pack_frame(self._encoder.payload(frame)))
            return
        self._packer.add(frame)
        if self._packer.full:
            self._seal()

    def _write(self, data: bytes) -> None:
        self._file.write(data)
        self._at += len(data)

    def _seal(self) -> None:
        packer, offset = self._packer, self._at
        data = packer.seal()
        self._write(data)
        self._index.add(v2.Place(offset, len(data), packer.number, packer.summary))
        packer.next()

    def __enter__(self) -> Output:
        return self

    def __exit__(self, kind: type | None, *_: object) -> None:
        try:
            if kind is None:
                if self._version == 2:
                    if self._packer.raw:
                        self._seal()
                    self._write(self._index.pack(self._at))
                self._file.flush()
                os.replace(self._temporary, self.path)
                self._temporary = ""
        finally:
            self._file.close()
            if self._temporary:
                Path(self._temporary).unlink(missing_ok=True)
