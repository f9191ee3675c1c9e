"""A caller receives the whole answer to its own request, or sees a failure."""

import asyncio

import pytest
from sycamore_core.routing import RouteKind

from .builders import (
    HOST,
    LAST_CHUNK,
    MODEL,
    RawEndpoint,
    chunk,
    entry_before,
    event,
    request_bytes,
    route,
    say_nothing,
    saying,
    stream_head,
    whole,
)
from .builders_answers import in_turn

SAFE = route(RouteKind.SAFE)
UNSAFE = route(RouteKind.UNSAFE)
STREAM = route(RouteKind.RESUMABLE_STREAM, MODEL)


async def test_answer_and_request_are_handed_on_unchanged() -> None:
    endpoint = RawEndpoint('e1', saying(whole('report', extra='Other: 1\r\n')))
    async with entry_before(SAFE, endpoint) as entry:
        answer = await entry.ask(body=b'text')
    head, _, body = answer.partition(b'\r\n\r\n')
    assert body == b'report'
    assert b'Signed: yes' in head
    assert b'Other: 1' in head
    sent = endpoint.requests[0]
    assert sent['line'] == 'POST /a/x?q=1 HTTP/1.1'
    assert sent['workspace'] == 'school'
    assert 'key' not in sent


async def test_cut_answer_does_not_look_whole() -> None:
    """An endpoint breaks off in the middle of its answer to a deposit.

    The caller is told that it failed; it gets no part that looks complete,
    and nothing runs a second time.
    """
    cut = b'HTTP/1.1 200 OK\r\nSigned: yes\r\nContent-Length: 50\r\n\r\nhalf'
    one = RawEndpoint('e1', saying(cut, close=True))
    two = RawEndpoint('e2', saying(cut, close=True))
    async with entry_before(UNSAFE, one, two) as entry:
        answer = await entry.ask()
    assert answer.startswith(b'HTTP/1.1 502')
    assert len(one.requests) + len(two.requests) == 1


async def test_unsigned_success_is_not_handed_on() -> None:
    """Something in between answers with success in the endpoint's place.

    The caller would take it for the record of its deposit.
    """
    forged = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
    async with entry_before(UNSAFE, RawEndpoint('e1', saying(forged))) as entry:
        answer = await entry.ask()
    assert answer.startswith(b'HTTP/1.1 502')


async def test_answer_to_another_request_is_not_handed_on() -> None:
    """An answer comes so late that it meets the next request's caller."""
    foreign = whole('not yours', extra='Id: other\r\n')
    async with entry_before(
        UNSAFE, RawEndpoint('e1', saying(foreign))
    ) as entry:
        answer = await entry.ask()
    assert answer.startswith(b'HTTP/1.1 502')
    assert b'not yours' not in answer


async def test_extra_answer_does_not_reach_the_next_request() -> None:
    """An endpoint sends a second answer after a complete one.

    On a kept connection, the next caller would get it for its own.
    """
    talk = in_turn(whole('first') + whole('extra'), whole('second'))
    async with entry_before(SAFE, RawEndpoint('e1', talk)) as entry:
        first = await entry.ask()
        await asyncio.sleep(0.05)
        second = await entry.ask()
    assert first.endswith(b'first')
    assert second.endswith(b'second')


async def test_reset_answer_without_length_is_not_whole() -> None:
    """An answer without a length ends with a reset instead of a close.

    Its bytes so far are not the endpoint's whole body.
    """

    async def talk(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(b'HTTP/1.1 200 OK\r\nSigned: yes\r\n\r\nhalf')
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.transport.abort()
        raise ConnectionError

    async with entry_before(UNSAFE, RawEndpoint('e1', talk)) as entry:
        answer = await entry.ask()
    # An abort with nothing unread sends an orderly end on some systems; what
    # is handed on then is what the endpoint ended in order.
    assert not answer.startswith(b'HTTP/1.1 200') or answer.endswith(b'half')


async def test_stream_is_resumed_within_one_answer() -> None:
    """An endpoint dies in the middle of an event of a stream.

    Another goes on after the last whole event; the guest notices nothing.
    """
    first = RawEndpoint(
        'e1',
        saying(
            stream_head(),
            chunk(event(0)),
            chunk(f'{event(1)}id: 2\nda'),
            close=True,
        ),
    )
    second = RawEndpoint(
        'e2',
        saying(stream_head(), chunk(event(2)), chunk(event(3)), LAST_CHUNK),
    )

    async def either(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        total = len(first.requests) + len(second.requests)
        chosen = first_talk if total == 1 else second_talk
        await chosen(reader, writer)

    first_talk = first.talk
    second_talk = second.talk
    first.talk = either
    second.talk = either
    async with entry_before(STREAM, first, second) as entry:
        answer = await entry.ask(Prompt='1000')
    requests = first.requests + second.requests
    assert sorted(one['after'] for one in requests) == ['', '1']
    body = answer.partition(b'\r\n\r\n')[2]
    numbers = [line for line in body.split(b'\n') if line.startswith(b'id:')]
    assert numbers == [b'id: 0', b'id: 1', b'id: 2', b'id: 3']
    assert body.endswith(LAST_CHUNK)


async def test_stream_that_no_endpoint_goes_on_with_looks_cut() -> None:
    """The only endpoint of a service dies in the middle of a stream.

    The guest's connection ends without the end mark, and without the head of
    a refusal in the middle of the stream.
    """
    only = RawEndpoint('e1', saying(stream_head(), chunk(event(0)), close=True))
    async with entry_before(STREAM, only) as entry:
        answer = await entry.ask(Prompt='1000')
    assert answer.count(b'HTTP/1.1') == 1
    assert not answer.endswith(LAST_CHUNK)


async def test_events_come_as_they_are_made() -> None:
    """A stream's events are not held back until its end."""
    go_on = asyncio.Event()

    async def talk(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(stream_head() + chunk(event(0)))
        await go_on.wait()
        writer.write(chunk(event(1)) + LAST_CHUNK)

    async with entry_before(STREAM, RawEndpoint('e1', talk)) as entry:
        reader, writer = await asyncio.open_connection(HOST, entry.port)
        writer.write(request_bytes(Prompt='1000'))
        early = await asyncio.wait_for(reader.readuntil(b'piece 0'), 5)
        assert b'200 OK' in early
        go_on.set()
        assert (await reader.read()).endswith(LAST_CHUNK)
        writer.close()


@pytest.mark.parametrize('made', [SAFE, STREAM])
async def test_work_ends_when_the_caller_leaves(made) -> None:
    """A guest closes the chat before the answer has begun.

    The endpoint sees its connection close and stops working for nobody.
    """
    endpoint = RawEndpoint('e1', say_nothing)
    async with entry_before(made, endpoint) as entry:
        _, writer = await asyncio.open_connection(HOST, entry.port)
        writer.write(request_bytes(Prompt='1000'))
        while not endpoint.requests:
            await asyncio.sleep(0.01)
        writer.close()
        async with asyncio.timeout(0.5):
            while not endpoint.closed:
                await asyncio.sleep(0.01)
        assert not entry.context.dispatcher.book.own
