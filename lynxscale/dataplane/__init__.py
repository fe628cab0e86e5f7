"""The data plane: relays that accept requests from clients and forward them to endpoints.

``service`` accepts a request, or holds it until the relay is configured; ``routing`` finds its route; ``forwarding``
manages its life cycle; ``attempt`` sends it once to one endpoint. ``load_balancer`` chooses the endpoint,
``slot_queue`` orders the requests that wait for a slot, and ``turns`` reserves budgets and commits turns at the
control plane.
"""
