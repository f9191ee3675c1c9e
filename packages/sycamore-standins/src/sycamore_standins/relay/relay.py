"""The relay itself: one listening address, one target."""

import asyncio
import contextlib
from collections import defaultdict

import msgspec

from ..served_connections import ServedConnections
from .gate import Gate
from .sender import SenderFinder

_READ_BYTES = 262_144


class RelayRoute(msgspec.Struct, frozen=True):
    """Where a relay listens and where it hands bytes on to."""

    host: str
    listen_port: int
    target_port: int


class Relay:
    """Hands bytes on from each connection to the target.

    Messages between the processes of the system flow one way on each
    connection, from the one that dialled, so that a gate for each sender cuts
    each direction of each pair by itself.
    """

    def __init__(self, route: RelayRoute) -> None:
        self.route = route
        self.gates: defaultdict[str, Gate] = defaultdict(Gate)
        self._writers: dict[asyncio.StreamWriter, str] = {}
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            ServedConnections(self._serve),
            self.route.host,
            self.route.listen_port,
        )

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        self.reset('')

    def reset(self, sender: str) -> None:
        """Close the connections of a sender; of all if it is empty."""
        for writer, name in tuple(self._writers.items()):
            if sender in {'', name}:
                writer.close()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._writers[writer] = ''
        try:
            await self._join(reader, writer)
        except OSError:
            # The target is not up, or either side went away: the dialling
            # side sees a closed connection, as without a relay.
            writer.close()
        finally:
            self._writers.pop(writer, None)
            writer.close()

    async def _join(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        route = self.route
        target_reader, target_writer = await asyncio.open_connection(
            route.host,
            route.target_port,
        )
        back = asyncio.create_task(_copy(target_reader, writer))
        try:
            await self._forward(reader, writer, target_writer)
        finally:
            back.cancel()
            target_writer.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        target: asyncio.StreamWriter,
    ) -> None:
        finder = SenderFinder()
        while not finder.sender:
            received = await reader.read(_READ_BYTES)
            if not received:
                return
            finder.feed(received)
            target.write(finder.take_handshake())
        self._writers[writer] = finder.sender
        await self._pass_gate(finder.sender, finder.held, target)
        while received := await reader.read(_READ_BYTES):
            await self._pass_gate(finder.sender, received, target)

    async def _pass_gate(
        self,
        sender: str,
        received: bytes,
        target: asyncio.StreamWriter,
    ) -> None:
        await self.gates[sender].wait()
        target.write(received)
        await target.drain()


async def _copy(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    with contextlib.suppress(OSError):
        while received := await reader.read(_READ_BYTES):
            writer.write(received)
            await writer.drain()
    writer.close()
