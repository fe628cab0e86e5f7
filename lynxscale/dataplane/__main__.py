"""The entry point ``python -m lynxscale.dataplane``: holds SIGHUP, and imports and runs the program."""

from __future__ import annotations

import sys

from lynxscale.runtime.reload_signal import hold_reload_signal


def main() -> int:
    """Run a relay until SIGTERM and return its exit code: 2 if its settings are unusable."""
    hold_reload_signal()  # before the import, which takes most of the time of a start
    from lynxscale.dataplane.process import main as run

    return run()


if __name__ == "__main__":
    sys.exit(main())
