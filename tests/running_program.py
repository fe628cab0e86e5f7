"""One program of the serving tier as a process on loopback, with limits of its own, and what can be seen of it."""

import contextlib
import os
import resource
import signal
import socket
import subprocess
import sys
import time
import weakref
from collections.abc import Iterator
from pathlib import Path
from random import Random

from lab.tier.local import FIRST_NETWORK, LAST_NETWORK, is_free
from lab.tier.memory_watch import peak_memory_mb

INTERNAL_PORT, CONTROL_PORT, FRONTEND_PORT, READINESS_PORT = 7300, 7301, 7302, 7303
RESERVATION_PORT = 7299  # bound for as long as a program of the tests may use an address
START_TIMEOUT_S = 15.0
ANSWER_TIMEOUT_S = 2.0
STOP_TIMEOUT_S = 10.0
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def reserve_address(random: Random) -> socket.socket:
    """Return a socket bound to a loopback address that no other program of the tests uses. Raises OSError."""
    networks = list(range(FIRST_NETWORK, LAST_NETWORK + 1))
    random.shuffle(networks)
    for network in networks:
        host = f"127.{network}.5.1"
        reservation = socket.socket()
        with contextlib.suppress(OSError):
            reservation.bind((host, RESERVATION_PORT))
            if all(is_free(host, port) for port in (INTERNAL_PORT, CONTROL_PORT, FRONTEND_PORT, READINESS_PORT)):
                return reservation
        reservation.close()
    raise OSError("no free loopback address")


class RunningProgram:
    """A relay (``dataplane``) or a control member (``controlplane``) that runs alone, with its settings in a folder.

    ``limits``: lines of the settings' table of limits. ``descriptors``: the limit of the process itself.
    """

    def __init__(self, module: str, folder: Path, limits: str = "", descriptors: int | None = None) -> None:
        reservation = reserve_address(Random())
        weakref.finalize(self, reservation.close)
        self.host: str = reservation.getsockname()[0]
        self.settings = folder / "settings.toml"
        self.log = folder / "log"
        self._module = module
        self._data = folder / "data"
        self._descriptors = descriptors
        self.settings.write_text(self._settings_text(limits))
        self.process: subprocess.Popen | None = None

    def _settings_text(self, limits: str) -> str:
        listen = (
            f'control = "{self.host}:{CONTROL_PORT}"'
            if self._module == "controlplane"
            else f'frontend = "{self.host}:{FRONTEND_PORT}"\nreadiness = "{self.host}:{READINESS_PORT}"'
        )
        return (
            f'node-name = "n"\nip = "{self.host}"\nzone = "a"\ninternal-ports = [{INTERNAL_PORT}, {INTERNAL_PORT}]\n'
            f'seeds = ["{self.host}:{CONTROL_PORT}"]\nbootstrap = true\ndata-dir = "{self._data}"\n'
            f"[listen]\n{listen}\n[limits]\n{limits}\n"
        )

    @property
    def client_port(self) -> int:
        """The port for clients of a relay, or for operators of a control member."""
        return CONTROL_PORT if self._module == "controlplane" else FRONTEND_PORT

    @property
    def status_port(self) -> int:
        """The port of ``GET /status``."""
        return CONTROL_PORT if self._module == "controlplane" else READINESS_PORT

    def launch(self, file_bytes: int | None = None) -> None:
        """Start the process. ``file_bytes``: the size to which it can write files, as on a full disk if it is 0."""

        def limit() -> None:
            if self._descriptors is not None:
                resource.setrlimit(resource.RLIMIT_NOFILE, (self._descriptors, self._descriptors))
            if file_bytes is not None:
                resource.setrlimit(resource.RLIMIT_FSIZE, (file_bytes, resource.RLIM_INFINITY))

        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", f"lynxscale.{self._module}"],
                env=os.environ | {"LYNXSCALE_SETTINGS": str(self.settings)},
                stdout=subprocess.DEVNULL,
                stderr=subprocess.PIPE if file_bytes is not None else log,
                preexec_fn=limit,
            )

    def wait_until_started(self) -> None:
        """Wait until the process answers requests for its status. Raises AssertionError if it does not."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while not self.status_line().startswith(b"HTTP/1.1 200"):
            assert self.running, f"ended with {self.process.returncode}: {self.log_text()[-2000:]}"
            assert time.monotonic() < deadline, self.log_text()[-2000:]
            time.sleep(0.05)

    @property
    def data(self) -> Path:
        """The folder of a control member."""
        return self._data

    def descriptors(self) -> int:
        """The number of open descriptors."""
        return len(list(Path(f"/proc/{self.process.pid}/fd").iterdir()))

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self.process.poll() is None

    def status_line(self) -> bytes:
        """The first bytes of the answer to ``GET /status`` on a new connection; empty if none comes in time."""
        return self.answer(self.status_port, b"GET /status HTTP/1.1\r\nhost: a\r\n\r\n")

    def answer(self, port: int, request: bytes, timeout_s: float = ANSWER_TIMEOUT_S) -> bytes:
        """The first bytes of the answer to a request on a new connection; empty if none comes in time."""
        try:
            with socket.create_connection((self.host, port), timeout_s) as connection:
                connection.sendall(request)
                return connection.recv(65536)
        except OSError:
            return b""

    def log_text(self) -> str:
        """What the process has logged."""
        return self.log.read_text(errors="replace")

    def peak_memory_mb(self) -> int:
        """The peak of the resident memory so far."""
        return peak_memory_mb(self.process.pid)

    def processor_time_s(self) -> float:
        """The processor time used so far."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S

    def stop(self) -> None:
        """End the process: SIGTERM, then SIGKILL for one that does not end in time."""
        if self.process is None:
            return
        self.process.send_signal(signal.SIGTERM)
        try:
            self.process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


@contextlib.contextmanager
def started(module: str, folder: Path, limits: str = "", descriptors: int | None = None) -> Iterator[RunningProgram]:
    """A program that answers; it is stopped at the end."""
    program = RunningProgram(module, folder, limits, descriptors)
    try:
        program.launch()
        program.wait_until_started()
        yield program
    finally:
        program.stop()
