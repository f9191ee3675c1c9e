"""Callers and endpoints that do not read what is sent to them."""

import asyncio
import socket

import pytest
from sycamore_core.routing import RouteKind

from ..flow_control import CONNECTION_BYTES, EndpointBodies, ReaderSide
from .builders import (
    HOST,
    KEY,
    LAST_CHUNK,
    MODEL,
    SERVICE,
    RawEndpoint,
    TestEntry,
    chunk,
    full_answer,
    never_reply,
    reply_with,
    request_bytes,
    route,
    running_entry,
    stream_head,
)

SAFE = route(RouteKind.SAFE, time_limit=6)
UNSAFE = route(RouteKind.UNSAFE, time_limit=6)
CHAT = route(RouteKind.RESUMABLE_STREAM, MODEL, time_limit=9)
STALL_SECONDS = 0.6
EVENT_BYTES = 20_000
#: Bytes that the system holds for both connections of an answer, at most. The
#: buffers of the endpoint's own connection grow up to some megabytes.
SYSTEM_BYTES = 16_000_000


@pytest.fixture
def short_stall(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ReaderSide, 'longest_stall', STALL_SECONDS)


def big_event(number: int) -> bytes:
    text = 'x' * EVENT_BYTES
    return chunk(f'id: {number}\ndata: {text}\n\n')


class Flood:
    """Sends events as fast as they are read.

    Attributes
    ----------
    sent
        Number of events that were written.
    """

    def __init__(self, count: int) -> None:
        self.count = count
        self.sent = 0

    async def __call__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(stream_head())
        for number in range(self.count):
            writer.write(big_event(number))
            await writer.drain()
            self.sent += 1
        writer.write(LAST_CHUNK)


