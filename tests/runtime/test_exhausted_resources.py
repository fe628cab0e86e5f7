"""Processes whose descriptors or memory are used up go on answering, within the limits of their settings."""

import contextlib
import signal
import socket
import threading
import time

import pytest

from tests.running_program import RunningProgram, started

PROGRAMS = ("dataplane", "controlplane")
DESCRIPTORS = 160
IDLE_CLIENTS = 200
OBSERVED_S = 4.0
MAX_PROCESSOR_SHARE = 0.25
MAX_LOG_LINES = 50
MEMORY_MB = 200
UNFINISHED_CLIENTS = 80
RELAY_BODY_BYTES, CONTROL_BODY_BYTES = 4 * 1024 * 1024, 8 * 1024 * 1024
SETTLE_S = 1.0
PAUSE_S = 1.2


@contextlib.contextmanager
def idle_clients(program: RunningProgram, count: int, settle_s: float = SETTLE_S):
    """Connections that send nothing."""
    with contextlib.ExitStack() as stack:
        for _ in range(count):
            connection = stack.enter_context(socket.socket())
            connection.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                connection.connect((program.host, program.client_port))
        time.sleep(settle_s)
        yield


@pytest.mark.parametrize("module", PROGRAMS)
def test_idle_clients_beyond_the_descriptors_leave_status_log_and_processor_alone(module, tmp_path):
    with (
        started(module, tmp_path, descriptors=DESCRIPTORS) as program,
        idle_clients(program, IDLE_CLIENTS),
    ):
        before_s = program.processor_time_s()
        for _ in range(int(OBSERVED_S / 0.5)):
            assert program.status_line().startswith(b"HTTP/1.1 200"), program.log_text()[-1000:]
            time.sleep(0.5)
        assert program.running
        assert program.processor_time_s() - before_s < MAX_PROCESSOR_SHARE * OBSERVED_S
        assert len(program.log_text().splitlines()) < MAX_LOG_LINES


def test_clients_that_connect_while_a_process_pauses_do_not_keep_others_waiting(tmp_path):
    with started("controlplane", tmp_path, descriptors=DESCRIPTORS) as program:
        program.process.send_signal(signal.SIGSTOP)
        with idle_clients(program, IDLE_CLIENTS, settle_s=0.0):
            resumed = threading.Timer(PAUSE_S, program.process.send_signal, [signal.SIGCONT])
            resumed.start()
            assert program.status_line().startswith(b"HTTP/1.1 200")
            resumed.join()


def send_all_but_the_end(connection: socket.socket, path: bytes, size: int) -> None:
    """Send a request whose body lacks its last bytes; it may be answered, and its connection closed, before."""
    head = b"POST %b HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n" % (path, size)
    with contextlib.suppress(OSError):
        connection.sendall(head + b"x" * (size - size // 40))


@pytest.mark.parametrize("module", PROGRAMS)
def test_unfinished_bodies_stay_within_the_memory_of_the_settings(module, tmp_path):
    size = RELAY_BODY_BYTES if module == "dataplane" else CONTROL_BODY_BYTES
    with started(module, tmp_path, f"memory-mb = {MEMORY_MB}") as program, contextlib.ExitStack() as stack:
        for _ in range(UNFINISHED_CLIENTS):
            connection = socket.create_connection((program.host, program.client_port), 5.0)
            stack.enter_context(connection)
            send_all_but_the_end(connection, b"/config/replace", size)
        time.sleep(SETTLE_S)
        assert program.running
        assert program.peak_memory_mb() < MEMORY_MB
        assert program.status_line().startswith(b"HTTP/1.1 200")
