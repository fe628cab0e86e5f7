"""Parses and writes the files of endpoint lists, in slices. See docs/design/membership.md, "The file".

A file without its closing line is incomplete, and no fault in it is reported. In a complete file, every fault is
reported with its line.
"""

from __future__ import annotations

import hashlib
import math
import re
import socket
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

import orjson
from crc32c import crc32c

from lynxscale.relay.conf.lexer import Fault, UnclosedQuoteError, split
from lynxscale.relay.conf.networks import Nets
from lynxscale.relay.exceptions import InvalidListError
from lynxscale.relay.upstream.model import (
    ENTRIES_PER_SLICE,
    MAX_DESTINATIONS,
    MAX_WEIGHT,
    CandidateList,
    Destination,
    Endpoint,
    ShardedDict,
    SlicedWork,
    line_number_of,
)
from lynxscale.scheduling.events import Lifecycle

VERSION = 1
MAX_FILE_BYTES = 16 << 20  # a larger file is likely a device or a log that was named by mistake
MAX_JSON_BYTES = 512 << 10  # the JSON parser is a single call, which blocks the event loop for some ms
MAX_LINE_CHARS = 4096
CHUNK_BYTES = 32 << 10  # the work can be interrupted between chunks
MAX_ENTRIES = 65_536
MAX_FAULTS = 50
MAX_ID_CHARS = 200
MAX_GENERATION = 1 << 62
CLOSING_LINE = re.compile(rb"(?:\A|\n)end [0-9]+(?: crc32c [0-9a-f]{8})?\r?\n\Z")
CONTROL_BYTE = re.compile(rb"[\x00-\x08\x0b-\x1f\x7f]")
NUMBER = re.compile(r"[0-9]{1,19}")
DECIMAL = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")
LIFECYCLES = {"ready": Lifecycle.READY, "draining": Lifecycle.DRAINING}
ENDPOINT_KEYS = ("destination", "zone", "kind", "weight", "since")


@dataclass(frozen=True, slots=True)
class Rules:
    """Rules for the contents of a list. Empty ``kinds`` and ``zones`` allow any name."""

    nets: Nets
    kinds: frozenset[str] = frozenset()
    zones: frozenset[str] = frozenset()
    max_entries: int = MAX_ENTRIES
    needs_checksum: bool = False


@dataclass(slots=True)
class ParseResult:
    """The result of parsing a file. ``candidate`` is None if there are faults or no closing line."""

    candidate: CandidateList | None = None
    faults: list[Fault] = field(default_factory=list)
    complete: bool = True  # False if the closing line is missing
    parsed_lines: ShardedDict = field(default_factory=ShardedDict)  # entries by line, reused for the next version


def digest_of(data: bytes) -> str:
    """The SHA-256 of a file's bytes in hex, which identifies a version."""
    return hashlib.sha256(data).hexdigest()


def read(
    data: bytes, unit: str, rules: Rules, parsed_lines: ShardedDict | None = None, digest: str | None = None
) -> SlicedWork[ParseResult]:
    """Parse a file's bytes. ``parsed_lines``: lines of the previous version, which need not be parsed again."""
    result = ParseResult()
    digest = digest or digest_of(data)
    if data[:1] == b"{":
        yield from _parse_json(data, unit, rules, digest, result)
        return result
    if len(data) > MAX_FILE_BYTES:
        result.faults.append(Fault(unit, 0, "file", f"want at most {MAX_FILE_BYTES} bytes"))
        return result
    if CLOSING_LINE.search(data, max(0, len(data) - 64)) is None:
        result.complete = False
        return result
    yield
    yield from _LineParser(unit, rules, digest, result, parsed_lines or ShardedDict()).read(data)
    return result


def _chunks(data: bytes) -> Iterator[tuple[int, int]]:
    """Yield start and end of chunks of about CHUNK_BYTES that end at line feeds."""
    start, size = 0, len(data)
    while start < size:
        end = data.rfind(b"\n", start, start + CHUNK_BYTES) + 1 or data.find(b"\n", start) + 1 or size
        yield start, end
        start = end


