"""The trace format: both versions, truncated or damaged at any byte, and written by older or newer programs."""

import os
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lynxscale.relay.conf.settings import TraceConf
from lynxscale.trace import head as h
from lynxscale.trace import records as r
from lynxscale.trace import rotation, v2
from lynxscale.trace.exceptions import MalformedDataError
from lynxscale.trace.fields import get_ms, get_text, get_uint, put_ms, put_text, put_uint
from lynxscale.trace.frames import Decoder, Encoder, Frame
from lynxscale.trace.reader import NotATraceError, Reader
from tests import traces

DATA = Path(__file__).parent / "data" / "trace"
texts = st.text(max_size=12)
counts = st.integers(0, 1 << 62)
handles = st.tuples(st.integers(0, 50), st.text(min_size=1, max_size=8)).map(lambda pair: (pair[0], pair[1]))
floats = st.floats(allow_nan=False)


def values_of(one: r.Type):
    """Strategy for records of a type. Each number in a table of names always has the same text, as in a relay."""

    def handle(table):
        return counts.map(lambda number: (number, f"{table}{number}"))

    msg = st.builds(lambda n, d: r.Msg(n, f"id{n}", (n % 3, f"c{n % 3}"), (n % 2, f"n{n % 2}"), d), counts, st.just(7))
    member = st.builds(r.Member, handle("e"), st.integers(0, 2), counts, handle("z"), handle("k"), floats, texts)
    kinds = {
        "u": counts,
        "i": st.integers(-(1 << 62), 1 << 62),
        "t": texts,
        "b": st.booleans(),
        "x": floats,
        "a": floats,
        "f": floats,
        "F": st.lists(floats, max_size=3).map(tuple),
        "M": msg,
        "L": st.lists(member, max_size=3),
    } | {kind: handle(kind) for kind in r.TABLE_OF}
    return st.tuples(st.just(one.number), st.tuples(*(kinds[kind] for _, kind in one.fields)).map(list))


records = st.one_of([values_of(one) for one in r.TYPES])


@given(st.lists(st.lists(records, min_size=1, max_size=4), min_size=1, max_size=5), st.integers(0, 1 << 50))
@settings(max_examples=150, deadline=None, derandomize=True)
def test_every_record_reads_back_as_it_was_told(turns, time):
    encoder, decoder, seq = Encoder(), Decoder(), 0
    for records_ in turns:
        frame = Frame("a/1", time, seq, 12, records_)
        assert decoder.frame(encoder.payload(frame, 5, 3), 5, 3) == frame
        seq += len(records_)


@given(floats, st.integers(0, 1 << 50))
@settings(max_examples=500, deadline=None, derandomize=True)
def test_milliseconds_keep_every_bit(value, zero):
    out = bytearray()
    put_ms(out, value, zero)
    got, end = get_ms(bytes(out), 0, zero)
    assert (repr(got), end) == (repr(value), len(out))


def test_a_relays_milliseconds_take_few_bytes():
    out = bytearray()
    put_ms(out, 1_234_567 / 1000)
    assert len(out) == 4


@settings(derandomize=True)
@given(texts | st.from_regex(r"[0-9a-f]{2,32}", fullmatch=True))
def test_texts_read_back(text):
    out = bytearray()
    put_text(out, text)
    assert get_text(bytes(out), 0) == (text, len(out))


def test_what_is_no_field_is_refused():
    for data in (b"", b"\x80", b"\xff" * 11):
        with pytest.raises(MalformedDataError):
            get_uint(data, 0)
    with pytest.raises(MalformedDataError):
        get_text(b"\x08ab", 0)
    with pytest.raises(ValueError):
        put_uint(bytearray(), -1)


# Truncated ----------------------------------------------------------------------------------------


def assert_prefix(path: Path, data: bytes, written: list[Frame], least: int) -> None:
    """A file of these bytes yields a prefix of at least ``least`` frames, and reports the rest as torn."""
    path.write_bytes(data)
    try:
        with Reader(path) as reader:
            got = list(reader.frames())
            losses = reader.losses
    except NotATraceError:
        assert least == 0
        return
    assert got == written[: len(got)]
    assert len(got) >= least
    assert all(loss.torn for loss in losses)
    if losses:
        assert losses[-1].offset + losses[-1].size == len(data)


def test_version_1_cut_at_every_byte(tmp_path):
    written = traces.frames(8)
    data = traces.write(tmp_path / "whole", written, 1).read_bytes()
    ends = [
        offset + h.FRAME_HEADER.size + len(payload)
        for offset, payload in h.frames_in(data, h.read_head(data).size)
        if payload is not None
    ]
    assert len(ends) == len(written)
    for cut in range(len(data) + 1):
        assert_prefix(tmp_path / "cut", data[:cut], written, sum(end <= cut for end in ends))


