"""The file of a list: its bytes to a checked candidate, in slices; docs/design/membership.md, "The file".

A file without its closing line is half-written, and nothing is said of what is in it. Everything else that is wrong is
told at once, each with its line.
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

from lynxscale.relay.conf.lexer import Fault, Unclosed, split
from lynxscale.relay.conf.networks import Nets
from lynxscale.relay.upstream.model import (
    DESTINATION_MOST,
    SLICE,
    WEIGHT_MOST,
    Candidate,
    Destination,
    Entry,
    Shards,
    Slices,
    line_of,
)
from lynxscale.scheduling.events import Lifecycle

VERSION = 1
FILE_MOST = 16 << 20  # bytes: guards against a device or a log named by mistake
JSON_MOST = 512 << 10  # its reader is one call, that holds the loop for some ms
LINE_MOST = 4096
PART = 32 << 10  # bytes read between two places at which the work may be interrupted
ENTRIES_MOST = 65_536
FAULTS_MOST = 50
ID_MOST = 200
GENERATION_MOST = 1 << 62
CLOSED = re.compile(rb"(?:\A|\n)end [0-9]+(?: crc32c [0-9a-f]{8})?\r?\n\Z")
CONTROL = re.compile(rb"[\x00-\x08\x0b-\x1f\x7f]")
NUMBER = re.compile(r"[0-9]{1,19}")
DECIMAL = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")
LIFECYCLES = {"ready": Lifecycle.READY, "draining": Lifecycle.DRAINING}
KEYS = ("destination", "zone", "kind", "weight", "since")


@dataclass(frozen=True, slots=True)
class Rules:
    """What a list may say. Empty ``kinds`` and ``zones`` allow any name."""

    nets: Nets
    kinds: frozenset[str] = frozenset()
    zones: frozenset[str] = frozenset()
    entries_most: int = ENTRIES_MOST
    needs_checksum: bool = False


@dataclass(slots=True)
class Reading:
    """A file as it was read. ``candidate`` is None where there are faults, or no closing line."""

    candidate: Candidate | None = None
    faults: list[Fault] = field(default_factory=list)
    whole: bool = True  # it has its closing line
    known: Shards = field(default_factory=Shards)  # its lines and their entries, for the next version


class Wrong(Exception):
    """A line is off: the word, and what is wanted."""

    def __init__(self, word: str, wanted: str) -> None:
        super().__init__(f"{word}: {wanted}")
        self.word, self.wanted = word, wanted


def digest_of(data: bytes) -> str:
    """What tells one text of a list from another."""
    return hashlib.sha256(data).hexdigest()


def read(
    data: bytes, unit: str, rules: Rules, known: Shards | None = None, digest: str | None = None
) -> Slices[Reading]:
    """Read a file's bytes; ``known`` has lines of the version before, which need not be read again."""
    reading = Reading()
    digest = digest or digest_of(data)
    if data[:1] == b"{":
        yield from _json(data, unit, rules, digest, reading)
        return reading
    if len(data) > FILE_MOST:
        reading.faults.append(Fault(unit, 0, "file", f"want at most {FILE_MOST} bytes"))
        return reading
    if CLOSED.search(data, max(0, len(data) - 64)) is None:
        reading.whole = False
        return reading
    yield
    yield from _Lines(unit, rules, digest, reading, known or Shards()).read(data)
    return reading


def _parts(data: bytes) -> Iterator[tuple[int, int]]:
    """Where to cut the bytes: at line feeds, into parts that are soon read."""
    at, size = 0, len(data)
    while at < size:
        end = data.rfind(b"\n", at, at + PART) + 1 or data.find(b"\n", at) + 1 or size
        yield at, end
        at = end


def _text(part: bytes, unit: str, first: int, reading: Reading) -> str | None:
    """A part as text; its first line has that number."""
    if first == 1 and part.startswith(b"\xef\xbb\xbf"):
        reading.faults.append(Fault(unit, 1, "byte-order mark", "want plain UTF-8"))
        return None
    match = CONTROL.search(part)
    if match is not None:
        what = {0: "NUL", 13: "carriage return"}.get(match.group()[0], f"control byte {match.group()[0]:#04x}")
        reading.faults.append(
            Fault(
                unit,
                first + part.count(b"\n", 0, match.start()),
                what,
                "want text, its lines ended by a line feed alone",
            )
        )
        return None
    try:
        return part.decode()
    except UnicodeDecodeError as error:
        reading.faults.append(
            Fault(unit, first + part.count(b"\n", 0, error.start), f"byte {part[error.start]:#04x}", "want UTF-8")
        )
        return None