def _decode_chunk(chunk: bytes, unit: str, first: int, result: ParseResult) -> str | None:
    """Decode a chunk whose first line has the number ``first``; None if it has a fault, which is reported."""
    if first == 1 and chunk.startswith(b"\xef\xbb\xbf"):
        result.faults.append(Fault(unit, 1, "byte-order mark", "want plain UTF-8"))
        return None
    match = CONTROL_BYTE.search(chunk)
    if match is not None:
        what = {0: "NUL", 13: "carriage return"}.get(match.group()[0], f"control byte {match.group()[0]:#04x}")
        result.faults.append(
            Fault(
                unit,
                first + chunk.count(b"\n", 0, match.start()),
                what,
                "want text, its lines ended by a line feed alone",
            )
        )
        return None
    try:
        return chunk.decode()
    except UnicodeDecodeError as error:
        result.faults.append(
            Fault(unit, first + chunk.count(b"\n", 0, error.start), f"byte {chunk[error.start]:#04x}", "want UTF-8")
        )
        return None


class _EndpointCollector:
    """Collects endpoints and checks them against each other; shared by both formats."""

    def __init__(self, unit: str, rules: Rules, result: ParseResult) -> None:
        self.unit, self.rules, self.result = unit, rules, result
        self.entries: dict[str, Endpoint] = {}
        self.lines: list[int] = []
        self.addresses = ShardedDict()
        self.destinations: dict[int, Destination] = {}
        self.checked_hosts: dict[str, None] = {}

    def fault(self, line: int, word: str, wanted: str) -> None:
        """Report a fault, unless there are already MAX_FAULTS."""
        if len(self.result.faults) < MAX_FAULTS:
            self.result.faults.append(Fault(self.unit, line, word[:80], wanted))

    def add(self, line: int, entry: Endpoint) -> None:
        """Add an endpoint.

        Raises InvalidListError if its id or address is already in the list, or if the list is too long.
        """
        before = self.entries.get(entry.id)
        if before is not None:
            how = " with the same weight" if before.weight == entry.weight else " with another weight"
            line = line_number_of(entry.id, self.entries, self.lines)
            raise InvalidListError(entry.id, f"want each endpoint once: it stands at line {line}{how}")
        other = self.addresses.get(entry.address)
        if other is not None:
            raise InvalidListError(
                "{}:{}".format(*entry.address),
                f"want one id at an address: {other} is there, line {line_number_of(other, self.entries, self.lines)}",
            )
        if len(self.entries) >= self.rules.max_entries:
            raise InvalidListError(entry.id, f"want at most {self.rules.max_entries} endpoints")
        self.entries[entry.id] = entry
        self.lines.append(line)
        self.addresses.put(entry.address, entry.id)
        if entry.destination not in self.destinations:
            self.destinations[entry.destination] = Destination(entry.destination)

    def parse_address(self, text: str) -> tuple[str, int]:
        """Parse a host and port. Raises InvalidListError if it is malformed or outside the allowed networks."""
        host, colon, port = text.rpartition(":")
        if not (colon and port.isascii() and port.isdigit() and len(port) < 6 and 0 < int(port) < 65536):
            raise InvalidListError(text, "want ADDRESS:PORT")
        if host not in self.checked_hosts:
            try:
                packed = int.from_bytes(socket.inet_pton(socket.AF_INET, host), "big")
            except (OSError, ValueError):
                raise InvalidListError(text, "want an IPv4 address and a port, as names are not looked up") from None
            if packed not in self.rules.nets:
                raise InvalidListError(text, "want an address in the allowed networks")
            self.checked_hosts[host] = None
        return host, int(port)

    def check_name(self, what: str, text: str, allowed: frozenset[str]) -> str:
        """Check a zone or kind. Raises InvalidListError if it is not one of the names in the settings."""
        if allowed and text not in allowed:
            raise InvalidListError(text, f"want a {what} of the settings: {', '.join(sorted(allowed))}")
        return text

    def candidate(self, generation: int, digest: str) -> CandidateList:
        """Return the collected endpoints as a candidate list."""
        return CandidateList(self.unit, generation, digest, self.entries, self.destinations, self.lines)


