"""Frames and replay windows against a model, over a network that loses, duplicates, reorders and corrupts frames."""

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
    """Two processes of one sender, and a network that loses, duplicates, reorders, delays and corrupts their frames."""

    def __init__(self) -> None:
        super().__init__()
        self.numbers = {5: 0, 6: 0}  # number of the last frame, by boot id
        self.frames: list[tuple[Message, bytes]] = []
        self.windows = {5: ReplayWindow(), 6: ReplayWindow()}
        self.accepted: dict[int, set[int]] = {5: set(), 6: set()}

    @rule(boot=st.sampled_from((5, 6)), lost=st.integers(0, 150), size=st.integers(0, 3))
    def sends(self, boot, lost, size):
        """Send one frame, after ``lost`` frames that never arrive."""
        self.numbers[boot] += 1 + lost
        updates = [MemberUpdate(f"r{index}", 1, 1, index, State.SUSPECT, "r1") for index in range(size)]
        message = Message("r1", 1, boot, 0, self.numbers[boot], 0, 3, 4, frame.Ping(size), updates)
        self.frames.append((message, frame.encode(KEY, message)))

    @rule(boot=st.sampled_from((5, 6)), apart=st.sampled_from((1, ReplayWindow.SPAN - 1, ReplayWindow.SPAN)))
    def two_arrive_in_reverse_order(self, boot, apart):
        self.sends(boot, 0, 0)
        self.sends(boot, apart - 1, 0)
        self.delivers(len(self.frames) - 1)
        self.delivers(len(self.frames) - 2)

    def frame_at(self, index: int) -> tuple[Message, bytes]:
        return self.frames[index % len(self.frames)]

    @precondition(lambda self: self.frames)
    @rule(index=st.integers(0, 1 << 16))
    def delivers(self, index):
        message, data = self.frame_at(index)
        assert frame.decode(KEY, data) == message
        accepted = self.accepted[message.boot]
        is_new = message.number not in accepted and message.number > max(accepted, default=-1) - ReplayWindow.SPAN
        assert self.windows[message.boot].accept(message.number) is is_new
        if is_new:
            accepted.add(message.number)

    @precondition(lambda self: self.frames)
    @rule(index=st.integers(0, 1 << 16), at=st.integers(0, 1 << 16), bit=st.integers(0, 7))
    def corrupts_a_bit(self, index, at, bit):
        data = bytearray(self.frame_at(index)[1])
        data[at % len(data)] ^= 1 << bit
        self.assert_rejected(bytes(data), KEY)

    @precondition(lambda self: self.frames)
    @rule(index=st.integers(0, 1 << 16), other=st.integers(0, 1 << 16), at=st.integers(0, 1 << 16))
    def truncates_and_joins(self, index, other, at):
        first, second = self.frame_at(index)[1], self.frame_at(other)[1]
        self.assert_rejected(first[: at % len(first)], KEY)
        self.assert_rejected(first + second, KEY)
        at %= min(len(first), len(second))
        if first[:at] + second[at:] not in (first, second):
            self.assert_rejected(first[:at] + second[at:], KEY)

    @precondition(lambda self: self.frames)
    @rule(index=st.integers(0, 1 << 16))
    def comes_from_another_cluster(self, index):
        self.assert_rejected(self.frame_at(index)[1], FOREIGN)

    @staticmethod
    def assert_rejected(data: bytes, key: int) -> None:
        with pytest.raises(FrameError):
            frame.decode(key, data)


TestWire = Wire.TestCase
Wire.TestCase.settings = settings(max_examples=100, stateful_step_count=40, deadline=None)