async def slow_caller(
    entry: TestEntry, **headers: str
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Send a request on a connection that takes few bytes."""
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    connection.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(connection, (HOST, entry.port))
    reader, writer = await asyncio.open_connection(sock=connection, limit=1000)
    writer.write(request_bytes(**headers))
    return reader, writer


async def most_held_until_cut(entry: TestEntry) -> int:
    """Wait until a caller is cut; return the most bytes held before."""
    most = 0
    flow = entry.context.flow
    async with asyncio.timeout(5):
        while not flow.cuts.counts[ReaderSide.CALLER]:
            most = max(most, flow.held.count)
            await asyncio.sleep(0.01)
    return most


async def wait_nothing_held(entry: TestEntry) -> None:
    async with asyncio.timeout(2):
        while entry.context.flow.held.count:
            await asyncio.sleep(0.01)


@pytest.mark.usefixtures('short_stall')
async def test_caller_that_reads_nothing_is_disconnected() -> None:
    """Guards against memory that fills with answers that nobody reads."""
    flood = Flood(5000)
    endpoint = RawEndpoint('e1', flood)
    async with running_entry(CHAT, endpoint) as entry:
        _, writer = await slow_caller(entry, Prompt='5000')
        most = await most_held_until_cut(entry)
        writer.close()
        await wait_nothing_held(entry)
        outcomes = entry.context.metrics.outcomes.requests
        async with asyncio.timeout(2):
            while not outcomes.counts['slow_reader']:
                await asyncio.sleep(0.01)
    assert 0 < most <= CONNECTION_BYTES
    assert flood.sent * EVENT_BYTES < SYSTEM_BYTES


@pytest.mark.usefixtures('short_stall')
async def test_long_plain_answer_is_not_held_whole() -> None:
    """Guards against an answer of any length that is held for one caller."""
    endpoint = RawEndpoint('e1', reply_with(full_answer('x' * 30_000_000)))
    async with running_entry(SAFE, endpoint) as entry:
        _, writer = await slow_caller(entry)
        most = await most_held_until_cut(entry)
        writer.close()
        await wait_nothing_held(entry)
    assert 0 < most <= CONNECTION_BYTES


@pytest.mark.usefixtures('short_stall')
async def test_caller_that_reads_slowly_is_served() -> None:
    """Guards against the loss of callers on slow links."""
    endpoint = RawEndpoint('e1', reply_with(full_answer('x' * 500_000)))
    patient = route(RouteKind.SAFE, time_limit=12)
    async with running_entry(patient, endpoint) as entry:
        reader, writer = await slow_caller(entry)
        received = 0
        while piece := await reader.read(8000):
            received += len(piece)
            await asyncio.sleep(0.1)
        writer.close()
        cuts = entry.context.flow.cuts
    assert received > 500_000
    assert not cuts.counts


async def test_pause_of_a_caller_is_no_silence_of_the_endpoint() -> None:
    """Guards against a stream that is read twice as its caller pauses."""
    endpoint = RawEndpoint('e1', Flood(300))
    async with running_entry(CHAT, endpoint) as entry:
        reader, writer = await slow_caller(entry, Prompt='5000')
        await asyncio.sleep(1.8)
        received = await reader.read(-1)
        writer.close()
    assert received.endswith(LAST_CHUNK)
    assert len(endpoint.requests) == 1


class DeafEndpoint(RawEndpoint):
    """An endpoint that reads nothing on its first connection."""

    is_deaf = True

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if DeafEndpoint.is_deaf:
            DeafEndpoint.is_deaf = False
            writer.transport.pause_reading()
            await asyncio.sleep(5)
        await super()._serve(reader, writer)


@pytest.mark.usefixtures('short_stall')
async def test_endpoint_that_does_not_read_its_request_is_left() -> None:
    """Guards against requests that wait for an endpoint that has stopped."""
    DeafEndpoint.is_deaf = True
    answer = reply_with(full_answer())
    fleet = [DeafEndpoint(name, answer) for name in ('e1', 'e2')]
    async with running_entry(SAFE, *fleet) as entry:
        text = await entry.ask(body=b'x' * 8_000_000)
        assert text.startswith(b'HTTP/1.1 200')
        assert entry.context.flow.cuts.counts == {ReaderSide.ENDPOINT: 1}
        await wait_nothing_held(entry)


async def test_long_request_arrives_complete() -> None:
    """Guards against a request that is cut or mixed up between its pieces."""
    body = b''.join(b'%07d ' % number for number in range(200_000))
    endpoint = RawEndpoint('e1', reply_with(full_answer()))
    async with running_entry(UNSAFE, endpoint) as entry:
        for _ in range(2):
            answer = await entry.ask(body=body)
            assert answer.startswith(b'HTTP/1.1 200')
    assert [one['body'].encode() for one in endpoint.requests] == [body, body]


async def test_complete_answer_outlasts_its_connection() -> None:
    """Guards against a stream that ends early and looks complete.

    The entry stood still. The end of the answer has arrived, and the
    connection is closed for its silence before the answer is taken.
    """
    endpoint = RawEndpoint('e1', never_reply)
    async with running_entry(SAFE, endpoint) as entry:
        record = entry.context.keeper.directory.usable(SERVICE)[0]
        opened = await entry.context.pool.acquire(record, fresh=True)
        await opened.reader.data_received(b'last event')
        opened.reader.finish()
        opened.close()
        assert not entry.context.flow.held.count
        assert await opened.read_chunk() == b'last event'
        assert not await opened.read_chunk()
        assert not entry.context.flow.held.count


async def test_bodies_beyond_the_memory_are_refused() -> None:
    """Guards against a process that ends because of too many long requests."""
    endpoint = RawEndpoint('e1', never_reply)
    async with running_entry(UNSAFE, endpoint) as entry:
        entry.context.flow.apply_memory(4_000_000)
        _, first = await slow_caller(entry)
        held = asyncio.create_task(entry.ask(body=b'x' * 900_000))
        while len(endpoint.requests) < 2:
            await asyncio.sleep(0.01)
        refused = await entry.ask(body=b'x' * 200_000)
        assert refused.startswith(b'HTTP/1.1 503')
        assert b'Retry-After' in refused
        assert refused.endswith(b'overloaded')
        endpoint.talk = reply_with(full_answer())
        served = await entry.ask(body=b'x' * 50_000)
        assert served.startswith(b'HTTP/1.1 200')
        first.close()
        held.cancel()
        await asyncio.gather(held, return_exceptions=True)
        endpoint.reset()
        await wait_nothing_held(entry)


async def test_body_of_unknown_length_is_bounded() -> None:
    """Guards against a body without a length that is held whatever it has."""
    endpoint = RawEndpoint('e1', reply_with(full_answer()))
    async with running_entry(UNSAFE, endpoint) as entry:
        entry.context.flow.apply_memory(800_000)
        reader, writer = await asyncio.open_connection(HOST, entry.port)
        writer.write(
            b'POST /a/x HTTP/1.1\r\nHost: shop.example\r\nId: q1\r\n'
            + f'Key: {KEY}\r\nConnection: close\r\n'.encode()
            + b'Transfer-Encoding: chunked\r\n\r\n'
        )
        for _ in range(60):
            writer.write(chunk('x' * 10_000))
        writer.write(LAST_CHUNK)
        answer = await asyncio.wait_for(reader.read(), 5)
        writer.close()
        await wait_nothing_held(entry)
    assert answer.startswith(b'HTTP/1.1 503')
    assert not endpoint.requests


async def test_answers_go_on_while_the_process_holds_too_much() -> None:
    """Guards against a process that stands still once its bound is reached."""
    endpoint = RawEndpoint('e1', Flood(50))
    async with running_entry(CHAT, endpoint) as entry:
        entry.context.flow.held.limit = 0
        answers = await asyncio.gather(
            *(entry.ask(Id=f'q{number}', Prompt='5000') for number in range(4))
        )
    assert all(answer.endswith(LAST_CHUNK) for answer in answers)


async def test_bodies_in_flight_to_one_endpoint_are_bounded() -> None:
    """Guards against an endpoint that crashes under its requests."""
    fleet = [RawEndpoint(name, never_reply) for name in ('e1', 'e2')]
    async with running_entry(UNSAFE, *fleet) as entry:
        entry.context.flow.bodies = EndpointBodies(limit=1000)
        asked = [
            asyncio.create_task(entry.ask(Id=f'q{number}', body=b'x' * 900))
            for number in range(2)
        ]
        while sum(len(one.requests) for one in fleet) < 2:
            await asyncio.sleep(0.01)
        refused = await entry.ask(Id='q3', body=b'x' * 900)
        for task in asked:
            task.cancel()
        await asyncio.gather(*asked, return_exceptions=True)
    assert [len(one.requests) for one in fleet] == [1, 1]
    assert refused.startswith(b'HTTP/1.1 503')


async def test_bound_follows_the_settings() -> None:
    """Guards against a bound where the operator sets no memory limit."""
    async with running_entry(SAFE, RawEndpoint('e1', never_reply)) as entry:
        flow = entry.context.flow
        assert flow.held.limit is None
        flow.apply_memory(160_000_000)
        assert flow.held.limit == 40_000_000