def _parse_weight(text: str) -> float:
    if not DECIMAL.fullmatch(text) or not float(text) <= MAX_WEIGHT:
        raise InvalidListError(f"weight {text}", f"want calls a second, 0 to {MAX_WEIGHT:g}, as a plain decimal number")
    return float(text)


def _parse_integer(name: str, text: str, limit: int) -> int:
    if not NUMBER.fullmatch(text) or int(text) >= limit:
        raise InvalidListError(f"{name} {text}", f"want a whole number below {limit}")
    return int(text)


def _parse_id(text: str) -> str:
    if not text or len(text) > MAX_ID_CHARS or not text.isprintable():
        raise InvalidListError(text, f"want an id of at most {MAX_ID_CHARS} printable characters")
    return text


class _LineParser(_EndpointCollector):
    """Parser of the line-based format."""

    def __init__(self, unit: str, rules: Rules, digest: str, result: ParseResult, parsed_lines: ShardedDict) -> None:
        super().__init__(unit, rules, result)
        self.digest, self.parsed_lines = digest, parsed_lines
        self.generation: int | None = None
        # Set by a destination's line: an endpoint's line then depends on it, so parsed lines are not reused.
        self.has_defaults = False
        self.directives = {
            "list": self._parse_list_line,
            "destination": self._parse_destination_line,
            "endpoint": self._parse_endpoint_line,
        }

    def read(self, data: bytes) -> SlicedWork[None]:
        """Parse a complete file."""
        number, checksum, size = 0, 0, data.rindex(b"end ")
        for start, end in _chunks(data):
            if end - start > CHUNK_BYTES + 4 * MAX_LINE_CHARS:
                # A line of megabytes would be searched and split at once, which would block the event loop.
                self.fault(number + 1, "line", f"want lines of at most {MAX_LINE_CHARS} characters")
                return
            chunk = data[start : min(end, size)]
            text = _decode_chunk(chunk, self.unit, number + 1, self.result)
            if text is None:
                return
            checksum = crc32c(chunk, checksum)
            for raw in text.split("\n")[:-1]:
                number += 1
                if not number % ENTRIES_PER_SLICE:
                    yield
                try:
                    self._parse_line(number, raw)
                except InvalidListError as error:
                    self.fault(number, error.word, error.wanted)
            yield
        if self.generation is None and not self.result.faults:
            self.fault(1, "list", f"want list {VERSION} generation NUMBER first")
        self._check_end_line(number + 1, data[size:], checksum)
        if not self.result.faults and self.generation is not None:
            self.result.candidate = self.candidate(self.generation, self.digest)

    def _parse_line(self, number: int, raw: str) -> None:
        entry = self.parsed_lines.get(raw)
        if entry is not None and self.generation is not None and not self.has_defaults:
            self.result.parsed_lines.put(raw, entry)
            self.add(number, entry)
            return
        if len(raw) > MAX_LINE_CHARS:
            raise InvalidListError(raw[:20], f"want lines of at most {MAX_LINE_CHARS} characters")
        if '"' in raw or "'" in raw or "#" in raw or "\\" in raw:
            try:
                words = split(raw)
            except UnclosedQuoteError as error:
                raise InvalidListError(str(error), "want a closing quote") from None
        else:
            words = raw.split()
        if not words:
            return
        parse = self.directives.get(words[0])
        if parse is None:
            raise InvalidListError(
                words[0],
                "want it as the last line alone" if words[0] == "end" else "want list, destination, endpoint or end",
            )
        if self.generation is None and words[0] != "list":
            raise InvalidListError(words[0], f"want list {VERSION} generation NUMBER first")
        parse(number, words, raw)

    def _parse_list_line(self, _number: int, words: list[str], _raw: str) -> None:
        if self.generation is not None:
            raise InvalidListError("list", "want it once, as the first line")
        if len(words) != 4 or words[2] != "generation":
            raise InvalidListError("list", f"want list {VERSION} generation NUMBER")
        self.generation = 0  # so that the following lines are checked even if this one has a fault
        if words[1] != str(VERSION):
            raise InvalidListError(
                f"list {words[1]}", f"want a format version of {VERSION}, the only one that is supported"
            )
        self.generation = _parse_integer("generation", words[3], MAX_GENERATION)

    def _name_value_pairs(self, words: list[str], allowed: tuple[str, ...]) -> Iterator[tuple[str, str]]:
        if len(words) % 2:
            raise InvalidListError(words[-1], f"want pairs of a name and a value, names: {', '.join(allowed)}")
        seen = set()
        for name, value in zip(words[::2], words[1::2], strict=True):
            if name not in allowed:
                raise InvalidListError(name, f"want one of {', '.join(allowed)}")
            if name in seen:
                raise InvalidListError(name, "want it once")
            seen.add(name)
            yield name, value

    def _parse_destination_line(self, _number: int, words: list[str], _raw: str) -> None:
        if len(words) < 2:
            raise InvalidListError("destination", "want destination NUMBER [rate CALLS] [kind KIND]")
        number = _parse_integer("destination", words[1], MAX_DESTINATIONS)
        if number in self.destinations:
            raise InvalidListError(f"destination {number}", "want it once, before its endpoints")
        rate, kind = None, None
        for name, value in self._name_value_pairs(words[2:], ("rate", "kind")):
            if name == "rate":
                rate = _parse_weight(value)
            else:
                kind = self.check_name("kind", value, self.rules.kinds)
        self.has_defaults = True
        self.destinations[number] = Destination(number, rate, kind)

    def _parse_endpoint_line(self, number: int, words: list[str], raw: str) -> None:
        lifecycle = LIFECYCLES.get(words[-1])
        if len(words) < 4 or lifecycle is None:
            raise InvalidListError(
                "endpoint",
                "want endpoint ID ADDRESS:PORT destination NUMBER [zone ZONE] [kind KIND] "
                "[weight CALLS] [since MS] ready|draining",
            )
        id_, address = _parse_id(words[1]), self.parse_address(words[2])
        pairs = dict(self._name_value_pairs(words[3:-1], ENDPOINT_KEYS))
        if "destination" not in pairs:
            raise InvalidListError(id_, "want a destination")
        destination = _parse_integer("destination", pairs["destination"], MAX_DESTINATIONS)
        defaults = self.destinations.get(destination, Destination(destination))
        kind, weight = pairs.get("kind"), pairs.get("weight")
        kind = self.check_name("kind", kind, self.rules.kinds) if kind is not None else defaults.kind or ""
        calls = _parse_weight(weight) if weight is not None else defaults.rate or 0.0
        entry = Endpoint(
            id_,
            address,
            destination,
            self.check_name("zone", pairs["zone"], self.rules.zones) if "zone" in pairs else "",
            kind,
            lifecycle,
            calls if defaults.rate is None else min(calls, defaults.rate),
            _parse_integer("since", pairs["since"], MAX_GENERATION) if "since" in pairs else 0,
        )
        if not self.has_defaults:
            self.result.parsed_lines.put(raw, entry)
        self.add(number, entry)

    def _check_end_line(self, number: int, last: bytes, checksum: int) -> None:
        words = last.split()  # matches CLOSING_LINE
        if b"\r" in last:
            self.fault(number, "carriage return", "want text, its lines ended by a line feed alone")
        if self.result.faults:
            return  # the lines with faults are not counted, so the count would not match either
        if int(words[1]) != len(self.entries):
            self.fault(number, f"end {int(words[1])}", f"want the number of endpoints, which is {len(self.entries)}")
        if len(words) == 4:
            if int(words[3], 16) != checksum:
                self.fault(
                    number,
                    f"crc32c {words[3].decode()}",
                    f"want the checksum of the bytes above, which is {checksum:08x}",
                )
        elif self.rules.needs_checksum:
            self.fault(number, "end", "want a checksum: end COUNT crc32c HEX")


