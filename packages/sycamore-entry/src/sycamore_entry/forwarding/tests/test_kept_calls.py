"""Calls whose first replica answers after they have begun at another one."""

import asyncio

import pytest

from ..endpoints.answer_reader import _BUFFER_BYTES
from .builders import HOST, Script, full_answer, never_reply, request_bytes
from .builders_fallback import SOON_SECONDS, wait_until
from .builders_kept_calls import (
    LATE,
    Replicas,
    answer_of,
    entry_before,
    wait_then,
)
from .builders_overload import captured_lines

#: Time until the second replica is asked, in seconds, and a pause before its
#: answer that ends before the limit of the call.
MOVE_SECONDS = 0.6
NEXT_SECONDS = 0.15
ANSWER = full_answer('first')
FAILURE = full_answer('no', 500)
NOT_RUN = full_answer('', 503, 'Not-Run: 1\r\n')
UNSIGNED = ANSWER.replace(b'Signed: yes\r\n', b'')


async def reset(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Reset the connection of a request."""
    writer.transport.abort()
    raise ConnectionError


async def test_answer_of_the_first_replica_is_taken() -> None:
    """Guards against a 504 although an answer has arrived in time."""
    lines: list[dict[str, object]] = []
    with captured_lines('call_resumed_from_fallback', lines):
        answer, replicas = await answer_of(LATE, never_reply)
    assert answer.startswith(b'HTTP/1.1 200 ')
    assert answer.endswith(b'first')
    await wait_until(lambda: replicas.closed[1] == 1, SOON_SECONDS)
    assert [line['reason'] for line in lines] == ['replaced']


async def test_answer_of_the_next_replica_is_taken() -> None:
    """Guards against waiting for a replica that hangs, and its later work."""
    second = wait_then(full_answer('second'), seconds=NEXT_SECONDS)
    answer, replicas = await answer_of(never_reply, second)
    assert answer.endswith(b'second')
    await wait_until(lambda: replicas.closed[0] == 1, SOON_SECONDS)


@pytest.mark.parametrize(
    'second', [reset, wait_then(FAILURE, seconds=0), wait_then(NOT_RUN)]
)
async def test_call_goes_on_at_the_first_as_the_next_fails(
    second: Script,
) -> None:
    """Guards against a failure although the first replica is at work."""
    answer, _ = await answer_of(LATE, second)
    assert answer.endswith(b'first')


@pytest.mark.parametrize('first', [FAILURE, NOT_RUN, UNSIGNED, b'HTTP/1.1 2'])
async def test_unusable_answer_of_the_first_replaces_nothing(
    first: bytes,
) -> None:
    """Guards against a failure although the next replica is at work."""
    begun = wait_then(first, seconds=MOVE_SECONDS + NEXT_SECONDS / 2)
    second = wait_then(full_answer('second'), seconds=2 * NEXT_SECONDS)
    answer, _ = await answer_of(begun, second)
    assert answer.endswith(b'second')


async def test_body_that_had_begun_is_whole() -> None:
    """Guards against an answer without the bytes that were read before."""
    half = len(ANSWER) - 3
    first = wait_then(ANSWER[:half], ANSWER[half:], seconds=MOVE_SECONDS)
    answer, _ = await answer_of(first, never_reply)
    assert answer.endswith(b'first')


@pytest.mark.parametrize('extra', [-_BUFFER_BYTES // 2, 3 * _BUFFER_BYTES])
async def test_long_answer_of_the_first_is_whole(extra: int) -> None:
    """Guards against an answer that fills its buffer and is not taken."""
    body = 'a' * (_BUFFER_BYTES + extra)
    answer, _ = await answer_of(wait_then(full_answer(body)), never_reply)
    assert answer.startswith(b'HTTP/1.1 200 ')
    assert answer.endswith(f'\r\n\r\n{body}'.encode())


async def test_both_replicas_are_left_as_the_caller_leaves() -> None:
    """Guards against replicas that work on for a caller that has left."""
    replicas = Replicas(never_reply, never_reply)
    async with entry_before(replicas) as entry:
        _, writer = await asyncio.open_connection(HOST, entry.port)
        writer.write(request_bytes())
        await wait_until(lambda: len(replicas.asked) == 2)
        assert replicas.closed == [0, 0]
        writer.transport.abort()
        await wait_until(lambda: replicas.closed == [1, 1], SOON_SECONDS)


async def test_both_replicas_are_left_at_the_limit_of_the_call() -> None:
    """Guards against replicas that work on after the answer of the entry."""
    answer, replicas = await answer_of(never_reply, never_reply)
    assert answer.startswith(b'HTTP/1.1 504 ')
    await wait_until(lambda: replicas.closed == [1, 1], SOON_SECONDS)


async def test_both_answers_at_once_are_one() -> None:
    """Guards against two answers that are written to one caller."""
    first = wait_then(ANSWER)
    second = wait_then(full_answer('second'), seconds=0.9 - MOVE_SECONDS)
    answers = [await answer_of(first, second) for _ in range(3)]
    for answer, _ in answers:
        assert answer.count(b'HTTP/1.1 ') == 1
        assert answer.endswith((b'first', b'second'))
