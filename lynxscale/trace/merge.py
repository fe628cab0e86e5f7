"""Merges any number of files into one stream, ordered by time and without duplicates.

Records are ordered by the monotonic clock of their process, mapped to Unix time by a single anchor per process, so that
a step of the wall clock does not reorder them. The anchor is that of the latest file of the process, because the clock
is more likely to be right later. A file is open only while its time range is merged, so thousands can be merged.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path

from lynxscale.trace.frames import Frame
from lynxscale.trace.reader import Loss, Reader, Select

OnLoss = Callable[[Loss], None]


def _process_id(source: str) -> str:
    """The process id in a source, which does not change when the name of the relay is anonymised."""
    return source.rpartition("/")[2]


class Merge:
    """Iterates over the frames of these files. ``on_loss`` is called with each range that could not be read."""

    def __init__(
        self,
        paths: Iterable[str | Path],
        on_loss: OnLoss = lambda _loss: None,
        select: Select | None = None,
        id_: str | None = None,
    ) -> None:
        self._paths, self._on_loss, self._select, self._id = list(paths), on_loss, select, id_
        self.duplicates = 0  # records skipped because another file had them

    def __iter__(self) -> Iterator[Frame]:
        if len(self._paths) == 1:
            yield from self._read(self._paths[0])
            return
        offsets: dict[str, tuple[int, int]] = {}  # by source: time of the frame with the anchor, and the anchor
        starts: list[tuple[int, str, int, int]] = []
        first_frames: list[tuple[Frame, int]] = []
        for index, path in enumerate(self._paths):
            with Reader(path) as reader:
                for frame in reader.frames(self._select, self._id):
                    first_frames.append((frame, index))
                    if frame.source not in offsets or offsets[frame.source][0] < frame.time:
                        offsets[frame.source] = (frame.time, frame.offset or 0)
                    break
                else:
                    for loss in reader.losses:
                        self._on_loss(loss)

        def key(frame: Frame) -> tuple[int, str, int]:
            anchor = offsets.setdefault(frame.source, (frame.time, frame.offset or 0))[1]
            return frame.time + anchor, _process_id(frame.source), frame.seq

        starts = [(*key(frame), index) for frame, index in first_frames]
        heapq.heapify(starts)
        running: list[tuple[int, str, int, int, Frame, Iterator[Frame]]] = []
        last: dict[str, int] = {}
        while starts or running:
            if starts and (not running or starts[0][:3] <= running[0][:3]):
                index = heapq.heappop(starts)[3]
                source = self._read(self._paths[index])
                frame = next(source, None)
                if frame is not None:
                    heapq.heappush(running, (*key(frame), index, frame, source))
                continue
            _unix, _process, _seq, index, frame, source = running[0]
            following = next(source, None)
            if following is None:
                heapq.heappop(running)
            else:
                heapq.heapreplace(running, (*key(following), index, following, source))
            unseen = self._without_duplicates(frame, last)
            if unseen is not None:
                yield unseen

    def _without_duplicates(self, frame: Frame, last: dict[str, int]) -> Frame | None:
        """The part of a frame that was not yielded yet. Frames of a source arrive in order of sequence numbers."""
        last_seq = last.get(frame.source, -1)
        end = frame.seq + len(frame.records) - 1
        if frame.seq > last_seq:
            last[frame.source] = end
            return frame
        skip = min(last_seq - frame.seq + 1, len(frame.records))
        self.duplicates += skip
        if end <= last_seq:
            return None
        last[frame.source] = end
        return frame._replace(seq=last_seq + 1, records=frame.records[skip:])

    def _read(self, path: str | Path) -> Iterator[Frame]:
        with Reader(path) as reader:
            yield from reader.frames(self._select, self._id)
            for loss in reader.losses:
                self._on_loss(loss)
