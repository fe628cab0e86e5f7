"""The configuration file: each fault is reported with its location, and the manual page matches the table."""

import json
from pathlib import Path

import pytest

from lynxscale import cli
from lynxscale.cli.conf import manual_page
from lynxscale.relay.conf import reader
from lynxscale.relay.conf.settings import Conf
from lynxscale.relay.conf.table import SECTIONS

ROOT = Path(__file__).parent.parent.parent


def read(tmp_path, text: str, **env: str) -> Conf:
    path = tmp_path / "x.conf"
    path.write_text(text)
    return reader.read(path, env)


def faults(tmp_path, text: str, **env: str) -> list[str]:
    with pytest.raises(reader.ConfigurationError) as found:
        read(tmp_path, text, **env)
    return [f"{fault.line}: {fault.word}: {fault.wanted}" for fault in found.value.faults]


def test_words_quotes_variables_units_and_includes(tmp_path):
    (tmp_path / "more").mkdir()
    (tmp_path / "more" / "1.conf").write_text("level decisions\n")
    conf = read(
        tmp_path,
        """
# a comment
begin trace  # and one behind words
    folder "${HOME}/a \\"b\\" #c"
    include more/*.conf
    file-size 2m
    total 1g
    file-age 90s
    flush 0us
end trace
begin log
    format json
end log
""",
        HOME="h",
    )
    trace = conf.trace
    assert (trace.folder, trace.level, trace.file_size, trace.total) == ('h/a "b" #c', "decisions", 2 << 20, 1 << 30)
    assert (trace.file_age, trace.flush, trace.block, conf.log.format) == (90_000_000, 0, 64 << 10, "json")
    assert read(tmp_path, "begin trace\nfolder '${HOME}'\nend trace\n").trace.folder == "${HOME}"


@pytest.mark.parametrize(
    "text, expected",
    [
        ("begin trace\nfoldr x\nend trace", "2: foldr: want a directive of trace"),
        (
            "begin trcae\nwhatever\nend trcae",
            "1: trcae: want a section: log, trace, relay, names, limits, finals, members, cluster, perhaps",
        ),
        ("begin trace\nblock 1\nend trace", "2: block: want a size such as 64k, 4k to 1m, not 1"),
        ("begin trace\nblock 64q\nend trace", "2: block: want a size"),
        ("begin trace\nsample 1.5\nend trace", "2: sample: want a number, 0 to 1, not 1.5"),
        ("begin trace\nsample nan\nend trace", "2: sample: want a number"),
        ("begin trace\nlevel all\nend trace", "2: level: want one of ends, tries, decisions, not all"),
        ("begin trace\nlevel\nend trace", "2: level: want one of ends, tries, decisions, not nothing"),
        ("begin trace\nlevel ends\nlevel ends\nend trace", "3: level: want it once: it stands at"),
        ("begin trace\nend trace\nbegin trace\nend trace", "3: trace: want it once"),
        ("begin trace\nlevel decisions\nsample 0.5\nend trace", "2: level: decisions needs every message"),
        ("begin trace\ntotal 16m\nend trace", "1: file-size: want at most half of total"),
        ('begin trace\nfolder "x\nend trace', '2: "x: want a closing quote'),
        ("begin trace\nfolder ${NONE}\nend trace", "2: ${NONE}: want a variable that is set"),
        ("begin trace", "1: trace: want end trace before the file's end"),
        ("level ends", "1: level: want begin SECTION before any directive"),
        ("end log", "1: log: want begin first"),
        ("begin log\nend trace", "2: trace: want end log"),
        ("include none.conf", "0: file: want a readable text file: No such file or directory"),
        ("include x.conf", "1: x.conf: want a file that does not include itself"),
        ("include", "1: include: want one path"),
    ],
)
def test_each_fault_is_reported_with_line_and_word(tmp_path, text, expected):
    assert [fault for fault in faults(tmp_path, text) if fault.startswith(expected)], faults(tmp_path, text)


def test_all_faults_are_reported_together_and_by_the_command(tmp_path, capfd):
    text = "begin trace\nblock 1\nfolder x y\nend trace\nbegin log\nlevel loud\nend log\n"
    assert [line.split(":")[0] for line in faults(tmp_path, text)] == ["2", "3", "6"]
    with pytest.raises(SystemExit) as ended:
        cli.main(["conf", "check", "--json", str(tmp_path / "x.conf")])
    assert ended.value.code == 2
    assert [row["line"] for row in json.loads(capfd.readouterr().out)] == [2, 3, 6]


def test_shown_configuration_reads_back_unchanged(tmp_path, capfd):
    path = tmp_path / "a.conf"
    path.write_text("begin trace\nfolder 'a b/c'\nclasses 'one two' three\nsample 0.25\nflush 250ms\nend trace\n")
    with pytest.raises(SystemExit):
        cli.main(["conf", "show", str(path)])
    again = tmp_path / "b.conf"
    again.write_text(capfd.readouterr().out)
    assert reader.read(again, {}) == reader.read(path, {}) != Conf()


def test_deployed_file_has_the_defaults_and_the_manual_page_is_generated_from_the_table():
    conf = reader.read(ROOT / "deploy" / "lynxscale.conf", {})
    assert (conf.log, conf.trace) == (Conf().log, Conf().trace)
    assert [row["name"] for row in conf.names.cls] == ["aviso-ronda", "inscripcion", "pago-premio"]
    assert (ROOT / "docs" / "operators" / "configuration.md").read_text() == manual_page()
    for section in SECTIONS:
        assert all(directive.help for directive in section.directives)
