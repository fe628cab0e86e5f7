"""Endpoint lists: the file format, validation of versions, and the list in force. No sockets, no clock."""

import json
import os

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from lynxscale.relay.conf.networks import nets
from lynxscale.relay.deadlines import Deadlines, Loop
from lynxscale.relay.exceptions import StoredListCorruptError
from lynxscale.relay.upstream import file_scan, files, validation
from lynxscale.relay.upstream.endpoint_table import EndpointTable
from lynxscale.relay.upstream.group import DISCOVERY, FILES, Group
from lynxscale.relay.upstream.list_store import ListStore
from lynxscale.relay.upstream.model import CandidateList, Destination, Endpoint, ListOutcome, run_to_end
from lynxscale.relay.upstream.slow_start import SlowStart
from lynxscale.relay.upstream.validation import NO_ACTIVE_LIST, ActiveList, Guards, OwnershipIndex, evaluate
from lynxscale.scheduling.events import Lifecycle, MembershipKind
from tests.scheduling.driver import settings as module_settings

RULES = files.Rules(nets(["10.0.0.0/8", "127.0.0.0/8"], ["10.9.0.0/16"]), frozenset({"club"}), frozenset({"a"}))
READY, DRAINING = Lifecycle.READY, Lifecycle.DRAINING


def entry(
    id_: str, port: int = 7000, destination: int = 1, lifecycle: Lifecycle = READY, weight: float = 5.0, **more
) -> Endpoint:
    return Endpoint(
        id_, (more.get("host", "10.1.0.1"), port), destination, more.get("zone", "a"), "club", lifecycle, weight
    )


def listing(*rows: Endpoint, version: int = 1, unit: str = "u") -> CandidateList:
    data = files.write(rows, version)
    reading = run_to_end(files.read(data, unit, RULES))
    assert reading.candidate is not None, reading.faults
    return reading.candidate


def body(*lines: str, head: str = "list 1 generation 4", end: str = "") -> bytes:
    count = sum(line.startswith("endpoint") for line in lines)
    return "\n".join([head, *lines, end or f"end {count}", ""]).encode()


LINE = "endpoint s-1 10.1.0.1:7000 destination 1 zone a kind club weight 5 ready"


def faults_of(data: bytes, rules: files.Rules = RULES) -> list[str]:
    reading = run_to_end(files.read(data, "u", rules))
    assert reading.candidate is None and reading.complete
    return [str(fault) for fault in reading.faults]


# The file format ---------------------------------------------------------------------------------


