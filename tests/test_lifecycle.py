"""Drain and stop: every state against every event, and any order of them."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lynxscale.relay.lifecycle import (
    HAND_PART_AT,
    LEAVE_AT,
    PART_AT,
    STOP_ACCEPTING_AT,
    STOP_SENDING_AT,
    Lifecycle,
    Order,
    State,
)

WAYS = {  # how to come there: each step a call, or a look after so many µs with so many clients
    State.SERVING: [],
    State.TELLING: ["quiesce"],
    State.CLOSING: ["quiesce", (PART_AT, 1)],
    State.DRAINED: ["quiesce", (PART_AT, 0)],
    State.HANDING: ["hand"],
    State.STOP_TELLING: ["stop"],
    State.STOP_CLOSING: ["stop", (PART_AT, 1)],
    State.STOP_FINISHING: ["stop", (STOP_ACCEPTING_AT, 1)],
    State.LEFT: ["stop", (STOP_ACCEPTING_AT, 1), (0, 0)],
}
AFTER = {  # quiesce, resume, stop
    State.SERVING: (State.TELLING, State.SERVING, State.STOP_TELLING),
    State.TELLING: (State.TELLING, State.SERVING, State.STOP_TELLING),
    State.CLOSING: (State.CLOSING, State.SERVING, State.STOP_CLOSING),
    State.DRAINED: (State.DRAINED, State.SERVING, State.STOP_CLOSING),
    State.HANDING: (State.HANDING,) * 3,
    State.STOP_TELLING: (State.STOP_TELLING,) * 3,
    State.STOP_CLOSING: (State.STOP_CLOSING,) * 3,
    State.STOP_FINISHING: (State.STOP_FINISHING,) * 3,
    State.LEFT: (State.LEFT,) * 3,
}


def come_to(state: State) -> tuple[Lifecycle, int]:
    life, now = Lifecycle(), 1_000_000
    for step in WAYS[state]:
        if step == "hand":
            life.stop(now, heir=True)
        elif isinstance(step, str):
            getattr(life, step)(now)
        else:
            now += step[0]
            life.look(now, step[1], bool(step[1]))
    assert life.state is state
    return life, now


@pytest.mark.parametrize("state", list(State))
@pytest.mark.parametrize("place,event", enumerate(("quiesce", "resume", "stop")))
def test_each_call_in_each_state(state, place, event):
    life, now = come_to(state)
    said = life.resume() if event == "resume" else getattr(life, event)(now)
    assert life.state is AFTER[state][place]
    assert event != "resume" or said == (not life.stopping)
    assert life.serving == (life.state is State.SERVING)


def test_a_stop_takes_its_steps_in_their_time():
    life, now = come_to(State.STOP_TELLING)
    told = [(at, order) for at in range(0, LEAVE_AT + 1, 50_000) for order in life.look(now + at, 1, True)]
    firsts = {order: next(at for at, other in told if other is order) for order in {order for _, order in told}}
    assert firsts == {
        Order.PART: PART_AT,
        Order.STOP_ACCEPTING: STOP_ACCEPTING_AT,
        Order.STOP_SENDING: STOP_SENDING_AT,
        Order.LEAVE: LEAVE_AT,
    }
    assert [order for _, order in told].count(Order.STOP_SENDING) == 1


def test_with_an_heir_the_listener_goes_first_and_kept_connections_have_time():
    life, now = come_to(State.HANDING)
    assert life.ready and not life.serving
    assert life.look(now, 2, True) == [Order.STOP_ACCEPTING]
    assert life.look(now + HAND_PART_AT - 1, 2, False) == [Order.RELEASE]  # messages that wait are the heir's
    assert life.look(now + HAND_PART_AT, 1, False) == [Order.PART, Order.RELEASE]
    assert life.look(now + HAND_PART_AT + 1, 0, True) == [Order.PART, Order.RELEASE]
    assert life.look(now + HAND_PART_AT + 2, 0, False) == [Order.PART, Order.LEAVE] and life.state is State.LEFT
    life, now = come_to(State.HANDING)
    life.look(now, 2, True)
    assert Order.LEAVE in life.look(now + LEAVE_AT, 2, True)


def test_a_drained_relay_stays_so_while_it_is_asked_and_sends_the_askers_away():
    life, now = come_to(State.DRAINED)
    assert life.look(now + 1, 1, True) == [Order.PART] and life.state is State.DRAINED


@settings(max_examples=300, deadline=None)
@given(
    st.lists(
        st.one_of(
            st.sampled_from(["quiesce", "resume", "stop"]), st.tuples(st.integers(0, 800_000), st.integers(0, 2))
        ),
        max_size=30,
    )
)
def test_in_any_order(steps):
    """A stop cannot be taken back and ends; a relay that was drained for long holds nobody without closing it."""
    life, now, stopped = Lifecycle(), 0, None
    for step in steps:
        if isinstance(step, str):
            getattr(life, step)(*(() if step == "resume" else (now,)))
            stopped = now if step == "stop" and stopped is None else stopped
            continue
        now += step[0]
        orders = life.look(now, step[1], True)
        assert (Order.PART in orders) <= (not life.serving)
        assert (stopped is None) == (not life.stopping)
        if life.state in (State.CLOSING, State.DRAINED) and step[1]:
            assert orders == [Order.PART]
        if stopped is not None and now >= stopped + LEAVE_AT:
            assert life.look(now, 1, True) == [] or life.state is State.LEFT
