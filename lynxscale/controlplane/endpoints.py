"""The platform's list of endpoints, read by the primary and published down the tree.

A relay that has had no word of a primary for too long reads it itself, at its part of the platform's rate.
"""

from __future__ import annotations

from collections.abc import Callable
from urllib.parse import quote

import msgspec

from lynxscale.coordination.ports import Clock, Timer
from lynxscale.runtime.http_client import Dial, SingleRequest
from lynxscale.runtime.http_types import Head, Request
from lynxscale.topics import Endpoint

READ_EVERY_S = 0.6
REFUSED_PAUSE_S = 0.3
CALL_TIMEOUT_S = 1.0
MOST_PAGES = 200


class Page(msgspec.Struct, rename="kebab"):
    """One page of the platform's answer."""

    instances: list[Endpoint]
    next_page_token: str | None = None


class EndpointReader:
    """Reads all pages, again and again while it runs. ``on_list`` gets each whole list, sorted."""

    def __init__(self, address: str, clock: Clock, dial: Dial, on_list: Callable[[list[Endpoint]], None]) -> None:
        self.address = address
        self._clock = clock
        self._dial = dial
        self._on_list = on_list
        self._timer: Timer | None = None
        self._round = 0
        self._every_s = READ_EVERY_S
        self._found: list[Endpoint] = []
        self._pages = 0

    def start(self, every_s: float = READ_EVERY_S) -> None:
        """Begin to read now, and again so long after each list."""
        self._every_s = every_s
        self._round += 1
        self._begin(self._round)

    def stop(self) -> None:
        """Read no more; an answer that is on its way is dropped."""
        self._round += 1
        if self._timer is not None:
            self._timer.cancel()

    def _begin(self, number: int) -> None:
        if number == self._round:
            self._found, self._pages = [], 0
            self._ask(number, None)

    def _ask(self, number: int, token: str | None) -> None:
        target = "/instances" + (f"?page-token={quote(token)}" if token else "")
        request = Request("GET", target, Head(((b"host", self.address.encode()),)))
        SingleRequest(
            self.address,
            request,
            self._clock,
            self._dial,
            CALL_TIMEOUT_S,
            lambda status, body: self._answered(number, status, body),
        )

    def _answered(self, number: int, status: int, body: bytes) -> None:
        if number != self._round:
            return
        page = decode_page(body) if status == 200 else None
        if page is None:
            self._again(number, REFUSED_PAUSE_S)
            return
        self._found += page.instances
        self._pages += 1
        if page.next_page_token and self._pages < MOST_PAGES:
            self._ask(number, page.next_page_token)
            return
        self._on_list(sorted(self._found))
        self._again(number, self._every_s)

    def _again(self, number: int, delay: float) -> None:
        self._timer = self._clock.call_later(delay, lambda: self._begin(number))


def decode_page(body: bytes) -> Page | None:
    """A page of the list, None where the body is none."""
    try:
        return msgspec.json.decode(body, type=Page)
    except msgspec.DecodeError:
        return None
