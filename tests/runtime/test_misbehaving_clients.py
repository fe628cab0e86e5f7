"""Small crowds of clients that don't behave, against real processes with lowered limits.

Each test judges that the process lives, that its memory and descriptors stay under their bounds, and that an ordinary
request is answered once the crowd has left. They run one at a time.
"""

import pytest

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
STATUS = b"GET /status HTTP/1.1\r\nhost: a\r\n\r\n"
CHUNKED = b"POST /config/replace HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
SMALL_CHUNK = b"1\r\nx\r\n"
PROGRAMS = ("dataplane", "controlplane")


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


@pytest.mark.parametrize("module", PROGRAMS)
def test_status_requests_sent_ahead_do_not_keep_the_processor(module, tmp_path):
    with started(module, tmp_path, LIMITS) as program:
        check_bears(program, program.status_port, 25, pieces(b"", STATUS, MEBIBYTE))


@pytest.mark.parametrize(("chunk", "clients"), [(SMALL_CHUNK, 40)], ids=["1-byte"])
@pytest.mark.parametrize("module", PROGRAMS)
def test_bodies_in_small_chunks_do_not_keep_the_processor(module, chunk, clients, tmp_path):
    with started(module, tmp_path, LIMITS) as program:
        check_bears(program, program.client_port, clients, pieces(CHUNKED, chunk, 3 * MEBIBYTE))
