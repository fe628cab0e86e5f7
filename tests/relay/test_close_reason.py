"""Reasons for closed connections are logged as plain words in both log formats."""

import io
import json

import pytest
import structlog

from lynxscale.relay import logs
from lynxscale.relay.conf.settings import LogConf
from lynxscale.relay.net.close_reason import CloseReason


@pytest.fixture(autouse=True)
def default_logging():
    yield
    structlog.reset_defaults()


@pytest.mark.parametrize("reason", CloseReason)
def test_reason_is_a_plain_word_in_logfmt_and_json(reason):
    for format_ in ("logfmt", "json"):
        out = io.StringIO()
        logs.configure(LogConf(format=format_), out)
        structlog.get_logger().info("connection", reason=reason)
        line = out.getvalue()
        if format_ == "json":
            assert json.loads(line)["reason"] == reason.value
        else:
            assert f" reason={reason.value}" in line
