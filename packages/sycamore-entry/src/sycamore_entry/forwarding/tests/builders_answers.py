"""Answers of endpoints one after another, and what an entry made of them."""

import asyncio

from .builders import Talk, parse_head


def in_turn(*answers: bytes) -> Talk:
    """Return a script that gives each request the next of some answers."""
    left = iter(answers)

    async def talk(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(next(left))

    return talk


def is_answered(answer: bytes) -> bool:
    """Return whether a caller got a success."""
    return answer.startswith(b'HTTP/1.1 200')


def retry_after(answer: bytes) -> float:
    """Return when a caller that was refused is told to come back."""
    assert answer.startswith(b'HTTP/1.1 503')
    head = answer.partition(b'\r\n\r\n')[0].decode()
    return float(parse_head(head)['retry-after'])
