"""An event loop that was late reads what has arrived before it judges others.

The process may be frozen, or compute for longer than the time limits of its
connections. What others did meanwhile lies unread in its sockets.
"""

import asyncio
import time

from ..endpoints.channel import CONNECT_SECONDS, EndpointChannel
from ..endpoints.crash_probe import CrashProbe
from ..endpoints.reservations import ORDER_TIMEOUT_SECONDS
from ..fleet.feed import EndpointRemoved
from ..flow_control import SLOW_READER_SECONDS, FlowControl, ReaderSide
from .builders import (
    LAST_CHUNK,
    SERVICE,
    RawEndpoint,
    SimpleWire,
    full_answer,
    never_reply,
    reply_with,
    running_entry,
)
from .builders_ended import apply, has_ended
from .builders_engines import ANSWER, HUGE, STREAM, engines
from .builders_late import other_loop, run_elsewhere
from .builders_mesh import entries, running
from .builders_overload import LogFields, captured_lines
from .builders_streaming import streaming_elsewhere

#: Longer than each time limit of a connection that is opened, in seconds.
LATE_SECONDS = 0.8
#: Longer than the silence after which others are given up, in seconds.
VERY_LATE_SECONDS = 3.4
#: Time in which the entry reads and judges what has arrived, in seconds.
READING_SECONDS = 0.6
#: Time in which an endpoint answers an order, in seconds.
ANSWER_SECONDS = 0.05


async def test_connection_made_while_late_counts_as_made() -> None:
    """Guards against an endpoint that looks gone because the entry was late."""
    assert LATE_SECONDS > CONNECT_SECONDS
    endpoint = RawEndpoint('e1', reply_with(full_answer()))
    await endpoint.start()
    record = endpoint.record(SERVICE)
    connecting = asyncio.create_task(
        EndpointChannel.connect(
            record.host, record.port, SimpleWire(), FlowControl()
        )
    )
    await asyncio.sleep(0)
    time.sleep(LATE_SECONDS)
    channel = await connecting
    channel.close()


async def test_refused_probe_that_is_read_late_shows_the_crash() -> None:
    """Guards against a crash that a late entry does not report."""
    endpoint = RawEndpoint('e1', never_reply)
    await endpoint.start()
    record = endpoint.record(SERVICE)
    assert endpoint.server is not None
    endpoint.server.close()
    await endpoint.server.wait_closed()
    for turns in range(4):
        probing = asyncio.create_task(CrashProbe().has_crashed(record))
        for _ in range(turns):
            await asyncio.sleep(0)
        time.sleep(LATE_SECONDS)
        assert await probing


async def answer_order(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await asyncio.sleep(ANSWER_SECONDS)
    writer.write(full_answer('{}'))


async def test_order_answered_while_late_reserves_memory() -> None:
    """Guards against a prompt that a late entry places anew."""
    assert LATE_SECONDS > ORDER_TIMEOUT_SECONDS
    fleet = engines(ANSWER, answer_order)
    with other_loop() as loop:
        run_elsewhere(loop, *fleet)
        async with running_entry(STREAM, *fleet) as entry:
            asking = asyncio.create_task(entry.ask(Prompt=HUGE))
            while not any(engine.orders for engine in fleet):
                await asyncio.sleep(0.001)
            time.sleep(LATE_SECONDS)
            answer = await asking
            metrics = entry.context.metrics
    retries = dict(metrics.retries.reasons.counts)
    assert answer.endswith(LAST_CHUNK)
    assert retries == {}


async def test_endpoint_that_was_not_read_while_late_has_not_ended() -> None:
    """Guards against an endpoint that is given up with its bytes unread."""
    async with streaming_elsewhere() as (entry, record):
        apply(entry, EndpointRemoved(record.endpoint))
        time.sleep(VERY_LATE_SECONDS)
        await asyncio.sleep(READING_SECONDS)
        assert not has_ended(entry.context.keeper, record)


async def test_removal_read_late_does_not_end_a_live_endpoint() -> None:
    """Guards against a removal that is read before what the endpoint sent."""
    async with streaming_elsewhere() as (entry, record):
        time.sleep(VERY_LATE_SECONDS)
        apply(entry, EndpointRemoved(record.endpoint))
        await asyncio.sleep(READING_SECONDS)
        assert not has_ended(entry.context.keeper, record)


async def test_peers_that_were_not_read_while_late_are_not_lost() -> None:
    """Guards against loads and shares of peers that are dropped unread."""
    lost: list[LogFields] = []
    async with running(entries(2)):
        # Each entry has received updates of the other.
        await asyncio.sleep(1.2)
        with captured_lines('peer_lost', lost):
            time.sleep(VERY_LATE_SECONDS)
            await asyncio.sleep(1)
    assert lost == []


async def test_late_check_is_no_silence_of_a_reader(monkeypatch) -> None:
    """Guards against a caller that is cut because the entry did not write."""
    loop = asyncio.get_running_loop()
    written = loop.create_future()
    endpoint = RawEndpoint('e1', never_reply)
    await endpoint.start()
    record = endpoint.record(SERVICE)
    channel = await EndpointChannel.connect(
        record.host, record.port, SimpleWire(), FlowControl()
    )
    monkeypatch.setattr(channel.stream, 'writing', lambda: True)
    draining = asyncio.create_task(
        FlowControl().drain(channel.stream, written, ReaderSide.CALLER, 1)
    )
    await asyncio.sleep(0)
    time.sleep(SLOW_READER_SECONDS + LATE_SECONDS)
    loop.call_later(LATE_SECONDS, written.set_result, None)
    await draining
    channel.close()
