"""Findings: the errors in a configuration, each with the place where it was found."""

from __future__ import annotations

from attrs import frozen


@frozen
class Finding:
    """An error in a configuration or an update, with the path of the field, such as ``routes[0].timeout-ms``."""

    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.path}: {self.message}"


Findings = tuple[Finding, ...]
