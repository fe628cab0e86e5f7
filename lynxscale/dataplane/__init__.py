"""The data plane: relays that take requests from clients and forward them to endpoints.

A request passes ``service`` (can it be served now?), ``routing`` (its route), ``forwarding`` (its life cycle) and
``attempt`` (one send to one endpoint). ``load_balancer`` chooses the endpoint, ``slot_queue`` orders requests that
wait for one, ``turns`` reserves budgets and commits turns at the control plane.
"""