class _Entries:
    """What both forms share: entries gathered and held against each other."""

    def __init__(self, unit: str, rules: Rules, reading: Reading) -> None:
        self.unit, self.rules, self.reading = unit, rules, reading
        self.entries: dict[str, Entry] = {}
        self.lines: list[int] = []
        self.addresses = Shards()
        self.destinations: dict[int, Destination] = {}
        self.hosts: dict[str, None] = {}

    def fault(self, line: int, word: str, wanted: str) -> None:
        """One thing wrong; beyond the most that are told nothing is kept."""
        if len(self.reading.faults) < FAULTS_MOST:
            self.reading.faults.append(Fault(self.unit, line, word[:80], wanted))

    def add(self, line: int, entry: Entry) -> None:
        before = self.entries.get(entry.id)
        if before is not None:
            how = " with the same weight" if before.weight == entry.weight else " with another weight"
            line = line_of(entry.id, self.entries, self.lines)
            raise Wrong(entry.id, f"want each endpoint once: it stands at line {line}{how}")
        other = self.addresses.get(entry.address)
        if other is not None:
            raise Wrong(
                "{}:{}".format(*entry.address),
                f"want one id at an address: {other} is there, line {line_of(other, self.entries, self.lines)}",
            )
        if len(self.entries) >= self.rules.entries_most:
            raise Wrong(entry.id, f"want at most {self.rules.entries_most} endpoints")
        self.entries[entry.id] = entry
        self.lines.append(line)
        self.addresses.put(entry.address, entry.id)
        if entry.destination not in self.destinations:
            self.destinations[entry.destination] = Destination(entry.destination)

    def address(self, text: str) -> tuple[str, int]:
        host, colon, port = text.rpartition(":")
        if not (colon and port.isascii() and port.isdigit() and len(port) < 6 and 0 < int(port) < 65536):
            raise Wrong(text, "want ADDRESS:PORT")
        if host not in self.hosts:
            try:
                packed = int.from_bytes(socket.inet_pton(socket.AF_INET, host), "big")
            except (OSError, ValueError):
                raise Wrong(text, "want an IPv4 address and a port, as no name is looked up") from None
            if packed not in self.rules.nets:
                raise Wrong(text, "want an address in the allowed networks")
            self.hosts[host] = None
        return host, int(port)

    def named(self, what: str, text: str, among: frozenset[str]) -> str:
        if among and text not in among:
            raise Wrong(text, f"want a {what} of the settings: {', '.join(sorted(among))}")
        return text

    def candidate(self, generation: int, digest: str) -> Candidate:
        return Candidate(self.unit, generation, digest, self.entries, self.destinations, self.lines)


def _weight(text: str) -> float:
    if not DECIMAL.fullmatch(text) or not float(text) <= WEIGHT_MOST:
        raise Wrong(f"weight {text}", f"want calls a second, 0 to {WEIGHT_MOST:g}, as a plain decimal number")
    return float(text)


def _whole(name: str, text: str, most: int) -> int:
    if not NUMBER.fullmatch(text) or int(text) >= most:
        raise Wrong(f"{name} {text}", f"want a whole number below {most}")
    return int(text)


def _id(text: str) -> str:
    if not text or len(text) > ID_MOST or not text.isprintable():
        raise Wrong(text, f"want an id of at most {ID_MOST} printable characters")
    return text


