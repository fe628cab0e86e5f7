"""``python -m lynxscale``: without words the relay, as the platform starts it; with words the commands."""

import sys
import time


def main() -> None:
    begun = time.monotonic_ns() // 1000
    if len(sys.argv) > 1:
        from lynxscale.cli import main as commands

        commands()
    # Guards against imports that the daemon doesn't need: its memory may be as little as 32 MB.
    from lynxscale.daemon import main as daemon

    sys.exit(daemon(begun=begun))


if __name__ == "__main__":
    main()
