"""Responses without a body, to HEAD requests; responses that are not valid; requests for tunnels."""

import pytest

from lynxscale.runtime.http_types import Head, Response
from lynxscale.runtime.server_limits import ServerLimits
from tests.running_program import started
from tests.runtime.test_http_server import connect
from tests.simulated_tier import executed_request, settled_tier

BODY = b"a body"
LENGTH = b"content-length: %d\r\n" % len(BODY)
HEAD_REQUEST = b"HEAD /status HTTP/1.1\r\nhost: a\r\n\r\n"


def respond(request, responder):
    responder.respond(Response(200, Head(()), BODY))


def stream(request, responder):
    responder.start(200, ((b"content-length", b"%d" % len(BODY)),))
    responder.data(BODY)
    responder.end()


def exceed_length(request, responder):
    responder.start(200, ((b"content-length", b"1"),))
    responder.data(BODY)
    responder.end()


@pytest.mark.parametrize("handler", [respond, stream])
def test_a_response_to_head_has_the_length_but_no_body_and_the_connection_goes_on(handler):
    """Regression: the body was refused by the parser, and the handler's call failed on the closed connection."""
    connection, transport = connect(ServerLimits(), handler)
    connection.data_received(HEAD_REQUEST)
    assert LENGTH in transport.written and transport.written.endswith(b"\r\n\r\n")
    connection.data_received(HEAD_REQUEST.replace(b"HEAD", b"GET"))
    assert transport.statuses() == [200, 200] and transport.written.endswith(BODY)


def test_a_response_longer_than_its_length_closes_the_connection_without_an_error_in_the_handler():
    connection, transport = connect(ServerLimits(), exceed_length)
    connection.data_received(HEAD_REQUEST.replace(b"HEAD", b"GET"))
    assert transport.statuses() == [200] and not connection.busy
    assert BODY not in transport.written


def test_a_request_for_a_tunnel_is_refused():
    connection, transport = connect(ServerLimits(), respond)
    connection.data_received(HEAD_REQUEST.replace(b"HEAD", b"CONNECT"))
    assert transport.statuses() == [501] and not connection.busy


@pytest.mark.parametrize("module", ["dataplane", "controlplane"])
def test_a_process_answers_head_without_a_traceback(module, tmp_path):
    with started(module, tmp_path) as program:
        for _ in range(2):
            assert program.answer(program.status_port, HEAD_REQUEST).startswith(b"HTTP/1.1 ")
        assert "Traceback" not in program.log_text()


def test_head_is_forwarded_and_answered_without_a_body():
    tier = settled_tier()
    response = tier.request("/look/1", method="HEAD", request_id="h")
    assert (response.status, response.body) == (200, b"")
    assert executed_request(tier, "h").method == "HEAD"