class _Lines(_Entries):
    def __init__(self, unit: str, rules: Rules, digest: str, reading: Reading, known: Shards) -> None:
        super().__init__(unit, rules, reading)
        self.digest, self.known = digest, known
        self.generation: int | None = None
        self.rated = False  # by then what an endpoint's line means hangs on another line
        self.directives = {"list": self._list, "destination": self._destination, "endpoint": self._endpoint}

    def read(self, data: bytes) -> Slices[None]:
        number, checksum, size = 0, 0, data.rindex(b"end ")
        for at, end in _parts(data):
            if end - at > PART + 4 * LINE_MOST:
                # Guards the loop against a line of megabytes, that would be searched and split in one go.
                self.fault(number + 1, "line", f"want lines of at most {LINE_MOST} characters")
                return
            part = data[at : min(end, size)]
            text = _text(part, self.unit, number + 1, self.reading)
            if text is None:
                return
            checksum = crc32c(part, checksum)
            for raw in text.split("\n")[:-1]:
                number += 1
                if not number % SLICE:
                    yield
                try:
                    self._line(number, raw)
                except Wrong as error:
                    self.fault(number, error.word, error.wanted)
            yield
        if self.generation is None and not self.reading.faults:
            self.fault(1, "list", f"want list {VERSION} generation NUMBER first")
        self._end(number + 1, data[size:], checksum)
        if not self.reading.faults and self.generation is not None:
            self.reading.candidate = self.candidate(self.generation, self.digest)

    def _line(self, number: int, raw: str) -> None:
        entry = self.known.get(raw)
        if entry is not None and self.generation is not None and not self.rated:
            self.reading.known.put(raw, entry)
            self.add(number, entry)
            return
        if len(raw) > LINE_MOST:
            raise Wrong(raw[:20], f"want lines of at most {LINE_MOST} characters")
        if '"' in raw or "'" in raw or "#" in raw or "\\" in raw:
            try:
                words = split(raw)
            except Unclosed as error:
                raise Wrong(str(error), "want a closing quote") from None
        else:
            words = raw.split()
        if not words:
            return
        act = self.directives.get(words[0])
        if act is None:
            raise Wrong(
                words[0],
                "want it as the last line alone" if words[0] == "end" else "want list, destination, endpoint or end",
            )
        if self.generation is None and words[0] != "list":
            raise Wrong(words[0], f"want list {VERSION} generation NUMBER first")
        act(number, words, raw)

    def _list(self, _number: int, words: list[str], _raw: str) -> None:
        if self.generation is not None:
            raise Wrong("list", "want it once, as the first line")
        if len(words) != 4 or words[2] != "generation":
            raise Wrong("list", f"want list {VERSION} generation NUMBER")
        self.generation = 0  # so that the lines below are judged too
        if words[1] != str(VERSION):
            raise Wrong(f"list {words[1]}", f"want a format version of {VERSION}, which is all that this one reads")
        self.generation = _whole("generation", words[3], GENERATION_MOST)

    def _pairs(self, words: list[str], allowed: tuple[str, ...]) -> Iterator[tuple[str, str]]:
        if len(words) % 2:
            raise Wrong(words[-1], f"want pairs of a name and a value, names: {', '.join(allowed)}")
        seen = set()
        for name, value in zip(words[::2], words[1::2], strict=True):
            if name not in allowed:
                raise Wrong(name, f"want one of {', '.join(allowed)}")
            if name in seen:
                raise Wrong(name, "want it once")
            seen.add(name)
            yield name, value

    def _destination(self, _number: int, words: list[str], _raw: str) -> None:
        if len(words) < 2:
            raise Wrong("destination", "want destination NUMBER [rate CALLS] [kind KIND]")
        number = _whole("destination", words[1], DESTINATION_MOST)
        if number in self.destinations:
            raise Wrong(f"destination {number}", "want it once, before its endpoints")
        rate, kind = None, None
        for name, value in self._pairs(words[2:], ("rate", "kind")):
            if name == "rate":
                rate = _weight(value)
            else:
                kind = self.named("kind", value, self.rules.kinds)
        self.rated = True
        self.destinations[number] = Destination(number, rate, kind)

    def _endpoint(self, number: int, words: list[str], raw: str) -> None:
        life = LIFECYCLES.get(words[-1])
        if len(words) < 4 or life is None:
            raise Wrong(
                "endpoint",
                "want endpoint ID ADDRESS:PORT destination NUMBER [zone ZONE] [kind KIND] "
                "[weight CALLS] [since MS] ready|draining",
            )
        id_, address = _id(words[1]), self.address(words[2])
        told = dict(self._pairs(words[3:-1], KEYS))
        if "destination" not in told:
            raise Wrong(id_, "want a destination")
        dest = _whole("destination", told["destination"], DESTINATION_MOST)
        own = self.destinations.get(dest, Destination(dest))
        kind, weight = told.get("kind"), told.get("weight")
        kind = self.named("kind", kind, self.rules.kinds) if kind is not None else own.kind or ""
        calls = _weight(weight) if weight is not None else own.rate or 0.0
        entry = Entry(
            id_,
            address,
            dest,
            self.named("zone", told["zone"], self.rules.zones) if "zone" in told else "",
            kind,
            life,
            calls if own.rate is None else min(calls, own.rate),
            _whole("since", told["since"], GENERATION_MOST) if "since" in told else 0,
        )
        if not self.rated:
            self.reading.known.put(raw, entry)
        self.add(number, entry)

    def _end(self, number: int, last: bytes, checksum: int) -> None:
        words = last.split()  # of the form that told the file whole
        if b"\r" in last:
            self.fault(number, "carriage return", "want text, its lines ended by a line feed alone")
        if self.reading.faults:
            return  # the count would be off for those lines alone
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


