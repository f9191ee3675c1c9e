"""Attempts and reservations end with the lifetime of their endpoint."""

import asyncio
import errno
import socket
from collections.abc import Sequence

import msgspec
import pytest
from sycamore_core.decisions.direct import RetryBudgetLimit
from sycamore_core.decisions.lifetimes import EndEvidence
from sycamore_core.ids import EndpointId
from sycamore_core.routing import EndpointRecord

from ..endpoints import channel
from ..endpoints.end_scope import EndScope
from ..fleet.feed import EndpointChanged, EndpointRemoved
from ..flow_control import FlowControl
from .builders import (
    LAST_CHUNK,
    SERVICE,
    RawEndpoint,
    SimpleWire,
    TestEntry,
    chunk,
    event,
    full_answer,
    never_reply,
    reply_with,
    running_entry,
    stream_head,
)
from .builders_ended import (
    CHAT,
    MISDIRECTED,
    SAFE,
    UNSAFE,
    StartedEndpoint,
    answer_at_once,
    apply,
    asked,
    first_asked,
    has_ended,
    newer_start,
    one_event,
    pair,
)
from .builders_engines import ANSWER, HUGE, STREAM, Engine, engines, is_order
from .test_reservations import wait_released

OK = b'HTTP/1.1 200'
FAILED = b'HTTP/1.1 50'


def registered(entry: TestEntry, endpoint: RawEndpoint) -> EndpointRecord:
    record = entry.context.keeper.directory.find(EndpointId(endpoint.name))
    assert record is not None
    return record


def restart(entry: TestEntry, endpoint: RawEndpoint) -> None:
    """Have an endpoint register with a newer start under its id."""
    record = registered(entry, endpoint)
    apply(entry, EndpointChanged(newer_start(record)))


async def test_call_moves_once_its_endpoint_restarts() -> None:
    """Guards against a call that waits for an instance that is gone.

    The endpoint restarts under its id, and its connection stays open.
    """
    fleet = pair()
    async with running_entry(SAFE, *fleet) as entry, asked(entry) as answer:
        restart(entry, await first_asked(fleet))
        assert (await answer_at_once(answer)).startswith(OK)
        counts = entry.context.metrics.ended_attempts.counts
        assert counts == {EndEvidence.NEWER_START: 1}


async def test_call_that_may_have_run_fails_at_once() -> None:
    """Guards against a payout that is sent twice after a restart."""
    fleet = pair()
    async with running_entry(UNSAFE, *fleet) as entry, asked(entry) as answer:
        restart(entry, await first_asked(fleet))
        text = await answer_at_once(answer)
    assert text.startswith(FAILED)
    assert b'Retry-After' not in text
    assert sum(len(one.requests) for one in fleet) == 1


async def test_call_without_retry_budget_fails_at_once() -> None:
    """Guards against retries beyond the budget when a whole zone ends."""
    fleet = pair()
    async with running_entry(SAFE, *fleet) as entry, asked(entry) as answer:
        first = await first_asked(fleet)
        budget = entry.context.retry_budget(SERVICE)
        budget.bounds = RetryBudgetLimit(ratio=0, slack=0, window=10)
        restart(entry, first)
        assert (await answer_at_once(answer)).startswith(FAILED)


async def test_stream_is_resumed_once_its_endpoint_restarts() -> None:
    """Guards against a stream that pauses until its silence is noticed."""
    fleet = pair(one_event)
    rest = reply_with(stream_head(), chunk(event(1)), LAST_CHUNK)
    async with running_entry(CHAT, *fleet) as entry:
        async with asked(entry, Prompt='5000') as answer:
            first = await first_asked(fleet)
            for endpoint in fleet:
                if endpoint is not first:
                    endpoint.talk = rest
            await asyncio.sleep(0.05)
            restart(entry, first)
            text = await answer_at_once(answer)
    assert text.count(b'id: 0') == text.count(b'id: 1') == 1
    assert text.endswith(LAST_CHUNK)


