"""Runs the example in the README."""

import re
from pathlib import Path

from lynxscale.scheduling.actions import Attempt, SetTimer


def test_example_sends_the_message():
    text = (Path(__file__).parent.parent / "README.md").read_text()
    namespace: dict = {}
    exec(re.search(r"```python\n(.*?)```", text, re.S).group(1), namespace)
    assert {type(action) for action in namespace["actions"]} == {Attempt, SetTimer}
