"""Tests of the simulator's wire format against byte strings written by hand."""

import io
import json
import struct

import pytest

from lynxscale.scheduling import simulator_adapter as adapter
from lynxscale.scheduling.actions import (
    Attempt,
    Cancel,
    CloseIdle,
    Fail,
    FetchList,
    Note,
    Probe,
    Refuse,
    SendToPeer,
    SetTimer,
    Subscribe,
)
from lynxscale.scheduling.events import HealthChecked, PeerMessage, ResponseStarted, TimerDue, Withdrawn

CONF = {
    "allowed": {"attempts_cap": 8, "cancel": True, "most_held": 50},
    "balancers": 2,
    "me": 1,
    "family_info": {"max_calls": 9, "per_call": [2], "late": "halving", "new_key": 1},
    "grades": [{"deadline_ms": 8000.0, "effect": "idempotent", "goal_time_ms": 800.0, "value": 1.0}],
    "load_info": {"columns": ["x0", "x1"]},
    "unheard": {},
}


def frame(*records: bytes, tail: bytes = b"", now: float = 5000.0) -> bytes:
    body = b"".join(r.ljust(48, b"\0") for r in records)
    return struct.pack("<IId", 16 + len(body) + len(tail), len(records), now) + body + tail


def start_record(conf=CONF) -> tuple[bytes, bytes]:
    text = json.dumps(conf).encode()
    return bytes.fromhex("02010300") + struct.pack("<QII", 77, 0, len(text)), text


def started() -> adapter.Host:
    host = adapter.Host()
    head, text = start_record()
    member_row = bytes.fromhex("01 074a1203 00 0000000000000000 3900 0000803f 00")
    member_table = bytes.fromhex("04010000") + struct.pack("<II", len(text), 1)
    membership = bytes.fromhex("0701 0300 0000 02 29000000")
    assert host.reply(frame(head, member_table, membership, tail=text + member_row)) == bytes.fromhex(
        "0000000008000000"
    )
    return host


MESSAGE = bytes.fromhex("0801 0300 c4913a5d 00000000 0000") + struct.pack("<d", 12000.0) + bytes(8) + b"\0"
MESSAGE += struct.pack("<fd", 57.0, 0.0)
OUTCOME = bytes.fromhex("0a010300c4913a5d00074a1203 0100 0000000000803240 01 00000000 02 cdcccc3e 0000a03f")


def test_call_is_sent_and_its_outcome_read():
    host = started()
    reply = host.reply(frame(MESSAGE))
    count, size = struct.unpack_from("<II", reply)
    assert size == len(reply) == 8 + 24 * count
    assert reply[8:20] == bytes.fromhex("0101 0300 c4913a5d 074a1203")
    assert struct.unpack_from("<d", reply, 20) == (7000.0,)
    host.reply(frame(OUTCOME))
    assert (
        not host.schedulers[3].admission.pending and host.schedulers[3].table.destinations[57].routes[0].limit == 1.25
    )


@pytest.mark.parametrize(
    "code, body, event",
    [
        ("0001", "192b6f0e", Withdrawn(0x0E6F2B19)),
        ("0601", "4d000000", TimerDue(77)),
        ("0301", "c4913a5d 02 074a1203 0000000000003240", ResponseStarted(0x5D3A91C4, 2, 0x03124A07, 18.0)),
        ("0101", "0000000000003240 074a1203 0100 00", HealthChecked(0x03124A07, 1, 18.0)),
        ("0501", "0100 00000000 02000000", PeerMessage(1, b"hi")),
    ],
)
def test_other_events(code, body, event):
    record = (bytes.fromhex(code) + b"\3\0" + bytes.fromhex(body)).ljust(48, b"\0")
    read = adapter.READERS[struct.unpack("<H", record[:2])[0]]
    assert read(bytes(16) + record + b"hi", 16, 64) == event


@pytest.mark.parametrize(
    "action, record, tail",
    [
        (Refuse(0x5D3A91C4, 2.0), "0001 0300 c4913a5d 0000000000000040", b""),
        (Attempt(0x5D3A91C4, 0x03124A07, 80.0), "0101 0300 c4913a5d 074a1203 0000000000005440", b""),
        (Fail(0x5D3A91C4), "0201 0300 c4913a5d", b""),
        (Probe(0x03124A07), "0401 0300 074a1203", b""),
        (Note("two"), "0501 0300 06000000 03000000", b"two"),
        (SetTimer(77, 8912.0), "0601 0300 4d000000 000000000068c140", b""),
        (SendToPeer(None, b"hi"), "0701 0300 ffffffff 06000000 02000000", b"hi"),
        (CloseIdle(0x03124A07), "0801 0300 074a1203", b""),
        (FetchList(), "0901 0300", b""),
        (Subscribe(True), "0a01 0300 01", b""),
        (Cancel(0x5D3A91C4, 2), "0b01 0300 c4913a5d 02", b""),
    ],
)
def test_actions(action, record, tail):
    assert adapter.encode(3, action, 6) == (bytes.fromhex(record), tail)


def test_restart_in_one_batch_forgets():
    host = started()
    host.reply(frame(MESSAGE))
    head, text = start_record()
    host.reply(frame(bytes.fromhex("09010300"), head, tail=text))
    assert not host.schedulers[3].admission.pending and not host.schedulers[3].table.endpoints


def test_an_exception_becomes_broken():
    host = started()
    bad = MESSAGE[:12] + b"\7\0" + MESSAGE[14:]  # a class that the settings do not have
    reply = host.reply(frame(bad))
    assert reply[8:12] == bytes.fromhex("03010300") and b"IndexError" in reply


def test_offsets_count_no_discarded_records(monkeypatch):
    """When encoding failed midway, offsets into the reply's tail still counted the discarded records."""
    host = started()
    steps = iter([[Note("discarded"), Note("\ud800")]])
    monkeypatch.setattr(host.schedulers[3], "step", lambda now, events: next(steps))
    reply = host.reply(frame(MESSAGE))
    assert reply[8:12] == bytes.fromhex("03010300")
    offset, size = struct.unpack_from("<II", reply, 12)
    assert offset == 0 and reply[32 + offset : 32 + offset + size].startswith(b"UnicodeEncodeError")


@pytest.mark.parametrize(
    "data, word",
    [
        (frame(MESSAGE)[:30], "ends inside"),
        (frame(MESSAGE), "never started"),
        (struct.pack("<IId", 10, 1, 0.0), "impossible"),
        (frame(b"\xff\xff\3\0"), "unknown record code"),
        (frame(start_record()[0]), "outside the tail"),
    ],
)
def test_bad_input_is_one_plain_line(data, word, capsys, monkeypatch):
    streams = type("S", (), {"buffer": io.BytesIO(data)}), type("S", (), {"buffer": io.BytesIO()})
    monkeypatch.setattr(adapter.sys, "stdin", streams[0])
    monkeypatch.setattr(adapter.sys, "stdout", streams[1])
    assert adapter.main() == 2
    error = capsys.readouterr().err
    assert word in error and error.count("\n") == 1


def test_end_of_input_is_a_clean_end():
    adapter.serve(io.BytesIO(frame()), sink := io.BytesIO())
    assert sink.getvalue() == bytes.fromhex("0000000008000000")


@pytest.mark.parametrize("path, value", [("family_info", {}), ("grades", []), ("balancers", "two")])
def test_settings_at_fault_are_named(path, value):
    with pytest.raises(adapter.WireError, match=path):
        adapter.settings_from(json.dumps(CONF | {path: value}).encode())