@pytest.mark.parametrize(
    "data, fault",
    [
        (body(LINE, LINE), "u:3: s-1: want each endpoint once: it stands at line 2 with the same weight"),
        (
            body(LINE, LINE.replace("weight 5", "weight 6")),
            "u:3: s-1: want each endpoint once: it stands at line 2 with another weight",
        ),
        (body(LINE, LINE.replace("s-1", "s-2")), "u:3: 10.1.0.1:7000: want one id at an address: s-1 is there, line 2"),
        (body(LINE.replace("weight 5", "weight nan")), "u:2: weight nan: want calls a second"),
        (body(LINE.replace("weight 5", "weight inf")), "u:2: weight inf"),
        (body(LINE.replace("weight 5", "weight -5")), "u:2: weight -5"),
        (body(LINE.replace("weight 5", "weight 1e3")), "u:2: weight 1e3"),
        (body(LINE.replace("weight 5", "weight 1000001")), "u:2: weight 1000001"),
        (
            body(LINE.replace("10.1.0.1", "192.168.0.1")),
            "u:2: 192.168.0.1:7000: want an address in the allowed networks",
        ),
        (body(LINE.replace("10.1.0.1", "10.9.0.1")), "u:2: 10.9.0.1:7000: want an address in the allowed networks"),
        (body(LINE.replace("10.1.0.1", "partner.example")), "u:2: partner.example:7000: want an IPv4 address"),
        (body(LINE.replace("10.1.0.1", "10.1.0.01")), "u:2: 10.1.0.01:7000: want an IPv4 address"),
        (body(LINE.replace(":7000", ":0")), "u:2: 10.1.0.1:0: want ADDRESS:PORT"),
        (body(LINE.replace("kind club", "kind bar")), "u:2: bar: want a kind of the settings: club"),
        (body(LINE.replace("zone a", "zone q")), "u:2: q: want a zone of the settings: a"),
        (body(LINE.replace("destination 1", "destination -1")), "u:2: destination -1: want a whole number"),
        (body(LINE.replace("zone a", "zone a zone a")), "u:2: zone: want it once"),
        (body(LINE.replace("ready", "asleep")), "u:2: endpoint: want endpoint ID"),
        (body(LINE + " " * 4096), "u:2: endpoint s-1 10.1.0.: want lines of at most 4096 characters"),
        (body('endpoint "s-1 10.1.0.1:7000 destination 1 ready'), 'u:2: "s-1 10.1.0.1:7000 d: want a closing quote'),
        (body("endpiont s-1", end="end 0"), "u:2: endpiont: want list, destination, endpoint or end"),
        (body("destination 1 rate 5", "destination 1 rate 6", end="end 0"), "u:3: destination 1: want it once"),
        (body(LINE, "destination 1 rate 6"), "u:3: destination 1: want it once, before its endpoints"),
        (body(LINE, end="end 2"), "u:3: end 2: want the number of endpoints, which is 1"),
        (body("end 1", LINE), "u:2: end: want it as the last line alone"),
        (body(LINE, end="end 1 crc32c 00000000"), "u:3: crc32c 00000000: want the checksum of the bytes above"),
        (body(LINE, head="list 2 generation 4"), "u:1: list 2: want a format version of 1"),
        (body(LINE, head="list 1 generation x"), "u:1: generation x: want a whole number"),
        (body(LINE, head=LINE), "u:1: endpoint: want list 1 generation NUMBER first"),
        (b"end 0\n", "u:1: list: want list 1 generation NUMBER first"),
        (body(LINE).replace(b"\n", b"\r\n"), "u:1: carriage return: want text"),
        (body(LINE).replace(b"end 1\n", b"end 1\r\n"), "u:3: carriage return: want text"),
        (body(LINE).replace(b"zone a", b"zone \x00"), "u:2: NUL: want text"),
        (body(LINE).replace(b"zone a", b"zone \x1b"), "u:2: control byte 0x1b: want text"),
        (body(LINE).replace(b"zone a", b"zone \xff"), "u:2: byte 0xff: want UTF-8"),
        (b"\xef\xbb\xbf" + body(LINE), "u:1: byte-order mark: want plain UTF-8"),
        (b'{"generation": 1, "reset": false, "instances": []}', "u: reset: want true"),
        (
            b'{"generation": 1, "reset": true, "instances": [{"instanceId": "a", "hostPort": "10.1.0.1:1", "cell": 1, '
            b'"lifecycle": "ready", "weight": -1}]}',
            "u:1: weight -1: want calls a second",
        ),
        (b'{"generation": true, "reset": true, "instances": [7]}', "u: generation: want a whole number"),
    ],
)
def test_each_fault_is_reported_with_its_line_and_rejects_the_file(data, fault):
    found = faults_of(data)
    assert any(one.startswith(fault) for one in found), found


def test_a_file_that_needs_a_checksum_is_rejected_without_one():
    rules = files.Rules(RULES.nets, needs_checksum=True)
    assert faults_of(body(LINE), rules) == ["u:3: end: want a checksum: end COUNT crc32c HEX"]
    assert run_to_end(files.read(files.write([entry("s-1")], 1), "u", rules)).candidate is not None


def test_entries_and_reported_faults_are_limited():
    rules = files.Rules(RULES.nets, max_entries=2)
    rows = [entry(f"s-{index}", 7000 + index) for index in range(200)]
    found = faults_of(files.write(rows, 1), rules)
    assert found[0] == "u:4: s-2: want at most 2 endpoints" and len(found) == files.MAX_FAULTS


