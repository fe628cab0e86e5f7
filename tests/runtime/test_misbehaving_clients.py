"""Small crowds of clients that don't behave, against real processes with lowered limits.

Each test judges that the process lives, that its memory and descriptors stay under their bounds, and that an ordinary
request is answered once the crowd has left. They run one at a time.
"""

import time

import pytest

from lynxscale.controlplane.process import MAX_BODY_BYTES
from tests.crowd import crowd, pieces
from tests.running_program import RunningProgram, started

pytestmark = pytest.mark.alone

MEMORY_MB = 64
MAX_FDS = 1024
LIMITS = f"memory-mb = {MEMORY_MB}\nmax-fds = {MAX_FDS}"
SEND_S, STAY_S = 4.0, 2.0
ANSWER_TIMEOUT_S = 15.0  # ends a test of a process that hangs
MEBIBYTE = 1024 * 1024

ORDINARY = b"GET /ordinary HTTP/1.1\r\nhost: a\r\n\r\n"
WITHOUT_IDS = b"GET /book/1 HTTP/1.1\r\nhost: a\r\n\r\n"
WITHOUT_HOST = b"GET /book/1 HTTP/1.1\r\n\r\n"
STATUS = b"GET /status HTTP/1.1\r\nhost: a\r\n\r\n"
CHUNKED = b"POST /config/replace HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
SMALL_CHUNK = b"1\r\nx\r\n"
MEDIUM_CHUNK = b"40\r\n" + b"x" * 64 + b"\r\n"
PROGRAMS = ("dataplane", "controlplane")


def body_that_stops_short(size: int) -> list[bytes]:
    """A request whose body lacks its last fortieth."""
    head = b"POST /config/replace HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n" % size
    return pieces(head, b"x", size - size // 40)


def whole_body(size: int) -> list[bytes]:
    """A request with all of its body."""
    return pieces(b"POST /config/replace HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n" % size, b"x", size)


def chunk_that_stops_short(size: int) -> list[bytes]:
    """A request whose only chunk lacks its last fortieth."""
    return pieces(CHUNKED + b"%x\r\n" % size, b"x", size - size // 40)


def check_bears(program: RunningProgram, port: int, clients: int, message: list[bytes]) -> None:
    """Check that a program bears a crowd at one of its ports."""
    with crowd((program.host, port), clients, message, SEND_S, STAY_S):
        assert program.running, program.log_text()[-1000:]
        assert program.descriptors() <= MAX_FDS
    for ordinary_port in {port, program.client_port, program.status_port}:
        answer = program.answer(ordinary_port, ORDINARY, ANSWER_TIMEOUT_S)
        assert answer.startswith(b"HTTP/1.1 "), f"no answer at {ordinary_port}: {program.log_text()[-1000:]}"
    assert program.running
    assert program.peak_memory_mb() < MEMORY_MB


@pytest.mark.parametrize("request_sent", [WITHOUT_IDS, WITHOUT_HOST], ids=["without-ids", "without-host"])
@pytest.mark.parametrize("module", PROGRAMS)
def test_requests_sent_ahead_with_unread_answers_leave_memory_and_answers_to_others(module, request_sent, tmp_path):
    with started(module, tmp_path, LIMITS) as program:
        check_bears(program, program.client_port, 180, pieces(b"", request_sent, MEBIBYTE))


@pytest.mark.parametrize("module", PROGRAMS)
def test_status_requests_sent_ahead_do_not_keep_the_processor(module, tmp_path):
    with started(module, tmp_path, LIMITS) as program:
        check_bears(program, program.status_port, 25, pieces(b"", STATUS, MEBIBYTE))


@pytest.mark.parametrize(("chunk", "clients"), [(SMALL_CHUNK, 40), (MEDIUM_CHUNK, 120)], ids=["1-byte", "64-bytes"])
@pytest.mark.parametrize("module", PROGRAMS)
def test_bodies_in_small_chunks_do_not_keep_the_processor(module, chunk, clients, tmp_path):
    with started(module, tmp_path, LIMITS) as program:
        check_bears(program, program.client_port, clients, pieces(CHUNKED, chunk, 3 * MEBIBYTE))


@pytest.mark.parametrize(("size", "clients"), [(4 * MEBIBYTE, 60), (MEBIBYTE, 180)], ids=["4-mb", "1-mb"])
@pytest.mark.parametrize("message", [body_that_stops_short, chunk_that_stops_short, whole_body])
@pytest.mark.parametrize("module", PROGRAMS)
def test_large_bodies_leave_memory_to_others(module, message, size, clients, tmp_path):
    with started(module, tmp_path, LIMITS) as program:
        check_bears(program, program.client_port, clients, message(size))


def test_a_single_change_of_the_largest_size_is_read_in_calm(tmp_path):
    with started("controlplane", tmp_path, LIMITS) as program:
        deadline = time.monotonic() + ANSWER_TIMEOUT_S
        while program.answer(program.client_port, ORDINARY).startswith(b"HTTP/1.1 503"):  # no primary yet
            assert time.monotonic() < deadline
        request = b"".join(whole_body(MAX_BODY_BYTES))
        answer = program.answer(program.client_port, request, ANSWER_TIMEOUT_S)
        assert answer.startswith(b"HTTP/1.1 400"), answer  # it is no JSON


@pytest.mark.parametrize("module", PROGRAMS)
def test_heads_that_never_end_leave_memory_to_others(module, tmp_path):
    with started(module, tmp_path, LIMITS) as program:
        check_bears(program, program.client_port, 250, pieces(b"GET / HTTP/1.1\r\nfiller: ", b"x", 15_000))
