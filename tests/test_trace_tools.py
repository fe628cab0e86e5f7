"""The trace commands: selecting, merging, anonymising and counting records, and their errors."""

import json
import os
import signal
import subprocess
import sys
import zlib
from collections import Counter

import pytest

from lynxscale import cli
from lynxscale.trace import records as r
from lynxscale.trace import v2
from lynxscale.trace.anonymise import Anonymiser
from lynxscale.trace.frames import Frame
from lynxscale.trace.merge import Merge
from lynxscale.trace.reader import Reader, follow
from tests import traces
from tests.test_trace_format import recorded

NAMES = ("club-donostia", "club-oviedo", "partner-0", "10.9.8.")


@pytest.fixture(autouse=True)
def small_blocks(monkeypatch):
    monkeypatch.setattr(v2.Packer.__init__, "__defaults__", (2000,))


@pytest.fixture
def run(capfd):
    """A function that runs a command in this process; returns exit code, standard output and standard error."""

    def run(*words):
        with pytest.raises(SystemExit) as ended:
            cli.main([str(word) for word in words])
        return (ended.value.code, *capfd.readouterr())

    return run


def dump(run, *words) -> list[dict]:
    code, out, _err = run("trace", "dump", *words)
    assert code == 0
    return [json.loads(line) for line in out.splitlines()]


@pytest.fixture
def whole(tmp_path):
    return traces.write(tmp_path / "whole.lxt", traces.frames(120))


def test_every_chain_of_tools_that_loses_nothing_gives_the_same_records(tmp_path, run, whole):
    expected = traces.flat(traces.read(whole))
    half = traces.ZERO / 1e6 + 5 + 2.5
    for words in (
        ["cut", "--to", half, "-o", tmp_path / "a", whole],
        ["cut", "--from", half, "-o", tmp_path / "b", whole],
        ["merge", "-o", tmp_path / "c", tmp_path / "b", tmp_path / "a"],
        ["convert", "--to-version", 1, "-o", tmp_path / "d", tmp_path / "c"],
        ["merge", "-o", tmp_path / "e", tmp_path / "d", tmp_path / "a", whole],
        ["convert", "-o", tmp_path / "f", tmp_path / "e"],
    ):
        assert run("trace", *words)[0] == 0
    assert traces.flat(traces.read(tmp_path / "f")) == expected
    assert len(traces.read(tmp_path / "a")) > 20 < len(traces.read(tmp_path / "b"))


def test_cut_by_each_word_keeps_whole_messages_and_no_other(tmp_path, run, whole):
    rows = [row for row in dump(run, whole) if "id" in row]
    first = rows[0]["id"]
    failed = {row["id"] for row in rows if row.get("status") == "undeliverable"}
    tried = {row["id"] for row in rows if row.get("endpoint") == "partner-02"}
    for words, ids in (
        (["--class", "pago-premio"], {row["id"] for row in rows if row["class"] == "pago-premio"}),
        (["--tenant", "club-oviedo"], {row["id"] for row in rows if row["tenant"] == "club-oviedo"}),
        (["--dest", 3], {row["id"] for row in rows if row["dest"] == 3}),
        (["--outcome", "undeliverable"], failed),
        (["--endpoint", "partner-02"], tried),
        (["--outcome", "undeliverable", "--endpoint", "partner-02"], failed & tried),
        (["--id", first], {first}),
    ):
        assert run("trace", "cut", *words, "-o", tmp_path / "cut", whole)[0] == 0
        assert ids
        got = dump(run, tmp_path / "cut")
        assert [row for row in got if "id" in row] == [row for row in rows if row["id"] in ids]
        assert got[0]["type"] == "start"


def test_by_an_index_only_blocks_that_can_match_are_read(whole, monkeypatch):
    read, opened = os.pread, []
    with Reader(whole) as reader:
        places = list(reader.index())
        assert len(places) > 5
        monkeypatch.setattr(os, "pread", lambda fd, size, at: opened.append(at) or read(fd, size, at))
        last = places[-1].summary
        assert list(reader.frames(lambda summary: summary.last >= last.last))
        assert not {place.offset for place in places[:-1]} & set(opened)


