"""The control plane: a replicated group of members that keeps the tier's configuration, budgets and conversations.

``service`` composes a process of these parts; what is replicated, and how, is ``lynxscale.coordination``:

- the operator's API: ``operator_api``, ``configuration_endpoint``, ``retirement_endpoint``, ``idempotency``,
  ``http_responses``, ``status``
- the configuration: ``configuration``, ``configuration_check``, ``configuration_update``, ``configuration_diff``
- the state of programs: ``turn_admission``, ``program_state``, ``turn_history``, ``retention``
- relays: ``relay_requests``, ``topic_publication``
- the process and its command line: ``__main__``, ``cli``
"""
