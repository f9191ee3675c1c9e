"""Reads one byte within a time limit, in a process that may be frozen."""

import asyncio
import sys
from types import MappingProxyType

from sycamore_entry.forwarding.endpoints.time_limit import (
    ending_within,
    run_within,
)

LIMIT_SECONDS = 0.5


async def _read_in_block(reader: asyncio.StreamReader) -> None:
    async with ending_within(LIMIT_SECONDS):
        await reader.readexactly(1)


async def _read_in_task(reader: asyncio.StreamReader) -> None:
    await run_within(reader.readexactly(1), LIMIT_SECONDS)


#: Ways to read within a time limit, by name.
WAYS = MappingProxyType({'block': _read_in_block, 'task': _read_in_task})


async def read_byte(port: int, way: str) -> str:
    """Return what became of a read from a port on loopback."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    try:
        await WAYS[way](reader)
    except TimeoutError:
        return 'silent'
    finally:
        writer.close()
    return 'read'


if __name__ == '__main__':
    sys.stdout.write(asyncio.run(read_byte(int(sys.argv[1]), sys.argv[2])))