def test_merge_orders_relays_by_time_and_leaves_out_doubles(tmp_path, run):
    """Two processes with different anchors, one of them stepped back an hour; the order of files does not matter."""
    one = traces.frames(60, relay="n", process="0" * 12)
    two = traces.frames(60, relay="n", process="1" * 12, seed=2, start=900_000_000, offset=traces.ZERO - 894_000_000)
    two = [frame._replace(offset=frame.offset - 3_600_000_000 * (place > 50)) for place, frame in enumerate(two)]
    parts = [
        traces.write(tmp_path / f"{name}.lxt", part)
        for name, part in (
            ("a1", one[:50]),
            ("a2", one[50:]),
            ("b1", two[:80]),
            ("b2", two[80:]),
            ("again", one[20:90]),
        )
    ]
    merge = Merge(reversed(parts))
    got = list(merge)
    for expected in (one, two):
        mine = [frame for frame in got if frame.source == expected[0].source]
        assert traces.flat(mine) == traces.flat(expected)
    assert merge.duplicates == sum(len(frame.records) for frame in one[20:90])
    # Each process uses the anchor of its latest file; for the second process that is the anchor after the step.
    keys = [frame.time + (traces.ZERO if frame.source == one[0].source else two[-1].offset) for frame in got]
    assert keys == sorted(keys)


def test_one_message_at_two_relays_is_told_in_order(tmp_path, run):
    msg = r.Msg(7, "9b1f03aa5c7e2d41", traces.CLASSES[2], traces.TENANTS[0], 3)
    first = [
        Frame(
            "a/1", 10, 0, traces.ZERO, [(r.MESSAGE, [msg, 20_000_000, 9, 0]), (r.ADMIT, [msg, r.reason("taken"), 0.0])]
        )
    ]
    second = [
        Frame("b/2", 700, 0, traces.ZERO, [(r.MESSAGE, [msg, 19_000_000, 9, 0])]),
        Frame("b/2", 900, 1, traces.ZERO, [(r.END, [msg, r.reason("delivered"), 0.0])]),
    ]
    paths = [traces.write(tmp_path / "b.lxt", second), traces.write(tmp_path / "a.lxt", first)]
    code, out, _err = run("trace", "message", msg.id, *paths)
    lines = out.splitlines()
    assert code == 0
    assert [line.split("ms  ")[1][0] for line in lines] == ["a", "a", "b", "b"]
    assert "in: pago-premio of club-donostia for destination 3" in lines[0]
    assert lines[-1].endswith("end: delivered")
    assert run("trace", "message", "0" * 16, *paths)[0] == 1


def raw_bytes(path) -> bytes:
    """All bytes of a file, followed by the index and every block in decompressed form."""
    data = path.read_bytes()
    with Reader(path) as reader:
        index = reader.index()
        data += b"".join(index._raw())
        for place in index:
            head = reader._block_head(place.offset)
            at = place.offset + v2.BLOCK_HEAD.size + head.summary
            data += b"".join(v2.payloads_in(head, path.read_bytes()[at : at + head.stored]))
    return data


def test_anonymised_files_hold_no_name_and_agree_whatever_is_done_first(tmp_path, run):
    key = tmp_path / "key"
    key.write_text("0123456789abcdef\n")
    one, two = traces.frames(40, relay="relay-bilbao"), traces.frames(40, relay="relay-gijon", process="ff" * 6, seed=3)
    strange = Frame("relay-gijon/" + "ee" * 6, 5, 0, 1, [(120, b"club-donostia"), (r.STOP, [1])])
    paths = [traces.write(tmp_path / "a.lxt", one), traces.write(tmp_path / "b.lxt", [*two, strange])]
    run("trace", "merge", "-o", tmp_path / "ab", *paths)
    for name, source in (("a.anon", paths[0]), ("b.anon", paths[1]), ("first", tmp_path / "ab")):
        assert run("trace", "anonymise", "--key", key, "-o", tmp_path / name, source)[0] == 0
    run("trace", "merge", "-o", tmp_path / "second", tmp_path / "a.anon", tmp_path / "b.anon")
    assert traces.flat(traces.read(tmp_path / "first")) == traces.flat(traces.read(tmp_path / "second"))
    data = raw_bytes(tmp_path / "first")
    for name in (*NAMES, "bilbao", "gijon"):
        assert name.encode() in raw_bytes(tmp_path / "ab")
        assert name.encode() not in data, name
    for frame in one:
        for _number, values in frame.records:
            if isinstance(values[0], r.Msg):
                assert bytes.fromhex(values[0].id) not in data
    rows = dump(run, tmp_path / "first")
    assert Counter(row["type"] for row in rows) == Counter(row["type"] for row in dump(run, tmp_path / "ab")) - Counter(
        ["type_120"]
    )
    other = Anonymiser(b"another key, 16 or more")
    assert other.hashed("tenant", "club-oviedo") != Anonymiser(b"0123456789abcdef").hashed("tenant", "club-oviedo")
    key.write_text("short")
    assert run("trace", "anonymise", "--key", key, "-o", tmp_path / "x", paths[0])[0] == 2


