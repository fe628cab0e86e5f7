"""The section cluster: what is wrong with it, with file and line; files against each other; off on the platform."""

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


def test_the_section_is_read():
    conf = reader.read(written("a.conf", TEXT), {}).cluster
    assert (conf.name, conf.listen) == ("norte", "127.0.0.1:7301")
    assert conf.member == ({"name": "r1", "at": "127.0.0.1:7301", "zone": "a"}, {"name": "r2", "at": "127.0.0.1:7402"})


def written(name: str, text: str, folder: Path | None = None) -> Path:
    path = (folder or written.folder) / name
    path.write_text(text)
    return path


@pytest.fixture(autouse=True)
def _folder(tmp_path):
    written.folder = tmp_path


@pytest.mark.parametrize(
    "old, new, directive, wanted",
    [
        ("    name norte\n", "", "member", "want name, of the cluster"),
        ("    listen 127.0.0.1:7301\n    member", "    member", "name norte", "want listen, where this relay hears"),
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
def test_what_is_wrong_with_it_is_told_with_its_line(old, new, directive, wanted):
    assert old in TEXT
    head, _, tail = TEXT.rpartition(old)
    text = head + new + tail
    with pytest.raises(reader.ConfigurationError) as caught:
        reader.read(written("a.conf", text), {})
    line = max(number for number, row in enumerate(text.split("\n"), 1) if row.strip().startswith(directive))
    found = [str(fault) for fault in caught.value.faults]
    assert any(f"a.conf:{line}: " in one and wanted in one for one in found), (found, line)


def command(*words: object) -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, "-m", "lynxscale", "cluster", *map(str, words)],
        capture_output=True,
        text=True,
        env=os.environ | {"PYTHONPATH": str(ROOT)},
        timeout=60,
        cwd=written.folder,
    )


def test_files_that_differ_are_told_with_file_and_line():
    one = written("r1.conf", TEXT)
    other = TEXT.replace("name r1", "name r2").replace("end relay", "    place 1\nend relay")
    two = written("r2.conf", other)
    done = command("check", one, two)
    assert (done.returncode, done.stdout) == (0, "2 files of norte: 2 nodes, of which it can lose 0 at once\n")
    wrong = other.replace("name norte", "name sur").replace(
        "    member r1 127.0.0.1:7301 zone a\n", "    member r1 127.0.0.1:7301 zone b\n    member r3 127.0.0.1:9\n"
    )
    two.write_text(wrong.replace("span 7500ms", "span 9s").replace("place 1", "place 0").replace("tries 12", "tries 9"))
    done = command("check", one, two)
    assert done.returncode == 1
    for wanted in (
        "name: want norte",
        "class [a-z-]+: want",
        "place: want another",
        "tries: want 12",
        "member r1: want a",
        "relays: want 3",
    ):
        assert re.search(rf"r2\.conf:[1-9][0-9]*: .*{wanted}", done.stderr), (wanted, done.stderr)
    assert command("check", written("c.conf", CONF.read_text())).returncode == 1


def test_status_says_what_is_missing():
    done = command("status", "--conf", written("a.conf", TEXT))
    assert done.returncode == 1 and "status.json: not there" in done.stderr
    assert command("status").returncode == 2
    assert "no answer of a relay's door" in command("status", "--at", "127.0.0.1:1").stderr


class Platform(NodeCase):
    """With NODE_CONFIG set there is no cluster, whatever the product's own file says."""

    def _started(self, conf: str) -> tuple[set[str], int]:
        self.env = {
            "LYNXSCALE_CONF": str(written("own.conf", conf, Path(self.folder.name))),
            "PYTHONPROFILEIMPORTTIME": "1",
        }
        self.start()
        until(lambda: "event=ready" in self.log.read_text(), "ready")
        rows = [
            (name, row.split())
            for name in ("tcp", "udp")
            for row in Path(f"/proc/{self.process.pid}/net/{name}").read_text().splitlines()[1:]
        ]
        heard = {row[9] for name, row in rows if name == "udp" or row[3] == "0A"}  # 0A: listens
        sockets = 0
        for link in Path(f"/proc/{self.process.pid}/fd").iterdir():
            with contextlib.suppress(FileNotFoundError):  # closed meanwhile
                sockets += os.readlink(link).removeprefix("socket:[").removesuffix("]") in heard
        text = self.log.read_text()
        self.kill()
        return set(re.findall(r"\| +([a-z_0-9.]+)\n", text)), sockets

    def test_off_with_no_module_of_it_and_no_socket(self):
        without, sockets = self._started(CONF.read_text())
        self.log.write_text("")
        with_, sockets_with = self._started(TEXT)
        self.assertIn("event=component_disabled component=lynxscale.relay.cluster.component", self.log.read_text())
        self.assertIn("lynxscale.relay", without)
        self.assertEqual(without, with_)
        self.assertFalse([name for name in with_ if name.startswith(("lynxscale.relay.cluster", "msgspec", "lab"))])
        self.assertEqual((sockets, sockets_with), (1, 1))
        self.assertFalse((self.state / "cluster").exists())
