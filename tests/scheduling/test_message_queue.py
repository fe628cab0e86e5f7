"""Tests of the order of messages in a queue."""

from lynxscale.scheduling.events import Result
from tests.scheduling.driver import SAFE, Driver, member

REPORTS = dict(senders=40, slots=6, report_left=0, report_limit=1, weights="nominal")


def test_late_message_goes_behind_one_within_its_latency_target():
    """While messages arrive faster than the rate limit allows, sending late ones first would make all messages late."""
    d = Driver([member(11, weight=40.0)], **REPORTS)
    d.finish(d.message(SAFE), Result.FULL, wait=2000.0, report=(0.0, 40.0))
    old = d.message(SAFE)
    d.advance(1900)
    new = d.message(SAFE)
    d.advance(4000)
    first = next(a.id for a in d.sent()[1:])
    assert first == new and first != old
