"""``lynxscale trace``: the tools that read and write trace files."""

from lynxscale.cli.trace import replay, show, write  # noqa: F401 - their commands join the group
from lynxscale.cli.trace.shared import group

__all__ = ["group"]
