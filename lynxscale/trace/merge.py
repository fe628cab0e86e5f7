"""Any number of files as one stream, ordered by time, with doubles removed.

The order is that of each process's monotonic clock, laid on Unix time by one anchor a process, so that a wall clock
that is stepped reorders nothing: the anchor of its latest file, as a clock is set right sooner than wrong. A file is
open only while its time is there, so that thousands can be merged.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path

from lynxscale.trace.frames import Frame
from lynxscale.trace.reader import Loss, Reader, Select

OnLoss = Callable[[Loss], None]


def _process(source: str) -> str:
    """The part of a source that is the process's own: the same whether or not the relay's name was anonymised."""
    return source.rpartition("/")[2]


class Merge:
    """The frames of these files. ``on_loss`` hears of what could not be read, file by file."""

    def __init__(
        self,
        paths: Iterable[str | Path],
        on_loss: OnLoss = lambda _loss: None,
        select: Select | None = None,
        id_: str | None = None,
    ) -> None:
        self._paths, self._on_loss, self._select, self._id = list(paths), on_loss, select, id_
        self.doubles = 0  # records left out, as another file had them

    def __iter__(self) -> Iterator[Frame]:
        if len(self._paths) == 1:
            yield from self._read(self._paths[0])
            return
        offsets: dict[str, tuple[int, int]] = {}  # by source: time of the anchor's frame, and the anchor
        starts: list[tuple[int, str, int, int]] = []
        firsts: list[tuple[Frame, int]] = []
        for place, path in enumerate(self._paths):
            with Reader(path) as reader:
                for frame in reader.frames(self._select, self._id):
                    firsts.append((frame, place))
                    if frame.source not in offsets or offsets[frame.source][0] < frame.time:
                        offsets[frame.source] = (frame.time, frame.offset or 0)
                    break
                else:
                    for loss in reader.losses:
                        self._on_loss(loss)

        def key(frame: Frame) -> tuple[int, str, int]:
            anchor = offsets.setdefault(frame.source, (frame.time, frame.offset or 0))[1]
            return frame.time + anchor, _process(frame.source), frame.seq

        starts = [(*key(frame), place) for frame, place in firsts]
        heapq.heapify(starts)
        running: list[tuple[int, str, int, int, Frame, Iterator[Frame]]] = []
        last: dict[str, int] = {}
        while starts or running:
            if starts and (not running or starts[0][:3] <= running[0][:3]):
                place = heapq.heappop(starts)[3]
                source = self._read(self._paths[place])
                frame = next(source, None)
                if frame is not None:
                    heapq.heappush(running, (*key(frame), place, frame, source))
                continue
            _unix, _process_, _seq, place, frame, source = running[0]
            following = next(source, None)
            if following is None:
                heapq.heappop(running)
            else:
                heapq.heapreplace(running, (*key(following), place, following, source))
            new = self._new(frame, last)
            if new is not None:
                yield new

    def _new(self, frame: Frame, last: dict[str, int]) -> Frame | None:
        """What of a frame was not given yet. Within a source frames come in the order of their numbers."""
        seen = last.get(frame.source, -1)
        end = frame.seq + len(frame.records) - 1
        if frame.seq > seen:
            last[frame.source] = end
            return frame
        skip = min(seen - frame.seq + 1, len(frame.records))
        self.doubles += skip
        if end <= seen:
            return None
        last[frame.source] = end
        return frame._replace(seq=seen + 1, records=frame.records[skip:])

    def _read(self, path: str | Path) -> Iterator[Frame]:
        with Reader(path) as reader:
            yield from reader.frames(self._select, self._id)
            for loss in reader.losses:
                self._on_loss(loss)
