"""The states of forwarded requests: every transition that occurs is in the table."""

import pytest

from lab.tier.histories import History
from lynxscale.dataplane.forwarding import ForwardedRequest
from lynxscale.dataplane.request_state import TRANSITIONS, RequestState


@pytest.mark.parametrize("seed", range(1, 7))
def test_every_change_of_state_in_a_drawn_history_is_in_the_table(seed, monkeypatch):
    seen: set[tuple[RequestState, RequestState]] = set()
    transition = ForwardedRequest._transition

    def watch(request: ForwardedRequest, state: RequestState) -> None:
        seen.add((request.state, state))
        transition(request, state)

    monkeypatch.setattr(ForwardedRequest, "_transition", watch)
    History(seed).play()
    assert not [change for change in seen if change[1] not in TRANSITIONS[change[0]]], seed
    assert RequestState.ENDED in {after for _, after in seen}, seed


def test_every_state_leads_to_the_end_and_the_end_to_nothing():
    assert TRANSITIONS.keys() == set(RequestState)
    assert not TRANSITIONS[RequestState.ENDED]
    assert all(RequestState.ENDED in after for state, after in TRANSITIONS.items() if state is not RequestState.ENDED)
