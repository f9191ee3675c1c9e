"""Complete answers whose last bytes wait at the forced end of a stop."""

import asyncio
import socket

from sycamore_core.routing import RouteKind

from .builders import (
    HOST,
    RawEndpoint,
    full_answer,
    reply_with,
    request_bytes,
    route,
    running_entry,
)

#: An answer that exceeds the buffers of its connection.
PADDING = 'x' * 400_000
SMALL_BUFFER_BYTES = 4096


async def test_forced_stop_lets_the_last_bytes_of_an_answer_go() -> None:
    """Guards against cutting an answer that is at hand completely."""
    endpoint = RawEndpoint('e1', reply_with(full_answer(PADDING)))
    async with running_entry(route(RouteKind.SAFE), endpoint) as entry:
        entry.context.is_stopping = True
        caller = socket.socket()
        caller.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES
        )
        caller.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(caller, (HOST, entry.port))
        await loop.sock_sendall(caller, request_bytes(Connection='keep-alive'))
        await asyncio.sleep(0.3)
        entry.context.forced_stop_at = entry.context.clock.monotonic()
        entry.connections.end_exchanges()
        reader, writer = await asyncio.open_connection(sock=caller)
        answer = await asyncio.wait_for(reader.read(), 3)
        writer.close()
    assert answer.endswith(PADDING.encode())
