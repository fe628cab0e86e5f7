"""Frames: round trips, and the reasons with which invalid frames are rejected."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lynxscale.relay.cluster import frame
from lynxscale.relay.cluster.exceptions import FrameError
from lynxscale.relay.cluster.frame import Message, ReplayWindow
from tests.relay.cluster.strategies import (
    KEY,
    MESSAGES,
    VIEW_MESSAGES,
)


@given(MESSAGES)
def test_a_frame_round_trips(message):
    assert frame.decode(KEY, frame.encode(KEY, message)) == message


@given(VIEW_MESSAGES)
def test_a_view_message_round_trips(view_message):
    message = Message("r1", 1, 1, 0, 1, 0, 0, 0, frame.view_body(view_message), [])
    assert frame.decode(KEY, frame.encode(KEY, message)).body.read() == view_message


@given(MESSAGES, st.data())
def test_a_corrupt_or_truncated_frame_is_rejected_with_a_reason(message, data):
    whole = bytearray(frame.encode(KEY, message))
    offset = data.draw(st.integers(0, len(whole) - 1))
    for malformed in (
        whole[:offset],
        whole[:offset] + bytes([whole[offset] ^ 1 << data.draw(st.integers(0, 7))]) + whole[offset + 1 :],
        whole + b"\0",
    ):
        with pytest.raises(FrameError) as caught:
            frame.decode(KEY, bytes(malformed))
        assert caught.value.reason in ("garbage", "version", "foreign", "short", "length", "checksum")


@given(st.binary(max_size=200))
def test_an_invalid_message_behind_a_valid_checksum_is_rejected(data):
    unchecked = frame.HEADER.pack(frame.MAGIC, frame.VERSION, KEY, len(data)) + data
    whole = unchecked + frame.TRAILER.pack(frame.crc32c(unchecked))
    try:
        message = frame.decode(KEY, whole)
    except FrameError as error:
        assert error.reason == "message"
    else:
        assert isinstance(message, Message)


def test_another_cluster_and_another_version_are_distinguished_from_garbage():
    whole = frame.encode(KEY, Message("r1", 1, 1, 0, 1, 0, 0, 0, frame.Gossip(), []))
    for malformed, reason in (
        (frame.encode(frame.cluster_key("sur"), frame.decode(KEY, whole)), "foreign"),
        (whole[:3] + b"\x01" + whole[4:], "version"),
        (b"GET / HTTP/1.1\r\n\r\n", "garbage"),
    ):
        with pytest.raises(FrameError, match=reason):
            frame.decode(KEY, malformed)


@given(st.lists(st.integers(0, 400)))
def test_a_frame_number_is_accepted_once(numbers):
    window, seen = ReplayWindow(), set()
    for number in numbers:
        fresh = window.accept(number)
        assert not (fresh and number in seen)
        assert fresh or number in seen or number <= max(seen) - ReplayWindow.SPAN
        seen.add(number)


# Without a deadline, as the time of an example depends on the load of the machine.
settings.register_profile("cluster", deadline=None)
settings.load_profile("cluster")
