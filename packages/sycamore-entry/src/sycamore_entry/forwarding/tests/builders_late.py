"""Endpoints that go on while the event loop of the entry is held up."""

import asyncio
import contextlib
import socket
import threading
import time
from collections.abc import Awaitable, Callable, Iterator

from .builders import RawEndpoint

#: Turns of the event loop from the read of a word to its effect.
WORD_TURNS = 3


class UnreadWord:
    """A word that lies in a socket until the event loop reads it.

    Parameters
    ----------
    on_word
        Called some turns of the event loop after the word was read.
    """

    def __init__(self, on_word: Callable[[], None]) -> None:
        self.on_word = on_word
        receiver, sender = socket.socketpair()
        self.receiver = receiver
        self.sender = sender
        loop = asyncio.get_running_loop()
        loop.add_reader(self.receiver, self._read)

    def send_and_block(self, seconds: float) -> None:
        """Send the word, and block the event loop before it is read."""
        self.sender.send(b'x')
        time.sleep(seconds)

    def _read(self) -> None:
        asyncio.get_running_loop().remove_reader(self.receiver)
        self.receiver.close()
        self.sender.close()
        self._wait(WORD_TURNS)

    def _wait(self, turns: int) -> None:
        if turns:
            asyncio.get_running_loop().call_soon(self._wait, turns - 1)
        else:
            self.on_word()


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
