"""The README's example runs as it stands."""

import re
from pathlib import Path

from lynxscale.scheduling.actions import Attempt, SetTimer


def test_example_sends_the_message():
    text = (Path(__file__).parent.parent / "README.md").read_text()
    names: dict = {}
    exec(re.search(r"```python\n(.*?)```", text, re.S).group(1), names)
    assert {type(a) for a in names["actions"]} == {Attempt, SetTimer}
