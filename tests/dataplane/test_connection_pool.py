"""The pool of idle connections to an endpoint."""

from lab.tier.world import World
from lynxscale.dataplane.connection_pool import MAX_IDLE_CONNECTIONS, ConnectionPool, IdleConnections
from lynxscale.runtime.http_client import ClientConnection, ClientState


def pool_with_connections(count: int) -> tuple[World, ConnectionPool, list[ClientConnection]]:
    """A pool, and connections acquired from it that are idle but not yet released to it."""
    world = World(1)
    pool = ConnectionPool("10.0.0.1:1", world.machine("a:1").clock(), lambda address, connection: None, closed=False)
    connections = [pool.acquire() for _ in range(count)]
    for connection in connections:
        connection.state = ClientState.IDLE
        connection.idle_until = world.time + 1.0
    return world, pool, connections


def test_the_most_recently_released_connection_is_used_first_and_expired_ones_never():
    world, pool, (first, second) = pool_with_connections(2)
    pool._release(first)
    pool._release(second)
    assert pool.has_idle
    assert pool.acquire() is second
    first.idle_until = world.time
    assert not pool.has_idle
    assert pool.acquire() not in (first, second)
    assert first.state is ClientState.CLOSED


def test_a_full_or_closed_pool_closes_what_is_released():
    world, pool, connections = pool_with_connections(MAX_IDLE_CONNECTIONS + 1)
    for connection in connections:
        pool._release(connection)
    world.run(world.time + 0.01)
    assert [connection.state for connection in connections].count(ClientState.CLOSED) == 1
    pool.close()
    assert all(connection.state is ClientState.CLOSED for connection in connections)
    assert not pool.has_idle


def test_a_closed_pool_keeps_nothing_that_is_released_later():
    world, pool, (connection,) = pool_with_connections(1)
    pool.close()
    pool._release(connection)
    assert not pool.has_idle
    world.run(world.time + 0.01)
    assert connection.state is ClientState.CLOSED


def test_an_excluded_connection_stays_idle_and_the_next_one_is_used():
    _, pool, (first, second) = pool_with_connections(2)
    pool._release(first)
    pool._release(second)
    assert pool.acquire(excluded={second}) is first
    assert pool.acquire(excluded={first, second}) not in (first, second)
    assert pool.acquire() is second


def test_the_idle_connections_of_all_pools_are_limited_together():
    world = World(1)
    shared = IdleConnections(limit=2)
    pools = [
        ConnectionPool(f"10.0.0.{number}:1", world.machine("a:1").clock(), lambda *call: None, False, shared)
        for number in (1, 2)
    ]
    connections = [pool.acquire() for pool in pools for _ in range(2)]
    for connection in connections:
        connection.state = ClientState.IDLE
        connection.idle_until = world.time + 1.0
    pools[0]._release(connections[0])
    pools[0]._release(connections[1])
    pools[1]._release(connections[2])
    world.run(world.time + 0.01)
    assert shared.count == 2 and connections[2].state is ClientState.CLOSED
    connections[0].idle_until = world.time  # it cannot carry a request any more, and makes room in its pool
    extra = connections[3]
    extra.address = connections[0].address
    pools[0]._release(extra)
    assert shared.count == 2 and extra.state is ClientState.IDLE
    for pool in pools:
        pool.close()
    assert shared.count == 0