def _parse_json(data: bytes, unit: str, rules: Rules, digest: str, result: ParseResult) -> SlicedWork[None]:
    """Parse the JSON format of discovery, as a complete list: generation, reset, instances."""
    collector = _EndpointCollector(unit, rules, result)
    if len(data) > MAX_JSON_BYTES:
        collector.fault(0, "file", f"want at most {MAX_JSON_BYTES} bytes of JSON; the line format has no such bound")
        return
    try:
        table = orjson.loads(data)
    except ValueError:
        result.complete = False  # truncated or not JSON; these cannot be told apart
        return
    rows, version = table.get("instances"), table.get("generation")
    if not isinstance(rows, list):
        collector.fault(0, "instances", "want a list of instances")
        return
    if isinstance(version, bool) or not isinstance(version, int) or not 0 <= version < MAX_GENERATION:
        collector.fault(0, "generation", "want a whole number")
    if table.get("reset") is not True:
        collector.fault(0, "reset", "want true: a file holds the whole list, not changes")
    for number, row in enumerate(rows, 1):
        if not number % ENTRIES_PER_SLICE:
            yield
        try:
            _add_json_row(collector, number, row)
        except InvalidListError as error:
            collector.fault(number, error.word, error.wanted)
    if not result.faults:
        result.candidate = collector.candidate(version, digest)


