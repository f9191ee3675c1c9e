"""Scripted sequences of answers, and checks of the entry's answers."""

import asyncio

from .builders import (
    RawEndpoint,
    Script,
    full_answer,
    parse_headers,
    reply_with,
)

#: Backoff that outlasts a test, in seconds.
LONG_BACKOFF = 30
#: Time in which a slow replica answers, in seconds.
SLOW_SECONDS = 1.5


def reply_in_sequence(*answers: bytes) -> Script:
    """Return a script that answers each request with the next answer."""
    remaining = iter(answers)

    async def script(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(next(remaining))

    return script


def is_answered(answer: bytes) -> bool:
    """Return whether the answer has status 200."""
    return answer.startswith(b'HTTP/1.1 200')


def retry_after(answer: bytes) -> float:
    """Return the `Retry-After` time of a refusal, in seconds."""
    assert answer.startswith(b'HTTP/1.1 503')
    head = answer.partition(b'\r\n\r\n')[0].decode()
    return float(parse_headers(head)['retry-after'])


def refusal(seconds: float) -> bytes:
    """Return a refusal that requests a backoff."""
    return full_answer('', 503, f'Not-Run: 1\r\nRest: {seconds}\r\n')


def refuse_all(seconds: float) -> Script:
    """Return a script that refuses each request with a backoff."""
    return reply_with(refusal(seconds))


def backing_off(name: str = 'e1', seconds: float = LONG_BACKOFF) -> RawEndpoint:
    """Return an endpoint that refuses each request with a backoff."""
    return RawEndpoint(name, refuse_all(seconds))


async def answer_late(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Answer a call after its endpoint was silent for too long."""
    await asyncio.sleep(SLOW_SECONDS)
    writer.write(full_answer('recorded'))
