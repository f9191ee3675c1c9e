"""One attempt to reach a peer, and the connection that comes of it."""

import asyncio
from collections.abc import Callable

import pynng

#: A send to a peer that takes nothing waits at most this long, in ms.
SEND_TIMEOUT_MS = 500


class DialledSocket:
    """A socket that sends to one address.

    Parameters
    ----------
    wake
        Set when the connection ends.

    Attributes
    ----------
    is_connected
        Whether the peer has been reached.
    has_ended
        Whether the connection is gone, or is to be given up.
    """

    def __init__(self, address: str, wake: asyncio.Event) -> None:
        self.is_connected = False
        self.has_ended = False
        self._wake = wake
        self._changed = asyncio.Event()
        self._loop = asyncio.get_running_loop()
        self._socket = pynng.Push0(send_timeout=SEND_TIMEOUT_MS)
        self._socket.add_post_pipe_connect_cb(self._on_connect)
        self._socket.add_post_pipe_remove_cb(self._on_remove)
        self._socket.dial(address, block=False)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    async def is_reached(self, seconds: float) -> bool:
        """Wait for a connection; return whether there is one in time."""
        try:
            async with asyncio.timeout(seconds):
                await self._changed.wait()
        except TimeoutError:
            return False
        return self.is_connected

    async def send(self, packet: bytes) -> bool:
        """Send a packet; return whether the connection took it."""
        try:
            await self._socket.asend(packet)
        except pynng.NNGException:
            return False
        return True

    def end(self) -> None:
        """Give up the connection, or the attempt to make one."""
        self.has_ended = True
        self._changed.set()
        self._wake.set()

    def _connected(self) -> None:
        self.is_connected = True
        self._changed.set()

    def _on_connect(self, pipe: object) -> None:
        self._from_thread(self._connected)

    def _on_remove(self, pipe: object) -> None:
        self._from_thread(self.end)

    def _from_thread(self, act: Callable[[], None]) -> None:
        """Have something done in the loop, from the library's thread."""
        if not self._loop.is_closed():
            self._loop.call_soon_threadsafe(act)
