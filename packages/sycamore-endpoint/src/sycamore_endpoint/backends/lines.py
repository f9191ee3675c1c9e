"""Splitting of a streamed answer into lines."""

from collections.abc import AsyncIterator

from .stream import StreamCall

_NEWLINE = b'\n'


async def read_lines(call: StreamCall) -> AsyncIterator[bytes]:
    """Yield the lines of a stream without their line ends.

    An unterminated last line is dropped, since it was cut off.
    """
    partial = b''
    while chunk := await call.read():
        *lines, partial = (partial + chunk).split(_NEWLINE)
        for line in lines:
            if line:
                yield line
