"""Framing of the internal protocol."""

import pytest

from lynxscale.coordination.exceptions import NetstringError
from lynxscale.coordination.netstring import Decoder
from lynxscale.coordination.netstring import encode as encode_netstring


def test_frames_are_decoded_from_any_pieces_and_invalid_ones_are_rejected():
    data = encode_netstring(b"one") + encode_netstring(b"") + encode_netstring(b"x" * 300)
    for size in (1, 2, 7, len(data)):
        decoder, found = Decoder(), []
        for offset in range(0, len(data), size):
            found += decoder.feed(data[offset : offset + size])
        assert found == [b"one", b"", b"x" * 300]
    for wrong in (b"x:", b"3:abcd", b"999999999999:", b"-1:"):
        with pytest.raises(NetstringError):
            Decoder().feed(wrong)
