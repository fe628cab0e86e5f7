"""The client of the operator API."""

import asyncio

from lynxscale.runtime.clock import LoopClock
from lynxscale.runtime.http_server import ServerConnection
from lynxscale.runtime.http_types import Head, Request, Response
from lynxscale.runtime.operator_client import send_request
from lynxscale.runtime.responder import Responder
from lynxscale.runtime.server_limits import ServerLimits


def test_a_redirect_keeps_the_query():
    """Guards against a redirected request that lacks the query of the ``Location``."""

    async def targets_of_redirected_request() -> list[str]:
        loop = asyncio.get_running_loop()
        targets: list[str] = []

        def handle(request: Request, responder: Responder) -> None:
            targets.append(request.target)
            if len(targets) > 1:
                responder.respond(Response(200))
                return
            location = f"http://{address}{request.target}"
            responder.respond(Response(307, Head(((b"location", location.encode()),))))

        server = await loop.create_server(
            lambda: ServerConnection(handle, ServerLimits(), LoopClock(loop), set()), "127.0.0.1", 0
        )
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        request = Request("GET", "/config/read?version=7&full", Head(((b"host", b"c"),)))
        assert (await send_request(address, request)).status == 200
        server.close()
        return targets

    assert asyncio.run(targets_of_redirected_request()) == ["/config/read?version=7&full"] * 2
