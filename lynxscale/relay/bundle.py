"""Several messages in one call: the request body that carries them, and the response that says how each one ended.

    ID KEY-OR-DASH LENGTH CRLF BYTES CRLF        in the request body, for each message
    ID ok|error|later|gone|exhausted CRLF        in a response with 200, for each message

No I/O. What a response does not say for certain may have run.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from lynxscale.scheduling.events import Result

PATH = "/events/bundle"
RESULT_BY_WORD = {
    b"ok": Result.OK,
    b"error": Result.ERROR,
    b"later": Result.FULL,
    b"gone": Result.MOOT,
    b"exhausted": Result.MOOT,
}
GONE = b"gone"  # nothing more is owed
MAX_LINE_BYTES = 512


def size_of(id_: str, key: str, body: bytes) -> int:
    """Bytes that a message takes in a request body."""
    return len(id_) + len(key or "-") + len(str(len(body))) + len(body) + 6


def body(messages: Iterable[tuple[str, str, bytes]]) -> bytes:
    """The request body for messages, each an id, a key or an empty one, and its bytes."""
    return b"".join(
        f"{id_} {key or '-'} {len(data)}\r\n".encode("latin-1") + data + b"\r\n" for id_, key, data in messages
    )


def ends(response: bytes, ids: Sequence[str]) -> tuple[dict[str, tuple[Result, bool]], bool]:
    """How each message ended, with whether nothing more is owed, and whether the response was well-formed.

    A message whose line is missing, cut short, duplicated or unreadable may have run: an error.
    """
    found: dict[str, tuple[Result, bool]] = {}
    expected, well_formed = set(ids), True
    *lines, tail = response.split(b"\r\n")
    if tail:
        well_formed = False  # a last line without its end may have been cut short
    for line in lines:
        id_, _, word = line.partition(b" ")
        name = id_.decode("latin-1")
        if len(line) > MAX_LINE_BYTES or name not in expected or word not in RESULT_BY_WORD:
            well_formed = False
            if name in expected:
                found[name] = (Result.ERROR, False)
        elif name in found:
            well_formed = False
            if found[name] != (RESULT_BY_WORD[word], word == GONE):
                found[name] = (Result.ERROR, False)  # two lines that contradict each other: neither counts
        else:
            found[name] = (RESULT_BY_WORD[word], word == GONE)
    missing = [name for name in ids if name not in found]
    for name in missing:
        found[name] = (Result.ERROR, False)
    return found, well_formed and not missing
