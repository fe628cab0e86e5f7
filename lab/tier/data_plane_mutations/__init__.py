"""Mutations of the data plane, each of which a named test must detect.

Each changes a line or two of admission, queueing, the choice of an endpoint, attempts, restarts, streams, commits,
deadlines, disconnects, drain, shutdown, the bounds of clients or the use of configurations that may be old.
``source_mutation`` applies them without changing a file.
"""

from __future__ import annotations

from lab.tier.data_plane_mutations.admission import ADMISSION, QUEUEING
from lab.tier.data_plane_mutations.attempts import ATTEMPTS, RESTARTS
from lab.tier.data_plane_mutations.choice import CHOOSING
from lab.tier.data_plane_mutations.crowds import CROWDS
from lab.tier.data_plane_mutations.ends import ENDS
from lab.tier.data_plane_mutations.old_routes import OLD_ROUTES
from lab.tier.data_plane_mutations.streams import COMMITS, STREAMS

ALL = (*ADMISSION, *QUEUEING, *CHOOSING, *ATTEMPTS, *RESTARTS, *STREAMS, *COMMITS, *ENDS, *OLD_ROUTES, *CROWDS)
