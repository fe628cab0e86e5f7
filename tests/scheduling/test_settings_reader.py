"""Tests of the settings reader with invalid and absent settings."""

import re

import pytest

from lab.standins import settings as settings_table
from lynxscale.scheduling.exceptions import SettingsError
from lynxscale.scheduling.settings_reader import settings_from


@pytest.mark.parametrize(
    ("path", "value", "setting"),
    [
        (("grades",), [], "grades is missing"),
        (("grades", 0, "effect"), "twice", "grades[0].effect is missing or unknown: 'twice'"),
        (("grades", 1, "memory_span_ms"), None, "grades[1].memory_span_ms is missing"),
        (("grades", 1, "memory_span_ms"), 0, "grades[1].memory_span_ms is not a valid number: 0, want 1 or more"),
        (("grades", 1, "name"), "safe", "grades[1].name is a duplicate: 'safe'"),
        (("grades", 2, "deadline_ms"), 0, "grades[2].deadline_ms is not a valid number: 0, want 1 or more"),
        (("grades", 2, "deadline_ms"), float("inf"), "grades[2].deadline_ms is not a valid number: inf"),
        (("family_info", "max_calls"), 1e18, "family_info.max_calls is not a valid number: 1e+18, want 1 to 1e+06"),
        (("family_info", "max_calls"), 0, "family_info.max_calls is not a valid number: 0"),
        (("family_info", "per_call"), [0], "family_info.per_call has an invalid count: [0]"),
        (("allowed", "most_held"), 0, "allowed.most_held is not a valid number: 0"),
        (("balancers",), 0, "balancers is not a valid number: 0"),
        (("orgs",), ["acme"], "orgs[0] has the wrong type"),
        (("orgs",), [{"name": "acme"}, {"name": "acme"}], "orgs[1].name is a duplicate: 'acme'"),
    ],
)
def test_wrong_settings_are_rejected_with_their_key(path, value, setting):
    settings = settings_table()
    table = settings
    for key in path[:-1]:
        table = table[key]
    table[path[-1]] = value
    with pytest.raises(SettingsError, match=re.escape(f"setting {setting}")):
        settings_from(settings)


def test_class_without_keys_needs_no_memory_span_and_a_cap_of_0_is_none():
    settings = settings_table()
    del settings["grades"][0]["memory_span_ms"]
    settings["grades"][2]["memory_span_ms"] = 0
    settings["allowed"]["attempts_cap"] = 0
    read = settings_from(settings)
    assert (read.classes[0].memory_span_ms, read.classes[2].memory_span_ms, read.attempts_cap) == (None, 0.0, 0)