def test_every_truncation_is_incomplete_and_every_changed_byte_is_detected():
    data = files.write([entry("s-1"), entry("s 2", 7001, lifecycle=DRAINING)], 7)
    for size in range(len(data)):
        reading = run_to_end(files.read(data[:size], "u", RULES))
        assert not reading.complete and reading.candidate is None, size
    for index in range(len(data)):
        for bit in (1, 16):
            corrupted = data[:index] + bytes([data[index] ^ bit]) + data[index + 1 :]
            assert run_to_end(files.read(corrupted, "u", RULES)).candidate is None, (index, bit)


names = st.text(st.characters(codec="utf-8", categories=("L", "N", "P", "S", "Zs")), min_size=1, max_size=12).filter(
    str.isprintable
)
entries = st.builds(
    Endpoint,
    names,
    st.tuples(st.sampled_from(["10.1.0.1", "127.0.0.1", "10.255.255.255"]), st.integers(1, 65535)),
    st.integers(0, 5),
    st.sampled_from(["", "a"]),
    st.sampled_from(["", "club"]),
    st.sampled_from([READY, DRAINING]),
    st.integers(0, 10**9).map(lambda n: n / 1000),
    st.integers(0, 1 << 50),
)


@settings(max_examples=200, deadline=None)
@given(st.lists(entries, max_size=20, unique_by=(lambda e: e.id, lambda e: e.address)), st.integers(0, 1 << 60))
def test_a_written_file_reads_back_unchanged(rows, generation):
    reading = run_to_end(files.read(files.write(rows, generation), "u", RULES))
    assert reading.candidate is not None, reading.faults
    assert list(reading.candidate.entries.values()) == rows and reading.candidate.version == generation
    reread = run_to_end(files.read(files.write(rows, generation + 1), "u", RULES, reading.parsed_lines))
    assert reread.candidate.entries == reading.candidate.entries


def test_lines_are_parsed_again_when_their_destination_line_changes():
    line = "endpoint s-1 10.1.0.1:7000 destination 1 ready"
    first = run_to_end(files.read(body("destination 1 rate 9 kind club", line), "u", RULES))
    assert first.candidate.entries["s-1"][4:] == ("club", READY, 9.0, 0)
    second = run_to_end(files.read(body("destination 1 rate 3 kind club", line), "u", RULES, first.parsed_lines))
    assert second.candidate.entries["s-1"].weight == 3.0
    third = run_to_end(files.read(body(line), "u", RULES, second.parsed_lines))
    assert third.candidate.entries["s-1"].weight == 0.0


def test_a_line_of_megabytes_is_rejected_without_being_searched(monkeypatch):
    monkeypatch.setattr(files, "CONTROL_BYTE", None)  # fails if the chunk is searched
    data = b"list 1 generation 1 " + b"x" * 5_000_000 + b"\nend 0\n"
    assert faults_of(data) == ["u:1: line: want lines of at most 4096 characters"]


def test_json_is_read_in_slices():
    rows = [
        {"instanceId": f"s-{n}", "hostPort": f"10.1.0.1:{n + 1}", "cell": 1, "lifecycle": "ready"} for n in range(3000)
    ]
    data = json.dumps({"generation": 1, "reset": True, "instances": rows}).encode()
    assert sum(1 for _ in files.read(data, "u", RULES)) >= 3000 // 64
    assert len(run_to_end(files.read(data, "u", RULES)).candidate.entries) == 3000


def test_parsing_yields_at_least_every_64_lines():
    rows = [entry(f"s-{index}", index + 1) for index in range(5000)]
    assert sum(1 for _ in files.read(files.write(rows, 1), "u", RULES)) >= 5000 // 64


# Verdicts ----------------------------------------------------------------------------------------


def active_list(one: CandidateList) -> ActiveList:
    return ActiveList(one.version, one.digest, one.entries)


def verdict(
    old: CandidateList | None,
    new: CandidateList,
    guards: Guards | None = None,
    owners: OwnershipIndex | None = None,
    **more,
):
    before = NO_ACTIVE_LIST if old is None else active_list(old)
    return run_to_end(evaluate(before, new, owners or OwnershipIndex(), guards or Guards(), **more))


