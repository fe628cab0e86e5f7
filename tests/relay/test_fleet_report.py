"""Fleet statistics: the traffic that a relay reports in its log, and the sums over the logs of many relays."""

import json
import os
from pathlib import Path
from unittest import mock

import pytest
from click.testing import CliRunner

from lab.standins import reply, until
from lynxscale.cli import program
from lynxscale.relay.fleet import tally
from lynxscale.relay.fleet.lines import parse
from tests.relay.node import NodeCase

TIMESTAMP = "2026-12-01T10:00:{:06.3f}Z"


def write_log(folder: Path, relay: str, *lines: tuple[float, str], end: str = "\n") -> None:
    text = "\n".join(f"ts={TIMESTAMP.format(at)} level=info event={rest}" for at, rest in lines)
    (folder / f"{relay}.log").write_text(text + end)


def count(folder: Path, *options: str) -> dict:
    run = CliRunner().invoke(program, ["fleet", "count", "--json", *options, str(folder)])
    assert run.exit_code == 0, run.output
    return json.loads(run.stdout)


def test_sums_over_relays_by_interval_and_destination(tmp_path):
    write_log(
        tmp_path,
        "n1",
        (0.0, "ready name=n1"),
        (5.0, "traffic dest=4 span_ms=5000 limit=40 left=0.1 offered=9 ok=5 full=2"),
        (5.1, "load span_ms=5000 held=3 out=1"),
        (6.0, 'module text="dest 4 endpoint 9 failing"'),
    )
    write_log(
        tmp_path,
        "n2",
        (0.4, "ready name=n2"),
        (5.2, "traffic dest=4 span_ms=5000 limit=44 offered=7 ok=6"),
        (5.3, "load span_ms=5000 held=8 out=0"),
        (8.5, 'module text="dest 4 endpoint 9 failing"'),
        (9.0, "connection kind=group reason=timed_out calls=1"),
    )
    found = count(tmp_path)
    assert found["traffic"][0] == {
        "from_s": 0.0,
        "dest": "4",
        "calls": 13,
        "offered": 16,
        "ok": 11,
        "full": 2,
        "limit": 42.0,
        "takes": 210,
        "used": 0.05,
    }
    assert found["traffic"][1] == {"from_s": 5.0, "dest": "4", "calls": 0, "failing": 2}
    assert found["load"][0]["held"] == 11 and found["load"][0]["most_held"] == 8
    assert found["learned"] == [
        {"at_s": 0.0, "what": "ready", "relays": 2, "median_s": 0.2, "last_s": 0.4},
        {"at_s": 6.0, "what": "destination 4 failing", "relays": 2, "median_s": 1.25, "last_s": 2.5},
    ]
    assert found["ended"] == {"group timed_out": 1}


def test_unreadable_lines_are_reported_and_the_others_counted(tmp_path):
    write_log(
        tmp_path,
        "n1",
        (1.0, "traffic dest=1 span_ms=1000 ok=2"),
        (2.0, "traffic dest=1 span_ms=1000 ok=x"),
        (3.0, "traffic dest=1 span_ms=1000 ok=4"),
        end="",
    )
    with (tmp_path / "n1.log").open("ab") as out:
        out.write(
            b"\nTraceback (most recent call last):\n\xff\xfe\nevent=traffic ok=1\n0.5 ts=nonsense event=load\n{\n"
            b"ts=2026-12-01T10:00:04Z event=traffic dest=1 ok="
        )
    found = count(tmp_path)
    assert sum(row.get("ok", 0) for row in found["traffic"]) == 6
    positions = [name.split(" ")[0] for name in found["unread"]["named"]]
    assert positions == [f"n1.log:{number}:" for number in (4, 5, 6, 7, 8, 9)] and found["unread"]["count"] == 6


@pytest.mark.parametrize(
    "options, expected", [(["--every", "1ms"], "100ms"), (["--every", "soon"], "100ms"), ([], "no such file")]
)
def test_invalid_usage_is_reported(tmp_path, options, expected):
    run = CliRunner().invoke(program, ["fleet", "count", *options, str(tmp_path)])
    assert run.exit_code and expected in run.output


def test_quoted_values_json_and_a_leading_timestamp_are_parsed():
    line = parse(f'  12.5 ts={TIMESTAMP.format(1)} level=info event=module text="a \\"b\\" c"', "n1")
    assert (line.event, line.fields["text"]) == ("module", 'a "b" c')
    assert parse(json.dumps({"ts": TIMESTAMP.format(1), "event": "load", "held": 3}), "n1").fields == {"held": 3}


def test_a_relay_reports_its_busiest_destinations_and_the_sum_of_the_others():
    traffic = tally.Tally(0)
    for number in range(tally.MAX_DESTINATIONS + 8):
        for _ in range(2 if number >= 8 else 1):
            traffic.add(number, "ok")
    lines = traffic.lines(5_000_000, {"group": {"asked": 3}}, {"held": 2})
    assert len(lines) == tally.MAX_DESTINATIONS + 2 and {fields["span_ms"] for _, fields in lines} == {5000}
    assert lines[-2][1] == {"dest": "others", "span_ms": 5000, "ok": 8}
    assert lines[-1] == ("load", {"span_ms": 5000, "held": 2, "lists_asked": 3})
    assert traffic.lines(6_000_000, {"group": {"asked": 3}}, {"held": 0}) == []


class TrafficReport(NodeCase):
    def test_a_relay_reports_its_traffic(self):
        conf = Path(self.folder.name, "own.conf")
        conf.write_text("begin log\n    traffic 100ms\nend log\n")
        answers = [reply(503), reply(200)]
        self.act = lambda call: answers.pop(0) if len(answers) > 1 else answers[0]
        with mock.patch.dict(os.environ, LYNXSCALE_CONF=str(conf)):
            self.start()
        self.client().hand_in("m1")
        self.delivered(1)
        until(lambda: " ok=1" in self.log.read_text(), "the traffic line")
        found = count(self.log.parent / "log", "--every", "1h")
        row = found["traffic"][0]
        self.assertEqual(
            {name: row[name] for name in ("dest", "offered", "calls", "ok", "full")},
            {"dest": "1", "offered": 1, "calls": 2, "ok": 1, "full": 1},
        )
        self.assertGreaterEqual(found["load"][0]["dials"], 1)
