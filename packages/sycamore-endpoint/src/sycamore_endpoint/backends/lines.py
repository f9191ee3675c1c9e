"""Lines of a streamed answer."""

from collections.abc import AsyncIterator

from .stream import StreamCall

_NEWLINE = b'\n'


async def read_lines(call: StreamCall) -> AsyncIterator[bytes]:
    """Give the lines of a stream without their ends.

    A rest without a line end is not given: it was cut.
    """
    rest = b''
    while chunk := await call.read():
        *lines, rest = (rest + chunk).split(_NEWLINE)
        for line in lines:
            if line:
                yield line
