"""Messages and stored structures are encoded as before classes and fields were renamed (golden bytes)."""

import msgspec
import pytest

from lynxscale.coordination.messages import Wire, decode, encode
from tests import golden

VERSIONS = (golden.DATA, golden.SECOND, golden.THIRD)
MESSAGES = [row for version in VERSIONS for row in golden.read_lines("messages.jsonl", version)]
STRUCTS = [row for version in VERSIONS for row in golden.read_lines("structs.jsonl", version)]


def named(row: dict) -> str:
    return row["name"]


def test_every_message_of_the_protocol_has_golden_bytes():
    assert {row["name"] for row in MESSAGES} == set(golden.WIRE)


def test_every_structure_has_golden_bytes():
    assert {row["name"] for row in STRUCTS} == set(golden.STRUCTS)


@pytest.mark.parametrize("row", MESSAGES, ids=named)
def test_a_message_made_anew_has_the_golden_bytes(row):
    assert encode(golden.build(golden.WIRE[row["name"]], row["fields"])).decode() == row["bytes"]


@pytest.mark.parametrize("row", MESSAGES, ids=named)
def test_a_golden_message_is_read_whole_and_written_as_it_was(row):
    message = decode(row["bytes"].encode())
    assert message == golden.build(golden.WIRE[row["name"]], row["fields"])
    assert encode(message).decode() == row["bytes"]


@pytest.mark.parametrize("row", [row for row in MESSAGES if "short" in row], ids=named)
def test_fields_that_a_golden_message_lacks_have_their_old_defaults(row):
    assert decode(row["short"].encode()) == decode(row["bytes"].encode())
    assert msgspec.json.decode(row["short"], type=Wire) == golden.build(golden.WIRE[row["name"]], row["fields"])


@pytest.mark.parametrize("row", STRUCTS, ids=named)
def test_a_structure_made_anew_has_the_golden_bytes(row):
    assert msgspec.json.encode(golden.build(golden.STRUCTS[row["name"]], row["fields"])).decode() == row["bytes"]


@pytest.mark.parametrize("row", STRUCTS, ids=named)
def test_a_golden_structure_is_read_whole_and_written_as_it_was(row):
    kind = golden.STRUCTS[row["name"]]
    value = msgspec.json.decode(row["bytes"], type=kind)
    assert value == golden.build(kind, row["fields"])
    assert msgspec.json.encode(value).decode() == row["bytes"]


@pytest.mark.parametrize("row", [row for row in STRUCTS if "short" in row], ids=named)
def test_fields_that_a_golden_structure_lacks_have_their_old_defaults(row):
    kind = golden.STRUCTS[row["name"]]
    assert msgspec.json.decode(row["short"], type=kind) == golden.build(kind, row["fields"])