def test_version_2_cut_at_every_byte(tmp_path, monkeypatch):
    monkeypatch.setattr(v2.Packer.__init__, "__defaults__", (250,))
    written = traces.frames(9)
    path = traces.write(tmp_path / "whole", written)
    data = path.read_bytes()
    with Reader(path) as reader:
        places = list(reader.index())
    assert len(places) > 3
    for cut in range(len(data) + 1):
        least = sum(place.summary.frames for place in places if place.offset + place.size <= cut)
        assert_prefix(tmp_path / "cut", data[:cut], written, least)


def recorded(folder: Path, written: list[Frame], **changes) -> tuple[rotation.Files, list[int]]:
    """Write the frames one by one as the daemon does; return the files, still open, and the size after each frame.

    The clock stands still, as a write of more than ``SLOW_WRITE_US`` closes the file and drops frames.
    """
    files = rotation.Files(TraceConf(folder=str(folder), **changes), "a", lambda *_a, **_k: None, clock=lambda: 0)
    sizes = []
    for frame in written:
        assert files.put([frame])
        sizes.append(files._end)
    return files, sizes


def test_a_write_that_takes_long_is_kept_and_pauses_the_recording(tmp_path, monkeypatch):
    now, events, write = 0, [], os.pwrite
    files = rotation.Files(
        TraceConf(folder=str(tmp_path)), "a", lambda name, **_fields: events.append(name), clock=lambda: now
    )

    def write_slowly(fd, data, at):
        nonlocal now
        now += rotation.SLOW_WRITE_US + 1
        return write(fd, data, at)

    monkeypatch.setattr(os, "pwrite", write_slowly)
    first, second, third = traces.frames(3)[:3]
    assert files.put([first]) and events == ["trace_slow"]
    assert not files.put([second]) and files.dropped.records == len(second.records)
    monkeypatch.setattr(os, "pwrite", write)
    now += rotation.MIN_PAUSE_US
    assert files.put([third])


def test_an_open_block_cut_at_every_byte(tmp_path):
    written = traces.frames(8)
    files, sizes = recorded(tmp_path / "live", written)
    data = files._path.read_bytes()
    assert len(data) == sizes[-1]
    for cut in range(len(data) + 1):
        assert_prefix(tmp_path / "cut", data[:cut], written, sum(size <= cut for size in sizes))


class Killed(BaseException):
    """Stands for a kill of the process at this point."""


def test_a_kill_at_every_byte_of_sealing_a_block_loses_nothing(tmp_path, monkeypatch):
    """Guards against a loss when a writer is killed while it appends, overwrites or truncates to seal a block."""
    written = traces.frames(14)
    write, cut = os.pwrite, os.ftruncate
    budget = None

    def pwrite(fd, data, at):
        nonlocal budget
        if budget is not None:
            part = bytes(data[:budget])
            budget -= len(part)
            write(fd, part, at)
            if len(part) < len(data):
                raise Killed
            return len(data)
        return write(fd, data, at)

    def ftruncate(fd, size):
        if budget == 0:
            raise Killed
        cut(fd, size)

    monkeypatch.setattr(os, "pwrite", pwrite)
    monkeypatch.setattr(os, "ftruncate", ftruncate)
    kills = 0
    for at in range(0, 1_000_000):
        budget = None
        folder = tmp_path / str(at)
        files, _sizes = recorded(folder, written[:-1], block=1 << 20)
        files._packer.add(written[-1])
        files._end += files._write(h.pack_frame(files._packer._payloads[-1]), files._end) or 0
        files._end = os.fstat(files._fd).st_size
        budget = at
        try:
            files._seal()
        except Killed:
            kills += 1
            os.close(files._fd)
            assert traces.read(files._path) == written
            continue
        os.close(files._fd)
        assert traces.read(files._path) == written
        break
    assert kills > 1000


# Damaged ------------------------------------------------------------------------------------------


def read_flipped(path: Path, data: bytes, at: int, bit: int) -> tuple[list, list]:
    """Flip one bit of the data; return the keys of the frames that are read, and the losses."""
    damaged = bytearray(data)
    damaged[at] ^= 1 << bit
    path.write_bytes(damaged)
    with Reader(path) as reader:
        return [(frame.source, frame.seq) for frame in reader.frames()], reader.losses


