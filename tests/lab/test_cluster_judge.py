"""The laboratory's judge: each thing that is promised, broken and just kept, by answers of nodes that are made up."""

import pickle

from lab.cluster.judge import Judge
from lab.cluster.nodes import Seen
from lab.cluster.plot import Beliefs

THREE, TWO = ("r1", "r2", "r3"), ("r1", "r2")


def seen(
    node: str,
    at: float,
    number: int,
    members: tuple[str, ...],
    lease_s: float = 0.0,
    took: float = 0.0,
    digest: str = "",
    split: str = "",
    life: int = 1,
) -> Seen:
    """What a node answers that was asked at ``at``, ``took`` seconds later."""
    return Seen(
        at,
        at + took,
        node,
        {
            "standing": "member" if lease_s else "cut_off",
            "split": split,
            "boot": f"{node}-boot{life}",
            "life": life,
            "lease_ms": lease_s * 1000,
            "nodes": [{"name": name, "state": "alive"} for name in THREE],
            "view": {
                "number": number,
                "digest": digest or f"digest {number}",
                "members": [{"name": name, "life": 1, "boot": f"{name}-boot1"} for name in members],
            },
        },
    )


def breaches(*answers: Seen, left: tuple[str, ...] = ()) -> list[str]:
    judge = Judge()
    for one in answers:
        judge.saw(one)
    return judge.verdict(left).breaches


def test_one_number_with_two_views_is_a_breach():
    assert not breaches(seen("r1", 1.0, 2, THREE), seen("r2", 1.0, 2, THREE))
    found = breaches(*(seen(node, at, 2, THREE, digest=node) for at in (1.0, 2.0) for node in ("r1", "r2")))
    assert found == ["view 2 is r2 at r2 and r1 at r1"]  # told once, however often it was answered


def test_a_contradiction_and_a_way_back_are_breaches():
    assert breaches(seen("r1", 1.0, 2, THREE, split="two of 2")) == ["r1 met a contradiction: two of 2"]
    assert breaches(seen("r1", 1.0, 3, THREE), seen("r1", 2.0, 2, THREE)) == ["r1 went from view 3 back to 2"]
    # Another process of the name may have an older memory.
    assert not breaches(seen("r1", 1.0, 3, THREE), seen("r1", 2.0, 2, THREE, life=2))


def test_who_may_act_after_another_acted_in_a_view_without_it_is_a_breach():
    without = seen("r1", 4.0, 2, TWO, lease_s=2.0, took=0.5)  # it surely acts by 4.5
    late, just = seen("r3", 2.0, 1, THREE, lease_s=2.6), seen("r3", 2.0, 1, THREE, lease_s=2.5)
    words = "r3 (life 1) may act in view 1 until 4.600, and r1 acted in view 2, which is without it, by 4.500"
    assert breaches(late, without) == [words]
    assert breaches(without, late) == [words]  # in whichever order the answers came
    assert not breaches(just, without)
    # An earlier and longer word counts, whatever it says later; and the earliest by which the other has acted.
    shorter, again = seen("r3", 3.0, 1, THREE, lease_s=0.5), seen("r1", 9.0, 2, TWO, lease_s=2.0)
    assert breaches(late, shorter, without, again) == [words]
    assert not breaches(late, seen("r1", 4.0, 2, TWO, took=0.5))  # it has the view, and no lease
    assert not breaches(late, seen("r1", 4.0, 2, THREE, lease_s=2.0, took=0.5))
    assert not breaches(late, without, left=("r3-boot1",))


def test_who_acts_in_a_view_that_it_is_not_in_is_a_breach():
    assert breaches(seen("r3", 1.0, 2, TWO, lease_s=1.0)) == ["r3 acts in view 2, which it is not in"]
    assert breaches(seen("r1", 1.0, 2, TWO, lease_s=1.0, life=2)) == ["r1 acts in view 2, which it is not in"]
    assert not breaches(seen("r3", 1.0, 2, TWO))


def test_removals_are_counted_by_lives_that_a_view_went_on_without():
    judge = Judge()
    for one in (seen("r1", 1.0, 1, THREE), seen("r1", 2.0, 2, TWO), seen("r1", 3.0, 3, TWO)):
        judge.saw(one)
    verdict = judge.verdict()
    assert verdict.removals == {"r3": 1} and verdict.looks == 3 and verdict.views[2] == "r1/1 r2/1"


def test_an_hour_of_answers_is_kept_as_what_changed():
    """An hour of sixteen nodes once was held in whole, 24 MB a second."""
    judge, beliefs = Judge(), Beliefs()
    sizes = {}
    for place in range(3000):
        at = place / 20
        for node in THREE:
            one = seen(node, at, 1, THREE, lease_s=1.0)
            one.status["nodes"][0]["state"] = "failed" if 10 < at < 20 else "alive"
            judge.saw(one)
            beliefs.saw(one)
        if at in (30.0, 149.0):
            sizes[at] = len(pickle.dumps((vars(judge), vars(beliefs))))
    assert abs(sizes[149.0] - sizes[30.0]) < 100 and judge.verdict().looks == 9000
    assert [what for _, _, what in beliefs.rows["r2", "r1"]] == ["alive", "failed", "alive"]
    assert beliefs.rows["r2", "r1"][1][:2] == (10.05, 20.0)
