"""The scanner for server-sent events."""

from hypothesis import given, settings
from hypothesis import strategies as st

from lynxscale.dataplane.server_sent_events import EventScanner


def test_only_complete_events_pass_and_each_counts_once():
    stream = b"id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\nid: 3\nda"
    for size in (1, 5, 100):
        scanner, complete = EventScanner(keep_events=True), b""
        for offset in range(0, len(stream), size):
            complete += scanner.feed(stream[offset : offset + size])
        assert complete == stream.removesuffix(b"id: 3\nda")
        assert (scanner.event_count, scanner.last_event_id, scanner.content()) == (2, b"2", b"a\nb\nc\n")
        assert scanner.within_event


def test_lines_may_end_with_carriage_returns_wherever_the_stream_is_cut():
    for line_end in (b"\n", b"\r\n", b"\r"):
        stream = line_end.join(
            (b"id: 1", b"data: a", b"", b": comment", b"", b"id: 2", b"data: b", b"data: c", b"", b"")
        )
        for size in range(1, len(stream)):
            scanner, complete = EventScanner(keep_events=True), b""
            for offset in range(0, len(stream), size):
                complete += scanner.feed(stream[offset : offset + size])
            assert complete == stream and not scanner.within_event
            assert (scanner.event_count, scanner.last_event_id, scanner.content()) == (2, b"2", b"a\nb\nc\n")


PIECES = st.sampled_from([b"id: 1", b"data: a", b"data: b", b": comment", b"x", b"\n", b"\n\n", b"\r", b"\r\n"])


@settings(max_examples=500, deadline=None, derandomize=True)
@given(st.lists(PIECES, max_size=14), st.integers(1, 9))
def test_a_stream_is_read_the_same_way_wherever_it_is_cut(pieces, size):
    """The two ways to read, with and without carriage returns, and the search from where the last one ended."""
    stream = b"".join(pieces)
    whole, cut = EventScanner(keep_events=True), EventScanner(keep_events=True)
    whole.feed(stream)
    for offset in range(0, len(stream), size):
        cut.feed(stream[offset : offset + size])
    assert (whole.events, whole.last_event_id, whole.event_count) == (cut.events, cut.last_event_id, cut.event_count)
    if b"\r" not in stream:
        with_returns = EventScanner(keep_events=True)
        with_returns.feed(stream.replace(b"\n", b"\r\n"))
        assert with_returns.events == whole.events


def test_a_line_end_within_an_event_does_not_end_it():
    scanner = EventScanner(keep_events=True)
    assert scanner.feed(b"id: 1\r") == scanner.feed(b"\ndata: a\r") == b""
    assert scanner.within_event and scanner.event_count == 0
