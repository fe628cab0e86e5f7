"""Tests that fail for a real fault that is known: KNOWN-RED.txt, at most three lines of ``test | cause | issue``.

Runs each and prints it. What it writes to standard output are pytest's words for passing over just these; everything
else goes to standard error. Exit code 1 where a line has another form, a test does not exist, or one passes: that has
to leave the list.
"""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

MOST = 3
FAILED, NONE_OF_THAT_NAME, NOT_COLLECTED = 1, 4, 5  # pytest's exit codes


class Fault(Exception):
    """The list cannot stand as it is; the text says which line and why."""


def rows(text: str) -> list[tuple[str, str, str]]:
    """Test, cause and issue of each line. Raises Fault."""
    found = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts) or "::" not in parts[0] or " " in parts[0]:
            raise Fault(f"line {number}: want test | cause | issue, the test as FILE::NAME")
        found.append((parts[0], parts[1], parts[2]))
    if len(found) > MOST:
        raise Fault(f"{len(found)} lines, want {MOST} at most")
    return found


def check(test: str) -> None:
    """Raises Fault where it does not fail."""
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", test], capture_output=True, text=True
    )
    if done.returncode in (NONE_OF_THAT_NAME, NOT_COLLECTED):
        raise Fault(f"{test}: there is no such test")
    if done.returncode != FAILED:
        raise Fault(f"{test}: does not fail (pytest's exit code {done.returncode}), want its line removed")


def main(path: Path) -> int:
    if not path.is_file():
        return 0
    try:
        for test, cause, issue in rows(path.read_text()):
            check(test)
            print(f"known to fail: {test}: {cause} ({issue})", file=sys.stderr)
            print(f"--deselect {test}")
    except Fault as fault:
        print(f"{path.name}: {fault}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(Path("KNOWN-RED.txt")))
