"""Errors of the relay. Their attributes carry what the handler needs to decide how to go on."""

from __future__ import annotations

from lynxscale.exceptions import LynxscaleError


class RelayError(LynxscaleError):
    """Base of every error that the relay raises itself."""


class HttpParseError(RelayError):
    """The received bytes are not HTTP/1.1 within the parser's limits; ``status`` is the status to respond with."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class InvalidMessageError(RelayError):
    """A well-formed request that is not a valid message.

    The text names the invalid header; ``status`` is the status to respond with.
    """

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status


class CallFailedError(RelayError):
    """A call ended without a complete response.

    ``written``: the complete request was sent, so the call may have been executed. ``malformed``: bytes were received
    that are not a valid response. ``status_ok``: a status line with 200 was received.
    """

    def __init__(self, written: bool, malformed: bool = False, status_ok: bool = False) -> None:
        super().__init__("connection ended")
        self.written, self.malformed, self.status_ok = written, malformed, status_ok


class CallTimedOutError(CallFailedError):
    """No response arrived within the caller's timeout."""


class InvalidListError(RelayError):
    """A line or row of an endpoint list is invalid; ``word`` is the invalid word, ``wanted`` describes a valid one."""

    def __init__(self, word: str, wanted: str) -> None:
        super().__init__(f"{word}: {wanted}")
        self.word, self.wanted = word, wanted


class StoredListCorruptError(RelayError):
    """A list stored in the state folder is corrupt; the text names the file and the fault."""


class JournalFullError(RelayError):
    """A record could not be stored, and no part of it is in the files; the text gives the reason."""


class JournalFormatError(RelayError):
    """Bytes are not in the journal's format, or are corrupt; the text names the file or segment."""


class JournalVersionError(JournalFormatError):
    """The journal's files were written by a newer version.

    They are left unchanged, as records of an unknown format must not be treated as corrupt.
    """