def _add_json_row(collector: _EndpointCollector, number: int, row: object) -> None:
    if not isinstance(row, dict):
        raise InvalidListError(f"instances[{number - 1}]", "want an object")
    if row.get("lifecycle") == "gone":
        return
    lifecycle, id_ = LIFECYCLES.get(str(row.get("lifecycle"))), row.get("instanceId")
    if lifecycle is None:
        raise InvalidListError("lifecycle", "want ready, draining or gone")
    if not isinstance(id_, str):
        raise InvalidListError("instanceId", "want a string")
    weight, destination, since = row.get("weight", 0.0), row.get("cell", 0), row.get("startedAtMs", 0)
    if (
        isinstance(weight, bool)
        or not isinstance(weight, (int, float))
        or not (math.isfinite(weight) and 0 <= weight <= MAX_WEIGHT)
    ):
        raise InvalidListError(f"weight {weight}", f"want calls a second, 0 to {MAX_WEIGHT:g}")
    if isinstance(destination, bool) or not isinstance(destination, int) or not 0 <= destination < MAX_DESTINATIONS:
        raise InvalidListError(f"cell {destination}", f"want a whole number below {MAX_DESTINATIONS}")
    zone, kind = row.get("zone", ""), row.get("machineType", "")
    if not isinstance(zone, str) or not isinstance(kind, str):
        raise InvalidListError("zone" if not isinstance(zone, str) else "machineType", "want a string")
    entry = Endpoint(
        _parse_id(id_),
        collector.parse_address(str(row.get("hostPort"))),
        destination,
        collector.check_name("zone", zone, collector.rules.zones if zone else frozenset()),
        collector.check_name("kind", kind, collector.rules.kinds if kind else frozenset()),
        lifecycle,
        float(weight),
        since if isinstance(since, int) else 0,
    )
    collector.add(number, entry)


# Writing ---------------------------------------------------------------------------------------------


def _quoted(text: str) -> str:
    plain = text and not any(character.isspace() or character in "\"'#\\" for character in text)
    return text if plain else '"' + text.replace("\\", "\\\\").replace('"', '\\"') + '"'


def line_of(entry: Endpoint) -> str:
    """Format the line of an endpoint."""
    words = ["endpoint", _quoted(entry.id), "{}:{}".format(*entry.address), "destination", str(entry.destination)]
    for name, text in (("zone", entry.zone), ("kind", entry.kind)):
        if text:
            words += [name, _quoted(text)]
    words += ["weight", f"{entry.weight:.6f}".rstrip("0").rstrip(".")]
    if entry.since:
        words += ["since", str(entry.since)]
    words.append("draining" if entry.lifecycle == Lifecycle.DRAINING else "ready")
    return " ".join(words)


def write(entries: Iterable[Endpoint], generation: int, destinations: Iterable[Destination] = ()) -> bytes:
    """Return the bytes of a list file with these endpoints and a checksum."""
    lines = [f"list {VERSION} generation {generation}"]
    for one in destinations:
        lines.append(
            f"destination {one.number}"
            + (f" rate {one.rate:g}" if one.rate is not None else "")
            + (f" kind {_quoted(one.kind)}" if one.kind else "")
        )
    rows = [line_of(entry) for entry in entries]
    data = "\n".join([*lines, *rows, ""]).encode()
    return data + f"end {len(rows)} crc32c {crc32c(data):08x}\n".encode()
