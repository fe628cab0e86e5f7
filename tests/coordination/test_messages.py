"""Encoding and decoding of messages."""

import msgspec
import pytest

from lynxscale.coordination.messages import (
    Accept,
    Batch,
    Call,
    EpochRecord,
    FinishTurn,
    Position,
    Replicate,
    decode,
    encode,
    put_value,
)


def test_messages_are_decoded_as_they_were_encoded():
    record = EpochRecord(3, "a#0", ("a#0",), ("a#0", "b#0"))
    batch = Batch(Position(1, 2), Position(1, 3), (put_value("k", {"v": 1}), put_value("gone", None)))
    for message in (
        Accept(record),
        Replicate(3, batch),
        Call(7, "c", 1, FinishTurn("p", "r", 3, 60.0, b"\x00")),
    ):
        assert encode(decode(encode(message))) == encode(message)
    assert batch.puts[1].removes and not batch.puts[0].removes
    with pytest.raises(msgspec.ValidationError):
        decode(b'{"type":"accept","record":7}')
