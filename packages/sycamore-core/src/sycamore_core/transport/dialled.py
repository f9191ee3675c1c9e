"""One attempt to connect to a peer, and the resulting connection."""

import asyncio
from collections.abc import Callable

import pynng

#: Maximum time that a send waits for a peer that does not receive, in ms.
SEND_TIMEOUT_MS = 500


class DialledSocket:
    """A socket that sends packets to one address.

    Parameters
    ----------
    wake
        Event that is set when the connection ends.

    Attributes
    ----------
    is_connected
        Whether the connection has been established.
    has_ended
        Whether the connection is closed or to be closed.
    """

    def __init__(self, address: str, wake: asyncio.Event) -> None:
        self.is_connected = False
        self.has_ended = False
        self._wake = wake
        self._state_changed = asyncio.Event()
        self._loop = asyncio.get_running_loop()
        self._socket = pynng.Push0(send_timeout=SEND_TIMEOUT_MS)
        self._socket.add_post_pipe_connect_cb(self._on_connect)
        self._socket.add_post_pipe_remove_cb(self._on_remove)
        self._socket.dial(address, block=False)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    async def wait_connected(self, timeout_seconds: float) -> bool:
        """Wait for the connection; return whether it is established in time."""
        try:
            async with asyncio.timeout(timeout_seconds):
                await self._state_changed.wait()
        except TimeoutError:
            return False
        return self.is_connected

    async def send(self, packet: bytes) -> bool:
        """Send a packet; return whether the connection accepted it."""
        try:
            await self._socket.asend(packet)
        except pynng.NNGException:
            return False
        return True

    def mark_ended(self) -> None:
        """Mark the connection, or the attempt to connect, as ended."""
        self.has_ended = True
        self._state_changed.set()
        self._wake.set()

    def _connected(self) -> None:
        self.is_connected = True
        self._state_changed.set()

    def _on_connect(self, pipe: object) -> None:
        self._call_in_loop(self._connected)

    def _on_remove(self, pipe: object) -> None:
        self._call_in_loop(self.mark_ended)

    def _call_in_loop(self, callback: Callable[[], None]) -> None:
        """Schedule a callback in the event loop from the thread of pynng."""
        if not self._loop.is_closed():
            self._loop.call_soon_threadsafe(callback)
