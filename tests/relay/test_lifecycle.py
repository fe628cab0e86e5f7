"""Drain and stop: every state against every event, and any order of them."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lynxscale.relay.lifecycle import (
    CLOSE_IDLE_AT,
    EXIT_AT,
    HANDOVER_CLOSE_IDLE_AT,
    STOP_ACCEPTING_AT,
    STOP_SENDING_AT,
    Lifecycle,
    LifecycleAction,
    State,
)

WAYS = {  # how to come there: each step a call, or a look after so many µs with so many clients
    State.SERVING: [],
    State.NOT_READY: ["drain"],
    State.CLOSING_CLIENTS: ["drain", (CLOSE_IDLE_AT, 1)],
    State.DRAINED: ["drain", (CLOSE_IDLE_AT, 0)],
    State.HANDING_OVER: ["hand"],
    State.STOP_NOT_READY: ["stop"],
    State.STOP_CLOSING_CLIENTS: ["stop", (CLOSE_IDLE_AT, 1)],
    State.STOP_FINISHING: ["stop", (STOP_ACCEPTING_AT, 1)],
    State.EXITED: ["stop", (STOP_ACCEPTING_AT, 1), (0, 0)],
}
AFTER = {  # quiesce, resume, stop
    State.SERVING: (State.NOT_READY, State.SERVING, State.STOP_NOT_READY),
    State.NOT_READY: (State.NOT_READY, State.SERVING, State.STOP_NOT_READY),
    State.CLOSING_CLIENTS: (State.CLOSING_CLIENTS, State.SERVING, State.STOP_CLOSING_CLIENTS),
    State.DRAINED: (State.DRAINED, State.SERVING, State.STOP_CLOSING_CLIENTS),
    State.HANDING_OVER: (State.HANDING_OVER,) * 3,
    State.STOP_NOT_READY: (State.STOP_NOT_READY,) * 3,
    State.STOP_CLOSING_CLIENTS: (State.STOP_CLOSING_CLIENTS,) * 3,
    State.STOP_FINISHING: (State.STOP_FINISHING,) * 3,
    State.EXITED: (State.EXITED,) * 3,
}


def come_to(state: State) -> tuple[Lifecycle, int]:
    life, now = Lifecycle(), 1_000_000
    for step in WAYS[state]:
        if step == "hand":
            life.stop(now, successor=True)
        elif isinstance(step, str):
            getattr(life, step)(now)
        else:
            now += step[0]
            life.advance(now, step[1], bool(step[1]))
    assert life.state is state
    return life, now


@pytest.mark.parametrize("state", list(State))
@pytest.mark.parametrize("place,event", enumerate(("drain", "resume", "stop")))
def test_each_call_in_each_state(state, place, event):
    life, now = come_to(state)
    said = life.resume() if event == "resume" else getattr(life, event)(now)
    assert life.state is AFTER[state][place]
    assert event != "resume" or said == (not life.stopping)
    assert life.serving == (life.state is State.SERVING)


def test_stop_takes_its_steps_at_their_times():
    life, now = come_to(State.STOP_NOT_READY)
    told = [(at, order) for at in range(0, EXIT_AT + 1, 50_000) for order in life.advance(now + at, 1, True)]
    firsts = {order: next(at for at, other in told if other is order) for order in {order for _, order in told}}
    assert firsts == {
        LifecycleAction.CLOSE_IDLE_CLIENTS: CLOSE_IDLE_AT,
        LifecycleAction.STOP_ACCEPTING: STOP_ACCEPTING_AT,
        LifecycleAction.STOP_SENDING: STOP_SENDING_AT,
        LifecycleAction.EXIT: EXIT_AT,
    }
    assert [order for _, order in told].count(LifecycleAction.STOP_SENDING) == 1


def test_handover_closes_the_listener_first_and_idle_connections_later():
    life, now = come_to(State.HANDING_OVER)
    assert life.ready and not life.serving
    assert life.advance(now, 2, True) == [LifecycleAction.STOP_ACCEPTING]
    assert life.advance(now + HANDOVER_CLOSE_IDLE_AT - 1, 2, False) == [
        LifecycleAction.RELEASE
    ]  # messages that wait are the heir's
    assert life.advance(now + HANDOVER_CLOSE_IDLE_AT, 1, False) == [
        LifecycleAction.CLOSE_IDLE_CLIENTS,
        LifecycleAction.RELEASE,
    ]
    assert life.advance(now + HANDOVER_CLOSE_IDLE_AT + 1, 0, True) == [
        LifecycleAction.CLOSE_IDLE_CLIENTS,
        LifecycleAction.RELEASE,
    ]
    assert (
        life.advance(now + HANDOVER_CLOSE_IDLE_AT + 2, 0, False)
        == [LifecycleAction.CLOSE_IDLE_CLIENTS, LifecycleAction.EXIT]
        and life.state is State.EXITED
    )
    life, now = come_to(State.HANDING_OVER)
    life.advance(now, 2, True)
    assert LifecycleAction.EXIT in life.advance(now + EXIT_AT, 2, True)


def test_drained_relay_stays_drained_and_closes_readiness_connections():
    life, now = come_to(State.DRAINED)
    assert life.advance(now + 1, 1, True) == [LifecycleAction.CLOSE_IDLE_CLIENTS] and life.state is State.DRAINED


@settings(max_examples=300, deadline=None)
@given(
    st.lists(
        st.one_of(st.sampled_from(["drain", "resume", "stop"]), st.tuples(st.integers(0, 800_000), st.integers(0, 2))),
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
        orders = life.advance(now, step[1], True)
        assert (LifecycleAction.CLOSE_IDLE_CLIENTS in orders) <= (not life.serving)
        assert (stopped is None) == (not life.stopping)
        if life.state in (State.CLOSING_CLIENTS, State.DRAINED) and step[1]:
            assert orders == [LifecycleAction.CLOSE_IDLE_CLIENTS]
        if stopped is not None and now >= stopped + EXIT_AT:
            assert life.advance(now, 1, True) == [] or life.state is State.EXITED
