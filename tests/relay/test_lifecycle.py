"""Drain and stop: every call in every state, and random sequences of calls."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lynxscale.relay.lifecycle import (
    CLOSE_IDLE_AT_US,
    EXIT_AT_US,
    HANDOVER_CLOSE_IDLE_AT_US,
    STOP_ACCEPTING_AT_US,
    STOP_SENDING_AT_US,
    Lifecycle,
    LifecycleAction,
    State,
)

STEPS_TO_STATE = {  # steps: a call, or (µs to wait, number of open clients) before advance()
    State.SERVING: [],
    State.NOT_READY: ["drain"],
    State.CLOSING_CLIENTS: ["drain", (CLOSE_IDLE_AT_US, 1)],
    State.DRAINED: ["drain", (CLOSE_IDLE_AT_US, 0)],
    State.HANDING_OVER: ["hand"],
    State.STOP_NOT_READY: ["stop"],
    State.STOP_CLOSING_CLIENTS: ["stop", (CLOSE_IDLE_AT_US, 1)],
    State.STOP_FINISHING: ["stop", (STOP_ACCEPTING_AT_US, 1)],
    State.EXITED: ["stop", (STOP_ACCEPTING_AT_US, 1), (0, 0)],
}
STATE_AFTER_CALL = {  # after drain, resume, stop
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


def lifecycle_in(state: State) -> tuple[Lifecycle, int]:
    lifecycle, now = Lifecycle(), 1_000_000
    for step in STEPS_TO_STATE[state]:
        if step == "hand":
            lifecycle.stop(now, successor=True)
        elif isinstance(step, str):
            getattr(lifecycle, step)(now)
        else:
            now += step[0]
            lifecycle.advance(now, step[1], bool(step[1]))
    assert lifecycle.state is state
    return lifecycle, now


@pytest.mark.parametrize("state", list(State))
@pytest.mark.parametrize("column,event", enumerate(("drain", "resume", "stop")))
def test_each_call_in_each_state(state, column, event):
    lifecycle, now = lifecycle_in(state)
    resumed = lifecycle.resume() if event == "resume" else getattr(lifecycle, event)(now)
    assert lifecycle.state is STATE_AFTER_CALL[state][column]
    assert event != "resume" or resumed == (not lifecycle.stopping)
    assert lifecycle.serving == (lifecycle.state is State.SERVING)


def test_stop_takes_its_steps_at_their_times():
    lifecycle, now = lifecycle_in(State.STOP_NOT_READY)
    actions = [
        (at, action) for at in range(0, EXIT_AT_US + 1, 50_000) for action in lifecycle.advance(now + at, 1, True)
    ]
    firsts = {
        action: next(at for at, other in actions if other is action) for action in {action for _, action in actions}
    }
    assert firsts == {
        LifecycleAction.CLOSE_IDLE_CLIENTS: CLOSE_IDLE_AT_US,
        LifecycleAction.STOP_ACCEPTING: STOP_ACCEPTING_AT_US,
        LifecycleAction.STOP_SENDING: STOP_SENDING_AT_US,
        LifecycleAction.EXIT: EXIT_AT_US,
    }
    assert [action for _, action in actions].count(LifecycleAction.STOP_SENDING) == 1


def test_handover_closes_the_listener_first_and_idle_connections_later():
    lifecycle, now = lifecycle_in(State.HANDING_OVER)
    assert lifecycle.ready and not lifecycle.serving
    assert lifecycle.advance(now, 2, True) == [LifecycleAction.STOP_ACCEPTING]
    # Waiting messages are released to the successor.
    assert lifecycle.advance(now + HANDOVER_CLOSE_IDLE_AT_US - 1, 2, False) == [LifecycleAction.RELEASE]
    assert lifecycle.advance(now + HANDOVER_CLOSE_IDLE_AT_US, 1, False) == [
        LifecycleAction.CLOSE_IDLE_CLIENTS,
        LifecycleAction.RELEASE,
    ]
    assert lifecycle.advance(now + HANDOVER_CLOSE_IDLE_AT_US + 1, 0, True) == [
        LifecycleAction.CLOSE_IDLE_CLIENTS,
        LifecycleAction.RELEASE,
    ]
    assert (
        lifecycle.advance(now + HANDOVER_CLOSE_IDLE_AT_US + 2, 0, False)
        == [LifecycleAction.CLOSE_IDLE_CLIENTS, LifecycleAction.EXIT]
        and lifecycle.state is State.EXITED
    )
    lifecycle, now = lifecycle_in(State.HANDING_OVER)
    lifecycle.advance(now, 2, True)
    assert LifecycleAction.EXIT in lifecycle.advance(now + EXIT_AT_US, 2, True)


def test_drained_relay_stays_drained_and_closes_readiness_connections():
    lifecycle, now = lifecycle_in(State.DRAINED)
    assert (
        lifecycle.advance(now + 1, 1, True) == [LifecycleAction.CLOSE_IDLE_CLIENTS] and lifecycle.state is State.DRAINED
    )


@settings(max_examples=300, deadline=None)
@given(
    st.lists(
        st.one_of(st.sampled_from(["drain", "resume", "stop"]), st.tuples(st.integers(0, 800_000), st.integers(0, 2))),
        max_size=30,
    )
)
def test_in_any_order(steps):
    """A stop is irreversible and ends by EXIT_AT; a drain closes idle clients from CLOSE_IDLE_AT on."""
    lifecycle, now, stopped = Lifecycle(), 0, None
    for step in steps:
        if isinstance(step, str):
            getattr(lifecycle, step)(*(() if step == "resume" else (now,)))
            stopped = now if step == "stop" and stopped is None else stopped
            continue
        now += step[0]
        actions = lifecycle.advance(now, step[1], True)
        assert (LifecycleAction.CLOSE_IDLE_CLIENTS in actions) <= (not lifecycle.serving)
        assert (stopped is None) == (not lifecycle.stopping)
        if lifecycle.state in (State.CLOSING_CLIENTS, State.DRAINED) and step[1]:
            assert actions == [LifecycleAction.CLOSE_IDLE_CLIENTS]
        if stopped is not None and now >= stopped + EXIT_AT_US:
            assert lifecycle.advance(now, 1, True) == [] or lifecycle.state is State.EXITED
