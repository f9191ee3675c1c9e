"""Answers without a length that come while a request is still being sent."""

import asyncio

import pytest
from sycamore_core.routing import Route, RouteKind
from tornado.httputil import HTTPHeaders, RequestStartLine

from ..endpoints.channel import EndpointChannel
from ..errors import AttemptError
from ..flow_control import FlowControl, ReaderSide
from .builders import (
    LAST_CHUNK,
    MODEL,
    PAUSE_SECONDS,
    SERVICE,
    RawEndpoint,
    SimpleWire,
    event,
    full_answer,
    reply_with,
    route,
    running_entry,
)
from .builders_broken import (
    UNFRAMED_HEAD,
    UPLOAD,
    EarlyEndpoint,
    Ending,
    answer_with_status,
    close_with_unread_bytes,
    end_and_reset,
    keep_open,
    reset_at_once,
    reset_later,
    unframed,
)

SAFE = route(RouteKind.SAFE)
UNSAFE = route(RouteKind.UNSAFE)
STREAM = route(RouteKind.STREAM, MODEL)
PART = b''.join((UNFRAMED_HEAD, b'part'))
SLOW_ENDPOINT = f'{ReaderSide.__module__}.SLOW_ENDPOINT_SECONDS'
#: Time after which the entry closes for an unread request, in seconds.
UNREAD_SECONDS = 0.3
#: Body that the system of the entry takes at once, and that of an endpoint does
#: not take without its being read.
UNDELIVERED = b'x' * 60_000


async def upload_to(
    served: Route, *endpoints: RawEndpoint, body: bytes = UPLOAD
) -> bytes:
    """Return the answer to a long request."""
    async with running_entry(served, *endpoints) as entry:
        return await entry.ask(body=body)


@pytest.mark.parametrize(
    'ending',
    [reset_at_once, reset_later, close_with_unread_bytes, end_and_reset],
)
@pytest.mark.parametrize('served', [SAFE, UNSAFE])
async def test_part_that_breaks_off_during_an_upload_is_no_answer(
    served: Route, ending: Ending
) -> None:
    """Guards against a part that looks complete to its caller."""
    answer = await upload_to(served, EarlyEndpoint('e1', PART, ending))
    assert answer.startswith(b'HTTP/1.1 502 ')
    assert b'part' not in answer


async def test_part_that_ends_before_the_request_is_delivered() -> None:
    """Guards against a request that only the entry's system has taken."""
    endpoint = EarlyEndpoint('e1', PART, end_and_reset)
    answer = await upload_to(UNSAFE, endpoint, body=UNDELIVERED)
    assert answer.startswith(b'HTTP/1.1 502 ')


@pytest.mark.parametrize(
    'part', [PART, answer_with_status('000', 'close', 'Signed: yes')]
)
async def test_own_close_is_no_end_of_an_answer(
    part: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a part that is complete as the entry itself closed."""
    monkeypatch.setattr(SLOW_ENDPOINT, UNREAD_SECONDS)
    answer = await upload_to(UNSAFE, EarlyEndpoint('e1', part, keep_open))
    assert answer.startswith(b'HTTP/1.1 502 ')
    assert b'part' not in answer


async def test_long_part_that_breaks_off_looks_cut() -> None:
    """Guards against the end of a forwarded part that looks orderly."""
    part = b''.join((PART, b'x' * 500_000))
    endpoint = EarlyEndpoint('e1', part, end_and_reset)
    answer = await upload_to(UNSAFE, endpoint)
    assert answer.startswith(b'HTTP/1.1 200 ')
    assert not answer.endswith(LAST_CHUNK)


async def test_own_close_is_no_end_of_a_stream(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against half a stream that looks complete to its caller."""
    monkeypatch.setattr(SLOW_ENDPOINT, UNREAD_SECONDS)
    part = b''.join((UNFRAMED_HEAD, event(0).encode()))
    answer = await upload_to(STREAM, EarlyEndpoint('e1', part, keep_open))
    assert event(0).encode() in answer
    assert not answer.endswith(LAST_CHUNK)


async def test_closed_channel_has_no_complete_answer() -> None:
    """Guards against an end that the entry takes for one of its endpoint."""
    endpoint = EarlyEndpoint('e1', PART, keep_open)
    await endpoint.start()
    record = endpoint.record(SERVICE)
    opened = await EndpointChannel.connect(
        record.host, record.port, SimpleWire(), FlowControl()
    )
    start = RequestStartLine('GET', '/', 'HTTP/1.1')
    opened.send(start, HTTPHeaders(), b'', 'q1')
    assert await opened.read_chunk() == b'part'
    opened.close()
    with pytest.raises(AttemptError):
        await opened.read_chunk()
    assert not opened.is_complete


async def test_other_endpoint_answers_after_a_part() -> None:
    """Guards against a caller that pays for an endpoint in trouble."""
    sound = RawEndpoint('e2', reply_with(full_answer('sound')))
    for _ in range(2):
        broken = EarlyEndpoint('e1', PART, end_and_reset)
        assert (await upload_to(SAFE, broken, sound)).endswith(b'sound')


async def test_whole_answer_during_an_upload_is_forwarded() -> None:
    """Guards against the loss of an answer with a length that comes early."""
    endpoint = EarlyEndpoint('e1', full_answer('early'), keep_open)
    assert (await upload_to(UNSAFE, endpoint)).endswith(b'early')


async def test_unframed_answer_after_an_upload_is_forwarded() -> None:
    """Guards against the loss of an answer that ends in order."""
    endpoint = RawEndpoint('e1', unframed(UNFRAMED_HEAD, b'whole'))
    assert (await upload_to(UNSAFE, endpoint)).endswith(b'whole')


@pytest.mark.parametrize(
    ('line', 'status'), [('GET', 204), ('GET', 304), ('HEAD', 200)]
)
async def test_answer_without_a_body_needs_no_end(
    line: str, status: int
) -> None:
    """Guards against the loss of an answer that has no body by its kind."""
    head = f'HTTP/1.1 {status} Fine\r\nSigned: yes\r\n\r\n'.encode()

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(head)
        await asyncio.sleep(PAUSE_SECONDS)

    async with running_entry(SAFE, RawEndpoint('e1', script)) as entry:
        answer = await entry.ask(f'{line} /a/x HTTP/1.1')
    assert answer.startswith(f'HTTP/1.1 {status} '.encode())
