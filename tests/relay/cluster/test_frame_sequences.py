"""Frames against a plain model, over a network that loses, duplicates, reorders and corrupts them."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from lynxscale.relay.cluster import frame
from lynxscale.relay.cluster.exceptions import FrameError
from lynxscale.relay.cluster.frame import Message, ReplayWindow
from lynxscale.relay.cluster.membership_table import MemberUpdate, State

KEY, FOREIGN = frame.cluster_key("norte", 500_000), frame.cluster_key("norte", 250_000)


class Wire(RuleBasedStateMachine):
    """One sender with two lives of its process, and a way that loses, doubles, reorders, keeps and spoils frames."""

    def __init__(self) -> None:
        super().__init__()
        self.numbers = {5: 0, 6: 0}  # by boot
        self.frames: list[tuple[Message, bytes]] = []
        self.windows = {5: ReplayWindow(), 6: ReplayWindow()}
        self.taken: dict[int, set[int]] = {5: set(), 6: set()}

    @rule(boot=st.sampled_from((5, 6)), lost=st.integers(0, 150), size=st.integers(0, 3))
    def sends(self, boot, lost, size):
        """One frame, behind so many that nobody will ever see."""
        self.numbers[boot] += 1 + lost
        news = [MemberUpdate(f"r{place}", 1, 1, place, State.SUSPECT, "r1") for place in range(size)]
        message = Message("r1", 1, boot, 0, self.numbers[boot], 0, 3, 4, frame.Ping(size), news)
        self.frames.append((message, frame.encode(KEY, message)))

    @rule(boot=st.sampled_from((5, 6)), apart=st.sampled_from((1, ReplayWindow.SPAN - 1, ReplayWindow.SPAN)))
    def two_change_places(self, boot, apart):
        self.sends(boot, 0, 0)
        self.sends(boot, apart - 1, 0)
        self.delivers(len(self.frames) - 1)
        self.delivers(len(self.frames) - 2)

    def one(self, place: int) -> tuple[Message, bytes]:
        return self.frames[place % len(self.frames)]

    @precondition(lambda self: self.frames)
    @rule(place=st.integers(0, 1 << 16))
    def delivers(self, place):
        message, data = self.one(place)
        assert frame.decode(KEY, data) == message
        taken = self.taken[message.boot]
        fits = message.number not in taken and message.number > max(taken, default=-1) - ReplayWindow.SPAN
        assert self.windows[message.boot].accept(message.number) is fits
        if fits:
            taken.add(message.number)

    @precondition(lambda self: self.frames)
    @rule(place=st.integers(0, 1 << 16), at=st.integers(0, 1 << 16), bit=st.integers(0, 7))
    def spoils(self, place, at, bit):
        data = bytearray(self.one(place)[1])
        data[at % len(data)] ^= 1 << bit
        self.refused(bytes(data), KEY)

    @precondition(lambda self: self.frames)
    @rule(place=st.integers(0, 1 << 16), other=st.integers(0, 1 << 16), at=st.integers(0, 1 << 16))
    def cuts_and_glues(self, place, other, at):
        one, two = self.one(place)[1], self.one(other)[1]
        self.refused(one[: at % len(one)], KEY)
        self.refused(one + two, KEY)
        at %= min(len(one), len(two))
        if one[:at] + two[at:] not in (one, two):
            self.refused(one[:at] + two[at:], KEY)

    @precondition(lambda self: self.frames)
    @rule(place=st.integers(0, 1 << 16))
    def comes_from_another_cluster(self, place):
        self.refused(self.one(place)[1], FOREIGN)

    @staticmethod
    def refused(data: bytes, key: int) -> None:
        with pytest.raises(FrameError):
            frame.decode(key, data)


TestWire = Wire.TestCase
Wire.TestCase.settings = settings(max_examples=100, stateful_step_count=40, deadline=None)
