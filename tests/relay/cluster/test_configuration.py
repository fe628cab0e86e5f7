"""Configuration of the cluster: errors with file and line, files that disagree, and no cluster on the platform."""

import contextlib
import os
import re
import subprocess
import sys
from pathlib import Path

import pytest

from lab.demo import CONF, ROOT
from lab.standins import until
from lynxscale.relay.conf import reader
from tests.relay.node import NodeCase

SECTION = """begin cluster
    name norte
    listen 127.0.0.1:7301
    member r1 127.0.0.1:7301 zone a
    member r2 127.0.0.1:7402
end cluster
"""
TEXT = CONF.read_text().replace("name relay", "name r1").replace("sockets 1024", "sockets 1024\n    relays 2") + SECTION


def test_the_cluster_section_is_parsed():
    conf = reader.read(write_file("a.conf", TEXT), {}).cluster
    assert (conf.name, conf.listen) == ("norte", "127.0.0.1:7301")
    assert conf.member == ({"name": "r1", "at": "127.0.0.1:7301", "zone": "a"}, {"name": "r2", "at": "127.0.0.1:7402"})


def write_file(name: str, text: str, folder: Path | None = None) -> Path:
    path = (folder or write_file.folder) / name
    path.write_text(text)
    return path


@pytest.fixture(autouse=True)
def _folder(tmp_path):
    write_file.folder = tmp_path


@pytest.mark.parametrize(
    "old, new, directive, expected",
    [
        ("    name norte\n", "", "member", "want name, of the cluster"),
        (
            "    listen 127.0.0.1:7301\n    member",
            "    member",
            "name norte",
            "want listen, the address at which this relay listens",
        ),
        ("r2 127.0.0.1:7402", "r2 7402", "member r2", "want NAME HOST:PORT [zone TEXT], not r2 7402"),
        ("r2 127.0.0.1:7402", "r2", "member r2", "want NAME HOST:PORT [zone TEXT], not r2"),
        ("r2 127.0.0.1:7402", "r1 127.0.0.1:7402", "member r1 127.0.0.1:7402", "want r1 once"),
        ("r2 127.0.0.1:7402", "r2 127.0.0.1:7301", "member r2", "want 127.0.0.1:7301 once"),
        ("r2 127.0.0.1:7402", "r2 127.0.0.1:0", "member r2", "want a port for r2"),
        ("member r1 127.0.0.1:7301 zone a", "member r3 127.0.0.1:7301", "member r2", "want a line for r1 too"),
        ("end cluster", "    probe 1ms\nend cluster", "probe", "want a time such as 250ms, 100ms to 10s, not 1ms"),
        ("end cluster", "    copys 2\nend cluster", "copys", "want a directive of cluster"),
    ],
)
def test_an_invalid_section_is_rejected_with_file_and_line(old, new, directive, expected):
    assert old in TEXT
    head, _, tail = TEXT.rpartition(old)
    text = head + new + tail
    with pytest.raises(reader.ConfigurationError) as caught:
        reader.read(write_file("a.conf", text), {})
    line = max(number for number, row in enumerate(text.split("\n"), 1) if row.strip().startswith(directive))
    messages = [str(fault) for fault in caught.value.faults]
    assert any(f"a.conf:{line}: " in message and expected in message for message in messages), (messages, line)


def run_command(*arguments: object) -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, "-m", "lynxscale", "cluster", *map(str, arguments)],
        capture_output=True,
        text=True,
        env=os.environ | {"PYTHONPATH": str(ROOT)},
        timeout=60,
        cwd=write_file.folder,
    )


def test_files_that_disagree_are_reported_with_file_and_line():
    first = write_file("r1.conf", TEXT)
    second_text = TEXT.replace("name r1", "name r2").replace("end relay", "    place 1\nend relay")
    second = write_file("r2.conf", second_text)
    done = run_command("check", first, second)
    assert (done.returncode, done.stdout) == (0, "2 files of norte: 2 nodes, of which it can lose 0 at once\n")
    changed = second_text.replace("name norte", "name sur").replace(
        "    member r1 127.0.0.1:7301 zone a\n", "    member r1 127.0.0.1:7301 zone b\n    member r3 127.0.0.1:9\n"
    )
    second.write_text(
        changed.replace("span 7500ms", "span 9s").replace("place 1", "place 0").replace("tries 12", "tries 9")
    )
    done = run_command("check", first, second)
    assert done.returncode == 1
    for expected in (
        "name: want norte",
        "class [a-z-]+: want",
        "place: want another",
        "tries: want 12",
        "member r1: want a",
        "relays: want 3",
    ):
        assert re.search(rf"r2\.conf:[1-9][0-9]*: .*{expected}", done.stderr), (expected, done.stderr)
    assert run_command("check", write_file("c.conf", CONF.read_text())).returncode == 1


def test_status_reports_a_missing_file_and_an_unreachable_relay():
    done = run_command("status", "--conf", write_file("a.conf", TEXT))
    assert done.returncode == 1 and "status.json: not there" in done.stderr
    assert run_command("status").returncode == 2
    assert "no answer from the admin server of a relay" in run_command("status", "--at", "127.0.0.1:1").stderr


class Platform(NodeCase):
    """With NODE_CONFIG set there is no cluster, even if the product's own file has a section for it."""

    def _start_and_inspect(self, conf: str) -> tuple[set[str], int]:
        self.env = {
            "LYNXSCALE_CONF": str(write_file("own.conf", conf, Path(self.folder.name))),
            "PYTHONPROFILEIMPORTTIME": "1",
        }
        self.start()
        until(lambda: "event=ready" in self.log.read_text(), "ready")
        rows = [
            (name, row.split())
            for name in ("tcp", "udp")
            for row in Path(f"/proc/{self.process.pid}/net/{name}").read_text().splitlines()[1:]
        ]
        listening = {row[9] for name, row in rows if name == "udp" or row[3] == "0A"}  # 0A: TCP_LISTEN
        sockets = 0
        for descriptor in Path(f"/proc/{self.process.pid}/fd").iterdir():
            with contextlib.suppress(FileNotFoundError):  # closed in the meantime
                sockets += os.readlink(descriptor).removeprefix("socket:[").removesuffix("]") in listening
        text = self.log.read_text()
        self.kill()
        return set(re.findall(r"\| +([a-z_0-9.]+)\n", text)), sockets

    def test_the_platform_imports_no_cluster_module_and_opens_no_cluster_socket(self):
        modules_without, sockets_without = self._start_and_inspect(CONF.read_text())
        self.log.write_text("")
        modules_with, sockets_with = self._start_and_inspect(TEXT)
        self.assertIn("event=component_disabled component=lynxscale.relay.cluster.component", self.log.read_text())
        self.assertIn("lynxscale.relay", modules_without)
        self.assertEqual(modules_without, modules_with)
        self.assertFalse(
            [name for name in modules_with if name.startswith(("lynxscale.relay.cluster", "msgspec", "lab"))]
        )
        self.assertEqual((sockets_without, sockets_with), (1, 1))
        self.assertFalse((self.state / "cluster").exists())
