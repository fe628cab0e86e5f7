"""What is passing is waited out at the start, what cannot be read is no end, and every end tells its reason."""

import contextlib
import resource
import signal
import socket
import threading
import time
from random import Random

import pytest

from tests import running_program
from tests.running_program import CONTROL_PORT, FRONTEND_PORT, INTERNAL_PORT, READINESS_PORT, RunningProgram, started

HELD_S = 1.2
CONNECTING_THREADS = 3
POLL_S = 2.0  # between two readings of the settings file
LISTENERS = [
    ("dataplane", INTERNAL_PORT),
    ("dataplane", READINESS_PORT),
    ("dataplane", FRONTEND_PORT),
    ("controlplane", INTERNAL_PORT),
    ("controlplane", CONTROL_PORT),
]
UNREADABLE = [
    pytest.param(b'node-name = "\xe9"\n', id="another encoding"),
    pytest.param(b"a = " + b"[" * 5000, id="deeply nested"),
]


def test_programs_of_tests_that_run_at_once_do_not_share_an_address(tmp_path, monkeypatch):
    """Guards against tests that fail as another one's process holds their ports."""
    monkeypatch.setattr(running_program, "Random", lambda: Random(1))
    programs = [RunningProgram("dataplane", tmp_path) for _ in range(2)]
    assert programs[0].host != programs[1].host


@pytest.mark.parametrize(("module", "port"), LISTENERS)
def test_a_port_that_is_held_for_a_while_at_the_start_does_not_end_the_process(module, port, tmp_path):
    program = RunningProgram(module, tmp_path)
    try:
        with socket.socket() as holder:
            holder.bind((program.host, port))
            holder.listen()
            program.launch()
            time.sleep(HELD_S)
        program.wait_until_started()
    finally:
        program.stop()


def test_a_disk_that_is_full_at_the_start_does_not_end_a_control_member(tmp_path):
    program = RunningProgram("controlplane", tmp_path)
    try:
        program.launch(file_bytes=0)
        time.sleep(HELD_S)
        descriptors = program.descriptors()
        time.sleep(HELD_S)
        assert program.running and program.descriptors() == descriptors
        resource.prlimit(program.process.pid, resource.RLIMIT_FSIZE, (resource.RLIM_INFINITY, resource.RLIM_INFINITY))
        program.wait_until_started()
    finally:
        program.stop()


def test_a_process_of_a_member_leaves_the_disk_alone_while_an_earlier_one_still_runs(tmp_path):
    with started("controlplane", tmp_path) as earlier:
        first = earlier.process
        unfinished = earlier.data / "batch.aside"
        unfinished.touch()
        earlier.launch()
        second, earlier.process = earlier.process, first
        try:
            time.sleep(HELD_S)
            assert second.poll() is None and unfinished.exists()
            earlier.stop()
            earlier.process = second
            earlier.wait_until_started()
            assert not unfinished.exists()
        finally:
            earlier.process = second


@pytest.mark.parametrize("module", ["dataplane", "controlplane"])
@pytest.mark.parametrize("content", UNREADABLE)
def test_a_settings_file_that_becomes_unreadable_does_not_end_the_process(module, content, tmp_path):
    with started(module, tmp_path) as program:
        program.settings.write_bytes(content)
        program.process.send_signal(signal.SIGHUP)
        time.sleep(POLL_S + 0.5)
        assert program.status_line().startswith(b"HTTP/1.1 200")
        assert "event=settings_unusable" in program.log_text()
        assert "Traceback" not in program.log_text()


@pytest.mark.parametrize("module", ["dataplane", "controlplane"])
@pytest.mark.parametrize("content", UNREADABLE)
def test_unreadable_settings_at_the_start_end_the_process_with_2_and_one_line(module, content, tmp_path):
    program = RunningProgram(module, tmp_path)
    program.settings.write_bytes(content)
    program.launch()
    assert program.process.wait(10) == 2
    assert "Traceback" not in program.log_text() and str(program.settings) in program.log_text()


@pytest.mark.parametrize("module", ["dataplane", "controlplane"])
def test_the_last_line_tells_the_reason_although_others_connect_until_the_process_is_gone(module, tmp_path):
    with started(module, tmp_path) as program:
        with connecting_again_and_again(program.host, (INTERNAL_PORT, program.status_port)):
            program.stop()
        assert program.process.returncode == 0
        assert program.log_text().splitlines()[-1].endswith("event=ended reason=stopped")


@contextlib.contextmanager
def connecting_again_and_again(host, ports):
    """Connections to all of the ports, begun and closed one after the other until the end of the block."""
    ended = threading.Event()

    def connect():
        while not ended.is_set():
            for port in ports:
                with socket.socket() as client:
                    client.setblocking(False)
                    client.connect_ex((host, port))

    threads = [threading.Thread(target=connect) for _ in range(CONNECTING_THREADS)]
    for thread in threads:
        thread.start()
    try:
        yield
    finally:
        ended.set()
        for thread in threads:
            thread.join()
