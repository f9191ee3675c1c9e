"""A process that was frozen reads what has arrived before its timers count.

After a freeze, a selector may return without a look at the sockets, so that
all timers that have passed run first.
"""

import asyncio
import signal
import sys

import pytest

from . import frozen_reader
from .builders import HOST

FROZEN_SECONDS = 2 * frozen_reader.LIMIT_SECONDS
#: Time after which the process waits for the byte, in seconds.
WAITING_SECONDS = 0.1


@pytest.mark.parametrize('way', frozen_reader.WAYS)
async def test_byte_that_arrives_during_a_freeze_is_read(way: str) -> None:
    """Guards against an endpoint that looks silent because of a freeze."""
    connected = asyncio.get_running_loop().create_future()
    server = await asyncio.start_server(
        lambda _, writer: connected.set_result(writer), HOST, 0
    )
    port = server.sockets[0].getsockname()[1]
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        frozen_reader.__file__,
        str(port),
        way,
        stdout=asyncio.subprocess.PIPE,
    )
    writer = await connected
    await asyncio.sleep(WAITING_SECONDS)
    process.send_signal(signal.SIGSTOP)
    writer.write(b'x')
    await asyncio.sleep(FROZEN_SECONDS)
    process.send_signal(signal.SIGCONT)
    said, _ = await process.communicate()
    server.close()
    assert said.strip() == b'read'
