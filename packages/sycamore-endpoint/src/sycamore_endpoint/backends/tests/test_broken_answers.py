"""Answers of back ends that are no answers, or that break off."""

import pytest
from sycamore_core.errors import BackendError
from sycamore_standins.broken_server import BrokenServer, Ending
from tornado.curl_httpclient import CurlAsyncHTTPClient

from ...errors import BackendUnreachableError, StreamInterruptedError
from ...tests.builders import make_offer
from ..base import AnswerChunk
from ..calls import ControlClient
from ..engine import EngineBackend
from ..plain import PlainBackend

SECONDS = 5.0
#: Body of a request that no system takes without its being read.
UPLOAD = b'x' * 16_000_000
UNFRAMED = b'HTTP/1.1 200 OK\r\n\r\npart'
CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n'
LENGTH = b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart'


def answer_with(status: str, line: str = 'Odd: x') -> bytes:
    head = f'HTTP/1.1 {status} Odd\r\n{line}\r\nContent-Length: 5\r\n\r\n'
    return f'{head}sound'.encode('latin-1')


async def call_plain(
    server: BrokenServer, payload: bytes = b'text'
) -> list[AnswerChunk]:
    """Return all chunks of the answer of a plain service."""
    streams = CurlAsyncHTTPClient(force_instance=True)
    backend = PlainBackend(server.url, streams)
    offer = make_offer(payload=payload)
    answer = backend.stream_answer(offer, lambda: True, SECONDS)
    try:
        return [chunk async for chunk in answer]
    finally:
        streams.close()


@pytest.mark.parametrize('status', ['000', '099', '600', '999'])
async def test_odd_status_of_a_plain_service_is_no_answer(status: str) -> None:
    """Guards against a status that no client knows."""
    async with BrokenServer(answer_with(status)) as server:
        with pytest.raises(BackendUnreachableError):
            await call_plain(server)


@pytest.mark.parametrize('status', ['1000', '20', '+200', '٢٠٠'])
async def test_odd_status_line_of_a_plain_service_is_no_answer(
    status: str, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a first line that clients read in different ways."""
    broken = answer_with('200').replace(b'200', status.encode())
    async with BrokenServer(broken) as server:
        with pytest.raises(BackendError):
            await call_plain(server)
    assert not capsys.readouterr().err


@pytest.mark.parametrize(
    'line',
    [
        'Odd Name: x',
        'Odd\tName: x',
        'Odd\0Name: x',
        'Odd\x01Name: x',
        'Odd\x7fName: x',
        'Odd\rName: x',
        'Content Length: 3',
        'Transfer Encoding: chunked',
        'Odd : x',
        ' Odd: x',
        'Odd: \x01',
        'Odd',
        'Content-Length: 3',
    ],
)
async def test_odd_line_in_a_head_of_a_plain_service_is_no_answer(
    line: str, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a line that clients read as another, or a false body."""
    async with BrokenServer(answer_with('200', line)) as server:
        with pytest.raises(BackendError):
            await call_plain(server)
    assert not capsys.readouterr().err


@pytest.mark.parametrize(
    ('answer', 'ending'),
    [
        (UNFRAMED, Ending.RESET),
        (CHUNKED, Ending.CLOSE),
        (LENGTH, Ending.CLOSE),
    ],
)
async def test_part_of_an_answer_of_a_plain_service(
    answer: bytes, ending: Ending
) -> None:
    """Guards against a part that looks complete."""
    async with BrokenServer(answer, ending) as server:
        with pytest.raises(StreamInterruptedError):
            await call_plain(server)


@pytest.mark.parametrize('ending', Ending)
async def test_part_that_ends_before_a_plain_service_takes_the_request(
    ending: Ending,
) -> None:
    """Guards against a part that looks complete."""
    async with BrokenServer(UNFRAMED, ending, takes_body=False) as server:
        with pytest.raises(StreamInterruptedError):
            await call_plain(server, UPLOAD)


@pytest.mark.parametrize('payload', [b'text', UPLOAD])
@pytest.mark.parametrize(
    'answer',
    [
        UNFRAMED,
        b'HTTP/1.1 103 Wait\r\n\r\n%s' % UNFRAMED,
        b'%s0\r\n\r\n' % CHUNKED,
        LENGTH.replace(b'9', b'4'),
    ],
)
async def test_whole_answer_of_a_plain_service(
    answer: bytes, payload: bytes
) -> None:
    """Guards against the loss of an answer that ends in order."""
    async with BrokenServer(answer) as server:
        chunks = await call_plain(server, payload)
    assert b''.join(chunk.payload for chunk in chunks) == b'part'
    reply = chunks[0].plain_reply
    assert reply is not None
    assert reply.status == 200


@pytest.mark.parametrize(
    'line', ['Odd:x', 'Odd:', 'Odd: a\tb', 'Odd: caf\xe9', "O_d.d!'*: x"]
)
async def test_unusual_line_of_a_plain_service(line: str) -> None:
    """Guards against the loss of a sound answer with a line that is rare."""
    async with BrokenServer(answer_with('200', line)) as server:
        chunks = await call_plain(server)
    assert b''.join(chunk.payload for chunk in chunks) == b'sound'


@pytest.mark.parametrize('status', ['000', '600'])
async def test_odd_status_of_an_engine_is_no_answer(status: str) -> None:
    """Guards against a run that counts as refused by its engine."""
    async with BrokenServer(answer_with(status)) as server:
        client = CurlAsyncHTTPClient(force_instance=True)
        control = ControlClient(server.url, client)
        with pytest.raises(BackendUnreachableError):
            await control.send('/v1/cancel', {}, dict)
        backend = EngineBackend(server.url, client, control)
        answer = backend.stream_answer(make_offer(), lambda: True, SECONDS)
        with pytest.raises(BackendError):
            [chunk async for chunk in answer]
        client.close()
