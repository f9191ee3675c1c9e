"""Streams whose engine crashes and starts again while the others are full."""

import asyncio

from ..fleet.feed import EndpointChanged
from .builders import (
    LAST_CHUNK,
    MODEL,
    chunk,
    event,
    never_reply,
    stream_head,
)
from .builders_ended import StartedEndpoint, apply, newer_start
from .builders_fallback import (
    SOON_SECONDS,
    begun_stream,
    is_rest_whole,
    read_rest,
    wait_until,
)
from .test_resumption import empty, fill

#: Within the time limit of the stream, in seconds.
GO_ON_SECONDS = 2


class RestartedEngine(StartedEndpoint):
    """Breaks its first stream off, and ends the next one that is resumed."""

    def __init__(self, name: str) -> None:
        super().__init__(name, self._serve_stream)

    async def _serve_stream(
        self, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if len(self.requests) > 1:
            writer.write(stream_head() + chunk(event(1) + event(2)))
            writer.write(LAST_CHUNK)
            return
        writer.write(stream_head() + chunk(event(0)))
        await writer.drain()
        await asyncio.sleep(SOON_SECONDS)
        writer.transport.abort()
        raise ConnectionError


async def test_stream_goes_on_at_the_next_start_of_its_engine() -> None:
    """Guards against a stream that waits for a full engine beside a free one.

    The engine that broke off is taken for unusable by its name.
    """
    engine = RestartedEngine('e1')
    full = StartedEndpoint('e2', never_reply)
    async with begun_stream(engine, full) as (entry, reader):
        requests = fill(entry, 'e2')
        await wait_until(lambda: engine.closed > 0)
        apply(entry, EndpointChanged(newer_start(engine.record(MODEL))))
        rest = asyncio.create_task(read_rest(reader))
        await asyncio.wait((rest,), timeout=GO_ON_SECONDS)
        empty(entry, 'e2', requests)
        assert is_rest_whole(await rest)
