"""Names that the mutations share: modules of the data plane, and files of tests that detect mutations."""

from __future__ import annotations

FORWARDING = "lynxscale.dataplane.forwarding"
ATTEMPT = "lynxscale.dataplane.attempt"
TURNS = "lynxscale.dataplane.turns"
BALANCER = "lynxscale.dataplane.load_balancer"
ENDPOINT = "lynxscale.dataplane.endpoint_state"
QUEUE = "lynxscale.dataplane.slot_queue"
PENDING = "lynxscale.dataplane.pending_until_configured"
SERVICE = "lynxscale.dataplane.service"
STREAM = "lynxscale.dataplane.response_stream"
RETRIES = "lynxscale.dataplane.retry_policy"
POOL = "lynxscale.dataplane.connection_pool"
SHUTDOWN = "lynxscale.dataplane.process"

FAULTS = "tests/dataplane/test_request_faults.py::"
STATE = "tests/dataplane/test_endpoint_state.py::"
CHOICE = "tests/dataplane/test_load_balancer.py::"
LATE = "tests/dataplane/test_late_answers.py::"
WAITING = "tests/dataplane/test_pending_until_configured.py::"
RELAY = "tests/dataplane/test_service.py::"
