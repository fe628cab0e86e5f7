"""Polls the platform's endpoint list: ``GET /instances``, page by page.

The primary of the control plane polls and publishes the list. A relay that reaches no primary polls it as well,
within its share of the platform's rate limit.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from http import HTTPStatus
from urllib.parse import quote

import msgspec

from lynxscale.coordination.ports import Clock, Timer
from lynxscale.discovery.endpoint import Endpoint
from lynxscale.runtime.http_client import Dial, SingleRequest
from lynxscale.runtime.http_types import Head, Request

log = logging.getLogger(__name__)

POLL_INTERVAL_S = 0.6
RETRY_DELAY_S = 0.3  # after a failed or rejected request
REQUEST_TIMEOUT_S = 1.0
MAX_PAGES = 200  # per list; a longer list is ignored


class EndpointPage(msgspec.Struct, rename="kebab"):
    """A page of the platform's list; the last page has no ``next-page-token``."""

    instances: list[Endpoint]
    next_page_token: str | None = None


class EndpointPoller:
    """Fetches the list repeatedly while it runs. ``on_list(endpoints)`` is called with each complete list, sorted.

    ``address`` (``host:port`` of the platform) may be changed at any time; the next request uses it.
    """

    def __init__(self, address: str, clock: Clock, dial: Dial, on_list: Callable[[list[Endpoint]], None]) -> None:
        self.address = address
        self._clock = clock
        self._dial = dial
        self._on_list = on_list
        self._timer: Timer | None = None
        self._run_number = 0  # increased by every start and stop, so that responses to earlier requests are ignored
        self._interval_s = POLL_INTERVAL_S
        self._endpoints: list[Endpoint] = []
        self._pages = 0

    def start(self, interval_s: float = POLL_INTERVAL_S) -> None:
        """Fetch the list now, and again ``interval_s`` seconds after each complete list."""
        self._interval_s = interval_s
        self._run_number += 1
        self._fetch_list(self._run_number)

    def stop(self) -> None:
        """Stop polling; the response to a request in flight is ignored."""
        self._run_number += 1
        if self._timer is not None:
            self._timer.cancel()

    def _fetch_list(self, run_number: int) -> None:
        if run_number == self._run_number:
            self._endpoints, self._pages = [], 0
            self._fetch_page(run_number, None)

    def _fetch_page(self, run_number: int, token: str | None) -> None:
        target = "/instances" + (f"?page-token={quote(token)}" if token else "")
        request = Request("GET", target, Head(((b"host", self.address.encode()),)))
        SingleRequest(
            self.address,
            request,
            self._clock,
            self._dial,
            REQUEST_TIMEOUT_S,
            lambda status, body: self._on_response(run_number, status, body),
        )

    def _on_response(self, run_number: int, status: int, body: bytes) -> None:
        if run_number != self._run_number:
            return
        page = decode_page(body) if status == HTTPStatus.OK else None
        if page is None:
            self._fetch_list_later(run_number, RETRY_DELAY_S)
            return
        self._endpoints += page.instances
        self._pages += 1
        if page.next_page_token:
            self._fetch_next_page(run_number, page.next_page_token)
            return
        self._on_list(sorted(self._endpoints))
        self._fetch_list_later(run_number, self._interval_s)

    def _fetch_next_page(self, run_number: int, token: str) -> None:
        if self._pages < MAX_PAGES:
            self._fetch_page(run_number, token)
            return
        # Publishing a partial list would remove the other endpoints from every relay.
        log.error("event=endpoint_list_too_long pages=%d", self._pages)
        self._fetch_list_later(run_number, self._interval_s)

    def _fetch_list_later(self, run_number: int, delay_s: float) -> None:
        self._timer = self._clock.call_later(delay_s, lambda: self._fetch_list(run_number))


def decode_page(body: bytes) -> EndpointPage | None:
    """Decode a page of the list; None if the body is not a valid page."""
    try:
        return msgspec.json.decode(body, type=EndpointPage)
    except msgspec.DecodeError:
        return None