@pytest.mark.parametrize("closed", [True, False])
@pytest.mark.parametrize("version", [1, 2])
def test_a_flipped_bit_costs_one_block_and_is_told(tmp_path, version, closed, monkeypatch):
    monkeypatch.setattr(v2.Packer.__init__, "__defaults__", (600,))
    written = traces.frames(30)
    data = bytearray(traces.write(tmp_path / "whole", written, version).read_bytes())
    start, most = h.read_head(bytes(data)).size, 1
    if version == 2:
        with Reader(tmp_path / "whole") as reader:
            places = list(reader.index())
        most = max(place.summary.frames for place in places)
        if not closed:
            del data[places[-1].offset + places[-1].size :]
    keys = [(frame.source, frame.seq) for frame in written]
    path = tmp_path / "flipped"

    @given(st.integers(start, len(data) - 1), st.integers(0, 7))
    @settings(max_examples=200, deadline=None, derandomize=True)
    def flip(at, bit):
        found, losses = read_flipped(path, data, at, bit)
        missing = [frame for frame, key in zip(written, keys, strict=True) if key not in set(found)]
        assert found == [key for key in keys if key in set(found)]
        assert len(missing) <= most
        if missing:
            assert len(losses) == 1
            first, last = missing[0].unix, missing[-1].unix
            assert losses[0].after is None or losses[0].after <= first
            assert losses[0].before is None or losses[0].before >= last

    flip()


def test_a_flipped_bit_in_an_open_block_costs_no_more_than_that_block(tmp_path):
    written = traces.frames(40)
    files, _sizes = recorded(tmp_path / "live", written, block=4096)
    data, path = files._path.read_bytes(), tmp_path / "flipped"
    start, keys = files._block_at, [(frame.source, frame.seq) for frame in written]
    path.write_bytes(data[:start])
    sealed = len(traces.read(path))
    assert 0 < sealed < len(written) - 5

    @given(st.integers(start, len(data) - 1), st.integers(0, 7))
    @settings(max_examples=200, deadline=None, derandomize=True)
    def flip(at, bit):
        found, losses = read_flipped(path, data, at, bit)
        assert losses
        assert found[:sealed] == keys[:sealed]
        assert found == [key for key in keys if key in set(found)]

    flip()


def test_noise_is_no_trace_and_a_newer_one_is_refused_plainly(tmp_path):
    path = tmp_path / "x"
    for data, expected in (
        (b"", "it is not a trace file"),
        (b"\x89LX", "within its head"),
        (os.urandom(99), "it is not a trace file"),
        (h.pack_head(h.Head(3, 0, 1, "w")), "version 3; this program reads versions 1 to 2"),
        (h.pack_head(h.Head(2, 0, 1, "w"))[:-1] + b"?", "damaged"),
    ):
        path.write_bytes(data)
        with pytest.raises(NotATraceError, match=expected):
            Reader(path)


# Other versions of this program -------------------------------------------------------------------


def test_unknown_records_and_added_fields_go_through(tmp_path):
    """Records of a later minor version are skipped by their length, and tools that copy a trace keep them."""
    msg = r.Msg(5, "feedbeef00112233", traces.CLASSES[0], traces.TENANTS[0], 3)
    strange = (120, bytes([5, 1, 2]))
    written = [
        Frame("a/1", 10, 0, 7, [(r.MESSAGE, [msg, 1, 2, 0]), strange]),
        Frame("a/1", 11, 2, 7, [(r.END, [msg, r.reason("over"), 0.0, b"more"]), strange]),
    ]
    for version in (1, 2):
        once = traces.read(traces.write(tmp_path / "one", written, version))
        again = traces.read(traces.write(tmp_path / "two", once, 3 - version))
        assert traces.flat(once) == traces.flat(written) == traces.flat(again)
    # The names that an unknown record may refer to are copied with it into a block that did not hold them yet.
    copied = traces.read(traces.write(tmp_path / "three", once[1:]))
    assert copied[0].names[-1][5] == msg


def test_a_record_with_fewer_fields_reads_as_far_as_it_goes(tmp_path):
    written = [Frame("a/1", 10, 0, 7, [(r.LIST, [3, 41])])]
    assert traces.read(traces.write(tmp_path / "x", written)) == written


@pytest.mark.parametrize("name", ["v1.lxt", "v2.lxt", "v2-open.lxt"])
def test_golden_files_of_every_version_read_for_good(name):
    """The files were written by the first release, and are never regenerated."""
    assert traces.flat(traces.read(DATA / name)) == traces.flat(traces.frames(30, seed=99))


def test_a_clock_that_is_stepped_moves_only_unix_time(tmp_path):
    written = traces.frames(5)
    stepped = [frame._replace(offset=frame.offset - 3_600_000_000 * (place > 6)) for place, frame in enumerate(written)]
    for version in (1, 2):
        assert traces.read(traces.write(tmp_path / "x", stepped, version)) == stepped
