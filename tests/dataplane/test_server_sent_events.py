"""The scanner for server-sent events."""

from lynxscale.dataplane.server_sent_events import EventScanner


def test_only_complete_events_pass_and_each_counts_once():
    stream = b"id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\nid: 3\nda"
    for size in (1, 5, 100):
        scanner, complete = EventScanner(keep_data=True), b""
        for offset in range(0, len(stream), size):
            complete += scanner.feed(stream[offset : offset + size])
        assert complete == stream.removesuffix(b"id: 3\nda")
        assert (scanner.event_count, scanner.last_event_id, scanner.content()) == (2, b"2", b"a\nb\nc\n")
        assert scanner.within_event
