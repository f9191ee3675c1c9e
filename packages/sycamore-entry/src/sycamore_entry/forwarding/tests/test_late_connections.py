"""An event loop that was late reads what has arrived before it judges others.

The process may be frozen, or compute for longer than the time limits of its
connections. What others did meanwhile lies unread in its sockets.
"""

import asyncio
import time

from sycamore_core.ids import EndpointId
from sycamore_core.routing import RouteKind

from ..endpoints.channel import CONNECT_SECONDS, EndpointChannel
from ..endpoints.crash_probe import CrashProbe
from ..endpoints.reservations import ORDER_TIMEOUT_SECONDS
from ..fleet.feed import EndpointRemoved
from ..flow_control import SLOW_READER_SECONDS, FlowControl, ReaderSide
from .builders import (
    LAST_CHUNK,
    MODEL,
    SERVICE,
    RawEndpoint,
    SimpleWire,
    chunk,
    event,
    full_answer,
    never_reply,
    reply_with,
    route,
    running_entry,
    stream_head,
)
from .builders_ended import StartedEndpoint, apply, has_ended
from .builders_engines import ANSWER, HUGE, STREAM, engines
from .builders_late import other_loop, run_elsewhere
from .builders_mesh import entries, running
from .builders_overload import LogFields, captured_lines

#: Longer than each time limit of a connection that is opened, in seconds.
LATE_SECONDS = 0.8
#: Longer than the silence after which others are given up, in seconds.
VERY_LATE_SECONDS = 3.4
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


async def send_events(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    writer.write(stream_head())
    for number in range(50):
        writer.write(chunk(event(number)))
        await writer.drain()
        await asyncio.sleep(0.1)
    writer.write(LAST_CHUNK)


async def test_endpoint_that_was_not_read_while_late_has_not_ended() -> None:
    """Guards against an endpoint that is given up with its bytes unread."""
    served = route(RouteKind.RESUMABLE_STREAM, MODEL, time_limit=12)
    endpoint = StartedEndpoint('e1', send_events)
    with other_loop() as loop:
        run_elsewhere(loop, endpoint)
        async with running_entry(served, endpoint) as entry:
            keeper = entry.context.keeper
            record = endpoint.record(MODEL)
            expiring = asyncio.create_task(keeper.expire())
            asking = asyncio.create_task(entry.ask())
            while not endpoint.requests:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.4)
            apply(entry, EndpointRemoved(EndpointId('e1')))
            time.sleep(VERY_LATE_SECONDS)
            await asyncio.sleep(0.6)
            assert not has_ended(keeper, record)
            expiring.cancel()
            asking.cancel()


async def test_removal_read_late_does_not_end_a_live_endpoint() -> None:
    """Guards against a removal that is read before what the endpoint sent."""
    served = route(RouteKind.RESUMABLE_STREAM, MODEL, time_limit=12)
    endpoint = StartedEndpoint('e1', send_events)
    with other_loop() as loop:
        run_elsewhere(loop, endpoint)
        async with running_entry(served, endpoint) as entry:
            keeper = entry.context.keeper
            record = endpoint.record(MODEL)
            expiring = asyncio.create_task(keeper.expire())
            asking = asyncio.create_task(entry.ask())
            while not endpoint.requests:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.4)
            time.sleep(VERY_LATE_SECONDS)
            apply(entry, EndpointRemoved(EndpointId('e1')))
            await asyncio.sleep(0.6)
            assert not has_ended(keeper, record)
            expiring.cancel()
            asking.cancel()


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
