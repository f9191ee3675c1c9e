"""Streams whose first engine pauses and whose next engine gives no event."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

import msgspec
from sycamore_core.ids import ServiceId
from sycamore_core.routing import RouteKind

from .builders import (
    HOST,
    LAST_CHUNK,
    MODEL,
    RawEndpoint,
    Script,
    TestEntry,
    chunk,
    event,
    never_reply,
    request_bytes,
    route,
    running_entry,
    stream_head,
)
from .builders_ended import StartedEndpoint
from .test_resumption import SHORT_PROMPT, empty, fill

#: The longest pause of an engine in it is 0.9 s.
STREAM = msgspec.structs.replace(
    route(RouteKind.RESUMABLE_STREAM, MODEL), time_limit=5
)
#: Longer than the permitted pause, in seconds.
PAUSE_SECONDS = 1.4
#: Time within which connections close after the event that ends them, in
#: seconds.
SOON_SECONDS = 0.3
EVENTS = 3


def pause_before(rest: bytes, begin: bytes = b'') -> Script:
    """Return a script that pauses after its first event.

    Parameters
    ----------
    rest
        What follows the pause.
    begin
        What follows the first event at once.
    """

    async def script(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(stream_head() + chunk(event(0)) + begin)
        await writer.drain()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(PAUSE_SECONDS):
                await never_reply(reader, writer)
        writer.write(rest)

    return script


#: Goes on to the end of a stream of three events.
GO_ON = pause_before(b''.join((chunk(event(1) + event(2)), LAST_CHUNK)))


async def crash(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Reset the connection some time after a request was read."""
    await asyncio.sleep(PAUSE_SECONDS / 2)
    writer.transport.abort()
    raise ConnectionError


def refuse_connections(endpoint: RawEndpoint) -> None:
    """Have an endpoint refuse connections from now on."""
    assert endpoint.server is not None
    endpoint.server.close()


def engine_pair(first: Script, second: Script) -> list[RawEndpoint]:
    """Return two engines; the first gets the request."""
    return [StartedEndpoint('e1', first), StartedEndpoint('e2', second)]


@contextlib.asynccontextmanager
async def begun_stream(
    *fleet: RawEndpoint,
) -> AsyncIterator[tuple[TestEntry, asyncio.StreamReader]]:
    """Run an entry that has begun to relay a stream of the first engine.

    The other engines have free slots only then. At the end, the caller closes
    its connection, and nothing is held for the request any more.
    """
    async with running_entry(STREAM, *fleet) as entry:
        filled = {one.name: fill(entry, one.name) for one in fleet[1:]}
        reader, writer = await asyncio.open_connection(HOST, entry.port)
        writer.write(request_bytes(Prompt=SHORT_PROMPT))
        await reader.readuntil(b'piece 0\n\n')
        for name, requests in filled.items():
            empty(entry, name, requests)
        yield entry, reader
        writer.close()
        await wait_until(lambda: not entry.connections.tasks)
        assert_nothing_is_held(entry)


async def wait_until(is_met: Callable[[], bool], seconds: float = 5) -> None:
    """Wait until a condition is met."""
    async with asyncio.timeout(seconds):
        while not is_met():
            await asyncio.sleep(0.005)


def assert_nothing_is_held(
    entry: TestEntry, service: ServiceId = MODEL
) -> None:
    """Check that a request that is over has left nothing behind."""
    context = entry.context
    assert not context.dispatcher.loads.own
    assert not context.retry_budget(service).held
    assert not context.suspects.places.by_endpoint
    assert not context.keeper.ended._listeners
    assert not any(context.running.by_zone.values())


async def read_rest(reader: asyncio.StreamReader) -> bytes:
    """Return what the caller receives after the first event."""
    return await asyncio.wait_for(reader.read(), 6)


def is_rest_whole(rest: bytes) -> bool:
    """Return whether all events after the first came once and in order."""
    found = [
        line for line in rest.split(b'\n') if line.startswith(b'data: piece')
    ]
    expected = [f'data: piece {number}' for number in range(1, EVENTS)]
    is_complete = rest.endswith(LAST_CHUNK)
    return is_complete and found == [line.encode() for line in expected]