def test_generations_only_rise_and_each_stands_for_one_text():
    old = listing(entry("s-1"), version=5)
    assert verdict(old, old).outcome == ListOutcome.SAME
    older, other = listing(version=4), listing(entry("s-2"), version=5)
    assert "want one above 5" in str(verdict(old, older).reasons[0])
    assert "want a new one" in str(verdict(old, other).reasons[0])
    assert verdict(old, listing(version=6)).outcome == ListOutcome.APPLIED


def test_entries_owned_by_another_file_are_rejected_until_it_drops_them():
    owners, one = OwnershipIndex(), listing(entry("s-1"), unit="one")
    run_to_end(owners.replace("one", {}, one.entries, one.destinations))
    two = listing(entry("s-1", 7009, destination=2), entry("s-2", 7001), entry("s-3", destination=2), unit="two")
    found = [str(fault) for fault in verdict(None, two, owners=owners).reasons]
    assert found == [
        "two: destination 1: want it in one file: one has it",
        "two:2: s-1: want an id of its own: one has it",
        "two:4: s-3: want an address of its own: s-1 of one is there",
    ]
    empty = listing(version=2, unit="one")
    run_to_end(owners.replace("one", one.entries, empty.entries, empty.destinations))
    assert verdict(None, two, owners=owners).outcome == ListOutcome.APPLIED


FOUR_ENTRIES = [entry(f"s-{index}", 7000 + index) for index in range(4)]


@pytest.mark.parametrize(
    "guards, rows, expected_fault",
    [
        (Guards(max_removed_share=0.5), FOUR_ENTRIES[:2], ""),
        (Guards(max_removed_share=0.5), FOUR_ENTRIES[:1], "3 of 4 endpoints would go, most-removed is 0.5"),
        (Guards(may_remove_last_endpoint=False), [], "its last endpoint would go"),
        (Guards(may_remove_last_endpoint=False), FOUR_ENTRIES[:1], ""),
        (
            Guards(max_moved_share=0.4),
            [row._replace(weight=7.5) for row in FOUR_ENTRIES],
            "0.50 of its weight would move",
        ),
        (Guards(max_moved_share=0.4), [row._replace(weight=6.5) for row in FOUR_ENTRIES], ""),
        (
            Guards(max_removed_share=0.3),
            [row._replace(address=("10.1.0.2", 1 + index)) for index, row in enumerate(FOUR_ENTRIES)],
            "4 of 4 endpoints would go",
        ),
        (
            Guards(max_removed_share=0.0, may_remove_last_endpoint=False, max_moved_share=0.0),
            [row._replace(lifecycle=DRAINING) for row in FOUR_ENTRIES],
            "",
        ),
    ],
)
def test_guards_require_approval_or_pass(guards, rows, expected_fault):
    found = verdict(listing(*FOUR_ENTRIES), listing(*rows, version=2), guards)
    assert (found.outcome == ListOutcome.AWAITING_APPROVAL) == bool(expected_fault), found.reasons
    assert expected_fault in " ".join(map(str, found.reasons))


def test_a_version_awaiting_approval_drains_at_once_and_applies_once_approved():
    old = listing(*FOUR_ENTRIES)
    new = listing(FOUR_ENTRIES[0]._replace(lifecycle=DRAINING), FOUR_ENTRIES[1]._replace(weight=9.0), version=2)
    guards = Guards(max_removed_share=0.25)
    found = verdict(old, new, guards)
    assert found.outcome == ListOutcome.AWAITING_APPROVAL
    assert [row.lifecycle for row in found.entries.values()] == [DRAINING, READY, READY, READY]
    assert found.entries["s-1"].weight == 5.0
    assert verdict(old, new, Guards(max_removed_share=0.25, ask_approval=False)).outcome == ListOutcome.REJECTED
    assert verdict(old, new, guards, approved={new.digest}).outcome == ListOutcome.APPLIED


