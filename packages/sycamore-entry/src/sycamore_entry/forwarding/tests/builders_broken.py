"""Endpoints in trouble, whose answers are no answers or are not whole."""

import asyncio
import socket
from collections.abc import Awaitable, Callable

from sycamore_core.routing import Route

from ..socket_state import reset_at_close
from .builders import (
    PAUSE_SECONDS,
    RawEndpoint,
    Script,
    full_answer,
    parse_headers,
    reply_with,
    running_entry,
)

#: Body of answers that must not reach a caller.
BROKEN = 'broken'
#: Statuses of three digits that HTTP does not define.
ODD_STATUSES = ('000', '099', '600', '999')
#: Body of a request that no system takes without its being read.
UPLOAD = b'x' * 4_000_000
#: Size of a buffer for received bytes, in bytes.
_BUFFER_BYTES = 4096
#: Head of a success without a length.
UNFRAMED_HEAD = b'HTTP/1.1 200 OK\r\nSigned: yes\r\n\r\n'

#: Ends a connection, or keeps it, after the last bytes of an answer.
Ending = Callable[[asyncio.StreamWriter], Awaitable[None]]


def unframed(*parts: bytes, is_reset: bool = False) -> Script:
    """Return a script that answers each request and ends the connection."""

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        for part in parts:
            writer.write(part)
            await writer.drain()
        await asyncio.sleep(PAUSE_SECONDS)
        if is_reset:
            reset_at_close(writer.get_extra_info('socket'))
        raise ConnectionError

    return script


def answer_with_status(status: str, framing: str, *lines: str) -> bytes:
    """Return an answer with a status line of its own.

    Parameters
    ----------
    framing
        ``length``, ``chunks``, ``close`` or ``empty``.
    """
    framed = {
        'length': (f'Content-Length: {len(BROKEN)}', BROKEN),
        'chunks': (
            'Transfer-Encoding: chunked',
            f'{len(BROKEN):x}\r\n{BROKEN}\r\n0\r\n\r\n',
        ),
        'close': ('Connection: close', BROKEN),
        'empty': ('Content-Length: 0', ''),
    }
    line, body = framed[framing]
    head = '\r\n'.join((f'HTTP/1.1 {status} Odd', *lines, line))
    return f'{head}\r\n\r\n{body}'.encode()


def answer_with_line(line: bytes) -> bytes:
    """Return a complete answer with an additional line in its head."""
    first, rest = full_answer(BROKEN).split(b'\r\n', 1)
    return b'\r\n'.join((first, line, rest))


class EarlyEndpoint(RawEndpoint):
    """Answers as soon as a head has arrived, and takes no body.

    Parameters
    ----------
    part
        The answer, or its first part.
    ending
        What happens after it.
    """

    def __init__(self, name: str, part: bytes, ending: Ending) -> None:
        super().__init__(name, self.answer_early)
        self.part = part
        self.ending = ending

    async def start(self) -> None:
        """Listen with a buffer in which the system takes little of a body."""
        await super().start()
        assert self.server is not None
        for listening in self.server.sockets:
            listening.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER_BYTES
            )

    async def receive(self, reader: asyncio.StreamReader) -> dict[str, str]:
        """Return the headers of the next request."""
        return parse_headers((await reader.readuntil(b'\r\n\r\n')).decode())

    async def answer_early(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a request that is still being sent."""
        # The rest of the request stays in the buffers of the system.
        writer.transport.pause_reading()
        writer.write(self.part)
        await writer.drain()
        await self.ending(writer)
        raise ConnectionError


async def reset_at_once(writer: asyncio.StreamWriter) -> None:
    """Reset the connection."""
    reset_at_close(writer.get_extra_info('socket'))


async def reset_later(writer: asyncio.StreamWriter) -> None:
    """Reset the connection once the part has been read."""
    await asyncio.sleep(3 * PAUSE_SECONDS)
    reset_at_close(writer.get_extra_info('socket'))


async def close_with_unread_bytes(writer: asyncio.StreamWriter) -> None:
    """Close the connection; the system resets it for the unread bytes."""
    await asyncio.sleep(PAUSE_SECONDS)


async def end_and_reset(writer: asyncio.StreamWriter) -> None:
    """End the sending side, and reset the connection later."""
    writer.write_eof()
    await asyncio.sleep(PAUSE_SECONDS)
    reset_at_close(writer.get_extra_info('socket'))


async def keep_open(writer: asyncio.StreamWriter) -> None:
    """Keep the connection, and read nothing."""
    await asyncio.Event().wait()


async def forwarded(served: Route, answer: bytes) -> bytes:
    """Return what a caller gets if the only endpoint sends an answer."""
    endpoint = RawEndpoint('e1', reply_with(answer, close=True))
    async with running_entry(served, endpoint) as entry:
        return await entry.ask(Prompt='1000')


def is_own_failure(answer: bytes) -> bool:
    """Return whether the answer is a failure of the entry's own."""
    is_own = b'Signed' not in answer and BROKEN.encode() not in answer
    return is_own and answer.startswith(b'HTTP/1.1 502 ')
