"""A server in trouble, whose answers are broken, for tests of HTTP clients."""

import asyncio
import enum
import socket
import struct
from types import TracebackType
from typing import Self

from .served_connections import ServedConnections

_HOST = '127.0.0.1'
#: Time between the answer and the end of its connection, in seconds.
_PAUSE_SECONDS = 0.05
#: Size of the buffer for received bytes, in bytes: the system takes little of a
#: request that is not read.
_BUFFER_BYTES = 4096
#: Value of `SO_LINGER` with which a close resets the connection.
_RESETTING = struct.pack('ii', 1, 0)


class Ending(enum.Enum):
    """How the connection of an answer ends."""

    CLOSE = 'close'
    RESET = 'reset'
    #: The sending side ends in order, and the connection is reset later.
    END_AND_RESET = 'end and reset'


class BrokenServer:
    """Answers each request with the same bytes, and ends the connection.

    It serves within an ``async with`` block.

    Parameters
    ----------
    answer
        Bytes of the answer.
    takes_body
        Whether it reads the body of a request before it answers.
    """

    def __init__(
        self,
        answer: bytes,
        ending: Ending = Ending.CLOSE,
        *,
        takes_body: bool = True,
    ) -> None:
        self.answer = answer
        self.ending = ending
        self.takes_body = takes_body
        self.url = ''
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> Self:
        self._server = await asyncio.start_server(
            ServedConnections(self._serve), _HOST, 0
        )
        for listening in self._server.sockets:
            listening.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER_BYTES
            )
            port = listening.getsockname()[1]
            self.url = f'http://{_HOST}:{port}'
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        assert self._server is not None
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = (await reader.readuntil(b'\r\n\r\n')).decode().lower()
        if self.takes_body:
            await reader.readexactly(_body_length(head))
        else:
            writer.transport.pause_reading()
        writer.write(self.answer)
        await writer.drain()
        await asyncio.sleep(_PAUSE_SECONDS)
        await self._end(writer)

    async def _end(self, writer: asyncio.StreamWriter) -> None:
        if self.ending == Ending.END_AND_RESET:
            writer.write_eof()
            await asyncio.sleep(_PAUSE_SECONDS)
        if self.ending != Ending.CLOSE:
            writer.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESETTING
            )
        writer.close()


def _body_length(head: str) -> int:
    rest = head.partition('content-length: ')[2]
    return int(rest.partition('\r\n')[0] or 0)