def test_restoring_a_file_reverts_the_drains_of_a_version_awaiting_approval():
    old = listing(*FOUR_ENTRIES)
    new = listing(FOUR_ENTRIES[0]._replace(lifecycle=DRAINING), version=2)
    awaiting = verdict(old, new, Guards(max_removed_share=0.25))
    back = run_to_end(evaluate(ActiveList(old.version, old.digest, awaiting.entries), old, OwnershipIndex(), Guards()))
    assert (back.outcome, back.changes.resumed, back.entries) == (ListOutcome.APPLIED, ["s-0"], old.entries)


def test_reported_reasons_are_limited():
    rows = [entry(f"s-{index}", 1 + index, destination=index) for index in range(100)]
    found = verdict(listing(*rows), listing(version=2), Guards(may_remove_last_endpoint=False))
    assert len(found.reasons) == validation.MAX_REASONS + 1 and "80 more" in str(found.reasons[-1])


# The list in force -------------------------------------------------------------------------------


def test_another_address_or_destination_under_an_id_is_another_endpoint():
    table = EndpointTable(["club"], ["a"], SlowStart(0))
    first, _ = table.apply([("s-1", entry("s-1"))], 0)
    members, gone = table.apply([("s-1", entry("s-1", 7001))], 0)
    assert gone == [first[0].endpoint] and [one.lifecycle for one in members] == [Lifecycle.GONE, READY]
    assert members[1].endpoint != first[0].endpoint and table.entry(first[0].endpoint) is None
    again, gone = table.apply([("s-1", entry("s-1", 7001, destination=2))], 0)
    assert gone == [members[1].endpoint] and (again[0].destination, again[1].destination) == (1, 2)
    # A new id at the old address is a new endpoint, too.
    last, _ = table.apply([("s-1", None), ("s-2", entry("s-2", 7001, destination=2))], 0)
    assert last[0].endpoint == again[1].endpoint != last[1].endpoint


def test_a_destination_is_known_for_a_while_after_its_last_endpoint():
    table = EndpointTable([], [], SlowStart(0))
    table.apply([("s-1", entry("s-1"))], 0)
    table.apply([("s-1", None)], 1_000_000)
    assert (
        table.has_destination(1, 60_000_000)
        and not table.has_destination(1, 61_100_000)
        and not table.has_destination(2, 0)
    )


def test_a_higher_weight_is_reached_in_steps_and_a_lower_one_holds_at_once():
    table = EndpointTable([], [], SlowStart(10_000_000))

    def weight(value: float, now: int) -> float:
        return table.apply([("s-1", entry("s-1", weight=value))], now)[0][0].weight

    assert weight(10.0, 0) == 10.0  # a new endpoint has its full weight immediately
    assert weight(30.0, 0) == 10.0
    assert [table.advance_slow_start(now)[0].weight for now in (2_500_000, 5_000_000)] == [15.0, 20.0]
    assert weight(60.0, 5_000_000) == 20.0  # slow start begins again from the current weight
    assert table.advance_slow_start(10_000_000)[0].weight == 40.0
    assert weight(5.0, 10_000_000) == 5.0 and table.advance_slow_start(11_000_000) == []
    assert weight(25.0, 11_000_000) == 5.0
    assert table.advance_slow_start(21_000_000)[0].weight == 25.0 and table.advance_slow_start(22_000_000) == []
    weight(99.0, 22_000_000)
    table.apply([("s-1", None)], 22_000_000)
    assert table.advance_slow_start(23_000_000) == []


class Clock(Loop):
    def __init__(self) -> None:
        super().__init__(lambda *_: None)
        self.at = 0

    def now(self) -> int:
        return self.at


class FakeScheduler:
    """Stands in for the scheduler: records events and keeps the members that result from them."""

    def __init__(self) -> None:
        self.members: dict[int, object] = {}
        self.events: list = []

    def put(self, event) -> None:
        self.events.append(event)
        if event.kind == MembershipKind.FULL:
            self.members.clear()
        for one in event.members:
            if one.lifecycle == Lifecycle.GONE:
                assert self.members.pop(one.endpoint, None) is not None, "removal of an unknown endpoint"
            else:
                self.members[one.endpoint] = one


