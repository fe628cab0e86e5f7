"""Events of running turns in the primary's memory: their bounds, and what is not guessed."""

import pytest

from lab.tier.world import World
from lynxscale.controlplane import running_turns
from lynxscale.controlplane.exceptions import EventsUnknownError
from lynxscale.controlplane.running_turns import RESUMPTION_WINDOW_S, RunningTurns
from lynxscale.coordination.messages import AdmitTurn, FinishTurn, StreamEvent, TurnEvents


def admission(run_id, program="p", **options):
    """An admission of a turn on a resumable route."""
    return AdmitTurn(program, "turn-" + run_id, -1, 0, 60.0, True, run_id=run_id, session="s", **options)


def events(*ids):
    """Events with these ids; an event's data is its id."""
    return tuple(StreamEvent(event_id, event_id.encode()) for event_id in ids)


def running(*runs):
    """Runs of turns, each with its events."""
    machine = World(1).machine("a:1")
    turns = RunningTurns(machine.clock())
    for run_id, reported in runs:
        turns.begin(admission(run_id))
        turns.add(TurnEvents(run_id, 1, reported))
    return turns, machine.world


def test_a_repeated_admission_gets_the_same_events_again():
    turns, _ = running(("r1", events("1", "2", "3")))
    first = turns.begin(admission("r2", resume_after="2"))
    turns.add(TurnEvents("r2", 3, events("3")))
    assert turns.begin(admission("r2", resume_after="2")) == first == events("1", "2")


def test_events_behind_a_lost_message_are_not_known():
    turns, _ = running(("r1", events("1")))
    turns.add(TurnEvents("r1", 3, events("3")))
    turns.add(TurnEvents("r1", 4, events("4")))
    with pytest.raises(EventsUnknownError):
        turns.begin(admission("r2", resume_after="4"))
    assert turns.begin(admission("r3", resume_after="1")) == events("1")


def test_a_run_whose_reports_were_lost_is_not_taken_for_an_earlier_one():
    """Regression: the client had the later run's events, and the turn was stored with those of the earlier one."""
    turns, _ = running(("r1", events("1", "2", "3")), ("r2", ()))
    with pytest.raises(EventsUnknownError):
        turns.begin(admission("r3", resume_after="2"))


@pytest.mark.parametrize(("tokens", "resumed"), [(0, True), (10, False)])
def test_a_failed_run_counts_only_if_its_client_may_have_events_of_it(tokens, resumed):
    turns, _ = running(("r1", events("1", "2", "3")), ("r2", ()))
    turns.on_closed(FinishTurn("p", "turn-r2", tokens, 60.0, run_id="r2"))
    if resumed:
        assert turns.begin(admission("r3", resume_after="2")) == events("1", "2")
    else:
        with pytest.raises(EventsUnknownError):
            turns.begin(admission("r3", resume_after="2"))


@pytest.mark.parametrize("reported", [events("1", "1", "2"), events("1", "", "2"), ()])
def test_an_event_that_is_not_clearly_the_last_one_is_not_taken_for_it(reported):
    turns, _ = running(("r1", reported))
    with pytest.raises(EventsUnknownError):
        turns.begin(admission("r2", resume_after="1"))


def test_events_are_forgotten_after_their_window():
    turns, world = running(("r1", events("1")), ("r2", ()))
    world.time += RESUMPTION_WINDOW_S - 1.0
    turns.add(TurnEvents("r1", 2, events("2")))
    turns.remove_expired()
    world.time += 2.0
    turns.remove_expired()
    assert turns.latest_run("turn-r1") == "r1" and turns.latest_run("turn-r2") is None
    world.time += RESUMPTION_WINDOW_S
    turns.remove_expired()
    with pytest.raises(EventsUnknownError):
        turns.begin(admission("r3", resume_after="2"))


def test_beyond_the_bound_all_runs_of_the_oldest_place_are_forgotten(monkeypatch):
    monkeypatch.setattr(running_turns, "MAX_EVENT_BYTES", 1000)
    turns, _ = running(("r1", events("1", "2")), ("r2", events("1", "2")))
    turns.begin(admission("other", program="q"))
    turns.add(TurnEvents("other", 1, events(*map(str, range(1, 7)))))
    with pytest.raises(EventsUnknownError):
        turns.begin(admission("r3", resume_after="2"))
    assert turns.begin(admission("r4", program="q", resume_after="6")) == events(*map(str, range(1, 7)))
    assert turns.latest_run("turn-r1") is None
