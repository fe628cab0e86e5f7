"""Errors of the relay in service. Each says what was wrong, and whose fault it was where that decides what follows."""

from __future__ import annotations

from lynxscale.exceptions import LynxscaleError


class RelayError(LynxscaleError):
    """Base of every error that the relay raises itself."""


class HttpParseError(RelayError):
    """The remote side's bytes are not HTTP/1.1 within the parser's bounds; ``status`` is the response that fits."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class InvalidMessageError(RelayError):
    """A well-formed request that is no message; the text names the header at fault, ``status`` is the response."""

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status


class CallFailedError(RelayError):
    """A call ended without a complete response.

    ``written``: the last byte of the request had left, so the call may have run. ``malformed``: bytes came that are
    no response. ``status_ok``: the status line was read, and says 200.
    """

    def __init__(self, written: bool, malformed: bool = False, status_ok: bool = False) -> None:
        super().__init__("connection ended")
        self.written, self.malformed, self.status_ok = written, malformed, status_ok


class CallTimedOutError(CallFailedError):
    """No response within the time that the caller allowed for the call."""


class InvalidListError(RelayError):
    """A line or row of an endpoint list is invalid: the word at fault, and what is wanted in its place."""

    def __init__(self, word: str, wanted: str) -> None:
        super().__init__(f"{word}: {wanted}")
        self.word, self.wanted = word, wanted


class StoredListCorruptError(RelayError):
    """A list in the state folder is not what was written; the text names the file and what is wrong."""


class JournalFullError(RelayError):
    """The record could not be stored, and nothing of it is in the files; the text says why."""


class JournalFormatError(RelayError):
    """Bytes that are not of the journal's format, or are damaged; the text names the file or segment."""


class JournalVersionError(JournalFormatError):
    """A newer version wrote the journal's files. They stay as they are, as nothing in them may be taken for damage."""
