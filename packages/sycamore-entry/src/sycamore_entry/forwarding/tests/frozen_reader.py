"""Reads one byte within a time limit, in a process that may be frozen."""

import asyncio
import sys

from sycamore_entry.forwarding.endpoints.time_limit import run_within

LIMIT_SECONDS = 0.5


async def read_byte(port: int) -> str:
    """Return what became of a read from a port on loopback."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    try:
        await run_within(reader.readexactly(1), LIMIT_SECONDS)
    except TimeoutError:
        return 'silent'
    finally:
        writer.close()
    return 'read'


if __name__ == '__main__':
    sys.stdout.write(asyncio.run(read_byte(int(sys.argv[1]))))
