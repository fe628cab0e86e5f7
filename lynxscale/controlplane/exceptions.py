"""Errors of the control plane."""

from __future__ import annotations

from http import HTTPStatus

from lynxscale.exceptions import LynxscaleError


class ControlPlaneError(LynxscaleError):
    """Base of the control plane's errors."""


class AdmissionError(ControlPlaneError):
    """Base of the errors that reject a turn. ``status`` is the HTTP status that the relay's client gets."""

    status: HTTPStatus


class TurnNotFoundError(AdmissionError):
    """The previous turn is not retained: it never completed, or its retention has expired."""

    status = HTTPStatus.NOT_FOUND

    def __init__(self, turn: str) -> None:
        super().__init__(f"no retained turn {turn!r}")
        self.turn = turn


class StateTooLargeError(AdmissionError):
    """The turns that are retained leave no memory for further ones, until some expire."""

    status = HTTPStatus.SERVICE_UNAVAILABLE


class EventsUnknownError(AdmissionError):
    """The events that the client of a resumed turn has are not known; the turn can be run from its start."""

    status = HTTPStatus.SERVICE_UNAVAILABLE

    def __init__(self, resume_after: str) -> None:
        super().__init__(f"no events up to {resume_after!r}")


class SupersededRunError(AdmissionError):
    """Another run of the request was admitted later, or is retained with another content."""

    status = HTTPStatus.CONFLICT

    def __init__(self, turn: str) -> None:
        super().__init__(f"another run of turn {turn!r} counts")
        self.turn = turn


class BudgetExceededError(AdmissionError):
    """The remaining budget is less than the maximum number of tokens that the turn may use."""

    status = HTTPStatus.PAYMENT_REQUIRED

    def __init__(self, program: str, requested: int, available: int) -> None:
        super().__init__(f"program {program!r} requests {requested} tokens, {available} are available")
        self.program = program
        self.requested = requested
        self.available = available
