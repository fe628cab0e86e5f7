"""Requests in absolute form are handled as those in origin form, with the host of their target."""

import pytest

from lab.tier.simulated_tier import HOST
from lab.tier.world import World
from lynxscale.dataplane.headers import REQUEST_ID
from lynxscale.runtime.exceptions import InvalidRequestError
from lynxscale.runtime.http_server import ServerConnection
from lynxscale.runtime.http_types import Head, Request
from lynxscale.runtime.request_target import in_origin_form
from lynxscale.runtime.server_limits import ServerLimits
from tests.runtime.test_http_server import RecordingTransport, answer
from tests.simulated_tier import executed_request, settled_tier

FIELDS = ((b"host", b"other.example"), (b"x", b"1"))


@pytest.mark.parametrize(
    ("method", "target", "origin", "host"),
    [
        ("GET", "http://mesas.example/kuli330/2f", "/kuli330/2f", b"mesas.example"),
        ("POST", "HTTP://Mesas.example:80/a?b=http://c/d#e", "/a?b=http://c/d#e", b"Mesas.example:80"),
        ("GET", "http://[::1]:8080//a/%2f/../", "//a/%2f/../", b"[::1]:8080"),
        ("GET", "http://h", "/", b"h"),
        ("GET", "http://h?a/b", "/?a/b", b"h"),
        ("OPTIONS", "http://h:80", "*", b"h:80"),
        ("GET", "/http://h/a", "/http://h/a", b"other.example"),
        ("GET", "//h/a", "//h/a", b"other.example"),
        ("OPTIONS", "*", "*", b"other.example"),
        ("CONNECT", "h:80", "h:80", b"other.example"),
    ],
)
def test_the_host_is_that_of_a_target_in_absolute_form(method, target, origin, host):
    request = in_origin_form(Request(method, target, Head(FIELDS), b"body"))
    assert request == Request(method, origin, Head(((b"host", host), (b"x", b"1"))), b"body")


def test_a_request_of_http_1_0_without_a_host_field_gets_one():
    assert in_origin_form(Request("GET", "http://h/a", Head(()))).head == Head(((b"host", b"h"),))


@pytest.mark.parametrize(
    ("target", "status"),
    [("http:///a", 400), ("http://u@h/a", 400), ("http://a b/", 400), ("http://h#a", 400), ("https://h/a", 421)],
)
def test_an_invalid_target_is_an_error(target, status):
    with pytest.raises(InvalidRequestError) as caught:
        in_origin_form(Request("GET", target, Head(FIELDS)))
    assert caught.value.status == status


def test_an_invalid_target_is_answered_and_its_connection_closed():
    transport = RecordingTransport()
    connection = ServerConnection(answer, ServerLimits(), World(1).machine("a:1").clock(), set())
    connection.connection_made(transport)
    connection.data_received(b"GET http:///x HTTP/1.1\r\nhost: a\r\n\r\nGET / HTTP/1.1\r\nhost: a\r\n\r\n")
    assert transport.statuses() == [400]


def test_a_request_in_absolute_form_reaches_its_endpoint_at_every_relay():
    """Regression (related to review case 8): relays answered 404, as they took the whole target for the path."""
    tier = settled_tier()
    for number, relay in enumerate(tier.relay_hosts):
        name = f"a{number}"
        target = f"http://{HOST.upper()}:8149/look/1?q=%2F"
        response = tier.request(target, relay=relay, method="GET", request_id=name, x="1")
        assert response.status == 200
        executed = executed_request(tier, name)
        assert (executed.method, executed.target) == ("GET", "/look/1?q=%2F")
        assert executed.head.get(b"host") == f"{HOST.upper()}:8149".encode()
        assert executed.head.get(REQUEST_ID) == name.encode()


def test_the_host_of_the_target_counts_and_not_that_of_the_host_field():
    tier = settled_tier()
    assert tier.request("http://elsewhere.example/look/1").status == 404


def test_turns_in_absolute_form_continue_each_other():
    tier = settled_tier()
    path = f"http://{HOST}/kept/stream"
    assert tier.turn("p", 1000, path=path, request_id="t1", body=b"hello ").complete
    assert tier.turn("p", 1000, request_id="t2", body=b"more", previous="t1").complete
    assert tier.turn("p", 1000, path=path, request_id="t3", body=b"end", previous="t2").complete


def test_control_members_accept_the_absolute_form():
    tier = settled_tier()
    assert tier.operator_call("GET", "http://control/config/read").status == 200
