"""Steps on a serving tier in one process, on a simulated network, clock and disk."""

import msgspec
from behave import given, then, when

from lab.tier.simulated_tier import SimulatedTier, default_configuration
from lab.tier.world import World

SEED = 7
OUTPUT = b"word1\nword2\nword3\nword4\n"


def primary_host(tier: SimulatedTier) -> str:
    """The host of the primary; waits up to 5 s for one."""
    assert tier.world.run_until(lambda: tier.primary() is not None, 5.0), f"no primary in time (seed {SEED})"
    return tier.primary().publisher.address.partition(":")[0]


@given("a serving tier of {controls:d} control members and {relays:d} relays")
def a_tier(context, controls, relays):
    context.tier = SimulatedTier(World(SEED), relays=relays, controls=controls).start_serving()
    context.answers = {}


@when('turn "{name}" of program "{program}" says "{text}"')
def a_turn(context, name, program, text):
    context.answers[name] = context.tier.turn(program, 1000, request_id=name, body=text.encode())


@when('turn "{name}" of program "{program}" continues turn "{previous}" with "{text}"')
def a_later_turn(context, name, program, previous, text):
    tier = context.tier
    context.answers[name] = tier.turn(program, 1000, request_id=name, previous=previous, body=text.encode())


@when("the primary loses power and its disk")
def primary_lost(context):
    context.tier.kill_control(primary_host(context.tier), power=True, wipe=True)


@when("all control members lose power and one of them its disk")
def all_members_lost(context):
    tier = context.tier
    for number, host in enumerate(tier.control_hosts):
        tier.kill_control(host, power=True, wipe=number == 0)
    tier.world.run(tier.world.time + 1.0)
    for host in tier.control_hosts:
        tier.start_control(host)


@when("the primary is partitioned from the other members")
def primary_partitioned(context):
    tier = context.tier
    context.former_primary = primary_host(tier)
    own = tier.controls[context.former_primary].publisher.address
    for host in tier.control_hosts:
        if host != context.former_primary:
            tier.world.partition(own, tier.controls[host].publisher.address)


@when("the operator sends version {version:d} on top of {base:d}")
def a_configuration(context, version, base):
    context.answer = context.tier.push(default_configuration(version), base)


@when("{count:d} concurrent turns of at most {max_tokens:d} tokens share a budget of {budget:d}")
def concurrent_turns(context, count, max_tokens, budget):
    tier = context.tier
    fields = {"program": "p", "budget": str(budget), "lynxscale_token_count": f"100,{max_tokens}"}
    relays = [tier.relay_hosts[number % len(tier.relay_hosts)] for number in range(count)]
    context.concurrent_answers = [tier.start_request("/open/stream", relay=relay, **fields)[0] for relay in relays]
    tier.world.run(tier.world.time + 3.0)


@then('turn "{name}" gets a complete response')
def complete_response(context, name):
    assert (context.answers[name].status, context.answers[name].complete) == (200, True)


@then('the endpoint that executed "{name}" got the input and output of "t1" before its own input')
def history_first(context, name):
    executed = [request for endpoint in context.tier.endpoints.values() for request in endpoint.executed]
    bodies = [request.body for request in executed if request.head.text(b"lynxscale-request-id") == name]
    assert bodies == [b"hello " + OUTPUT + b"more"], bodies


@then("the operator gets {status:d}")
def operator_gets(context, status):
    assert context.answer.status == status, context.answer.status


@then("the operator reads version {version:d}")
def operator_reads(context, version):
    answer = context.tier.operator_call("GET", "/config/read")
    assert msgspec.json.decode(answer.body)["generation"] == version


@then("at no time within {seconds:d} seconds do two members act as primary")
def one_primary(context, seconds):
    tier = context.tier
    end = tier.world.time + seconds
    while tier.world.time < end:
        tier.world.run(tier.world.time + 0.005)
        assert sum(control.member.leads() for control in tier.controls.values()) <= 1, (
            f"two primaries at {tier.world.time} s"
        )


@then("another member is primary")
def another_primary(context):
    assert primary_host(context.tier) != context.former_primary


@then("{executed:d} of them are executed and {rejected:d} get {status:d}")
def some_executed(context, executed, rejected, status):
    statuses = sorted(answer.status for answer in context.concurrent_answers)
    assert statuses == [200] * executed + [status] * rejected, statuses
