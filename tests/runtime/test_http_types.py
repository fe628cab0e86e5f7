"""Access to the header fields of HTTP messages."""

from lynxscale.runtime.http_types import Head, Request

HEAD = Head(((b"host", b"h"), (b"connection", b"close, X-Own"), (b"x-own", b"1"), (b"te", b"trailers"), (b"n", b"2.5")))


def test_only_end_to_end_fields_are_forwarded():
    assert HEAD.end_to_end() == ((b"host", b"h"), (b"n", b"2.5"))


def test_fields_read_as_text_and_numbers_or_as_missing():
    assert (HEAD.text(b"host"), HEAD.text(b"none", "default")) == ("h", "default")
    assert (HEAD.number(b"n"), HEAD.number(b"host"), HEAD.number(b"none")) == (2.5, None, None)


def test_a_path_is_the_target_without_its_query():
    assert Request("GET", "/a/b?c=/d", Head(())).path == "/a/b"
