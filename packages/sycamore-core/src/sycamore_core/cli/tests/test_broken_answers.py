"""Answers to an operator's request that are no answers, or that break off."""

import asyncio

import pytest
from sycamore_standins.broken_server import BrokenServer, Ending

from ...errors import SycamoreError
from ..client import query_entry

PART = b'HTTP/1.1 200 OK\r\n\r\n{}'
WHOLE = PART.replace(b'OK\r\n', b'OK\r\nContent-Length: 2\r\n')


@pytest.mark.parametrize(
    ('answer', 'ending'),
    [
        *(
            (WHOLE.replace(b'200', status), Ending.CLOSE)
            for status in (b'000', b'099', b'600', b'999')
        ),
        (WHOLE.replace(b'OK\r\n', b'OK\r\nOdd Name: x\r\n'), Ending.CLOSE),
        (PART, Ending.RESET),
    ],
)
async def test_broken_answer_to_an_operator_is_none(
    answer: bytes, ending: Ending
) -> None:
    """Guards against a state that no entry has told."""
    async with BrokenServer(answer, ending) as server:
        with pytest.raises(SycamoreError):
            await asyncio.to_thread(query_entry, server.url, 'state', 'key')


async def test_whole_answer_to_an_operator_without_a_length() -> None:
    """Guards against the loss of an answer that ends in order."""
    async with BrokenServer(PART) as server:
        body = await asyncio.to_thread(query_entry, server.url, 'state', 'key')
    assert body == b'{}'
