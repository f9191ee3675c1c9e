"""Heads and lengths that the parser refuses do not reach callers."""

import pytest
from sycamore_core.routing import RouteKind

from .builders import full_answer, route
from .builders_broken import BROKEN, answer_with_line, forwarded, is_own_failure

UNSAFE = route(RouteKind.UNSAFE)
#: Bytes that a name may not hold.
NAME_BYTES = (b' ', b'\t', b'\0', b'\x01', b'\x7f', b'\r', b'"', b'\xe9')
FIELDS = (b'Odd%sName: x', b'Content%s-Length: 3', b'Transfer%s-Encoding: x')
CHUNKED_HEAD = (
    b'HTTP/1.1 200 OK\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n'
)


@pytest.mark.parametrize(
    'line',
    [
        b'HTTP/1.1 1000 Odd',
        b'HTTP/1.1 20 Odd',
        b'HTTP/1.1 2000 Odd',
        b'HTTP/1.1 +200 Odd',
        b'HTTP/1.1 -20 Odd',
        'HTTP/1.1 ٢٠٠ Odd'.encode(),
        b'HTTP/1.1 000',
        b'HTTP/1.1  200 Odd',
        b'HTTP/2.0 200 Odd',
        b'HTTP/1.x 200 Odd',
        b' HTTP/1.1 200 Odd',
        b'HTTP/1.1 101 Odd',
        b'HTTP/1.1 199 Odd',
    ],
)
async def test_odd_status_line_is_no_answer(line: bytes) -> None:
    """Guards against a first line that clients read in different ways."""
    broken = full_answer(BROKEN).partition(b'\r\n')[2]
    assert is_own_failure(await forwarded(UNSAFE, b'\r\n'.join((line, broken))))


@pytest.mark.parametrize('odd', NAME_BYTES)
@pytest.mark.parametrize('field', FIELDS)
async def test_odd_byte_in_the_name_of_a_field_is_no_answer(
    field: bytes, odd: bytes
) -> None:
    """Guards against a line that clients read as another, or a false body."""
    broken = answer_with_line(field % odd)
    assert is_own_failure(await forwarded(UNSAFE, broken))


@pytest.mark.parametrize(
    'line',
    [
        b'Odd : x',
        b'Odd\t: x',
        b' Odd: x',
        b'\tOdd: x',
        b'Odd',
        b': x',
        b'Odd: \0',
        b'Odd: \x01',
        b'Odd: \x7f',
        b'Odd: x\ry',
    ],
)
async def test_odd_line_of_a_head_is_no_answer(line: bytes) -> None:
    """Guards against a line that clients read in different ways."""
    broken = answer_with_line(line)
    assert is_own_failure(await forwarded(UNSAFE, broken))


@pytest.mark.parametrize(
    'lines',
    [
        b'Content-Length: 3',
        b'Content-Length: 6, 3',
        b'Content-Length: +6',
        b'Content-Length: 0_6',
        b'Content-Length: 0x6',
        b'Content-Length: ',
        b'Transfer-Encoding: chunked',
        b'Transfer-Encoding: gzip',
        b'Transfer-Encoding: gzip, chunked',
    ],
)
async def test_doubtful_length_is_no_answer(lines: bytes) -> None:
    """Guards against a body that is longer or shorter than the endpoint's."""
    broken = answer_with_line(lines)
    assert is_own_failure(await forwarded(UNSAFE, broken))


@pytest.mark.parametrize(
    'body',
    [
        b'+6\r\nbroken\r\n0\r\n\r\n',
        b'0x6\r\nbroken\r\n0\r\n\r\n',
        b'6 \r\nbroken\r\n0\r\n\r\n',
        b'0_6\r\nbroken\r\n0\r\n\r\n',
        b'\r\nbroken\r\n0\r\n\r\n',
        b'6\r\nbroken0\r\n\r\n',
        b'6\r\nbroken\r\n',
        b'6\r\nbroken\r\n0\r\n',
    ],
)
async def test_doubtful_chunk_is_no_answer(body: bytes) -> None:
    """Guards against a body that is longer or shorter than the endpoint's."""
    broken = b''.join((CHUNKED_HEAD, body))
    assert is_own_failure(await forwarded(UNSAFE, broken))


async def test_body_of_a_205_is_forwarded() -> None:
    """Guards against a body that is not the one of the endpoint."""
    answer = await forwarded(UNSAFE, full_answer('sound', 205))
    assert answer.startswith(b'HTTP/1.1 205 ')
    assert answer.endswith(b'sound')


@pytest.mark.parametrize(
    'line',
    [b'Odd:x', b'Odd:', b'Odd: a\tb', b'Odd: caf\xe9', b"O_d.d!'*: x"],
)
async def test_unusual_line_of_a_head_is_forwarded(line: bytes) -> None:
    """Guards against the loss of a sound answer with a line that is rare."""
    sound = answer_with_line(line)
    answer = await forwarded(UNSAFE, sound)
    assert answer.startswith(b'HTTP/1.1 200 ')
    assert line.partition(b':')[0].lower() in answer.lower()