class GroupModel(RuleBasedStateMachine):
    """Files and discovery report lists in any order; a simple model computes the expected list in force."""

    @initialize(files_first=st.booleans(), both=st.booleans())
    def begin(self, files_first, both):
        order = (FILES, DISCOVERY) if files_first else (DISCOVERY, FILES)
        self.order = order if both else (FILES,)
        clock = Clock()
        self.module, self.gone = FakeScheduler(), []
        self.group = Group(
            module_settings(kinds=["club"], zones=["a"]),
            Deadlines(clock, lambda *_: None),
            self.module.put,
            self.gone.append,
            order,
        )
        for name in self.order:
            self.group.add(name, None)
        self.model = {name: {} for name in self.order}
        self.numbers: dict[int, Endpoint] = {}

    rows = st.lists(
        st.builds(
            lambda n, port, destination, lifecycle, weight: entry(
                f"s-{n}", port, destination, lifecycle, float(weight)
            ),
            st.integers(0, 5),
            st.integers(1, 8),
            st.integers(0, 3),
            st.sampled_from([READY, DRAINING]),
            st.integers(0, 3),
        ),
        max_size=6,
        unique_by=lambda one: one.id,
    )

    @rule(rows=rows)
    def a_file(self, rows):
        new = {row.id: row for row in rows}
        run_to_end(self.group.replace(FILES, 1, self.model[FILES], new))
        self.model[FILES] = new

    @rule(rows=rows, is_full=st.booleans(), gone=st.sets(st.integers(0, 5)))
    def discovery(self, rows, is_full, gone):
        if DISCOVERY not in self.order:
            return
        changes = [(row.id, row) for row in rows] + [
            (f"s-{n}", None) for n in gone if f"s-{n}" not in {row.id for row in rows}
        ]
        if is_full:
            changes = [change for change in changes if change[1] is not None]
            self.model[DISCOVERY] = {}
        self.group.update(DISCOVERY, MembershipKind.FULL if is_full else MembershipKind.DELTA, 1, changes)
        for id_, row in changes:
            self.model[DISCOVERY].pop(id_, None)
            if row is not None:
                self.model[DISCOVERY][id_] = row

    def expected(self):
        owner = {}
        for name in reversed(self.order):
            owner |= {row.destination: name for row in self.model[name].values()}
        found = {}
        for name in self.order:
            for id_, row in self.model[name].items():
                if owner[row.destination] == name:
                    found.setdefault(id_, row)
        return found

    @invariant()
    def members_match_the_lists(self):
        if not hasattr(self, "group"):
            return
        expected, table = self.expected(), self.group.table
        assert table.entries() == expected
        seen = {}
        for number, one in self.module.members.items():
            row = table.entry(number)
            seen[row.id] = row
            assert (one.lifecycle, one.destination, one.weight) == (row.lifecycle, row.destination, row.weight)
            before = self.numbers.setdefault(number, row)
            assert before.same_endpoint(row), "a number was used for two endpoints"
        assert seen == expected
        assert all(table.entry(number) is None for number in self.gone)
        assert {row.destination for row in expected.values()} == set(table._endpoint_counts)


GroupModel.TestCase.settings = settings(max_examples=80, stateful_step_count=25, deadline=None)
TestLists = GroupModel.TestCase


def test_many_changes_reach_the_module_in_bounded_events_drains_first():
    module = FakeScheduler()
    group = Group(module_settings(), Deadlines(Clock(), lambda *_: None), module.put, lambda _: None)
    group.add(FILES, None)
    old = {f"s-{n}": entry(f"s-{n}", n + 1) for n in range(1000)}
    run_to_end(group.replace(FILES, 1, {}, old))
    module.events.clear()
    new = {f"t-{n}": entry(f"t-{n}", n + 2000) for n in range(1000)} | {"s-7": old["s-7"]._replace(lifecycle=DRAINING)}
    run_to_end(group.replace(FILES, 2, old, new))
    assert max(len(event.members) for event in module.events) <= 64 and len(module.members) == 1001
    lifecycles = [one.lifecycle for event in module.events for one in event.members]
    assert lifecycles.index(READY) > max(index for index, lifecycle in enumerate(lifecycles) if lifecycle != READY)


