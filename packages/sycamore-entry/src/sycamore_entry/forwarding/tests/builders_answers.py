"""Scripted sequences of answers, and checks of the entry's answers."""

import asyncio

from .builders import Script, parse_headers


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
