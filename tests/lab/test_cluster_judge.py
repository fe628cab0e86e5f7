"""ViewChecker on made-up answers of nodes: each guarantee, once violated and once just kept."""

import pickle

from lab.cluster.judge import ViewChecker
from lab.cluster.nodes import StatusObservation
from lab.cluster.plot import StatusTimeline

THREE, TWO = ("r1", "r2", "r3"), ("r1", "r2")


def observation(
    node: str,
    at: float,
    number: int,
    members: tuple[str, ...],
    lease_s: float = 0.0,
    took: float = 0.0,
    digest: str = "",
    split: str = "",
    generation: int = 1,
) -> StatusObservation:
    """An answer to a request that was sent at ``at`` and took ``took`` seconds."""
    return StatusObservation(
        at,
        at + took,
        node,
        {
            "standing": "member" if lease_s else "cut_off",
            "split": split,
            "boot": f"{node}-boot{generation}",
            "life": generation,
            "lease_ms": lease_s * 1000,
            "nodes": [{"name": name, "state": "alive"} for name in THREE],
            "view": {
                "number": number,
                "digest": digest or f"digest {number}",
                "members": [{"name": name, "life": 1, "boot": f"{name}-boot1"} for name in members],
            },
        },
    )


def breaches(*answers: StatusObservation, stopped_boots: tuple[str, ...] = ()) -> list[str]:
    checker = ViewChecker()
    for one in answers:
        checker.observe(one)
    return checker.verdict(stopped_boots).breaches


def test_one_number_with_two_views_is_a_breach():
    assert not breaches(observation("r1", 1.0, 2, THREE), observation("r2", 1.0, 2, THREE))
    found = breaches(*(observation(node, at, 2, THREE, digest=node) for at in (1.0, 2.0) for node in ("r1", "r2")))
    assert found == ["view 2 is r2 at r2 and r1 at r1"]  # reported once, however many answers show it


def test_conflicting_views_and_a_return_to_an_older_view_are_breaches():
    assert breaches(observation("r1", 1.0, 2, THREE, split="two of 2")) == [
        "r1 reports two conflicting views: two of 2"
    ]
    assert breaches(observation("r1", 1.0, 3, THREE), observation("r1", 2.0, 2, THREE)) == [
        "r1 went from view 3 back to 2"
    ]
    # Another process of that node may start from an older state.
    assert not breaches(observation("r1", 1.0, 3, THREE), observation("r1", 2.0, 2, THREE, generation=2))


def test_a_lease_that_outlasts_an_act_in_a_view_that_excludes_the_node_is_a_breach():
    without = observation("r1", 4.0, 2, TWO, lease_s=2.0, took=0.5)  # it certainly acts by 4.5
    late, just = observation("r3", 2.0, 1, THREE, lease_s=2.6), observation("r3", 2.0, 1, THREE, lease_s=2.5)
    words = "r3 (life 1) may act in view 1 until 4.600, and r1 acted in view 2, which excludes it, by 4.500"
    assert breaches(late, without) == [words]
    assert breaches(without, late) == [words]  # the order of the answers doesn't matter
    assert not breaches(just, without)
    # The longest lease that a node has reported counts, and the earliest time by which the other has acted.
    shorter, again = observation("r3", 3.0, 1, THREE, lease_s=0.5), observation("r1", 9.0, 2, TWO, lease_s=2.0)
    assert breaches(late, shorter, without, again) == [words]
    assert not breaches(late, observation("r1", 4.0, 2, TWO, took=0.5))  # it has the view, but no lease
    assert not breaches(late, observation("r1", 4.0, 2, THREE, lease_s=2.0, took=0.5))
    assert not breaches(late, without, stopped_boots=("r3-boot1",))


def test_a_lease_in_a_view_that_excludes_the_node_is_a_breach():
    assert breaches(observation("r3", 1.0, 2, TWO, lease_s=1.0)) == ["r3 acts in view 2, which it is not in"]
    assert breaches(observation("r1", 1.0, 2, TWO, lease_s=1.0, generation=2)) == [
        "r1 acts in view 2, which it is not in"
    ]
    assert not breaches(observation("r3", 1.0, 2, TWO))


def test_removals_count_the_incarnations_that_a_later_view_excludes():
    checker = ViewChecker()
    for one in (observation("r1", 1.0, 1, THREE), observation("r1", 2.0, 2, TWO), observation("r1", 3.0, 3, TWO)):
        checker.observe(one)
    verdict = checker.verdict()
    assert verdict.removals == {"r3": 1} and verdict.observations == 3 and verdict.views[2] == "r1/1 r2/1"


def test_a_long_run_stores_only_what_changed():
    """Guards against storing every answer: an hour of sixteen nodes took 24 MB a second."""
    checker, timeline = ViewChecker(), StatusTimeline()
    sizes = {}
    for place in range(3000):
        at = place / 20
        for node in THREE:
            one = observation(node, at, 1, THREE, lease_s=1.0)
            one.status["nodes"][0]["state"] = "failed" if 10 < at < 20 else "alive"
            checker.observe(one)
            timeline.observe(one)
        if at in (30.0, 149.0):
            sizes[at] = len(pickle.dumps((vars(checker), vars(timeline))))
    assert abs(sizes[149.0] - sizes[30.0]) < 100 and checker.verdict().observations == 9000
    assert [what for _, _, what in timeline.rows["r2", "r1"]] == ["alive", "failed", "alive"]
    assert timeline.rows["r2", "r1"][1][:2] == (10.05, 20.0)