# The state folder and file scans -----------------------------------------------------------------


def test_last_good_lists_are_loaded_and_a_corrupt_one_is_reported(tmp_path):
    lists = ListStore(tmp_path)
    data = files.write([entry("s-1")], 3)
    lists.save_good("a.list", files.digest_of(data), data)
    lists.save_good("b.list", files.digest_of(data), data)
    (one, two) = lists.load_good()
    assert (os.path.basename(one.unit), one.data) == ("a.list", data) or os.path.basename(two.unit) == "a.list"
    path = next((tmp_path / "lists" / "good").glob("*a.list"))
    path.write_bytes(path.read_bytes().replace(b"s-1", b"s-2"))
    assert sorted(isinstance(found, StoredListCorruptError) for found in lists.load_good()) == [False, True]


def test_versions_awaiting_approval_and_verdicts_are_bounded(tmp_path):
    lists = ListStore(tmp_path)
    for index in range(40):
        lists.save_awaiting(f"{index:064x}", b"x")
    assert len(lists.load_awaiting()) == 16
    for _ in range(3000):
        lists.append_verdicts([{"reasons": ["x" * 300]}])
    assert sum(path.stat().st_size for path in (tmp_path / "lists").glob("verdicts*")) < 600_000
    with open(lists.verdicts, "ab") as out:
        out.write(b'{"torn')
    assert all(row["reasons"] for row in lists.read_verdicts())


def test_only_regular_files_are_opened(tmp_path, monkeypatch):
    os.mkfifo(tmp_path / "fifo")
    (tmp_path / "folder").mkdir()
    assert "a FIFO" in file_scan.read_if_changed(str(tmp_path / "fifo")).reason
    assert "a folder" in file_scan.read_if_changed(str(tmp_path / "folder")).reason
    assert file_scan.read_if_changed(os.devnull).status == file_scan.UNREADABLE
    assert file_scan.read_if_changed(str(tmp_path / "none")).status == file_scan.ABSENT
    path = tmp_path / "a.list"
    path.write_bytes(b"x" * 100)
    assert file_scan.read_if_changed(str(path), max_bytes=99).reason == "want at most 99 bytes, not 100"

    def refuse(*_):
        raise PermissionError(13, "Permission denied")

    monkeypatch.setattr(os, "open", refuse)
    assert file_scan.read_if_changed(str(path)).reason == "Permission denied"


def test_a_file_that_changes_while_it_is_read_is_read_again(tmp_path, monkeypatch):
    path, real = tmp_path / "a.list", os.fstat
    path.write_bytes(b"one")
    calls = []

    def fstat(number):
        calls.append(number)
        if len(calls) == 2:
            with open(path, "ab") as out:
                out.write(b" two")
        return real(number)

    monkeypatch.setattr(os, "fstat", fstat)
    assert file_scan.read_if_changed(str(path)).status == file_scan.UNSTEADY


def test_an_unchanged_file_is_not_read_and_a_recently_changed_one_is_read_again(tmp_path):
    path = tmp_path / "a.list"
    path.write_bytes(b"one")
    # The file is so recent that another change may leave its timestamps unchanged.
    assert file_scan.read_if_changed(str(path)).stamp == ()
    os.utime(path, ns=(1, 1))
    seen = file_scan.read_if_changed(str(path))
    while not (seen := file_scan.read_if_changed(str(path))).stamp:
        pass
    assert file_scan.read_if_changed(str(path), seen.stamp).status == file_scan.SAME
    path.write_bytes(b"two")
    assert file_scan.read_if_changed(str(path), seen.stamp).data == b"two"


def test_a_file_without_endpoints_owns_its_destinations():
    reading = run_to_end(files.read(body("destination 9 rate 2"), "u", RULES))
    assert reading.candidate.destinations == {9: Destination(9, 2.0, None)}
