"""Codec for calls that carry several messages: the request body, and the response with an outcome per message.

    ID KEY-OR-DASH LENGTH CRLF BYTES CRLF        in the request body, for each message
    ID ok|error|later|gone|exhausted CRLF        in a response with 200, for each message

The module does no I/O. A message whose outcome is unclear from the response is treated as possibly executed.
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
GONE = b"gone"  # the peer needs no further attempt for the message
MAX_LINE_BYTES = 512


def encoded_size(id_: str, key: str, body: bytes) -> int:
    """The number of bytes that a message takes in a request body."""
    return len(id_) + len(key or "-") + len(str(len(body))) + len(body) + 6


def encode_request(messages: Iterable[tuple[str, str, bytes]]) -> bytes:
    """The request body for ``messages``, each given as id, idempotency key (may be empty) and payload."""
    return b"".join(
        f"{id_} {key or '-'} {len(data)}\r\n".encode("latin-1") + data + b"\r\n" for id_, key, data in messages
    )


def parse_response(response: bytes, ids: Sequence[str]) -> tuple[dict[str, tuple[Result, bool]], bool]:
    """The outcome of each message by id, and whether the response was well-formed.

    An outcome is a result and whether that is final for the message. A message whose line is missing, truncated,
    contradictory or malformed may have been executed, so its result is an error.
    """
    outcomes: dict[str, tuple[Result, bool]] = {}
    expected, well_formed = set(ids), True
    *lines, tail = response.split(b"\r\n")
    if tail:
        well_formed = False  # the last line has no line end, so it may be truncated
    for line in lines:
        id_, _, word = line.partition(b" ")
        name = id_.decode("latin-1")
        if len(line) > MAX_LINE_BYTES or name not in expected or word not in RESULT_BY_WORD:
            well_formed = False
            if name in expected:
                outcomes[name] = (Result.ERROR, False)
        elif name in outcomes:
            well_formed = False
            if outcomes[name] != (RESULT_BY_WORD[word], word == GONE):
                outcomes[name] = (Result.ERROR, False)  # the two lines contradict each other
        else:
            outcomes[name] = (RESULT_BY_WORD[word], word == GONE)
    missing = [name for name in ids if name not in outcomes]
    for name in missing:
        outcomes[name] = (Result.ERROR, False)
    return outcomes, well_formed and not missing
