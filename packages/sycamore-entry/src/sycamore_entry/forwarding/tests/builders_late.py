"""Endpoints that go on while the event loop of the entry is held up."""

import asyncio
import contextlib
import threading
from collections.abc import Awaitable, Callable, Iterator

from .builders import RawEndpoint


@contextlib.contextmanager
def other_loop() -> Iterator[asyncio.AbstractEventLoop]:
    """Run an event loop in a thread of its own."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    try:
        yield loop
    finally:
        _stop(loop, thread)


def run_elsewhere(
    loop: asyncio.AbstractEventLoop, *endpoints: RawEndpoint
) -> None:
    """Have endpoints serve in another event loop once they are started."""
    for endpoint in endpoints:
        endpoint.start = _start_in(loop, endpoint)


def _start_in(
    loop: asyncio.AbstractEventLoop, endpoint: RawEndpoint
) -> Callable[[], Awaitable[None]]:
    start = endpoint.start

    async def start_there() -> None:
        future = asyncio.run_coroutine_threadsafe(start(), loop)
        await asyncio.wrap_future(future)
        server = endpoint.server
        assert server is not None
        close = server.close
        # A server may only be closed in its own event loop.
        server.close = lambda: loop.call_soon_threadsafe(close)

    return start_there


def _stop(loop: asyncio.AbstractEventLoop, thread: threading.Thread) -> None:
    asyncio.run_coroutine_threadsafe(_cancel_all(), loop).result()
    loop.call_soon_threadsafe(loop.stop)
    thread.join()
    loop.close()


async def _cancel_all() -> None:
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