def test_summary_counts_what_a_dump_counts(run, whole):
    rows = dump(run, whole)
    code, out, _err = run("trace", "summarise", "--json", "--by", "class,destination", "--window", "1s", whole)
    summary_rows = json.loads(out)["rows"]
    assert code == 0
    assert sum(row["messages"] for row in summary_rows) == sum(row["type"] == "message" for row in rows) == 120
    for kind, where in (("end", "ends"), ("try_end", "results"), ("admit", "verdicts")):
        total = Counter()
        for row in summary_rows:
            total.update(row[where])
        seen = Counter(
            row.get("status") or row.get("result") or row.get("verdict") for row in rows if row["type"] == kind
        )
        assert total == seen
    _code, out, _err = run("trace", "summarise", "--json", "--class", "aviso-ronda", whole)
    row = json.loads(out)["rows"][0]
    begun = {one["id"]: one["unix"] for one in rows if one["type"] == "message" and one["class"] == "aviso-ronda"}
    spans = sorted(
        (one["unix"] - begun[one["id"]]) / 1000
        for one in rows
        if one["type"] == "end" and one["id"] in begun and one["status"] == "delivered"
    )
    assert row["p50_ms"] == pytest.approx(spans[(len(spans) - 1) // 2], rel=0.05, abs=1)
    assert row["worth_asked"] == len(begun)
    assert row["worth_in_aim"] == len(spans)  # each was admitted 1 s after it was sent, and the latency target is 3 s


def test_a_page_is_drawn(tmp_path, run, whole):
    for name, magic in (("page.png", b"\x89PNG"), ("page.svg", b"<?xml")):
        assert run("trace", "summarise", "--window", "1s", "--plot", tmp_path / name, whole)[0] == 0
        assert (tmp_path / name).read_bytes().startswith(magic)


def test_a_crashed_file_is_verified_and_indexed_anew(tmp_path, run, whole):
    expected, data = traces.flat(traces.read(whole)), whole.read_bytes()
    with Reader(whole) as reader:
        end = list(reader.index())[-1]
    crashed = tmp_path / "crashed.lxt"
    crashed.write_bytes(data[: end.offset + end.size])
    code, out, _err = run("trace", "verify", "--json", crashed)
    assert (code, json.loads(out)[0]["state"]) == (0, "cut off")
    assert run("trace", "reindex", crashed)[0] == 0
    assert json.loads(run("trace", "verify", "--json", crashed)[1])[0]["state"] == "whole"
    assert traces.flat(traces.read(crashed)) == expected
    damaged = bytearray(data)
    damaged[end.offset + end.size // 2] ^= 4
    crashed.write_bytes(damaged)
    code, out, err = run("trace", "verify", crashed)
    assert (code, "damaged" in out) == (1, True)
    assert "not read: a block is damaged" in err
    assert ", before 20" in err  # with the times around the loss


def test_users_get_plain_lines_and_exit_codes(tmp_path, run, whole):
    noise = tmp_path / "noise.lxt"
    noise.write_bytes(zlib.compress(b"x" * 1000))
    broken = tmp_path / "broken.py"
    broken.write_text("import nothing_of_this_name")
    for words, code, expected in (
        (["info", noise], 1, "it is not a trace file"),
        (["info", tmp_path / "none"], 1, "no such file"),
        (["dump", "--from", "soon", whole], 2, "want Unix seconds"),
        (["summarise", "--by", "club", whole], 2, "want some of class"),
        (["summarise", "--window", "1x", whole], 2, "want a time"),
        (["summarise", "--window", "1us", whole], 0, ""),
        (["cut", "-o", whole, whole], 2, "want another file"),
        (["cut", "-o", tmp_path / "no" / "x", whole], 2, "no such folder"),
        (["replay", whole], 1, "recorded at level tries"),
        (["replay", "--module", broken, whole], 2, "cannot be loaded"),
        (["nothing"], 2, "No such command"),
    ):
        got = run("trace", *words)
        assert (got[0], expected in got[2], "Traceback" in got[2]) == (code, True, False), got


def test_a_tool_that_fails_leaves_no_file(tmp_path, whole, monkeypatch, run):
    def broken(_self, _frame):
        raise OSError(28, "No space left on device")

    monkeypatch.setattr("lynxscale.trace.writer.Output.put", broken)
    code, _out, err = run("trace", "merge", "-o", tmp_path / "out.lxt", whole)
    assert (code, "No space left" in err) == (1, True)
    assert sorted(path.name for path in tmp_path.iterdir()) == ["whole.lxt"]


def test_every_command_shows_an_example(run):
    groups = {
        (): ["conf", "run", "trace"],
        ("conf",): ["check", "manual", "show"],
        ("trace",): [
            "anonymise",
            "convert",
            "cut",
            "dump",
            "info",
            "merge",
            "message",
            "reindex",
            "replay",
            "summarise",
            "verify",
        ],
    }
    for group, names in groups.items():
        for name in names:
            code, out, _err = run(*group, name, "--help")
            assert (code, "Example:\n" in out) == (0, True), name


def receive_ctrl_c():
    """Let a process get SIGINT also where the tests run in the background of a shell, which ignores it."""
    signal.signal(signal.SIGINT, signal.SIG_DFL)


def test_a_reader_that_leaves_and_ctrl_c_are_quiet(tmp_path):
    files, _sizes = recorded(tmp_path, traces.frames(400))
    for words, code in (([], 0), (["--follow"], 130)):
        process = subprocess.Popen(
            [sys.executable, "-m", "lynxscale", "trace", "dump", *words, str(files._path)],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            preexec_fn=receive_ctrl_c,
        )
        with process.stdout, process.stderr:
            assert process.stdout.readline()
            if words:
                process.send_signal(signal.SIGINT)
                process.stdout.read()  # kept open: SIGINT and a closed pipe could each end the process
            else:
                process.stdout.close()  # the remaining output is larger than the pipe buffer
            assert (process.wait(20), process.stderr.read().strip()) == (code, b"")


def test_follow_gives_each_record_once_while_blocks_are_sealed(tmp_path):
    expected = traces.frames(200)
    files, _sizes = recorded(tmp_path, expected[:1], block=4096)
    rest = iter(range(1, len(expected), 7))

    def wait():
        place = next(rest, None)
        if place is None:
            files.close()
        else:
            files.put(expected[place : place + 7])

    assert traces.flat(list(follow(files._path, wait))) == traces.flat(expected)


def test_follow_waits_for_a_block_of_which_it_sees_old_and_new_bytes(tmp_path):
    expected = traces.frames(40)
    files, _sizes = recorded(tmp_path, expected)
    path, middle = files._path, files._end // 2
    files.close()
    whole = path.read_bytes()
    files, _sizes = recorded(tmp_path / "open", expected)
    half = files._path.read_bytes()
    path.write_bytes(half[:middle] + bytes(300) + half[middle + 300 :])
    looks = []

    def wait():
        looks.append(1)
        path.write_bytes(whole)

    assert traces.flat(list(follow(path, wait))) == traces.flat(expected)
    assert looks


def test_replay_takes_a_module_with_the_class_name_of_earlier_versions(tmp_path):
    from lynxscale.cli.trace.replay import _load_scheduler

    for name in ("Scheduler", "Sender"):
        path = tmp_path / f"{name}.py"
        path.write_text(f"class {name}:\n    pass\n")
        assert _load_scheduler(str(path)).__name__ == name
