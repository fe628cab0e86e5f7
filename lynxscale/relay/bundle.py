"""Several messages in one call: the body that carries them, and the answer that tells how each one ended.

    ID KEY-OR-DASH LENGTH CRLF BYTES CRLF        in the body, for each message
    ID ok|error|later|gone|exhausted CRLF        in an answer with 200, for each message

No I/O. What an answer does not tell for certain may have run.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from lynxscale.scheduling.events import Result

PATH = "/events/bundle"
ENDS = {
    b"ok": Result.OK,
    b"error": Result.ERROR,
    b"later": Result.FULL,
    b"gone": Result.MOOT,
    b"exhausted": Result.MOOT,
}
GONE = b"gone"  # nothing more is owed
LINE_MOST = 512


def size_of(id_: str, key: str, body: bytes) -> int:
    """Bytes that a message takes in a body."""
    return len(id_) + len(key or "-") + len(str(len(body))) + len(body) + 6


def body(messages: Iterable[tuple[str, str, bytes]]) -> bytes:
    """The body for messages, each an id, a key or an empty one, and its bytes."""
    return b"".join(
        f"{id_} {key or '-'} {len(data)}\r\n".encode("latin-1") + data + b"\r\n" for id_, key, data in messages
    )


def ends(answer: bytes, ids: Sequence[str]) -> tuple[dict[str, tuple[Result, bool]], bool]:
    """How each message ended, with whether nothing more is owed, and whether the answer was all in order.

    A message whose line is missing, cut short, doubled or unreadable may have run: an error.
    """
    found: dict[str, tuple[Result, bool]] = {}
    wanted, good = set(ids), True
    *lines, rest = answer.split(b"\r\n")
    if rest:
        good = False  # a last line without its end may have been cut short
    for line in lines:
        id_, _, word = line.partition(b" ")
        name = id_.decode("latin-1")
        if len(line) > LINE_MOST or name not in wanted or word not in ENDS:
            good = False
            if name in wanted:
                found[name] = (Result.ERROR, False)
        elif name in found:
            good = False
            if found[name] != (ENDS[word], word == GONE):
                found[name] = (Result.ERROR, False)  # two words on one message: neither holds
        else:
            found[name] = (ENDS[word], word == GONE)
    missing = [name for name in ids if name not in found]
    for name in missing:
        found[name] = (Result.ERROR, False)
    return found, good and not missing
