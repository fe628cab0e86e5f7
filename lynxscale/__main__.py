"""``python -m lynxscale``: without words the relay, as the platform starts it; with words the commands."""

import gc
import sys
import time


def main() -> None:
    """Run the relay without arguments, as the platform starts it, else the command that they name."""
    begun = time.monotonic_ns() // 1000
    if len(sys.argv) > 1:
        from lynxscale.cli import main as commands

        commands()
    # Guards the start against collections of what imports make and never goes: many relays may start together.
    gc.disable()
    # Guards against imports that the daemon doesn't need: its memory may be as little as 32 MB.
    from lynxscale.relay.daemon import main as daemon

    sys.exit(daemon(begun=begun))


if __name__ == "__main__":
    main()
