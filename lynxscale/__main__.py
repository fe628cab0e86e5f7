"""``python -m lynxscale``: runs the relay if there are no arguments, as the platform starts it, else a command."""

import gc
import sys
import time

from lynxscale.runtime.reload_signal import hold_reload_signal


def main() -> None:
    """Run the command that the arguments name; without arguments run the relay, as the platform starts it."""
    begun = time.monotonic_ns() // 1000
    if len(sys.argv) > 1:
        from lynxscale.cli import main as command_line

        command_line()
    hold_reload_signal()  # before the import, which takes most of the time of a start
    # Imported objects are never freed, so collecting garbage during the start only costs time: many relays may start at
    # once.
    gc.disable()
    # Imported here, so that the daemon loads only the modules that it needs: its memory may be as little as 32 MB.
    from lynxscale.relay.daemon import main as daemon

    sys.exit(daemon(begun=begun))


if __name__ == "__main__":
    main()
