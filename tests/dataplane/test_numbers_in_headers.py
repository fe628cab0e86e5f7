"""Header fields of clients and endpoints that should be numbers, and are none or unusual ones."""

import pytest

from lynxscale.dataplane import headers
from lynxscale.runtime.http_types import Head
from tests.simulated_tier import endpoints_that_ran, settled_tier

NOT_FINITE = ("nan", "inf", "-inf", "1e400")


@pytest.mark.parametrize("value", [*NOT_FINITE, "x", "", "0x1"])
def test_a_number_that_is_not_finite_is_none(value):
    assert Head(((b"n", value.encode()),)).number(b"n") is None


@pytest.mark.parametrize("value", NOT_FINITE)
@pytest.mark.parametrize("path", ["/look/1", "/kept/stream"])
def test_a_deadline_that_is_not_finite_counts_as_missing(path, value):
    """Regression: NaN became the time of a timer, which disorders the timers of the whole relay, and a turn was cut."""
    response = settled_tier().request(path, lynxscale_deadline_ms=value, lynxscale_token_count="10,40")
    assert (response.status, response.complete) == (200, True)


@pytest.mark.parametrize("budget", [*NOT_FINITE, "many"])
def test_a_turn_with_a_budget_that_is_no_number_is_400_and_not_run(budget):
    """Regression: the connection was closed without an answer, or the turn ran without a budget (``many``)."""
    tier = settled_tier()
    response = tier.turn("p", budget, request_id="t1")
    assert (response.status, response.complete) == (400, True)
    assert endpoints_that_ran(tier, "t1") == []


@pytest.mark.parametrize(("budget", "status"), [("-1", 402), ("-50", 402), ("0", 402), ("1e30", 200), ("50.5", 200)])
def test_a_budget_counts_whatever_its_size(budget, status):
    """Regression: a budget of -1 was taken for none, so that the turn ran without one."""
    assert settled_tier().turn("p", budget).status == status


def test_a_call_with_an_invalid_budget_is_served():
    """Only turns have budgets."""
    assert settled_tier().request("/look/1", budget="many").status == 200


@pytest.mark.parametrize("count", ["\u00b2,\u00b2", "\u00b2", "-1,x"])
def test_token_counts_and_loads_in_other_digits_count_as_missing(count):
    """Regression: a superscript two is a digit to ``str.isdigit``, but no number: the connection was closed."""
    head = Head(((headers.TOKEN_COUNT, count.encode("latin-1")), (headers.SERVER_LOAD, count.encode("latin-1"))))
    assert (headers.prompt_tokens(head), headers.max_output_tokens(head), headers.server_load(head)) == (0, 0, None)
