"""The control plane: a replicated group of members that stores the tier's configuration, budgets and conversations.

``lynxscale.coordination`` replicates the state; ``service`` composes a process of these modules:

- the operator's API: ``operator_api``, ``configuration_endpoint``, ``retirement_endpoint``, ``idempotency``,
  ``http_responses``, ``status``
- the configuration: ``configuration``, ``configuration_check``, ``configuration_update``, ``configuration_diff``
- budgets and conversations of programs: ``turn_admission``, ``program_state``, ``turn_history``, ``retention``
- requests of relays and topics for them: ``relay_requests``, ``topic_publication``
- the process and its command line: ``__main__``, ``cli``
"""
