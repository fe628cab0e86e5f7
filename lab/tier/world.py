"""A discrete-event simulation of machines, their clocks and the links between them, all drawn from one seed.

It uses no sockets, threads or sleeps. Events run in the order of their simulated time, and equal seeds give equal runs
for every value of PYTHONHASHSEED.
"""

from __future__ import annotations

import contextlib
import heapq
import zlib
from collections.abc import Callable, Hashable
from itertools import count
from random import Random

from attrs import frozen

from lab.tier.machine import Event, Machine, ProcessEnded
from lynxscale.coordination.messages import Message, encode

DEFAULT_DELAY_S = 0.002
DELAY_FACTOR_RANGE = (0.7, 1.5)
"""The delay of each message is the delay of its link times a factor drawn from this range."""
TIMER_RANK = 1.0  # ranks of streams are below it


@frozen
class Link:
    """One direction of a link. ``delay_s``: one-way delay; ``loss``: the share of messages that are lost."""

    delay_s: float
    bytes_per_s: float = float("inf")
    loss: float = 0.0


class World:
    """The event queue of all machines, and the links between them.

    ``delay_s``: one-way delay of a link; ``loss``: the probability that a message is lost. ``links``: by sender and
    receiver, the links that have other properties.

    ``wake_random``: if set, a process that was frozen reads the bytes that have arrived meanwhile in a drawn order of
    their connections, and runs its timers behind them, as an event loop does. Otherwise it reads them as they arrived.
    """

    def __init__(self, seed: int, delay_s: float = DEFAULT_DELAY_S, loss: float = 0.0) -> None:
        self.random = Random(seed)
        self.delay_s = delay_s
        self.loss = loss
        self.time = 0.0
        self.machines: dict[str, Machine] = {}
        self.links: dict[tuple[str, str], Link] = {}
        self.partitions: set[tuple[str, str]] = set()  # pairs of sender and receiver
        self.steps = 0  # messages handled and disk syncs done on all machines
        self.digest = 0  # CRC-32 of all messages sent: equal for equal runs
        self.wake_random: Random | None = None
        self._wake_ranks: dict[str, tuple[float, dict[Hashable, float]]] = {}
        self._calls_at_step: dict[int, Callable[[], object]] = {}
        self._events: list[tuple[float, float, tuple[float, int], Event]] = []
        self._next_sequence_number = count().__next__
        self._last_arrival: dict[tuple[str, str], float] = {}
        self._link_free_at: dict[tuple[str, str], float] = {}

    # Time --------------------------------------------------------------------------------------------

    def call_at(
        self,
        time: float,
        call: Callable[[], object],
        owner: Machine | None = None,
        stream: Hashable | None = None,
    ) -> Event:
        """Schedule a call. It is postponed while the process of its owner cannot run."""
        event = Event(call, owner, stream, (time, self._next_sequence_number()))
        heapq.heappush(self._events, (time, 0.0, event.order, event))
        return event

    def run(self, until: float) -> None:
        """Run all events that are due up to a time."""
        while self._events and self._events[0][0] <= until:
            self._run_next()
        self.time = until

    def run_until(self, condition: Callable[[], bool], within: float) -> bool:
        """Run until the condition holds; returns False if it does not hold ``within`` this many seconds."""
        end = self.time + within
        while not condition():
            if not self._events or self._events[0][0] > end:
                self.time = end
                return condition()
            self._run_next()
        return True

    def _run_next(self) -> None:
        self.time, _, _, event = heapq.heappop(self._events)
        if event.call is None:
            return
        if event.owner is not None and (runs_at := event.owner.runs_at(self.time)) > self.time:
            self._postpone(event, runs_at)
            return
        with contextlib.suppress(ProcessEnded):
            event.call()

    def _postpone(self, event: Event, time: float) -> None:
        """Reschedule an event whose owner cannot run now. Events of a machine keep their order, also when postponed.

        With ``wake_random``, events postponed until a frozen process wakes keep the order of their stream only.
        """
        rank = 0.0
        if self.wake_random is not None and event.owner is not None and event.owner.frozen_until == time:
            rank = self._wake_rank(self.wake_random, event, event.owner.address, time)
        heapq.heappush(self._events, (time, rank, event.order, event))

    def _wake_rank(self, random: Random, event: Event, address: str, time: float) -> float:
        """The place of an event's stream when a machine wakes at a time: drawn, and that of timers is the last."""
        if event.stream is None:
            return TIMER_RANK
        wakes_at, ranks = self._wake_ranks.get(address, (time, {}))
        if wakes_at != time:
            ranks = {}
        self._wake_ranks[address] = (time, ranks)
        return ranks.setdefault(event.stream, random.random())

    # Steps -------------------------------------------------------------------------------------------

    def call_at_step(self, number: int, call: Callable[[], object]) -> None:
        """Make a call right after step ``number``; a step is a handled message or a completed sync."""
        self._calls_at_step[number] = call

    def count_step(self, machine: Machine) -> None:
        """Count a handled message or a completed sync. Raises ProcessEnded if a call at this step ended the process."""
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

    def partition(self, sender: str, receiver: str, both_ways: bool = True) -> None:
        """Drop all messages from ``sender`` to ``receiver`` from now on; ``both_ways``: in the other direction too."""
        self.partitions.add((sender, receiver))
        if both_ways:
            self.partitions.add((receiver, sender))

    def heal(self) -> None:
        """End all partitions."""
        self.partitions.clear()

    def deliver(self, source: str, target: str, message: Message) -> None:
        """Send a message over a link. Messages of one link arrive in order, unless they are lost."""
        link = (source, target)
        override = self.links.get(link)
        loss = self.loss if override is None else max(self.loss, override.loss if self.loss else 0.0)
        if link in self.partitions or self.random.random() < loss:
            return
        payload = encode(message)
        self.digest = zlib.crc32(payload, zlib.crc32(f"{self.time:.9f}{source}{target}".encode(), self.digest))
        machine, sender = self.machine(target), self.machine(source)
        transmitted_at = max(self.time, sender.frozen_until)
        if bytes_per_s := min(
            machine.bytes_per_s, sender.bytes_per_s, override.bytes_per_s if override else float("inf")
        ):
            transmitted_at = max(transmitted_at, self._link_free_at.get(link, 0.0)) + len(payload) / bytes_per_s
            self._link_free_at[link] = transmitted_at
        delay_s = (override.delay_s if override else self.delay_s) * self.random.uniform(*DELAY_FACTOR_RANGE)
        arrival = max(transmitted_at + delay_s, self._last_arrival.get(link, 0.0))
        self._last_arrival[link] = arrival
        incarnation = machine.incarnation
        self.call_at(arrival, lambda: machine.on_arrival(incarnation, source, target, payload), machine, link)