async def test_call_moves_while_it_waits_for_a_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an attempt that ends only once it is connected."""
    fleet = pair(reply_with(full_answer()))
    async with running_entry(UNSAFE, *fleet) as entry:
        pool = entry.context.pool
        waiting: asyncio.Queue[EndpointRecord] = asyncio.Queue()
        connect = pool.acquire

        async def acquire(record: EndpointRecord, *, fresh: bool):
            if waiting.empty():
                waiting.put_nowait(record)
                await asyncio.sleep(5)
            return await connect(record, fresh=fresh)

        monkeypatch.setattr(pool, 'acquire', acquire)
        async with asked(entry) as answer:
            while waiting.empty():
                await asyncio.sleep(0.005)
            record = waiting._queue[0]
            apply(entry, EndpointChanged(newer_start(record)))
            assert (await answer_at_once(answer)).startswith(OK)


async def test_nothing_is_sent_to_a_lifetime_that_ended_before() -> None:
    """Guards against a request to a start that was replaced meanwhile.

    The request was placed just before the endpoint registered anew.
    """
    fleet = pair(reply_with(full_answer()))
    async with running_entry(SAFE, *fleet) as entry:
        # An idle connection is used without any wait.
        while not all(one.requests for one in fleet):
            await asyncio.gather(entry.ask(), entry.ask())
        sent = sum(len(one.requests) for one in fleet)
        placed = entry.context.dispatcher.place_plain

        def place_and_restart(*arguments: object):
            placement = placed(*arguments)
            if placement is not None:
                newer = newer_start(placement.primary)
                entry.context.keeper.directory.put(newer)
            return placement

        entry.context.dispatcher.place_plain = place_and_restart
        text = await entry.ask()
    assert sum(len(one.requests) for one in fleet) == sent
    assert text.startswith(b'HTTP/1.1 503')


async def misdirect(entry: TestEntry, endpoint: RawEndpoint) -> None:
    """Have another request show that an address has another instance."""
    endpoint.talk = MISDIRECTED
    while not endpoint.requests[-1].get('id', '').startswith('probe'):
        await entry.ask(Id=f'probe{len(endpoint.requests)}')


async def test_other_instance_at_the_address_ends_waiting_calls() -> None:
    """Guards against calls that wait while one answer shows the end.

    Another service reuses the address.
    """
    fleet = pair()
    async with running_entry(SAFE, *fleet) as entry, asked(entry) as answer:
        first = await first_asked(fleet)
        record = registered(entry, first)
        await misdirect(entry, first)
        assert (await answer_at_once(answer)).startswith(OK)
        assert has_ended(entry.context.keeper, record)
        usable = entry.context.keeper.directory.usable(SERVICE)
        assert record.endpoint not in {one.endpoint for one in usable}


@pytest.mark.parametrize(
    'extra',
    ['', 'Instance: e1\r\n', 'Instance: x9\r\nAt: 10.0.0.9:80\r\n'],
)
async def test_421_that_names_no_other_instance_ends_nothing(
    extra: str,
) -> None:
    """Guards against an end that was concluded from the wrong answer.

    The endpoint itself answered, or the fault is at another address.
    """
    answer = reply_with(full_answer('', 421, f'Not-Run: 1\r\n{extra}'))
    endpoint = StartedEndpoint('e1', answer)
    async with running_entry(SAFE, endpoint) as entry:
        await entry.ask()
        assert not len(entry.context.keeper.ended.ended)


async def test_421_of_an_address_that_was_left_ends_nothing() -> None:
    """Guards against the end of an endpoint that has moved.

    Its registration names the new address when the old one answers.
    """
    fleet = pair(MISDIRECTED)
    async with running_entry(SAFE, *fleet) as entry:
        ended = entry.context.keeper.ended
        record = registered(entry, fleet[0])
        moved = msgspec.structs.replace(record, port=1)
        apply(entry, EndpointChanged(moved))
        ended.record_other_instance(record, EndpointId('x9'))
        assert not has_ended(entry.context.keeper, record)
        ended.record_other_instance(moved, EndpointId('x9'))
        assert has_ended(entry.context.keeper, record)


def shift(entry: TestEntry, seconds: float) -> None:
    """Have all evidence of silence become older."""
    removed = entry.context.keeper.ended.removed
    for times in (removed._heard_at, removed._removed_at):
        for lifetime in times:
            times[lifetime] -= seconds


async def test_removed_endpoint_that_is_silent_ends_its_calls() -> None:
    """Guards against calls that wait for an endpoint that was removed."""
    fleet = pair()
    async with running_entry(SAFE, *fleet) as entry, asked(entry) as answer:
        first = await first_asked(fleet)
        apply(entry, EndpointRemoved(EndpointId(first.name)))
        entry.context.keeper.drop_expired()
        await asyncio.sleep(0.05)
        assert not answer.done()
        shift(entry, 3)
        entry.context.keeper.drop_expired()
        assert (await answer_at_once(answer)).startswith(OK)


async def test_removed_endpoint_may_read_a_long_prompt() -> None:
    """Guards against a prompt that is read again though its engine reads it."""
    fleet = pair()
    async with (
        running_entry(CHAT, *fleet) as entry,
        asked(entry, Prompt='150000') as answer,
    ):
        first = await first_asked(fleet)
        apply(entry, EndpointRemoved(EndpointId(first.name)))
        shift(entry, 3)
        entry.context.keeper.drop_expired()
        await asyncio.sleep(0.05)
        assert not answer.done()


async def test_endpoint_that_only_drains_finishes_its_calls() -> None:
    """Guards against a drain that ends a long prompt without events."""
    fleet = pair()
    async with running_entry(SAFE, *fleet) as entry, asked(entry) as answer:
        first = await first_asked(fleet)
        record = registered(entry, first)
        leaving = msgspec.structs.replace(record, is_leaving=True)
        apply(entry, EndpointChanged(leaving))
        apply(entry, EndpointRemoved(record.endpoint))
        shift(entry, 30)
        entry.context.keeper.drop_expired()
        await asyncio.sleep(0.05)
        assert not answer.done()
        assert not has_ended(entry.context.keeper, record)


async def test_drain_of_five_seconds_does_not_cut_a_stream() -> None:
    """Guards against streams that end while their endpoint still writes."""
    slow = Pieces(count=50, gap=0.1)
    endpoint = StartedEndpoint('e1', slow)
    patient = msgspec.structs.replace(CHAT, time_limit=9)
    async with running_entry(patient, endpoint) as entry:
        async with asked(entry, Prompt='5000') as answer:
            await first_asked([endpoint])
            apply(entry, EndpointRemoved(EndpointId('e1')))
            while not answer.done():
                entry.context.keeper.drop_expired()
                await asyncio.sleep(0.1)
            text = answer.result()
    assert text.count(b'data') == 50
    assert len(endpoint.requests) == 1


class Pieces:
    """Sends a stream of events with a gap between them."""

    def __init__(self, count: int, gap: float) -> None:
        self.count = count
        self.gap = gap

    async def __call__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(stream_head())
        for number in range(self.count):
            writer.write(chunk(event(number)))
            await asyncio.sleep(self.gap)
        writer.write(LAST_CHUNK)


async def test_answer_that_is_complete_is_delivered() -> None:
    """Guards against a ready answer that is cut as its endpoint ends.

    The caller reads slowly, and the endpoint exits after its answer.
    """
    body = 'x' * 16_000_000
    endpoint = StartedEndpoint('e1', reply_with(full_answer(body)))
    async with running_entry(UNSAFE, endpoint) as entry:
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', entry.port, limit=1000
        )
        writer.write(
            b'POST /a/x HTTP/1.1\r\nHost: shop.example\r\nKey: a-key\r\n'
            b'Connection: close\r\nContent-Length: 0\r\n\r\n'
        )
        begin = await reader.readexactly(100)
        restart(entry, endpoint)
        received = await asyncio.wait_for(reader.read(), 5)
        writer.close()
    assert (begin + received).count(b'x') >= len(body)


async def test_complete_stream_is_not_resumed_elsewhere() -> None:
    """Guards against a stream that runs twice although it was complete.

    The endpoint restarts after its last event, while the caller still reads.
    """
    endpoint = StartedEndpoint('e1', reply_with(full_answer()))
    async with running_entry(CHAT, endpoint) as entry:
        scope = EndScope()
        record = registered(entry, endpoint)
        scope.channel = await entry.context.pool.acquire(record, fresh=True)
        scope.channel.reader.finish()
        with entry.context.keeper.ended.listening(scope, [record.lifetime]):
            restart(entry, endpoint)
        scope.channel.close()
    assert scope.cause is None


async def wait_for_prompt(fleet: Sequence[Engine]) -> Engine:
    """Return the engine that got the prompt, once helpers reserve memory."""
    async with asyncio.timeout(5):
        while True:
            for engine in fleet:
                if any(not is_order(one) for one in engine.requests):
                    return engine
            await asyncio.sleep(0.005)


@pytest.mark.parametrize('is_primary', [True, False])
async def test_memory_is_released_once_an_endpoint_ends(
    is_primary: bool,
) -> None:
    """Guards against memory that is reserved for seconds without use.

    A prompt waits for its first event; its engine, or a helper, is replaced.
    """
    fleet = engines(never_reply)
    async with running_entry(STREAM, *fleet) as entry:
        async with asked(entry, Prompt=HUGE):
            primary = await wait_for_prompt(fleet)
            helpers = [one for one in fleet if one.orders]
            for engine in fleet:
                engine.answer = ANSWER
            over = primary if is_primary else helpers[0]
            record = registered(entry, over)
            ended = entry.context.keeper.ended
            ended.record_other_instance(record, EndpointId('x9'))
            others = [one for one in helpers if one is not over]
            async with asyncio.timeout(0.3):
                await wait_released_once(others)


async def wait_released_once(fleet: Sequence[Engine]) -> None:
    while not all('release' in one.orders for one in fleet):
        await asyncio.sleep(0.005)


async def test_attempt_ends_while_it_waits_for_a_reservation() -> None:
    """Guards against orders to other helpers after one of them has ended."""
    fleet = engines(ANSWER, never_reply)
    async with running_entry(STREAM, *fleet) as entry:
        async with asked(entry, Prompt=HUGE):
            helper = await first_asked(fleet)
            record = registered(entry, helper)
            ended = entry.context.keeper.ended
            ended.record_other_instance(record, EndpointId('x9'))
            async with asyncio.timeout(0.3):
                while not entry.context.metrics.ended_attempts.counts:
                    await asyncio.sleep(0.005)
            for engine in fleet:
                engine.order = reply_with(full_answer('{}'))
        await wait_released([one for one in fleet if one is not helper])


async def test_idle_connections_are_closed_with_their_endpoint() -> None:
    """Guards against a request on a connection to an instance that is gone."""
    endpoint = StartedEndpoint('e1', reply_with(full_answer()))
    async with running_entry(SAFE, endpoint) as entry:
        await entry.ask()
        restart(entry, endpoint)
        async with asyncio.timeout(1):
            while not endpoint.closed:
                await asyncio.sleep(0.005)


async def test_connections_probe_silent_endpoints() -> None:
    """Guards against a long wait for a host that has lost its power.

    Nothing is sent while a prompt is read, so that only probes show it.
    """
    endpoint = StartedEndpoint('e1', never_reply)
    await endpoint.start()
    record = endpoint.record(SERVICE)
    opened = await channel.EndpointChannel.connect(
        record.host, record.port, SimpleWire(), FlowControl()
    )
    connection = opened.stream.socket
    tcp = socket.IPPROTO_TCP
    idle = connection.getsockopt(tcp, socket.TCP_KEEPIDLE)
    interval = connection.getsockopt(tcp, socket.TCP_KEEPINTVL)
    probes = connection.getsockopt(tcp, socket.TCP_KEEPCNT)
    assert connection.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    assert idle + interval * probes <= 3
    # The kernel uses this in place of the number of probes.
    unacknowledged_ms = connection.getsockopt(tcp, socket.TCP_USER_TIMEOUT)
    assert 2000 < unacknowledged_ms < 3000
    opened.close()
    endpoint.server.close()


async def test_unanswered_probes_end_the_lifetime() -> None:
    """Guards against other attempts that wait for an unreachable endpoint."""
    fleet = pair()
    async with running_entry(SAFE, *fleet) as entry, asked(entry) as answer:
        first = await first_asked(fleet)
        record = registered(entry, first)
        break_unacknowledged(entry)
        assert (await answer_at_once(answer)).startswith(OK)
        assert has_ended(entry.context.keeper, record)
        # Its path may be broken instead, so that it may be used again.
        usable = entry.context.keeper.directory.usable(SERVICE)
        assert record.endpoint in {one.endpoint for one in usable}


async def test_broken_connection_to_an_active_endpoint_ends_no_other() -> None:
    """Guards against many broken streams if one request was not read."""
    fleet = pair()
    async with running_entry(SAFE, *fleet) as entry, asked(entry) as answer:
        record = registered(entry, await first_asked(fleet))
        entry.context.keeper.ended.record_heard(record.lifetime)
        break_unacknowledged(entry)
        assert (await answer_at_once(answer)).startswith(OK)
        assert not has_ended(entry.context.keeper, record)


def break_unacknowledged(entry: TestEntry) -> None:
    """Close the connections of all attempts as after unanswered probes."""
    keeper = entry.context.keeper
    groups = list(keeper.ended._listeners.values())
    for listener in set().union(*groups):
        error = OSError(errno.ETIMEDOUT, 'timed out')
        listener.channel.stream.close((OSError, error, None))
