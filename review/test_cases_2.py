"""The recorded results of cases 4 to 8: each test fails while the record of its case shows the rule broken."""

from __future__ import annotations

from pathlib import Path

HERE = Path(__file__).parent


def verdict(case: int) -> str:
    """The last line of a case's record, without its time."""
    last = (HERE / str(case) / "record.txt").read_text(encoding="utf-8").splitlines()[-1]
    return last.split(maxsplit=1)[1]


def test_a_turn_that_is_whole_by_its_length_outlasts_the_kill_of_a_store_machine() -> None:
    """Case 4."""
    assert verdict(4) == "the rule held"


def test_a_turn_whose_stream_was_taken_up_by_its_client_is_kept_whole() -> None:
    """Case 5."""
    assert verdict(5) == "the rule held"


def test_an_acknowledged_configuration_is_taken_up_by_the_relays() -> None:
    """Case 6."""
    assert verdict(6) == "the rule held"


def test_a_turn_that_continues_from_an_expiring_one_keeps_its_chain() -> None:
    """Case 7."""
    assert verdict(7) == "the rule held"


def test_a_route_whose_host_has_a_capital_letter_is_served() -> None:
    """Case 8."""
    assert verdict(8) == "the rule held"
