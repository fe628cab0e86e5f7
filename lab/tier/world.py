"""A discrete-event simulation of machines, their clocks and the links between them, all drawn from one seed.

No sockets, no threads, no sleeps: events are called in order of their time, and equal seeds give equal runs, whatever
Python's hash seed.
"""

from __future__ import annotations

import contextlib
import heapq
import zlib
from collections.abc import Callable
from itertools import count
from random import Random

from attrs import frozen

from lab.tier.machine import Event, Machine, ProcessEnded
from lynxscale.coordination.messages import Message, encode

DELAY_S = 0.002
DELAY_SPREAD = (0.7, 1.5)
"""A message takes the delay of its link times a factor drawn from this range."""


@frozen
class Link:
    """One direction of a link of its own. ``delay_s``: one way; ``loss``: the share of messages that it loses."""

    delay_s: float
    bytes_per_s: float = float("inf")
    loss: float = 0.0


class World:
    """The event queue of all machines, and the links between them.

    ``delay_s``: one-way delay of a link; ``loss``: the probability with which a message is lost. ``links``: those, by
    sender and receiver, that differ from this.
    """

    def __init__(self, seed: int, delay_s: float = DELAY_S, loss: float = 0.0) -> None:
        self.random = Random(seed)
        self.delay_s = delay_s
        self.loss = loss
        self.time = 0.0
        self.machines: dict[str, Machine] = {}
        self.links: dict[tuple[str, str], Link] = {}
        self.partitions: set[tuple[str, str]] = set()  # sender and receiver
        self.steps = 0  # messages handled and syncs done, of all machines
        self.digest = 0  # CRC-32 of all messages carried: equal for equal runs
        self._calls_at_step: dict[int, Callable[[], object]] = {}
        self._events: list[tuple[float, int, Event]] = []
        self._order = count().__next__
        self._last_arrival: dict[tuple[str, str], float] = {}
        self._wire_free_at: dict[tuple[str, str], float] = {}

    # Time --------------------------------------------------------------------------------------------

    def call_at(self, time: float, call: Callable[[], object], owner: Machine | None = None) -> Event:
        """Schedule a call; while its owner is frozen it is put off."""
        event = Event(call, owner)
        heapq.heappush(self._events, (time, self._order(), event))
        return event

    def run(self, until: float) -> None:
        """Run all events that are due up to a time."""
        while self._events and self._events[0][0] <= until:
            self._run_next()
        self.time = until

    def run_until(self, condition: Callable[[], bool], within: float) -> bool:
        """Run until the condition holds; False where it does not ``within`` so many seconds."""
        end = self.time + within
        while not condition():
            if not self._events or self._events[0][0] > end:
                self.time = end
                return condition()
            self._run_next()
        return True

    def _run_next(self) -> None:
        self.time, _, event = heapq.heappop(self._events)
        if event.call is None:
            return
        if event.owner is not None and (runs_at := event.owner.runs_at(self.time)) > self.time:
            self._put_off(event, runs_at)
            return
        with contextlib.suppress(ProcessEnded):
            event.call()

    def _put_off(self, event: Event, time: float) -> None:
        """The owner does not run now: its events keep their order. A cancelled one stays so."""
        heapq.heappush(self._events, (time, self._order(), event))

    # Steps -------------------------------------------------------------------------------------------

    def call_at_step(self, number: int, call: Callable[[], object]) -> None:
        """Make a call right after so many messages were handled and syncs done."""
        self._calls_at_step[number] = call

    def count_step(self, machine: Machine) -> None:
        """A message was handled or a sync done on a machine. Raises ProcessEnded where that has ended its process."""
        self.steps += 1
        call = self._calls_at_step.pop(self.steps, None)
        if call is not None:
            incarnation = machine.incarnation
            call()
            if machine.incarnation != incarnation:
                raise ProcessEnded

    # Network -----------------------------------------------------------------------------------------

    def machine(self, address: str) -> Machine:
        """The machine at an address, created on first use."""
        if address not in self.machines:
            self.machines[address] = Machine(self, address)
        return self.machines[address]

    def partition(self, one: str, other: str, both_ways: bool = True) -> None:
        """Drop all that one sends to the other from now on."""
        self.partitions.add((one, other))
        if both_ways:
            self.partitions.add((other, one))

    def heal(self) -> None:
        """End all partitions."""
        self.partitions.clear()

    def deliver(self, source: str, target: str, message: Message) -> None:
        """Carry a message over the link, in order, unless it is lost."""
        link = (source, target)
        own = self.links.get(link)
        loss = self.loss if own is None else max(self.loss, own.loss if self.loss else 0.0)
        if link in self.partitions or self.random.random() < loss:
            return
        payload = encode(message)
        self.digest = zlib.crc32(payload, zlib.crc32(f"{self.time:.9f}{source}{target}".encode(), self.digest))
        machine, sender = self.machine(target), self.machine(source)
        begun = max(self.time, sender.frozen_until)
        if speed := min(machine.bytes_per_s, sender.bytes_per_s, own.bytes_per_s if own else float("inf")):
            begun = max(begun, self._wire_free_at.get(link, 0.0)) + len(payload) / speed
            self._wire_free_at[link] = begun
        delay_s = (own.delay_s if own else self.delay_s) * self.random.uniform(*DELAY_SPREAD)
        arrival = max(begun + delay_s, self._last_arrival.get(link, 0.0))
        self._last_arrival[link] = arrival
        incarnation = machine.incarnation
        self.call_at(arrival, lambda: machine.on_arrival(incarnation, source, target, payload), machine)