def _json(data: bytes, unit: str, rules: Rules, digest: str, reading: Reading) -> Slices[None]:
    """Discovery's form, whole: generation, reset, instances."""
    found = _Entries(unit, rules, reading)
    if len(data) > JSON_MOST:
        found.fault(0, "file", f"want at most {JSON_MOST} bytes of JSON; the line format has no such bound")
        return
    try:
        table = orjson.loads(data)
    except ValueError:
        reading.whole = False  # half-written, or none: in either case nothing can be said of what is in it
        return
    rows, version = table.get("instances"), table.get("generation")
    if not isinstance(rows, list):
        found.fault(0, "instances", "want a list of instances")
        return
    if isinstance(version, bool) or not isinstance(version, int) or not 0 <= version < GENERATION_MOST:
        found.fault(0, "generation", "want a whole number")
    if table.get("reset") is not True:
        found.fault(0, "reset", "want true: a file holds the whole list, not changes")
    for place, row in enumerate(rows, 1):
        if not place % SLICE:
            yield
        try:
            _row(found, place, row)
        except Wrong as error:
            found.fault(place, error.word, error.wanted)
    if not reading.faults:
        reading.candidate = found.candidate(version, digest)


def _row(found: _Entries, place: int, row: object) -> None:
    if not isinstance(row, dict):
        raise Wrong(f"instances[{place - 1}]", "want an object")
    if row.get("lifecycle") == "gone":
        return
    life, id_ = LIFECYCLES.get(str(row.get("lifecycle"))), row.get("instanceId")
    if life is None:
        raise Wrong("lifecycle", "want ready, draining or gone")
    if not isinstance(id_, str):
        raise Wrong("instanceId", "want a text")
    weight, dest, since = row.get("weight", 0.0), row.get("cell", 0), row.get("startedAtMs", 0)
    if (
        isinstance(weight, bool)
        or not isinstance(weight, (int, float))
        or not (math.isfinite(weight) and 0 <= weight <= WEIGHT_MOST)
    ):
        raise Wrong(f"weight {weight}", f"want calls a second, 0 to {WEIGHT_MOST:g}")
    if isinstance(dest, bool) or not isinstance(dest, int) or not 0 <= dest < DESTINATION_MOST:
        raise Wrong(f"cell {dest}", f"want a whole number below {DESTINATION_MOST}")
    zone, kind = row.get("zone", ""), row.get("machineType", "")
    if not isinstance(zone, str) or not isinstance(kind, str):
        raise Wrong("zone" if not isinstance(zone, str) else "machineType", "want a text")
    entry = Entry(
        _id(id_),
        found.address(str(row.get("hostPort"))),
        dest,
        found.named("zone", zone, found.rules.zones if zone else frozenset()),
        found.named("kind", kind, found.rules.kinds if kind else frozenset()),
        life,
        float(weight),
        since if isinstance(since, int) else 0,
    )
    found.add(place, entry)


# Writing ---------------------------------------------------------------------------------------------


def _quoted(text: str) -> str:
    plain = text and not any(sign.isspace() or sign in "\"'#\\" for sign in text)
    return text if plain else '"' + text.replace("\\", "\\\\").replace('"', '\\"') + '"'


def written(entry: Entry) -> str:
    """An entry's line."""
    words = ["endpoint", _quoted(entry.id), "{}:{}".format(*entry.address), "destination", str(entry.destination)]
    for name, text in (("zone", entry.zone), ("kind", entry.kind)):
        if text:
            words += [name, _quoted(text)]
    words += ["weight", f"{entry.weight:.6f}".rstrip("0").rstrip(".")]
    if entry.since:
        words += ["since", str(entry.since)]
    words.append("draining" if entry.lifecycle == Lifecycle.DRAINING else "ready")
    return " ".join(words)


def write(entries: Iterable[Entry], generation: int, destinations: Iterable[Destination] = ()) -> bytes:
    """A file with these entries, with its checksum."""
    lines = [f"list {VERSION} generation {generation}"]
    for one in destinations:
        lines.append(
            f"destination {one.number}"
            + (f" rate {one.rate:g}" if one.rate is not None else "")
            + (f" kind {_quoted(one.kind)}" if one.kind else "")
        )
    rows = [written(entry) for entry in entries]
    data = "\n".join([*lines, *rows, ""]).encode()
    return data + f"end {len(rows)} crc32c {crc32c(data):08x}\n".encode()
